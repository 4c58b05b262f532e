package waxroster

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"waxwingdrift.org/waxfleet"
)

// testGrace is the time for which instances that were told to stop may go on.
const testGrace waxfleet.Millis = 8_000

// TestRoster runs the script in testdata/roster. It guards against limits of the fleet that are
// divided among too few instances while others stop, and against records that end with the
// processes that kept them.
func TestRoster(t *testing.T) {
	clock := waxfleet.NewManualClock(1_000_000)
	var r *Roster
	revision := uint64(0)
	datadriven.RunTest(t, "testdata/roster", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "start":
			r = New(clock, "r1", func() waxfleet.Millis { return testGrace })
		case "list", "changes":
			revision++
			b := waxfleet.Batch[waxfleet.PeerEntry]{Full: d.Cmd == "list", Revision: waxfleet.NewRevision(0, revision)}
			for _, line := range strings.Split(d.Input, "\n") {
				name, state, _ := strings.Cut(line, " ")
				b.Records = append(b.Records, waxfleet.Record[waxfleet.PeerEntry]{
					Name: name, Revision: b.Revision, Deleted: state == "deleted", Decoded: state != "unreadable" && state != "deleted",
					Value: waxfleet.PeerEntry{Address: "10.0.0.1:7800", Stopping: state == "stopping"},
				})
			}
			r.Apply(b)
		case "written":
			r.RecordWritten(waxfleet.PeerEntry{Address: "10.0.0.1:7800", Stopping: d.HasArg("stopping")})
		case "advance":
			var ms int
			d.ScanArgs(t, "ms", &ms)
			clock.Advance(waxfleet.Millis(ms))
		case "refresh":
			return fmt.Sprintf("changed: %v\n", r.Refresh())
		default:
			t.Fatalf("unknown command %s", d.Cmd)
		}
		return describe(r)
	})
}

// describe returns what the roster knows.
func describe(r *Roster) string {
	var present, leftBehind []string
	for _, m := range r.Present() {
		state := ""
		if m.Entry().Stopping {
			state = " (stopping)"
		}
		present = append(present, m.Name()+state)
	}
	for _, m := range r.LeftBehind() {
		leftBehind = append(leftBehind, fmt.Sprintf("%s@%v", m.Name(), m.Revision()))
	}
	own, read := r.Own()
	return fmt.Sprintf("names %v, present %v, alone %v\nown %v stopping=%v read=%v preceded=%v, left behind %v\n",
		r.Names(), present, r.Alone(), own.Revision(), own.Entry().Stopping, read, r.Preceded(), leftBehind)
}
