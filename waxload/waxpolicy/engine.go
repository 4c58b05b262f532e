package waxpolicy

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxtrace"
)

// job is one request in the simulation.
type job struct {
	id     uint64
	record waxtrace.Record
	tier   waxfleet.Tier
	key    string
	router int
	// abortedAttempts counts the attempts that ended because the engine stopped.
	abortedAttempts int
	engine          *engine
	// attemptSeq increases whenever the job is submitted or its engine stops. Scheduled
	// events have its value, so that the events of an aborted attempt are ignored.
	attemptSeq int

	admittedAt   waxfleet.Millis
	submittedAt  waxfleet.Millis
	firstTokenAt waxfleet.Millis
	cachedTokens int

	// State of ownerPolicy.
	home      string
	excluded  map[string]bool
	redirects int
}

// engine models an inference engine with continuous batching: it has a fixed number
// of batch slots, one prefill at a time and an LRU prefix cache.
type engine struct {
	id          string
	domain      string
	up          bool
	inService   bool
	coldUntil   waxfleet.Millis
	incarnation int
	busySlots   int
	waiting     []*job
	// jobs are the jobs in flight, including the waiting ones, in order of arrival.
	jobs []*job
	// prefillFreeAt is the time from which the engine can start another prefill.
	prefillFreeAt waxfleet.Millis
	cache         *simplelru.LRU[uint64, struct{}]
	cacheBlocks   int
}

func newEngine(id, domain string, cacheBlocks int) *engine {
	e := &engine{
		id:          id,
		domain:      domain,
		up:          true,
		inService:   true,
		cacheBlocks: max(cacheBlocks, 1),
	}
	e.resetCache()
	return e
}

func (e *engine) resetCache() {
	cache, err := simplelru.NewLRU[uint64, struct{}](e.cacheBlocks, nil)
	if err != nil {
		panic(err) // unreachable, since the size is positive
	}
	e.cache = cache
}

func (e *engine) eligible() bool { return e.up && e.inService }

func (e *engine) inFlight() int { return len(e.jobs) }

func (e *engine) cold(now waxfleet.Millis) bool { return now < e.coldUntil }

// rejectsNext reports whether the engine rejects the next request. It does while it is
// down, and while it is cold with coldWindow requests in flight.
func (e *engine) rejectsNext(now waxfleet.Millis, coldWindow int) bool {
	return !e.up || (e.cold(now) && e.inFlight() >= coldWindow)
}

// cachedTokens returns the number of prompt tokens of the record that are cached.
func (e *engine) cachedTokens(r waxtrace.Record) int {
	blocks := 0
	for blocks < len(r.HashIDs) && e.cache.Contains(r.HashIDs[blocks]) {
		blocks++
	}
	return r.PrefixTokens(blocks)
}

// cachePrompt adds the prompt to the cache. It adds the last block first, so that the
// last blocks are evicted first.
func (e *engine) cachePrompt(r waxtrace.Record) {
	for i := len(r.HashIDs) - 1; i >= 0; i-- {
		e.cache.Add(r.HashIDs[i], struct{}{})
	}
}

func (e *engine) removeJob(j *job) {
	for i, other := range e.jobs {
		if other == j {
			e.jobs = append(e.jobs[:i], e.jobs[i+1:]...)
			return
		}
	}
}

// popWaiting removes and returns the first waiting job with the lowest priority
// number, which is the most urgent.
func (e *engine) popWaiting() *job {
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
