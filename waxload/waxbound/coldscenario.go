package waxbound

import (
	"context"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxengine"
)

// coldOptions returns the options of a fleet in which only the cold windows bound
// the load: the load limit exceeds what the callers request.
func coldOptions(coldWindow int) waxembed.Options {
	opts := waxembed.DefaultOptions()
	opts.Engines = 8
	opts.PlainServers = 0
	opts.LimitsSection = `{"load-floor":64}`
	opts.Engine.ColdWindow = coldWindow
	opts.Engine.MaxBatch = 64
	return opts
}

// coldScenario is a test scenario with cold engines.
type coldScenario struct {
	name       string
	seed       uint64
	startCold  bool
	coldWindow int
	// routers overrides the number of routers; 0 keeps the default.
	routers int
	// inject makes engines cold and returns the unannounced transitions.
	inject func(h *harness) []ColdTransition
}

func onlySleep(d waxfleet.Millis) func(*harness) []ColdTransition {
	return func(h *harness) []ColdTransition {
		h.sleep(d)
		return nil
	}
}

// maxCallDuration exceeds the duration of a call to a warm engine. An entry
// instance that has received no calls for this time has none in flight.
const maxCallDuration waxfleet.Millis = 1_000

// engineDowntime exceeds the interval of load reports.
const engineDowntime waxfleet.Millis = 1_200

func flapEngines(h *harness) []ColdTransition {
	for round := range 4 {
		for i := range 2 {
			h.Engines()[2*round%8+i].Kill()
		}
		h.sleep(engineDowntime)
		for i := range 2 {
			h.recordError(h.Engines()[2*round%8+i].Restart())
		}
		h.sleep(500)
	}
	h.sleep(1_500)
	return nil
}

func turnEnginesCold(h *harness) []ColdTransition {
	var transitions []ColdTransition
	for _, i := range []int{0, 3} {
		e := h.Engines()[i]
		at := h.clock.Now()
		transitions = append(transitions, ColdTransition{
			Engine: e.ID(), Incarnation: e.Incarnation(), At: at,
			KnownBy: at + ColdDetectionBound + waxengine.DefaultReportLag,
		})
		e.SetFaults(waxengine.Faults{TurnCold: true})
		h.sleep(3_500)
	}
	return transitions
}

// replaceOwners stops routers one after the other with stop and restarts each.
// Meanwhile the engines of its failure domain restart.
func replaceOwners(stop func(h *harness, id string)) func(h *harness) []ColdTransition {
	return func(h *harness) []ColdTransition {
		for _, id := range []string{"router-1", "router-2"} {
			h.load.RemoveEntry(id)
			h.sleep(maxCallDuration)
			domain := h.router(id).FailureDomain
			for _, e := range h.Engines() {
				if e.FailureDomain() == domain {
					e.Kill()
				}
			}
			stop(h, id)
			h.sleep(engineDowntime)
			for _, e := range h.Engines() {
				if e.FailureDomain() == domain {
					h.recordError(e.Restart())
				}
			}
			h.addEntryWhenReady(h.restart(id))
		}
		h.sleep(5_000)
		return nil
	}
}

func returnDomainCold(h *harness) []ColdTransition {
	h.setDomainInService(false)
	h.sleep(3_000)
	for _, e := range h.Engines() {
		if e.FailureDomain() == evacuatedDomain {
			h.recordError(e.Restart())
		}
	}
	h.sleep(1_000)
	h.setDomainInService(true)
	h.sleep(4_000)
	return nil
}

// returnOwnership returns an engine to the third router in its order of
// succession. That router owns the engine while the first two are drained, loses
// it when they restart, and does not poll it from then on. It becomes the owner
// again right after the engine restarted.
func returnOwnership(h *harness) []ColdTransition {
	e := h.Engines()[0]
	order := waxplace.Rank(e.ID(), []string{"router-1", "router-5", "router-9"})
	for _, id := range order {
		h.load.RemoveEntry(id)
	}
	h.sleep(maxCallDuration)
	for _, id := range order[:2] {
		drainRouter(h, id)
	}
	h.sleep(1_500) // the third router owns the engine and polls it
	for _, id := range order[:2] {
		h.restart(id)
	}
	h.sleep(3_500)
	h.cancelLoad()
	h.sleep(maxCallDuration)
	h.recordError(e.Restart())
	h.sleep(2_500) // the first two routers know that the engine is cold
	for _, id := range order[:2] {
		h.tasks.Go(func() { drainRouter(h, id) })
	}
	h.addEntry(h.router(order[2]))
	chats := NewChatGenerator(workspace, "again", h.Engines())
	h.startLoad(10, func(int) Request {
		return Request{Chat: chats.NextFor(e.ID()), Tokens: 30, FailureDomain: evacuatedDomain}
	})
	h.sleep(2_000)
	return nil
}

func killRouter(h *harness, id string) { h.router(id).Kill() }

func drainRouter(h *harness, id string) {
	ctx, cancel := context.WithTimeout(h.ctx, drainTimeout)
	defer cancel()
	h.recordError(h.router(id).Node.Drain(ctx))
	h.router(id).Kill()
}

func coldScenarios(coldWindow int) []coldScenario {
	scenarios := []coldScenario{
		{name: "all-start", seed: 31, startCold: true, inject: onlySleep(5_000)},
		{name: "flap", seed: 32, inject: flapEngines},
		{name: "unannounced", seed: 33, inject: turnEnginesCold},
		{name: "new-owner-after-kill", seed: 34, inject: replaceOwners(killRouter)},
		{name: "new-owner-after-drain", seed: 35, inject: replaceOwners(drainRouter)},
		{name: "domain-returns-cold", seed: 36, inject: returnDomainCold},
		{name: "start-with-lost-owner", seed: 37, startCold: true, inject: replaceOwners(killRouter)},
		{name: "owner-again", seed: 38, inject: returnOwnership, routers: 9},
	}
	for i := range scenarios {
		scenarios[i].coldWindow = coldWindow
	}
	return scenarios
}

func runColdScenario(h *harness, c coldScenario) []ColdTransition {
	h.startLoad(10, h.backgroundLoad(c.seed, 30))
	if !c.startCold {
		h.sleep(1_500)
	}
	transitions := c.inject(h)
	h.stopLoad()
	return transitions
}

// checkEngines runs CheckCold and CountCold on the history of each engine.
func checkEngines(h *harness, transitions []ColdTransition) (violations []Violation, sum ColdStats) {
	for _, e := range h.Engines() {
		violations = append(violations, CheckCold(e.History(), transitions)...)
		stats := CountCold(e.History(), transitions)
		sum.Starts += stats.Starts
		sum.Exempted += stats.Exempted
		sum.Overloads += stats.Overloads
	}
	return violations, sum
}

// alwaysWarmDispatcher is a dispatcher whose load reports hide that an engine is
// cold or was restarted.
type alwaysWarmDispatcher struct{ waxfleet.Dispatcher }

func (d alwaysWarmDispatcher) Load(ctx context.Context, b waxfleet.BackendServer) (waxfleet.LoadReport, error) {
	r, err := d.Dispatcher.Load(ctx, b)
	return waxfleet.NewLoadReport(r.InFlight(), false, r.Leaving(), "one"), err
}
