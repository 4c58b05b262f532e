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

// Names of the followed feeds, between instances, in logs and for Revision.
const (
	FeedConfig      = "configuration"
	FeedServers     = "backend-servers"
	FeedEvacuations = "evacuations"
	FeedPeers       = "instances"
)

// feedOrder is the order of the feeds in datagrams.
var feedOrder = []string{FeedConfig, FeedServers, FeedEvacuations, FeedPeers}

// feedWaits are the longest waits of watches. That of the configuration bounds
// the age of the proof that the list of keys is current, the others how long a
// silent connection hides a change. The bounds of the deployment are two to five
// seconds.
var feedWaits = map[string]waxfleet.Millis{
	FeedConfig: 600, FeedServers: 1_200, FeedEvacuations: 3_000, FeedPeers: 20_000,
}

// feedPaces are the least times between two calls, in ms. They are short against
// the seconds within which a change has to be in force.
var feedPaces = map[string]waxfleet.Millis{
	FeedConfig: 50, FeedServers: 300, FeedEvacuations: 150, FeedPeers: 1_000,
}

const (
	// maxCopyLag is the age of another instance's copy of the configuration from
	// which it is no longer followed, in ms: two waits, a call and its answer.
	maxCopyLag waxfleet.Millis = 2_200
	// behindTime is how long a change that others have seen may be missing here, in
	// ms, until the store is asked.
	behindTime waxfleet.Millis = 300
	// behindPeers is the same for the registry of instances, in ms, on which only
	// shares depend.
	behindPeers waxfleet.Millis = 3_000
	// returnPause is the least time between two tries that follow the news that the
	// store answers others, in ms.
	returnPause waxfleet.Millis = 2_000
	// behindLook is the time between looks, in ms.
	behindLook waxfleet.Millis = 100
)

// copies holds this instance's copies of the store's objects.
type copies struct {
	replicas map[string]*waxreplica.Replica
	selector *waxreplica.Selector
	peers    *waxreplica.Clients

	mu         sync.Mutex
	interrupts map[string]func()
	lost       map[string]bool
}

func newCopies(clock *waxfleet.Clock, instance string) *copies {
	c := &copies{
		replicas: map[string]*waxreplica.Replica{}, selector: waxreplica.NewSelector(clock, instance),
		peers: waxreplica.NewClients(), interrupts: map[string]func(){}, lost: map[string]bool{},
	}
	for _, feed := range feedOrder {
		c.replicas[feed] = waxreplica.New(clock, c.selector.Serves)
	}
	return c
}

func (c *copies) setInterrupt(feed string, interrupt func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupts[feed] = interrupt
}

// interrupt ends the present call or pause of a feed's follower.
func (c *copies) interrupt(feed string) {
	c.mu.Lock()
	interrupt := c.interrupts[feed]
	c.mu.Unlock()
	if interrupt != nil {
		interrupt()
	}
}

// setLost notes whether the store answers the calls of a feed. While one of them
// fails no copy is passed on. When one is lost, those that hold proofs and the
// entries of backend servers find out at once whether theirs fail too; when it is
// back, all do.
func (c *copies) setLost(feed string, lost bool) {
	c.mu.Lock()
	c.lost[feed] = lost
	lostOne := false
	for _, l := range c.lost {
		lostOne = lostOne || l
	}
	c.mu.Unlock()
	for _, r := range c.replicas {
		r.SetStoreLost(lostOne)
	}
	for _, other := range feedOrder {
		if other != feed && (!lost || other == FeedConfig || other == FeedServers) {
			c.interrupt(other)
		}
	}
}

// storeAnswers reports whether no feed has lost the store.
func (c *copies) storeAnswers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, lost := range c.lost {
		if lost {
			return false
		}
	}
	return true
}

// interruptAll ends the present calls of all feeds.
func (c *copies) interruptAll() {
	for _, feed := range feedOrder {
		c.interrupt(feed)
	}
}

// interruptLost ends the pauses of the feeds that have lost the store.
func (c *copies) interruptLost() {
	for _, feed := range feedOrder {
		c.mu.Lock()
		lost := c.lost[feed]
		c.mu.Unlock()
		if lost {
			c.interrupt(feed)
		}
	}
}

// last returns the revisions of the last changes that were seen.
func (c *copies) last() []uint64 {
	out := make([]uint64, len(feedOrder))
	for i, feed := range feedOrder {
		out[i] = c.replicas[feed].LastChange()
	}
	return out
}

// Revision returns the store's revision that the copy of a feed has reached.
func (f *Front) Revision(feed string) uint64 { return f.copies.replicas[feed].Revision() }

