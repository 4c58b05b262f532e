// Package waxrecord keeps the routing decisions of recent requests in memory, so
// that operators can inspect how a request was served.
package waxrecord

import (
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingdrift.org/waxfleet"
)

// maxDecisions bounds the decisions of one request; later ones are dropped.
const maxDecisions = 64

// Recorder keeps the decisions of the most recently used requests. It is safe for
// concurrent use.
type Recorder struct {
	clock    *waxfleet.Clock
	instance string

	mu sync.Mutex
	// cache holds the decisions by request ID.
	cache *lru.Cache[string, []waxfleet.Decision]
}

// NewRecorder returns a recorder with a capacity in requests, of at least 1. instance is
// the name of the instance in the recorded decisions.
func NewRecorder(clock *waxfleet.Clock, instance string, capacity int) *Recorder {
	cache, err := lru.New[string, []waxfleet.Decision](max(capacity, 1))
	if err != nil {
		panic(err) // unreachable: the capacity is positive
	}
	return &Recorder{clock: clock, instance: instance, cache: cache}
}

// Record implements waxfleet.Recorder.
func (r *Recorder) Record(requestID, step, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	decisions, _ := r.cache.Get(requestID)
	if len(decisions) >= maxDecisions {
		return
	}
	decisions = append(decisions, waxfleet.Decision{At: r.clock.Wall(), Instance: r.instance, Step: step, Detail: detail})
	r.cache.Add(requestID, decisions)
}

// Decisions implements waxfleet.Recorder.
func (r *Recorder) Decisions(requestID string) []waxfleet.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	decisions, _ := r.cache.Get(requestID)
	return slices.Clone(decisions)
}
