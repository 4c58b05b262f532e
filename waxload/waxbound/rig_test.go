package waxbound_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxbound"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxplatform"
)

const (
	workspace = "ws-01"
	// chats is the number of chats that return in background load.
	chats = 60
)

// rig is an embedded fleet with callers.
type rig struct {
	*waxembed.Fleet
	t       *testing.T
	ctx     context.Context
	clock   *waxfleet.Clock
	callers *waxbound.Callers
	load    sync.WaitGroup
	quit    context.CancelFunc
}

// slots bounds the fleets that run at a time, so that scheduling delays stay
// far below the bounds that are checked.
var slots = make(chan struct{}, 6)

func newRig(t *testing.T, opts waxembed.Options) *rig {
	t.Helper()
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f, err := waxembed.Start(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{Fleet: f, t: t, ctx: ctx, clock: waxfleet.NewClock(), callers: waxbound.NewCallers(waxfleet.NewClock(), workspace), quit: func() {}}
	for _, router := range f.Routers() {
		r.enter(router)
	}
	return r
}

func (r *rig) enter(router *waxembed.Router) {
	r.callers.Use(waxbound.Entry{ID: router.ID, FailureDomain: router.FailureDomain, Address: router.Node.CallerAddress()})
}

// enterWhenReady does what a load balancer does that asks for readiness.
func (r *rig) enterWhenReady(router *waxembed.Router) {
	for !router.Node.Ready() && r.ctx.Err() == nil {
		r.sleep(50)
	}
	r.enter(router)
}

// start runs calls in the background until stop.
func (r *rig) start(interval waxfleet.Millis, pick func(i int) waxbound.Ask) {
	ctx, cancel := context.WithCancel(r.ctx)
	quit := r.quit
	r.quit = func() { quit(); cancel() }
	r.load.Go(func() { r.callers.Run(ctx, interval, pick) })
}

// stop ends the load and returns all calls.
func (r *rig) stop() []waxbound.Call {
	r.quit()
	r.load.Wait()
	return r.callers.Calls()
}

func (r *rig) sleep(m waxfleet.Millis) { _ = r.clock.Sleep(r.ctx, m) }

// background picks returning and new chats of short answers.
func (r *rig) background(seed uint64, tokens int) func(i int) waxbound.Ask {
	random := rand.New(rand.NewPCG(seed, 0))
	aim := waxbound.NewAim(workspace, "new", r.Engines())
	known := waxbound.NewAim(workspace, "known", r.Engines())
	var pool []string
	for range chats {
		chat, _ := known.Chat()
		pool = append(pool, chat)
	}
	return func(int) waxbound.Ask {
		chat := pool[random.IntN(len(pool))]
		if random.IntN(2) == 0 {
			chat, _ = aim.Chat()
		}
		return waxbound.Ask{Chat: chat, Tokens: tokens}
	}
}

// accepted returns when the platform accepted a version of the configuration.
func (r *rig) accepted(version uint64) waxfleet.Millis {
	r.t.Helper()
	for _, e := range r.Platform().History() {
		if e.Version == version && e.Kind == waxfleet.ObjectKindConfig {
			return e.At
		}
	}
	r.t.Fatalf("version %d is not in the platform's history", version)
	return 0
}

// setDomain takes outDomain out or brings it back, and returns when the platform
// accepted that.
func (r *rig) setDomain(in bool) waxfleet.Millis {
	r.t.Helper()
	version, err := r.SetDomain(r.ctx, outDomain, in)
	if err != nil {
		r.t.Fatal(err)
	}
	return r.accepted(version)
}

func (r *rig) router(id string) *waxembed.Router {
	routers := r.Routers()
	return routers[slices.IndexFunc(routers, func(x *waxembed.Router) bool { return x.ID == id })]
}

func (r *rig) restart(id string) *waxembed.Router {
	r.t.Helper()
	old := r.router(id)
	started, err := r.StartRouter(r.ctx, id, old.FailureDomain)
	if err != nil {
		r.t.Fatal(err)
	}
	return started
}

func (r *rig) enginesOf(failureDomain string) []string {
	var ids []string
	for _, e := range r.Engines() {
		if e.FailureDomain() == failureDomain {
			ids = append(ids, e.ID())
		}
	}
	return ids
}

func (r *rig) faults(f waxplatform.Faults) { r.Platform().SetFaults(f) }

func report(t *testing.T, what string, found []waxbound.Violation) {
	t.Helper()
	for i, v := range found {
		if i == 10 {
			break
		}
		t.Errorf("%s: %s", what, v)
	}
	if len(found) > 10 {
		t.Errorf("%s: %d violations in all", what, len(found))
	}
}

// drainTimeout bounds a graceful stop in runs; it is longer than any stream.
const drainTimeout = 30 * time.Second

func (r *rig) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}
