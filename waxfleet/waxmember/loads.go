package waxmember

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// LoadInterval is the least time between two messages of loads to one peer.
	LoadInterval waxfleet.Millis = 200
	// loadRefresh is the longest time between two, so that a peer can tell silence
	// from a load that stays the same.
	loadRefresh waxfleet.Millis = 1_000
	// loadFresh is the age up to which the load of a peer is used.
	loadFresh waxfleet.Millis = 2_500
	// directPeers is the number of peers up to which loads go to the whole fleet.
	// Beyond it, they go to the own failure domain only, and others learn totals
	// from digests: with many engines the mean moves slowly.
	directPeers = 15
	// fastPeers is the number of peers up to which each gets a message per
	// LoadInterval; with more, the interval grows, so that the traffic does not.
	fastPeers = 6
	// reconnectDelay is the wait before a broken stream is opened again.
	reconnectDelay waxfleet.Millis = 500
)

// peerLoad is the load that a peer told last.
type peerLoad struct {
	incarnation string
	at          waxfleet.Millis
	services    map[string]waxfleet.ServiceTotal
}

// TakeLoads takes the loads that a peer told.
func (t *Table) TakeLoads(instance, incarnation string, loads []*waxwire.OwnedLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[instance]
	if !ok || p.incarnation > incarnation {
		return
	}
	told := peerLoad{incarnation: incarnation, at: t.clock.Now(), services: map[string]waxfleet.ServiceTotal{}}
	for _, l := range loads {
		told.services[l.GetService()] = waxfleet.NewServiceTotal(l.GetService(), p.instance.FailureDomain(), int(l.GetInFlight()), int(l.GetServers()), 0)
	}
	p.load = told
	if p.incarnation == incarnation {
		p.heard = told.at // loads come each second, digests of a large domain more rarely
	}
}

// PeerLoad returns the requests in flight at the warm backend servers of a
// service that other instances own, and the number of these servers. A failure
// domain whose instances all told their loads lately counts by these; others
// count by the totals of digests.
func (t *Table) PeerLoad(service string) (inFlight, servers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	told := map[string]bool{}
	for _, p := range t.peers {
		domain := p.instance.FailureDomain()
		if now-p.heard > FreshFor {
			continue
		}
		fresh := p.load.incarnation == p.incarnation && now-p.load.at <= loadFresh
		if before, seen := told[domain]; !seen || before {
			told[domain] = fresh
		}
	}
	for _, p := range t.peers {
		if now-p.heard <= FreshFor && told[p.instance.FailureDomain()] {
			inFlight += p.load.services[service].InFlight()
			servers += p.load.services[service].Servers()
		}
	}
	own := t.self.FailureDomain()
	if !told[own] {
		inFlight, servers = t.addDomainPeers(service, inFlight, servers)
	}
	for key, d := range t.totals {
		if key.service == service && key.failureDomain != own && !told[key.failureDomain] && now-d.at <= FreshFor*2 {
			inFlight += d.total.InFlight()
			servers += d.total.Servers()
		}
	}
	return inFlight, servers
}

// addDomainPeers adds the loads of this failure domain from digests.
func (t *Table) addDomainPeers(service string, inFlight, servers int) (sum, count int) {
	now := t.clock.Now()
	for _, p := range t.peers {
		if now-p.heard > FreshFor || p.instance.FailureDomain() != t.self.FailureDomain() {
			continue
		}
		for _, s := range p.servers {
			if s.GetService() != service {
				continue
			}
			if countsForMean(s) {
				servers++
			}
			if countsForMean(s) || s.GetResidual() {
				inFlight += int(s.GetInFlight())
			}
		}
	}
	return inFlight, servers
}

// countsForMean reports whether the mean load is taken over the backend server.
// Cold, leaving and dead ones carry less than their part, and would pull the
// limit of the others below what they already run.
func countsForMean(s *waxwire.BackendState) bool {
	return s.GetWarm() && !s.GetLeaving() && !s.GetDead() && !s.GetResidual()
}

// Broadcaster tells peers the loads of the backend servers that this instance
// owns, soon after they change. The load limit is a multiple of the mean load,
// so that it is as exact as these counts are fresh.
type Broadcaster struct {
	table *Table
	links *Links
	clock *waxfleet.Clock
	log   *slog.Logger

	mu      sync.Mutex
	streams map[string]chan *waxwire.OwnedLoads
}

