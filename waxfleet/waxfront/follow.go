package waxfront

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxfollow"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxfleet/waxreplica"
	"waxwingdrift.org/waxfleet/waxtable"
	"waxwingdrift.org/waxfleet/waxwire"
)

// Names of the feeds that an instance follows. They are used between instances, in log
// lines and by Revision.
const (
	FeedConfig      = "configuration"
	FeedServers     = "backend-servers"
	FeedEvacuations = "evacuations"
	FeedPeers       = "instances"
	// FeedRollouts is followed only in deployments that roll software versions out.
	FeedRollouts = "rollouts"
)

// feedOrder returns the order of the feeds in datagrams.
func feedOrder(rollsOut bool) []string {
	order := []string{FeedConfig, FeedServers, FeedEvacuations, FeedPeers}
	if rollsOut {
		order = append(order, FeedRollouts)
	}
	return order
}

// feedMaxWaits holds the maximum wait of a watch for each feed. For the configuration, it
// bounds the age of the confirmation that the API keys are current. For the other feeds,
// it bounds how long a broken connection hides a change. The deployment allows two to
// five seconds.
var feedMaxWaits = map[string]waxfleet.Millis{
	FeedConfig: 600, FeedServers: 1_200, FeedEvacuations: 2_000, FeedPeers: 20_000,
	FeedRollouts: 2_000,
}

// drainWaitShare is the part of the time for which a leaving server may get requests that a
// watch of the backend servers waits at most. The rest is for finding another source when
// the one that is followed is gone, and for its answer.
const drainWaitShare = 4

// feedMaxWait returns the maximum wait of a watch for a feed.
func (inst *Instance) feedMaxWait(name string) waxfleet.Millis {
	wait := feedMaxWaits[name]
	if drain := inst.bounds.Load().MaxDrainDelay; name == FeedServers && drain > 0 {
		wait = min(wait, drain/drainWaitShare)
	}
	return wait
}

// feedMinIntervals holds the minimum interval between two calls for each feed. It is
// short compared with the seconds within which a change has to be in force.
var feedMinIntervals = map[string]waxfleet.Millis{
	FeedConfig: 50, FeedServers: 300, FeedEvacuations: 150, FeedPeers: 1_000,
	FeedRollouts: 150,
}

// staleListFeeds holds the feeds with an entry for each instance or backend server. Their
// lists have many pages, which all instances of a fleet read when they start together.
var staleListFeeds = map[string]bool{FeedServers: true, FeedPeers: true}

const (
	// withheldConfigWait is the wait of a watch of the configuration while the restored store
	// may lack the latest version. It bounds how long API keys stay unconfirmed afterwards.
	withheldConfigWait waxfleet.Millis = 100
	// maxReplicaLag is the lag above which another instance's replica of the
	// configuration is no longer followed: two waits, a call and its response.
	maxReplicaLag waxfleet.Millis = 2_200
	// catchUpTimeout is how long a change that other instances have seen may be missing
	// in a replica before another source is chosen.
	catchUpTimeout waxfleet.Millis = 300
	// catchUpTimeoutPeers is the same for the registry of instances. Only the instances'
	// shares of limits depend on the registry.
	catchUpTimeoutPeers waxfleet.Millis = 3_000
	// recoveryInterval is the minimum interval between two attempts to call the store
	// because it responds to other instances.
	recoveryInterval waxfleet.Millis = 2_000
	// maxOutsiders is the number of instances outside of the group that are asked at once,
	// others each time.
	maxOutsiders = 4
	// monitorInterval is the interval between two checks of the replicas.
	monitorInterval waxfleet.Millis = 100
)

// replicaSet holds this instance's replicas of the store's feeds.
type replicaSet struct {
	// order is the order of the feeds in datagrams.
	order    []string
	byFeed   map[string]*waxreplica.Replica
	selector *waxreplica.Selector
	clients  *waxreplica.Clients
	// watchdogs holds the watchdogs of the feeds by name; it is set before the followers start.
	watchdogs map[string]*waxreplica.Watchdog
	// loggedOld holds the feeds whose copies were logged as old. Only monitorReplicas uses it.
	loggedOld map[string]bool

	mu              sync.Mutex
	interrupts      map[string]func()
	storeLostByFeed map[string]bool
	// queries holds the feeds for which the next call asks several sources at once.
	queries map[string]bool
}

