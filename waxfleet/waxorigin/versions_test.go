package waxorigin

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestVersions runs the script in testdata/versions.
func TestVersions(t *testing.T) {
	clock := waxfleet.NewManualClock(1_000_000)
	v := NewVersions(clock)
	datadriven.RunTest(t, "testdata/versions", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "listed":
			var entries []waxfleet.BackendServerEntry
			for i, field := range strings.Fields(d.Input) {
				service, version, _ := strings.Cut(field, "=")
				server := waxfleet.NewBackendServer(fmt.Sprint(i), service, "north", "10.0.0.1:80", waxfleet.StateLive)
				entries = append(entries, waxfleet.NewBackendServerEntry(server, 8, 0, 1).WithSoftwareVersion(version))
			}
			return fmt.Sprintf("ambiguous since now: %v\n", v.Observe(entries))
		case "advance":
			var ms int
			d.ScanArgs(t, "ms", &ms)
			clock.Advance(waxfleet.Millis(ms))
			return ""
		case "possible":
			var service string
			var age int
			d.ScanArgs(t, "service", &service)
			d.ScanArgs(t, "age", &age)
			versions, ok := v.Possible(service, waxfleet.Millis(age))
			slices.Sort(versions)
			return fmt.Sprintf("%v known=%v ambiguous=%v\n", versions, ok, v.Ambiguous(service, waxfleet.Millis(age)))
		case "text":
			return v.Encode() + "\n"
		case "learn":
			v.Learn(strings.Split(d.Input, "\n"))
			return v.Encode() + "\n"
		case "restart":
			texts := strings.Split(d.Input, "\n")
			v = NewVersions(clock)
			if !d.HasArg("unread") {
				v.Restore(texts)
			}
			return ""
		}
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	})
}

// TestStreamOrigins guards against an origin that is replaced by that of a later attempt, or
// that outlasts the caller.
func TestStreamOrigins(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(1_000)
	s := NewStreams(clock)
	stream := StreamHash("first")
	s.Record(NewOrigin(stream, "model", "v1", 4_000))
	s.Record(NewOrigin(stream, "model", "v2", 5_000))
	o, ok := s.Origin(stream)
	is.True(ok)
	is.Equal(o.Version(), "v1")
	is.Equal(o.ExpiresAt(), waxfleet.Millis(5_000))
	is.Equal(len(s.Of("model")), 1)
	is.Equal(len(s.Of("other")), 0)
	clock.Advance(4_000)
	_, ok = s.Origin(stream)
	is.True(!ok)
	s.Prune()
	is.Equal(len(s.origins), 0)
}
