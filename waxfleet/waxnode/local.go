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
	"waxwingdrift.org/waxfleet/waxhead"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxobject"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxfleet/waxsuspect"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// suspectDigestWindow is how long a changed suspect record is included in digests.
	suspectDigestWindow waxfleet.Millis = 10_000
	// dialTimeout bounds connection setup for control traffic.
	dialTimeout = 2 * time.Second
	// suspectSendTimeout bounds sending a suspect record to one peer. It leaves
	// time for a second peer within the 500 ms that spreading may take.
	suspectSendTimeout = 250 * time.Millisecond
	// configFetchTimeout bounds the fetch of a configuration from a peer.
	configFetchTimeout = 2 * time.Second
)

// localState implements waxmember.Local with the state of a node.
type localState struct {
	node *Node
}

// BackendStates implements waxmember.Local.
func (l *localState) BackendStates() []*waxwire.BackendState { return l.node.owner.BackendStates() }

// Assignment implements waxmember.Local.
func (l *localState) Assignment() (value []byte, version, epoch uint64) {
	return l.node.keeper.EncodedAssignment()
}

// AdoptAssignment implements waxmember.Local.
func (l *localState) AdoptAssignment(value []byte, version uint64) {
	l.node.keeper.Adopt(value, version)
}

// ConfigVersion implements waxmember.Local.
func (l *localState) ConfigVersion() uint64 { return l.node.ConfigVersion() }

// ConfigVersionSeen implements waxmember.Local.
func (l *localState) ConfigVersionSeen(version uint64) {
	if version <= l.node.ConfigVersion() {
		return
	}
	select {
	case l.node.newerConfig <- struct{}{}:
	default:
	}
}

// PlatformReachable implements waxmember.Local.
func (l *localState) PlatformReachable() bool { return l.node.keeper.PlatformReachable() }

// Suspects implements waxmember.Local.
func (l *localState) Suspects(all bool) []*waxwire.Suspect {
	records := l.node.suspects.Changed(suspectDigestWindow)
	if all {
		records = l.node.suspects.All()
	}
	return toWireSuspects(records)
}

// MergeSuspects implements waxmember.Local.
func (l *localState) MergeSuspects(list []*waxwire.Suspect) {
	for _, s := range list {
		l.node.suspects.Merge(s.GetDigest(), int(s.GetDeaths()), int(s.GetCleared()), waxfleet.Millis(s.GetRemainingMs()))
	}
}

func toWireSuspects(records []waxsuspect.Record) []*waxwire.Suspect {
	out := make([]*waxwire.Suspect, len(records))
	for i, r := range records {
		out[i] = toWireSuspect(r)
	}
	return out
}

func toWireSuspect(r waxsuspect.Record) *waxwire.Suspect {
	return &waxwire.Suspect{Digest: r.Digest(), Deaths: int32(r.Deaths()), Cleared: int32(r.Cleared()), RemainingMs: int64(r.Remaining())}
}

// assignmentChanged starts a digest exchange immediately, because new owners wait
// for the previous owners' counts and the confirmation of the epoch.
func (n *Node) assignmentChanged() {
	if n.initialized.Load() {
		n.exchanger.ExchangeNow()
	}
}

func (n *Node) configChanged(version uint64) {
	n.log.Info("configuration in force", "version", version)
	select {
	case n.configInstalled <- struct{}{}:
	default:
	}
}

// awaitNewerConfig returns when a digest names a newer configuration, or after interval.
// It returns an error if ctx has ended.
func (n *Node) awaitNewerConfig(ctx context.Context, interval waxfleet.Millis) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	elapsed := make(chan error, 1)
	go func() { elapsed <- n.clock.Sleep(ctx, interval) }()
	select {
	case <-n.newerConfig:
		return nil
	case err := <-elapsed:
		return err
	}
}

