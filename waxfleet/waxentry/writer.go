package waxentry

import (
	"strings"

	"github.com/labstack/echo/v4"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconn"
	"waxwingdrift.org/waxfleet/waxintake"
)

// responseWriter writes a response to the caller. It implements waxroute.ResponseWriter.
type responseWriter struct {
	response        *echo.Response
	clock           *waxfleet.Clock
	startedAt       waxfleet.Millis
	timeToFirstByte waxfleet.Millis // -1 until the first byte is written
	headerWritten   bool
	isStream        bool
	conn            waxconn.Conn
	// closeDelimited is true if the response ends with the caller's connection, because
	// the caller does not understand chunks.
	closeDelimited bool
	intake         *waxintake.Conn
}

// Head implements waxroute.ResponseWriter.
func (w *responseWriter) Head(status int, contentType, backendServer string) error {
	w.headerWritten = true
	w.isStream = strings.HasPrefix(contentType, "text/event-stream")
	w.response.Header().Set("Content-Type", contentType)
	w.response.Header().Set(HeaderBackendServer, backendServer)
	if w.closeDelimited {
		w.conn.ResetOnClose(true)
	}
	w.response.WriteHeader(status)
	return nil
}

// complete marks the response as complete.
func (w *responseWriter) complete() {
	if w.closeDelimited {
		w.conn.ResetOnClose(false)
	}
}

// Body implements waxroute.ResponseWriter.
func (w *responseWriter) Body(part []byte) error {
	if w.timeToFirstByte < 0 {
		w.timeToFirstByte = w.clock.Now() - w.startedAt
	}
	w.intake.AnswerBy(w.clock.Now() + answerTimeout)
	if _, err := w.response.Write(part); err != nil {
		return err
	}
	if w.isStream {
		w.response.Flush()
	}
	return nil
}
