package waxowner

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxfleet/waxsuspect"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// tickInterval is the time between checks of the queues; a queued request
	// leaves at most this late.
	tickInterval waxfleet.Millis = 50
	// pollInterval is the time between load reports of a backend server.
	pollInterval waxfleet.Millis = 1_000
	// secondPollRounds is the number of rounds between load reports of a backend
	// server that another instance owns.
	secondPollRounds = 5
	// pollTimeout bounds one load report.
	pollTimeout waxfleet.Millis = 1_000
	// pauseGap is the gap between ticks after which the process counts as paused.
	pauseGap waxfleet.Millis = 2_000
	// resumeWait bounds the wait for news after a pause.
	resumeWait waxfleet.Millis = 2_000
	// spreadTimeout bounds the spreading of a suspect before a retry.
	spreadTimeout waxfleet.Millis = 500
)

// Ownership tells what this instance may admit.
type Ownership interface {
	Share(server string) waxlease.Share
	Owner(server string) string
	Candidates(server string) []string
}

// Parts are the components that an owner works with.
type Parts struct {
	Clock      *waxfleet.Clock
	Config     waxfleet.ConfigSource
	Ownership  Ownership
	Table      *waxmember.Table
	Dispatcher waxfleet.Dispatcher
	Claims     waxfleet.ClaimStore
	Suspects   *waxsuspect.Register
	Recorder   waxfleet.Recorder
	Log        *slog.Logger
	// Spread passes a suspect on to other instances before it is retried.
	Spread func(ctx context.Context, digest string)
	// News asks peers and the platform for the newest assignment after a pause.
	News func(ctx context.Context)
	// Exceptions is the size of the table of chats away from their first choice.
	Exceptions int
}

// Owner admits and runs requests. It is safe for concurrent use.
type Owner struct {
	Parts
	exceptions *waxplace.Exceptions

	mu       sync.Mutex
	gates    map[string]*gate
	paused   bool
	lastTick waxfleet.Millis
	stopping bool
}

// New returns an owner and starts its polling and queue work, which end with
// ctx.
func New(ctx context.Context, parts Parts) *Owner {
	o := &Owner{
		Parts: parts, exceptions: waxplace.NewExceptions(parts.Exceptions),
		gates: map[string]*gate{}, lastTick: parts.Clock.Now(),
	}
	go func() {
		for o.Clock.Sleep(ctx, tickInterval) == nil {
			o.checkPause(ctx)
			o.tick()
		}
	}()
	go func() {
		for round := 0; o.Clock.Sleep(ctx, pollInterval) == nil; round++ {
			o.poll(ctx, round)
		}
	}()
	return o
}

// Stop ends admission for good, before this instance departs. Running work goes
// on.
func (o *Owner) Stop() {
	o.mu.Lock()
	o.stopping = true
	o.mu.Unlock()
	o.tick()
}

// InFlight returns the number of requests that run here.
func (o *Owner) InFlight() int {
	sum := 0
	for _, g := range o.allGates() {
		g.mu.Lock()
		sum += g.admit.InFlight() + g.admit.Queued()
		g.mu.Unlock()
	}
	return sum
}

// Exceptions returns the number of remembered chats.
func (o *Owner) Exceptions() int { return o.exceptions.Len() }

// checkPause notices that the process did not run for a while. Until news of the
// assignment has come, it admits nothing: another instance may have taken over.
func (o *Owner) checkPause(ctx context.Context) {
	now := o.Clock.Now()
	o.mu.Lock()
	gap := now - o.lastTick
	o.lastTick = now
	if gap <= pauseGap || o.paused {
		o.mu.Unlock()
		return
	}
	o.paused = true
	o.mu.Unlock()
	o.Log.WarnContext(ctx, "the process was paused; admission waits for news of the assignment", "gap-ms", int64(gap))
	go func() {
		ctx, cancel := context.WithTimeout(ctx, resumeWait.Duration())
		defer cancel()
		o.News(ctx)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.paused = false
	}()
}

// share returns the share of the limit that may be used now. A process that
// has not ticked for longer than the pause gap was paused and has not yet
// noticed.
func (o *Owner) share(server string) waxlease.Share {
	o.mu.Lock()
	blocked := o.paused || o.stopping || o.Clock.Now()-o.lastTick > pauseGap
	o.mu.Unlock()
	if blocked {
		return waxlease.None
	}
	return o.Ownership.Share(server)
}

func (o *Owner) condition(g *gate) condition {
	cfg := o.Config.Current()
	share := o.share(g.id)
	if !cfg.DomainIn(o.Table.Self().FailureDomain()) {
		share = waxlease.None
	}
	return condition{
		now: o.Clock.Now(), share: share,
		limit:    o.limit(cfg, g.service),
		external: o.Table.External(g.id),
	}
}