// fetchNewerConfig fetches the configuration from a peer with a newer version.
func (n *Node) fetchNewerConfig(ctx context.Context) {
	have := n.ConfigVersion()
	peer, ok := n.table.PeerWithNewerConfig(have)
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

func (n *Node) updateGauges() {
	n.metrics.SetGauge("control_bytes", float64(n.ControlBytes()))
	n.metrics.SetGauge("in_flight", float64(n.owner.InFlight()))
	n.metrics.SetGauge("config_version", float64(n.ConfigVersion()))
	n.metrics.SetGauge("chat_exceptions", float64(n.owner.ExceptionCount()))
	n.metrics.SetIntake(n.intake.Usages())
}

// priorityPeers returns the IDs of the peers that are the standby of a backend server
// that this instance owns, or the owner of one for which it is the standby. Owner and
// standby depend on each other's digests.
func (n *Node) priorityPeers() []string {
	var ids []string
	for _, b := range n.table.Servers() {
		if b.FailureDomain() != n.self.FailureDomain() {
			continue
		}
		candidates := n.keeper.Candidates(b.ID())
		if !slices.Contains(candidates, n.self.ID()) {
			continue
		}
		for _, id := range candidates {
			if id != n.self.ID() && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// spreadSuspect sends the suspect record of a request digest to all peers of this
// failure domain and to one peer of each other domain. It returns when all sends have
// ended.
func (n *Node) spreadSuspect(ctx context.Context, digest string) {
	record, ok := n.suspects.Find(digest)
	if !ok {
		return
	}
	n.broadcastSuspect(ctx, toWireSuspect(record), true)
}

// broadcastSuspect sends a suspect record to the peers of this failure domain
// and, if allDomains, to one peer of each other failure domain, which relays it.
// It also tries peers whose link is not healthy, in other failure domains after those
// with a healthy link: an instance that has just started has not heard from most
// peers, and a peer with a healthy link may have stopped since.
func (n *Node) broadcastSuspect(ctx context.Context, record *waxwire.Suspect, allDomains bool) {
	var wg sync.WaitGroup
	otherDomains := map[string][]string{}
	links := n.table.Links()
	slices.SortStableFunc(links, func(a, b waxfleet.Link) int { return healthRank(a) - healthRank(b) })
	for _, link := range links {
		peer := link.Peer()
		if peer.FailureDomain() != n.self.FailureDomain() {
			otherDomains[peer.FailureDomain()] = append(otherDomains[peer.FailureDomain()], peer.PeerAddress())
			continue
		}
		wg.Go(func() { _ = n.sendSuspect(ctx, peer.PeerAddress(), record, false) })
	}
	for _, addresses := range otherDomains {
		if !allDomains {
			break
		}
		wg.Go(func() {
			for _, address := range addresses {
				if n.sendSuspect(ctx, address, record, true) == nil || ctx.Err() != nil {
					return
				}
			}
		})
	}
	wg.Wait()
}

func healthRank(l waxfleet.Link) int {
	if l.Healthy() {
		return 0
	}
	return 1
}

func (n *Node) sendSuspect(ctx context.Context, address string, record *waxwire.Suspect, relay bool) error {
	ctx, cancel := context.WithTimeout(ctx, suspectSendTimeout)
	defer cancel()
	s := &waxwire.Suspect{
		Digest: record.GetDigest(), Deaths: record.GetDeaths(), Cleared: record.GetCleared(),
		RemainingMs: record.GetRemainingMs(), Relay: relay,
	}
	_, err := n.links.Control(address).SpreadSuspect(ctx, connect.NewRequest(s))
	return err
}

// refreshAssignment fetches the latest assignment after this process was paused,
// from peers or the platform, whichever responds first.
func (n *Node) refreshAssignment(ctx context.Context) {
	if !n.initialized.Load() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{}, 2)
	go func() {
		if n.exchanger.ExchangeAll(ctx) > 0 {
			done <- struct{}{}
		}
	}()
	go func() {
		o, err := n.store.Get(ctx, waxfleet.ObjectKindAssignment, n.self.FailureDomain())
		if err != nil {
			return
		}
		n.keeper.Adopt(o.Value(), o.Version())
		done <- struct{}{}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// relays returns healthy peers that can reach the platform, to relay object calls
// when this instance can't reach it.
func (n *Node) relays() []*waxobject.Relay {
	var relays []*waxobject.Relay
	for _, link := range n.table.Links() {
		if !link.Healthy() || len(relays) == maxRelays || !n.table.PlatformReachable(link.Peer().ID()) {
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

// deletesClaim reports whether this instance is the one that deletes the claim when it
// has expired, which distributes the deletions over the fleet. It is safe if two
// instances delete the same claim.
func (n *Node) deletesClaim(name string) bool {
	ids := []string{n.self.ID()}
	for _, link := range n.table.Links() {
		if link.Healthy() {
			ids = append(ids, link.Peer().ID())
		}
	}
	return waxplace.First(name, ids) == n.self.ID()
}

func (n *Node) dialControl(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.byteCounter.Wrap(conn), nil
}

func (n *Node) controlTransport() *waxhead.Transport {
	return waxhead.NewTransport(&http.Transport{DialContext: n.dialControl, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute})
}

// countedListener wraps accepted connections, so that their bytes are counted
// once they are marked as control traffic.
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
	return l.counter.WrapUnmarked(conn), nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// markControlTraffic marks the connection of a request as control traffic.
func markControlTraffic(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*waxmember.CountedConn); ok {
		c.MarkControl()
	}
}
