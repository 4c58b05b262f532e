package waxbound

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxnode"
	"waxwingdrift.org/waxstandin/waxplatform"
)

func startConfigHarness(t *testing.T, hooks func(id string, h *waxnode.Hooks)) *configHarness {
	t.Helper()
	c, err := newConfigHarness(acquireFleetSlot(t), hooks)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reportViolations(t, "run", c.violations) })
	return c
}

// TestAcceptedConfig checks invariant 9: every instance applies an accepted
// configuration in time and never reverts it.
func TestAcceptedConfig(t *testing.T) {
	t.Parallel()
	for _, scenario := range configScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			is := is.New(t)
			c := startConfigHarness(t, nil)
			isolations := runConfigScenario(c, scenario)
			history := c.Platform().History()
			t.Logf("%d versions, %d operations (%d with unknown outcome), %d samples, longest delay %d ms", len(AcceptanceTimes(history)),
				len(c.operations), c.unknownOutcomes, len(c.samples), LongestApplyDelay(c.samples, history, isolations))
			reportViolations(t, "versions", CheckVersions(c.samples, history))
			reportViolations(t, "applied", CheckApplied(c.samples, history, isolations, ConfigApplyBound))
			is.True(c.editsLinearizable()) // the edits of each section are linearizable
		})
	}
}

// TestAcceptedConfigLinksOff expects violations when a failure domain reaches
// neither the platform nor its peers for longer than the bound. A run gave 48; in
// the first, router-6 applied version 99 after 11.522 s, where 11 s are allowed.
func TestAcceptedConfigLinksOff(t *testing.T) {
	is := is.New(t)
	c := startConfigHarness(t, nil)
	runConfigScenario(c, configScenario{faults: isolateDomain(ConfigApplyBound + 1_000)})
	violations := CheckApplied(c.samples, c.Platform().History(), nil, ConfigApplyBound)
	is.True(len(violations) > 0)
	t.Logf("%d violations; first: %s", len(violations), violations[0])
}

// TestAcceptedConfigStale expects violations when one router applies old content
// under a new version. A run gave 35; in the first, the head of version 25 at
// router-2 differed from the accepted one.
func TestAcceptedConfigStale(t *testing.T) {
	is := is.New(t)
	c := startConfigHarness(t, func(id string, h *waxnode.Hooks) {
		if id == "router-2" {
			h.Store = func(s waxfleet.ObjectStore) waxfleet.ObjectStore { return &staleHeadStore{ObjectStore: s} }
		}
	})
	runConfigScenario(c, configScenarios()[0])
	violations := CheckVersions(c.samples, c.Platform().History())
	is.True(len(violations) > 0)
	t.Logf("%d violations; first: %s", len(violations), violations[0])
}

// TestDomainCutOff checks that a failure domain which is isolated from the
// platform and the other domains still serves its callers from its own engines,
// within the shortest deadline of a price tier. The calls use the tier standard,
// because the owner's wait estimate includes idle time between completions and
// would reject some calls of shorter tiers that could be served. Before entry
// instances skipped unreachable domains and owners, 83 of 140 calls failed, the first
// with "overloaded" after 14.253 s.
func TestDomainCutOff(t *testing.T) {
	c := startConfigHarness(t, nil)
	chats := NewChatGenerator(workspace, "cut", c.Engines())
	c.startLoad(25, func(int) Request {
		chat, _ := chats.Next()
		return Request{Chat: chat, Tokens: 10, FailureDomain: isolatedDomain}
	})
	isolations := isolateDomain(expressDeadline + 4_000)(c)
	calls := c.stopLoad()
	c.stopSampling()
	c.sampling.Wait()
	var inside []Call
	var slowest waxfleet.Millis
	for _, call := range calls {
		if call.Start >= isolations[0].Start && call.Start < isolations[0].End-expressDeadline-500 {
			call.Complete = call.Complete && call.End < isolations[0].End && call.End <= call.Start+expressDeadline
			inside = append(inside, call)
			slowest = max(slowest, call.End-call.Start)
		}
	}
	complete, all := CountComplete(calls, isolations[0].Start+6_000, isolations[0].End)
	t.Logf("%d calls in the first 3.5 s, slowest %d ms; %d of %d from 6 s on", len(inside), slowest, complete, all)
	reportViolations(t, "responses", CheckComplete(inside))
	reportViolations(t, "responses", CheckComplete(calls))
}

