package waxrollout

import (
	"slices"

	"waxwingdrift.org/waxfleet"
)

const (
	// leaseTime is the time without a write of the holder after which another instance takes
	// over, as seen on its own clock. renewPeriod leaves room for two failed writes.
	leaseTime   waxfleet.Millis = 3_000
	renewPeriod waxfleet.Millis = 1_000
	// rankDelay is the time that an instance leaves to each one before it in the shared order,
	// so that not all of a large fleet write at once. maxRank bounds it.
	rankDelay waxfleet.Millis = 300
	maxRank   waxfleet.Millis = 10
	// withdrawDelay is the time after which an order whose object is missing counts as
	// withdrawn. A restored store may lack it until it is written again.
	withdrawDelay waxfleet.Millis = 2_000
	// ownWriteTime is the time for which an own write counts although the copy of the store
	// does not show it yet.
	ownWriteTime waxfleet.Millis = 2_000
	// orderLag is the time by which the copy of the orders may lag behind that of the records.
	orderLag waxfleet.Millis = 2_000
	// retryDelay is the time after a lost write, in which the copy of the record follows.
	retryDelay waxfleet.Millis = 500
	// statusPeriod is the time after which a status that the copy does not show is written again.
	statusPeriod waxfleet.Millis = 1_000

	// proofResponses and proofTime prove a version for a step. Where there are few requests, a
	// sixth of the duration without a finding does.
	proofResponses                 = 60
	proofTime      waxfleet.Millis = 1_500
	proofPart                      = 6
	// minSettling and maxSettling bound the time with share 1 before an order is completed, a
	// sixth of the duration. Faults that show only under load show then, and afterwards the old
	// servers are gone. It exceeds maxRecordAge by the time in which copies follow the record.
	minSettling waxfleet.Millis = 2_500
	maxSettling waxfleet.Millis = 30_000
	// comparisonShare is the share in PhaseSettling for comparisonTime after the version has
	// become slow, so that there are times of both versions of one time span. With a
	// quarter or a half instead, a version that is four times slower with all traffic got 1.01
	// or 1.06 x the exposure bound in the worst one of 20 histories.
	comparisonShare                 = 0.1
	comparisonTime  waxfleet.Millis = 2_000
	// minTail and maxTail bound the time that is left when an order is completed although
	// streams of the old version are open, an eighth of the duration.
	minTail waxfleet.Millis = 1_000
	maxTail waxfleet.Millis = 5_000
	// judgeTime is the time that the holder has to judge evidence that another instance finds bad.
	judgeTime waxfleet.Millis = 3_000
	// judgeAfter is the number of bad responses after which the holder writes at once that it
	// has judged them, before the instances hold back at holdAfterTotal.
	judgeAfter = 12
	// noServersTime is the time without any server of the new version after which it is rolled
	// back. A restored store may lack running servers for 5 s.
	noServersTime waxfleet.Millis = 10_000
	// maxExcluded bounds the versions of earlier orders in a record.
	maxExcluded = 8
)

// raisingSteps are the shares of PhaseRaising.
var raisingSteps = [...]float64{0.1, 0.25, 0.5}

// Input is what an instance knows when it decides on the next step of a rollout.
type Input struct {
	Now waxfleet.Millis
	// Order is the order as last read, or the zero value if there is none (any more).
	Order Order
	// Valid is false if the order can't run (Order.Validate). An order that has a record goes
	// on nevertheless.
	Valid bool
	// Status is the status of the order's object as last read.
	Status Status
	// Record is the record as last read, with its revision; the zero values mean that there
	// is none.
	Record   Record
	Revision waxfleet.Revision
	// StoreAnswers is true if the store has answered lately, and the copies of orders and
	// records have been read as a whole. Nothing is written otherwise.
	StoreAnswers bool
	// Rank is the position of this instance among the live ones in an order that all share,
	// such as the rendezvous order of the service: later ones wait longer before they write.
	Rank int
	// Total is the evidence of the fleet for the order of the record, Finding what the
	// Evaluator made of it.
	Total   Counts
	Finding Finding
	// Servers is the number of servers of each version of the service.
	Servers map[string]int
	// OldInFlight is the number of requests and streams that are open at other versions, at
	// all instances.
	OldInFlight int
}

