package waxbound

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"waxwingdrift.org/waxfleet"
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
	ctx     context.Context
	clock   *waxfleet.Clock
	callers *Callers
	load    sync.WaitGroup
	quit    context.CancelFunc

	mu sync.Mutex
	// found is what a run itself finds wrong.
	found []Violation
	// newest is the version of the last configuration that moved a domain.
	newest uint64
}

// newRig starts a fleet whose routers all take calls. It ends with ctx.
func newRig(ctx context.Context, opts waxembed.Options) (*rig, error) {
	f, err := waxembed.Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	clock := waxfleet.NewClock()
	r := &rig{Fleet: f, ctx: ctx, clock: clock, callers: NewCallers(clock, workspace), quit: func() {}}
	for _, router := range f.Routers() {
		r.enter(router)
	}
	return r, nil
}

func (r *rig) note(found ...Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found = append(r.found, found...)
}

// must notes an error of the run's own steps.
func (r *rig) must(err error) {
	if err != nil {
		r.note(Violation{At: r.clock.Now(), Subject: "run", Detail: err.Error()})
	}
}

func (r *rig) enter(router *waxembed.Router) {
	r.callers.Use(Entry{ID: router.ID, FailureDomain: router.FailureDomain, Address: router.Node.CallerAddress()})
}

// enterWhenReady does what a load balancer does that asks for readiness.
func (r *rig) enterWhenReady(router *waxembed.Router) {
	for !router.Node.Ready() && r.ctx.Err() == nil {
		r.sleep(50)
	}
	r.enter(router)
}

// start runs calls in the background until stop.
func (r *rig) start(interval waxfleet.Millis, pick func(i int) Ask) {
	ctx, cancel := context.WithCancel(r.ctx)
	quit := r.quit
	r.quit = func() { quit(); cancel() }
	r.load.Go(func() { r.callers.Run(ctx, interval, pick) })
}

// stop ends the load and returns all calls.
func (r *rig) stop() []Call {
	r.quit()
	r.load.Wait()
	return r.callers.Calls()
}

func (r *rig) sleep(m waxfleet.Millis) { _ = r.clock.Sleep(r.ctx, m) }

// background picks returning and new chats of short answers.
func (r *rig) background(seed uint64, tokens int) func(i int) Ask {
	random := rand.New(rand.NewPCG(seed, 0))
	aim := NewAim(workspace, "new", r.Engines())
	known := NewAim(workspace, "known", r.Engines())
	var pool []string
	for range chats {
		chat, _ := known.Chat()
		pool = append(pool, chat)
	}
	return func(int) Ask {
		chat := pool[random.IntN(len(pool))]
		if random.IntN(2) == 0 {
			chat, _ = aim.Chat()
		}
		return Ask{Chat: chat, Tokens: tokens}
	}
}

// accepted returns when the platform accepted a version of the configuration.
func (r *rig) accepted(version uint64) waxfleet.Millis {
	for _, e := range r.Platform().History() {
		if e.Version == version && e.Kind == waxfleet.ObjectKindConfig {
			return e.At
		}
	}
	r.note(Violation{At: r.clock.Now(), Subject: "run", Detail: fmt.Sprintf("version %d is not in the platform's history", version)})
	return r.clock.Now()
}

// setDomain takes outDomain out or brings it back, and returns when the platform
// accepted that.
func (r *rig) setDomain(in bool) waxfleet.Millis {
	version, err := r.SetDomain(r.ctx, outDomain, in)
	r.must(err)
	r.newest = version
	return r.accepted(version)
}

// awaitFirst waits until one instance has the newest configuration.
func (r *rig) awaitFirst() {
	for r.ctx.Err() == nil {
		if slices.ContainsFunc(r.Routers(), func(x *waxembed.Router) bool { return x.Node.ConfigVersion() >= r.newest }) {
			return
		}
		r.sleep(1)
	}
}

func (r *rig) router(id string) *waxembed.Router {
	routers := r.Routers()
	return routers[slices.IndexFunc(routers, func(x *waxembed.Router) bool { return x.ID == id })]
}

func (r *rig) restart(id string) *waxembed.Router {
	old := r.router(id)
	started, err := r.StartRouter(r.ctx, id, old.FailureDomain)
	if err != nil {
		r.must(err)
		return old
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

// drainTimeout bounds a graceful stop in runs; it is longer than any stream.
const drainTimeout = 30 * time.Second
