package waxbound

import (
	"context"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxengine"
	"waxwingdrift.org/waxstandin/waxplatform"
)

// leavingEngine is the index of the engine that leaves. It is in caerdydd, whose
// routers are router-1 and router-5.
const leavingEngine = 0

// leavingScenario is a test scenario: an engine enters the state leaving.
type leavingScenario struct {
	name string
	seed uint64
	// listLag is the lag of the instance list from the change of state on; 0 keeps
	// the default.
	listLag waxfleet.Millis
	// showInList and showInLoadReport select whether the instance list and the load
	// report of the engine show the state.
	showInList       bool
	showInLoadReport bool
	// beforeChange runs before the change of state.
	beforeChange func(h *harness)
}

func leavingScenarios() []leavingScenario {
	return []leavingScenario{
		{name: "listed", seed: 21, showInList: true},
		{name: "list-lags", seed: 22, listLag: 60_000, showInList: true, showInLoadReport: true},
		{name: "list-lost", seed: 23, showInLoadReport: true},
		{name: "seen-by-owners-only", seed: 24, showInList: true, beforeChange: partitionFromPlatform(
			"router-2", "router-3", "router-4", "router-6", "router-7",
		)},
		{name: "unseen-by-owners", seed: 25, showInList: true, beforeChange: partitionFromPlatform("router-1", "router-5")},
		{
			name:             "unseen-by-owners-and-reported",
			seed:             26,
			showInList:       true,
			showInLoadReport: true,
			beforeChange:     partitionFromPlatform("router-1", "router-5"),
		},
		{name: "platform-down", seed: 27, showInLoadReport: true, beforeChange: func(h *harness) { h.setFaults(waxplatform.Faults{Outage: true}) }},
		{name: "slow-and-some-cut-off", seed: 28, showInList: true, beforeChange: func(h *harness) {
			h.setFaults(waxplatform.Faults{RequestDelay: 800, PartitionedClients: []string{"router-1"}})
		}},
	}
}

// runLeavingScenario runs a scenario. It returns the starts, the calls and the
// exclusion of the leaving engine.
func runLeavingScenario(h *harness, l leavingScenario) ([]Start, []Call, Exclusion) {
	h.startLoad(10, h.backgroundLoad(l.seed, 10))
	h.sleep(1_000)
	if l.beforeChange != nil {
		l.beforeChange(h)
		h.sleep(700)
	}
	if l.listLag > 0 {
		h.Platform().SetListLag(l.listLag)
	}
	e := h.Engines()[leavingEngine]
	since := h.clock.Now()
	if l.showInList {
		h.Platform().SetState(e.ID(), waxfleet.StateLeaving)
	}
	if l.showInLoadReport {
		e.SetFaults(waxengine.Faults{Leaving: true})
	}
	h.sleep(6_000)
	calls := h.stopLoad()
	return EngineStarts(h.Engines()), calls, Exclusion{Server: e.ID(), Since: since, GracePeriod: LeavingBound}
}

// hideLeavingDispatcher is a dispatcher whose load reports hide that an engine is
// leaving.
type hideLeavingDispatcher struct{ waxfleet.Dispatcher }

func (d hideLeavingDispatcher) Load(ctx context.Context, b waxfleet.BackendServer) (waxfleet.LoadReport, error) {
	r, err := d.Dispatcher.Load(ctx, b)
	return waxfleet.NewLoadReport(r.InFlight(), r.Cold(), false, r.Incarnation()), err
}
