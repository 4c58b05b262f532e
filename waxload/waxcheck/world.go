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
	// restoreTimeout bounds the wait for a settled fleet after faults.
	restoreTimeout = 40 * time.Second
	restoreCheck   = 20 * time.Millisecond
	// runProgressTimeout makes silent connections known within a short run.
	runProgressTimeout waxfleet.Millis = 400
	runAnswerTimeout   waxfleet.Millis = 1_200
	poisonMarker                       = "poison-marker"
)

// tiers of the fleets under proof: deadlines short enough that refusals come
// within a run, and one that no run reaches.
const tiers = `{
	"standard": {"price": 1, "priority": 1, "patience-ms": 100, "deadline-ms": 30000},
	"brief":    {"price": 1, "priority": 1, "patience-ms": 100, "deadline-ms": 1500},
	"hasty":    {"price": 1, "priority": 0, "patience-ms": 0, "deadline-ms": 150}}`

// World is a fleet under proof with its faults.
type World struct {
	ctx    context.Context
	fleet  *waxembed.Fleet
	clock  *waxfleet.Clock
	caller *caller
	random *rand.Rand
	serial int
	// pick is drawn for each run; the faults choose routers by it.
	pick int
	// regular is a chat that is sent in each run with poison requests.
	regular Request

	mu       sync.Mutex
	killed   map[string]bool
	proxies  map[string]*proxy
	platform waxplatform.Faults
	engines  []waxengine.Faults
	services []waxservice.Faults
}

// NewWorld starts a fleet with 7 routers that reach each other through proxies.
// options change its instances, to switch a mechanism off.
func NewWorld(ctx context.Context, seed uint64, engines int, limits string, options ...waxnode.Option) (*World, error) {
	opts := waxembed.DefaultOptions()
	opts.Engines, opts.ListLag, opts.ProgressTimeout = engines, 100, runProgressTimeout
	opts.Engine.TokenInterval, opts.ServiceDelay = 5, 40
	// Restarted engines bear a full batch: that cold ones get no more than they
	// bear is another promise, and their deaths would be counted here.
	opts.Engine.ColdWindow = opts.Engine.MaxBatch
	opts.Tiers, opts.Limits = tiers, limits
	opts.RouterOptions = append([]waxnode.Option{shortTimeouts}, options...)
	opts.Workspaces = []string{"ws-01"}
	fleet, err := waxembed.Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	clock := waxfleet.NewClock()
	w := &World{
		ctx: ctx, fleet: fleet, clock: clock, caller: newCaller(clock),
		random: rand.New(rand.NewPCG(seed, 0)), killed: map[string]bool{}, proxies: map[string]*proxy{},
		engines: make([]waxengine.Faults, len(fleet.Engines())), services: make([]waxservice.Faults, len(fleet.Services())),
	}
	for _, r := range fleet.Routers() {
		if err := w.intercept(r); err != nil {
			return nil, err
		}
	}
	return w, w.settle()
}

// shortTimeouts gives an instance a dispatcher that notices within a run what
// takes minutes with the time-outs of the product.
func shortTimeouts(parts *waxowner.Dependencies) {
	parts.Dispatcher = waxdispatch.New(parts.Clock, waxdispatch.Options{
		ProgressTimeout: runProgressTimeout, GenerationTimeout: runAnswerTimeout, ResponseTimeout: runAnswerTimeout,
	}, parts.Log)
}

// intercept lists the instance under the address of a proxy.
func (w *World) intercept(r *waxembed.Router) error {
	p, err := newProxy(w.ctx, r.Node.PeerAddress())
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.proxies[r.ID] = p
	w.mu.Unlock()
	w.fleet.Platform().AddRouter(r.ID, r.FailureDomain, p.address(), r.Node.CallerAddress())
	return nil
}

// Fleet returns the fleet.
func (w *World) Fleet() *waxembed.Fleet { return w.fleet }

// router returns a router by the position in the list.
func (w *World) router(i int) *waxembed.Router {
	routers := w.fleet.Routers()
	return routers[i%len(routers)]
}

// kill ends a router as a crash does. What its goroutines still send does not
// reach the platform.
func (w *World) kill(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.fleet.Routers() {
		if r.ID == id && !w.killed[id] {
			w.killed[id] = true
			w.platform.CutFrom = append(w.platform.CutFrom, id)
			w.fleet.Platform().SetFaults(w.platform)
			w.proxies[id].set(true)
			r.Kill()
		}
	}
}

func (w *World) setPlatform(change func(f *waxplatform.Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.platform)
	w.fleet.Platform().SetFaults(w.platform)
}

// setEngine changes the faults of one engine and keeps the others.
func (w *World) setEngine(i int, change func(f *waxengine.Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.engines[i])
	w.fleet.Engines()[i].SetFaults(w.engines[i])
	w.engines[i].SilentAfterEvents = 0
}

func (w *World) setEngines(change func(f *waxengine.Faults)) {
	for i := range w.fleet.Engines() {
		w.setEngine(i, change)
	}
}

func (w *World) setServices(change func(f *waxservice.Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, s := range w.fleet.Services() {
		change(&w.services[i])
		s.SetFaults(w.services[i])
	}
}

// restore ends all faults, replaces killed routers and waits until the fleet has
// settled.
func (w *World) restore() error {
	w.setEngines(func(f *waxengine.Faults) { *f = waxengine.Faults{} })
	w.setServices(func(f *waxservice.Faults) { *f = waxservice.Faults{} })
	w.setPlatform(func(f *waxplatform.Faults) { *f = waxplatform.Faults{} })
	w.mu.Lock()
	killed := w.killed
	w.killed = map[string]bool{}
	for _, p := range w.proxies {
		p.set(false)
	}
	w.mu.Unlock()
	for _, r := range w.fleet.Routers() {
		if !killed[r.ID] {
			continue
		}
		again, err := w.fleet.StartRouter(w.ctx, r.ID, r.FailureDomain)
		if err != nil {
			return err
		}
		if err := w.intercept(again); err != nil {
			return err
		}
	}
	return w.settle()
}

func (w *World) settle() error {
	ctx, cancel := context.WithTimeout(w.ctx, restoreTimeout)
	defer cancel()
	for !w.fleet.Settled() {
		select {
		case <-ctx.Done():
			return waxfleet.NewError(waxfleet.CodeInternal, "the fleet did not settle in %s after the faults", restoreTimeout)
		case <-time.After(restoreCheck):
		}
	}
	return nil
}
