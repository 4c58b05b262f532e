package waxforward

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"waxwingdrift.org/waxfleet"
)

// responseWriter writes the response to the client.
type responseWriter struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	protocol     waxfleet.Protocol
	clock        *waxfleet.Clock
	status       int
	headerSentAt waxfleet.Millis
	// lastEventID is the id of the last stream event written, -1 without one.
	lastEventID int64
}

func newResponseWriter(w http.ResponseWriter, protocol waxfleet.Protocol, clock *waxfleet.Clock) *responseWriter {
	return &responseWriter{w: w, controller: http.NewResponseController(w), protocol: protocol, clock: clock, lastEventID: -1}
}

// headerSent reports whether the response header was sent.
func (s *responseWriter) headerSent() bool { return s.status != 0 }

// timeToHeader returns the time from arrival to the response header, -1 if none
// was sent.
func (s *responseWriter) timeToHeader(arrived waxfleet.Millis) waxfleet.Millis {
	if s.status == 0 {
		return -1
	}
	return s.headerSentAt - arrived
}

// writeHeader sends the header of the backend server's response. length is that
// of the body, or -1 if unknown.
func (s *responseWriter) writeHeader(status int, h http.Header, length int64) {
	out := s.w.Header()
	for name, values := range s.protocol.CallerHeader(h) {
		out[name] = values
	}
	// net/http would add these; the client gets only what the backend server
	// sent.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.status, s.headerSentAt = status, s.clock.Now()
	s.w.WriteHeader(status)
}

// write sends a part of the body and flushes it.
func (s *responseWriter) write(part []byte) error {
	if _, err := s.w.Write(part); err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeCancelled, "client connection closed")
	}
	if err := s.controller.Flush(); err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeCancelled, "client connection closed")
	}
	return nil
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error struct {
		Code      int    `json:"code"`
		Name      string `json:"name"`
		Message   string `json:"message"`
		NotRun    bool   `json:"not-run"`
		RequestID string `json:"request-id"`
	} `json:"error"`
}

// writeError sends an error response of the router and returns its status.
func (s *responseWriter) writeError(id string, err error, retryAfter waxfleet.Millis) int {
	var e *waxfleet.Error
	if !errors.As(err, &e) {
		e = waxfleet.WrapError(err, waxfleet.CodeInternal, "internal error")
	}
	status := httpStatus(e)
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
	// A write error is ignored: a client that disconnected is detected elsewhere.
	_, _ = s.w.Write(raw)
	return status
}

// httpStatus returns the HTTP status of an error. It returns 502 instead of a
// status that implies that the request has not run, unless that is known.
func httpStatus(e *waxfleet.Error) int {
	status := e.Code().Status()
	if !e.NotRun() && impliesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}
