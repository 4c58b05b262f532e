// Package waxcheck checks the guarantees of the fleet to its callers. It sends
// concurrent calls through an embedded fleet under fault injection, and checks the
// responses against the histories of the stand-ins.
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
	// maxLineBytes is the length of the longest line of a stream that a caller reads.
	maxLineBytes = 1 << 20
	// callTimeout exceeds the deadline of each price tier in use. A call that
	// reaches it got neither a response nor an error.
	callTimeout        = 33 * time.Second
	completionIDPrefix = "chatcmpl-"
)

// Request is a call to make: a chat or, if Key is set, a deposit, which is an
// at-most-once call of the plain service.
type Request struct {
	// Router is the ID of the entry instance, and Address its address for callers.
	Router  string
	Address string
	Tier    string
	// Key is the idempotency key of a deposit; empty for a chat.
	Key    string
	Body   []byte
	Stream bool
	// ReadDelay is the time that a slow caller waits after each event of a
	// stream.
	ReadDelay time.Duration
}

// APIError is an error response as the caller received it.
type APIError struct {
	Code   waxfleet.Code `json:"code"`
	Name   string        `json:"name"`
	NotRun bool          `json:"not-run"`
}

// Call is a request with what its caller received.
type Call struct {
	Request
	// Digest identifies the request in the histories of the stand-ins: it is the
	// prompt digest of a chat or the body digest of a deposit.
	Digest string
	Start  waxfleet.Millis
	End    waxfleet.Millis
	// Status is the HTTP status; 0 if no response header arrived.
	Status int
	// Text is the received text; for a deposit it is the body digest that the service
	// returned. Done reports whether the end marker of a stream arrived, or the complete
	// body of a response without a stream.
	Text string
	Done bool
	// EventsAfterEnd counts the events after the end marker.
	EventsAfterEnd int
	// ProtocolError describes a violation of the protocol by the response, if any.
	ProtocolError string
	// RequestID is the request ID in the response to a deposit. It identifies the
	// execution; see Execution.ID.
	RequestID string
	// Error is the error response; nil without one.
	Error *APIError
	// Disconnected reports whether the connection failed, and TimedOut whether
	// that was because of callTimeout.
	Disconnected bool
	TimedOut     bool
}

// NotRun reports whether an error response states that the request did not run.
func (c *Call) NotRun() bool { return c.Error != nil && c.Error.NotRun }

// Complete reports whether the caller received a successful response to its end.
func (c *Call) Complete() bool { return c.Status == http.StatusOK && c.Done && c.Error == nil }

// caller sends each request on a new connection. On kept-alive connections net/http
// retries a request with an idempotency key when the connection breaks, and the
// recorded calls would miss that retry.
type caller struct {
	clock *waxfleet.Clock
	http  *http.Client
}

func newCaller(clock *waxfleet.Clock) *caller {
	return &caller{clock: clock, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends the request and reads the response to its end.
func (c *caller) send(ctx context.Context, r Request) *Call {
	call := &Call{Request: r, Digest: requestDigest(r), Start: c.clock.Now()}
	defer func() { call.End = c.clock.Now() }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := chatPath
	if r.Key != "" {
		path = "/services/" + waxembed.PlainService + waxembed.AtMostOncePath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+path, bytes.NewReader(r.Body))
	if err != nil {
		call.ProtocolError = err.Error()
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
	resp, err := c.http.Do(req)
	if err != nil {
		call.setDisconnected(ctx)
		return call
	}
	defer func() { _ = resp.Body.Close() }()
	call.Status = resp.StatusCode
	switch {
	case resp.StatusCode != http.StatusOK:
		call.readError(ctx, resp)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		call.readStream(ctx, resp)
	case r.Key != "":
		call.readDeposit(ctx, resp)
	default:
		call.readCompletion(ctx, resp)
	}
	return call
}

func requestDigest(r Request) string {
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

// setDisconnected records a failed connection. ctx is the context with callTimeout.
func (c *Call) setDisconnected(ctx context.Context) {
	c.Disconnected = true
	c.TimedOut = ctx.Err() != nil
}

type errorEnvelope struct {
	Error *APIError `json:"error"`
}

func (c *Call) parseError(data []byte) {
	var e errorEnvelope
	if err := json.Unmarshal(data, &e); err != nil || e.Error == nil {
		c.ProtocolError = "an error response without a code: " + string(data)
		return
	}
	c.Error = e.Error
}

func (c *Call) readAll(ctx context.Context, resp *http.Response) ([]byte, bool) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.setDisconnected(ctx)
		return nil, false
	}
	return data, true
}

func (c *Call) readError(ctx context.Context, resp *http.Response) {
	if data, ok := c.readAll(ctx, resp); ok {
		c.parseError(data)
	}
}

func (c *Call) readDeposit(ctx context.Context, resp *http.Response) {
	data, ok := c.readAll(ctx, resp)
	if !ok {
		return
	}
	var response waxservice.Response
	if err := json.Unmarshal(data, &response); err != nil {
		c.ProtocolError = "the response is not that of the service: " + string(data)
		return
	}
	c.Done, c.RequestID, c.Text = true, response.RequestID, response.BodyDigest
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

// appendChunk appends the text of a chunk or response and checks its ID.
func (c *Call) appendChunk(resp *http.Response, data []byte) {
	var chunk completion
	if err := json.Unmarshal(data, &chunk); err != nil {
		c.ProtocolError = "malformed JSON: " + string(data)
		return
	}
	if want := completionIDPrefix + resp.Header.Get("X-Request-Id"); chunk.ID != want {
		c.ProtocolError = "the ID is " + chunk.ID + ", want " + want
	}
	for _, choice := range chunk.Choices {
		c.Text += choice.Delta.Content + choice.Message.Content
	}
}

func (c *Call) readCompletion(ctx context.Context, resp *http.Response) {
	if data, ok := c.readAll(ctx, resp); ok {
		c.appendChunk(resp, data)
		c.Done = true
	}
}

// readStream reads events until the end of the body, also after the end marker.
func (c *Call) readStream(ctx context.Context, resp *http.Response) {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	nextID, failed := 0, false
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case field == "event" && value == "error":
			failed = true
		case field == "id":
			if value != strconv.Itoa(nextID) {
				c.ProtocolError = "event " + value + ", want " + strconv.Itoa(nextID)
			}
			nextID++
		case field != "data":
		case c.Done:
			c.EventsAfterEnd++
		case failed:
			c.parseError([]byte(value))
		case value == "[DONE]":
			c.Done = true
		default:
			c.appendChunk(resp, []byte(value))
			time.Sleep(c.ReadDelay)
		}
	}
	if lines.Err() != nil {
		c.setDisconnected(ctx)
	}
}
