package waxbound

import (
	"math/rand/v2"
	"slices"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxplatform"
)

const (
	// longStreamTokens is the length of a stream of 8 s. That is longer than the
	// progress timeout (2 s) and the renewal interval of leases (5 s).
	longStreamTokens = 800
	// longStreamInterval keeps about two long streams on each of the 18 engines,
	// half of the floor of the load limit.
	longStreamInterval waxfleet.Millis = 230
	// readinessLag is the time for which the load balancer still sends calls to a
	// stopping instance.
	readinessLag waxfleet.Millis = 300
)

// stopFunc stops an instance, gracefully or by a kill.
type stopFunc func(h *harness, id string)

// stopScenario is a test scenario with planned stops.
type stopScenario struct {
	name string
	seed uint64
	run  func(h *harness, stop stopFunc)
	// failureDomain is the failure domain of the stopped instances. Its engines must
	// keep getting new work. It is empty if no other member is alive there.
	failureDomain string
}

// stopGracefully stops an instance gracefully under load; the load generator
// removes it only after readinessLag.
func stopGracefully(h *harness, id string) {
	h.tasks.Go(func() {
		h.sleep(readinessLag)
		h.load.RemoveEntry(id)
	})
	drainRouter(h, id)
}

func restartEach(ids ...string) func(*harness, stopFunc) {
	return func(h *harness, stop stopFunc) {
		for _, id := range ids {
			stop(h, id)
			h.addEntryWhenReady(h.restart(id))
			h.sleep(3_000)
		}
	}
}

func withFaults(f waxplatform.Faults, run func(*harness, stopFunc)) func(*harness, stopFunc) {
	return func(h *harness, stop stopFunc) {
		h.setFaults(f)
		run(h, stop)
		h.setFaults(waxplatform.Faults{})
	}
}

func stopScenarios() []stopScenario {
	return []stopScenario{
		{name: "one-router", seed: 41, failureDomain: "wrecsam", run: restartEach("router-3")},
		{name: "whole-domain", seed: 42, failureDomain: "caerdydd", run: restartEach("router-1", "router-5")},
		{name: "only-router-of-domain", seed: 43, run: restartEach("router-4")},
		{name: "platform-down", seed: 44, failureDomain: "caerdydd", run: withFaults(
			waxplatform.Faults{Outage: true},
			func(h *harness, stop stopFunc) { stop(h, "router-5") },
		)},
		{name: "slow-and-lost-answers", seed: 45, failureDomain: "abertawe", run: withFaults(
			waxplatform.Faults{RequestDelay: 400, LoseResponses: 0.3},
			restartEach("router-2"),
		)},
	}
}

// runStopScenario runs planned stops under long streams and under short calls to
// every engine. It returns the calls, the gaps above the bound and the longest
// gap.
func runStopScenario(h *harness, s stopScenario, stop stopFunc) ([]Call, []Violation, waxfleet.Millis) {
	random := rand.New(rand.NewPCG(s.seed, 0))
	long := NewChatGenerator(workspace, "long", h.Engines())
	short := NewChatGenerator(workspace, "short", h.Engines())
	h.startLoad(longStreamInterval, func(i int) Request {
		return Request{Chat: long.NextFor(h.Engines()[i%len(h.Engines())].ID()), Tokens: longStreamTokens}
	})
	h.startLoad(15, func(int) Request {
		id := h.Engines()[random.IntN(len(h.Engines()))].ID()
		return Request{Chat: short.NextFor(id), Tokens: 3, Server: id}
	})
	h.sleep(3_500)
	from := h.clock.Now()
	s.run(h, stop)
	until := h.clock.Now()
	calls := h.stopLoad()
	var attempts []Attempt
	for _, a := range Attempts(calls) {
		if s.failureDomain != "" && slices.Contains(h.enginesIn(s.failureDomain), a.Server) {
			attempts = append(attempts, a)
		}
	}
	starts := EngineStarts(h.Engines())
	longest := waxfleet.Millis(0)
	for _, gap := range Gaps(starts, attempts, from, until) {
		longest = max(longest, gap)
	}
	return calls, CheckGaps(starts, attempts, from, until, HandoverBound), longest
}
