// Package waxcheck proves promises of the fleet to its callers. It sends
// concurrent calls through an embedded fleet while faults are switched on, and
// checks what the callers saw against the histories of the stand-ins.
package waxcheck

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxengine"
	"waxwingdrift.org/waxstandin/waxservice"
)

const (
	chatPath = "/v1/chat/completions"
	// maxEvent bounds one line of a stream that a caller reads.
	maxEvent = 1 << 20
	// callTimeout is longer than the deadline of each tier that the runs use. A
	// call that reaches it got neither an answer nor an error.
	callTimeout = 33 * time.Second
	idPrefix    = "chatcmpl-"
)

// Request is what a caller sends.
type Request struct {
	// Router is the id of the entry instance and Address its caller address.
	Router  string
	Address string
	Tier    string
	// Key is the idempotency key of a deposit, and empty for a chat.
	Key    string
	Body   []byte
	Stream bool
	// Pause is the time that a slow caller waits after each event that it reads.
	Pause time.Duration
}

// Problem is a numbered error as the caller got it.
type Problem struct {
	Code   waxfleet.Code `json:"code"`
	Name   string        `json:"name"`
	NotRun bool          `json:"not-run"`
}

// Call is one request and all that its caller saw of the answer.
type Call struct {
	Request
	// Work identifies the work in the histories of the stand-ins: the prompt
	// digest of a chat, the body digest of a deposit.
	Work  string
	Start waxfleet.Millis
	End   waxfleet.Millis
	// Status is 0 when no header came.
	Status int
	// Text is the text of the answer so far; Done says that the end marker of a
	// stream came, or the whole body of another answer.
	Text string
	Done bool
	// After counts the events behind the end marker.
	After int
	// Wrong says what of the form of the answer is not as the protocol has it.
	Wrong string
	// Run is the request id in the answer of a plain service.
	Run string
	// Problem is the numbered error, if one came.
	Problem *Problem
	// Cut says that the connection broke; Hung that the caller gave up.
	Cut  bool
	Hung bool
}

// NotRun reports whether the caller was told that its request did not run.
func (c *Call) NotRun() bool { return c.Problem != nil && c.Problem.NotRun }

// Whole reports whether the caller got an answer to its end.
func (c *Call) Whole() bool { return c.Status == http.StatusOK && c.Done && c.Problem == nil }

// caller sends requests, each on a fresh connection: net/http sends a request
// with an idempotency key a second time when a kept connection breaks, which
// would be a call that no history shows.
type caller struct {
	clock  *waxfleet.Clock
	client *http.Client
}

func newCaller(clock *waxfleet.Clock) *caller {
	return &caller{clock: clock, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (c *caller) do(ctx context.Context, r Request) *Call {
	call := &Call{Request: r, Work: workOf(r), Start: c.clock.Now()}
	defer func() { call.End = c.clock.Now() }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := chatPath
	if r.Key != "" {
		path = "/services/" + waxembed.PlainService + waxembed.OncePath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+path, bytes.NewReader(r.Body))
	if err != nil {
		call.Wrong = err.Error()
		return call
	}
	req.Header.Set("Authorization", "Bearer ws-01")
	req.Header.Set("Content-Type", "application/json")
	if r.Tier != "" {
		req.Header.Set("X-Wax-Tier", r.Tier)
	}
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		call.broke(ctx)
		return call
	}
	defer func() { _ = resp.Body.Close() }()
	call.Status = resp.StatusCode
	switch {
	case resp.StatusCode != http.StatusOK:
		call.readProblem(ctx, resp)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		call.readStream(ctx, resp)
	case r.Key != "":
		call.readDeposit(ctx, resp)
	default:
		call.readAnswer(ctx, resp)
	}
	return call
}

func workOf(r Request) string {
	if r.Key != "" {
		sum := sha256.Sum256(r.Body)
		return hex.EncodeToString(sum[:16])
	}
	digest, err := waxengine.PromptDigest(r.Body)
	if err != nil {
		return ""
	}
	return digest
}

func (c *Call) broke(ctx context.Context) {
	c.Cut = true
	c.Hung = ctx.Err() != nil
}

type envelope struct {
	Error *Problem `json:"error"`
}

func (c *Call) takeProblem(data []byte) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil || e.Error == nil {
		c.Wrong = "an error without a number: " + string(data)
		return
	}
	c.Problem = e.Error
}

func (c *Call) readAll(ctx context.Context, resp *http.Response) ([]byte, bool) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.broke(ctx)
		return nil, false
	}
	return data, true
}

func (c *Call) readProblem(ctx context.Context, resp *http.Response) {
	if data, ok := c.readAll(ctx, resp); ok {
		c.takeProblem(data)
	}
}

func (c *Call) readDeposit(ctx context.Context, resp *http.Response) {
	data, ok := c.readAll(ctx, resp)
	if !ok {
		return
	}
	var a waxservice.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		c.Wrong = "the answer is not that of the service: " + string(data)
		return
	}
	c.Done, c.Run, c.Text = true, a.RequestID, a.BodyDigest
}

type completion struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta   content `json:"delta"`
		Message content `json:"message"`
	} `json:"choices"`
}

type content struct {
	Content string `json:"content"`
}

// take adds the text of a chunk or answer and checks its id.
func (c *Call) take(resp *http.Response, data []byte) {
	var part completion
	if err := json.Unmarshal(data, &part); err != nil {
		c.Wrong = "malformed JSON: " + string(data)
		return
	}
	if want := idPrefix + resp.Header.Get("X-Request-Id"); part.ID != want {
		c.Wrong = "the id is " + part.ID + ", not " + want
	}
	for _, choice := range part.Choices {
		c.Text += choice.Delta.Content + choice.Message.Content
	}
}

func (c *Call) readAnswer(ctx context.Context, resp *http.Response) {
	if data, ok := c.readAll(ctx, resp); ok {
		c.take(resp, data)
		c.Done = true
	}
}

// readStream reads events until the connection ends, also behind the end marker.
func (c *Call) readStream(ctx context.Context, resp *http.Response) {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEvent)
	next, failed := 0, false
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case field == "event" && value == "error":
			failed = true
		case field == "id":
			if value != strconv.Itoa(next) {
				c.Wrong = "event " + value + " in place of " + strconv.Itoa(next)
			}
			next++
		case field != "data":
		case c.Done:
			c.After++
		case failed:
			c.takeProblem([]byte(value))
		case value == "[DONE]":
			c.Done = true
		default:
			c.take(resp, []byte(value))
			time.Sleep(c.Pause)
		}
	}
	if lines.Err() != nil {
		c.broke(ctx)
	}
}
