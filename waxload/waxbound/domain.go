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

// evacuation is a test scenario: a failure domain is evacuated and returned to
// service.
type evacuation struct {
	name string
	seed uint64
	// beforeChange runs before the configuration change.
	beforeChange func(h *harness)
	// afterChange runs right after the platform accepted the change. It returns
	// the instance that it killed, and when: calls in flight there are lost.
	afterChange func(h *harness) (killed string, at waxfleet.Millis)
}

func cutFromPlatform(ids ...string) func(*harness) {
	return func(h *harness) { h.setFaults(waxplatform.Faults{PartitionedClients: ids}) }
}

// restartInOutage restarts an instance of the evacuated domain during a platform
// outage, and calls it if it reports ready. The outage starts once the first
// instance has applied the change: earlier, no instance could know of it.
func restartInOutage(h *harness) (killed string, at waxfleet.Millis) {
	h.awaitFirstApplied()
	h.setFaults(waxplatform.Faults{Outage: true})
	h.load.RemoveEntry("router-5")
	at = h.clock.Now()
	h.router("router-5").Kill()
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
		h.record(Violation{At: h.clock.Now(), Subject: started.ID, Detail: fmt.Sprintf("version %d after a restart without the platform; applied elsewhere: %d", got, want)})
	}
	h.setFaults(waxplatform.Faults{})
	return "router-5", at
}

func evacuations() []evacuation {
	return []evacuation{
		{name: "no-fault", seed: 11},
		{name: "cut-off-some", seed: 12, beforeChange: cutFromPlatform("router-1", "router-2", "router-7")},
		{name: "cut-off-whole-domain", seed: 13, beforeChange: cutFromPlatform("router-1", "router-5")},
		{name: "slow", seed: 14, beforeChange: func(h *harness) { h.setFaults(waxplatform.Faults{RequestDelay: 800}) }},
		{name: "slow-and-cut-off", seed: 15, beforeChange: func(h *harness) {
			h.setFaults(waxplatform.Faults{RequestDelay: 800, PartitionedClients: []string{"router-1", "router-6"}})
		}},
		{name: "restart-in-outage", seed: 16, afterChange: restartInOutage},
	}
}

// runEvacuation runs a scenario. It returns the starts, the calls without those
// lost with a killed instance, and the times of the evacuation and the return.
func runEvacuation(h *harness, e evacuation) (starts []Start, calls []Call, out, in waxfleet.Millis) {
	h.startLoad(8, h.backgroundLoad(e.seed, 10))
	h.sleep(1_000)
	if e.beforeChange != nil {
		e.beforeChange(h)
		h.sleep(200)
	}
	out = h.setDomain(false)
	killed, at := "", waxfleet.Millis(0)
	if e.afterChange != nil {
		killed, at = e.afterChange(h)
	}
	h.sleep(4_500)
	in = h.setDomain(true)
	h.sleep(4_000)
	h.setFaults(waxplatform.Faults{})
	calls = slices.DeleteFunc(h.stopLoad(), func(c Call) bool { return c.Entry == killed && c.Start <= at })
	return EngineStarts(h.Engines()), calls, out, in
}

// noEvacuations is a configuration source that hides evacuations of failure
// domains.
type noEvacuations struct{ waxfleet.ConfigSource }

type noEvacuationConfig struct{ waxfleet.Config }

func (n noEvacuations) Current() waxfleet.Config { return noEvacuationConfig{n.ConfigSource.Current()} }

func (noEvacuationConfig) DomainInService(string) bool { return true }
