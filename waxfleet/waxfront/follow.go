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

// Names of the followed feeds: between instances, in log lines and for Revision.
const (
	FeedConfig      = "configuration"
	FeedServers     = "backend-servers"
	FeedEvacuations = "evacuations"
	FeedPeers       = "instances"
)

// feedOrder is the order of the feeds in datagrams.
var feedOrder = []string{FeedConfig, FeedServers, FeedEvacuations, FeedPeers}

// feedMaxWaits holds the maximum wait of a watch for each feed. For the configuration,
// it bounds the age of the confirmation that the list of API keys is current; for the
// others, how long a dead connection hides a change. The time allowed by the deployment
// is two to five seconds.
var feedMaxWaits = map[string]waxfleet.Millis{
	FeedConfig: 600, FeedServers: 1_200, FeedEvacuations: 3_000, FeedPeers: 20_000,
}

// feedMinIntervals holds the minimum interval between two calls for each feed, in ms.
// They are short compared with the seconds within which a change has to be in force.
var feedMinIntervals = map[string]waxfleet.Millis{
	FeedConfig: 50, FeedServers: 300, FeedEvacuations: 150, FeedPeers: 1_000,
}

const (
	// maxReplicaLag is the age above which another instance's replica of the
	// configuration is no longer followed, in ms: two waits, a call and its answer.
	maxReplicaLag waxfleet.Millis = 2_200
	// catchUpTime is how long a change that others have seen may be missing here before
	// another source is chosen, in ms.
	catchUpTime waxfleet.Millis = 300
	// catchUpTimePeers is the same for the registry of instances, in ms. Only the
	// instances' shares of limits depend on the registry.
	catchUpTimePeers waxfleet.Millis = 3_000
	// recoveryInterval is the minimum interval between two attempts to call the store
	// because it answers other instances, in ms.
	recoveryInterval waxfleet.Millis = 2_000
	// monitorInterval is the interval between two checks of the replicas, in ms.
	monitorInterval waxfleet.Millis = 100
)

// replicaSet holds this instance's replicas of the store's feeds.
type replicaSet struct {
	byFeed   map[string]*waxreplica.Replica
	selector *waxreplica.Selector
	clients  *waxreplica.Clients

	mu         sync.Mutex
	interrupts map[string]func()
	storeLost  map[string]bool
}

func newReplicaSet(clock *waxfleet.Clock, instance string) *replicaSet {
	s := &replicaSet{
		byFeed: map[string]*waxreplica.Replica{}, selector: waxreplica.NewSelector(clock, instance),
		clients: waxreplica.NewClients(), interrupts: map[string]func(){}, storeLost: map[string]bool{},
	}
	for _, feed := range feedOrder {
		s.byFeed[feed] = waxreplica.New(clock, s.selector.Serves)
	}
	return s
}

func (s *replicaSet) setInterrupt(feed string, interrupt func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupts[feed] = interrupt
}

// interrupt ends the current call or pause of the feed's follower.
func (s *replicaSet) interrupt(feed string) {
	s.mu.Lock()
	interrupt := s.interrupts[feed]
	s.mu.Unlock()
	if interrupt != nil {
		interrupt()
	}
}

