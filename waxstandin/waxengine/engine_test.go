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

// testEngine is an engine with a manual clock and a client without keep-alive.
type testEngine struct {
	*waxengine.Engine
	t      *testing.T
	clock  *waxfleet.Clock
	client *http.Client
}

func newTestEngine(t *testing.T, opts waxengine.Options) *testEngine {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	opts.Clock = waxfleet.NewManualClock(1_000)
	e, err := waxengine.New(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return &testEngine{Engine: e, t: t, clock: opts.Clock, client: &http.Client{Transport: transport}}
}

// advanceUntil advances the clock in steps of 5 ms until the condition holds.
func (e *testEngine) advanceUntil(condition func() bool) {
	for !condition() {
		e.clock.Advance(5)
		time.Sleep(50 * time.Microsecond)
	}
}

// request sends a request. id is the value of X-Request-Id; last is that of
// Last-Event-ID, which is not sent if it is empty.
func (e *testEngine) request(method, path, id, last, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+e.Address()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-Id", id)
	if last != "" {
		req.Header.Set("Last-Event-ID", last)
	}
	return e.client.Do(req)
}

// reply is a response, or the error of the request.
type reply struct {
	status int
	id     string
	body   string
	err    error
}

// start sends a request and delivers the response on the channel.
func (e *testEngine) start(method, path, id, last, body string) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		response, err := e.request(method, path, id, last, body)
		if err != nil {
			replies <- reply{err: err}
			return
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		replies <- reply{status: response.StatusCode, id: response.Header.Get("X-Request-Id"), body: string(data), err: err}
	}()
	return replies
}

// awaitReply advances the clock until the response arrives.
func (e *testEngine) awaitReply(replies <-chan reply) reply {
	var got reply
	e.advanceUntil(func() bool {
		select {
		case got = <-replies:
			return true
		default:
			return false
		}
	})
	return got
}