func newReplicaSet(clock *waxfleet.Clock, instance string, order []string) *replicaSet {
	s := &replicaSet{
		order:           order,
		byFeed:          map[string]*waxreplica.Replica{},
		selector:        waxreplica.NewSelector(clock, instance),
		clients:         waxreplica.NewClients(),
		interrupts:      map[string]func(){},
		storeLostByFeed: map[string]bool{},
		watchdogs:       map[string]*waxreplica.Watchdog{},
		loggedOld:       map[string]bool{},
		queries:         map[string]bool{},
	}
	for _, feed := range order {
		s.byFeed[feed] = waxreplica.New(clock, s.selector.Serves)
	}
	return s
}

// setInterrupt sets the function that interrupts the follower of a feed.
func (s *replicaSet) setInterrupt(feed string, interrupt func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupts[feed] = interrupt
}

// interrupt ends the current call or delay of the follower of a feed.
func (s *replicaSet) interrupt(feed string) {
	s.mu.Lock()
	interrupt := s.interrupts[feed]
	s.mu.Unlock()
	if interrupt != nil {
		interrupt()
	}
}

// setStoreLost records whether a feed has lost the store. No replica is served while any
// feed has. After a loss, the followers of the configuration and of the backend servers
// call at once, to find out whether their calls fail too. After a recovery, all followers
// call at once.
func (s *replicaSet) setStoreLost(feed string, lost bool) {
	s.mu.Lock()
	s.storeLostByFeed[feed] = lost
	anyLost := false
	for _, l := range s.storeLostByFeed {
		anyLost = anyLost || l
	}
	s.mu.Unlock()
	for _, r := range s.byFeed {
		r.SetStoreLost(anyLost)
	}
	for _, other := range s.order {
		if other != feed && (!lost || other == FeedConfig || other == FeedServers) {
			s.interrupt(other)
		}
	}
}

// storeReachable reports whether no feed has lost the store.
func (s *replicaSet) storeReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lost := range s.storeLostByFeed {
		if lost {
			return false
		}
	}
	return true
}

// interruptAll ends the current calls and delays of all followers.
func (s *replicaSet) interruptAll() {
	for _, feed := range s.order {
		s.interrupt(feed)
	}
}

// interruptLost ends the delays of the followers whose feeds have lost the store.
func (s *replicaSet) interruptLost() {
	for _, feed := range s.order {
		s.mu.Lock()
		lost := s.storeLostByFeed[feed]
		s.mu.Unlock()
		if lost {
			s.interrupt(feed)
		}
	}
}

// requestQuery makes the next call for a feed ask several sources at once.
func (s *replicaSet) requestQuery(feed string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries[feed] = true
}

// takeQuery reports whether requestQuery was called for the feed, and resets that state.
func (s *replicaSet) takeQuery(feed string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	requested := s.queries[feed]
	delete(s.queries, feed)
	return requested
}

// lost reports whether a feed has lost the store.
func (s *replicaSet) lost(feed string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeLostByFeed[feed]
}

// ages returns the age of the copy of each feed against the store, in the order of
// the datagrams; -1 for one that is not loaded.
func (s *replicaSet) ages() []waxfleet.Millis {
	out := make([]waxfleet.Millis, len(s.order))
	for i, feed := range s.order {
		out[i] = s.byFeed[feed].Age()
	}
	return out
}

// changeRevisions returns the revision of the latest change of each feed, in the order of
// the datagrams.
func (s *replicaSet) changeRevisions() []waxfleet.Revision {
	out := make([]waxfleet.Revision, len(s.order))
	for i, feed := range s.order {
		out[i] = s.byFeed[feed].LastChangeRevision()
	}
	return out
}

// Revision returns the store revision that the replica of a feed has reached; 0 before
// the first list.
func (inst *Instance) Revision(feed string) waxfleet.Revision {
	return inst.replicas.byFeed[feed].Revision()
}

// startFollowers starts the followers of all feeds.
func (inst *Instance) startFollowers(ctx context.Context) {
	store := inst.opts.Store
	watched := []string{FeedConfig, FeedServers, FeedEvacuations}
	if inst.rollouts != nil {
		watched = append(watched, FeedRollouts)
	}
	for _, feed := range watched {
		inst.replicas.watchdogs[feed] = waxreplica.NewWatchdog(func() waxfleet.Millis { return inst.feedMaxWait(feed) })
	}
	followFeed(ctx, inst, FeedConfig, store.Configurations(), waxfollow.Options[*waxtable.Table]{Apply: inst.applyConfig})
	followFeed(ctx, inst, FeedServers, store.BackendServers(), waxfollow.Options[waxfleet.BackendServerEntry]{
		Apply:          inst.applyServers,
		StoreLost:      func(error) { inst.directory.StoreLost() },
		StoreRecovered: func(string) { inst.directory.StoreRecovered() },
	})
	followFeed(ctx, inst, FeedEvacuations, store.Evacuations(),
		waxfollow.Options[waxfleet.Evacuation]{Apply: inst.evacuationApplier()})
	followFeed[waxfleet.PeerEntry](ctx, inst, FeedPeers, store.Peers(),
		waxfollow.Options[waxfleet.PeerEntry]{Apply: inst.applyPeers})
	if inst.rollouts != nil {
		followFeed(ctx, inst, FeedRollouts, store.Rollouts(), waxfollow.Options[waxfleet.Rollout]{Apply: inst.rollouts.apply})
	}
	go func() { inst.monitorReplicas(ctx) }()
}

