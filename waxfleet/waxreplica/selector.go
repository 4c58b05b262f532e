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
	// and watchersPerDomain the number in each failure domain of a large one. A follower
	// notices that its watcher lacks changes by the revisions that other instances
	// report.
	watchersPerFleet  = 2
	watchersPerDomain = 1
	// directWatchWindow is the time for which an instance watches the store itself after
	// two replicas lacked a change that other instances have seen.
	directWatchWindow waxfleet.Millis = 2_000
	// sourceRetryDelay is the delay before a replica that failed is followed again. It is
	// also the delay before an instance calls the store again after a failed call, as
	// long as it finds another instance to follow.
	sourceRetryDelay waxfleet.Millis = 10_000
	// duplicateLagWindow is the window in which further reports of a missing change
	// concern the same replica and are ignored. A later report within repeatedLagWindow
	// makes the instance watch the store itself, because changes have to be in force
	// within two seconds.
	duplicateLagWindow waxfleet.Millis = 250
	repeatedLagWindow  waxfleet.Millis = 1_500
	// storeLagTimeout is how long an instance that watches the store may lack changes that
	// others have seen, as it does while the store is slow. Changes have to be in force
	// within two seconds.
	storeLagTimeout waxfleet.Millis = 700
	// watcherMinRetryDelay and watcherMaxRetryDelay bound the retry delay of a watching
	// instance after a failed call for the configuration. Such a retry detects for the
	// whole fleet that the store has recovered. otherMinRetryDelay and otherMaxRetryDelay
	// bound the retry delays of the other instances and feeds, which are notified.
	watcherMinRetryDelay waxfleet.Millis = 100
	watcherMaxRetryDelay waxfleet.Millis = 500
	otherMinRetryDelay   waxfleet.Millis = 2_000
	otherMaxRetryDelay   waxfleet.Millis = 4_000
	// maxCandidates is the number of instances that are asked at once. In a group of more than
	// smallGroup instances, maxDirect ask the store, too, at the first query.
	maxCandidates = 6
	smallGroup    = 8
	maxDirect     = 4
	// storeAskDelay is the time after a failed call to the store in which a query of several
	// sources leaves the store out. It doubles with each query at which the store fails, up
	// to maxStoreAskDelay.
	storeAskDelay    waxfleet.Millis = 2_000
	maxStoreAskDelay waxfleet.Millis = 8_000
	// preferWindow is the time for which the instance with the most recent copy is followed,
	// and oldSourceDelay the time for which those without one are not.
	preferWindow   waxfleet.Millis = 2_000
	oldSourceDelay waxfleet.Millis = 1_000
)

// watchers returns the number of instances of a group that watch the store. wholeFleet
// means that the group is the whole fleet rather than one failure domain.
func watchers(wholeFleet bool) int {
	if wholeFleet {
		return watchersPerFleet
	}
	return watchersPerDomain
}

// Watchers returns the instances of a group that watch the store: the first of alive in
// the order of the hashes of their names. Instances that agree on alive agree on the
// watchers.
func Watchers(alive []string, wholeFleet bool) []string {
	order := slices.SortedFunc(slices.Values(alive), waxplace.CompareByHash)
	return order[:min(watchers(wholeFleet), len(order))]
}

// Selector decides whether an instance watches the store itself or follows the replica of
// another instance, because the whole fleet would exceed the store's rate limits. It is
// safe for concurrent use.
//
// An instance watches the store, or follows an instance that precedes it in the order of
// the group. When it has lost the store and follows a later instance, it refuses
// followers. Replicas thus never follow each other in a cycle, except for a while after
// queries of several sources; their ages then grow, and lead to the next query.
type Selector struct {
	clock    *waxfleet.Clock
	instance string

	mu              sync.Mutex
	watchStoreUntil waxfleet.Millis
	avoidStoreUntil waxfleet.Millis
	// lastLagAt and storeLagAt are when ReplicaBehind was last called while the instance
	// followed a replica, and while it watched the store. storeLagSince is when the latter
	// reports began.
	lastLagAt     waxfleet.Millis
	storeLagAt    waxfleet.Millis
	storeLagSince waxfleet.Millis
	avoidUntil    map[string]waxfleet.Millis
	followed      string
	// preferred is followed until preferUntil. It may be outside of the group.
	preferred   string
	outsider    bool
	preferUntil waxfleet.Millis
	// storeFailedAt is when a call to the store failed last, and failedQueries the number of
	// queries of several sources in a row that brought nothing.
	storeFailedAt waxfleet.Millis
	failedQueries int
	// askDelay is the current delay after storeFailedAt.
	askDelay waxfleet.Millis
}

// NewSelector returns a selector for the named instance.
func NewSelector(clock *waxfleet.Clock, instance string) *Selector {
	return &Selector{
		clock:      clock,
		instance:   instance,
		avoidUntil: map[string]waxfleet.Millis{},
		lastLagAt:  -repeatedLagWindow,
		storeLagAt: -repeatedLagWindow,

		storeFailedAt: -maxStoreAskDelay,
		askDelay:      storeAskDelay,
	}
}

