package waxbound

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxnode"
	"waxwingdrift.org/waxload/waxembed"
)

// TestLeavingEngine checks invariant 7: an engine gets no new work later than 3 s
// after it entered the state leaving, whatever source shows that state.
func TestLeavingEngine(t *testing.T) {
	t.Parallel()
	for _, l := range leavingScenarios() {
		t.Run(l.name, func(t *testing.T) {
			h := startHarness(t, waxembed.DefaultOptions())
			starts, calls, exclusion := runLeavingScenario(h, l)
			t.Logf("last start %d ms after the change of state", LastStartDelay(starts, exclusion))
			reportViolations(t, "leaving", CheckExclusions(starts, []Exclusion{exclusion}))
			reportViolations(t, "responses", CheckComplete(calls))
		})
	}
}

// TestLeavingEngineSwitchedOff expects violations when owners ignore the engine's
// own report. Seed 23 gave 8, the first new work on engine-01 after 3.314 s, where
// 3 s are allowed.
func TestLeavingEngineSwitchedOff(t *testing.T) {
	is := is.New(t)
	opts := waxembed.DefaultOptions()
	opts.Hooks = func(string, string) waxnode.Hooks {
		return waxnode.Hooks{Dispatcher: func(d waxfleet.Dispatcher) waxfleet.Dispatcher { return hideLeavingDispatcher{d} }}
	}
	h := startHarness(t, opts)
	starts, _, exclusion := runLeavingScenario(h, leavingScenario{seed: 23, showInLoadReport: true})
	violations := CheckExclusions(starts, []Exclusion{exclusion})
	is.True(len(violations) > 0)
	t.Logf("%d violations; first: %s", len(violations), violations[0])
}
