package waxservice_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxservice"
)

type testService struct {
	*waxservice.Service
	clock  *waxfleet.Clock
	client *http.Client
}

func newTestService(t *testing.T) *testService {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := waxfleet.NewManualClock(1_000)
	s, err := waxservice.New(ctx, waxservice.Options{ID: "desk-1", Seed: 1, Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return &testService{Service: s, clock: clock, client: &http.Client{Transport: transport}}
}

// post sends a request and returns the status, the value of X-Request-Id and the body of
// the response. It sends no Idempotency-Key if key is empty.
func (s *testService) post(id, key, path string) (int, string, waxservice.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), "POST", "http://"+s.Address()+path, strings.NewReader("x"))
	if err != nil {
		return 0, "", waxservice.Response{}, err
	}
	req.Header.Set("X-Request-Id", id)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	response, err := s.client.Do(req)
	if err != nil {
		return 0, "", waxservice.Response{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, "", waxservice.Response{}, err
	}
	var got waxservice.Response
	_ = json.Unmarshal(data, &got)
	return response.StatusCode, response.Header.Get("X-Request-Id"), got, nil
}

// TestRuns guards against executions that are not counted, or counted for another
// request.
func TestRuns(t *testing.T) {
	is := is.New(t)
	s := newTestService(t)
	status, id, response, err := s.post("a", "k1", "/deposits/7")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(id, "a")
	is.Equal(response.RequestID, "a")
	is.Equal(response.Path, "/deposits/7")
	_, _, _, err = s.post("b", "k1", "/deposits/7")
	is.NoErr(err)
	_, _, other, err := s.post("c", "", "/deposits/7")
	is.NoErr(err)
	is.Equal(s.Runs(), map[string]int{"k1": 2, other.BodyDigest: 1})
	events := s.History()
	is.Equal(len(events), 6)
	is.True(events[1].Complete)
	is.Equal(s.InFlight(), 0)
}

// TestDieInCall guards against an execution that isn't counted because the service
// crashes, and against a rejected request that is executed.
func TestDieInCall(t *testing.T) {
	is := is.New(t)
	s := newTestService(t)
	s.SetFaults(waxservice.Faults{RejectRequests: true})
	status, _, _, err := s.post("a", "k0", "/deposits")
	is.NoErr(err)
	is.Equal(status, 503)
	s.SetFaults(waxservice.Faults{CrashDuringRequest: 1})
	_, _, _, err = s.post("b", "k1", "/deposits")
	is.True(err != nil)
	is.Equal(s.Runs(), map[string]int{"k1": 1})
	s.SetFaults(waxservice.Faults{})
	_, _, _, err = s.post("c", "k2", "/deposits")
	is.True(err != nil) // the service is down until restartDelay has passed
	for err != nil {
		s.clock.Advance(100)
		time.Sleep(50 * time.Microsecond)
		_, _, _, err = s.post("c", "k2", "/deposits")
	}
	is.Equal(s.Runs(), map[string]int{"k1": 1, "k2": 1})
	for _, event := range s.History() {
		is.True(event.Complete == (event.Key == "k2" && event.Kind == waxservice.EventEnd))
	}
}

// TestAnswerFaults guards against response faults that a client can't detect.
func TestAnswerFaults(t *testing.T) {
	is := is.New(t)
	s := newTestService(t)
	s.SetFaults(waxservice.Faults{TruncateResponses: 1})
	_, _, _, err := s.post("a", "", "/x")
	is.True(err != nil)
	s.SetFaults(waxservice.Faults{MismatchResponses: 1})
	_, id, response, err := s.post("b", "", "/x")
	is.NoErr(err)
	is.Equal(id, "a")
	is.Equal(response.RequestID, "a")
}
