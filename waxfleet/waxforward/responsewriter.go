package waxforward

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconn"
	"waxwingdrift.org/waxfleet/waxpool"
)

// responseWriter writes the response to the caller.
type responseWriter struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	conn         waxconn.Conn
	protocol     waxfleet.Protocol
	clock        *waxfleet.Clock
	status       int
	headerSentAt waxfleet.Millis
	// lastEventID is the id of the last stream event written; -1 if none was.
	lastEventID int64
	// http10 is true for a caller that does not understand chunks.
	http10 bool
	// closeDelimited is true if the response ends with the caller's connection, or with that
	// of the caller of the instance to which it goes.
	closeDelimited bool
	// fromPeer is true if the response goes to another instance.
	fromPeer bool
}

func newResponseWriter(w http.ResponseWriter, r *http.Request, protocol waxfleet.Protocol, clock *waxfleet.Clock) *responseWriter {
	return &responseWriter{
		http10:      !r.ProtoAtLeast(1, 1),
		w:           w,
		conn:        waxconn.Of(r.Context()),
		controller:  http.NewResponseController(w),
		protocol:    protocol,
		clock:       clock,
		lastEventID: -1,
	}
}

// headerSent reports whether the response header was sent.
func (rw *responseWriter) headerSent() bool { return rw.status != 0 }

// timeToHeader returns the time from arrival to the response header; -1 if none was sent.
func (rw *responseWriter) timeToHeader(arrived waxfleet.Millis) waxfleet.Millis {
	if rw.status == 0 {
		return -1
	}
	return rw.headerSentAt - arrived
}

// writeHeader sends the header of the backend server's response. length is the length of
// the body in bytes, or -1 if unknown. A close-delimited response stays close-delimited:
// chunks or a length would state that its body is complete, which nobody knows. Another
// instance gets chunks and a mark, because the end of a connection does not tell it whether
// the server was found alive.
func (rw *responseWriter) writeHeader(resp *waxpool.Response, length int64, closeDelimited bool) {
	out := rw.w.Header()
	for name, values := range rw.protocol.CallerHeader(resp.Header) {
		out[name] = values
	}
	// net/http would add these fields; the caller gets only those that the backend server
	// sent.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
	switch {
	case closeDelimited && rw.fromPeer:
		rw.protocol.MarkCloseDelimited(out)
		rw.closeDelimited = true
	case closeDelimited:
		// Makes net/http omit the chunks and close the connection.
		out.Set("Transfer-Encoding", "identity")
		rw.closeDelimited = true
	case length >= 0:
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	default:
		rw.closeDelimited = rw.http10
	}
	if rw.closeDelimited {
		rw.conn.ResetOnClose(true)
	}
	rw.status, rw.headerSentAt = resp.Status, rw.clock.Now()
	rw.w.WriteHeader(resp.Status)
}

// complete marks the response as complete. It precedes the return to net/http, which ends
// the response.
func (rw *responseWriter) complete() {
	if rw.closeDelimited {
		rw.conn.ResetOnClose(false)
	}
}

// abort breaks the caller's connection off. After a response header, only that shows that
// the response is incomplete.
func (rw *responseWriter) abort() { panic(http.ErrAbortHandler) }

// write sends a part of the body and flushes it.
func (rw *responseWriter) write(part []byte) error {
	if _, err := rw.w.Write(part); err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeCancelled, "caller connection closed")
	}
	if err := rw.controller.Flush(); err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeCancelled, "caller connection closed")
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
func (rw *responseWriter) writeError(id string, err error, retryAfter waxfleet.Millis) int {
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
	h := rw.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	if retryAfter > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(float64(retryAfter)/1000, 'f', 3, 64))
	}
	if rw.fromPeer {
		rw.protocol.MarkPeerError(h, id)
	}
	rw.w.WriteHeader(status)
	// A write error is ignored: a disconnect of the caller is detected elsewhere.
	_, _ = rw.w.Write(raw)
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
