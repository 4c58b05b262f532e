package waxpolicy

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxtrace"
)

// job is one request on its way through the replay.
type job struct {
	id       uint64
	record   waxtrace.Record
	tier     waxfleet.Tier
	key      string
	router   int
	attempts int
	engine   *engine
	// sends changes whenever the job is sent or its engine dies. Events of the
	// job carry it, so that those of an ended attempt are dropped.
	sends int

	admitted   waxfleet.Millis
	submitted  waxfleet.Millis
	firstToken waxfleet.Millis
	cached     int

	// State of the owner policy.
	home      string
	excluded  map[string]bool
	redirects int
}

// engine models a model server with continuous batching: a number of batch
// slots, one prefill at a time and a prefix cache of limited blocks.
type engine struct {
	id         string
	domain     string
	up         bool
	in         bool
	coldUntil  waxfleet.Millis
	generation int
	running    int
	waiting    []*job
	// jobs are those in flight, in the order of their arrival.
	jobs        []*job
	prefillFree waxfleet.Millis
	cache       *simplelru.LRU[uint64, struct{}]
	cacheBlocks int
}

func newEngine(id, domain string, cacheBlocks int) *engine {
	e := &engine{id: id, domain: domain, up: true, in: true, cacheBlocks: max(cacheBlocks, 1)}
	e.clearCache()
	return e
}

func (e *engine) clearCache() {
	cache, err := simplelru.NewLRU[uint64, struct{}](e.cacheBlocks, nil)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	e.cache = cache
}

func (e *engine) eligible() bool { return e.up && e.in }

func (e *engine) inFlight() int { return len(e.jobs) }

func (e *engine) cold(now waxfleet.Millis) bool { return now < e.coldUntil }

// refuses reports whether the engine would refuse one more request: while cold
// it bears only a few.
func (e *engine) refuses(now waxfleet.Millis, capacity int) bool {
	return !e.up || (e.cold(now) && e.inFlight() >= capacity)
}

// hit returns the prompt tokens of the record that the cache holds.
func (e *engine) hit(r waxtrace.Record) int {
	found := 0
	for found < len(r.HashIDs) && e.cache.Contains(r.HashIDs[found]) {
		found++
	}
	return r.PrefixTokens(found)
}

// store puts the prompt into the cache, last block first, so that the ends of
// prompts are dropped before their starts.
func (e *engine) store(r waxtrace.Record) {
	for i := len(r.HashIDs) - 1; i >= 0; i-- {
		e.cache.Add(r.HashIDs[i], struct{}{})
	}
}

func (e *engine) remove(j *job) {
	for i, other := range e.jobs {
		if other == j {
			e.jobs = append(e.jobs[:i], e.jobs[i+1:]...)
			return
		}
	}
}

// nextWaiting takes the waiting job with the lowest priority number, the
// earliest first.
func (e *engine) nextWaiting() *job {
	best := 0
	for i, j := range e.waiting {
		if j.tier.Priority() < e.waiting[best].tier.Priority() {
			best = i
		}
	}
	j := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	return j
}
