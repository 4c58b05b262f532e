package waxpolicy

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxtrace"
)

// Scenario names the changes of engines and load during a simulation.
type Scenario string

// Scenarios. Flap restarts engines every minute, Surge multiplies the requests of
// one workspace by eight, Domain evacuates one failure domain and returns it to
// service.
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
	flapInterval waxfleet.Millis = 60_000
	flapDowntime waxfleet.Millis = 10_000
	flapEngines                  = 2
	// surgeWorkspace is the fourth largest workspace, with about 1/12 of the load:
	// eight times its load brings the fleet near its capacity, not far beyond.
	surgeWorkspace = 3
	surgeFactor    = 8
)

// change is a change of the engines at a point in time.
type change struct {
	at    waxfleet.Millis
	apply func(sim *simulation)
}

// changes returns the changes for a trace whose last record arrives at last.
func (s Scenario) changes(opts Options, last waxfleet.Millis) []change {
	switch s {
	case Flap:
		return flapChanges(opts, last)
	case Domain:
		return []change{
			{at: last / 3, apply: func(sim *simulation) { sim.setDomainInService(domainName(0), false) }},
			{at: last * 2 / 3, apply: func(sim *simulation) { sim.setDomainInService(domainName(0), true) }},
		}
	}
	return nil
}

// flapChanges stops flapEngines engines every flapInterval, in round-robin order, and
// starts each after flapDowntime.
func flapChanges(opts Options, last waxfleet.Millis) []change {
	var changes []change
	next := 0
	for at := flapInterval; at < last; at += flapInterval {
		for range flapEngines {
			i := next % opts.Engines
			next++
			changes = append(changes,
				change{at: at, apply: func(sim *simulation) { sim.stopEngine(sim.engines[i]) }},
				change{at: at + flapDowntime, apply: func(sim *simulation) { sim.startEngine(sim.engines[i]) }})
		}
	}
	return changes
}

// setDomainInService evacuates a failure domain or returns it to service. Requests
// in flight are not affected by the evacuation. Engines that return are restarted,
// so they are cold.
func (sim *simulation) setDomainInService(domain string, inService bool) {
	for _, e := range sim.engines {
		if e.domain != domain {
			continue
		}
		if inService {
			sim.stopEngine(e)
			sim.startEngine(e)
		}
		e.inService = inService
	}
}

// TraceOptions returns opts, with an additional burst if the scenario is Surge.
func (s Scenario) TraceOptions(opts waxtrace.Options) waxtrace.Options {
	if s != Surge {
		return opts
	}
	surge := waxtrace.Burst{
		Workspace: waxtrace.WorkspaceName(min(surgeWorkspace, opts.Workspaces-1)),
		Start:     opts.Duration / 3,
		Duration:  opts.Duration / 6,
		Factor:    surgeFactor,
	}
	opts.Bursts = append(append([]waxtrace.Burst(nil), opts.Bursts...), surge)
	return opts
}
