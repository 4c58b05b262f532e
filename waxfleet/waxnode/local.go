package waxnode

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxobject"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxfleet/waxsuspect"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// suspectNews is how long a changed suspect record stays in digests.
	suspectNews waxfleet.Millis = 10_000
	// dialTimeout bounds the opening of connections for control traffic.
	dialTimeout = 2 * time.Second
	// tellTimeout bounds the passing of a suspect to one peer. It leaves time for
	// a second one within the 500 ms of the spreading.
	tellTimeout = 250 * time.Millisecond
	// configFetchTimeout bounds the fetch of a configuration from a peer.
	configFetchTimeout = 2 * time.Second
)

// localState is this instance's part of its digests.
type localState struct {
	node *Node
}

// BackendStates implements waxmember.Local.
func (l *localState) BackendStates() []*waxwire.BackendState { return l.node.owner.BackendStates() }

// Assignment implements waxmember.Local.
func (l *localState) Assignment() (value []byte, version, epoch uint64) {
	return l.node.keeper.Stored()
}

// TakeAssignment implements waxmember.Local.
func (l *localState) TakeAssignment(value []byte, version uint64) { l.node.keeper.Take(value, version) }

// ConfigVersion implements waxmember.Local.
func (l *localState) ConfigVersion() uint64 { return l.node.ConfigVersion() }

// PlatformReachable implements waxmember.Local.
func (l *localState) PlatformReachable() bool { return l.node.keeper.Reachable() }

// Suspects implements waxmember.Local.
func (l *localState) Suspects(all bool) []*waxwire.Suspect {
	records := l.node.suspects.Changed(suspectNews)
	if all {
		records = l.node.suspects.All()
	}
	return wireSuspects(records)
}

// TakeSuspects implements waxmember.Local.
func (l *localState) TakeSuspects(list []*waxwire.Suspect) {
	for _, s := range list {
		l.node.suspects.Merge(s.GetDigest(), int(s.GetDeaths()), int(s.GetCleared()), waxfleet.Millis(s.GetRemainingMs()))
	}
}

func wireSuspects(records []waxsuspect.Record) []*waxwire.Suspect {
	out := make([]*waxwire.Suspect, len(records))
	for i, r := range records {
		out[i] = wireSuspect(r)
	}
	return out
}

func wireSuspect(r waxsuspect.Record) *waxwire.Suspect {
	return &waxwire.Suspect{Digest: r.Digest(), Deaths: int32(r.Deaths()), Cleared: int32(r.Cleared()), RemainingMs: int64(r.Remaining())}
}

// assignmentChanged tells the peers at once: the previous owners' counts and the
// confirmation of the epoch are what new owners wait for.
func (n *Node) assignmentChanged() {
	if n.assembled.Load() {
		n.exchanger.Kick()
	}
}

func (n *Node) configChanged(version uint64) {
	n.log.Info("configuration in force", "version", version)
}

// catchUpConfig fetches the configuration from a peer that has a newer one.
func (n *Node) catchUpConfig(ctx context.Context) {
	have := n.ConfigVersion()
	peer, ok := n.table.Behind(have)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	reply, err := n.links.Control(peer.PeerAddress()).FetchConfig(ctx, connect.NewRequest(&waxwire.FetchConfigRequest{HaveVersion: have}))
	if err != nil {
		return
	}
	c := waxfleet.NewConfigCopy(reply.Msg.GetVersion(), reply.Msg.GetHead(), reply.Msg.GetSections())
	if err := n.config.Offer(c); err != nil {
		n.log.WarnContext(ctx, "configuration of a peer was refused", "peer", peer.ID(), "error", err)
	}
}

func (n *Node) reportGauges() {
	n.metrics.Gauge("control_bytes", float64(n.ControlBytes()))
	n.metrics.Gauge("in_flight", float64(n.owner.InFlight()))
	n.metrics.Gauge("config_version", float64(n.ConfigVersion()))
	n.metrics.Gauge("chat_exceptions", float64(n.owner.Exceptions()))
}