// ActionKind says what an Action does.
type ActionKind int

// Kinds of actions.
const (
	ActionNone ActionKind = iota
	// ActionWriteRecord writes Record under the condition that the stored one still has
	// Revision (0: there is none). The outcome is reported by Wrote or Lost.
	ActionWriteRecord
	// ActionWriteStatus writes Status to the object of the order.
	ActionWriteStatus
)

// Action is the next step of a rollout.
type Action struct {
	Kind     ActionKind
	Record   Record
	Revision waxfleet.Revision
	Status   Status
	Reason   Reason
	// Changed is true if the phase, the share or the holder changes, and not only the lease is
	// renewed. Such actions are logged.
	Changed bool
}

// Controller decides what an instance writes for the rollout of one service. It is not safe for
// concurrent use.
type Controller struct {
	self   string
	bounds Bounds

	// order is the present order, first seen at orderAt.
	order   Order
	orderAt waxfleet.Millis
	started bool

	// stored is the record in the store, as last read or written, revision its revision and
	// storedAt the time at which this instance first had it.
	stored   Record
	revision waxfleet.Revision
	storedAt waxfleet.Millis
	// wroteAt is the time of the last own write, if ownWrite is true.
	ownWrite bool
	wroteAt  waxfleet.Millis
	// known is the record that is furthest.
	known Record
	// diverged is the time since which the store lacks what is known, or -1.
	diverged waxfleet.Millis

	holds bool
	// condemned is true while the instance's own finding keeps requests from the new version,
	// and badSince the time since which it is bad, or -1.
	condemned bool
	badSince  waxfleet.Millis
	pending   Record
	pendingAt waxfleet.Millis
	// retryAt is the time before which no write follows one that was lost.
	retryAt waxfleet.Millis

	// stepTerm and stepShare name the step at whose begin the new version had given
	// stepResponses.
	stepTerm      uint64
	stepShare     float64
	stepResponses uint64

	// comparedTerm is the term in which the share was lowered to compare times.
	comparedTerm uint64

	noServersSince waxfleet.Millis
	statusAt       waxfleet.Millis
	statusWritten  Status
	statusDiffers  waxfleet.Millis
}

// NewController returns a controller of the instance self.
func NewController(self string, bounds Bounds) *Controller {
	return &Controller{self: self, bounds: bounds, diverged: -1, noServersSince: -1, statusDiffers: -1, badSince: -1}
}

// Known returns the record that is furthest, of the one last read and the instance's own
// memory. Instances split by it. While the instance's own finding is bad and the holder has not
// judged it, as when the store is away, a split by it sends nothing to the new version.
func (c *Controller) Known() Record {
	r := c.known
	r.condemned = c.condemned
	return r
}

// Holds reports whether the instance believes that it holds the lease.
func (c *Controller) Holds() bool { return c.holds }

// Elapsed returns the time since the order, as far as this instance knows.
func (c *Controller) Elapsed(now waxfleet.Millis) waxfleet.Millis {
	elapsed := waxfleet.Millis(0)
	if c.order.Exists() {
		elapsed = now - c.orderAt
	}
	if c.stored.covers(c.order) {
		elapsed = max(elapsed, c.stored.elapsed+now-c.storedAt)
	}
	return elapsed
}

// Step returns the next action. It is called several times a second, and after each change of
// the record or the order. Actions are carried out before the next call.
func (c *Controller) Step(in Input) Action {
	if !c.bounds.Exist() {
		return Action{}
	}
	c.observe(in)
	if !c.known.concerns(in.Total.order) || !c.known.concerns(in.Finding.order) {
		in.Total, in.Finding = Counts{}, Finding{}
	}
	c.condemn(in)
	if !in.StoreAnswers || in.Now < c.retryAt {
		return Action{}
	}
	if !in.Order.Exists() {
		return c.withdraw(in)
	}
	delay := min(waxfleet.Millis(in.Rank), maxRank) * rankDelay
	switch {
	case !c.known.covers(in.Order):
		// A record of another order that has come since may be that of a later order, which the
		// copy of the orders does not show yet.
		later := c.stored.Exists() && c.storedAt > c.orderAt && in.Now-c.storedAt < orderLag
		if !in.Valid || in.Now-c.orderAt < delay || later {
			return Action{}
		}
		return c.begin(in)
	case c.diverged >= 0:
		if in.Now-c.diverged < delay {
			return Action{}
		}
		return c.takeOver(in, ReasonRestored)
	case c.known.phase.Terminal():
		c.holds = false
		return c.writeStatus(in, delay)
	case !c.holds:
		if in.Now-c.storedAt < leaseTime+delay {
			return Action{}
		}
		return c.takeOver(in, ReasonTakenOver)
	}
	return c.lead(in)
}