// follow starts the followers of the store.
func (f *Front) follow(ctx context.Context) {
	store := f.opts.Store
	followFeed(ctx, f, FeedConfig, store.Configurations(), waxfollow.Options[*waxtable.Table]{Apply: f.applyConfig})
	followFeed(ctx, f, FeedServers, store.BackendServers(), waxfollow.Options[waxfleet.EngineEntry]{
		Apply: f.applyServers, StoreLost: func(error) { f.directory.StoreLost() }, StoreRegained: func(string) { f.directory.StoreRegained() },
	})
	followFeed(ctx, f, FeedEvacuations, store.Evacuations(), waxfollow.Options[waxfleet.Evacuation]{Apply: f.evacuations()})
	followFeed[waxfleet.PeerEntry](ctx, f, FeedPeers, store.Peers(), waxfollow.Options[waxfleet.PeerEntry]{Apply: f.peers()})
	go func() { f.watchBehind(ctx) }()
}

// followFeed starts one follower whose updates also go to the copy for others.
func followFeed[T any](ctx context.Context, f *Front, name string, store waxfleet.Feed[T], opts waxfollow.Options[T]) {
	apply := opts.Apply
	opts.Name, opts.Clock, opts.Log = name, f.opts.Clock, f.log
	opts.Apply = func(b waxfleet.Batch[T], asOf waxfleet.Millis) {
		apply(b, asOf)
		waxreplica.Update(f.copies.replicas[name], b, asOf)
	}
	opts.MinInterval, opts.StoreFailed = feedPaces[name], f.copies.selector.StoreFailed
	opts.RetryBounds = func() (first, longest waxfleet.Millis) {
		alive, whole := group(f.exchanger.Topology(), f.loads.Alive)
		return f.copies.selector.RetryBounds(alive, whole, name == FeedConfig)
	}
	lost, regained := opts.StoreLost, opts.StoreRegained
	opts.StoreLost = func(err error) {
		if lost != nil {
			lost(err)
		}
		f.copies.setLost(name, true)
	}
	opts.StoreRegained = func(peer string) {
		if regained != nil {
			regained(peer)
		}
		if peer == "" {
			f.copies.selector.StoreRecovered()
		}
		f.copies.setLost(name, false)
	}
	opts.PeerFailed = func(peer string, _ error) { f.copies.selector.PeerFailed(peer) }
	opts.Source = func() waxfollow.Source[T] {
		source := waxfollow.Source[T]{Feed: store, Wait: feedWaits[name]}
		peer, address := f.source()
		if peer == "" {
			return source
		}
		source.Peer, source.Feed = peer, waxreplica.NewFeed(store, f.copies.peers, address, name)
		if name == FeedConfig {
			source.MaxLag = maxCopyLag
		}
		return source
	}
	f.copies.setInterrupt(name, waxfollow.New(ctx, opts).Interrupt)
}

// group returns the instances of the own group that pass the test, and whether
// the group is the whole fleet.
func group(t waxpeer.Topology, test func(name string) bool) (names []string, whole bool) {
	for _, p := range t.Group {
		if test(p.Name) {
			names = append(names, p.Name)
		}
	}
	return names, t.WholeFleet
}

// source returns the instance to follow with its address, or "" for the store.
// Only instances of the own group are followed.
func (f *Front) source() (peer, address string) {
	t := f.exchanger.Topology()
	within := t.FollowTimeout()
	answered, whole := group(t, func(name string) bool { return f.loads.ReachesStore(name, within) })
	peer = f.copies.selector.Source(answered, whole)
	for _, p := range t.Group {
		if p.Name == peer {
			return peer, p.Address
		}
	}
	return "", ""
}

// watchBehind leaves a followed instance that has fallen silent, and looks
// elsewhere when other instances have seen changes that are missing here.
func (f *Front) watchBehind(ctx context.Context) {
	since := map[string]waxfleet.Millis{}
	var returned waxfleet.Millis
	silent := ""
	for f.opts.Clock.Sleep(ctx, behindLook) == nil {
		now := f.opts.Clock.Now()
		if peer := f.copies.selector.Followed(); peer == "" || f.loads.ReachesStore(peer, f.exchanger.Topology().FollowTimeout()) {
			silent = ""
		} else if peer != silent {
			silent = peer
			f.log.Warn("followed instance is silent", "peer", peer)
			f.copies.interruptAll()
		}
		if !f.copies.storeAnswers() && f.loads.StoreReachable() && now-returned >= returnPause {
			returned = now
			f.copies.selector.StoreRecovered()
			f.copies.interruptLost()
		}
		for i, revision := range f.loads.Revisions() {
			if i >= len(feedOrder) {
				break
			}
			feed := feedOrder[i]
			reached := f.copies.replicas[feed].Revision()
			if reached == 0 || revision <= reached {
				delete(since, feed)
				continue
			}
			if since[feed] == 0 {
				since[feed] = now
			}
			patience := behindTime
			if feed == FeedPeers {
				patience = behindPeers
			}
			if now-since[feed] < patience {
				continue
			}
			f.log.Warn("copy is behind, asking the store", "feed", feed, "revision", reached, "others", revision)
			delete(since, feed)
			f.copies.selector.ReplicaBehind()
			f.copies.interrupt(feed)
		}
	}
}
