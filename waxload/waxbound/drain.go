package waxbound

import (
	"math/rand/v2"
	"slices"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxplatform"
)

const (
	// longTokens make a stream of 8 s, longer than the progress timeout (2 s) and
	// the renewal of leases (5 s).
	longTokens = 800
	// longInterval gives each of the 18 engines about two long streams, half of
	// the floor of the load limit.
	longInterval waxfleet.Millis = 230
	// readyLag is how long the load balancer goes on sending calls to a stopping
	// instance.
	readyLag waxfleet.Millis = 300
)

// stop is a way to stop an instance.
type stop func(r *rig, id string)

// stopRun is one run with planned stops.
type stopRun struct {
	name string
	seed uint64
	run  func(r *rig, stop stop)
	// domain is where the stops are. Its engines must not go without new work;
	// empty when no other member lives there.
	domain string
}

// planned stops an instance gracefully under calls; the load balancer learns it
// late.
func planned(r *rig, id string) {
	r.load.Go(func() {
		r.sleep(readyLag)
		r.callers.Avoid(id)
	})
	drain(r, id)
}

func replaced(ids ...string) func(*rig, stop) {
	return func(r *rig, stop stop) {
		for _, id := range ids {
			stop(r, id)
			r.enterWhenReady(r.restart(id))
			r.sleep(3_000)
		}
	}
}

func inFault(f waxplatform.Faults, run func(*rig, stop)) func(*rig, stop) {
	return func(r *rig, stop stop) {
		r.faults(f)
		run(r, stop)
		r.faults(waxplatform.Faults{})
	}
}

func stopRuns() []stopRun {
	return []stopRun{
		{name: "one-router", seed: 41, domain: "wrecsam", run: replaced("router-3")},
		{name: "whole-domain", seed: 42, domain: "caerdydd", run: replaced("router-1", "router-5")},
		{name: "only-router-of-domain", seed: 43, run: replaced("router-4")},
		{name: "platform-down", seed: 44, domain: "caerdydd", run: inFault(waxplatform.Faults{Outage: true}, func(r *rig, stop stop) { stop(r, "router-5") })},
		{name: "slow-and-lost-answers", seed: 45, domain: "abertawe", run: inFault(waxplatform.Faults{SlowBy: 400, LoseAnswers: 0.3}, replaced("router-2"))},
	}
}

// runStop runs planned stops under long streams, and under short calls for each
// engine. It returns the calls and the gaps of the engines.
func runStop(r *rig, s stopRun, how stop) ([]Call, []Violation, waxfleet.Millis) {
	random := rand.New(rand.NewPCG(s.seed, 0))
	long := NewAim(workspace, "long", r.Engines())
	short := NewAim(workspace, "short", r.Engines())
	r.start(longInterval, func(i int) Ask {
		return Ask{Chat: long.At(r.Engines()[i%len(r.Engines())].ID()), Tokens: longTokens}
	})
	r.start(15, func(int) Ask {
		id := r.Engines()[random.IntN(len(r.Engines()))].ID()
		return Ask{Chat: short.At(id), Tokens: 3, Server: id}
	})
	r.sleep(3_500)
	from := r.clock.Now()
	s.run(r, how)
	until := r.clock.Now()
	calls := r.stop()
	var attempts []Attempt
	for _, a := range Attempts(calls) {
		if s.domain != "" && slices.Contains(r.enginesOf(s.domain), a.Server) {
			attempts = append(attempts, a)
		}
	}
	starts := EngineStarts(r.Engines())
	longest := waxfleet.Millis(0)
	for _, gap := range Gaps(starts, attempts, from, until) {
		longest = max(longest, gap)
	}
	return calls, CheckGaps(starts, attempts, from, until, HandOverBound), longest
}
