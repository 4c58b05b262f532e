package waxengine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxengine"
)

// rig is an engine on a manual clock with a client that reuses no connection.
type rig struct {
	*waxengine.Engine
	t      *testing.T
	clock  *waxfleet.Clock
	client *http.Client
}

func newRig(t *testing.T, opts waxengine.Options) *rig {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	opts.Clock = waxfleet.NewManualClock(1_000)
	e, err := waxengine.New(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return &rig{Engine: e, t: t, clock: opts.Clock, client: &http.Client{Transport: transport}}
}

// until advances the clock in small steps until the condition holds.
func (r *rig) until(condition func() bool) {
	for !condition() {
		r.clock.Advance(5)
		time.Sleep(50 * time.Microsecond)
	}
}

func (r *rig) request(method, path, id, last, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.Address()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-Id", id)
	if last != "" {
		req.Header.Set("Last-Event-ID", last)
	}
	return r.client.Do(req)
}

type reply struct {
	status int
	id     string
	body   string
	err    error
}

// start sends a request whose reply arrives on the channel.
func (r *rig) start(method, path, id, last, body string) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		answer, err := r.request(method, path, id, last, body)
		if err != nil {
			replies <- reply{err: err}
			return
		}
		defer answer.Body.Close()
		data, err := io.ReadAll(answer.Body)
		replies <- reply{status: answer.StatusCode, id: answer.Header.Get("X-Request-Id"), body: string(data), err: err}
	}()
	return replies
}

// get waits for a reply while time passes.
func (r *rig) get(replies <-chan reply) reply {
	var got reply
	r.until(func() bool {
		select {
		case got = <-replies:
			return true
		default:
			return false
		}
	})
	return got
}

func (r *rig) chat(id, last, body string) reply {
	return r.get(r.start("POST", "/v1/chat/completions", id, last, body))
}