// importantPeers are the others in the first two places of the succession of
// backend servers where this instance is one of the two: owner and second depend
// on each other's digests.
func (n *Node) importantPeers() []string {
	var ids []string
	for _, b := range n.table.Servers() {
		if b.FailureDomain() != n.self.FailureDomain() {
			continue
		}
		two := n.keeper.Candidates(b.ID())
		if !slices.Contains(two, n.self.ID()) {
			continue
		}
		for _, id := range two {
			if id != n.self.ID() && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// spread passes a suspect on to all live peers of this failure domain and one of
// each other, and returns when they have it or ctx ends.
func (n *Node) spread(ctx context.Context, digest string) {
	record, ok := n.suspects.Find(digest)
	if !ok {
		return
	}
	n.send(ctx, wireSuspect(record), true)
}

// send passes a suspect record to the peers of this failure domain and, if wide,
// to one of each other, which relays it. Peers that are not known to be alive are
// tried too, elsewhere after the others: an instance that has just started has not
// heard from most, and one that was heard may have ended since.
func (n *Node) send(ctx context.Context, record *waxwire.Suspect, wide bool) {
	var wg sync.WaitGroup
	elsewhere := map[string][]string{}
	links := n.table.Links()
	slices.SortStableFunc(links, func(a, b waxfleet.Link) int { return unhealthy(a) - unhealthy(b) })
	for _, link := range links {
		peer := link.Peer()
		if peer.FailureDomain() != n.self.FailureDomain() {
			elsewhere[peer.FailureDomain()] = append(elsewhere[peer.FailureDomain()], peer.PeerAddress())
			continue
		}
		wg.Go(func() { _ = n.tell(ctx, peer.PeerAddress(), record, false) })
	}
	for _, addresses := range elsewhere {
		if !wide {
			break
		}
		wg.Go(func() {
			for _, address := range addresses {
				if n.tell(ctx, address, record, true) == nil || ctx.Err() != nil {
					return
				}
			}
		})
	}
	wg.Wait()
}

func unhealthy(l waxfleet.Link) int {
	if l.Healthy() {
		return 0
	}
	return 1
}

func (n *Node) tell(ctx context.Context, address string, record *waxwire.Suspect, relay bool) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	s := &waxwire.Suspect{
		Digest: record.GetDigest(), Deaths: record.GetDeaths(), Cleared: record.GetCleared(),
		RemainingMs: record.GetRemainingMs(), Relay: relay,
	}
	_, err := n.links.Control(address).SpreadSuspect(ctx, connect.NewRequest(s))
	return err
}

// news brings the newest assignment after a pause: from any peer or from the
// platform, whichever answers first.
func (n *Node) news(ctx context.Context) {
	if !n.assembled.Load() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{}, 2)
	go func() {
		if n.exchanger.All(ctx) > 0 {
			done <- struct{}{}
		}
	}()
	go func() {
		o, err := n.store.Get(ctx, waxfleet.ObjectKindAssignment, n.self.FailureDomain())
		if err != nil {
			return
		}
		n.keeper.Take(o.Value(), o.Version())
		done <- struct{}{}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// relays returns the platform through peers, for when this instance is
// cut off from the platform.
func (n *Node) relays() []*waxobject.Relay {
	var relays []*waxobject.Relay
	for _, link := range n.table.Links() {
		if !link.Healthy() || len(relays) == relayLimit || !n.table.PlatformReachable(link.Peer().ID()) {
			continue
		}
		relays = append(relays, waxobject.NewRelay(n.links.Control(link.Peer().PeerAddress())))
	}
	return relays
}

func (n *Node) relayStores() []waxfleet.ObjectStore {
	var stores []waxfleet.ObjectStore
	for _, r := range n.relays() {
		stores = append(stores, r)
	}
	return stores
}

// sweepsClaim spreads the deletion of old claims over the instances of the
// fleet. Two that sweep the same claim do no harm.
func (n *Node) sweepsClaim(name string) bool {
	ids := []string{n.self.ID()}
	for _, link := range n.table.Links() {
		if link.Healthy() {
			ids = append(ids, link.Peer().ID())
		}
	}
	return waxplace.First(name, ids) == n.self.ID()
}

func (n *Node) countedDial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.counter.Wrap(conn), nil
}

func (n *Node) countedTransport() *http.Transport {
	return &http.Transport{DialContext: n.countedDial, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
}

// countedListener wraps accepted connections, so that those that turn out to
// carry control traffic are counted.
type countedListener struct {
	net.Listener
	counter *waxmember.ByteCounter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Pending(conn), nil
}

type connKey struct{}

func markConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// countControl marks the connection of a request as one for control traffic.
func countControl(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*waxmember.CountedConn); ok {
		c.MarkControl()
	}
}