// Source returns the instance to follow, or "" for the store itself. reachesStore holds
// the other instances of the group that were heard from recently and reach the store.
// wholeFleet means that the group is the whole fleet.
func (s *Selector) Source(reachesStore []string, wholeFleet bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followed = s.chooseSource(reachesStore, wholeFleet)
	return s.followed
}

// chooseSource returns the source for Source. The caller holds the lock.
func (s *Selector) chooseSource(reachesStore []string, wholeFleet bool) string {
	now := s.clock.Now()
	if now < s.watchStoreUntil && now >= s.avoidStoreUntil {
		return ""
	}
	if now < s.preferUntil && now >= s.avoidUntil[s.preferred] && (s.outsider || slices.Contains(reachesStore, s.preferred)) {
		return s.preferred
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

// FollowsOutsider reports whether Source chose an instance outside of the group last, which
// sends this one no datagrams.
func (s *Selector) FollowsOutsider() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outsider && s.followed != "" && s.followed == s.preferred
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
	s.avoidUntil[peer] = s.clock.Now() + sourceRetryDelay
}

// StoreFailed records that a call of this instance to the store failed. The instance then
// follows another one for sourceRetryDelay. Without this delay, many instances that the
// store refuses would each retry their calls.
func (s *Selector) StoreFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidStoreUntil = s.clock.Now() + sourceRetryDelay
	s.storeFailedAt = s.clock.Now()
}

// Candidates returns the sources that are asked at once when the followed one is gone or out
// of date: instances, and whether the store is one of them. others holds the other instances
// of the group that were heard from recently, those that are to be asked first at the front.
// In a large group only the first ones in the order of the group ask the store, and then tell
// the others; if that has brought nothing, all do, and outsiders is true: instances outside of
// the group are to be asked as well.
func (s *Selector) Candidates(others []string) (peers []string, store, outsiders bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rank := 0
	for _, name := range others {
		if waxplace.CompareByHash(name, s.instance) < 0 {
			rank++
		}
	}
	direct := rank < maxDirect || len(others) < smallGroup || s.failedQueries > 0
	store = direct && s.clock.Now()-s.storeFailedAt >= s.askDelay
	return slices.Clone(others[:min(maxCandidates, len(others))]), store, s.failedQueries > 0
}

// QueryEnded records the result of a query of several sources.
func (s *Selector) QueryEnded(r QueryResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if r.StoreFailed {
		s.storeFailedAt, s.askDelay = now, min(2*s.askDelay, maxStoreAskDelay)
	}
	if !r.Found {
		s.failedQueries++
		return
	}
	s.failedQueries = 0
	for _, name := range r.Old {
		s.avoidUntil[name] = max(s.avoidUntil[name], now+oldSourceDelay)
	}
	delete(s.avoidUntil, r.Winner)
	if r.Winner == "" {
		// Until another instance is known to have a recent copy, Source returns the store.
		s.avoidStoreUntil, s.preferUntil, s.askDelay = 0, 0, storeAskDelay
		return
	}
	if r.Recent {
		s.preferred, s.outsider, s.preferUntil = r.Winner, r.Outsider, now+preferWindow
	}
}

// StoreRecovered records that the store responds to this instance or another one again.
// It clears the failures of the store and of peers.
func (s *Selector) StoreRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.avoidUntil)
	s.avoidStoreUntil, s.askDelay = 0, storeAskDelay
}

// RetryDelays returns the bounds of the retry delay after a failed call to the store.
// alive holds the other instances of the group that were heard from recently. config
// means that the call was for the configuration. Only watchers retry often, and only for
// the configuration, because API keys are accepted only while it is confirmed.
func (s *Selector) RetryDelays(alive []string, wholeFleet, config bool) (shortest, longest waxfleet.Millis) {
	if config && slices.Contains(Watchers(append(slices.Clone(alive), s.instance), wholeFleet), s.instance) {
		return watcherMinRetryDelay, watcherMaxRetryDelay
	}
	if !config {
		return otherMaxRetryDelay, otherMaxRetryDelay
	}
	return otherMinRetryDelay, otherMaxRetryDelay
}

// ReplicaBehind records that other instances have seen changes that this one lacks. It
// reports whether the current call should end because Source may return another source.
//
// An instance that follows a replica then follows the next usable one, or watches the store
// itself when that replica lacks them too. An instance that watches the store lets its call
// go on until the reports have lasted for storeLagTimeout; then the store counts as failed.
// Ending the call at each report would repeat a call that gets no response and never
// reaches its timeout.
func (s *Selector) ReplicaBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.followed == "" {
		if now-s.storeLagAt >= repeatedLagWindow {
			s.storeLagSince = now
		}
		s.storeLagAt = now
		if now-s.storeLagSince < storeLagTimeout || now < s.avoidStoreUntil {
			return false
		}
		s.avoidStoreUntil = now + sourceRetryDelay
		return true
	}
	if now-s.lastLagAt < duplicateLagWindow {
		return true
	}
	if now-s.lastLagAt < repeatedLagWindow {
		s.watchStoreUntil = now + directWatchWindow
	} else {
		s.avoidUntil[s.followed] = now + sourceRetryDelay
	}
	s.lastLagAt = now
	return true
}