// observe takes in the order and the record as last read.
func (c *Controller) observe(in Input) {
	if !c.started || !in.Order.Same(c.order) {
		c.orderAt = in.Now
		c.statusWritten, c.statusDiffers = Status{}, -1
	}
	if c.order.recreated(in.Order) && c.known.covers(in.Order) && in.Order.created != c.known.order.created {
		c.known.closed, c.orderAt, c.holds = true, in.Now, false
	}
	c.started, c.order = true, in.Order

	c.observeRecord(in)

	diverged := c.known.covers(in.Order) && (!c.stored.covers(in.Order) || c.stored.phase < c.known.phase)
	switch {
	case !diverged:
		c.diverged = -1
	case c.diverged < 0:
		c.diverged, c.holds = in.Now, false
	}
	if !c.known.Exists() || in.Servers[c.known.order.to] > 0 {
		c.noServersSince = -1
	} else if c.noServersSince < 0 {
		c.noServersSince = in.Now
	}
}

// observeRecord takes in the record as last read.
func (c *Controller) observeRecord(in Input) {
	lagging := c.ownWrite && in.Revision < c.revision && in.Now-c.wroteAt < ownWriteTime
	if !lagging && (in.Revision != c.revision || in.Record.Exists() != c.stored.Exists()) {
		c.stored, c.revision, c.storedAt, c.ownWrite = in.Record, in.Revision, in.Now, false
		switch {
		case c.pending.Exists() && c.stored.same(c.pending):
			// The copy shows an own write, maybe one whose outcome was unknown.
			c.holds, c.storedAt, c.pending = true, c.pendingAt, Record{}
		case c.stored.holder != c.self || c.stored.term != c.known.term:
			c.holds = false
		}
	}
	// A record of another order than the one that is known replaces it, because the order has
	// changed; unless its term is lower, because the store was restored.
	if c.known.Exists() && c.stored.Exists() && !c.known.order.Same(c.stored.order) &&
		(c.stored.term > c.known.term || !c.known.covers(in.Order)) {
		c.known = c.stored
	}
	c.known = c.known.Later(c.stored)
}

// same reports whether both are one write.
func (r Record) same(other Record) bool {
	return r.order.Same(other.order) && r.holder == other.holder && r.term == other.term && r.writes == other.writes
}

// condemn decides whether the instance's own finding keeps requests from the new version. Each
// instance samples the evidence at other times, so that one may find bad what the holder does
// not. A holder that goes on judgeTime later has found otherwise, unless it can't write.
func (c *Controller) condemn(in Input) {
	if in.Finding.Verdict != VerdictBad || c.known.phase.Terminal() {
		c.badSince, c.condemned = -1, false
		return
	}
	if c.badSince < 0 {
		c.badSince = in.Now
	}
	c.condemned = in.Now-c.badSince < judgeTime || in.Now-c.storedAt > 2*renewPeriod
}

// concerns reports whether evidence with the key of an order is about the order of the record.
// Counts that are not those of a Ledger have no key.
func (r Record) concerns(key string) bool { return key == "" || key == r.order.Key() }

// begin returns the first record of an order.
func (c *Controller) begin(in Input) Action {
	r := Record{
		order: in.Order, holder: c.self, term: max(c.stored.term, c.known.term) + 1, phase: PhaseProbing,
		share: c.bounds.ProbingShare(), elapsed: c.Elapsed(in.Now), reason: ReasonOrdered,
		excluded: exclusions(c.known, in.Order, in.Servers),
	}
	r.stepStart, r.phaseStart = r.elapsed, r.elapsed
	return c.write(in, r, ReasonOrdered, true)
}