// completeChat sends a chat request and advances the clock until the response arrives.
func (e *testEngine) completeChat(id, last, body string) reply {
	return e.awaitReply(e.start("POST", "/v1/chat/completions", id, last, body))
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

// parseStream returns the event ids and the text of a stream, and whether it ends with
// [DONE].
func parseStream(t *testing.T, stream string) (ids, text string, done bool) {
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

func expectedText(t *testing.T, body string) string {
	t.Helper()
	tokens, err := waxengine.ExpectedTokens([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Join(tokens, " ")
}

func requestBody(extra string) string {
	return `{"model": "m", "messages": [{"role": "user", "content": "hello there"}]` + extra + `}`
}

// TestAnswerIsDeterministic guards against a response that can't be verified from its
// request alone.
func TestAnswerIsDeterministic(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, waxengine.Options{})
	complete := e.completeChat("a", "", requestBody(""))
	is.Equal(complete.status, 200)
	is.Equal(complete.id, "a")
	var c chunk
	is.NoErr(json.Unmarshal([]byte(complete.body), &c))
	is.Equal(c.ID, "chatcmpl-a")
	is.Equal(c.Choices[0].Message.Content, expectedText(t, requestBody("")))
	is.Equal(c.Usage.CompletionTokens, waxengine.DefaultMaxTokens)
	is.Equal(c.Usage.PromptTokens, 2)

	stream := e.completeChat("b", "", requestBody(`, "stream": true, "max_tokens": 3`))
	ids, text, done := parseStream(t, stream.body)
	is.Equal(ids, "0 1 2 3")
	is.Equal(text, expectedText(t, requestBody(`, "max_tokens": 3`)))
	is.True(done)
	is.True(strings.HasPrefix(expectedText(t, requestBody("")), text)) // the length doesn't change the tokens
	is.True(expectedText(t, requestBody(`, "hash_ids": [1]`)) != expectedText(t, requestBody("")))
}

// TestContinueFinalMessage guards against a continued response that repeats or skips a
// token.
func TestContinueFinalMessage(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, waxengine.Options{})
	complete := expectedText(t, requestBody(`, "max_tokens": 6`))
	partial := strings.Join(strings.Fields(complete)[:4], " ")
	continued := fmt.Sprintf(`{"model": "m", "messages": [{"role": "user", "content": "hello there"}, {"role": "assistant", "content": %q}],
		"max_tokens": 6, "continue_final_message": true, "stream": true}`, partial)
	ids, text, done := parseStream(t, e.completeChat("a", "", continued).body)
	is.Equal(ids, "0 1 2")
	is.Equal(partial+text, complete)
	is.True(done)
}

// TestResumeAndCancel guards against an interrupted stream that can't be resumed, and
// against one that continues without a reader.
func TestResumeAndCancel(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, waxengine.Options{})
	request := requestBody(`, "stream": true, "max_tokens": 8`)
	interrupt := func(id string) {
		response, err := e.request("POST", "/v1/chat/completions", id, "", request)
		is.NoErr(err)
		_, err = bufio.NewReader(response.Body).ReadString('\n')
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	interrupt("a")
	resumed := e.completeChat("a", "0", request)
	ids, text, done := parseStream(t, resumed.body)
	is.Equal(ids, "1 2 3 4 5 6 7 8")
	is.Equal(waxengine.TokenAt(e.History()[0].PromptDigest, 0)+text, expectedText(t, request))
	is.True(done)
	is.Equal(e.completeChat("a", "8", request).body, "data: [DONE]\n\n")

	e = newTestEngine(t, waxengine.Options{TokenInterval: 10_000})
	interrupt("b")
	ended := e.clock.Now()
	e.advanceUntil(func() bool { return len(e.History()) == 2 })
	is.True(e.clock.Now()-ended >= 2_000)
	is.True(!e.History()[1].Complete)
	is.Equal(e.completeChat("b", "0", request).status, 404)

	e = newTestEngine(t, waxengine.Options{})
	is.Equal(e.completeChat("c", "", request).status, 200)
	e.clock.Advance(30_000)
	is.Equal(e.completeChat("c", "0", request).status, 404) // kept for 30 s only
}

// TestCache guards against a prefix cache without hits, with false hits, or without a
// size limit.
func TestCache(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, waxengine.Options{CacheBlocks: 4, StartWarm: true})
	cached := func(extra string) int {
		var c chunk
		is.NoErr(json.Unmarshal([]byte(e.completeChat("a", "", requestBody(extra)).body), &c))
		return c.Usage.PromptTokensDetails.CachedTokens
	}
	is.Equal(cached(`, "hash_ids": [1, 2, 3], "input_length": 1200`), 0)
	is.Equal(cached(`, "hash_ids": [1, 2, 3], "input_length": 1200`), 1200)
	is.Equal(cached(`, "hash_ids": [1, 9], "input_length": 1000`), 512)
	is.Equal(cached(`, "hash_ids": [9, 2], "input_length": 1000`), 0)   // different prefix
	is.Equal(cached(`, "hash_ids": [1, 2], "input_length": 1024`), 512) // blocks 3 and 2 were evicted
	is.Equal(cached(""), 0)
	is.Equal(cached(""), 2)

	published := func() int {
		var response struct{ Events []struct{ Sequence uint64 } }
		is.NoErr(json.Unmarshal([]byte((<-e.start("GET", "/cache-events", "", "", "")).body), &response))
		return len(response.Events)
	}
	e.clock.Advance(500)
	before := published()
	fresh := e.start("POST", "/v1/chat/completions", "a", "", requestBody(`, "hash_ids": [11, 12, 13], "max_tokens": 0`))
	e.awaitReply(fresh)
	is.Equal(published(), before) // events are published after the report lag
	e.clock.Advance(500)
	is.True(published() > before)
}

// TestMoveCache guards against a KV cache that another engine can't import.
func TestMoveCache(t *testing.T) {
	is := is.New(t)
	from, to := newTestEngine(t, waxengine.Options{}), newTestEngine(t, waxengine.Options{})
	from.completeChat("a", "", requestBody(`, "chat": "c/1"`))
	moved := from.awaitReply(from.start("GET", "/kv/c%2F1", "", "", ""))
	is.Equal(moved.status, 200)
	is.Equal(to.awaitReply(to.start("GET", "/kv/c%2F1", "", "", "")).status, 404)
	is.Equal(to.awaitReply(to.start("PUT", "/kv/c%2F1", "", "", moved.body)).status, 204)
	to.completeChat("b", "", requestBody(""))
	is.Equal(to.History()[1].CachedTokens, 2)
}

// TestBatchAndPriority guards against a batch without a limit and a queue that ignores
// priorities.
func TestBatchAndPriority(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, waxengine.Options{MaxBatch: 1, StartWarm: true})
	first := e.start("POST", "/v1/chat/completions", "first", "", requestBody(""))
	e.awaitInFlight(1)
	low := e.start("POST", "/v1/chat/completions", "low", "", requestBody(`, "priority": 5`))
	e.awaitInFlight(2)
	high := e.start("POST", "/v1/chat/completions", "high", "", requestBody(`, "priority": 1`))
	e.awaitInFlight(3)
	for _, replies := range []<-chan reply{first, low, high} {
		is.Equal(e.awaitReply(replies).status, 200)
	}
	var ends []string
	for _, event := range e.History() {
		if event.Kind == waxengine.EventEnd {
			ends = append(ends, event.RequestID)
		}
	}
	is.Equal(ends, []string{"first", "high", "low"})
}

