package waxengine

import (
	"strconv"

	"waxwingdrift.org/waxfleet"
)

// timedLoad is a load report and the time from which on it was current.
type timedLoad struct {
	at   waxfleet.Millis
	load loadReport
}

type loadReport struct {
	InFlight    int    `json:"in-flight"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
	Incarnation string `json:"incarnation"`
}

// recordLoadLocked records the current load for GET /load.
func (e *Engine) recordLoadLocked() {
	now := e.clock.Now()
	e.loadReports = append(e.loadReports, timedLoad{at: now, load: loadReport{
		InFlight:    len(e.inFlight),
		Cold:        e.cold,
		Leaving:     e.faults.Leaving,
		Incarnation: e.process.incarnation,
	}})
	e.pruneLoadReportsLocked(now)
}

// pruneLoadReportsLocked drops the reports before the one that GET /load returns.
func (e *Engine) pruneLoadReportsLocked(now waxfleet.Millis) {
	visible := 0
	for visible+1 < len(e.loadReports) && e.loadReports[visible+1].at+e.opts.ReportLag <= now {
		visible++
	}
	e.loadReports = e.loadReports[visible:]
}

// laggedLoad returns the load as it was ReportLag ago, or at the start of the incarnation
// if that was later.
func (e *Engine) laggedLoad() loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateColdLocked()
	e.pruneLoadReportsLocked(e.clock.Now())
	return e.loadReports[0].load
}

type cacheEvent struct {
	at       waxfleet.Millis
	Sequence uint64 `json:"sequence"`
	Block    string `json:"block"`
	Kind     string `json:"kind"`
}

type cacheEventsResponse struct {
	Events []cacheEvent `json:"events"`
}

// publishCacheEventLocked records a cache event. A share of the events is lost, at
// random; clients notice a gap in the sequence numbers.
func (e *Engine) publishCacheEventLocked(key uint64, kind string) {
	e.cacheEventSeq++
	if e.rng.Float64() < cacheEventLossRate {
		return
	}
	e.cacheEvents = append(e.cacheEvents, cacheEvent{
		at:       e.clock.Now(),
		Sequence: e.cacheEventSeq,
		Block:    strconv.FormatUint(key, 16),
		Kind:     kind,
	})
	if len(e.cacheEvents) > 2*maxCacheEvents {
		e.cacheEvents = append([]cacheEvent(nil), e.cacheEvents[maxCacheEvents:]...)
	}
}

// laggedCacheEvents returns the cache events that are older than ReportLag and have a
// sequence number greater than after.
func (e *Engine) laggedCacheEvents(after uint64) cacheEventsResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := cacheEventsResponse{Events: []cacheEvent{}}
	limit := e.clock.Now() - e.opts.ReportLag
	for _, ev := range e.cacheEvents {
		if ev.Sequence > after && ev.at <= limit {
			visible.Events = append(visible.Events, ev)
		}
	}
	return visible
}
