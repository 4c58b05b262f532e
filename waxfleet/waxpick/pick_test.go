package waxpick

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestChoice runs scripted decisions. Each script names the load pattern.
func TestChoice(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			candidates, excluded := readCandidates(t, d.Input)
			switch d.Cmd {
			case "prompt":
				shared := 0
				d.ScanArgs(t, "shared", &shared)
				c := ForPrompt(Prompt{Hash: 1, Shared: shared}, candidates, excluded)
				return fmt.Sprintf("%s %s mean=%.1f limit=%d\n", c.ID, c.Reason, c.Mean, c.Limit)
			case "call":
				c := ForCall("caerdydd", "request", candidates, excluded)
				return fmt.Sprintf("%s %s mean=%.1f\n", c.ID, c.Reason, c.Mean)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// readCandidates reads lines "id load=n pending=n held=n slots=n domain=name
// down|doubtful|cold|paced|excluded".
func readCandidates(t *testing.T, input string) ([]Candidate, map[string]bool) {
	t.Helper()
	var out []Candidate
	excluded := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		c := Candidate{ID: f[0], Slots: 6, FailureDomain: "caerdydd"}
		for _, arg := range f[1:] {
			name, value, _ := strings.Cut(arg, "=")
			n := 0
			if value != "" && name != "domain" {
				if _, err := fmt.Sscan(value, &n); err != nil {
					t.Fatal(err)
				}
			}
			switch name {
			case "load":
				c.Load = n
			case "pending":
				c.Pending = n
			case "held":
				c.Held = n
			case "slots":
				c.Slots = n
			case "domain":
				c.FailureDomain = value
			case "down":
				c.Down = true
			case "doubtful":
				c.Doubtful = true
			case "cold":
				c.Cold = true
			case "paced":
				c.Cold, c.Paced = true, true
			case "excluded":
				excluded[c.ID] = true
			default:
				t.Fatalf("unknown argument %s", arg)
			}
		}
		out = append(out, c)
	}
	return out, excluded
}

// TestChoiceIsAllowed guards against a request for a server that is down, was
// tried before or is cold and has had its part, whatever the figures are.
func TestChoiceIsAllowed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(0, 20).Draw(rt, "servers")
		candidates := make([]Candidate, n)
		excluded := map[string]bool{}
		allowed := map[string]bool{}
		for i := range candidates {
			c := Candidate{
				ID: fmt.Sprintf("engine-%d", i), Load: rapid.IntRange(0, 40).Draw(rt, "load"), Slots: 8,
				Pending: rapid.IntRange(0, 50_000).Draw(rt, "pending"), Held: rapid.IntRange(0, 9_000).Draw(rt, "held"),
				Down: rapid.Bool().Draw(rt, "down"), Cold: rapid.Bool().Draw(rt, "cold"), Paced: rapid.Bool().Draw(rt, "paced"),
				Doubtful: rapid.Bool().Draw(rt, "doubtful"),
			}
			excluded[c.ID] = rapid.Bool().Draw(rt, "excluded")
			allowed[c.ID] = !c.Down && !excluded[c.ID] && (!c.Cold || c.Paced)
			candidates[i] = c
		}
		anyone := false
		for _, ok := range allowed {
			anyone = anyone || ok
		}
		shared := rapid.IntRange(0, 9_000).Draw(rt, "shared")
		for _, c := range []Choice{ForPrompt(Prompt{Hash: 3, Shared: shared}, candidates, excluded), ForCall("a", "k", candidates, excluded)} {
			if c.Found() && !allowed[c.ID] {
				rt.Fatalf("%s may not get a request", c.ID)
			}
			if !c.Found() && anyone && c.Reason != ReasonFull {
				rt.Fatalf("nothing was chosen although a server may get the request")
			}
		}
	})
}

// TestHealth guards against a failing server that goes on getting requests while
// others answer, and against one that is left out because its whole service fails.
func TestHealth(t *testing.T) {
	is := is.New(t)
	var bad, good, service Health
	for i := range 10 {
		bad.Record(1000, i%2 == 0)
		service.Record(1000, i%2 == 0)
		for range 4 {
			good.Record(1000, true)
			service.Record(1000, true)
		}
	}
	is.True(bad.Doubtful(1000, &service))
	is.True(!good.Doubtful(1000, &service))
	is.True(!bad.Doubtful(60_000, &service)) // outcomes of long ago do not count

	var all, one Health
	for i := range 10 {
		all.Record(1000, i%2 == 0)
		one.Record(1000, i%2 == 0)
	}
	is.True(!one.Doubtful(1000, &all))

	var h Health
	h.Unreachable(1000)
	is.True(h.Down(1000))
	is.True(!h.Down(1000 + firstDown))
	h.Unreachable(2000)
	is.True(h.Down(2000 + firstDown)) // twice as long
	h.Record(6000, true)
	h.Unreachable(6000)
	is.True(!h.Down(6000 + firstDown)) // an answer starts anew
}
