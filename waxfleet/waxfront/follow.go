package waxfront

import (
	"context"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxfollow"
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
	FeedConfig: 700, FeedServers: 1_800, FeedEvacuations: 3_000, FeedPeers: 20_000,
}

const (
	// configRetry and otherRetry bound the pause after a failed call to the store,
	// in ms. Only the configuration, on which the proof of keys rests, is asked for
	// often while the store is away; the other feeds follow when it is back.
	configRetry waxfleet.Millis = 500
	otherRetry  waxfleet.Millis = 4_000
	// maxCopyLag is the age of another instance's copy of the configuration from
	// which it is no longer followed, in ms: two waits, a call and its answer.
	maxCopyLag waxfleet.Millis = 2_200
	// behindTime is how long a change that others have seen may be missing here, in
	// ms, until the store is asked.
	behindTime waxfleet.Millis = 300
	// behindLook is the time between looks, in ms.
	behindLook waxfleet.Millis = 100
)

// copies holds this instance's copies of the store's objects.
type copies struct {
	replicas map[string]*waxreplica.Replica
	plan     *waxreplica.Plan
	peers    *waxreplica.Peers

	mu    sync.Mutex
	kicks map[string]func()
}

func newCopies(clock *waxfleet.Clock, instance string) *copies {
	c := &copies{
		replicas: map[string]*waxreplica.Replica{}, plan: waxreplica.NewPlan(clock, instance),
		peers: waxreplica.NewPeers(), kicks: map[string]func(){},
	}
	for _, feed := range feedOrder {
		c.replicas[feed] = waxreplica.New(clock)
	}
	return c
}

func (c *copies) setKick(feed string, kick func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kicks[feed] = kick
}

// kick ends the present call or pause of a feed's follower.
func (c *copies) kick(feed string) {
	c.mu.Lock()
	kick := c.kicks[feed]
	c.mu.Unlock()
	if kick != nil {
		kick()
	}
}

// last returns the revisions of the last changes that were seen.
func (c *copies) last() []uint64 {
	out := make([]uint64, len(feedOrder))
	for i, feed := range feedOrder {
		out[i] = c.replicas[feed].Last()
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
		Apply: f.applyServers, Lost: func(error) { f.directory.StoreLost() }, Regained: f.directory.StoreRegained,
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
	opts.LongestRetry = otherRetry
	if name == FeedConfig {
		opts.LongestRetry = configRetry
		opts.Regained = f.kickOthers
	}
	opts.PeerFailed = func(peer string, _ error) { f.copies.plan.Failed(peer) }
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
	f.copies.setKick(name, waxfollow.New(ctx, opts).Kick)
}

// kickOthers ends the pauses of the other feeds once the store is back.
func (f *Front) kickOthers() {
	for _, feed := range feedOrder {
		if feed != FeedConfig {
			f.copies.kick(feed)
		}
	}
}

// source returns the instance to follow with its address, or "" for the store.
func (f *Front) source() (peer, address string) {
	f.mu.Lock()
	addresses := f.addresses
	f.mu.Unlock()
	var alive []string
	for name := range addresses {
		if name != f.opts.Settings.Instance && f.loads.Alive(name) {
			alive = append(alive, name)
		}
	}
	peer = f.copies.plan.Source(alive)
	return peer, addresses[peer]
}

// watchBehind asks the store when other instances have seen changes that are
// missing here: the followed copy, or the connection to the store, has fallen
// silent.
func (f *Front) watchBehind(ctx context.Context) {
	since := map[string]waxfleet.Millis{}
	for f.opts.Clock.Sleep(ctx, behindLook) == nil {
		now := f.opts.Clock.Now()
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
			if now-since[feed] < behindTime {
				continue
			}
			f.log.Warn("copy is behind, asking the store", "feed", feed, "revision", reached, "others", revision)
			delete(since, feed)
			f.copies.plan.Behind()
			f.copies.kick(feed)
		}
	}
}
