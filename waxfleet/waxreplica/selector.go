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
	// watchersPerFleet is the number of instances that watch the store in a small fleet,
	// watchersPerDomain that in each failure domain of a large one. The loss of a
	// watcher is noticed by the revisions that other instances report.
	watchersPerFleet  = 2
	watchersPerDomain = 1
	// directWatchTime is how long an instance watches the store itself after two
	// replicas lacked a change that others have seen, in ms.
	directWatchTime waxfleet.Millis = 2_000
	// avoidTime is how long an instance whose replica failed is not followed, in ms. It
	// is also how long an instance does not call the store after a failed call, as long
	// as it finds another instance to follow.
	avoidTime waxfleet.Millis = 10_000
	// duplicateLagWindow is the time within which reports of a missing change concern
	// the same replica, in ms. A further report within repeatedLagWindow, in ms, makes
	// the instance watch the store itself, because changes have to be in force within
	// two seconds.
	duplicateLagWindow waxfleet.Millis = 250
	repeatedLagWindow  waxfleet.Millis = 1_500
	// watcherMinRetry and watcherMaxRetry bound the retry interval of a watching
	// instance after a failed call for the configuration, in ms. The fleet learns from
	// such a retry that the store is back. otherMinRetry and otherMaxRetry bound those
	// of the other instances and feeds, which are notified.
	watcherMinRetry waxfleet.Millis = 100
	watcherMaxRetry waxfleet.Millis = 500
	otherMinRetry   waxfleet.Millis = 2_000
	otherMaxRetry   waxfleet.Millis = 4_000
)

// watchers returns how many instances of a group watch the store. wholeFleet means that
// the group is the whole fleet rather than one failure domain.
func watchers(wholeFleet bool) int {
	if wholeFleet {
		return watchersPerFleet
	}
	return watchersPerDomain
}

// Watchers returns the instances of a group that watch the store: the first of the live
// ones in the order of the hashes of their names. All instances that see the same ones
// alive agree.
func Watchers(alive []string, wholeFleet bool) []string {
	order := slices.SortedFunc(slices.Values(alive), waxplace.CompareByHash)
	return order[:min(watchers(wholeFleet), len(order))]
}

// Selector decides whether an instance watches the store itself or follows the replica
// of another one, because the whole fleet together would exceed the store's rate limits.
// It is safe for concurrent use.
//
// An instance follows one that precedes it in the order of the group, or the store. When
// it has lost the store and follows a later one, it refuses followers of its own, so
// that replicas never follow each other in a cycle.
type Selector struct {
	clock    *waxfleet.Clock
	instance string

	mu              sync.Mutex
	directUntil     waxfleet.Millis
	avoidStoreUntil waxfleet.Millis
	laggedAt        waxfleet.Millis
	avoidUntil      map[string]waxfleet.Millis
	followed        string
}

// NewSelector returns a selector for the named instance.
func NewSelector(clock *waxfleet.Clock, instance string) *Selector {
	return &Selector{clock: clock, instance: instance, avoidUntil: map[string]waxfleet.Millis{}, laggedAt: -repeatedLagWindow}
}

// Source returns the instance to follow, or "" for the store itself. reachesStore holds
// the instances of the group that were heard from recently and that the store answers;
// wholeFleet means that the group is the whole fleet.
func (s *Selector) Source(reachesStore []string, wholeFleet bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followed = s.chooseSource(reachesStore, wholeFleet)
	return s.followed
}

func (s *Selector) chooseSource(reachesStore []string, wholeFleet bool) string {
	now := s.clock.Now()
	if now < s.directUntil && now >= s.avoidStoreUntil {
		return ""
	}
	// The first usable instances of the group watch the store. When the store or a
	// watcher fails, only the next instance takes over, not the whole group.
	usable := slices.SortedFunc(slices.Values(append(slices.Clone(reachesStore), s.instance)), waxplace.CompareByHash)
	usable = slices.DeleteFunc(usable, func(name string) bool {
		if name == s.instance {
			return now < s.avoidStoreUntil
		}
		return now < s.avoidUntil[name]
	})
	chosen := usable[:min(watchers(wholeFleet), len(usable))]
	if len(chosen) == 0 || slices.Contains(chosen, s.instance) {
		return ""
	}
	return slices.MaxFunc(chosen, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+"\x00"+s.instance), xxhash.Sum64String(b+"\x00"+s.instance))
	})
}

// Followed returns the instance that Source chose last, or "" for the store.
func (s *Selector) Followed() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followed
}

// Serves reports whether other instances may follow the replicas of this one.
func (s *Selector) Serves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followed == "" || waxplace.CompareByHash(s.followed, s.instance) < 0
}

// PeerFailed records that the replica of an instance can't be followed. The next usable
// instance of the group takes its place.
func (s *Selector) PeerFailed(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[peer] = s.clock.Now() + avoidTime
}

// StoreFailed records that the store did not answer this instance, which then follows
// another one for avoidTime. Without this, many instances that the store refuses would
// each call it again and again.
func (s *Selector) StoreFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidStoreUntil = s.clock.Now() + avoidTime
}

// StoreRecovered records that the store answers this instance or another one again.
// Sources are chosen as before the failures.
func (s *Selector) StoreRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.avoidUntil)
	s.avoidStoreUntil = 0
}

// RetryBounds returns the bounds of the retry interval after a failed call to the store,
// in ms. alive holds the instances of the group that were heard from recently. Only
// watchers retry often, and only for the configuration, because API keys are accepted
// only while it is confirmed.
func (s *Selector) RetryBounds(alive []string, wholeFleet, config bool) (shortest, longest waxfleet.Millis) {
	if config && slices.Contains(Watchers(append(slices.Clone(alive), s.instance), wholeFleet), s.instance) {
		return watcherMinRetry, watcherMaxRetry
	}
	if !config {
		return otherMaxRetry, otherMaxRetry
	}
	return otherMinRetry, otherMaxRetry
}

// ReplicaBehind records that other instances have seen changes that the followed replica
// lacks. The next usable instance is followed instead, or the store itself when that
// replica lacks them too.
func (s *Selector) ReplicaBehind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.followed == "" || now-s.laggedAt < duplicateLagWindow {
		return
	}
	if now-s.laggedAt < repeatedLagWindow {
		s.directUntil = now + directWatchTime
	} else {
		s.avoidUntil[s.followed] = now + avoidTime
	}
	s.laggedAt = now
}
