package waxpick

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"waxwingdrift.org/waxfleet"
)

// TestLink runs the script in testdata/link.
func TestLink(t *testing.T) {
	var l LinkHealth
	now := waxfleet.Millis(100_000)
	datadriven.RunTest(t, "testdata/link", func(t *testing.T, d *datadriven.TestData) string {
		var server string
		d.MaybeScanArgs(t, "server", &server)
		switch d.Cmd {
		case "advance":
			var ms int
			d.ScanArgs(t, "ms", &ms)
			now += waxfleet.Millis(ms)
		case "sent":
			l.RecordSent(now, server)
		case "activity":
			l.RecordActivity(now)
		case "refused":
			l.RecordConnection(server, false)
		case "opened":
			l.RecordConnection(server, true)
		case "check":
			return fmt.Sprintf("due=%v\n", l.StartCheck(now))
		case "result":
			var reachable bool
			d.ScanArgs(t, "reachable", &reachable)
			changed := l.EndCheck(now, reachable)
			return fmt.Sprintf("changed=%v cut-off=%v\n", changed, l.CutOff())
		default:
			t.Fatalf("unknown command %s", d.Cmd)
		}
		return ""
	})
}