// awaitInFlight waits, without advancing the clock, until n requests are in flight.
func (e *testEngine) awaitInFlight(n int) {
	for e.InFlight() != n {
		time.Sleep(50 * time.Microsecond)
	}
}

// TestColdFallOver guards against a cold engine that no load overloads, and against
// one that never becomes warm.
func TestColdFallOver(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, waxengine.Options{ColdRequests: 2})
	first := e.Incarnation()
	var replies []<-chan reply
	for n := 1; n <= 2; n++ {
		replies = append(replies, e.start("POST", "/v1/chat/completions", "a", "", requestBody("")))
		e.awaitInFlight(n)
	}
	replies = append(replies, e.start("POST", "/v1/chat/completions", "a", "", requestBody("")))
	for _, replyCh := range replies {
		is.True((<-replyCh).err != nil)
	}
	is.True(e.Incarnation() > first)
	start := e.History()[2]
	is.Equal(start.InFlight, 3)
	is.Equal(start.Window, 2)
	is.True(start.Cold)
	is.Equal((<-e.start("POST", "/v1/chat/completions", "b", "", requestBody(""))).status, 503)
	e.clock.Advance(500)
	is.Equal(e.completeChat("c", "", requestBody("")).status, 200)
	is.True(e.Cold())
	is.Equal(e.completeChat("c", "", requestBody("")).status, 200)
	is.True(!e.Cold())
}

// TestTurnColdIsUnannounced guards against load reports that are ahead of their lag.
func TestTurnColdIsUnannounced(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, waxengine.Options{StartWarm: true})
	load := func() string { return (<-e.start("GET", "/load", "", "", "")).body }
	e.clock.Advance(10_000)
	e.SetFaults(waxengine.Faults{TurnCold: true, Leaving: true})
	is.True(e.Cold())
	is.True(strings.Contains(load(), `"in-flight":0,"cold":false,"leaving":false`))
	e.clock.Advance(499)
	is.True(strings.Contains(load(), `"cold":false`))
	e.clock.Advance(1)
	is.True(strings.Contains(load(), `"cold":true,"leaving":true`))
}

// TestTurnColdBearsOldWork guards against an engine that is overloaded by requests
// from before it became cold, which no router can avoid.
func TestTurnColdBearsOldWork(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, waxengine.Options{StartWarm: true})
	before := e.Incarnation()
	for n := 1; n <= 6; n++ {
		if n == 4 {
			e.SetFaults(waxengine.Faults{TurnCold: true})
		}
		e.start("POST", "/v1/chat/completions", "a", "", requestBody(""))
		if n < 6 {
			e.awaitInFlight(n)
			is.Equal(e.Incarnation(), before)
		}
	}
	e.awaitInFlight(0)
	is.Equal(e.History()[5].InFlight, 6)
	is.Equal(e.History()[5].ColdInFlight, 3)
	is.True(e.History()[6].EngineDied)
	is.True(e.Incarnation() > before) // overloaded by the third request since it became cold
}

// TestPoison guards against a poison request that doesn't crash the engine or leaves
// its other requests running.
func TestPoison(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, waxengine.Options{StartWarm: true})
	e.SetFaults(waxengine.Faults{PoisonMarker: "ratsbane"})
	before := e.Incarnation()
	neighbour := e.start("POST", "/v1/chat/completions", "n", "", requestBody(""))
	e.awaitInFlight(1)
	is.True((<-e.start("POST", "/v1/chat/completions", "p", "", requestBody(`, "chat": "ratsbane"`))).err != nil)
	is.True((<-neighbour).err != nil)
	is.Equal(e.InFlight(), 0)
	err := (<-e.start("GET", "/healthz", "", "", "")).err
	is.True(err != nil && strings.Contains(err.Error(), "connection refused"))
	died := e.clock.Now()
	e.advanceUntil(func() bool { return e.Incarnation() != before })
	is.True(e.clock.Now()-died >= 1_000)
	is.Equal((<-e.start("GET", "/healthz", "", "", "")).status, 200)
	is.True(e.Cold())
}

