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

// seeds of the runs. Each runs all faults singly and a third of the pairs.
var seeds = []uint64{11, 23, 47}

// fleets bounds the fleets that run at once. More of them slow each other down,
// under the race detector until callers reach their time-out.
var fleets = make(chan struct{}, 6)

func newTestWorld(t *testing.T, seed uint64, engines int, limits string, options ...waxnode.Option) *World {
	t.Helper()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w, err := NewWorld(ctx, seed, engines, limits, options...)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// prove runs the phases of all seeds side by side and reports what check finds
// wrong.
func prove(t *testing.T, faults []Fault, engines int, limits string, run func(w *World, set []Fault) (*Phase, error), check func(w *World, p *Phase) []string) {
	for i, seed := range seeds {
		t.Run(seedName(seed), func(t *testing.T) {
			t.Parallel()
			w := newTestWorld(t, seed, engines, limits)
			for _, set := range append(Singles(faults), Pairs(faults, i, len(seeds))...) {
				began := time.Now()
				p, err := run(w, set)
				if err != nil {
					t.Fatalf("%s: %v", (&Phase{Faults: set}).Name(), err)
				}
				t.Logf("%s: %s, poison %s, %d ms", p.Name(), Count(p.Calls), Count(p.Poison), time.Since(began).Milliseconds())
				for _, why := range check(w, p) {
					t.Errorf("%s: %s", p.Name(), why)
				}
			}
		})
	}
}

var answerFaults = []Fault{
	LateAnswers, CrossedAnswers, TruncatedStreams, DuplicatedEvents, LostEvents,
	EngineKilled, SilentIdle, SilentStreams, SlowCallers, RouterKilled,
}

func checkPhaseAnswers(_ *World, p *Phase) []string {
	wrong := CheckAnswers(p.Calls)
	for _, c := range p.Spared() {
		if !c.Whole() {
			wrong = append(wrong, describe(c)+": no whole answer under a fault that spares it")
		}
	}
	return wrong
}

// TestWholeOwnAnswer guards invariant 4: a caller that got the end of an answer
// has exactly the answer to its own request, whatever engines and owners do.
func TestWholeOwnAnswer(t *testing.T) {
	t.Parallel()
	prove(t, answerFaults, 8, "", func(w *World, set []Fault) (*Phase, error) {
		return w.Chats(w.ctx, set, 40, "")
	}, checkPhaseAnswers)
}

// TestCheckAnswersRejects guards the checker against passing each kind of wrong
// answer.
func TestCheckAnswersRejects(t *testing.T) {
	is := is.New(t)
	body := []byte(`{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"a"}]}`)
	tokens, err := waxengine.Answer(body)
	is.NoErr(err)
	whole := strings.Join(tokens, " ")
	good := func(change func(c *Call)) *Call {
		c := &Call{Request: Request{Body: body}, Status: 200, Text: whole, Done: true}
		change(c)
		return c
	}
	is.Equal(len(CheckAnswers([]*Call{good(func(*Call) {})})), 0)
	is.Equal(len(CheckAnswers([]*Call{good(func(c *Call) { c.Text, c.Done, c.Cut = tokens[0], false, true })})), 0)
	for name, change := range map[string]func(c *Call){
		"crossed":    func(c *Call) { c.Text = "00000000 " + whole },
		"truncated":  func(c *Call) { c.Text = tokens[0] + " " + tokens[1] },
		"silent end": func(c *Call) { c.Text, c.Done = tokens[0], false },
		"wrong part": func(c *Call) { c.Text, c.Done, c.Cut = tokens[1], false, true },
		"duplicated": func(c *Call) { c.Text = tokens[0] + " " + whole },
		"two ends":   func(c *Call) { c.After = 1 },
		"no number":  func(c *Call) { c.Status, c.Done, c.Text = 500, false, "" },
		"hung":       func(c *Call) { c.Status, c.Done, c.Cut, c.Hung = 0, false, true, true },
		"id":         func(c *Call) { c.Wrong = "the id" },
		"not run, but is": func(c *Call) {
			c.Done, c.Problem = false, &Problem{Code: 3002, Name: "stream-incomplete", NotRun: true}
		},
	} {
		if len(CheckAnswers([]*Call{good(change)})) == 0 {
			t.Errorf("the history %q is accepted", name)
		}
	}
}