// setStoreLost records whether the store answers the calls of a feed. While it fails to
// answer any feed, no replica is served. After a loss, the followers of the
// configuration and of the backend servers call at once, to find out whether they fail
// too; after a recovery, all followers do.
func (s *replicaSet) setStoreLost(feed string, lost bool) {
	s.mu.Lock()
	s.storeLost[feed] = lost
	anyLost := false
	for _, l := range s.storeLost {
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
	for _, lost := range s.storeLost {
		if lost {
			return false
		}
	}
	return true
}

// interruptAll ends the current calls and pauses of all feeds.
func (s *replicaSet) interruptAll() {
	for _, feed := range feedOrder {
		s.interrupt(feed)
	}
}

// interruptLost ends the pauses of the feeds that have lost the store.
func (s *replicaSet) interruptLost() {
	for _, feed := range feedOrder {
		s.mu.Lock()
		lost := s.storeLost[feed]
		s.mu.Unlock()
		if lost {
			s.interrupt(feed)
		}
	}
}

// lastChanges returns the revision of the latest change of each feed, in the order of
// feedOrder.
func (s *replicaSet) lastChanges() []uint64 {
	out := make([]uint64, len(feedOrder))
	for i, feed := range feedOrder {
		out[i] = s.byFeed[feed].LastChange()
	}
	return out
}

// Revision returns the store's revision that the replica of a feed has reached; 0 before
// the first list.
func (f *Instance) Revision(feed string) uint64 { return f.replicas.byFeed[feed].Revision() }

// follow starts the followers of all feeds.
func (f *Instance) follow(ctx context.Context) {
	store := f.opts.Store
	followFeed(ctx, f, FeedConfig, store.Configurations(), waxfollow.Options[*waxtable.Table]{Apply: f.applyConfig})
	followFeed(ctx, f, FeedServers, store.BackendServers(), waxfollow.Options[waxfleet.BackendServerEntry]{
		Apply: f.applyServers, StoreLost: func(error) { f.directory.StoreLost() }, StoreRegained: func(string) { f.directory.StoreRecovered() },
	})
	followFeed(ctx, f, FeedEvacuations, store.Evacuations(), waxfollow.Options[waxfleet.Evacuation]{Apply: f.evacuationApplier()})
	followFeed[waxfleet.PeerEntry](ctx, f, FeedPeers, store.Peers(), waxfollow.Options[waxfleet.PeerEntry]{Apply: f.peerApplier()})
	go func() { f.monitorReplicas(ctx) }()
}

// followFeed starts a follower whose batches also go to the replica for other instances.
func followFeed[T any](ctx context.Context, f *Instance, name string, store waxfleet.Feed[T], opts waxfollow.Options[T]) {
	apply := opts.Apply
	opts.Name, opts.Clock, opts.Log = name, f.opts.Clock, f.log
	opts.Apply = func(b waxfleet.Batch[T], asOf waxfleet.Millis) {
		apply(b, asOf)
		waxreplica.Update(f.replicas.byFeed[name], b, asOf)
	}
	opts.MinInterval, opts.StoreFailed = feedMinIntervals[name], f.replicas.selector.StoreFailed
	opts.RetryBounds = func() (shortest, longest waxfleet.Millis) {
		alive, wholeFleet := filterGroup(f.exchanger.Topology(), f.loads.Alive)
		return f.replicas.selector.RetryBounds(alive, wholeFleet, name == FeedConfig)
	}
	lost, regained := opts.StoreLost, opts.StoreRegained
	opts.StoreLost = func(err error) {
		if lost != nil {
			lost(err)
		}
		f.replicas.setStoreLost(name, true)
	}
	opts.StoreRegained = func(peer string) {
		if regained != nil {
			regained(peer)
		}
		if peer == "" {
			f.replicas.selector.StoreRecovered()
		}
		f.replicas.setStoreLost(name, false)
	}
	opts.PeerFailed = func(peer string, _ error) { f.replicas.selector.PeerFailed(peer) }
	opts.Source = func() waxfollow.Source[T] {
		source := waxfollow.Source[T]{Feed: store, Wait: feedMaxWaits[name]}
		peer, address := f.source()
		if peer == "" {
			return source
		}
		source.Peer, source.Feed = peer, waxreplica.NewFeed(store, f.replicas.clients, address, name)
		if name == FeedConfig {
			source.MaxLag = maxReplicaLag
		}
		return source
	}
	f.replicas.setInterrupt(name, waxfollow.New(ctx, opts).Interrupt)
}

// filterGroup returns the instances of the own group that match, and whether the group
// is the whole fleet.
func filterGroup(t waxpeer.Topology, match func(name string) bool) (names []string, wholeFleet bool) {
	for _, p := range t.Group {
		if match(p.Name) {
			names = append(names, p.Name)
		}
	}
	return names, t.WholeFleet
}

// source returns the instance to follow and its address, or "" for the store. Only
// instances of the own group are followed.
func (f *Instance) source() (peer, address string) {
	t := f.exchanger.Topology()
	timeout := t.FollowTimeout()
	reachesStore, wholeFleet := filterGroup(t, func(name string) bool { return f.loads.ReachesStore(name, timeout) })
	peer = f.replicas.selector.Source(reachesStore, wholeFleet)
	for _, p := range t.Group {
		if p.Name == peer {
			return peer, p.Address
		}
	}
	return "", ""
}

// monitorReplicas leaves a followed instance that has fallen silent or lost the store,
// calls the store again when it answers others, and changes the source of a feed when
// other instances have seen changes that are missing here.
func (f *Instance) monitorReplicas(ctx context.Context) {
	behindSince := map[string]waxfleet.Millis{}
	var lastRecovery waxfleet.Millis
	silent := ""
	for f.opts.Clock.Sleep(ctx, monitorInterval) == nil {
		now := f.opts.Clock.Now()
		if peer := f.replicas.selector.Followed(); peer == "" || f.loads.ReachesStore(peer, f.exchanger.Topology().FollowTimeout()) {
			silent = ""
		} else if peer != silent {
			silent = peer
			f.log.Warn("followed instance is silent", "peer", peer)
			f.replicas.interruptAll()
		}
		if !f.replicas.storeReachable() && f.loads.StoreReachable() && now-lastRecovery >= recoveryInterval {
			lastRecovery = now
			f.replicas.selector.StoreRecovered()
			f.replicas.interruptLost()
		}
		for i, revision := range f.loads.Revisions() {
			if i >= len(feedOrder) {
				break
			}
			feed := feedOrder[i]
			reached := f.replicas.byFeed[feed].Revision()
			if reached == 0 || revision <= reached {
				delete(behindSince, feed)
				continue
			}
			if behindSince[feed] == 0 {
				behindSince[feed] = now
			}
			allowed := catchUpTime
			if feed == FeedPeers {
				allowed = catchUpTimePeers
			}
			if now-behindSince[feed] < allowed {
				continue
			}
			f.log.Warn("replica is behind; choosing another source", "feed", feed, "revision", reached, "others", revision)
			delete(behindSince, feed)
			f.replicas.selector.ReplicaBehind()
			f.replicas.interrupt(feed)
		}
	}
}
