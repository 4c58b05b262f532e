package waxcheck

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet/waxowner"
	"waxwingdrift.org/waxfleet/waxsuspect"
)

var poisonFaults = []Fault{PlatformOutage, RouterKilled, LateResponses, LostEvents, SlowCallers}

func checkRunPoison(h *Harness, run *FaultRun) []string {
	return append(CheckPoison(run.PoisonCalls, Deaths(h.fleet)), CheckConcurrentCalls(run.Calls, run.Killed)...)
}

func runPoison(h *Harness, set []Fault) (*FaultRun, error) { return h.RunPoison(h.ctx, set, 32) }

// TestPoisonEndsTwoEngines checks section 12: a request that crashes every engine
// that runs it crashes at most two, and concurrent requests get complete
// responses.
func TestPoisonEndsTwoEngines(t *testing.T) {
	t.Parallel()
	runFaults(t, poisonFaults, 12, "", runPoison, checkRunPoison)
}

// TestPoisonSwitches expects violations of section 12 when suspects are not sent to
// other instances, or each owner has its own list. With seed 11 a poison request
// crashed 3 engines in the first run of both.
func TestPoisonSwitches(t *testing.T) {
	t.Parallel()
	for _, m := range []disabledMechanism{
		{name: "spread-off", disable: func(d *waxowner.Dependencies) { d.SpreadSuspect = func(context.Context, string) {} }},
		{name: "suspects-apart", disable: func(d *waxowner.Dependencies) { d.Suspects = waxsuspect.New(d.Clock) }},
	} {
		expectViolations(t, m, 12, func(h *Harness) (*FaultRun, error) { return runPoison(h, nil) }, checkRunPoison)
	}
}

// TestCheckPoisonRejects checks that the checkers reject a third crash, and a
// concurrent request without a complete response.
func TestCheckPoisonRejects(t *testing.T) {
	is := is.New(t)
	poison := []*Call{{Digest: "p", Status: 422, Error: &APIError{Code: 2007, Name: "request-banned"}}}
	deaths := []Death{{"engine-01", "1", []string{"p", "n"}}, {"engine-02", "1", []string{"p"}}, {"engine-01", "2", []string{"n"}}}
	is.Equal(len(CheckPoison(poison, deaths)), 0)
	is.Equal(len(CheckPoison(poison, append(deaths, Death{"engine-01", "3", []string{"p"}}))), 1)
	body := []byte(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"a"}]}`)
	concurrent := []*Call{{Request: Request{Router: "router-1", Body: body}, Digest: "n", Disconnected: true}}
	is.Equal(len(CheckConcurrentCalls(concurrent, func(string) bool { return false })), 1)
	is.Equal(len(CheckConcurrentCalls(concurrent, func(string) bool { return true })), 0)
}