// followFeed starts the follower of a feed. Its batches also update the replica that
// other instances follow.
func followFeed[T any](ctx context.Context, inst *Instance, name string, store waxfleet.Feed[T], opts waxfollow.Options[T]) {
	apply := opts.Apply
	opts.Name, opts.Clock, opts.Log = name, inst.opts.Clock, inst.log
	opts.Apply = func(b waxfleet.Batch[T], asOf waxfleet.Millis) {
		apply(b, asOf)
		waxreplica.Update(inst.replicas.byFeed[name], b, asOf)
	}
	opts.StaleList = staleListFeeds[name]
	opts.MinInterval, opts.StoreFailed = feedMinIntervals[name], inst.replicas.selector.StoreFailed
	opts.RetryDelays = func() (shortest, longest waxfleet.Millis) {
		alive, wholeFleet := filterGroup(inst.exchanger.Topology(), inst.loads.Alive)
		return inst.replicas.selector.RetryDelays(alive, wholeFleet, name == FeedConfig)
	}
	lost, regained := opts.StoreLost, opts.StoreRecovered
	opts.StoreLost = func(err error) {
		if lost != nil {
			lost(err)
		}
		inst.replicas.setStoreLost(name, true)
	}
	opts.StoreRecovered = func(peer string) {
		if regained != nil {
			regained(peer)
		}
		if peer == "" {
			inst.replicas.selector.StoreRecovered()
		}
		inst.replicas.setStoreLost(name, false)
	}
	opts.PeerFailed = func(peer string, _ error) { inst.replicas.selector.PeerFailed(peer) }
	opts.Source = func() waxfollow.Source[T] {
		if inst.replicas.takeQuery(name) {
			return querySource(inst, name, store)
		}
		source := waxfollow.Source[T]{Feed: store, Wait: inst.feedMaxWait(name)}
		if name == FeedConfig && inst.freshness.Withheld() {
			source.Wait = withheldConfigWait
		}
		peer, address := inst.source()
		if peer == "" || name == FeedRollouts && !inst.followsRollouts(peer) {
			return source
		}
		source.Peer, source.Feed = peer, waxreplica.NewFeed(store, inst.replicas.clients, address, name)
		if name == FeedConfig {
			source.MaxLag = maxReplicaLag
		}
		return source
	}
	inst.replicas.setInterrupt(name, waxfollow.New(ctx, opts).Interrupt)
}

// followsRollouts reports whether another instance has told that it has a copy of the orders of
// rollouts. Earlier versions have none, and a call for it would count as a failure.
func (inst *Instance) followsRollouts(peer string) bool {
	feed := slices.Index(inst.replicas.order, FeedRollouts)
	return inst.loads.Feeds(peer, feed+1)[feed].Age >= 0
}

