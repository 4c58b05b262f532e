package waxlease_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"waxwingdrift.org/waxfleet"
)

// TestMain fixes the seed and the number of checks of the property test, unless
// the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestShareCases runs the cases of docs/ownership.md on real keepers and tables,
// and checks the share of each instance after each step.
func TestShareCases(t *testing.T) {
	datadriven.Walk(t, "testdata/shares", func(t *testing.T, path string) {
		var m *model
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "start" {
				var n int
				d.ScanArgs(t, "instances", &n)
				m = newModel(n)
				return m.formatShares()
			}
			for _, line := range strings.Split(d.Input, "\n") {
				m.runCommand(t, strings.Fields(line))
			}
			return m.formatShares()
		})
	})
}

// runCommand runs one script line.
func (m *model) runCommand(t *testing.T, words []string) {
	t.Helper()
	if len(words) == 0 {
		return
	}
	arg := func(i int) string { return words[i] }
	switch words[0] {
	case "rounds":
		var n int
		if _, err := fmt.Sscan(arg(1), &n); err != nil {
			t.Fatal(err)
		}
		for range n {
			m.round(t)
		}
	case "advance":
		var ms int64
		if _, err := fmt.Sscan(arg(1), &ms); err != nil {
			t.Fatal(err)
		}
		m.clock.Advance(waxfleet.Millis(ms))
	case "cut":
		m.blocked[[2]string{arg(1), arg(2)}] = true
		m.blocked[[2]string{arg(2), arg(1)}] = true
	case "cut-platform":
		m.running[arg(1)].client.cut = true
	case "heal-platform":
		m.running[arg(1)].client.cut = false
	case "freeze":
		m.frozen[arg(1)] = true
	case "thaw":
		delete(m.frozen, arg(1))
	case "kill":
		m.running[arg(1)].killed = true
	case "depart":
		m.depart(m.running[arg(1)])
	case "restart":
		m.restart(m.running[arg(1)])
	case "list":
		for _, id := range m.ids {
			m.deliverList(m.running[id])
		}
	default:
		t.Fatalf("unknown command %q", words[0])
	}
}

// formatShares formats the state of each instance and its share of the first backend
// server.
func (m *model) formatShares() string {
	var out strings.Builder
	for _, id := range m.ids {
		p := m.running[id]
		state := "running"
		switch {
		case p.killed:
			state = "killed"
		case p.departed:
			state = "departed"
		case m.frozen[id]:
			state = "frozen"
		}
		fmt.Fprintf(&out, "%s %s epoch=%d share=%s\n", id, state, p.keeper.Assignment().Epoch(),
			p.keeper.Share(testServers[0]))
	}
	return out.String()
}
