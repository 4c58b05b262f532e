package waxreplica

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
)

const (
	// watchersOfAll is the number of instances that watch the store in a small
	// fleet, watchersOfDomain that in each failure domain of a large one. The loss of
	// one is noticed by the changes that others tell.
	watchersOfAll    = 2
	watchersOfDomain = 1
	// directTime is how long an instance watches the store itself after two copies
	// lacked a change that others have seen, in ms.
	directTime waxfleet.Millis = 2_000
	// avoidTime is how long an instance whose copy failed is not followed, and how long
	// an instance leaves the store alone after a failed call as long as it finds
	// another one to follow, in ms.
	avoidTime waxfleet.Millis = 10_000
	// sameLack is the time within which reports of a missing change are about the same
	// copy, and secondLack that within which a further one sends the instance to the
	// store, in ms. Changes have to be in force within two seconds.
	sameLack   waxfleet.Millis = 250
	secondLack waxfleet.Millis = 1_500
	// watcherFirst and watcherLongest bound the pause of a watching instance after a
	// failed call for the configuration, in ms: the fleet learns from it that the
	// store is back. otherFirst and otherLongest bound those of the other instances
	// and feeds, which are told.
	watcherFirst   waxfleet.Millis = 100
	watcherLongest waxfleet.Millis = 500
	otherFirst     waxfleet.Millis = 2_000
	otherLongest   waxfleet.Millis = 4_000
)

// watchers returns how many instances of a group watch the store. whole tells
// that the group is the whole fleet and not one failure domain of it.
func watchers(whole bool) int {
	if whole {
		return watchersOfAll
	}
	return watchersOfDomain
}

// Watchers returns the instances of a group that watch the store, out of those
// that live: the first ones by the hash of their names. All instances that see the same ones alive agree.
func Watchers(alive []string, whole bool) []string {
	order := slices.SortedFunc(slices.Values(alive), waxplace.CompareHashed)
	return order[:min(watchers(whole), len(order))]
}

// Selector decides whether an instance watches the store itself or follows the copy
// of another one. It answers the pattern of a fleet that is larger than the
// store's rates. It is safe for concurrent use.
//
// Instances follow those that come before them in the order of the group, or the
// store. One that finds the store lost follows a later one, and then passes no copy
// on, so that copies never go in circles.
type Selector struct {
	clock    *waxfleet.Clock
	instance string

	mu          sync.Mutex
	directUntil waxfleet.Millis
	storeUntil  waxfleet.Millis
	lackedAt    waxfleet.Millis
	avoidUntil  map[string]waxfleet.Millis
	followed    string
}

// NewSelector returns a selector for an instance.
func NewSelector(clock *waxfleet.Clock, instance string) *Selector {
	return &Selector{clock: clock, instance: instance, avoidUntil: map[string]waxfleet.Millis{}, lackedAt: -secondLack}
}

// Source returns the instance to follow, or "" for the store itself. answered holds
// the instances of the group that were heard lately and have answers of the store,
// whole tells that the group is the whole fleet.
func (s *Selector) Source(answered []string, whole bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followed = s.choose(answered, whole)
	return s.followed
}

func (s *Selector) choose(answered []string, whole bool) string {
	now := s.clock.Now()
	if now < s.directUntil && now >= s.storeUntil {
		return ""
	}
	// The first usable ones of the group watch the store. When the store or a
	// watcher fails, this moves on by one instance at a time, and not by the group.
	usable := slices.SortedFunc(slices.Values(append(slices.Clone(answered), s.instance)), waxplace.CompareHashed)
	usable = slices.DeleteFunc(usable, func(name string) bool {
		if name == s.instance {
			return now < s.storeUntil
		}
		return now < s.avoidUntil[name]
	})
	chosen := usable[:min(watchers(whole), len(usable))]
	if len(chosen) == 0 || slices.Contains(chosen, s.instance) {
		return ""
	}
	return slices.MaxFunc(chosen, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+"\x00"+s.instance), xxhash.Sum64String(b+"\x00"+s.instance))
	})
}

// Followed returns the instance that was last chosen to be followed, or "".
func (s *Selector) Followed() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followed
}

// Serves reports whether other instances may follow this one's copies.
func (s *Selector) Serves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followed == "" || waxplace.CompareHashed(s.followed, s.instance) < 0
}

// Failed notes that the copy of an instance can't be followed. The next usable
// instance of the group takes its place.
func (s *Selector) Failed(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[peer] = s.clock.Now() + avoidTime
}

// StoreFailed notes that the store did not answer this instance, which follows
// another instance for a while. It answers the pattern of a store that turns many
// instances away, or all, which otherwise each ask it again and again.
func (s *Selector) StoreFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeUntil = s.clock.Now() + avoidTime
}

// StoreReturned notes that the store answers this instance or another one again, so
// that copies can be followed as before.
func (s *Selector) StoreReturned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.avoidUntil)
	s.storeUntil = 0
}

// Retry returns the bounds of the pause after a failed call to the store; alive
// holds the instances of the group that were heard lately. Only the
// configuration, on which the proof of keys rests, is asked for often while the
// store is away, and only by the instances that watch it.
func (s *Selector) Retry(alive []string, whole, config bool) (first, longest waxfleet.Millis) {
	if config && slices.Contains(Watchers(append(slices.Clone(alive), s.instance), whole), s.instance) {
		return watcherFirst, watcherLongest
	}
	if !config {
		return otherLongest, otherLongest
	}
	return otherFirst, otherLongest
}

// Behind notes that other instances have seen changes that the followed copy does
// not have. The next usable instance is followed, and the store itself when that
// one's copy lacks them too.
func (s *Selector) Behind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.followed == "" || now-s.lackedAt < sameLack {
		return
	}
	if now-s.lackedAt < secondLack {
		s.directUntil = now + directTime
	} else {
		s.avoidUntil[s.followed] = now + avoidTime
	}
	s.lackedAt = now
}