// exclusions returns the versions that get nothing because of earlier orders.
func exclusions(earlier Record, order Order, servers map[string]int) []string {
	excluded := slices.Clone(earlier.excluded)
	switch {
	case !earlier.Exists():
	case earlier.phase == PhaseCompleted:
		for version := range servers {
			if version != earlier.order.to {
				excluded = append(excluded, version)
			}
		}
		excluded = slices.DeleteFunc(excluded, func(v string) bool { return v == earlier.order.to })
	default:
		excluded = append(excluded, earlier.order.to)
	}
	excluded = slices.DeleteFunc(excluded, func(v string) bool { return v == order.to })
	slices.Sort(excluded)
	excluded = slices.Compact(excluded)
	return excluded[:min(len(excluded), maxExcluded)]
}

// withdraw closes the record of an order whose object is gone.
func (c *Controller) withdraw(in Input) Action {
	c.holds = false
	delay := withdrawDelay + min(waxfleet.Millis(in.Rank), maxRank)*rankDelay
	if !c.stored.Exists() || c.known.closed && c.stored.closed || in.Now-c.orderAt < delay {
		return Action{}
	}
	r := c.known
	r.holder, r.term, r.writes, r.closed = c.self, max(c.stored.term, r.term)+1, 0, true
	if !r.phase.Terminal() {
		r.phase, r.share, r.reason = PhaseWithdrawn, 0, ReasonWithdrawn
	}
	return c.write(in, r, r.reason, true)
}

// takeOver returns the record with a lease of this instance.
func (c *Controller) takeOver(in Input, reason Reason) Action {
	r := c.known
	r.holder, r.term, r.writes = c.self, max(c.stored.term, c.known.term)+1, 0
	r.elapsed = max(c.Elapsed(in.Now), r.elapsed)
	c.account(in, &r)
	return c.write(in, r, reason, true)
}

// lead returns the next action of the holder.
func (c *Controller) lead(in Input) Action {
	r := c.known
	r.elapsed = c.Elapsed(in.Now)
	r.writes++
	c.account(in, &r)
	if c.stepTerm != r.term || c.stepShare != r.share {
		c.stepTerm, c.stepShare = r.term, r.share
		c.stepResponses, _ = in.Total.Responses(r.order.to)
	}
	if reason := c.advance(in, &r); reason != ReasonNone {
		return c.write(in, r, reason, true)
	}
	if a := c.writeStatus(in, 0); a.Kind != ActionNone {
		return a
	}
	if in.Now-c.storedAt >= renewPeriod || r.bad >= c.known.bad+judgeAfter {
		return c.write(in, r, ReasonRenewed, false)
	}
	return Action{}
}

// account puts the figures of the fleet into the record.
func (c *Controller) account(in Input, r *Record) {
	requests, exposed := in.Total.Requests(r.order.to)
	_, bad := in.Total.Responses(r.order.to)
	r.requests, r.exposed, r.bad = max(r.requests, requests), max(r.exposed, exposed), max(r.bad, bad)
}

// advance changes the phase and the share where the evidence and the time ask for it.
func (c *Controller) advance(in Input, r *Record) Reason {
	d := r.order.duration
	switch {
	case in.Finding.Verdict == VerdictBad:
		return r.enter(PhaseRolledBack, 0, ReasonBad)
	case c.noServersSince >= 0 && (in.Now-c.noServersSince >= noServersTime || r.elapsed >= d-tail(d)):
		return r.enter(PhaseRolledBack, 0, ReasonNoServers)
	case c.noServersSince >= 0:
		return ReasonNone
	case r.phase == PhaseSettling:
		return c.settle(in, r)
	case r.phase == PhaseProbing && !c.proved(in, r):
		return ReasonNone // an order that could begin only late, too
	case r.elapsed >= d*2/3:
		return r.enter(PhaseSettling, 1, ReasonTime)
	case r.phase == PhaseProbing && r.elapsed-r.phaseStart < d/3 || !c.proved(in, r):
		return ReasonNone
	}
	for _, step := range raisingSteps {
		if step > r.share {
			if !c.affordable(r, step) {
				return ReasonNone
			}
			return r.enter(PhaseRaising, step, ReasonProved)
		}
	}
	return ReasonNone
}

