package waxcheck

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxdispatch"
	"waxwingdrift.org/waxfleet/waxnode"
	"waxwingdrift.org/waxfleet/waxowner"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxengine"
	"waxwingdrift.org/waxstandin/waxplatform"
	"waxwingdrift.org/waxstandin/waxservice"
)

const (
	// settleTimeout bounds the wait for the fleet to settle.
	settleTimeout      = 40 * time.Second
	settlePollInterval = 20 * time.Millisecond
	// progressTimeout is short enough to detect silent connections within a run.
	progressTimeout waxfleet.Millis = 400
	responseTimeout waxfleet.Millis = 1_200
	poisonMarker                    = "poison-marker"
)

// priceTiers is the configuration section of the price tiers: two have deadlines
// that expire within a run, and one has a deadline that no run reaches.
const priceTiers = `{
	"standard": {"price": 1, "priority": 1, "patience-ms": 100, "deadline-ms": 30000},
	"brief":    {"price": 1, "priority": 1, "patience-ms": 100, "deadline-ms": 1500},
	"hasty":    {"price": 1, "priority": 0, "patience-ms": 0, "deadline-ms": 150}}`

// Harness is an embedded fleet under test, with its injected faults.
type Harness struct {
	ctx      context.Context
	fleet    *waxembed.Fleet
	clock    *waxfleet.Clock
	caller   *caller
	random   *rand.Rand
	sequence int
	// faultTarget is the index of the router that router faults target. It is drawn at
	// random for each run.
	faultTarget int
	// recurringChat is a chat that recurs in each run with poison requests.
	recurringChat Request

	mu             sync.Mutex
	killed         map[string]bool
	proxies        map[string]*proxy
	platformFaults waxplatform.Faults
	engineFaults   []waxengine.Faults
	serviceFaults  []waxservice.Faults
}

// NewHarness starts a fleet with 7 routers that reach each other through proxies,
// and waits until it has settled. limits is the content of the configuration section
// limits; empty keeps the default. options change the instances, for example to
// disable a mechanism.
func NewHarness(ctx context.Context, seed uint64, engines int, limits string, options ...waxnode.Option) (*Harness, error) {
	opts := waxembed.DefaultOptions()
	opts.Engines, opts.ListLag, opts.ProgressTimeout = engines, 100, progressTimeout
	opts.Engine.TokenInterval, opts.ServiceDelay = 5, 40
	// A cold engine handles a full batch: package waxbound checks the cold window,
	// and crashes of overloaded engines would be counted here.
	opts.Engine.ColdWindow = opts.Engine.MaxBatch
	opts.PriceTiersSection, opts.LimitsSection = priceTiers, limits
	opts.RouterOptions = append([]waxnode.Option{shortTimeouts}, options...)
	opts.Workspaces = []string{"ws-01"}
	fleet, err := waxembed.Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	clock := waxfleet.NewClock()
	h := &Harness{
		ctx:           ctx,
		fleet:         fleet,
		clock:         clock,
		caller:        newCaller(clock),
		random:        rand.New(rand.NewPCG(seed, 0)),
		killed:        map[string]bool{},
		proxies:       map[string]*proxy{},
		engineFaults:  make([]waxengine.Faults, len(fleet.Engines())),
		serviceFaults: make([]waxservice.Faults, len(fleet.PlainServers())),
	}
	for _, r := range fleet.Routers() {
		if err := h.addProxy(r); err != nil {
			return nil, err
		}
	}
	return h, h.awaitSettled()
}

// shortTimeouts gives an instance a dispatcher whose timeouts expire within a run;
// the default ones take up to minutes.
func shortTimeouts(d *waxowner.Dependencies) {
	d.Dispatcher = waxdispatch.New(d.Clock, waxdispatch.Options{
		ProgressTimeout: progressTimeout, GenerationTimeout: responseTimeout, ResponseTimeout: responseTimeout,
	}, d.Log)
}

// addProxy puts a proxy in front of the peer address of an instance and lists the
// instance under the address of the proxy.
func (h *Harness) addProxy(r *waxembed.Router) error {
	p, err := newProxy(h.ctx, r.Node.PeerAddress())
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.proxies[r.ID] = p
	h.mu.Unlock()
	h.fleet.Platform().AddRouter(r.ID, r.FailureDomain, p.address(), r.Node.CallerAddress())
	return nil
}

// Fleet returns the embedded fleet under test.
func (h *Harness) Fleet() *waxembed.Fleet { return h.fleet }

// router returns the router at index i, modulo the number of routers.
func (h *Harness) router(i int) *waxembed.Router {
	routers := h.fleet.Routers()
	return routers[i%len(routers)]
}

// kill stops a router like a crash. It also partitions the router from the platform,
// so that requests of its remaining goroutines do not arrive there.
func (h *Harness) kill(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.fleet.Routers() {
		if r.ID == id && !h.killed[id] {
			h.killed[id] = true
			h.platformFaults.PartitionedClients = append(h.platformFaults.PartitionedClients, id)
			h.fleet.Platform().SetFaults(h.platformFaults)
			h.proxies[id].setBlocked(true)
			r.Kill()
		}
	}
}

func (h *Harness) changePlatformFaults(change func(f *waxplatform.Faults)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.platformFaults)
	h.fleet.Platform().SetFaults(h.platformFaults)
}

// changeEngineFaults changes some faults of one engine and keeps the others.
// SilentAfterEvents applies once, to the connections that are open at the change.
func (h *Harness) changeEngineFaults(i int, change func(f *waxengine.Faults)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.engineFaults[i])
	h.fleet.Engines()[i].SetFaults(h.engineFaults[i])
	h.engineFaults[i].SilentAfterEvents = 0
}

func (h *Harness) changeAllEngineFaults(change func(f *waxengine.Faults)) {
	for i := range h.fleet.Engines() {
		h.changeEngineFaults(i, change)
	}
}

func (h *Harness) changeServiceFaults(change func(f *waxservice.Faults)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, s := range h.fleet.PlainServers() {
		change(&h.serviceFaults[i])
		s.SetFaults(h.serviceFaults[i])
	}
}

// restore ends all faults, restarts killed routers and waits until the fleet has
// settled.
func (h *Harness) restore() error {
	h.changeAllEngineFaults(func(f *waxengine.Faults) { *f = waxengine.Faults{} })
	h.changeServiceFaults(func(f *waxservice.Faults) { *f = waxservice.Faults{} })
	h.changePlatformFaults(func(f *waxplatform.Faults) { *f = waxplatform.Faults{} })
	h.mu.Lock()
	killed := h.killed
	h.killed = map[string]bool{}
	for _, p := range h.proxies {
		p.setBlocked(false)
	}
	h.mu.Unlock()
	for _, r := range h.fleet.Routers() {
		if !killed[r.ID] {
			continue
		}
		restarted, err := h.fleet.StartRouter(h.ctx, r.ID, r.FailureDomain)
		if err != nil {
			return err
		}
		if err := h.addProxy(restarted); err != nil {
			return err
		}
	}
	return h.awaitSettled()
}

func (h *Harness) awaitSettled() error {
	ctx, cancel := context.WithTimeout(h.ctx, settleTimeout)
	defer cancel()
	for !h.fleet.Settled() {
		select {
		case <-ctx.Done():
			return waxfleet.NewError(waxfleet.CodeInternal, "the fleet did not settle within %s: %s", settleTimeout, h.fleet.Unsettled())
		case <-time.After(settlePollInterval):
		}
	}
	return nil
}