// querySource returns a source that asks several instances, and maybe the store, at once.
func querySource[T any](inst *Instance, name string, store waxfleet.Feed[T]) waxfollow.Source[T] {
	t := inst.exchanger.Topology()
	peers, direct, outsiders := inst.replicas.selector.Candidates(inst.youngest(t, slices.Index(inst.replicas.order, name)))
	if w := inst.replicas.watchdogs[name]; w != nil {
		w.Asked(direct)
	}
	var sources []waxreplica.NamedFeed[T]
	if direct {
		sources = append(sources, waxreplica.NamedFeed[T]{Feed: store})
	}
	for _, p := range t.Group {
		if !slices.Contains(peers, p.Name) {
			continue
		}
		feed := waxreplica.NewFeed(store, inst.replicas.clients, p.Address, name)
		if inst.loads.Able(p.Name, waxwire.Ability_ABILITY_GIVES_SNAPSHOTS) {
			feed = feed.Snapshot()
		}
		sources = append(sources, waxreplica.NamedFeed[T]{Name: p.Name, Feed: feed})
	}
	if outsiders {
		// Those of earlier versions ignore that a snapshot is wanted.
		for _, p := range inst.exchanger.Outsiders(uint64(inst.opts.Clock.Now()), maxOutsiders) {
			feed := waxreplica.NewFeed(store, inst.replicas.clients, p.Address, name).Snapshot()
			sources = append(sources, waxreplica.NamedFeed[T]{Name: p.Name, Outsider: true, Feed: feed})
		}
	}
	age := inst.replicas.byFeed[name].Age()
	maxLag := age
	if age < 0 {
		maxLag = math.MaxInt32
	}
	if w := inst.replicas.watchdogs[name]; w != nil {
		// An older copy is that of an instance that has lost contact itself.
		maxLag = min(maxLag, w.MaxAge(t.Gap()))
	}
	winner := ""
	feed := waxreplica.NewFreshest(store, sources, maxLag, func(r waxreplica.QueryResult) {
		winner = r.Winner
		inst.replicas.selector.QueryEnded(r)
		if r.Found && (r.Winner == "" || r.Outsider) {
			inst.exchanger.Flush() // others may have no recent copy either
		}
		inst.log.Info("several sources asked", "feed", name, "sources", len(sources), "store", direct, "outsiders", outsiders,
			"found", r.Found, "peer", r.Winner, "old", r.Old, "age-ms", int64(age))
	})
	return waxfollow.Source[T]{Feed: feed, Winner: func() string { return winner }}
}

// youngest returns the instances of the group that were heard from recently, those with the
// youngest copies of a feed first, as they have told.
func (inst *Instance) youngest(t waxpeer.Topology, feed int) []string {
	alive, _ := filterGroup(t, inst.loads.Alive)
	ages := map[string]waxfleet.Millis{}
	for _, name := range alive {
		ages[name] = inst.loads.Feeds(name, feed+1)[feed].Age
		if ages[name] < 0 {
			ages[name] = math.MaxInt32
		}
	}
	slices.SortFunc(alive, func(a, b string) int {
		return cmp.Or(cmp.Compare(ages[a], ages[b]), waxplace.CompareByHash(a, b))
	})
	return alive
}

// filterGroup returns the names of the matching instances of the group that are not stopping,
// and whether the group is the whole fleet.
func filterGroup(t waxpeer.Topology, match func(name string) bool) (names []string, wholeFleet bool) {
	for _, p := range t.Group {
		if !p.Stopping && match(p.Name) {
			names = append(names, p.Name)
		}
	}
	return names, t.WholeFleet
}

// source returns the instance to follow and its address, or "" for the store. An instance
// follows only instances of its own group, but for a while after none of them had a recent
// copy.
func (inst *Instance) source() (peer, address string) {
	t := inst.exchanger.Topology()
	timeout := t.FollowTimeout()
	reachesStore, wholeFleet := filterGroup(t, func(name string) bool { return inst.loads.ReachesStore(name, timeout) })
	recent := slices.DeleteFunc(slices.Clone(reachesStore), func(name string) bool { return inst.copyOld(name, t.Gap()) })
	if len(recent) == 0 {
		// The store may be slow. Queries find out who has a better copy; the whole group must
		// not turn to the store.
		recent = reachesStore
	}
	peer = inst.replicas.selector.Source(recent, wholeFleet)
	if address = inst.exchanger.Address(peer); address == "" {
		return "", ""
	}
	return peer, address
}

// copyOld reports whether an instance has told that its copy of a watched feed is too old.
// gap is the time between two of its datagrams.
func (inst *Instance) copyOld(name string, gap waxfleet.Millis) bool {
	for i, state := range inst.loads.Feeds(name, len(inst.replicas.order)) {
		if w := inst.replicas.watchdogs[inst.replicas.order[i]]; w != nil && state.Age > w.MaxAge(gap) {
			return true
		}
	}
	return false
}

