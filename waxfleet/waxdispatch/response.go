package waxdispatch

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxResponseBytes bounds a response that is not streamed.
	maxResponseBytes = 32 << 20
	// streamCloseTimeout is how long the response body may stay open after the end
	// marker of a stream before the connection is closed instead of reused.
	streamCloseTimeout = time.Second
)

// readResponse reads a complete response, validates it and forwards it. Nothing
// is forwarded before the end, so that the call can still be retried.
func (c *callState) readResponse(e *exchange, resp *http.Response) *failure {
	c.recordFirstByte()
	body, err := io.ReadAll(io.LimitReader(e.body(resp), maxResponseBytes+1))
	if err != nil {
		return e.classifyError(err)
	}
	if len(body) > maxResponseBytes {
		e.closeConnection()
		return &failure{kind: failBadResponse, cause: errors.Newf("response exceeds %d bytes", maxResponseBytes)}
	}
	if !hasDelimitedBody(resp) {
		return &failure{kind: failConnectionLost, cause: errors.New("the response has neither a content length nor chunked encoding")}
	}
	if c.isModelEngine() && resp.StatusCode == http.StatusOK {
		if body, err = c.replaceCompletionID(body); err != nil {
			// The connection is back in the idle pool.
			c.pool.transport.CloseIdleConnections()
			return &failure{kind: failMismatch, cause: err}
		}
	}
	c.result.Complete = true
	if err := c.writeHeader(resp); err != nil {
		return &failure{kind: failCallerWrite, cause: err}
	}
	if len(body) == 0 {
		return nil
	}
	if err := c.sink.Body(body, c.result.Events); err != nil {
		return &failure{kind: failCallerWrite, cause: err}
	}
	return nil
}

// hasDelimitedBody reports whether the end of the body can be distinguished from
// a closed connection.
func hasDelimitedBody(resp *http.Response) bool {
	return resp.Body == http.NoBody || resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// readStream forwards the events of a stream up to its end marker.
func (c *callState) readStream(e *exchange, resp *http.Response) *failure {
	events := newEventReader(e.body(resp))
	for {
		ev, err := events.next()
		if errors.IsAny(err, errEventTooLarge, errCarriageReturn) {
			return &failure{kind: failInvalidStream, cause: err}
		}
		if err != nil {
			return e.classifyError(err)
		}
		c.recordFirstByte()
		e.gotEvent.Store(true)
		if ev.isDone() {
			return c.finishStream(e, resp, events, ev)
		}
		if f := c.forwardEvent(resp, ev); f != nil {
			return f
		}
	}
}

// finishStream forwards the end marker and keeps the connection for reuse if the
// response body ends there.
func (c *callState) finishStream(e *exchange, resp *http.Response, events *eventReader, ev event) *failure {
	if ev.id > c.nextEventID {
		return &failure{kind: failInvalidStream, cause: errors.Newf("the end marker has id %d, want %d", ev.id, c.nextEventID)}
	}
	c.result.Complete = true
	if f := c.writeEvent(resp, event{id: noEventID, data: ev.data}); f != nil {
		return f
	}
	timer := time.AfterFunc(streamCloseTimeout, e.cancel)
	defer timer.Stop()
	if _, err := events.buffered.ReadByte(); !errors.Is(err, io.EOF) {
		e.closeConnection()
	}
	return nil
}

// forwardEvent validates one chunk and forwards it with the request id of the
// call and its event id in the caller's stream.
func (c *callState) forwardEvent(resp *http.Response, ev event) *failure {
	data, err := c.replaceCompletionID(ev.data)
	if err != nil {
		return &failure{kind: failMismatch, cause: err}
	}
	if ev.id == noEventID {
		return &failure{kind: failInvalidStream, cause: errors.New("the event has no id")}
	}
	if ev.id < c.nextEventID {
		return nil
	}
	if ev.id > c.nextEventID {
		return &failure{kind: failInvalidStream, cause: errors.Newf("the event has id %d, want %d", ev.id, c.nextEventID)}
	}
	c.nextEventID++
	// A continuation starts with the role again, which the caller already has.
	if ev.id == 0 && c.call.ResumeFrom > 0 && isRoleOnly(ev.data) {
		return nil
	}
	return c.writeEvent(resp, event{id: c.result.Events, data: data})
}

// writeEvent writes one event to the sink and counts it on success.
func (c *callState) writeEvent(resp *http.Response, ev event) *failure {
	if err := c.writeHeader(resp); err != nil {
		return &failure{kind: failCallerWrite, cause: err}
	}
	events := c.result.Events
	if ev.id != noEventID {
		events++
	}
	if err := c.sink.Body(ev.appendTo(nil), events); err != nil {
		return &failure{kind: failCallerWrite, cause: err}
	}
	c.result.Events = events
	return nil
}

func (c *callState) writeHeader(resp *http.Response) error {
	if c.headerWritten {
		return nil
	}
	c.headerWritten = true
	return c.sink.Head(resp.StatusCode, resp.Header.Get("Content-Type"))
}

func (c *callState) recordFirstByte() {
	if c.result.TimeToFirstByte < 0 {
		c.result.TimeToFirstByte = c.dispatcher.clock.Now() - c.attemptStartedAt
	}
}

type completionID struct {
	ID string `json:"id"`
}

// replaceCompletionID checks that a chunk or response has the id of the attempt
// and replaces it with the request id of the call. Attempt ids are unique, so
// the quoted id occurs nowhere else; replacing bytes keeps the field order.
func (c *callState) replaceCompletionID(data []byte) ([]byte, error) {
	var chunk completionID
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, errors.Wrap(err, "the engine sent invalid JSON")
	}
	want := completionPrefix + c.attemptID
	if chunk.ID != want {
		return nil, errors.Newf("the id is %q, not %q", chunk.ID, want)
	}
	replacement, err := json.Marshal(completionPrefix + c.call.RequestID)
	if err != nil {
		return nil, err
	}
	quoted := []byte(`"` + want + `"`)
	if !bytes.Contains(data, quoted) {
		return nil, errors.New("the id contains JSON escape sequences")
	}
	return bytes.ReplaceAll(data, quoted, replacement), nil
}

type completionChunk struct {
	Choices []struct {
		Delta struct {
			Role      string          `json:"role"`
			Content   string          `json:"content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// isRoleOnly reports whether a chunk has only the role of the message.
func isRoleOnly(data []byte) bool {
	var chunk completionChunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 {
		return false
	}
	for _, c := range chunk.Choices {
		if c.Delta.Role == "" || c.Delta.Content != "" || c.Delta.ToolCalls != nil || c.FinishReason != nil {
			return false
		}
	}
	return true
}
