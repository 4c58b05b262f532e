package waxadmit

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"waxwingdrift.org/waxfleet"
)

var testLimits = waxfleet.NewLimits(1.25, 8, 4, 4, 1<<20)

// TestController runs scripted sequences on one controller. It checks the queue order,
// the admission bounds and the growth of the window.
func TestController(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		c := NewController(testLimits)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				runLine(t, c, strings.Fields(line), &out)
			}
			fmt.Fprintf(&out, "in-flight=%d queued=%d window=%d warm=%t\n", c.InFlight(),
				c.Queued(), c.Window().Size(), c.Window().Warm())
			return out.String()
		})
	})
}

// runLine runs "report in-flight cold|warm incarnation", "offer id workspace
// priority overflow-at deadline now limit", "next limit", "expire now",
// "end ok|overloaded|failed first-byte now" or "ends n".
func runLine(t *testing.T, c *Controller, words []string, out *strings.Builder) {
	t.Helper()
	number := func(i int) int {
		var n int
		if _, err := fmt.Sscan(words[i], &n); err != nil {
			t.Fatalf("%v: %v", words, err)
		}
		return n
	}
	at := func(i int) waxfleet.Millis { return waxfleet.Millis(number(i)) }
	list := func(requests []Request) {
		for _, r := range requests {
			fmt.Fprintf(out, "%s %d\n", words[0], r.ID())
		}
	}
	switch words[0] {
	case "report":
		c.Window().ApplyReport(waxfleet.NewLoadReport(number(1), words[2] == "cold", false, words[3]))
	case "offer":
		r := NewRequest(uint64(number(1)), words[2], 1, number(3), at(4), at(5))
		fmt.Fprintf(out, "offer %d: %s\n", number(1), c.Offer(r, at(6), number(7)))
	case "next":
		list(c.AdmitQueued(number(1)))
	case "expire":
		list(c.Expire(at(1)))
	case "end":
		c.End(Outcome{OK: words[1] == "ok", Overloaded: words[1] == "overloaded", Failed: words[1] == "failed", TimeToFirstByte: at(2)}, at(3))
	case "ends":
		for range number(1) {
			c.admit(Request{workspace: "filler", share: 1})
			c.End(Outcome{OK: true, TimeToFirstByte: 50}, 0)
		}
	default:
		t.Fatalf("unknown command %q", words[0])
	}
}

// TestNeverAboveBound checks that no order of offers, completions and load reports
// admits a request above the current limit or window.
func TestNeverAboveBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := NewController(testLimits)
		limit := 8
		id := uint64(0)
		checkBound := func(admitted int) {
			if admitted > 0 && c.InFlight() > c.Bound(limit) {
				rt.Fatalf("%d in flight above the bound %d", c.InFlight(), c.Bound(limit))
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"offer": func(rt *rapid.T) {
				id++
				now := waxfleet.Millis(id)
				r := NewRequest(id, rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "workspace"), 1,
					rapid.IntRange(0, 3).Draw(rt, "priority"), now+waxfleet.Millis(rapid.IntRange(0, 50).Draw(rt, "patience")), now+100)
				if c.Offer(r, now, limit) == Admit {
					checkBound(1)
				}
			},
			"end": func(rt *rapid.T) {
				if c.InFlight() > 0 {
					c.End(Outcome{OK: rapid.Bool().Draw(rt, "ok"), TimeToFirstByte: 10}, waxfleet.Millis(id))
				}
			},
			"next":  func(*rapid.T) { checkBound(len(c.AdmitQueued(limit))) },
			"limit": func(rt *rapid.T) { limit = rapid.IntRange(1, 20).Draw(rt, "limit") },
			"report": func(rt *rapid.T) {
				c.Window().ApplyReport(waxfleet.NewLoadReport(c.InFlight(), rapid.Bool().Draw(rt, "cold"), false, rapid.SampledFrom([]string{"i1", "i2"}).Draw(rt, "incarnation")))
			},
		})
	})
}
