package waxmember

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"connectrpc.com/connect"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// ExchangeInterval is the interval between exchange rounds.
	ExchangeInterval waxfleet.Millis = 500
	// exchangeTimeout bounds one exchange.
	exchangeTimeout waxfleet.Millis = 1_500
	// domainFanout is the number of peers of this failure domain that an instance
	// contacts per round.
	domainFanout = 3
	// priorityAckMaxAge is the age of the last acknowledgement beyond which a priority
	// peer is contacted out of turn. It is less than half of
	// waxlease.StandbyAckMaxAge, the age beyond which owners stop using the reserve.
	priorityAckMaxAge waxfleet.Millis = 900
	// remoteExchangeRounds is the number of rounds between exchanges with another
	// failure domain.
	remoteExchangeRounds = 4
	// gatewaysPerDomain is the number of instances of a failure domain that exchange
	// with each other domain. Two tolerate the loss of one.
	gatewaysPerDomain = 2
)

// Exchanger exchanges digests with peers periodically.
type Exchanger struct {
	table         *Table
	links         *PeerClients
	clock         *waxfleet.Clock
	priorityPeers func() []string
	log           *slog.Logger

	mu    sync.Mutex
	round int
	// active holds the IDs of the peers with a running exchange.
	active map[string]bool
	// trigger starts an exchange with all peers of this failure domain.
	trigger chan struct{}
}

// NewExchanger starts exchanging digests, until ctx ends. priorityPeers returns the
// IDs of instances whose acknowledgements must stay recent; these are contacted out
// of turn.
func NewExchanger(ctx context.Context, table *Table, links *PeerClients, clock *waxfleet.Clock, priorityPeers func() []string, log *slog.Logger) *Exchanger {
	e := &Exchanger{
		table: table, links: links, clock: clock, priorityPeers: priorityPeers, log: log,
		active: map[string]bool{}, trigger: make(chan struct{}, 1),
	}
	go func() {
		for ctx.Err() == nil {
			if err := clock.Sleep(ctx, ExchangeInterval); err != nil {
				return
			}
			for _, peer := range e.selectPeers() {
				e.startExchange(ctx, peer)
			}
		}
	}()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-e.trigger:
				for _, link := range table.Links() {
					if link.Peer().FailureDomain() == table.Self().FailureDomain() {
						e.startExchange(ctx, link.Peer())
					}
				}
			}
		}
	}()
	return e
}

// ExchangeNow starts an exchange with all peers of this failure domain, to publish a
// change immediately. It does not block.
func (e *Exchanger) ExchangeNow() {
	select {
	case e.trigger <- struct{}{}:
	default:
	}
}

// AnnounceConfig exchanges digests at once with peers that have not reported the
// configuration version: with up to domainFanout of this failure domain and, if this
// instance is a gateway, with one of each other domain. Instances that can't reach the
// platform thus learn of a change without waiting for a round. It does not block.
func (e *Exchanger) AnnounceConfig(ctx context.Context, version uint64) {
	for _, peer := range e.configRecipients(version) {
		e.startExchange(ctx, peer)
	}
}

// configRecipients returns the peers to which a configuration version is announced.
func (e *Exchanger) configRecipients(version uint64) []waxfleet.Instance {
	own, recipients := 0, []waxfleet.Instance(nil)
	seen := map[string]bool{}
	for _, id := range waxplace.Rank(e.table.Self().ID(), e.table.peersBefore(version)) {
		peer, ok := e.table.Peer(id)
		domain := peer.FailureDomain()
		switch {
		case !ok:
		case domain == e.table.Self().FailureDomain():
			if own < domainFanout {
				own++
				recipients = append(recipients, peer)
			}
		case !seen[domain] && e.isGateway(domain):
			seen[domain] = true
			recipients = append(recipients, peer)
		}
	}
	return recipients
}

// ExchangeAll exchanges digests with all peers of this failure domain and one peer of
// each other domain, and returns the number that succeeded. It blocks until all have
// succeeded, failed or timed out.
func (e *Exchanger) ExchangeAll(ctx context.Context) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	succeeded := 0
	seen := map[string]bool{}
	for _, link := range e.table.Links() {
		peer := link.Peer()
		own := peer.FailureDomain() == e.table.Self().FailureDomain()
		if !own && seen[peer.FailureDomain()] {
			continue
		}
		seen[peer.FailureDomain()] = true
		wg.Go(func() {
			if e.exchange(ctx, peer) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			succeeded++
		})
	}
	wg.Wait()
	return succeeded
}

