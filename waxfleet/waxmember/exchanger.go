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
	// ExchangeInterval is the time between rounds.
	ExchangeInterval waxfleet.Millis = 500
	// exchangeTimeout bounds one exchange.
	exchangeTimeout waxfleet.Millis = 1_500
	// domainFanout is the number of peers of this failure domain in a round.
	domainFanout = 3
	// contactAge is how old the last acknowledgement of an important peer may be
	// before it is contacted out of turn. It is less than half the age at which
	// owners give up the reserve.
	contactAge waxfleet.Millis = 900
	// remoteRounds is the number of rounds for each exchange with a failure
	// domain.
	remoteRounds = 4
	// gateways is the number of instances of a failure domain that exchange with
	// each other one; two, so that the loss of one costs nothing.
	gateways = 2
)

// Exchanger swaps digests with peers until its context ends.
type Exchanger struct {
	table     *Table
	links     *Links
	clock     *waxfleet.Clock
	important func() []string
	log       *slog.Logger

	mu     sync.Mutex
	round  int
	active map[string]bool
	kick   chan struct{}
}

// NewExchanger starts exchanging. important names the instances whose
// acknowledgements this instance depends on most.
func NewExchanger(ctx context.Context, table *Table, links *Links, clock *waxfleet.Clock, important func() []string, log *slog.Logger) *Exchanger {
	e := &Exchanger{
		table: table, links: links, clock: clock, important: important, log: log,
		active: map[string]bool{}, kick: make(chan struct{}, 1),
	}
	go func() {
		for ctx.Err() == nil {
			if err := clock.Sleep(ctx, ExchangeInterval); err != nil {
				return
			}
			for _, peer := range e.pick() {
				e.start(ctx, peer)
			}
		}
	}()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-e.kick:
				for _, link := range table.Links() {
					if link.Peer().FailureDomain() == table.Self().FailureDomain() {
						e.start(ctx, link.Peer())
					}
				}
			}
		}
	}()
	return e
}

// Kick starts an exchange with all peers of this failure domain, after a change
// that they should know at once.
func (e *Exchanger) Kick() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// All exchanges with all peers of this failure domain and one of each other, and
// returns the number that answered. It ends with ctx.
func (e *Exchanger) All(ctx context.Context) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
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
			answered++
		})
	}
	wg.Wait()
	return answered
}

// pick returns the peers of the next round.
func (e *Exchanger) pick() []waxfleet.Instance {
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
	picked := e.urgent(own)
	for i := range min(domainFanout, len(own)) {
		peer := own[(round*domainFanout+i)%len(own)]
		if !slices.Contains(picked, peer) && !e.heardLately(peer, ExchangeInterval) {
			picked = append(picked, peer)
		}
	}
	if round%remoteRounds != 0 {
		return picked
	}
	for domain, peers := range remote {
		lately := func(p waxfleet.Instance) bool { return e.heardLately(p, remoteRounds*ExchangeInterval) }
		if e.gateway(domain) && !slices.ContainsFunc(peers, lately) {
			picked = append(picked, peers[(round/remoteRounds)%len(peers)])
		}
	}
	return picked
}

// heardLately reports whether a digest of the peer came within the interval. An
// exchange serves both sides, so that the other need not start one as well.
func (e *Exchanger) heardLately(peer waxfleet.Instance, interval waxfleet.Millis) bool {
	return e.clock.Now()-e.table.digestFrom(peer.ID()) < interval
}

// gateway reports whether this instance exchanges with the other failure domain.
// Two instances of each failure domain do, and pass on what they hear, so that
// traffic between domains does not grow with their size.
func (e *Exchanger) gateway(failureDomain string) bool {
	ids := []string{e.table.Self().ID()}
	for _, m := range e.table.LiveMembers() {
		ids = append(ids, waxlease.ParseMember(m).Instance())
	}
	ranked := waxplace.Rank("gateway/"+failureDomain, ids)
	return slices.Contains(ranked[:min(len(ranked), gateways)], e.table.Self().ID())
}

func (e *Exchanger) urgent(own []waxfleet.Instance) []waxfleet.Instance {
	important := e.important()
	now := e.clock.Now()
	var picked []waxfleet.Instance
	for _, peer := range own {
		if slices.Contains(important, peer.ID()) && now-e.table.acknowledgedBy(peer.ID()) > contactAge {
			picked = append(picked, peer)
		}
	}
	return picked
}

// start runs one exchange in the background, unless one with the peer is still
// running.
func (e *Exchanger) start(ctx context.Context, peer waxfleet.Instance) {
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
			e.log.DebugContext(ctx, "exchange failed", "peer", peer.ID(), "error", err)
		}
	}()
}

func (e *Exchanger) exchange(ctx context.Context, peer waxfleet.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	reply, err := e.links.Control(peer.PeerAddress()).Exchange(ctx, connect.NewRequest(e.table.Build(peer.ID())))
	if err != nil {
		return err
	}
	e.table.Merge(reply.Msg)
	return nil
}

// Answer merges the digest of a peer and returns this instance's own.
func (t *Table) Answer(d *waxwire.Digest) *waxwire.Digest {
	t.Merge(d)
	return t.Build(d.GetInstance())
}

// digestFrom returns when the last digest of the instance came.
func (t *Table) digestFrom(instance string) waxfleet.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[instance]; ok {
		return p.digestAt
	}
	return never
}

func (t *Table) acknowledgedBy(instance string) waxfleet.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[instance]; ok {
		return p.acked
	}
	return never
}
