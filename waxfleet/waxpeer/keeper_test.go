package waxpeer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestKeepers runs the script in testdata/keepers. It guards against records that are kept by
// instances that have ended, are stopping, or were never there.
func TestKeepers(t *testing.T) {
	const key = 7
	var peers []Peer
	down := map[string]bool{}
	find := func(name string) *Peer {
		for i := range peers {
			if peers[i].Name == name {
				return &peers[i]
			}
		}
		t.Fatalf("no instance %s", name)
		return nil
	}
	keepers := func(n int) []Peer {
		var out []Peer
		for i, self := range peers {
			others := append(append([]Peer{}, peers[:i]...), peers[i+1:]...)
			if !down[self.Name] && !self.Stopping && IsKeeper(self, others, key, n, func(name string) bool { return !down[name] }) {
				out = append(out, self)
			}
		}
		return out
	}
	datadriven.RunTest(t, "testdata/keepers", func(t *testing.T, d *datadriven.TestData) string {
		var n int
		switch d.Cmd {
		case "fleet":
			var domains int
			d.ScanArgs(t, "instances", &n)
			d.ScanArgs(t, "domains", &domains)
			peers, down = nil, map[string]bool{}
			for i := range n {
				peers = append(peers, Peer{Name: fmt.Sprintf("r%d", i), FailureDomain: fmt.Sprintf("d%d", i%domains)})
			}
		case "kill", "stop":
			// The argument counts the keepers to which it happens.
			d.ScanArgs(t, "keepers", &n)
			for _, p := range keepers(n) {
				if down[p.Name] = d.Cmd == "kill"; d.Cmd == "stop" {
					find(p.Name).Stopping = true
				}
			}
		case "keepers":
			d.ScanArgs(t, "n", &n)
			var names []string
			domains := map[string]bool{}
			for _, p := range keepers(n) {
				names, domains[p.FailureDomain] = append(names, p.Name), true
			}
			return fmt.Sprintf("%d in %d failure domains: %s\n", len(names), len(domains), strings.Join(names, " "))
		default:
			t.Fatalf("unknown command %s", d.Cmd)
		}
		return ""
	})
}
