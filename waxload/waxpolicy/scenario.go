package waxpolicy

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxtrace"
)

// Scenario names what happens to the engines and the load during a replay.
type Scenario string

// Scenarios. Flap restarts engines every minute, Surge multiplies the requests
// of one workspace by eight, Domain takes one failure domain out and back.
const (
	Steady Scenario = "steady"
	Flap   Scenario = "flap"
	Surge  Scenario = "surge"
	Domain Scenario = "domain"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario { return []Scenario{Steady, Flap, Surge, Domain} }

// Valid reports whether s is one of Scenarios.
func (s Scenario) Valid() bool {
	for _, known := range Scenarios() {
		if s == known {
			return true
		}
	}
	return false
}

const (
	flapPeriod waxfleet.Millis = 60_000
	flapDown   waxfleet.Millis = 10_000
	flapCount                  = 2
	// surgeWorkspace is the fourth in size, about a twelfth of the load: eight
	// times its load brings the fleet near its capacity, not far beyond.
	surgeWorkspace = 3
	surgeFactor    = 8
)

// step is a change of the engines at a time.
type step struct {
	at    waxfleet.Millis
	apply func(r *replay)
}

// steps returns the changes during a trace that ends at last.
func (s Scenario) steps(opts Options, last waxfleet.Millis) []step {
	switch s {
	case Flap:
		return flapSteps(opts, last)
	case Domain:
		return []step{
			{at: last / 3, apply: func(r *replay) { r.setDomain(domainName(0), false) }},
			{at: last * 2 / 3, apply: func(r *replay) { r.setDomain(domainName(0), true) }},
		}
	}
	return nil
}

// flapSteps takes flapCount engines down every period, in turn.
func flapSteps(opts Options, last waxfleet.Millis) []step {
	var steps []step
	next := 0
	for at := flapPeriod; at < last; at += flapPeriod {
		for range flapCount {
			i := next % opts.Engines
			next++
			steps = append(steps,
				step{at: at, apply: func(r *replay) { r.kill(r.engines[i]) }},
				step{at: at + flapDown, apply: func(r *replay) { r.revive(r.engines[i]) }})
		}
	}
	return steps
}

// setDomain takes a failure domain out or brings it back. Work that runs goes
// on; engines that come back have been restarted, so they are cold.
func (r *replay) setDomain(domain string, in bool) {
	for _, e := range r.engines {
		if e.domain != domain {
			continue
		}
		if in {
			r.kill(e)
			r.revive(e)
		}
		e.in = in
	}
}

// Trace changes the trace options for the scenario.
func (s Scenario) Trace(t waxtrace.Options) waxtrace.Options {
	if s != Surge {
		return t
	}
	surge := waxtrace.Burst{
		Workspace: waxtrace.WorkspaceName(min(surgeWorkspace, t.Workspaces-1)),
		Start:     t.Duration / 3, Duration: t.Duration / 6, Factor: surgeFactor,
	}
	t.Bursts = append(append([]waxtrace.Burst(nil), t.Bursts...), surge)
	return t
}