// limit returns the load limit of a service at this moment. The counts of this
// instance are exact, those of others as old as their last message.
func (o *Owner) limit(cfg waxfleet.Config, service string) int {
	total, servers := o.Table.PeerLoad(service)
	for _, l := range o.Loads() {
		if l.GetService() == service {
			total += int(l.GetInFlight())
			servers += int(l.GetServers())
		}
	}
	return waxplace.AdmissionLimit(cfg.Limits(), total, servers)
}

// Loads returns the loads of this instance's warm backend servers by service.
func (o *Owner) Loads() []*waxwire.OwnedLoad {
	loads := map[string]*waxwire.OwnedLoad{}
	for _, g := range o.allGates() {
		owned := o.Ownership.Owner(g.id) == o.Table.Self().ID()
		g.mu.Lock()
		inFlight := g.admit.InFlight()
		counts := owned && g.admit.Window().Warm() && !g.leaving && o.Clock.Now() >= g.deadTill
		g.mu.Unlock()
		if !counts && (owned || inFlight == 0) {
			continue
		}
		l, ok := loads[g.service]
		if !ok {
			l = &waxwire.OwnedLoad{Service: g.service}
			loads[g.service] = l
		}
		l.InFlight += int32(inFlight)
		if counts {
			l.Servers++
		}
	}
	return slices.SortedFunc(maps.Values(loads), func(a, b *waxwire.OwnedLoad) int {
		return strings.Compare(a.GetService(), b.GetService())
	})
}

func (o *Owner) allGates() []*gate {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.gates))
}

// gateOf returns the gate of a backend server of this failure domain, and makes
// it on first use.
func (o *Owner) gateOf(id string) (*gate, bool) {
	b, listed := o.Table.Server(id)
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.gates[id]
	if ok {
		return g, true
	}
	if !listed || b.FailureDomain() != o.Table.Self().FailureDomain() {
		return nil, false
	}
	g = newGate(b, o.Config.Current().Limits())
	o.gates[id] = g
	return g, true
}

// tick follows the instance list and moves the queues on. It keeps gates for the
// backend servers that this instance owns or is second for, and for those where
// work still runs: a failure domain has hundreds of others.
func (o *Owner) tick() {
	self := o.Table.Self()
	wanted := map[string]bool{}
	for _, b := range o.Table.Servers() {
		if b.FailureDomain() != self.FailureDomain() {
			continue
		}
		candidate := slices.Contains(o.Ownership.Candidates(b.ID()), self.ID())
		wanted[b.ID()] = candidate
		if g, ok := o.gate(b.ID()); ok || candidate {
			if !ok {
				g, _ = o.gateOf(b.ID())
			}
			g.setServer(b)
		}
	}
	for _, g := range o.allGates() {
		candidate, listed := wanted[g.id]
		if !listed {
			g.withdraw()
		}
		g.tick(o.condition(g))
		if !candidate && g.retire() {
			o.drop(g)
		}
	}
}

func (o *Owner) gate(id string) (*gate, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.gates[id]
	return g, ok
}

func (o *Owner) drop(g *gate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.gates, g.id)
}

// poll fetches the load reports of the backend servers that this instance may
// admit to: in each round those that it has a share of, and more rarely those
// where it is the second, so that it knows them when it takes over.
func (o *Owner) poll(ctx context.Context, round int) {
	var wg sync.WaitGroup
	for _, g := range o.allGates() {
		if !slices.Contains(o.Ownership.Candidates(g.id), o.Table.Self().ID()) {
			continue
		}
		if round%secondPollRounds != 0 && o.Ownership.Share(g.id) == waxlease.None {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
			defer cancel()
			r, err := o.Dispatcher.Load(ctx, g.backend())
			if err != nil {
				o.Log.DebugContext(ctx, "load report failed", "backend-server", g.id, "error", err)
				return
			}
			g.report(r, o.condition(g))
		})
	}
	wg.Wait()
}

// BackendStates returns what digests tell of this instance's backend servers:
// those it owns, and those where work of an earlier ownership still runs.
func (o *Owner) BackendStates() []*waxwire.BackendState {
	var states []*waxwire.BackendState
	for _, g := range o.allGates() {
		id := g.id
		owner := o.Ownership.Owner(id) == o.Table.Self().ID() && o.share(id) != waxlease.None
		limit := o.limit(o.Config.Current(), g.service)
		g.mu.Lock()
		inFlight := g.admit.InFlight()
		if owner || inFlight > 0 {
			states = append(states, &waxwire.BackendState{
				Id: id, Service: g.service, InFlight: int32(inFlight), Queued: int32(g.admit.Queued()),
				Window: int32(g.admit.Window().Size()), Warm: g.admit.Window().Warm(), Leaving: g.leaving,
				Dead: o.Clock.Now() < g.deadTill, Residual: !owner, Incarnation: g.admit.Window().Incarnation(),
				Limit: int64(limit),
			})
		}
		g.mu.Unlock()
	}
	slices.SortFunc(states, func(a, b *waxwire.BackendState) int { return strings.Compare(a.GetId(), b.GetId()) })
	return states
}
