package waxbound

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxnode"
	"waxwingdrift.org/waxload/waxembed"
)

// TestDomainOut checks invariant 3: a failure domain gets no new work from 3 s
// after its evacuation on, and gets work again after its return to service.
func TestDomainOut(t *testing.T) {
	t.Parallel()
	for _, e := range evacuationScenarios() {
		t.Run(e.name, func(t *testing.T) {
			opts := waxembed.DefaultOptions()
			opts.SeedPeers = true
			h := startHarness(t, opts)
			starts, calls, evacuatedAt, returnedAt := runEvacuationScenario(h, e)
			exclusion := Exclusion{FailureDomain: evacuatedDomain, Since: evacuatedAt, Until: returnedAt, GracePeriod: EvacuationBound}
			reportViolations(t, "evacuation", CheckExclusions(starts, []Exclusion{exclusion}))
			reportViolations(t, "return", CheckReturnedToService(starts, h.enginesIn(evacuatedDomain), returnedAt, ConfigApplyBound))
			complete, all := CountComplete(calls, evacuatedAt, returnedAt+4_000)
			t.Logf("last start %d ms after evacuation, first start %d ms after return, complete %d of %d",
				LastStartDelay(starts, exclusion), FirstStartDelay(starts, evacuatedDomain, returnedAt), complete, all)
			reportViolations(t, "responses", CheckComplete(calls))
		})
	}
}

// TestDomainOutSwitchedOff expects violations when routers ignore the state of
// failure domains. Seed 11 gave 52, the first new work on engine-05 after 3.016 s,
// where 3 s are allowed.
func TestDomainOutSwitchedOff(t *testing.T) {
	is := is.New(t)
	opts := waxembed.DefaultOptions()
	opts.Hooks = func(string, string) waxnode.Hooks {
		return waxnode.Hooks{Config: func(c waxfleet.ConfigSource) waxfleet.ConfigSource { return noEvacuationSource{c} }}
	}
	h := startHarness(t, opts)
	starts, _, evacuatedAt, returnedAt := runEvacuationScenario(h, evacuationScenario{seed: 11})
	violations := CheckExclusions(starts, []Exclusion{{FailureDomain: evacuatedDomain, Since: evacuatedAt, Until: returnedAt, GracePeriod: EvacuationBound}})
	is.True(len(violations) > 0)
	t.Logf("%d violations; first: %s", len(violations), violations[0])
}

// TestCheckExclusionsRejects checks that the checkers reject a late start and a
// missing return.
func TestCheckExclusionsRejects(t *testing.T) {
	is := is.New(t)
	starts := []Start{
		{At: 100, Server: "e1", FailureDomain: "d"},
		{At: 3_100, Server: "e1", FailureDomain: "d"},
		{At: 3_101, Server: "e2", FailureDomain: "d"},
		{At: 5_000, Server: "e3", FailureDomain: "other"},
		{At: 9_000, Server: "e1", FailureDomain: "d"},
	}
	exclusion := Exclusion{FailureDomain: "d", Since: 100, Until: 9_000, GracePeriod: 3_000}
	violations := CheckExclusions(starts, []Exclusion{exclusion})
	is.Equal(len(violations), 1)
	is.Equal(violations[0].At, waxfleet.Millis(3_101))
	exclusion.Until = 3_101
	is.Equal(len(CheckExclusions(starts, []Exclusion{exclusion})), 0)
	is.Equal(len(CheckReturnedToService(starts, []string{"e1"}, 9_000, 100)), 0)
	is.Equal(len(CheckReturnedToService(starts, []string{"e1", "e2"}, 9_000, 100)), 1)
}
