// Package waxrecord keeps the decisions of recent requests in memory, so that
// operators can ask why a request was served as it was.
package waxrecord

import (
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingdrift.org/waxfleet"
)

// maxDecisions bounds the record of one request.
const maxDecisions = 64

// Recorder keeps the decisions of the latest requests. It is safe for concurrent
// use.
type Recorder struct {
	clock    *waxfleet.Clock
	instance string

	mu    sync.Mutex
	cache *lru.Cache[string, []waxfleet.Decision]
}

// NewRecorder returns a recorder for the latest size requests; size is at least
// 1.
func NewRecorder(clock *waxfleet.Clock, instance string, size int) *Recorder {
	cache, err := lru.New[string, []waxfleet.Decision](max(size, 1))
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &Recorder{clock: clock, instance: instance, cache: cache}
}

// Record implements waxfleet.Recorder.
func (r *Recorder) Record(requestID, step, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, _ := r.cache.Get(requestID)
	if len(list) >= maxDecisions {
		return
	}
	list = append(list, waxfleet.Decision{At: r.clock.Wall(), Instance: r.instance, Step: step, Detail: detail})
	r.cache.Add(requestID, list)
}

// Decisions implements waxfleet.Recorder.
func (r *Recorder) Decisions(requestID string) []waxfleet.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, _ := r.cache.Get(requestID)
	return slices.Clone(list)
}
