package waxlatency

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

func smallOptions() Options {
	opts := DefaultOptions()
	opts.Streams, opts.Routers, opts.Engines, opts.Tokens = 6, 4, 4, 4
	opts.Duration, opts.WarmupDuration, opts.TokenInterval = 300*time.Millisecond, 0, 5
	return opts
}

// TestBothPathsAreMeasured guards against lost requests and against a comparison with
// a path that was not measured.
func TestBothPathsAreMeasured(t *testing.T) {
	is := is.New(t)
	r, err := Run(context.Background(), smallOptions())
	is.NoErr(err)
	is.True(r.Direct.Requests >= 6)
	is.Equal(r.Direct.Requests, r.Routed.Requests) // sent in pairs
	is.Equal(r.Direct.Failures+r.Routed.Failures+r.Direct.CPUFailures+r.Routed.CPUFailures, int64(0))
	is.True(r.Direct.TimeToFirstByte.P50 > 0 && r.Routed.Total.P50 >= r.Routed.TimeToFirstByte.P50)
	var out bytes.Buffer
	is.NoErr(r.WriteJSON(&out))
	var again Result
	is.NoErr(json.Unmarshal(out.Bytes(), &again))
	is.Equal(again, r)
	out.Reset()
	is.NoErr(r.WriteTable(&out))
	is.True(strings.Contains(out.String(), "first byte, added"))
}

// TestCutAnswerIsAFailure guards against counting a truncated or rejected response as
// a measurement.
func TestCutAnswerIsAFailure(t *testing.T) {
	is := is.New(t)
	for _, response := range []string{"data: {}\n\n", "data: [DONE]\n\n"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if strings.Contains(response, "DONE") {
				w.WriteHeader(http.StatusTooManyRequests)
			}
			_, _ = w.Write([]byte(response))
		}))
		defer s.Close()
		_, err := newStreamCaller("chat-1", 1).send(t.Context(), s.Listener.Addr().String(), "ws-01")
		is.Equal(waxfleet.CodeOf(err), waxfleet.CodeStreamIncomplete)
		h := newHistograms()
		h.record(timing{}, err)
		is.Equal(h.requests, int64(0))
		is.Equal(h.failures, int64(1))
		is.True(errors.Is(h.lastError, err))
	}
}

// TestSettingsAreChecked guards against accepting options out of range.
func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	opts := smallOptions()
	opts.Streams = 10_000
	_, err := Run(context.Background(), opts)
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeSettingInvalid)
}
