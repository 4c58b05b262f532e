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

// recordedRequest is a request as the test server received it.
type recordedRequest struct {
	path   string
	header http.Header
	body   []byte
}

type server struct {
	mu           sync.Mutex
	requests     []recordedRequest
	peakInFlight int
	inFlight     int
}

// start starts an HTTP server that records each request and responds with the
// status and the body response. It returns the URL of the server.
func (s *server) start(t *testing.T, status int, response string) string {
	t.Helper()
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, recordedRequest{path: r.URL.Path, header: r.Header, body: body})
		s.inFlight++
		s.peakInFlight = max(s.peakInFlight, s.inFlight)
		s.mu.Unlock()
		w.WriteHeader(status)
		_, _ = io.WriteString(w, response)
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
	}))
	t.Cleanup(h.Close)
	return h.URL
}

// rejectOtherResponse is a Verifier that rejects the token "other", which stands for
// the response to another request.
func rejectOtherResponse(_ []byte, tokens []string) error {
	if len(tokens) == 1 && tokens[0] == "other" {
		return errors.New("response to another request")
	}
	return VerifyNotEmpty(nil, tokens)
}

func record(i int) waxtrace.Record {
	return waxtrace.Record{
		Timestamp: waxfleet.Millis(i), InputLength: 600, OutputLength: 2, HashIDs: []uint64{1, uint64(i + 2)},
		Workspace: "ws-01", Chat: "chat-1", Tier: "express",
	}
}

// TestAnswers guards against counting a response as complete that is truncated,
// out of order or of another request.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/responses", func(t *testing.T, d *datadriven.TestData) string {
		status := http.StatusOK
		d.MaybeScanArgs(t, "status", &status)
		address := (&server{}).start(t, status, d.Input+"\n")
		r, err := New(DefaultOptions(address), rejectOtherResponse, waxfleet.NewClock())
		is.New(t).NoErr(err)
		s := r.Run(context.Background(), []waxtrace.Record{record(0)}).Samples[0]
		return fmt.Sprintf("%d %s complete=%v tokens=%d cached=%d first=%v\n",
			s.Code, s.Code.Name(), s.Complete, s.Tokens, s.CachedTokens, s.TTFT >= 0)
	})
}

const completeResponse = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"

// TestRequests guards against malformed requests: prompts must be unique, the API
// key, the tier, the extension fields and the idempotency key must be set, and the
// entry instances must alternate.
func TestRequests(t *testing.T) {
	is := is.New(t)
	a, b := &server{}, &server{}
	opts := DefaultOptions(a.start(t, http.StatusOK, completeResponse), b.start(t, http.StatusOK, completeResponse))
	opts.Service, opts.AtMostOncePath = "workshop-desk", "deposits"
	opts.APIKey = func(workspace string) string { return "key-" + workspace }
	opts.Concurrency = 1
	r, err := New(opts, nil, waxfleet.NewClock())
	is.NoErr(err)
	records := []waxtrace.Record{record(0), record(1), record(2), {Timestamp: 3, Workspace: "ws-02", AtMostOnce: true}}
	result := r.Run(context.Background(), records)
	is.Equal(len(result.Samples), 4)
	is.Equal(len(a.requests), 2)
	is.Equal(len(b.requests), 2)
	is.Equal(a.peakInFlight, 1)
	is.Equal(result.Samples[1].ReusableTokens, 512)
	texts := map[string]bool{}
	for _, got := range []recordedRequest{a.requests[0], b.requests[0], a.requests[1]} {
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
	atMostOnce := b.requests[1]
	is.Equal(atMostOnce.path, "/services/workshop-desk/deposits")
	_, err = ulid.ParseStrict(atMostOnce.header.Get("Idempotency-Key"))
	is.NoErr(err)
}

// TestCallID guards against IDs that are not reproducible from time, seed and
// index, and against duplicate IDs.
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

// TestUnreachable guards against reporting a refused connection as an unknown
// outcome.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	r, err := New(DefaultOptions("127.0.0.1:1"), nil, waxfleet.NewClock())
	is.NoErr(err)
	s := r.Run(context.Background(), []waxtrace.Record{record(0)}).Samples[0]
	is.Equal(s.Code, waxfleet.CodePeerUnreachable)
	is.True(!s.Complete)
}

// TestBounds guards against a replay that continues past MaxRequests, MaxDuration
// or the end of its context, and against options without an address.
func TestBounds(t *testing.T) {
	is := is.New(t)
	s := &server{}
	opts := DefaultOptions(s.start(t, http.StatusOK, completeResponse))
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
