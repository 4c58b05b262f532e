package waxforward

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"waxwingdrift.org/waxfleet"
)

// maxEvent is the longest event of a stream, in bytes.
const maxEvent = 1 << 20

// eventReader cuts a stream into events.
type eventReader struct {
	src  io.Reader
	buf  []byte
	read int
	err  error
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, 0, 1024)}
}

// next returns the next whole event with its id, or -1 without one. The bytes are
// valid until the next call. It returns io.EOF after the end of a whole stream.
func (r *eventReader) next() ([]byte, int64, error) {
	r.buf = append(r.buf[:0], r.buf[r.read:]...)
	r.read = 0
	for {
		if end := eventEnd(r.buf); end > 0 {
			r.read = end
			return r.buf[:end], eventID(r.buf[:end]), nil
		}
		if r.err != nil {
			return r.rest()
		}
		if len(r.buf) > maxEvent {
			return nil, -1, waxfleet.NewError(waxfleet.CodeAnswerMismatch, "an event is longer than %d bytes", maxEvent)
		}
		var chunk [2048]byte
		n, err := r.src.Read(chunk[:])
		r.buf = append(r.buf, chunk[:n]...)
		r.err = err
	}
}

// rest returns what follows the last event of a stream that is whole.
func (r *eventReader) rest() ([]byte, int64, error) {
	if !errors.Is(r.err, io.EOF) || len(r.buf) == 0 {
		return nil, -1, r.err
	}
	r.read = len(r.buf)
	return r.buf, -1, nil
}

// eventEnd returns the length of the first event with its blank line, or 0.
func eventEnd(b []byte) int {
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