// NewBroadcaster starts telling the loads; it ends with ctx.
func NewBroadcaster(ctx context.Context, table *Table, links *Links, clock *waxfleet.Clock, loads func() []*waxwire.OwnedLoad, log *slog.Logger) *Broadcaster {
	b := &Broadcaster{table: table, links: links, clock: clock, log: log, streams: map[string]chan *waxwire.OwnedLoads{}}
	go func() {
		var last *waxwire.OwnedLoads
		var sent waxfleet.Millis
		for {
			peers := b.targets()
			if clock.Sleep(ctx, interval(len(peers))) != nil {
				return
			}
			now := clock.Now()
			next := &waxwire.OwnedLoads{Services: loads()}
			if last != nil && proto.Equal(last, next) && now-sent < loadRefresh {
				continue
			}
			last, sent = next, now
			for _, peer := range peers {
				b.tell(ctx, peer, next)
			}
		}
	}()
	return b
}

// interval spreads the messages so that their sum per second is bounded.
func interval(peers int) waxfleet.Millis {
	return LoadInterval * waxfleet.Millis(max(peers, fastPeers)) / fastPeers
}

// targets are the live peers that get loads.
func (b *Broadcaster) targets() []waxfleet.Instance {
	var all, own []waxfleet.Instance
	for _, link := range b.table.Links() {
		if !link.Healthy() || b.table.peerLeaving(link.Peer().ID()) {
			continue
		}
		all = append(all, link.Peer())
		if link.Peer().FailureDomain() == b.table.Self().FailureDomain() {
			own = append(own, link.Peer())
		}
	}
	if len(all) <= directPeers {
		return all
	}
	return own
}

// tell hands the loads to the stream of the peer. A stream that can't keep up
// skips older loads.
func (b *Broadcaster) tell(ctx context.Context, peer waxfleet.Instance, loads *waxwire.OwnedLoads) {
	b.mu.Lock()
	ch, ok := b.streams[peer.PeerAddress()]
	if !ok {
		ch = make(chan *waxwire.OwnedLoads, 1)
		b.streams[peer.PeerAddress()] = ch
		go func() {
			if err := b.stream(ctx, peer, ch); err != nil && ctx.Err() == nil {
				b.log.DebugContext(ctx, "stream of loads ended", "peer", peer.ID(), "error", err)
				_ = b.clock.Sleep(ctx, reconnectDelay)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			delete(b.streams, peer.PeerAddress())
		}()
	}
	b.mu.Unlock()
	select {
	case <-ch:
	default:
	}
	select {
	case ch <- loads:
	default:
	}
}

// stream sends loads to one peer until the stream breaks or the peer is silent.
func (b *Broadcaster) stream(ctx context.Context, peer waxfleet.Instance, ch <-chan *waxwire.OwnedLoads) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := b.links.Control(peer.PeerAddress()).Loads(ctx)
	first := true
	for {
		idle, stop := context.WithTimeout(ctx, (2 * loadRefresh).Duration())
		select {
		case <-idle.Done():
			stop()
			_, err := stream.CloseAndReceive()
			return err
		case loads := <-ch:
			stop()
			m := &waxwire.OwnedLoads{Services: slices.Clone(loads.GetServices())}
			if first {
				m.Instance, m.Incarnation = b.table.self.ID(), b.table.incarnation
				first = false
			}
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	}
}

// Receive takes the stream of one peer until it ends, or until this instance is
// leaving: an open stream would hold up its graceful shutdown.
func (t *Table) Receive(stream *connect.ClientStream[waxwire.OwnedLoads]) error {
	instance, incarnation := "", ""
	for !t.isLeaving() && stream.Receive() {
		m := stream.Msg()
		if m.GetInstance() != "" {
			instance, incarnation = m.GetInstance(), m.GetIncarnation()
		}
		t.TakeLoads(instance, incarnation, m.GetServices())
	}
	return stream.Err()
}

func (t *Table) isLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

func (t *Table) peerLeaving(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[instance]
	return ok && p.leaving
}
