package waxfront

import (
	"context"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxfollow"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxreplica"
	"waxwingdrift.org/waxfleet/waxtable"
)

// Names of the feeds that an instance follows. They are used between instances, in log
// lines and by Revision.
const (
	FeedConfig      = "configuration"
	FeedServers     = "backend-servers"
	FeedEvacuations = "evacuations"
	FeedPeers       = "instances"
)

// feedOrder is the order of the feeds in datagrams.
var feedOrder = []string{FeedConfig, FeedServers, FeedEvacuations, FeedPeers}

// feedMaxWaits holds the maximum wait of a watch for each feed. For the configuration, it
// bounds the age of the confirmation that the API keys are current. For the other feeds,
// it bounds how long a broken connection hides a change. The deployment allows two to
// five seconds.
var feedMaxWaits = map[string]waxfleet.Millis{
	FeedConfig: 600, FeedServers: 1_200, FeedEvacuations: 3_000, FeedPeers: 20_000,
}

// feedMinIntervals holds the minimum interval between two calls for each feed. It is
// short compared with the seconds within which a change has to be in force.
var feedMinIntervals = map[string]waxfleet.Millis{
	FeedConfig: 50, FeedServers: 300, FeedEvacuations: 150, FeedPeers: 1_000,
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
	// monitorInterval is the interval between two checks of the replicas.
	monitorInterval waxfleet.Millis = 100
)

// replicaSet holds this instance's replicas of the store's feeds.
type replicaSet struct {
	byFeed   map[string]*waxreplica.Replica
	selector *waxreplica.Selector
	clients  *waxreplica.Clients
	// loggedOld holds the feeds whose copies were logged as old. Only monitorReplicas uses it.
	loggedOld map[string]bool

	mu              sync.Mutex
	interrupts      map[string]func()
	storeLostByFeed map[string]bool
}

func newReplicaSet(clock *waxfleet.Clock, instance string) *replicaSet {
	s := &replicaSet{
		byFeed:          map[string]*waxreplica.Replica{},
		selector:        waxreplica.NewSelector(clock, instance),
		clients:         waxreplica.NewClients(),
		interrupts:      map[string]func(){},
		storeLostByFeed: map[string]bool{},
		loggedOld:       map[string]bool{},
	}
	for _, feed := range feedOrder {
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
	for _, other := range feedOrder {
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
	for _, feed := range feedOrder {
		s.interrupt(feed)
	}
}

// interruptLost ends the delays of the followers whose feeds have lost the store.
func (s *replicaSet) interruptLost() {
	for _, feed := range feedOrder {
		s.mu.Lock()
		lost := s.storeLostByFeed[feed]
		s.mu.Unlock()
		if lost {
			s.interrupt(feed)
		}
	}
}

// ages returns the age of the copy of each feed against the store, in the order of
// feedOrder; -1 for one that is not loaded.
func (s *replicaSet) ages() []waxfleet.Millis {
	out := make([]waxfleet.Millis, len(feedOrder))
	for i, feed := range feedOrder {
		out[i] = s.byFeed[feed].Age()
	}
	return out
}

// changeRevisions returns the revision of the latest change of each feed, in the order of
// feedOrder.
func (s *replicaSet) changeRevisions() []waxfleet.Revision {
	out := make([]waxfleet.Revision, len(feedOrder))
	for i, feed := range feedOrder {
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
	followFeed(ctx, inst, FeedConfig, store.Configurations(), waxfollow.Options[*waxtable.Table]{Apply: inst.applyConfig})
	followFeed(ctx, inst, FeedServers, store.BackendServers(), waxfollow.Options[waxfleet.BackendServerEntry]{
		Apply:          inst.applyServers,
		StoreLost:      func(error) { inst.directory.StoreLost() },
		StoreRecovered: func(string) { inst.directory.StoreRecovered() },
	})
	followFeed(ctx, inst, FeedEvacuations, store.Evacuations(),
		waxfollow.Options[waxfleet.Evacuation]{Apply: inst.evacuationApplier()})
	followFeed[waxfleet.PeerEntry](ctx, inst, FeedPeers, store.Peers(),
		waxfollow.Options[waxfleet.PeerEntry]{Apply: inst.peerApplier()})
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
		source := waxfollow.Source[T]{Feed: store, Wait: feedMaxWaits[name]}
		if name == FeedConfig && inst.freshness.Withheld() {
			source.Wait = withheldConfigWait
		}
		peer, address := inst.source()
		if peer == "" {
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

// filterGroup returns the names of the matching instances of the group, and whether the
// group is the whole fleet.
func filterGroup(t waxpeer.Topology, match func(name string) bool) (names []string, wholeFleet bool) {
	for _, p := range t.Group {
		if match(p.Name) {
			names = append(names, p.Name)
		}
	}
	return names, t.WholeFleet
}

// source returns the instance to follow and its address, or "" for the store. An instance
// follows only instances of its own group.
func (inst *Instance) source() (peer, address string) {
	t := inst.exchanger.Topology()
	timeout := t.FollowTimeout()
	reachesStore, wholeFleet := filterGroup(t, func(name string) bool { return inst.loads.ReachesStore(name, timeout) })
	peer = inst.replicas.selector.Source(reachesStore, wholeFleet)
	for _, p := range t.Group {
		if p.Name == peer {
			return peer, p.Address
		}
	}
	return "", ""
}

// noteAges takes over what the followed instance tells of the ages of its copies, and reports
// the ages of the own ones.
func (inst *Instance) noteAges() {
	now := inst.opts.Clock.Now()
	for i, state := range inst.loads.Feeds(inst.replicas.selector.Followed(), len(feedOrder)) {
		feed := feedOrder[i]
		if state.Age >= 0 {
			inst.replicas.byFeed[feed].Seen(state.Revision, now-state.Age)
		}
		if feed == FeedPeers {
			continue
		}
		age := inst.replicas.byFeed[feed].Age()
		inst.metrics.RecordCopyAge(feed, age)
		inst.logAge(feed, age)
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
		if peer := inst.replicas.selector.Followed(); peer == "" || inst.loads.ReachesStore(peer, inst.exchanger.Topology().FollowTimeout()) {
			unreachable = ""
		} else if peer != unreachable {
			unreachable = peer
			inst.log.Warn("followed instance is unreachable", "peer", peer)
			inst.replicas.interruptAll()
		}
		inst.noteAges()
		if !inst.replicas.storeReachable() && inst.loads.StoreReachable() && now-lastRecovery >= recoveryInterval {
			lastRecovery = now
			inst.replicas.selector.StoreRecovered()
			inst.replicas.interruptLost()
		}
		for i, revision := range inst.loads.Revisions() {
			if i >= len(feedOrder) {
				break
			}
			feed := feedOrder[i]
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
				inst.replicas.interrupt(feed)
			}
		}
	}
}
