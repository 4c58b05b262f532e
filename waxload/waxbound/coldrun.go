package waxbound

import (
	"context"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxengine"
)

// coldOptions are of a fleet in which only the windows bound the load: the load
// limit stands above what the callers ask for.
func coldOptions(coldWindow int) waxembed.Options {
	opts := waxembed.DefaultOptions()
	opts.Engines = 8
	opts.PlainServers = 0
	opts.Limits = `{"load-floor":64}`
	opts.Engine.ColdWindow = coldWindow
	opts.Engine.MaxBatch = 64
	return opts
}

// coldRun is one run with cold engines.
type coldRun struct {
	name       string
	seed       uint64
	startCold  bool
	coldWindow int
	// routers, when it is set, replaces the number of routers.
	routers int
	// run does what turns engines cold, and returns the unannounced turns.
	run func(r *rig) []Turn
}

func just(d waxfleet.Millis) func(*rig) []Turn {
	return func(r *rig) []Turn {
		r.sleep(d)
		return nil
	}
}

// callTime is longer than a call takes at a warm engine, so that a router whose
// callers were led away has no entry work any more.
const callTime waxfleet.Millis = 1_000

// downTime is longer than the time between two load reports.
const downTime waxfleet.Millis = 1_200

func flap(r *rig) []Turn {
	for round := range 4 {
		for i := range 2 {
			r.Engines()[2*round%8+i].Kill()
		}
		r.sleep(downTime)
		for i := range 2 {
			r.must(r.Engines()[2*round%8+i].Restart())
		}
		r.sleep(500)
	}
	r.sleep(1_500)
	return nil
}

func turnCold(r *rig) []Turn {
	var turns []Turn
	for _, i := range []int{0, 3} {
		e := r.Engines()[i]
		at := r.clock.Now()
		turns = append(turns, Turn{
			Engine: e.ID(), Incarnation: e.Incarnation(), At: at,
			Known: at + FirstSignBound + waxengine.DefaultReportLag,
		})
		e.SetFaults(waxengine.Faults{TurnCold: true})
		r.sleep(3_500)
	}
	return turns
}

// newOwners replaces routers while the engines of their domain restart.
func newOwners(stop func(r *rig, id string)) func(r *rig) []Turn {
	return func(r *rig) []Turn {
		for _, id := range []string{"router-1", "router-2"} {
			r.callers.Avoid(id)
			r.sleep(callTime)
			domain := r.router(id).FailureDomain
			for _, e := range r.Engines() {
				if e.FailureDomain() == domain {
					e.Kill()
				}
			}
			stop(r, id)
			r.sleep(downTime)
			for _, e := range r.Engines() {
				if e.FailureDomain() == domain {
					r.must(e.Restart())
				}
			}
			r.enterWhenReady(r.restart(id))
		}
		r.sleep(5_000)
		return nil
	}
}

func coldDomain(r *rig) []Turn {
	r.setDomain(false)
	r.sleep(3_000)
	for _, e := range r.Engines() {
		if e.FailureDomain() == outDomain {
			r.must(e.Restart())
		}
	}
	r.sleep(1_000)
	r.setDomain(true)
	r.sleep(4_000)
	return nil
}

// ownerAgain gives an engine back to an instance that has not polled it for a
// while: that one owned it before, was third in the succession since, and
// becomes the owner right after the engine restarted.
func ownerAgain(r *rig) []Turn {
	e := r.Engines()[0]
	order := waxplace.Rank(e.ID(), []string{"router-1", "router-5", "router-9"})
	for _, id := range order {
		r.callers.Avoid(id)
	}
	r.sleep(callTime)
	for _, id := range order[:2] {
		drain(r, id)
	}
	r.sleep(1_500) // the third owns the engine and polls it
	for _, id := range order[:2] {
		r.restart(id)
	}
	r.sleep(3_500)
	r.quit()
	r.sleep(callTime)
	r.must(e.Restart())
	r.sleep(2_500) // owner and second know that the engine is cold
	for _, id := range order[:2] {
		r.load.Go(func() { drain(r, id) })
	}
	r.enter(r.router(order[2]))
	aim := NewAim(workspace, "again", r.Engines())
	r.start(10, func(int) Ask {
		return Ask{Chat: aim.At(e.ID()), Tokens: 30, FailureDomain: outDomain}
	})
	r.sleep(2_000)
	return nil
}

func kill(r *rig, id string) { r.router(id).Kill() }

func drain(r *rig, id string) {
	ctx, cancel := context.WithTimeout(r.ctx, drainTimeout)
	defer cancel()
	r.must(r.router(id).Node.Drain(ctx))
	r.router(id).Kill()
}

func coldRuns(coldWindow int) []coldRun {
	runs := []coldRun{
		{name: "all-start", seed: 31, startCold: true, run: just(5_000)},
		{name: "flap", seed: 32, run: flap},
		{name: "unannounced", seed: 33, run: turnCold},
		{name: "new-owner-after-kill", seed: 34, run: newOwners(kill)},
		{name: "new-owner-after-drain", seed: 35, run: newOwners(drain)},
		{name: "domain-returns-cold", seed: 36, run: coldDomain},
		{name: "start-with-lost-owner", seed: 37, startCold: true, run: newOwners(kill)},
		{name: "owner-again", seed: 38, run: ownerAgain, routers: 9},
	}
	for i := range runs {
		runs[i].coldWindow = coldWindow
	}
	return runs
}

func runCold(r *rig, c coldRun) []Turn {
	r.start(10, r.background(c.seed, 30))
	if !c.startCold {
		r.sleep(1_500)
	}
	turns := c.run(r)
	r.stop()
	return turns
}

func checkCold(r *rig, turns []Turn) (found []Violation, sum ColdFigures) {
	for _, e := range r.Engines() {
		found = append(found, CheckCold(e.History(), turns)...)
		f := MeasureCold(e.History(), turns)
		sum.Starts += f.Starts
		sum.Excused += f.Excused
		sum.FallOvers += f.FallOvers
	}
	return found, sum
}

// alwaysWarm is a dispatcher whose load reports hide that an engine is cold or
// restarted, and whose results hide that it failed.
type alwaysWarm struct{ waxfleet.Dispatcher }

func (d alwaysWarm) Load(ctx context.Context, b waxfleet.BackendServer) (waxfleet.LoadReport, error) {
	r, err := d.Dispatcher.Load(ctx, b)
	return waxfleet.NewLoadReport(r.InFlight(), false, r.Leaving(), "one"), err
}
