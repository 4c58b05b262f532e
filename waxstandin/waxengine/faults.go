package waxengine

import "waxwingdrift.org/waxfleet"

// Faults are what is wrong with the engine now. Shares are between 0 and 1.
type Faults struct {
	// PoisonMarker ends the engine when a request whose body contains it starts
	// to run.
	PoisonMarker string `json:"poison-marker"`
	// CrossAnswers is the share of answers that are those of another request,
	// with its id.
	CrossAnswers float64 `json:"cross-answers"`
	// TruncateStreams is the share of streams whose connection is cut before
	// their end; a resumed stream is not cut again.
	TruncateStreams float64 `json:"truncate-streams"`
	// DuplicateEvents is the share of events that are sent twice.
	DuplicateEvents float64 `json:"duplicate-events"`
	// DropEvents is the share of events that a stream skips. The last event is
	// never skipped, and a resumed stream skips none.
	DropEvents float64 `json:"drop-events"`
	// SilentAfterEvents, when positive, makes the connections that are open at
	// the time of the switch go silent for good: streams after so many events,
	// all others at once.
	SilentAfterEvents int `json:"silent-after-events"`
	// LateBy delays the first byte of each answer.
	LateBy waxfleet.Millis `json:"late-by"`
	// TurnCold empties the cache and makes the engine cold, once per switch.
	// GET /load says so only after the report lag.
	TurnCold bool `json:"turn-cold"`
	// Leaving is reported by GET /load. The engine still takes requests.
	Leaving bool `json:"leaving"`
	// Frozen stops all work and all answers while connections stay open.
	Frozen bool `json:"frozen"`
	// Refuse answers new requests with 503.
	Refuse bool `json:"refuse"`
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	if f.TurnCold {
		e.turnColdLocked()
	}
	e.reportLocked()
	e.mu.Unlock()
	e.freezer.Set(f.Frozen)
	if f.SilentAfterEvents > 0 {
		e.server.Silence(f.SilentAfterEvents)
	}
}

// fault returns the faults that are switched on now.
func (e *Engine) fault() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// hits decides by the seed whether a fault with this share strikes.
func (e *Engine) hits(share float64) bool {
	if share <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64() < share
}