type chunk struct {
	ID      string
	Choices []struct {
		Message      struct{ Content string }
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		CompletionTokens    int `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}
}

// events returns the ids and the text of a stream and whether it has its end
// marker.
func events(t *testing.T, stream string) (ids, text string, done bool) {
	t.Helper()
	scanner := bufio.NewScanner(strings.NewReader(stream))
	for scanner.Scan() {
		line := scanner.Text()
		if n, ok := strings.CutPrefix(line, "id: "); ok {
			ids += n + " "
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return strings.TrimSpace(ids), text, true
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		text += c.Choices[0].Delta.Content
	}
	return strings.TrimSpace(ids), text, false
}

func expect(t *testing.T, body string) string {
	t.Helper()
	tokens, err := waxengine.Answer([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Join(tokens, " ")
}

func body(extra string) string {
	return `{"model": "m", "messages": [{"role": "user", "content": "hello there"}]` + extra + `}`
}

// Guards against an answer that a checker without the engine can't verify.
func TestAnswerIsDeterministic(t *testing.T) {
	is := is.New(t)
	r := newRig(t, waxengine.Options{})
	whole := r.chat("a", "", body(""))
	is.Equal(whole.status, 200)
	is.Equal(whole.id, "a")
	var c chunk
	is.NoErr(json.Unmarshal([]byte(whole.body), &c))
	is.Equal(c.ID, "chatcmpl-a")
	is.Equal(c.Choices[0].Message.Content, expect(t, body("")))
	is.Equal(c.Usage.CompletionTokens, waxengine.DefaultMaxTokens)
	is.Equal(c.Usage.PromptTokens, 2)

	stream := r.chat("b", "", body(`, "stream": true, "max_tokens": 3`))
	ids, text, done := events(t, stream.body)
	is.Equal(ids, "0 1 2 3")
	is.Equal(text, expect(t, body(`, "max_tokens": 3`)))
	is.True(done)
	is.True(strings.HasPrefix(expect(t, body("")), text)) // the length doesn't change the tokens
	is.True(expect(t, body(`, "hash_ids": [1]`)) != expect(t, body("")))
}

// Guards against a continued answer that repeats or skips a token.
func TestContinueFinalMessage(t *testing.T) {
	is := is.New(t)
	r := newRig(t, waxengine.Options{})
	whole := expect(t, body(`, "max_tokens": 6`))
	partial := strings.Join(strings.Fields(whole)[:4], " ")
	again := fmt.Sprintf(`{"model": "m", "messages": [{"role": "user", "content": "hello there"}, {"role": "assistant", "content": %q}],
		"max_tokens": 6, "continue_final_message": true, "stream": true}`, partial)
	ids, text, done := events(t, r.chat("a", "", again).body)
	is.Equal(ids, "0 1 2")
	is.Equal(partial+text, whole)
	is.True(done)
}

// Guards against a cut stream that is lost, and against one that runs on without
// a reader.
func TestResumeAndCancel(t *testing.T) {
	is := is.New(t)
	r := newRig(t, waxengine.Options{})
	request := body(`, "stream": true, "max_tokens": 8`)
	cut := func(id string) {
		answer, err := r.request("POST", "/v1/chat/completions", id, "", request)
		is.NoErr(err)
		_, err = bufio.NewReader(answer.Body).ReadString('\n')
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
	}
	cut("a")
	resumed := r.chat("a", "0", request)
	ids, text, done := events(t, resumed.body)
	is.Equal(ids, "1 2 3 4 5 6 7 8")
	is.Equal(waxengine.TokenAt(r.History()[0].PromptDigest, 0)+text, expect(t, request))
	is.True(done)
	is.Equal(r.chat("a", "8", request).body, "data: [DONE]\n\n")

	slow := newRig(t, waxengine.Options{TokenInterval: 10_000})
	r = slow
	cut("b")
	ended := r.clock.Now()
	r.until(func() bool { return len(r.History()) == 2 })
	is.True(r.clock.Now()-ended >= 2_000)
	is.True(!r.History()[1].Whole)
	is.Equal(r.chat("b", "0", request).status, 404)

	r = newRig(t, waxengine.Options{})
	is.Equal(r.chat("c", "", request).status, 200)
	r.clock.Advance(30_000)
	is.Equal(r.chat("c", "0", request).status, 404) // kept for 30 s only
}

// Guards against a cache that never hits, hits what it doesn't hold, or has no
// bound.
func TestCache(t *testing.T) {
	is := is.New(t)
	r := newRig(t, waxengine.Options{CacheBlocks: 4, StartWarm: true})
	cached := func(extra string) int {
		var c chunk
		is.NoErr(json.Unmarshal([]byte(r.chat("a", "", body(extra)).body), &c))
		return c.Usage.PromptTokensDetails.CachedTokens
	}
	is.Equal(cached(`, "hash_ids": [1, 2, 3], "input_length": 1200`), 0)
	is.Equal(cached(`, "hash_ids": [1, 2, 3], "input_length": 1200`), 1200)
	is.Equal(cached(`, "hash_ids": [1, 9], "input_length": 1000`), 512)
	is.Equal(cached(`, "hash_ids": [9, 2], "input_length": 1000`), 0)   // another prefix
	is.Equal(cached(`, "hash_ids": [1, 2], "input_length": 1024`), 512) // [1 2 3] has lost its end
	is.Equal(cached(""), 0)
	is.Equal(cached(""), 2)

	published := func() int {
		var answer struct{ Events []struct{ Sequence uint64 } }
		is.NoErr(json.Unmarshal([]byte((<-r.start("GET", "/cache-events", "", "", "")).body), &answer))
		return len(answer.Events)
	}
	r.clock.Advance(500)
	before := published()
	fresh := r.start("POST", "/v1/chat/completions", "a", "", body(`, "hash_ids": [11, 12, 13], "max_tokens": 0`))
	r.get(fresh)
	is.Equal(published(), before) // events are late
	r.clock.Advance(500)
	is.True(published() > before)
}

// Guards against an engine whose exported cache another engine can't use.
func TestMoveCache(t *testing.T) {
	is := is.New(t)
	from, to := newRig(t, waxengine.Options{}), newRig(t, waxengine.Options{})
	from.chat("a", "", body(`, "chat": "c/1"`))
	moved := from.get(from.start("GET", "/kv/c%2F1", "", "", ""))
	is.Equal(moved.status, 200)
	is.Equal(to.get(to.start("GET", "/kv/c%2F1", "", "", "")).status, 404)
	is.Equal(to.get(to.start("PUT", "/kv/c%2F1", "", "", moved.body)).status, 204)
	to.chat("b", "", body(""))
	is.Equal(to.History()[1].CachedTokens, 2)
}

// Guards against a batch without a bound and a queue that ignores priorities.
func TestBatchAndPriority(t *testing.T) {
	is := is.New(t)
	r := newRig(t, waxengine.Options{MaxBatch: 1, StartWarm: true})
	first := r.start("POST", "/v1/chat/completions", "first", "", body(""))
	r.waitInFlight(1)
	low := r.start("POST", "/v1/chat/completions", "low", "", body(`, "priority": 5`))
	r.waitInFlight(2)
	high := r.start("POST", "/v1/chat/completions", "high", "", body(`, "priority": 1`))
	r.waitInFlight(3)
	for _, replies := range []<-chan reply{first, low, high} {
		is.Equal(r.get(replies).status, 200)
	}
	var ends []string
	for _, e := range r.History() {
		if e.Kind == waxengine.EventEnd {
			ends = append(ends, e.RequestID)
		}
	}
	is.Equal(ends, []string{"first", "high", "low"})
}

func (r *rig) waitInFlight(n int) {
	for r.InFlight() != n {
		time.Sleep(50 * time.Microsecond)
	}
}

// Guards against a cold engine that bears any load, and against one that never
// becomes warm.
func TestColdFallOver(t *testing.T) {
	is := is.New(t)
	r := newRig(t, waxengine.Options{ColdRequests: 2})
	first := r.Incarnation()
	var replies []<-chan reply
	for n := 1; n <= 2; n++ {
		replies = append(replies, r.start("POST", "/v1/chat/completions", "a", "", body("")))
		r.waitInFlight(n)
	}
	replies = append(replies, r.start("POST", "/v1/chat/completions", "a", "", body("")))
	for _, one := range replies {
		is.True((<-one).err != nil)
	}
	is.True(r.Incarnation() > first)
	start := r.History()[2]
	is.Equal(start.InFlight, 3)
	is.Equal(start.Window, 2)
	is.True(start.Cold)
	is.Equal((<-r.start("POST", "/v1/chat/completions", "b", "", body(""))).status, 503)
	r.clock.Advance(500)
	is.Equal(r.chat("c", "", body("")).status, 200)
	is.True(r.Cold())
	is.Equal(r.chat("c", "", body("")).status, 200)
	is.True(!r.Cold())
}

// Guards against a load report that is ahead of its lag.
func TestTurnColdIsUnannounced(t *testing.T) {
	is := is.New(t)
	r := newRig(t, waxengine.Options{StartWarm: true})
	load := func() string { return (<-r.start("GET", "/load", "", "", "")).body }
	r.clock.Advance(10_000)
	r.SetFaults(waxengine.Faults{TurnCold: true, Leaving: true})
	is.True(r.Cold())
	is.True(strings.Contains(load(), `"in-flight":0,"cold":false,"leaving":false`))
	r.clock.Advance(499)
	is.True(strings.Contains(load(), `"cold":false`))
	r.clock.Advance(1)
	is.True(strings.Contains(load(), `"cold":true,"leaving":true`))
}

// Guards against an engine that turned cold and falls over work from before,
// which no router could have known to hold back.
func TestTurnColdBearsOldWork(t *testing.T) {
	is := is.New(t)
	r := newRig(t, waxengine.Options{StartWarm: true})
	before := r.Incarnation()
	for n := 1; n <= 6; n++ {
		if n == 4 {
			r.SetFaults(waxengine.Faults{TurnCold: true})
		}
		r.start("POST", "/v1/chat/completions", "a", "", body(""))
		if n < 6 {
			r.waitInFlight(n)
			is.Equal(r.Incarnation(), before)
		}
	}
	r.waitInFlight(0)
	is.Equal(r.History()[5].InFlight, 6)
	is.Equal(r.History()[5].ColdInFlight, 3)
	is.True(r.History()[6].Died)
	is.True(r.Incarnation() > before) // the third request since it turned cold
}

// Guards against a poison request that spares the engine or its neighbours.
func TestPoison(t *testing.T) {
	is := is.New(t)
	r := newRig(t, waxengine.Options{StartWarm: true})
	r.SetFaults(waxengine.Faults{PoisonMarker: "ratsbane"})
	before := r.Incarnation()
	neighbour := r.start("POST", "/v1/chat/completions", "n", "", body(""))
	r.waitInFlight(1)
	is.True((<-r.start("POST", "/v1/chat/completions", "p", "", body(`, "chat": "ratsbane"`))).err != nil)
	is.True((<-neighbour).err != nil)
	is.Equal(r.InFlight(), 0)
	err := (<-r.start("GET", "/healthz", "", "", "")).err
	is.True(err != nil && strings.Contains(err.Error(), "connection refused"))
	died := r.clock.Now()
	r.until(func() bool { return r.Incarnation() != before })
	is.True(r.clock.Now()-died >= 1_000)
	is.Equal((<-r.start("GET", "/healthz", "", "", "")).status, 200)
	is.True(r.Cold())
}

// Guards against a killed engine that comes back by itself or loses its address.
func TestKillAndRestart(t *testing.T) {
	is := is.New(t)
	r := newRig(t, waxengine.Options{})
	before := r.Incarnation()
	r.Kill()
	r.clock.Advance(5_000)
	is.True((<-r.start("GET", "/healthz", "", "", "")).err != nil)
	is.NoErr(r.Restart())
	is.Equal((<-r.start("GET", "/healthz", "", "", "")).status, 200)
	is.True(r.Incarnation() > before)
}

// Guards against a fault switch that does nothing, or that leaves no way to
// detect the fault.
func TestStreamFaults(t *testing.T) {
	request := body(`, "stream": true, "max_tokens": 3`)
	for _, c := range []struct {
		name   string
		faults string
		ids    string
		done   bool
	}{
		{name: "duplicates", faults: `{"duplicate-events": 1}`, ids: "0 0 1 1 2 2 3", done: true},
		{name: "gap", faults: `{"drop-events": 1}`, ids: "3", done: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, waxengine.Options{})
			is.Equal((<-r.start("PUT", "/admin/faults", "", "", c.faults)).status, 204)
			ids, _, done := events(t, r.chat("a", "", request).body)
			is.Equal(ids, c.ids)
			is.Equal(done, c.done)
		})
	}
}

// Guards against a truncated stream that looks whole or can't be resumed, and a
// crossed answer that looks like the right one.
func TestTruncatedAndCrossed(t *testing.T) {
	is := is.New(t)
	request := body(`, "stream": true, "max_tokens": 3`)
	r := newRig(t, waxengine.Options{})
	r.SetFaults(waxengine.Faults{TruncateStreams: 1})
	got := r.chat("a", "", request)
	is.True(got.err != nil)
	_, _, done := events(t, got.body)
	is.True(!done)
	_, text, done := events(t, r.chat("a", "-1", request).body)
	is.True(done)
	is.Equal(text, expect(t, request))

	r.SetFaults(waxengine.Faults{CrossAnswers: 1})
	got = r.chat("b", "", request)
	_, text, _ = events(t, got.body)
	is.Equal(got.id, "a")
	is.True(text != expect(t, request))
}

// Guards against silence that reaches new connections or loses the stream.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	request := body(`, "stream": true, "max_tokens": 4`)
	r := newRig(t, waxengine.Options{})
	answer, err := r.request("POST", "/v1/chat/completions", "a", "", request)
	is.NoErr(err)
	defer answer.Body.Close()
	reader := bufio.NewReader(answer.Body)
	_, err = reader.ReadString('}')
	is.NoErr(err)
	r.SetFaults(waxengine.Faults{SilentAfterEvents: 2})
	r.until(func() bool { return r.InFlight() == 0 }) // the run goes on
	fresh := r.chat("a", "1", request)
	ids, _, done := events(t, fresh.body)
	is.Equal(ids, "2 3 4")
	is.True(done)
	is.NoErr(answer.Body.Close())
}

// Guards against a frozen engine that answers, and one that stays frozen.
func TestFrozen(t *testing.T) {
	is := is.New(t)
	r := newRig(t, waxengine.Options{})
	r.SetFaults(waxengine.Faults{Frozen: true})
	health := r.start("GET", "/healthz", "", "", "")
	is.Equal((<-r.start("GET", "/admin/history", "", "", "")).status, 200)
	is.Equal(len(health), 0)
	is.Equal((<-r.start("PUT", "/admin/faults", "", "", `{"refuse": true}`)).status, 204)
	is.Equal((<-health).status, 200)
	is.Equal(r.chat("a", "", body("")).status, 503)
	is.Equal(len(r.History()), 0) // a refused request has not run
}

// Guards against an old order that is carried out where numbers are checked.
func TestOrders(t *testing.T) {
	is := is.New(t)
	send := func(r *rig, fencing int) int {
		return (<-r.start("POST", "/orders", "", "", fmt.Sprintf(`{"kind": "load-model", "argument": "n%d", "fencing": %d}`, fencing, fencing))).status
	}
	checked := newRig(t, waxengine.Options{CheckFencing: true, Models: []string{"m"}})
	is.Equal(checked.chat("a", "", `{"model": "n7", "messages": [{"role": "user", "content": "x"}]}`).status, 404)
	is.Equal(send(checked, 7), 200)
	is.Equal(send(checked, 6), 409)
	is.Equal(send(checked, 7), 200)
	is.Equal(len(checked.Orders()), 2)
	is.Equal(checked.chat("a", "", `{"model": "n7", "messages": [{"role": "user", "content": "x"}]}`).status, 200)
	unchecked := newRig(t, waxengine.Options{})
	is.Equal(send(unchecked, 7), 200)
	is.Equal(send(unchecked, 6), 200)
}
