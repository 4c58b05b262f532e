package waxbound

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxnode"
	"waxwingdrift.org/waxload/waxembed"
)

// TestLeavingEngine guards invariant 7: no new work at an engine 3 s after it
// began to leave, wherever the mark shows.
func TestLeavingEngine(t *testing.T) {
	t.Parallel()
	for _, l := range leaves() {
		t.Run(l.name, func(t *testing.T) {
			r := startRig(t, waxembed.DefaultOptions())
			starts, calls, quiet := runLeave(r, l)
			t.Logf("last start %d ms after the mark", LastStart(starts, quiet))
			report(t, "leaving", CheckQuiet(starts, []Quiet{quiet}))
			report(t, "answers", CheckWhole(calls))
		})
	}
}

// TestLeavingEngineSwitchedOff shows that the run fails when owners ignore the
// engine's own report. Seen with seed 23: 8 violations, the first "engine-01: new
// work 3.314s after it was taken out or began to leave; allowed: 3s".
func TestLeavingEngineSwitchedOff(t *testing.T) {
	is := is.New(t)
	opts := waxembed.DefaultOptions()
	opts.Hooks = func(string, string) waxnode.Hooks {
		return waxnode.Hooks{Dispatcher: func(d waxfleet.Dispatcher) waxfleet.Dispatcher { return noLeaving{d} }}
	}
	r := startRig(t, opts)
	starts, _, quiet := runLeave(r, leave{seed: 23, reported: true})
	found := CheckQuiet(starts, []Quiet{quiet})
	is.True(len(found) > 0)
	t.Logf("%d violations; first: %s", len(found), found[0])
}