// TestCheckVersionsRejects checks that the checkers reject a version that
// decreases, was not accepted, has different content, or is applied too late.
func TestCheckVersionsRejects(t *testing.T) {
	is := is.New(t)
	head := func(digest string) []byte { return []byte(`{"sections":{"limits":{"digest":"` + digest + `"}}}`) }
	history := []waxplatform.Event{
		{At: 5, Kind: waxfleet.ObjectKindConfigSection, Name: "limits-d1", Version: 1, Value: []byte("one")},
		{At: 10, Kind: waxfleet.ObjectKindConfig, Name: "head", Version: 2, Value: head("d1")},
		{At: 15, Kind: waxfleet.ObjectKindConfigSection, Name: "limits-d2", Version: 3, Value: []byte("two")},
		{At: 20, Kind: waxfleet.ObjectKindConfig, Name: "head", Version: 4, Value: head("d2")},
	}
	at := func(at waxfleet.Millis, version uint64) Sample {
		return Sample{At: at, Process: "p", Version: version}
	}
	full := func(version uint64, digest, limits string) Sample {
		return Sample{
			At:       30,
			Process:  "p",
			Version:  version,
			Head:     head(digest),
			Sections: map[string][]byte{"limits": []byte(limits)},
		}
	}
	good := []Sample{at(1, 0), at(11, 2), at(25, 4), full(4, "d2", "two")}
	is.Equal(len(CheckVersions(good, history)), 0)
	for _, bad := range [][]Sample{
		{at(11, 2), at(25, 4), at(26, 2)}, {at(12, 3)}, {at(11, 4)}, {full(4, "d1", "one")}, {full(4, "d2", "one")},
	} {
		is.Equal(len(CheckVersions(bad, history)), 1)
	}
	late := []Sample{at(1, 0), at(11, 2), at(40, 4)}
	is.Equal(len(CheckApplied(late, history, nil, 20)), 0)
	is.Equal(len(CheckApplied(late, history, nil, 19)), 1)
	is.Equal(len(CheckApplied(late, history, []Isolation{{Process: "p", Start: 15, End: 30}}, 19)), 0)
	is.Equal(len(CheckApplied([]Sample{at(1, 0), at(50, 2)}, history, nil, 20)), 2)
}

// TestCheckEditsRejects checks that the model rejects two successful edits of the
// same base, a lost edit, a decreasing version and a false conflict.
func TestCheckEditsRejects(t *testing.T) {
	edit := func(base, value string, version uint64) porcupine.Operation {
		return porcupine.Operation{Input: EditInput{Section: "s", Value: value}, Output: EditOutput{Version: version, Base: base}}
	}
	read := func(value string, version uint64) porcupine.Operation {
		return porcupine.Operation{Input: EditInput{Section: "s", Read: true}, Output: EditOutput{Version: version, Base: value}}
	}
	conflict := porcupine.Operation{
		Input:  EditInput{Section: "s", Value: "b"},
		Output: EditOutput{Code: waxfleet.CodeConfigConflict, Version: 2, Base: "x"},
	}
	for name, c := range map[string]struct {
		ops  []porcupine.Operation
		good bool
	}{
		"good":           {[]porcupine.Operation{edit("0", "a", 1), read("a", 1), edit("a", "b", 3), read("b", 4)}, true},
		"two winners":    {[]porcupine.Operation{edit("0", "a", 1), edit("0", "b", 2)}, false},
		"lost edit":      {[]porcupine.Operation{edit("0", "a", 1), read("0", 2)}, false},
		"version falls":  {[]porcupine.Operation{edit("0", "a", 2), read("a", 1)}, false},
		"false conflict": {[]porcupine.Operation{edit("0", "a", 1), conflict}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range c.ops {
				c.ops[i].Call, c.ops[i].Return = int64(2*i), int64(2*i+1)
			}
			is.Equal(EditsLinearizable(c.ops, "s", "0"), c.good)
		})
	}
}
