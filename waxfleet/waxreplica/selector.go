package waxreplica

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
)

const (
	// watchersOfAll is the number of instances that watch the store in a small
	// fleet, watchersOfDomain that in each failure domain of a large one. The loss of
	// one is noticed by the changes that others tell.
	watchersOfAll    = 2
	watchersOfDomain = 1
	// directTime is how long an instance watches the store itself after the copies
	// of others have failed it, in ms.
	directTime waxfleet.Millis = 2_000
	// avoidTime is how long an instance whose copy failed is not followed, in ms.
	avoidTime waxfleet.Millis = 10_000
	// storeAvoidTime is how long an instance that need not watch the store leaves it
	// alone after a failed call, in ms, as long as it finds another one to follow.
	storeAvoidTime waxfleet.Millis = 3_000
)

// Watchers returns the instances of a group that watch the store, out of those
// that live. whole tells that the group is the whole fleet and not one failure
// domain of it. All instances that see the same ones alive agree.
func Watchers(alive []string, whole bool) []string {
	n := watchersOfDomain
	if whole {
		n = watchersOfAll
	}
	order := slices.Clone(alive)
	slices.SortFunc(order, func(a, b string) int {
		if c := cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return order[:min(n, len(order))]
}

// Selector decides whether an instance watches the store itself or follows the copy
// of another one. It answers the pattern of a fleet that is larger than the
// store's rates. It is safe for concurrent use.
type Selector struct {
	clock    *waxfleet.Clock
	instance string

	mu          sync.Mutex
	directUntil waxfleet.Millis
	storeUntil  waxfleet.Millis
	avoidUntil  map[string]waxfleet.Millis
}

// NewSelector returns a selector for an instance.
func NewSelector(clock *waxfleet.Clock, instance string) *Selector {
	return &Selector{clock: clock, instance: instance, avoidUntil: map[string]waxfleet.Millis{}}
}

// Source returns the instance to follow, or "" for the store itself. alive holds
// the instances of the group that were heard lately, whole tells that the group
// is the whole fleet.
func (s *Selector) Source(alive []string, whole bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now < s.directUntil && now >= s.storeUntil {
		return ""
	}
	chosen := Watchers(append(slices.Clone(alive), s.instance), whole)
	if slices.Contains(chosen, s.instance) {
		return ""
	}
	best, bestRank := "", uint64(0)
	for _, w := range chosen {
		if now < s.avoidUntil[w] {
			continue
		}
		if rank := xxhash.Sum64String(w + "\x00" + s.instance); best == "" || rank > bestRank {
			best, bestRank = w, rank
		}
	}
	return best
}

// Failed notes that the copy of an instance can't be followed. The next calls go
// to the store.
func (s *Selector) Failed(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.avoidUntil[peer] = now + avoidTime
	s.directUntil = now + directTime
}

// StoreFailed notes that the store did not answer this instance. If it need not
// watch the store, it follows another instance for a while. It answers the
// pattern of a store that turns many instances away, or all, which otherwise each
// ask it twice a second.
func (s *Selector) StoreFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeUntil = s.clock.Now() + storeAvoidTime
}

// StoreReturned notes that the store answers other instances again, so that their
// copies can be followed.
func (s *Selector) StoreReturned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.avoidUntil)
	s.storeUntil = 0
}

// Watches reports whether the instance is one of those that watch the store.
func (s *Selector) Watches(alive []string, whole bool) bool {
	return slices.Contains(Watchers(append(slices.Clone(alive), s.instance), whole), s.instance)
}

// Behind notes that other instances have seen changes that the followed copy does
// not have. The next calls go to the store.
func (s *Selector) Behind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directUntil = s.clock.Now() + directTime
}
