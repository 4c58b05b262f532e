package waxbound

import (
	"fmt"
	"slices"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxplatform"
)

// evacuatedDomain is the failure domain that tests evacuate; it has two routers
// of the default fleet.
const evacuatedDomain = "caerdydd"

// evacuationScenario is a test scenario: a failure domain is evacuated and
// returned to service.
type evacuationScenario struct {
	name string
	seed uint64
	// beforeChange runs before the configuration change.
	beforeChange func(h *harness)
	// afterChange runs right after the platform accepted the change. It returns the
	// ID of the instance that it killed and the time of the kill. Calls in flight at
	// that instance are lost.
	afterChange func(h *harness) (killed string, killedAt waxfleet.Millis)
}

func partitionFromPlatform(ids ...string) func(*harness) {
	return func(h *harness) { h.setFaults(waxplatform.Faults{PartitionedClients: ids}) }
}

// restartInOutage restarts an instance of the evacuated domain during a platform
// outage, and calls it if it reports ready. The outage starts once the first
// instance has applied the change. Before that, no instance would know of it.
func restartInOutage(h *harness) (killed string, killedAt waxfleet.Millis) {
	h.awaitFirstApplied()
	h.setFaults(waxplatform.Faults{Outage: true})
	h.load.RemoveEntry("router-5")
	h.router("router-5").Kill()
	killedAt = h.clock.Now() // calls that picked the entry before its removal may start late
	h.sleep(300)
	started := h.restart("router-5")
	h.sleep(3_000)
	if started.Node.Ready() {
		own := NewLoadGenerator(h.clock, workspace)
		own.AddEntry(Entry{ID: started.ID, Address: started.Node.CallerAddress()})
		own.Go(h.ctx, Request{Chat: "ready", Tokens: 10})
		h.record(CheckComplete(own.Calls())...)
	}
	h.sleep(3_000)
	if got, want := h.router("router-5").Node.ConfigVersion(), h.router("router-2").Node.ConfigVersion(); got != want {
		h.record(Violation{
			At:      h.clock.Now(),
			Subject: started.ID,
			Detail:  fmt.Sprintf("version %d after a restart without the platform; applied elsewhere: %d", got, want),
		})
	}
	h.setFaults(waxplatform.Faults{})
	return "router-5", killedAt
}

func evacuationScenarios() []evacuationScenario {
	return []evacuationScenario{
		{name: "no-fault", seed: 11},
		{name: "cut-off-some", seed: 12, beforeChange: partitionFromPlatform("router-1", "router-2", "router-7")},
		{name: "cut-off-whole-domain", seed: 13, beforeChange: partitionFromPlatform("router-1", "router-5")},
		{name: "slow", seed: 14, beforeChange: func(h *harness) { h.setFaults(waxplatform.Faults{RequestDelay: 800}) }},
		{name: "slow-and-cut-off", seed: 15, beforeChange: func(h *harness) {
			h.setFaults(waxplatform.Faults{RequestDelay: 800, PartitionedClients: []string{"router-1", "router-6"}})
		}},
		{name: "restart-in-outage", seed: 16, afterChange: restartInOutage},
	}
}

// runEvacuationScenario runs a scenario. It returns the starts, the calls without
// those lost with a killed instance, and the times of the evacuation and of the
// return to service.
func runEvacuationScenario(h *harness, e evacuationScenario) (starts []Start, calls []Call, evacuatedAt, returnedAt waxfleet.Millis) {
	h.startLoad(8, h.backgroundLoad(e.seed, 10))
	h.sleep(1_000)
	if e.beforeChange != nil {
		e.beforeChange(h)
		h.sleep(200)
	}
	evacuatedAt = h.setDomainInService(false)
	killed, killedAt := "", waxfleet.Millis(0)
	if e.afterChange != nil {
		killed, killedAt = e.afterChange(h)
	}
	h.sleep(4_500)
	returnedAt = h.setDomainInService(true)
	h.sleep(4_000)
	h.setFaults(waxplatform.Faults{})
	calls = slices.DeleteFunc(h.stopLoad(), func(c Call) bool { return c.Entry == killed && c.Start <= killedAt })
	return EngineStarts(h.Engines()), calls, evacuatedAt, returnedAt
}

// noEvacuationSource is a configuration source that hides evacuations of failure
// domains.
type noEvacuationSource struct{ waxfleet.ConfigSource }

type noEvacuationConfig struct{ waxfleet.Config }

func (s noEvacuationSource) Current() waxfleet.Config {
	return noEvacuationConfig{s.ConfigSource.Current()}
}

func (noEvacuationConfig) DomainInService(string) bool { return true }