// selectPeers returns the peers for the next round: priority peers that are overdue,
// the next peers of this failure domain in rotation, and peers of other domains.
func (e *Exchanger) selectPeers() []waxfleet.Instance {
	e.mu.Lock()
	e.round++
	round := e.round
	e.mu.Unlock()
	var own []waxfleet.Instance
	remote := map[string][]waxfleet.Instance{}
	for _, link := range e.table.Links() {
		peer := link.Peer()
		if peer.FailureDomain() == e.table.Self().FailureDomain() {
			own = append(own, peer)
			continue
		}
		remote[peer.FailureDomain()] = append(remote[peer.FailureDomain()], peer)
	}
	selected := e.overduePriorityPeers(own)
	for i := range min(domainFanout, len(own)) {
		peer := own[(round*domainFanout+i)%len(own)]
		if !slices.Contains(selected, peer) && !e.exchangedWithin(peer, ExchangeInterval) {
			selected = append(selected, peer)
		}
	}
	if round%remoteExchangeRounds != 0 {
		return selected
	}
	for domain, peers := range remote {
		exchanged := func(p waxfleet.Instance) bool { return e.exchangedWithin(p, remoteExchangeRounds*ExchangeInterval) }
		if e.isGateway(domain) && !slices.ContainsFunc(peers, exchanged) {
			selected = append(selected, peers[(round/remoteExchangeRounds)%len(peers)])
		}
	}
	return selected
}

// exchangedWithin reports whether a digest of the peer arrived less than interval ago.
// An exchange updates both sides, so this side need not start one as well.
func (e *Exchanger) exchangedWithin(peer waxfleet.Instance, interval waxfleet.Millis) bool {
	return e.clock.Now()-e.table.lastDigestFrom(peer.ID()) < interval
}

// isGateway reports whether this instance exchanges digests with the other failure
// domain. gatewaysPerDomain instances of each failure domain do so and pass on the
// totals that they receive, so that traffic between domains does not grow with their
// size.
func (e *Exchanger) isGateway(failureDomain string) bool {
	ids := []string{e.table.Self().ID()}
	for _, m := range e.table.LiveMembers() {
		ids = append(ids, waxlease.ParseMember(m).Instance())
	}
	ranked := waxplace.Rank("gateway/"+failureDomain, ids)
	return slices.Contains(ranked[:min(len(ranked), gatewaysPerDomain)], e.table.Self().ID())
}

// overduePriorityPeers returns the priority peers in own whose last acknowledgement is
// older than priorityAckMaxAge.
func (e *Exchanger) overduePriorityPeers(own []waxfleet.Instance) []waxfleet.Instance {
	priorityPeers := e.priorityPeers()
	now := e.clock.Now()
	var selected []waxfleet.Instance
	for _, peer := range own {
		if slices.Contains(priorityPeers, peer.ID()) && now-e.table.lastAcknowledgedBy(peer.ID()) > priorityAckMaxAge {
			selected = append(selected, peer)
		}
	}
	return selected
}

// startExchange runs an exchange in the background, unless one with the peer is already
// running.
func (e *Exchanger) startExchange(ctx context.Context, peer waxfleet.Instance) {
	e.mu.Lock()
	if e.active[peer.ID()] {
		e.mu.Unlock()
		return
	}
	e.active[peer.ID()] = true
	e.mu.Unlock()
	go func() {
		defer func() {
			e.mu.Lock()
			delete(e.active, peer.ID())
			e.mu.Unlock()
		}()
		if err := e.exchange(ctx, peer); err != nil {
			e.log.DebugContext(ctx, "digest exchange failed", "peer", peer.ID(), "error", err)
		}
	}()
}

func (e *Exchanger) exchange(ctx context.Context, peer waxfleet.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	reply, err := e.links.Control(peer.PeerAddress()).Exchange(ctx, connect.NewRequest(e.table.BuildDigest(peer.ID())))
	if err != nil {
		return err
	}
	e.table.MergeDigest(reply.Msg)
	return nil
}

// HandleExchange merges the digest of a peer and returns a digest for it.
func (t *Table) HandleExchange(d *waxwire.Digest) *waxwire.Digest {
	t.MergeDigest(d)
	return t.BuildDigest(d.GetInstance())
}

// lastDigestFrom returns when the last digest of the instance arrived, or never.
func (t *Table) lastDigestFrom(instance string) waxfleet.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[instance]; ok {
		return p.lastDigestAt
	}
	return never
}

// lastAcknowledgedBy returns when this instance sent the newest digest that the
// instance has acknowledged, or never.
func (t *Table) lastAcknowledgedBy(instance string) waxfleet.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[instance]; ok {
		return p.ackedSentAt
	}
	return never
}
