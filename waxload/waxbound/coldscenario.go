package waxbound

import (
	"context"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxengine"
)

// coldOptions returns a fleet in which only the cold windows bound the load: the
// load limit exceeds what the callers request.
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

func wait(d waxfleet.Millis) func(*harness) []ColdTransition {
	return func(h *harness) []ColdTransition {
		h.sleep(d)
		return nil
	}
}

// maxCallDuration exceeds the duration of a call to a warm engine. A router that has
// received no new calls for this time has no calls in flight as entry instance.
const maxCallDuration waxfleet.Millis = 1_000

// engineDowntime exceeds the interval of load reports.
const engineDowntime waxfleet.Millis = 1_200

func flap(h *harness) []ColdTransition {
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

func makeCold(h *harness) []ColdTransition {
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

// replaceOwners restarts routers while the engines of their failure domain
// restart.
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
	h.setDomain(false)
	h.sleep(3_000)
	for _, e := range h.Engines() {
		if e.FailureDomain() == evacuatedDomain {
			h.recordError(e.Restart())
		}
	}
	h.sleep(1_000)
	h.setDomain(true)
	h.sleep(4_000)
	return nil
}

// returnOwnership returns an engine to a previous owner that has not polled it for
// a while. That instance was third in the order of succession in between, and
// becomes the owner again right after the engine restarted.
func returnOwnership(h *harness) []ColdTransition {
	e := h.Engines()[0]
	order := waxplace.Rank(e.ID(), []string{"router-1", "router-5", "router-9"})
	for _, id := range order {
		h.load.RemoveEntry(id)
	}
	h.sleep(maxCallDuration)
	for _, id := range order[:2] {
		drain(h, id)
	}
	h.sleep(1_500) // the third instance owns the engine and polls it
	for _, id := range order[:2] {
		h.restart(id)
	}
	h.sleep(3_500)
	h.cancelLoad()
	h.sleep(maxCallDuration)
	h.recordError(e.Restart())
	h.sleep(2_500) // the first two instances know that the engine is cold
	for _, id := range order[:2] {
		h.tasks.Go(func() { drain(h, id) })
	}
	h.addEntry(h.router(order[2]))
	chats := NewChatGenerator(workspace, "again", h.Engines())
	h.startLoad(10, func(int) Request {
		return Request{Chat: chats.NextFor(e.ID()), Tokens: 30, FailureDomain: evacuatedDomain}
	})
	h.sleep(2_000)
	return nil
}

func kill(h *harness, id string) { h.router(id).Kill() }

func drain(h *harness, id string) {
	ctx, cancel := context.WithTimeout(h.ctx, drainTimeout)
	defer cancel()
	h.recordError(h.router(id).Node.Drain(ctx))
	h.router(id).Kill()
}

func coldScenarios(coldWindow int) []coldScenario {
	scenarios := []coldScenario{
		{name: "all-start", seed: 31, startCold: true, inject: wait(5_000)},
		{name: "flap", seed: 32, inject: flap},
		{name: "unannounced", seed: 33, inject: makeCold},
		{name: "new-owner-after-kill", seed: 34, inject: replaceOwners(kill)},
		{name: "new-owner-after-drain", seed: 35, inject: replaceOwners(drain)},
		{name: "domain-returns-cold", seed: 36, inject: returnDomainCold},
		{name: "start-with-lost-owner", seed: 37, startCold: true, inject: replaceOwners(kill)},
		{name: "owner-again", seed: 38, inject: returnOwnership, routers: 9},
	}
	for i := range scenarios {
		scenarios[i].coldWindow = coldWindow
	}
	return scenarios
}

func runCold(h *harness, c coldScenario) []ColdTransition {
	h.startLoad(10, h.backgroundLoad(c.seed, 30))
	if !c.startCold {
		h.sleep(1_500)
	}
	transitions := c.inject(h)
	h.stopLoad()
	return transitions
}

func checkCold(h *harness, transitions []ColdTransition) (violations []Violation, sum ColdStats) {
	for _, e := range h.Engines() {
		violations = append(violations, CheckCold(e.History(), transitions)...)
		stats := CountCold(e.History(), transitions)
		sum.Starts += stats.Starts
		sum.Exempted += stats.Exempted
		sum.Overloads += stats.Overloads
	}
	return violations, sum
}

// alwaysWarm is a dispatcher whose load reports hide that an engine is cold or
// restarted.
type alwaysWarm struct{ waxfleet.Dispatcher }

func (d alwaysWarm) Load(ctx context.Context, b waxfleet.BackendServer) (waxfleet.LoadReport, error) {
	r, err := d.Dispatcher.Load(ctx, b)
	return waxfleet.NewLoadReport(r.InFlight(), false, r.Leaving(), "one"), err
}
