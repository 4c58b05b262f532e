package waxforward

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"waxwingdrift.org/waxfleet"
)

// sink writes the answer to the caller.
type sink struct {
	w        http.ResponseWriter
	flusher  *http.ResponseController
	protocol waxfleet.Protocol
	clock    *waxfleet.Clock
	status   int
	headAt   waxfleet.Millis
	// lastEvent is the id of the last event written, -1 without one.
	lastEvent int64
}

func newSink(w http.ResponseWriter, protocol waxfleet.Protocol, clock *waxfleet.Clock) *sink {
	return &sink{w: w, flusher: http.NewResponseController(w), protocol: protocol, clock: clock, lastEvent: -1}
}

// started reports whether the head of an answer has gone out.
func (s *sink) started() bool { return s.status != 0 }

// firstByte returns the time from arrival to the head, or -1.
func (s *sink) firstByte(arrived waxfleet.Millis) waxfleet.Millis {
	if s.status == 0 {
		return -1
	}
	return s.headAt - arrived
}

// head sends the head of a backend server's answer. length is that of the body,
// or -1.
func (s *sink) head(status int, h http.Header, length int64) {
	out := s.w.Header()
	for name, values := range s.protocol.CallerHeader(h) {
		out[name] = values
	}
	// The library would add these; the answer has only what the server sent.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.status, s.headAt = status, s.clock.Now()
	s.w.WriteHeader(status)
}

// write sends a part of the body at once.
func (s *sink) write(part []byte) error {
	if _, err := s.w.Write(part); err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeCancelled, "the caller's connection ended")
	}
	if err := s.flusher.Flush(); err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeCancelled, "the caller's connection ended")
	}
	return nil
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error struct {
		Code      int    `json:"code"`
		Name      string `json:"name"`
		Message   string `json:"message"`
		NotRun    bool   `json:"not-run"`
		RequestID string `json:"request-id"`
	} `json:"error"`
}

// refuse sends an answer of the router's own and returns its status.
func (s *sink) refuse(id string, err error, retryAfter waxfleet.Millis) int {
	var e *waxfleet.Error
	if !errors.As(err, &e) {
		e = waxfleet.WrapError(err, waxfleet.CodeInternal, "internal error")
	}
	status := statusOf(e)
	var body errorBody
	body.Error.Code, body.Error.Name = int(e.Code()), e.Code().Name()
	body.Error.Message, body.Error.NotRun, body.Error.RequestID = e.Message(), e.NotRun(), id
	raw, err := json.Marshal(body)
	if err != nil {
		raw = []byte(`{"error":{"name":"internal"}}`)
	}
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	if retryAfter > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(float64(retryAfter)/1000, 'f', 3, 64))
	}
	s.w.WriteHeader(status)
	// The refusal needs no answer: a caller that has left is noticed elsewhere.
	_, _ = s.w.Write(raw)
	return status
}

// statusOf returns the HTTP status of a refusal. 503 promises that the request
// has not run, so that an error without this promise becomes 502.
func statusOf(e *waxfleet.Error) int {
	status := e.Code().Status()
	if !e.NotRun() && promises(status) {
		return http.StatusBadGateway
	}
	return status
}
