package waxentry

import (
	"strings"

	"github.com/labstack/echo/v4"

	"waxwingdrift.org/waxfleet"
)

// writer passes an answer on to the caller. It implements waxroute.Answer.
type writer struct {
	response  *echo.Response
	clock     *waxfleet.Clock
	start     waxfleet.Millis
	firstByte waxfleet.Millis
	begun     bool
	stream    bool
}

// Head implements waxroute.Answer.
func (w *writer) Head(status int, contentType, backendServer string) error {
	w.begun = true
	w.stream = strings.HasPrefix(contentType, "text/event-stream")
	w.response.Header().Set("Content-Type", contentType)
	w.response.Header().Set(HeaderBackendServer, backendServer)
	w.response.WriteHeader(status)
	return nil
}

// Body implements waxroute.Answer.
func (w *writer) Body(part []byte) error {
	if w.firstByte < 0 {
		w.firstByte = w.clock.Now() - w.start
	}
	if _, err := w.response.Write(part); err != nil {
		return err
	}
	if w.stream {
		w.response.Flush()
	}
	return nil
}
