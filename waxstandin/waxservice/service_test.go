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

type rig struct {
	*waxservice.Service
	clock  *waxfleet.Clock
	client *http.Client
}

func newRig(t *testing.T) *rig {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := waxfleet.NewManualClock(1_000)
	s, err := waxservice.New(ctx, waxservice.Options{ID: "desk-1", Seed: 1, Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return &rig{Service: s, clock: clock, client: &http.Client{Transport: transport}}
}

func (r *rig) call(id, key, path string) (int, string, waxservice.Answer, error) {
	req, err := http.NewRequestWithContext(context.Background(), "POST", "http://"+r.Address()+path, strings.NewReader("x"))
	if err != nil {
		return 0, "", waxservice.Answer{}, err
	}
	req.Header.Set("X-Request-Id", id)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	answer, err := r.client.Do(req)
	if err != nil {
		return 0, "", waxservice.Answer{}, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return answer.StatusCode, "", waxservice.Answer{}, err
	}
	var got waxservice.Answer
	_ = json.Unmarshal(data, &got)
	return answer.StatusCode, answer.Header.Get("X-Request-Id"), got, nil
}

// Guards against runs that are not counted, or counted under another call.
func TestRuns(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	status, id, answer, err := r.call("a", "k1", "/deposits/7")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(id, "a")
	is.Equal(answer.RequestID, "a")
	is.Equal(answer.Path, "/deposits/7")
	_, _, _, err = r.call("b", "k1", "/deposits/7")
	is.NoErr(err)
	_, _, other, err := r.call("c", "", "/deposits/7")
	is.NoErr(err)
	is.Equal(r.Runs(), map[string]int{"k1": 2, other.BodyDigest: 1})
	events := r.History()
	is.Equal(len(events), 6)
	is.True(events[1].Whole)
	is.Equal(r.InFlight(), 0)
}

// Guards against a death in mid-call that leaves the run uncounted, and against
// a refusal that runs the call.
func TestDieInCall(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.SetFaults(waxservice.Faults{Refuse: true})
	status, _, _, err := r.call("a", "k0", "/deposits")
	is.NoErr(err)
	is.Equal(status, 503)
	r.SetFaults(waxservice.Faults{DieInCall: 1})
	_, _, _, err = r.call("b", "k1", "/deposits")
	is.True(err != nil)
	is.Equal(r.Runs(), map[string]int{"k1": 1})
	r.SetFaults(waxservice.Faults{})
	_, _, _, err = r.call("c", "k2", "/deposits")
	is.True(err != nil) // it is down
	for err != nil {
		r.clock.Advance(100)
		time.Sleep(50 * time.Microsecond)
		_, _, _, err = r.call("c", "k2", "/deposits")
	}
	is.Equal(r.Runs(), map[string]int{"k1": 1, "k2": 1})
	for _, e := range r.History() {
		is.True(e.Whole == (e.Key == "k2" && e.Kind == waxservice.EventEnd))
	}
}

// Guards against faults of the answer that a caller can't detect.
func TestAnswerFaults(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.SetFaults(waxservice.Faults{CutAnswers: 1})
	_, _, _, err := r.call("a", "", "/x")
	is.True(err != nil)
	r.SetFaults(waxservice.Faults{CrossAnswers: 1})
	_, id, answer, err := r.call("b", "", "/x")
	is.NoErr(err)
	is.Equal(id, "a")
	is.Equal(answer.RequestID, "a")
}
