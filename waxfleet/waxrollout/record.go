package waxrollout

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"waxwingdrift.org/waxfleet"
)

// Phase is the phase of a rollout. Phases only rise.
type Phase int

// Phases of a rollout. Of two terminal phases the later one stands when a restored store
// contradicts the memory of an instance: PhaseCompleted is last because the platform stops the
// old servers at once, which can't be undone.
const (
	PhaseNone Phase = iota
	PhaseProbing
	PhaseRaising
	PhaseSettling
	// PhaseWithdrawn is the end of an order whose object was deleted before another end.
	PhaseWithdrawn
	PhaseRolledBack
	PhaseCompleted
)

var phaseNames = [...]string{"none", "probing", "raising", "settling", "withdrawn", "rolled-back", "completed"}

// String returns the name of the phase.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Terminal reports whether the phase is never left except by another order.
func (p Phase) Terminal() bool { return p >= PhaseWithdrawn }

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Phase) UnmarshalText(text []byte) error {
	for i, name := range phaseNames {
		if name == string(text) {
			*p = Phase(i)
			return nil
		}
	}
	return errors.Newf("unknown phase %q", string(text))
}

// Record is the stored state of a rollout: one object for each service, written under the
// condition that its revision is the one that was read. The zero value is no record.
type Record struct {
	order   Order
	holder  string
	term    uint64
	writes  uint64
	phase   Phase
	share   float64
	elapsed waxfleet.Millis
	// phaseStart and stepStart are values of elapsed.
	phaseStart waxfleet.Millis
	stepStart  waxfleet.Millis
	reason     Reason
	// requests and exposed are the requests of the service and those of them at the new
	// version since the order, bad its bad responses that the holder has judged.
	requests uint64
	exposed  uint64
	bad      uint64
	// closed is true once the object of the order is gone. The next one is another order.
	closed bool
	// excluded are versions that earlier orders have left without traffic.
	excluded []string

	// condemned is true if the instance itself finds the version bad. It is not stored.
	condemned bool
}

// Exists reports whether r is a record, and not the zero value.
func (r Record) Exists() bool { return r.phase != PhaseNone }

// Order returns the order that the record belongs to. Its Key names the rollout in evidence,
// because that of the object may change when the store is restored.
func (r Record) Order() Order { return r.order }

// Holder returns the instance that holds the lease.
func (r Record) Holder() string { return r.holder }

// Term returns the number of the lease, which rises with each holder.
func (r Record) Term() uint64 { return r.term }

// Phase returns the phase.
func (r Record) Phase() Phase { return r.phase }

// Share returns the share of new requests that go to the new version.
func (r Record) Share() float64 { return r.share }

// Elapsed returns the time since the order, as of the last write.
func (r Record) Elapsed() waxfleet.Millis { return r.elapsed }

// Reason returns why the record has its phase and share.
func (r Record) Reason() Reason { return r.reason }

// Requests returns the requests of the service since the order, as far as the holder knew.
func (r Record) Requests() uint64 { return r.requests }

// Exposed returns the requests at the new version since the order, as far as the holder knew.
func (r Record) Exposed() uint64 { return r.exposed }

// JudgedBad returns the number of bad responses of the new version that the holder has judged.
func (r Record) JudgedBad() uint64 { return r.bad }

// Excluded returns the versions that earlier orders have left without traffic: those that were
// rolled back or withdrawn, and those that a completed order has replaced.
func (r Record) Excluded() []string { return slices.Clone(r.excluded) }

// Closed reports whether the object of the order is gone.
func (r Record) Closed() bool { return r.closed }

// covers reports whether the record belongs to an order. An order that was withdrawn and is
// there again starts anew.
func (r Record) covers(o Order) bool {
	return r.Exists() && o.Exists() && !r.closed && r.order.Same(o)
}

// Later returns the one of two records that is further: that of the same order with the later
// phase, and with the later write in one phase. It returns r if the orders differ.
func (r Record) Later(other Record) Record {
	switch {
	case !other.Exists() || r.Exists() && !r.order.Same(other.order):
		return r
	case !r.Exists():
		return other
	case r.closed || other.closed:
		if other.term > r.term || other.term == r.term && !r.closed {
			return other
		}
		return r
	case other.phase > r.phase:
		return other
	case other.phase < r.phase || other.term < r.term:
		return r
	case other.term > r.term || other.writes > r.writes:
		return other
	}
	return r
}

