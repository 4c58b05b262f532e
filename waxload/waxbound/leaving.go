package waxbound

import (
	"context"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxengine"
	"waxwingdrift.org/waxstandin/waxplatform"
)

// leavingEngine belongs to caerdydd, whose routers are router-1 and router-5.
const leavingEngine = 0

// leave is one run: an engine begins to leave.
type leave struct {
	name string
	seed uint64
	// lag is the lag of the instance list from then on; 0 keeps it.
	lag waxfleet.Millis
	// listed and reported say where the mark shows.
	listed   bool
	reported bool
	// before runs before the mark.
	before func(r *rig)
}

func leaves() []leave {
	return []leave{
		{name: "listed", seed: 21, listed: true},
		{name: "list-lags", seed: 22, lag: 60_000, listed: true, reported: true},
		{name: "list-lost", seed: 23, reported: true},
		{name: "seen-by-owners-only", seed: 24, listed: true, before: cut("router-2", "router-3", "router-4", "router-6", "router-7")},
		{name: "unseen-by-owners", seed: 25, listed: true, before: cut("router-1", "router-5")},
		{name: "unseen-by-owners-and-reported", seed: 26, listed: true, reported: true, before: cut("router-1", "router-5")},
		{name: "platform-down", seed: 27, reported: true, before: func(r *rig) { r.faults(waxplatform.Faults{Outage: true}) }},
		{name: "slow-and-some-cut-off", seed: 28, listed: true, before: func(r *rig) {
			r.faults(waxplatform.Faults{SlowBy: 800, CutFrom: []string{"router-1"}})
		}},
	}
}

// runLeave runs one leave and returns the starts, the calls and the quiet time.
func runLeave(r *rig, l leave) ([]Start, []Call, Quiet) {
	r.start(10, r.background(l.seed, 10))
	r.sleep(1_000)
	if l.before != nil {
		l.before(r)
		r.sleep(700)
	}
	if l.lag > 0 {
		r.Platform().SetListLag(l.lag)
	}
	e := r.Engines()[leavingEngine]
	since := r.clock.Now()
	if l.listed {
		r.Platform().SetState(e.ID(), waxfleet.StateLeaving)
	}
	if l.reported {
		e.SetFaults(waxengine.Faults{Leaving: true})
	}
	r.sleep(6_000)
	calls := r.stop()
	return EngineStarts(r.Engines()), calls, Quiet{Server: e.ID(), Since: since, Grace: LeavingBound}
}

// noLeaving is a dispatcher whose load reports never say leaving.
type noLeaving struct{ waxfleet.Dispatcher }

func (d noLeaving) Load(ctx context.Context, b waxfleet.BackendServer) (waxfleet.LoadReport, error) {
	r, err := d.Dispatcher.Load(ctx, b)
	return waxfleet.NewLoadReport(r.InFlight(), r.Cold(), false, r.Incarnation()), err
}