// settle changes a record in PhaseSettling.
func (c *Controller) settle(in Input, r *Record) Reason {
	d := r.order.duration
	suspect := in.Finding.Verdict == VerdictSuspect
	late := r.elapsed >= d-tail(d)
	// All instances have to know that the old version gets nothing before its servers stop.
	spread := r.share == 1 && r.elapsed-r.stepStart >= min(minSettling, d/proofPart)
	switch {
	case late && spread:
		return r.enter(PhaseCompleted, 1, ReasonDeadline)
	case suspect && r.share == 1 && c.comparedTerm != r.term && r.elapsed < d-tail(d)-comparisonTime:
		// Once in a term: a version that is slow under load alone recovers with the small share.
		// The second time the finding has to last.
		c.comparedTerm = r.term
		return r.enter(PhaseSettling, comparisonShare, ReasonSuspect)
	case r.share < 1 && (late || !suspect && r.elapsed-r.stepStart >= comparisonTime):
		return r.enter(PhaseSettling, 1, ReasonProved)
	case spread && in.OldInFlight == 0 && c.settled(r):
		return r.enter(PhaseCompleted, 1, ReasonStreamsDone)
	}
	return ReasonNone
}

// enter changes phase and share, and returns the reason.
func (r *Record) enter(phase Phase, share float64, reason Reason) Reason {
	if phase != r.phase {
		r.phaseStart = r.elapsed
	}
	r.phase, r.share, r.reason, r.stepStart = phase, share, reason, r.elapsed
	return reason
}

// proved reports whether the version has answered enough requests at its share without a
// finding, or long enough.
func (c *Controller) proved(in Input, r *Record) bool {
	at := r.elapsed - r.stepStart
	responses, _ := in.Total.Responses(r.order.to)
	return responses >= c.stepResponses+proofResponses && at >= proofTime || at >= r.order.duration/proofPart
}

// affordable reports whether the exposure budget allows a step for the time of its proof.
func (c *Controller) affordable(r *Record, step float64) bool {
	perMilli := float64(r.requests) / float64(max(r.elapsed, 1))
	need := max(step-reserve*c.bounds.ExposureRatio, 0) * perMilli * float64(proofTime)
	return float64(r.exposed)+need < c.bounds.Allowed(r.requests)
}

// settled reports whether the new version has had all traffic for long enough.
func (c *Controller) settled(r *Record) bool {
	return r.elapsed-r.phaseStart >= min(max(r.order.duration/proofPart, minSettling), maxSettling)
}

// tail returns the time before the deadline at which an order of a duration is completed.
func tail(d waxfleet.Millis) waxfleet.Millis {
	return min(max(d/8, min(minTail, d/4)), maxTail)
}

// writeStatus returns the write of the status if the object of the order has another one.
func (c *Controller) writeStatus(in Input, delay waxfleet.Millis) Action {
	want, ok := c.known.Status()
	if !ok || in.Status == want {
		c.statusDiffers = -1
		return Action{}
	}
	if c.statusDiffers < 0 {
		c.statusDiffers = in.Now
	}
	if in.Now-c.statusDiffers < delay || c.statusWritten == want && in.Now-c.statusAt < statusPeriod {
		return Action{}
	}
	c.statusWritten, c.statusAt = want, in.Now
	return Action{Kind: ActionWriteStatus, Status: want, Reason: ReasonStatus, Changed: true}
}

// write returns the write of a record.
func (c *Controller) write(in Input, r Record, reason Reason, changed bool) Action {
	if changed && reason != ReasonRenewed {
		r.reason = reason
	}
	c.pending, c.pendingAt = r, in.Now
	return Action{Kind: ActionWriteRecord, Record: r, Revision: c.revision, Reason: reason, Changed: changed}
}

// Wrote reports that the record of the last action is stored, with its new revision.
func (c *Controller) Wrote(now waxfleet.Millis, revision waxfleet.Revision) {
	if !c.pending.Exists() {
		return
	}
	c.stored, c.revision, c.storedAt, c.ownWrite, c.wroteAt = c.pending, revision, c.pendingAt, true, now
	c.known, c.pending, c.diverged = c.pending, Record{}, -1
	c.holds = !c.stored.phase.Terminal()
}

// Lost reports that the write of the last action was refused because the record has changed,
// or that its outcome is unknown. The instance no longer holds the lease; if the write has
// succeeded after all, it does as soon as the copy shows it.
func (c *Controller) Lost() { c.holds, c.retryAt = false, c.pendingAt+retryDelay }