// views returns what this instance knows of its copies of the feeds, in the order of
// the datagrams, and of their source. silent is set if the followed instance was not heard from
// lately.
func (inst *Instance) views(silent bool) []waxreplica.View {
	t, followed := inst.exchanger.Topology(), inst.replicas.selector.Followed()
	views := make([]waxreplica.View, len(inst.replicas.order))
	for i, feed := range inst.replicas.order {
		views[i] = waxreplica.View{
			Followed: followed != "", Silent: silent, SourceAge: -1, OthersAge: -1, OwnAge: inst.replicas.byFeed[feed].Age(),
			Gap: t.Gap(), StoreLost: inst.replicas.lost(feed),
		}
	}
	now := inst.opts.Clock.Now()
	for _, p := range t.Group {
		for i, state := range inst.loads.Feeds(p.Name, len(inst.replicas.order)) {
			if state.Age < 0 {
				continue
			}
			v := &views[i]
			if p.Name == followed {
				v.SourceAge = state.Age
				inst.replicas.byFeed[inst.replicas.order[i]].Seen(state.Revision, now-state.Age)
			}
			if v.OthersAge < 0 || state.Age < v.OthersAge {
				v.OthersAge = state.Age
			}
		}
	}
	return views
}

// checkAges asks several sources for each feed whose copy may be too old, and reports ages
// above half of the bound.
func (inst *Instance) checkAges(silent bool) {
	now := inst.opts.Clock.Now()
	for i, v := range inst.views(silent) {
		feed := inst.replicas.order[i]
		w := inst.replicas.watchdogs[feed]
		if w == nil {
			continue
		}
		inst.metrics.RecordCopyAge(feed, v.OwnAge)
		inst.logAge(feed, v.OwnAge)
		reason := w.Check(now, v)
		if reason == waxreplica.ReasonNone {
			continue
		}
		inst.log.Info("copy may be too old", "feed", feed, "reason", string(reason), "peer", inst.replicas.selector.Followed(),
			"age-ms", int64(v.OwnAge), "source-age-ms", int64(v.SourceAge), "others-age-ms", int64(v.OthersAge))
		inst.replicas.requestQuery(feed)
		inst.replicas.interrupt(feed)
	}
}

// logAge logs a copy whose age passes half of the time within which changes have to be in
// force, and its return below.
func (inst *Instance) logAge(feed string, age waxfleet.Millis) {
	bounds := inst.bounds.Load()
	bound := bounds.MaxConfigDelay
	if feed == FeedServers {
		bound = bounds.MaxDrainDelay
	}
	old := bound > 0 && age > bound/2
	if feed == FeedEvacuations || old == inst.replicas.loggedOld[feed] {
		return
	}
	inst.replicas.loggedOld[feed] = old
	if old {
		inst.log.Warn("copy is old", "feed", feed, "age-ms", int64(age), "bound-ms", int64(bound), "peer", inst.replicas.selector.Followed())
		return
	}
	inst.log.Info("copy is recent again", "feed", feed, "age-ms", int64(age))
}

// monitorReplicas chooses another source when the followed instance is unreachable or has
// lost the store, and when other instances have seen changes that are missing here. It
// calls the store again when the store responds to other instances.
func (inst *Instance) monitorReplicas(ctx context.Context) {
	behindSince := map[string]waxfleet.Millis{}
	var lastRecovery waxfleet.Millis
	unreachable := ""
	for inst.opts.Clock.Sleep(ctx, monitorInterval) == nil {
		now := inst.opts.Clock.Now()
		if peer := inst.replicas.selector.Followed(); peer == "" || inst.replicas.selector.FollowsOutsider() ||
			inst.loads.ReachesStore(peer, inst.exchanger.Topology().FollowTimeout()) {
			unreachable = ""
		} else if peer != unreachable {
			unreachable = peer
			inst.log.Warn("followed instance is unreachable", "peer", peer)
			inst.replicas.interruptAll()
		}
		inst.checkAges(unreachable != "")
		if !inst.replicas.storeReachable() && inst.loads.StoreReachable() && now-lastRecovery >= recoveryInterval {
			lastRecovery = now
			inst.replicas.selector.StoreRecovered()
			inst.replicas.interruptLost()
		}
		for i, revision := range inst.loads.Revisions() {
			if i >= len(inst.replicas.order) {
				break
			}
			feed := inst.replicas.order[i]
			reached := inst.replicas.byFeed[feed].Revision()
			if reached == 0 || revision <= reached {
				delete(behindSince, feed)
				continue
			}
			if behindSince[feed] == 0 {
				behindSince[feed] = now
			}
			timeout := catchUpTimeout
			if feed == FeedPeers {
				timeout = catchUpTimeoutPeers
			}
			if now-behindSince[feed] < timeout {
				continue
			}
			inst.log.Warn("replica is behind", "feed", feed,
				"revision", reached, "others", revision, "peer", inst.replicas.selector.Followed())
			delete(behindSince, feed)
			if inst.replicas.selector.ReplicaBehind() {
				inst.replicas.requestQuery(feed)
				inst.replicas.interrupt(feed)
			}
		}
	}
}