// Status returns the status that the order's object should have. It reports false if the record
// asks for none.
func (r Record) Status() (Status, bool) {
	switch r.phase {
	case PhaseNone, PhaseWithdrawn:
		return Status{}, false
	case PhaseCompleted:
		return Status{state: StateCompleted, to: r.order.to}, true
	case PhaseRolledBack:
		return Status{state: StateRolledBack, to: r.order.to}, true
	}
	return Status{state: StateRunning, to: r.order.to}, true
}

// recordText is the stored form of a Record. Readers ignore unknown fields.
type recordText struct {
	Service    string            `json:"service"`
	To         string            `json:"to"`
	Duration   waxfleet.Millis   `json:"duration-ms"`
	Created    waxfleet.Revision `json:"created"`
	Holder     string            `json:"holder"`
	Term       uint64            `json:"term"`
	Writes     uint64            `json:"writes"`
	Phase      Phase             `json:"phase"`
	Share      float64           `json:"share"`
	Elapsed    waxfleet.Millis   `json:"elapsed-ms"`
	PhaseStart waxfleet.Millis   `json:"phase-start-ms"`
	StepStart  waxfleet.Millis   `json:"step-start-ms"`
	Reason     Reason            `json:"reason"`
	Requests   uint64            `json:"requests"`
	Exposed    uint64            `json:"exposed"`
	Bad        uint64            `json:"bad"`
	Closed     bool              `json:"closed,omitempty"`
	Excluded   []string          `json:"excluded,omitempty"`
}

// Encode returns the record as JSON.
func (r Record) Encode() string {
	text, err := json.Marshal(recordText{
		Service: r.order.service, To: r.order.to, Duration: r.order.duration, Created: r.order.created,
		Holder: r.holder, Term: r.term, Writes: r.writes, Phase: r.phase, Share: r.share,
		Elapsed: r.elapsed, PhaseStart: r.phaseStart, StepStart: r.stepStart, Reason: r.reason,
		Requests: r.requests, Exposed: r.exposed, Bad: r.bad, Closed: r.closed, Excluded: r.excluded,
	})
	if err != nil {
		return "{}" // unreachable: shares are finite
	}
	return string(text)
}

// DecodeRecord returns the record of a text of Encode. It ignores unknown fields and returns an
// error if the text is no record or its figures are out of range.
func DecodeRecord(text string) (Record, error) {
	var t recordText
	if err := json.Unmarshal([]byte(text), &t); err != nil {
		return Record{}, errors.Wrap(err, "decode rollout record")
	}
	switch {
	case t.Service == "" || t.To == "" || t.Phase == PhaseNone:
		return Record{}, errors.New("rollout record lacks its service, version or phase")
	case t.Duration <= 0 || t.Elapsed < 0 || t.PhaseStart < 0 || t.StepStart < 0:
		return Record{}, errors.New("rollout record with a time out of range")
	case !(t.Share >= 0 && t.Share <= 1):
		return Record{}, errors.Newf("rollout record with share %v", t.Share)
	}
	return Record{
		order:  NewOrder(t.Service, t.To, t.Duration, t.Created),
		holder: t.Holder, term: t.Term, writes: t.Writes, phase: t.Phase, share: t.Share,
		elapsed: t.Elapsed, phaseStart: t.PhaseStart, stepStart: t.StepStart, reason: t.Reason,
		requests: t.Requests, exposed: t.Exposed, bad: t.Bad, closed: t.Closed, excluded: t.Excluded,
	}, nil
}

// State is the state in the status of an order's object.
type State string

// States of an order's object. They are names of our own; package waxadapter translates them.
const (
	StateRunning    State = "running"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled-back"
)

// Status is the status of an order's object. The zero value is none.
type Status struct {
	state State
	to    string
}

// NewStatus returns a status.
func NewStatus(state State, to string) Status { return Status{state: state, to: to} }

// State returns the state.
func (s Status) State() State { return s.state }

// To returns the version that the state is about.
func (s Status) To() string { return s.to }
