package waxengine

import (
	"strconv"

	"waxwingdrift.org/waxfleet"
)

// report is the state of the engine since a time.
type report struct {
	at   waxfleet.Millis
	load loadBody
}

type loadBody struct {
	InFlight    int    `json:"in-flight"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
	Incarnation string `json:"incarnation"`
}

// reportLocked notes the state for GET /load.
func (e *Engine) reportLocked() {
	now := e.clock.Now()
	e.reports = append(e.reports, report{at: now, load: loadBody{
		InFlight:    len(e.inFlight),
		Cold:        e.cold,
		Leaving:     e.faults.Leaving,
		Incarnation: e.life.incarnation,
	}})
	e.pruneReportsLocked(now)
}

// pruneReportsLocked drops the reports before the one that GET /load shows.
func (e *Engine) pruneReportsLocked(now waxfleet.Millis) {
	shown := 0
	for shown+1 < len(e.reports) && e.reports[shown+1].at+e.opts.ReportLag <= now {
		shown++
	}
	e.reports = e.reports[shown:]
}

// laggedLoad is the load as it was the report lag ago, or at the start of the
// incarnation if that is later.
func (e *Engine) laggedLoad() loadBody {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmUpLocked()
	e.pruneReportsLocked(e.clock.Now())
	return e.reports[0].load
}

type cacheEvent struct {
	at       waxfleet.Millis
	Sequence uint64 `json:"sequence"`
	Block    string `json:"block"`
	Kind     string `json:"kind"`
}

type cacheEvents struct {
	Events []cacheEvent `json:"events"`
}

// publishLocked notes a cache event. Some are lost, and the sequence shows the
// gap.
func (e *Engine) publishLocked(key uint64, kind string) {
	e.cacheSeq++
	if e.random.Float64() < cacheEventLoss {
		return
	}
	e.cacheEvents = append(e.cacheEvents, cacheEvent{
		at:       e.clock.Now(),
		Sequence: e.cacheSeq,
		Block:    strconv.FormatUint(key, 16),
		Kind:     kind,
	})
	if len(e.cacheEvents) > 2*maxCacheEvents {
		e.cacheEvents = append([]cacheEvent(nil), e.cacheEvents[maxCacheEvents:]...)
	}
}

func (e *Engine) laggedCacheEvents(after uint64) cacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	shown := cacheEvents{Events: []cacheEvent{}}
	limit := e.clock.Now() - e.opts.ReportLag
	for _, ev := range e.cacheEvents {
		if ev.Sequence > after && ev.at <= limit {
			shown.Events = append(shown.Events, ev)
		}
	}
	return shown
}
