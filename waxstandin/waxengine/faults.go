package waxengine

import "waxwingdrift.org/waxfleet"

// Faults selects the active faults. Shares are from 0 to 1.
type Faults struct {
	// PoisonMarker makes the engine crash when it starts to run a request whose body
	// contains it.
	PoisonMarker string `json:"poison-marker"`
	// MismatchResponses is the share of responses that have the ID of another request and
	// tokens that don't belong to the request.
	MismatchResponses float64 `json:"cross-answers"`
	// TruncateStreams is the share of streams whose connection is closed before the
	// end. A resumed stream is not truncated again.
	TruncateStreams float64 `json:"truncate-streams"`
	// DuplicateEvents is the share of events that are sent twice.
	DuplicateEvents float64 `json:"duplicate-events"`
	// DropEvents is the share of events that are dropped. The last event and those of
	// resumed streams are never dropped.
	DropEvents float64 `json:"drop-events"`
	// SilentAfterEvents, if positive, makes the connections that are open when the fault is
	// set go silent permanently: they stay open, but transfer no data. A connection with a
	// stream goes silent after this number of events, others at once.
	SilentAfterEvents int `json:"silent-after-events"`
	// ResponseDelay is the delay of the first byte of each response.
	ResponseDelay waxfleet.Millis `json:"late-by"`
	// TurnCold empties the cache and makes the engine cold, once per SetFaults.
	// GET /load shows it only after the report lag.
	TurnCold bool `json:"turn-cold"`
	// Leaving is reported by GET /load. The engine still accepts requests.
	Leaving bool `json:"leaving"`
	// Frozen stops all work and all responses while connections stay open.
	Frozen bool `json:"frozen"`
	// RejectRequests rejects new requests with 503.
	RejectRequests bool `json:"refuse"`
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	if f.TurnCold {
		e.resetToColdLocked()
	}
	e.recordLoadLocked()
	e.mu.Unlock()
	e.freezeGate.SetFrozen(f.Frozen)
	if f.SilentAfterEvents > 0 {
		e.server.Silence(f.SilentAfterEvents)
	}
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// shouldInject decides at random whether a fault with this share is injected.
func (e *Engine) shouldInject(share float64) bool {
	if share <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < share
}
