package waxforward

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcost"
)

// TestPrediction runs the scripts in testdata/predict. Each script says which failure it guards
// against.
func TestPrediction(t *testing.T) {
	datadriven.Walk(t, "testdata/predict", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			slots, load, pace, workLeft, meanWork, pending, own := 0, 0, 100, 0, 0, 0, 0
			for name, v := range map[string]*int{
				"slots": &slots, "load": &load, "pace": &pace, "work-left": &workLeft, "mean-work": &meanWork,
				"pending": &pending, "own": &own,
			} {
				d.MaybeScanArgs(t, name, v)
			}
			o := outlook{
				slots: slots, load: load, free: d.HasArg("free"), pace: float64(pace) / 100,
				workLeft: float64(workLeft), meanWork: float64(meanWork), plain: d.Cmd == "call",
			}
			if o.plain {
				o.ownWork = float64(own)
			} else {
				o.pendingTokens, o.ownTokens = float64(pending), float64(own)
				o.speed = waxcost.Speed{Overhead: 4, TokensPerMilli: 92, MillisPerEvent: 3}
			}
			first, ownPrompt := o.times()
			return fmt.Sprintf("first-event=%d own=%d\n", first, ownPrompt)
		})
	})
}

// TestPredictionGrows guards against a server that seems faster because more is waiting there,
// and against times that are negative or have no bound.
func TestPredictionGrows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := outlook{
			slots: rapid.IntRange(0, 64).Draw(rt, "slots"), load: rapid.IntRange(0, 400).Draw(rt, "load"),
			pace:     rapid.Float64Range(0.25, 8).Draw(rt, "pace"),
			workLeft: rapid.Float64Range(0, 1e6).Draw(rt, "work"), meanWork: rapid.Float64Range(0, 1e4).Draw(rt, "mean"),
			pendingTokens: rapid.Float64Range(0, 1e6).Draw(rt, "pending"), ownTokens: rapid.Float64Range(0, 1e5).Draw(rt, "own"),
			ownWork: rapid.Float64Range(0, 1e4).Draw(rt, "own work"), plain: rapid.Bool().Draw(rt, "plain"),
			speed: waxcost.Speed{Overhead: rapid.Float64Range(0, 100).Draw(rt, "overhead"), TokensPerMilli: rapid.Float64Range(0.001, 500).Draw(rt, "speed"), MillisPerEvent: rapid.Float64Range(0, 100).Draw(rt, "step")},
		}
		first, own := o.times()
		busier := o
		busier.load, busier.workLeft, busier.pendingTokens = o.load+1, o.workLeft+50, o.pendingTokens+100
		later, _ := busier.times()
		if first < 0 || own < 0 || own > first || first > maxPrediction || later < first {
			rt.Fatalf("first event after %d, own part %d, busier %d: %+v", first, own, later, o)
		}
	})
}

// TestWorkOfFlights guards against work that stays at a server after its requests have ended,
// and against requests that count in full although most of them has been received.
func TestWorkOfFlights(t *testing.T) {
	clock := waxfleet.NewManualClock(1_000)
	s := NewServers(clock, nil, nil, func() bool { return false })
	subject := waxcost.Subject{Service: "s", Route: "r", Workspace: "w"}
	for range 20 {
		s.cost.costs.Record(clock.Now(), subject, 100, 0)
	}
	state := &serverState{flights: map[*flight]struct{}{}}
	check := func(what string, least, most float64) {
		t.Helper()
		clock.Advance(workInterval)
		if work, _ := s.workLeft(state, clock.Now()); work < least || work > most {
			t.Fatalf("%s: work of %f instead of %f to %f", what, work, least, most)
		}
	}
	check("idle", 0, 0)
	fl := &flight{subject: subject, expected: 100, startedAt: clock.Now()}
	state.flights[fl] = struct{}{}
	check("placed", 90, 110)
	fl.events.Add(80)
	check("mostly received", 10, 30)
	fl.events.Add(120)
	check("longer than all before", 1, 30)
	call := &flight{subject: subject, expected: 100, startedAt: clock.Now(), plain: true}
	state.flights[call] = struct{}{}
	delete(state.flights, fl)
	clock.Advance(50)
	check("half of a call", 20, 60)
	delete(state.flights, call)
	check("ended", 0, 0)
}
