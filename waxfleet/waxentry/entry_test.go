package waxentry

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"
	"go.opentelemetry.io/otel/trace/noop"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxfleet/waxmetric"
	"waxwingdrift.org/waxfleet/waxrecord"
	"waxwingdrift.org/waxfleet/waxroute"
)

// testNow is the wall-clock time of the test's clock.
const testNow waxfleet.Millis = 1_790_000_000_000

// fixedConfig is a ConfigSource that always returns one document.
type fixedConfig struct {
	waxfleet.ConfigSource
	doc *waxconfig.Document
}

func (c fixedConfig) Current() waxfleet.Config { return c.doc }

// recordingRouter records each request and responds with status 200.
type recordingRouter struct{ routed []*waxroute.Request }

func (r *recordingRouter) Route(_ context.Context, req *waxroute.Request, response waxroute.ResponseWriter) error {
	r.routed = append(r.routed, req)
	if err := response.Head(http.StatusOK, "application/json", "engine-1"); err != nil {
		return err
	}
	return response.Body([]byte(`{}`))
}

// expand replaces the placeholders of a script for long texts and for idempotency
// keys of a given time: <a*N>, <ulid T> and <uuid T>, with T in ms from testNow.
func expand(t *testing.T, text string) string {
	for _, form := range []struct {
		prefix string
		make   func(n int64) string
	}{
		{"<a*", func(n int64) string { return strings.Repeat("a", int(n)) }},
		{"<ulid ", func(n int64) string {
			var id ulid.ULID
			if err := id.SetTime(uint64(int64(testNow) + n)); err != nil {
				t.Fatal(err)
			}
			return id.String()
		}},
		{"<uuid ", func(n int64) string {
			id := uuid.MustParse("00000000-0000-7000-8000-000000000000")
			at := uint64(int64(testNow) + n)
			for i := range 6 {
				id[i] = byte(at >> (40 - 8*i))
			}
			return id.String()
		}},
	} {
		for {
			before, rest, found := strings.Cut(text, form.prefix)
			if !found {
				break
			}
			number, after, _ := strings.Cut(rest, ">")
			var n int64
			if _, err := fmt.Sscan(number, &n); err != nil {
				t.Fatal(err)
			}
			text = before + form.make(n) + after
		}
	}
	return text
}

// TestInputErrors guards against invalid input that is rejected with the wrong
// code, routed in spite of its error, or reported as possibly run.
func TestInputErrors(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var entry *Entry
		router := &recordingRouter{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "config":
				doc, err := waxconfig.ParseDocument(1, []byte(d.Input))
				if err != nil {
					t.Fatal(err)
				}
				clock := waxfleet.NewManualClock(testNow)
				entry = New(Dependencies{
					Clock: clock, Config: fixedConfig{doc: doc}, Router: router, Recorder: waxrecord.NewRecorder(clock, "r", 10),
					Metrics: waxmetric.New(t.Context(), "r"), Tracer: noop.NewTracerProvider().Tracer(""),
					Log: slog.New(slog.DiscardHandler), Ready: func() bool { return true },
				})
				return ""
			case "call":
				return callEntry(t, entry, router, d)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// callEntry sends the request in the input: a line with method and path, header
// lines, an empty line and the body. It returns the response and the routed
// requests as text.
func callEntry(t *testing.T, entry *Entry, router *recordingRouter, d *datadriven.TestData) string {
	head, body, _ := strings.Cut(expand(t, d.Input), "\n\n")
	lines := strings.Split(head, "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key-siop")
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		r.Header.Set(name, strings.TrimSpace(value))
	}
	before := len(router.routed)
	w := httptest.NewRecorder()
	entry.ServeHTTP(w, r)
	out := fmt.Sprintf("status %d\n", w.Code)
	var e errorEnvelope
	if json.Unmarshal(w.Body.Bytes(), &e) == nil && e.Error.Code != 0 {
		out += fmt.Sprintf("%d %s not-run=%t\n%s\n", e.Error.Code, e.Error.Name, e.Error.NotRun, e.Error.Message)
		if e.Error.RequestID == "" || e.Error.RequestID != w.Header().Get(HeaderRequestID) {
			out += "the request id of header and body differ\n"
		}
	}
	for _, req := range router.routed[before:] {
		out += fmt.Sprintf("routed service=%s workspace=%s tier=%s once=%t path=%s\n",
			req.Service.Name(), req.Workspace.Name(), req.Tier.Name(), req.Once, req.Path)
	}
	return out
}
