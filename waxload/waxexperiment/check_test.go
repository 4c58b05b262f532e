package waxexperiment

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxload/waxtrace"
	"waxwingdrift.org/waxstandin/waxengine"
)

func startEvent(at waxfleet.Millis, engine string, inFlight int) waxengine.Event {
	return waxengine.Event{At: at, Kind: waxengine.EventStart, Engine: engine, InFlight: inFlight}
}

// TestCheckRejects guards against checks that don't detect a violation.
func TestCheckRejects(t *testing.T) {
	engines := []string{"a", "b"}
	var overloaded []waxengine.Event
	for i := range 9 {
		overloaded = append(overloaded, startEvent(waxfleet.Millis(i*1_000), "a", i+1))
	}
	cold := startEvent(0, "a", 3)
	cold.Cold, cold.ColdInFlight, cold.Window = true, 3, 2
	evacuation := Evacuation{EvacuatedAt: 1_000, Engines: map[string]bool{"a": true}}
	t.Run("above the limit", func(t *testing.T) {
		is := is.New(t)
		c := CheckHistory(overloaded, engines, true, Evacuation{})
		is.Equal(c.OverLimit, 1) // 9 at one engine; the floor is 8
		is.Equal(CheckHistory(overloaded[:8], engines, true, Evacuation{}).OverLimit, 0)
	})
	t.Run("above a cold window", func(t *testing.T) {
		is.New(t).Equal(CheckHistory([]waxengine.Event{cold}, engines, true, Evacuation{}).OverColdWindow, 1)
	})
	t.Run("late in a domain that is out", func(t *testing.T) {
		is := is.New(t)
		is.Equal(CheckHistory([]waxengine.Event{startEvent(4_001, "a", 1)}, engines, true, evacuation).StartsAfterEvacuation, 1)
		is.Equal(CheckHistory([]waxengine.Event{startEvent(3_999, "a", 1)}, engines, true, evacuation).StartsAfterEvacuation, 0)
		is.Equal(CheckHistory([]waxengine.Event{startEvent(4_001, "b", 1)}, engines, true, evacuation).StartsAfterEvacuation, 0)
	})
}

// TestLimitUnderFaults guards against starts above the load limit or the cold window
// during a burst of one workspace while engines or routers are killed and restarted.
func TestLimitUnderFaults(t *testing.T) {
	trace := waxtrace.DefaultOptions()
	trace.Seed, trace.Duration, trace.Rate, trace.ThinkTimeDivisor = 7, 20_000, 15, 20
	trace.OutputTokens = 80
	trace.Bursts = []waxtrace.Burst{{Start: 5_000, Duration: 6_000, Factor: 8, Workspace: waxtrace.WorkspaceName(2)}}
	records, err := waxtrace.Generate(trace)
	is.New(t).NoErr(err)
	for _, scenario := range []Scenario{Flap, Owners} {
		t.Run(string(scenario), func(t *testing.T) {
			is := is.New(t)
			opts := DefaultOptions()
			opts.Scenario = scenario
			opts.Fleet = waxembed.DefaultOptions()
			opts.Fleet.Engine.TokenInterval = 20
			outcome, err := Run(context.Background(), records, opts)
			is.NoErr(err)
			is.True(outcome.Checks.Starts >= len(records)/2)
			t.Logf("%+v, complete %d of %d", outcome.Checks, outcome.Report.Complete, len(records))
			is.Equal(outcome.Checks.OverLimit, 0)
			is.Equal(outcome.Checks.OverColdWindow, 0)
		})
	}
}
