package waxforward

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"waxwingdrift.org/waxfleet"
)

// maxEventBytes is the maximum length of a stream event. An instance has many streams
// open at once, each of which may buffer an event without end.
const maxEventBytes = 256 << 10

// eventReader splits a server-sent event stream into events.
type eventReader struct {
	source   io.Reader
	buf      []byte
	consumed int
	// scanned is the number of bytes of buf that are known to contain no end of an event.
	scanned int
	err     error
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{source: src, buf: make([]byte, 0, 1024)}
}

// next returns the next complete event and its id; -1 if it has none. The bytes
// are valid until the next call. At the end of the stream it returns io.EOF, or
// CodeStreamIncomplete if the stream ends inside an event.
func (r *eventReader) next() ([]byte, int64, error) {
	r.buf = append(r.buf[:0], r.buf[r.consumed:]...)
	r.consumed, r.scanned = 0, 0
	for {
		if end := eventLength(r.buf[r.scanned:]); end > 0 {
			r.consumed = r.scanned + end
			return r.buf[:r.consumed], eventID(r.buf[:r.consumed]), nil
		}
		r.scanned = max(0, len(r.buf)-maxSeparatorBytes+1)
		if r.err != nil {
			return r.trailing()
		}
		if len(r.buf) > maxEventBytes {
			return nil, -1, waxfleet.NewError(waxfleet.CodeAnswerMismatch, "stream event exceeds %d bytes", maxEventBytes)
		}
		var chunk [2048]byte
		n, err := r.source.Read(chunk[:])
		r.buf = append(r.buf, chunk[:n]...)
		r.err = err
	}
}

// trailing returns the line breaks after the last event of a stream that ended. A stream
// that ends inside an event was broken off, even if its connection was closed cleanly; the
// incomplete event is dropped.
func (r *eventReader) trailing() ([]byte, int64, error) {
	if !errors.Is(r.err, io.EOF) || len(r.buf) == 0 {
		return nil, -1, r.err
	}
	if len(bytes.Trim(r.buf, "\r\n")) > 0 {
		return nil, -1, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "stream ended inside an event")
	}
	r.consumed = len(r.buf)
	return r.buf, -1, nil
}

// maxSeparatorBytes is the length of the longest separator of events.
const maxSeparatorBytes = len("\r\n\r\n")

// eventLength returns the length of the first event including its blank line,
// or 0 if it is incomplete.
func eventLength(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + 2
	case crlf >= 0:
		return crlf + 4
	}
	return 0
}

// eventID returns the number in the id field of an event, or -1.
func eventID(event []byte) int64 {
	for _, line := range bytes.Split(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			return id
		}
	}
	return -1
}
