package waxcheck

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet/waxowner"
	"waxwingdrift.org/waxfleet/waxsuspect"
)

var poisonFaults = []Fault{PlatformOutage, RouterKilled, LateAnswers, LostEvents, SlowCallers}

func checkPhasePoison(w *World, p *Phase) []string {
	return append(CheckPoison(p.Poison, Deaths(w.fleet)), CheckNeighbours(p.Calls, p.Killed)...)
}

func runPoison(w *World, set []Fault) (*Phase, error) { return w.Poison(w.ctx, set, 32) }

// TestPoisonEndsTwoEngines guards section 12: a request that ends each engine
// that runs it ends at most two, and those beside it get their whole answers.
func TestPoisonEndsTwoEngines(t *testing.T) {
	t.Parallel()
	prove(t, poisonFaults, 12, "", runPoison, checkPhasePoison)
}

// TestPoisonSwitches shows that the run of TestPoisonEndsTwoEngines fails when
// suspects are not spread, or each owner knows only its own. Seen with seed 11
// in the first run, for both: "the poison request aa32ac54f02bef4f0a6e6ad756d02481
// ended 3 engines".
func TestPoisonSwitches(t *testing.T) {
	t.Parallel()
	for _, s := range []faultSwitch{
		{name: "spread-off", off: func(p *waxowner.Dependencies) { p.SpreadSuspect = func(context.Context, string) {} }},
		{name: "suspects-apart", off: func(p *waxowner.Dependencies) { p.Suspects = waxsuspect.New(p.Clock) }},
	} {
		demand(t, s, 12, func(w *World) (*Phase, error) { return runPoison(w, nil) }, checkPhasePoison)
	}
}

// TestCheckPoisonRejects guards the checkers against passing a third death, and
// a neighbour without its answer.
func TestCheckPoisonRejects(t *testing.T) {
	is := is.New(t)
	poison := []*Call{{Work: "p", Status: 422, Problem: &Problem{Code: 2007, Name: "request-banned"}}}
	deaths := []Death{{"engine-01", "1", []string{"p", "n"}}, {"engine-02", "1", []string{"p"}}, {"engine-01", "2", []string{"n"}}}
	is.Equal(len(CheckPoison(poison, deaths)), 0)
	is.Equal(len(CheckPoison(poison, append(deaths, Death{"engine-01", "3", []string{"p"}}))), 1)
	body := []byte(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"a"}]}`)
	beside := []*Call{{Request: Request{Router: "router-1", Body: body}, Work: "n", Cut: true}}
	is.Equal(len(CheckNeighbours(beside, func(string) bool { return false })), 1)
	is.Equal(len(CheckNeighbours(beside, func(string) bool { return true })), 0)
}
