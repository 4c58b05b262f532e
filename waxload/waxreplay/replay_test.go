package waxreplay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxtrace"
)

// seen is a request as the server of the test got it.
type seen struct {
	path   string
	header http.Header
	body   []byte
}

type server struct {
	mu       sync.Mutex
	requests []seen
	peak     int
	now      int
}

// serve answers with the status and text, and keeps the request.
func (s *server) serve(t *testing.T, status int, answer string) string {
	t.Helper()
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, seen{path: r.URL.Path, header: r.Header, body: body})
		s.now++
		s.peak = max(s.peak, s.now)
		s.mu.Unlock()
		w.WriteHeader(status)
		_, _ = io.WriteString(w, answer)
		s.mu.Lock()
		s.now--
		s.mu.Unlock()
	}))
	t.Cleanup(h.Close)
	return h.URL
}

func ownAnswer(_ []byte, tokens []string) error {
	if len(tokens) == 1 && tokens[0] == "other" {
		return errors.New("not the answer to this request")
	}
	return Complete(nil, tokens)
}

func record(i int) waxtrace.Record {
	return waxtrace.Record{
		Timestamp: waxfleet.Millis(i), InputLength: 600, OutputLength: 2, HashIDs: []uint64{1, uint64(i + 2)},
		Workspace: "ws-01", Chat: "chat-1", Tier: "express",
	}
}

// TestAnswers guards against answers that are incomplete, out of order or not
// the request's own and still count as whole.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, d *datadriven.TestData) string {
		status := http.StatusOK
		d.MaybeScanArgs(t, "status", &status)
		address := (&server{}).serve(t, status, d.Input+"\n")
		r, err := New(DefaultOptions(address), ownAnswer, waxfleet.NewClock())
		is.New(t).NoErr(err)
		s := r.Run(context.Background(), []waxtrace.Record{record(0)}).Samples[0]
		return fmt.Sprintf("%d %s whole=%v tokens=%d cached=%d first=%v\n",
			s.Code, s.Code.Name(), s.Whole, s.Tokens, s.CachedTokens, s.FirstToken >= 0)
	})
}

const wholeAnswer = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"

// TestRequests guards the form of the requests: unique texts, key, tier,
// extension fields, idempotency keys, and entries in turn.
func TestRequests(t *testing.T) {
	is := is.New(t)
	a, b := &server{}, &server{}
	opts := DefaultOptions(a.serve(t, http.StatusOK, wholeAnswer), b.serve(t, http.StatusOK, wholeAnswer))
	opts.Service, opts.OncePath = "workshop-desk", "deposits"
	opts.Key = func(workspace string) string { return "key-" + workspace }
	opts.Concurrency = 1
	r, err := New(opts, nil, waxfleet.NewClock())
	is.NoErr(err)
	records := []waxtrace.Record{record(0), record(1), record(2), {Timestamp: 3, Workspace: "ws-02", Once: true}}
	result := r.Run(context.Background(), records)
	is.Equal(len(result.Samples), 4)
	is.Equal(len(a.requests), 2)
	is.Equal(len(b.requests), 2)
	is.Equal(a.peak, 1)
	is.Equal(result.Samples[1].UnlimitedTokens, 512)
	texts := map[string]bool{}
	for _, got := range []seen{a.requests[0], b.requests[0], a.requests[1]} {
		var body chatBody
		is.NoErr(json.Unmarshal(got.body, &body))
		is.Equal(got.path, "/v1/chat/completions")
		is.Equal(got.header.Get("Authorization"), "Bearer key-ws-01")
		is.Equal(got.header.Get("X-Wax-Tier"), "express")
		is.Equal(got.header.Get("Idempotency-Key"), "")
		is.True(body.Stream)
		is.Equal(body.MaxTokens, 2)
		is.Equal(body.Chat, "chat-1")
		is.Equal(body.InputLength, 600)
		is.Equal(len(body.HashIDs), 2)
		texts[body.Messages[0].Content] = true
	}
	is.Equal(len(texts), 3)
	once := b.requests[1]
	is.Equal(once.path, "/services/workshop-desk/deposits")
	_, err = ulid.ParseStrict(once.header.Get("Idempotency-Key"))
	is.NoErr(err)
}

// TestCallID guards against ids that differ between runs of a seed at the same
// time, or that two calls share.
func TestCallID(t *testing.T) {
	is := is.New(t)
	ids := map[string]bool{}
	for seed := range uint64(4) {
		for i := range 1000 {
			id := callID(1_700_000_000_000, seed, i)
			is.Equal(id, callID(1_700_000_000_000, seed, i))
			ids[id] = true
		}
	}
	is.Equal(len(ids), 4000)
}

// TestUnreachable guards against a refused connection that is counted as an
// unknown outcome.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	r, err := New(DefaultOptions("127.0.0.1:1"), nil, waxfleet.NewClock())
	is.NoErr(err)
	s := r.Run(context.Background(), []waxtrace.Record{record(0)}).Samples[0]
	is.Equal(s.Code, waxfleet.CodePeerUnreachable)
	is.True(!s.Whole)
}

// TestBounds guards against a replay that goes on past its count or its context.
func TestBounds(t *testing.T) {
	is := is.New(t)
	s := &server{}
	opts := DefaultOptions(s.serve(t, http.StatusOK, wholeAnswer))
	opts.MaxRequests = 2
	r, err := New(opts, nil, waxfleet.NewClock())
	is.NoErr(err)
	is.Equal(len(r.Run(context.Background(), []waxtrace.Record{record(0), record(1), record(2)}).Samples), 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(len(r.Run(ctx, []waxtrace.Record{record(0)}).Samples), 0)
	late := record(1)
	late.Timestamp = 3_600_000
	opts.MaxDuration = 20 * time.Millisecond
	r, err = New(opts, nil, waxfleet.NewClock())
	is.NoErr(err)
	is.True(len(r.Run(context.Background(), []waxtrace.Record{record(0), late}).Samples) <= 1)
	_, err = New(DefaultOptions(), nil, waxfleet.NewClock())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeSettingInvalid)
}
