package waxcheck

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet/waxnode"
	"waxwingdrift.org/waxstandin/waxengine"
)

// seeds are the seeds of the test fleets. Each fleet runs every fault alone and a
// third of the pairs.
var seeds = []uint64{11, 23, 47}

// fleetSlots limits the number of concurrent fleets. More would slow each other
// down, so that callers time out under the race detector.
var fleetSlots = make(chan struct{}, 6)

func newTestHarness(t *testing.T, seed uint64, engines int, limits string, options ...waxnode.Option) *Harness {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h, err := NewHarness(ctx, seed, engines, limits, options...)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// runFaults runs each fault alone and a share of the pairs on one fleet per seed,
// the seeds in parallel, and reports the violations that check returns.
func runFaults(
	t *testing.T,
	faults []Fault,
	engines int,
	limits string,
	execute func(h *Harness, set []Fault) (*FaultRun, error),
	check func(h *Harness, run *FaultRun) []string,
) {
	for i, seed := range seeds {
		t.Run(seedName(seed), func(t *testing.T) {
			t.Parallel()
			h := newTestHarness(t, seed, engines, limits)
			for _, set := range append(SingleFaults(faults), FaultPairs(faults, i, len(seeds))...) {
				start := time.Now()
				run, err := execute(h, set)
				if err != nil {
					t.Fatalf("%s: %v", (&FaultRun{Faults: set}).Name(), err)
				}
				t.Logf("%s: %s, poison %s, %d ms",
					run.Name(), CountOutcomes(run.Calls), CountOutcomes(run.PoisonCalls), time.Since(start).Milliseconds())
				for _, violation := range check(h, run) {
					t.Errorf("%s: %s", run.Name(), violation)
				}
			}
		})
	}
}

var responseFaults = []Fault{
	LateResponses, MismatchedResponses, TruncatedStreams, DuplicatedEvents, LostEvents,
	EngineKilled, SilentIdle, SilentStreams, SlowCallers, RouterKilled,
}

func checkRunResponses(_ *Harness, run *FaultRun) []string {
	violations := CheckResponses(run.Calls)
	for _, c := range run.MustSucceed() {
		if !c.Complete() {
			violations = append(violations, describeCall(c)+": no complete response under a fault that it must survive")
		}
	}
	return violations
}

// TestWholeOwnAnswer checks invariant 4: a caller that received the end of a
// response has exactly the response to its own request, whatever fails at engines
// and owners.
func TestWholeOwnAnswer(t *testing.T) {
	t.Parallel()
	runFaults(t, responseFaults, 8, "", func(h *Harness, set []Fault) (*FaultRun, error) {
		return h.RunChats(h.ctx, set, 40, "")
	}, checkRunResponses)
}

// TestCheckResponsesRejects checks that the checker rejects each kind of wrong
// response.
func TestCheckResponsesRejects(t *testing.T) {
	is := is.New(t)
	body := []byte(`{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"a"}]}`)
	tokens, err := waxengine.ExpectedTokens(body)
	is.NoErr(err)
	response := strings.Join(tokens, " ")
	// changed returns a call with a correct response that change has altered.
	changed := func(change func(c *Call)) *Call {
		c := &Call{Request: Request{Body: body}, Status: 200, Text: response, Done: true}
		change(c)
		return c
	}
	is.Equal(len(CheckResponses([]*Call{changed(func(*Call) {})})), 0)
	is.Equal(len(CheckResponses([]*Call{changed(func(c *Call) { c.Text, c.Done, c.Disconnected = tokens[0], false, true })})), 0)
	for name, change := range map[string]func(c *Call){
		"crossed":    func(c *Call) { c.Text = "00000000 " + response },
		"truncated":  func(c *Call) { c.Text = tokens[0] + " " + tokens[1] },
		"silent end": func(c *Call) { c.Text, c.Done = tokens[0], false },
		"wrong part": func(c *Call) { c.Text, c.Done, c.Disconnected = tokens[1], false, true },
		"duplicated": func(c *Call) { c.Text = tokens[0] + " " + response },
		"two ends":   func(c *Call) { c.EventsAfterEnd = 1 },
		"no number":  func(c *Call) { c.Status, c.Done, c.Text = 500, false, "" },
		"hung":       func(c *Call) { c.Status, c.Done, c.Disconnected, c.TimedOut = 0, false, true, true },
		"id":         func(c *Call) { c.ProtocolError = "the id" },
		"not run, but is": func(c *Call) {
			c.Done, c.Error = false, &APIError{Code: 3002, Name: "stream-incomplete", NotRun: true}
		},
	} {
		if len(CheckResponses([]*Call{changed(change)})) == 0 {
			t.Errorf("the history %q is accepted", name)
		}
	}
}
