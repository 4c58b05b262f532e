package waxbound

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxnode"
	"waxwingdrift.org/waxstandin/waxengine"
)

func testColdScenario(t *testing.T, c coldScenario) {
	opts := coldOptions(c.coldWindow)
	opts.Engine.StartWarm = !c.startCold
	if c.routers > 0 {
		opts.Routers = c.routers
	}
	h := startHarness(t, opts)
	transitions := runColdScenario(h, c)
	violations, sum := checkEngines(h, transitions)
	t.Logf("cold starts %d, exempted %d, overloads %d, unannounced transitions %d", sum.Starts, sum.Exempted, sum.Overloads, len(transitions))
	reportViolations(t, "cold", violations)
}

// TestColdEngine checks invariant 2 for engines whose window is that of the
// design: 1, plus one per completed request, up to 8.
func TestColdEngine(t *testing.T) {
	t.Parallel()
	for _, c := range coldScenarios(MaxColdWindow) {
		t.Run(c.name, func(t *testing.T) { testColdScenario(t, c) })
	}
}

// TestColdNarrowEngine checks invariant 2 for engines that handle only two
// requests until they are warm.
func TestColdNarrowEngine(t *testing.T) {
	t.Parallel()
	for _, c := range coldScenarios(waxengine.DefaultColdWindow) {
		switch c.name {
		case "all-start", "domain-returns-cold":
			t.Run(c.name, func(t *testing.T) { testColdScenario(t, c) })
		}
	}
}

// TestColdEngineCallersLeave checks invariant 2 with callers that disconnect. The
// engine still runs their requests, so they still count as in flight.
func TestColdEngineCallersLeave(t *testing.T) {
	opts := coldOptions(MaxColdWindow)
	opts.Engine.StartWarm = false
	h := startHarness(t, opts)
	random := rand.New(rand.NewPCG(39, 0))
	chats := NewChatGenerator(workspace, "left", h.Engines())
	h.startLoad(10, func(int) Request {
		chat, _ := chats.Next()
		request := Request{Chat: chat, Tokens: 30}
		if random.IntN(2) == 0 {
			request.DisconnectAfter = 100
		}
		return request
	})
	h.sleep(3_000)
	h.stopLoad()
	violations, sum := checkEngines(h, nil)
	t.Logf("cold starts %d, overloads %d", sum.Starts, sum.Overloads)
	reportViolations(t, "cold", violations)
}

// TestColdEngineSwitchedOff expects violations when owners treat every engine as
// warm. Seed 36 gave 18, the first on engine-01 with 2 requests in flight while
// cold, where 1 is allowed after 0 completed.
func TestColdEngineSwitchedOff(t *testing.T) {
	is := is.New(t)
	opts := coldOptions(MaxColdWindow)
	opts.Hooks = func(string, string) waxnode.Hooks {
		return waxnode.Hooks{Dispatcher: func(d waxfleet.Dispatcher) waxfleet.Dispatcher { return alwaysWarmDispatcher{d} }}
	}
	h := startHarness(t, opts)
	violations, sum := checkEngines(h, runColdScenario(h, coldScenario{seed: 36, inject: returnDomainCold}))
	is.True(len(violations) > 0)
	t.Logf("%d violations, %d overloads; first: %s", len(violations), sum.Overloads, violations[0])
}

// TestCheckColdRejects checks that the checker rejects an overload, a start above
// the ramp, and one after the exempt period.
func TestCheckColdRejects(t *testing.T) {
	is := is.New(t)
	start := func(at waxfleet.Millis, cold bool, coldInFlight int) waxengine.Event {
		return waxengine.Event{
			At:           at,
			Kind:         waxengine.EventStart,
			Engine:       "e",
			Incarnation:  "1",
			Cold:         cold,
			ColdInFlight: coldInFlight,
			Window:       2,
		}
	}
	completed := waxengine.Event{
		At:          2,
		Kind:        waxengine.EventEnd,
		Engine:      "e",
		Incarnation: "1",
		Cold:        true,
		Complete:    true,
	}
	good := []waxengine.Event{start(1, true, 1), completed, start(3, true, 1), start(4, true, 2)}
	is.Equal(len(CheckCold(good, nil)), 0)
	ramp := []waxengine.Event{start(1, true, 1), start(2, true, 2)}
	is.Equal(len(CheckCold(ramp, nil)), 1)
	overload := []waxengine.Event{start(1, true, 1), completed, completed, start(3, true, 3)}
	is.Equal(len(CheckCold(overload, nil)), 1)
	transition := ColdTransition{Engine: "e", Incarnation: "1", At: 1, KnownBy: 2}
	is.Equal(len(CheckCold(ramp, []ColdTransition{transition})), 0)
	transition.KnownBy = 1
	is.Equal(len(CheckCold(ramp, []ColdTransition{transition})), 1)
}