// TestKillAndRestart guards against a killed engine that restarts by itself, or on
// another address.
func TestKillAndRestart(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, waxengine.Options{})
	before := e.Incarnation()
	e.Kill()
	e.clock.Advance(5_000)
	is.True((<-e.start("GET", "/healthz", "", "", "")).err != nil)
	is.NoErr(e.Restart())
	is.Equal((<-e.start("GET", "/healthz", "", "", "")).status, 200)
	is.True(e.Incarnation() > before)
}

// TestStreamFaults guards against faults without effect and faults that a client can't
// detect.
func TestStreamFaults(t *testing.T) {
	request := requestBody(`, "stream": true, "max_tokens": 3`)
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
			e := newTestEngine(t, waxengine.Options{})
			is.Equal((<-e.start("PUT", "/admin/faults", "", "", c.faults)).status, 204)
			ids, _, done := parseStream(t, e.completeChat("a", "", request).body)
			is.Equal(ids, c.ids)
			is.Equal(done, c.done)
		})
	}
}

// TestTruncatedAndCrossed guards against a truncated stream that looks complete or
// can't be resumed, and a response of another request that looks like the right one.
func TestTruncatedAndCrossed(t *testing.T) {
	is := is.New(t)
	request := requestBody(`, "stream": true, "max_tokens": 3`)
	e := newTestEngine(t, waxengine.Options{})
	e.SetFaults(waxengine.Faults{TruncateStreams: 1})
	got := e.completeChat("a", "", request)
	is.True(got.err != nil)
	_, _, done := parseStream(t, got.body)
	is.True(!done)
	_, text, done := parseStream(t, e.completeChat("a", "-1", request).body)
	is.True(done)
	is.Equal(text, expectedText(t, request))

	e.SetFaults(waxengine.Faults{MismatchResponses: 1})
	got = e.completeChat("b", "", request)
	_, text, _ = parseStream(t, got.body)
	is.Equal(got.id, "a")
	is.True(text != expectedText(t, request))
}

// TestSilentConnection guards against SilentAfterEvents affecting new connections or
// losing the stream.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	request := requestBody(`, "stream": true, "max_tokens": 4`)
	e := newTestEngine(t, waxengine.Options{})
	response, err := e.request("POST", "/v1/chat/completions", "a", "", request)
	is.NoErr(err)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	_, err = reader.ReadString('}')
	is.NoErr(err)
	e.SetFaults(waxengine.Faults{SilentAfterEvents: 2})
	e.advanceUntil(func() bool { return e.InFlight() == 0 }) // the run continues
	fresh := e.completeChat("a", "1", request)
	ids, _, done := parseStream(t, fresh.body)
	is.Equal(ids, "2 3 4")
	is.True(done)
	is.NoErr(response.Body.Close())
}

// TestFrozen guards against a frozen engine that responds, and one that stays frozen.
func TestFrozen(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, waxengine.Options{})
	e.SetFaults(waxengine.Faults{Frozen: true})
	health := e.start("GET", "/healthz", "", "", "")
	is.Equal((<-e.start("GET", "/admin/history", "", "", "")).status, 200)
	is.Equal(len(health), 0)
	is.Equal((<-e.start("PUT", "/admin/faults", "", "", `{"refuse": true}`)).status, 204)
	is.Equal((<-health).status, 200)
	is.Equal(e.completeChat("a", "", requestBody("")).status, 503)
	is.Equal(len(e.History()), 0) // a rejected request is not executed
}

// TestOrders guards against executing an order with a stale fencing token.
func TestOrders(t *testing.T) {
	is := is.New(t)
	send := func(e *testEngine, fencing int) int {
		return (<-e.start("POST", "/orders", "", "", fmt.Sprintf(`{"kind": "load-model", "argument": "n%d", "fencing": %d}`, fencing, fencing))).status
	}
	checked := newTestEngine(t, waxengine.Options{CheckFencing: true, Models: []string{"m"}})
	is.Equal(checked.completeChat("a", "", `{"model": "n7", "messages": [{"role": "user", "content": "x"}]}`).status, 404)
	is.Equal(send(checked, 7), 200)
	is.Equal(send(checked, 6), 409)
	is.Equal(send(checked, 7), 200)
	is.Equal(len(checked.Orders()), 2)
	is.Equal(checked.completeChat("a", "", `{"model": "n7", "messages": [{"role": "user", "content": "x"}]}`).status, 200)
	unchecked := newTestEngine(t, waxengine.Options{})
	is.Equal(send(unchecked, 7), 200)
	is.Equal(send(unchecked, 6), 200)
}
