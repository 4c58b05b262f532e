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
	// MinLoadInterval is the minimum interval between two load messages to one peer.
	MinLoadInterval waxfleet.Millis = 200
	// loadKeepAliveInterval is the maximum interval between two load messages, so that a
	// peer can distinguish a failed instance from an unchanged load.
	loadKeepAliveInterval waxfleet.Millis = 1_000
	// loadMaxAge is the age up to which the load reported by a peer is used.
	loadMaxAge waxfleet.Millis = 2_500
	// maxFleetWidePeers is the number of peers up to which loads are sent to the
	// entire fleet. Beyond it, they are sent within the own failure domain only, and
	// other domains receive totals in digests: with many engines the mean changes
	// slowly.
	maxFleetWidePeers = 15
	// fullRatePeers is the number of peers up to which each gets a message per
	// MinLoadInterval. With more peers the interval grows, to bound the traffic.
	fullRatePeers = 6
	// reconnectDelay is the delay before a failed stream is reopened.
	reconnectDelay waxfleet.Millis = 500
)

// reportedLoad is the load that a peer reported last.
type reportedLoad struct {
	incarnation string
	receivedAt  waxfleet.Millis
	services    map[string]waxfleet.ServiceTotal
}

// RecordLoads records the loads that a peer reported.
func (t *Table) RecordLoads(instance, incarnation string, loads []*waxwire.OwnedLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[instance]
	if !ok || p.incarnation > incarnation {
		return
	}
	reported := reportedLoad{incarnation: incarnation, receivedAt: t.clock.Now(), services: map[string]waxfleet.ServiceTotal{}}
	for _, l := range loads {
		reported.services[l.GetService()] = waxfleet.NewServiceTotal(l.GetService(),
			p.instance.FailureDomain(), int(l.GetInFlight()), int(l.GetServers()), 0)
	}
	p.load = reported
	if p.incarnation == incarnation {
		p.lastMessageAt = reported.receivedAt // loads arrive every second; digests in a large domain are less frequent
	}
}

// PeerLoad returns the requests in flight at the warm backend servers of a
// service that other instances own, and the number of these servers. If all live
// instances of a failure domain have recently reported their loads, it uses these;
// otherwise it uses the counts in digests.
func (t *Table) PeerLoad(service string) (inFlight, servers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	reported := map[string]bool{}
	for _, p := range t.peers {
		domain := p.instance.FailureDomain()
		if now-p.lastMessageAt > PeerTimeout {
			continue
		}
		fresh := p.load.incarnation == p.incarnation && now-p.load.receivedAt <= loadMaxAge
		if before, seen := reported[domain]; !seen || before {
			reported[domain] = fresh
		}
	}
	for _, p := range t.peers {
		if now-p.lastMessageAt <= PeerTimeout && reported[p.instance.FailureDomain()] {
			inFlight += p.load.services[service].InFlight()
			servers += p.load.services[service].Servers()
		}
	}
	own := t.self.FailureDomain()
	if !reported[own] {
		inFlight, servers = t.addDigestLoads(service, inFlight, servers)
	}
	for key, d := range t.totals {
		if key.service == service && key.failureDomain != own && !reported[key.failureDomain] && now-d.measuredAt <= PeerTimeout*2 {
			inFlight += d.total.InFlight()
			servers += d.total.Servers()
		}
	}
	return inFlight, servers
}

// addDigestLoads adds the loads that peers of this failure domain sent in digests.
// The caller holds the lock.
func (t *Table) addDigestLoads(service string, inFlight, servers int) (sum, count int) {
	now := t.clock.Now()
	for _, p := range t.peers {
		if now-p.lastMessageAt > PeerTimeout || p.instance.FailureDomain() != t.self.FailureDomain() {
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

// countsForMean reports whether the backend server is included in the mean load.
// Cold, leaving and dead servers carry less than average, and would lower the limit
// of the others below their current load.
func countsForMean(s *waxwire.BackendState) bool {
	return s.GetWarm() && !s.GetLeaving() && !s.GetDead() && !s.GetResidual()
}

// Broadcaster sends the loads of the backend servers that this instance owns to
// peers, soon after they change. The load limit is a multiple of the mean load, so it
// is only as accurate as these counts are recent.
type Broadcaster struct {
	table *Table
	links *PeerClients
	clock *waxfleet.Clock
	log   *slog.Logger

	mu      sync.Mutex
	streams map[string]chan *waxwire.OwnedLoads
}

// NewBroadcaster starts sending the result of loads to peers, until ctx ends.
func NewBroadcaster(ctx context.Context, table *Table, links *PeerClients, clock *waxfleet.Clock, loads func() []*waxwire.OwnedLoad, log *slog.Logger) *Broadcaster {
	b := &Broadcaster{
		table:   table,
		links:   links,
		clock:   clock,
		log:     log,
		streams: map[string]chan *waxwire.OwnedLoads{},
	}
	go func() {
		var last *waxwire.OwnedLoads
		var sent waxfleet.Millis
		for {
			peers := b.recipients()
			if clock.Sleep(ctx, sendInterval(len(peers))) != nil {
				return
			}
			now := clock.Now()
			next := &waxwire.OwnedLoads{Services: loads()}
			if last != nil && proto.Equal(last, next) && now-sent < loadKeepAliveInterval {
				continue
			}
			last, sent = next, now
			for _, peer := range peers {
				b.enqueue(ctx, peer, next)
			}
		}
	}()
	return b
}

// sendInterval returns the interval between load messages, which bounds the number of
// messages per second.
func sendInterval(peers int) waxfleet.Millis {
	return MinLoadInterval * waxfleet.Millis(max(peers, fullRatePeers)) / fullRatePeers
}

// recipients returns the live peers to which loads are sent.
func (b *Broadcaster) recipients() []waxfleet.Instance {
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
	if len(all) <= maxFleetWidePeers {
		return all
	}
	return own
}

// enqueue passes the loads to the stream of the peer, which it opens if needed. It
// replaces loads that the stream has not sent yet.
func (b *Broadcaster) enqueue(ctx context.Context, peer waxfleet.Instance, loads *waxwire.OwnedLoads) {
	b.mu.Lock()
	ch, ok := b.streams[peer.PeerAddress()]
	if !ok {
		ch = make(chan *waxwire.OwnedLoads, 1)
		b.streams[peer.PeerAddress()] = ch
		go func() {
			if err := b.stream(ctx, peer, ch); err != nil && ctx.Err() == nil {
				b.log.DebugContext(ctx, "load stream failed", "peer", peer.ID(), "error", err)
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

// stream sends loads to one peer until the stream fails or no loads were enqueued for
// twice loadKeepAliveInterval.
func (b *Broadcaster) stream(ctx context.Context, peer waxfleet.Instance, ch <-chan *waxwire.OwnedLoads) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := b.links.Control(peer.PeerAddress()).Loads(ctx)
	first := true
	for {
		idle, stop := context.WithTimeout(ctx, (2 * loadKeepAliveInterval).Duration())
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

// ReceiveLoads records the loads from the stream of one peer until the stream ends or
// this instance is leaving: an open stream would delay its graceful shutdown.
func (t *Table) ReceiveLoads(stream *connect.ClientStream[waxwire.OwnedLoads]) error {
	instance, incarnation := "", ""
	for !t.isLeaving() && stream.Receive() {
		m := stream.Msg()
		if m.GetInstance() != "" {
			instance, incarnation = m.GetInstance(), m.GetIncarnation()
		}
		t.RecordLoads(instance, incarnation, m.GetServices())
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
