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
	// returningChats is the number of chats that background load calls repeatedly.
	returningChats = 60
)

// harness is an embedded fleet with a load generator.
type harness struct {
	*waxembed.Fleet
	ctx        context.Context
	clock      *waxfleet.Clock
	load       *LoadGenerator
	tasks      sync.WaitGroup
	cancelLoad context.CancelFunc

	mu sync.Mutex
	// violations are the violations and errors that a scenario itself detects.
	violations []Violation
	// latestVersion is the version of the last change of a failure domain.
	latestVersion uint64
}

// newHarness starts a fleet in which every router is an entry instance. The fleet
// stops when ctx is cancelled.
func newHarness(ctx context.Context, opts waxembed.Options) (*harness, error) {
	f, err := waxembed.Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	clock := waxfleet.NewClock()
	h := &harness{
		Fleet:      f,
		ctx:        ctx,
		clock:      clock,
		load:       NewLoadGenerator(clock, workspace),
		cancelLoad: func() {},
	}
	for _, router := range f.Routers() {
		h.addEntry(router)
	}
	return h, nil
}

func (h *harness) record(violations ...Violation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, violations...)
}

// recordError records an error in a step of the scenario.
func (h *harness) recordError(err error) {
	if err != nil {
		h.record(Violation{At: h.clock.Now(), Subject: "run", Detail: err.Error()})
	}
}

func (h *harness) addEntry(router *waxembed.Router) {
	h.load.AddEntry(Entry{ID: router.ID, FailureDomain: router.FailureDomain, Address: router.Node.CallerAddress()})
}

// addEntryWhenReady adds a router once it is ready, like a load balancer with
// readiness checks.
func (h *harness) addEntryWhenReady(router *waxembed.Router) {
	for !router.Node.Ready() && h.ctx.Err() == nil {
		h.sleep(50)
	}
	h.addEntry(router)
}

// startLoad makes calls in the background until stopLoad.
func (h *harness) startLoad(interval waxfleet.Millis, pick func(i int) Request) {
	ctx, cancel := context.WithCancel(h.ctx)
	previous := h.cancelLoad
	h.cancelLoad = func() { previous(); cancel() }
	h.tasks.Go(func() { h.load.Run(ctx, interval, pick) })
}

// stopLoad stops the background load and returns all calls.
func (h *harness) stopLoad() []Call {
	h.cancelLoad()
	h.tasks.Wait()
	return h.load.Calls()
}

func (h *harness) sleep(m waxfleet.Millis) { _ = h.clock.Sleep(h.ctx, m) }

// backgroundLoad returns a source of requests: half of them for known chats, half
// for new ones.
func (h *harness) backgroundLoad(seed uint64, tokens int) func(i int) Request {
	random := rand.New(rand.NewPCG(seed, 0))
	chats := NewChatGenerator(workspace, "new", h.Engines())
	known := NewChatGenerator(workspace, "known", h.Engines())
	var pool []string
	for range returningChats {
		chat, _ := known.Next()
		pool = append(pool, chat)
	}
	return func(int) Request {
		chat := pool[random.IntN(len(pool))]
		if random.IntN(2) == 0 {
			chat, _ = chats.Next()
		}
		return Request{Chat: chat, Tokens: tokens}
	}
}

// acceptedAt returns the time at which the platform accepted a configuration
// version.
func (h *harness) acceptedAt(version uint64) waxfleet.Millis {
	for _, e := range h.Platform().History() {
		if e.Version == version && e.Kind == waxfleet.ObjectKindConfig {
			return e.At
		}
	}
	h.record(Violation{At: h.clock.Now(), Subject: "run", Detail: fmt.Sprintf("version %d is not in the platform's history", version)})
	return h.clock.Now()
}

// setDomainInService returns evacuatedDomain to service or, if inService is false,
// evacuates it. It returns the time at which the platform accepted the change.
func (h *harness) setDomainInService(inService bool) waxfleet.Millis {
	version, err := h.SetDomainInService(h.ctx, evacuatedDomain, inService)
	h.recordError(err)
	h.latestVersion = version
	return h.acceptedAt(version)
}

// awaitFirstApplied waits until one instance has applied the latest configuration.
func (h *harness) awaitFirstApplied() {
	for h.ctx.Err() == nil {
		if slices.ContainsFunc(h.Routers(), func(r *waxembed.Router) bool { return r.Node.ConfigVersion() >= h.latestVersion }) {
			return
		}
		h.sleep(1)
	}
}

func (h *harness) router(id string) *waxembed.Router {
	routers := h.Routers()
	return routers[slices.IndexFunc(routers, func(r *waxembed.Router) bool { return r.ID == id })]
}

// restart starts a stopped router again, without adding it to the load generator.
// On an error, which it records, it returns the stopped router.
func (h *harness) restart(id string) *waxembed.Router {
	old := h.router(id)
	started, err := h.StartRouter(h.ctx, id, old.FailureDomain)
	if err != nil {
		h.recordError(err)
		return old
	}
	return started
}

func (h *harness) enginesIn(failureDomain string) []string {
	var ids []string
	for _, e := range h.Engines() {
		if e.FailureDomain() == failureDomain {
			ids = append(ids, e.ID())
		}
	}
	return ids
}

func (h *harness) setFaults(f waxplatform.Faults) { h.Platform().SetFaults(f) }

// drainTimeout bounds a graceful stop; it exceeds the duration of any stream.
const drainTimeout = 30 * time.Second
