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
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 32 << 20
	// drainTime is how long a stream's connection may take to end its answer
	// after the end marker, before it is closed instead of kept.
	drainTime = time.Second
)

// readAnswer reads a whole answer, checks it and passes it on. Nothing is passed
// on before the end, so that another attempt stays possible.
func (r *run) readAnswer(e *exchange, resp *http.Response) *failure {
	r.noteFirstByte()
	body, err := io.ReadAll(io.LimitReader(e.body(resp), maxAnswerBytes+1))
	if err != nil {
		return e.failed(err)
	}
	if len(body) > maxAnswerBytes {
		e.closeConnection()
		return &failure{kind: failRefused, cause: errors.Newf("answer exceeds %d bytes", maxAnswerBytes)}
	}
	if !hasEnd(resp) {
		return &failure{kind: failCut, cause: errors.New("the answer has neither a length nor an end")}
	}
	if r.engine() && resp.StatusCode == http.StatusOK {
		if body, err = r.replaceID(body); err != nil {
			// The connection has gone back among the idle ones.
			r.server.transport.CloseIdleConnections()
			return &failure{kind: failMismatch, cause: err}
		}
	}
	r.result.Whole = true
	if err := r.sendHead(resp); err != nil {
		return &failure{kind: failSink, cause: err}
	}
	if len(body) == 0 {
		return nil
	}
	if err := r.sink.Body(body, r.result.Events); err != nil {
		return &failure{kind: failSink, cause: err}
	}
	return nil
}

// hasEnd reports whether the end of the body can be told from a cut connection.
func hasEnd(resp *http.Response) bool {
	return resp.Body == http.NoBody || resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// readStream passes on the events of a stream until its end marker.
func (r *run) readStream(e *exchange, resp *http.Response) *failure {
	events := newEventReader(e.body(resp))
	for {
		ev, err := events.next()
		if errors.IsAny(err, errEventTooLarge, errCarriageReturn) {
			return &failure{kind: failDisorder, cause: err}
		}
		if err != nil {
			return e.failed(err)
		}
		r.noteFirstByte()
		e.events.Store(true)
		if ev.isDone() {
			return r.endStream(e, resp, events, ev)
		}
		if f := r.takeEvent(resp, ev); f != nil {
			return f
		}
	}
}

// endStream passes on the end marker and lets the connection be kept if the
// answer ends there.
func (r *run) endStream(e *exchange, resp *http.Response, events *eventReader, ev event) *failure {
	if ev.id > r.next {
		return &failure{kind: failDisorder, cause: errors.Newf("the end marker has id %d, want %d", ev.id, r.next)}
	}
	r.result.Whole = true
	if f := r.send(resp, event{id: noEventID, data: ev.data}); f != nil {
		return f
	}
	timer := time.AfterFunc(drainTime, e.cancel)
	defer timer.Stop()
	if _, err := events.r.ReadByte(); !errors.Is(err, io.EOF) {
		e.closeConnection()
	}
	return nil
}

// takeEvent checks one chunk and passes it on with the id of the call and its
// place in the caller's stream.
func (r *run) takeEvent(resp *http.Response, ev event) *failure {
	data, err := r.replaceID(ev.data)
	if err != nil {
		return &failure{kind: failMismatch, cause: err}
	}
	if ev.id == noEventID {
		return &failure{kind: failDisorder, cause: errors.New("the event has no id")}
	}
	if ev.id < r.next {
		return nil
	}
	if ev.id > r.next {
		return &failure{kind: failDisorder, cause: errors.Newf("the event has id %d, want %d", ev.id, r.next)}
	}
	r.next++
	// A continuation begins with the role again, which the caller already has.
	if ev.id == 0 && r.call.ResumeFrom > 0 && isRoleOnly(ev.data) {
		return nil
	}
	return r.send(resp, event{id: r.result.Events, data: data})
}

// send passes one event to the sink and counts it once it is taken.
func (r *run) send(resp *http.Response, ev event) *failure {
	if err := r.sendHead(resp); err != nil {
		return &failure{kind: failSink, cause: err}
	}
	events := r.result.Events
	if ev.id != noEventID {
		events++
	}
	if err := r.sink.Body(ev.appendTo(nil), events); err != nil {
		return &failure{kind: failSink, cause: err}
	}
	r.result.Events = events
	return nil
}

func (r *run) sendHead(resp *http.Response) error {
	if r.headSent {
		return nil
	}
	r.headSent = true
	return r.sink.Head(resp.StatusCode, resp.Header.Get("Content-Type"))
}

func (r *run) noteFirstByte() {
	if r.result.FirstByte < 0 {
		r.result.FirstByte = r.d.clock.Now() - r.started
	}
}

type identified struct {
	ID string `json:"id"`
}

// replaceID checks that a chunk or answer carries the id of the attempt, and
// puts the id of the call in its place. Attempt ids are unique, so the quoted id
// occurs nowhere else; replacing bytes keeps the order of the engine's fields.
func (r *run) replaceID(data []byte) ([]byte, error) {
	var chunk identified
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, errors.Wrap(err, "the engine sent malformed JSON")
	}
	want := completionPrefix + r.attempt
	if chunk.ID != want {
		return nil, errors.Newf("the id is %q, not %q", chunk.ID, want)
	}
	replacement, err := json.Marshal(completionPrefix + r.call.RequestID)
	if err != nil {
		return nil, err
	}
	quoted := []byte(`"` + want + `"`)
	if !bytes.Contains(data, quoted) {
		return nil, errors.New("the id is written in an unusual form")
	}
	return bytes.ReplaceAll(data, quoted, replacement), nil
}

type roleChunk struct {
	Choices []struct {
		Delta struct {
			Role      string          `json:"role"`
			Content   string          `json:"content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// isRoleOnly reports whether a chunk only announces the role of the message.
func isRoleOnly(data []byte) bool {
	var chunk roleChunk
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
