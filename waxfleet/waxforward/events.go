package waxforward

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// maxEventBytes is the maximum length of a stream event. An instance has many streams
	// open at once, each of which may buffer an event without end.
	maxEventBytes = 256 << 10
	// smallEventBytes is the length of an event up to which its buffer counts as a part of
	// each request.
	smallEventBytes = 16 << 10
	// eventChunkBytes is the maximum number of bytes that are read at once.
	eventChunkBytes = 2 << 10
	// largeEventBytes is the size of the buffer for an event of more than smallEventBytes.
	largeEventBytes = maxEventBytes + eventChunkBytes
	// minLoggedWait is the shortest wait for memory that is logged.
	minLoggedWait waxfleet.Millis = 100
)

// largeEvents holds unused buffers for large events. Growing one for each event would leave
// several times its size as garbage.
var largeEvents = sync.Pool{New: func() any { return new([largeEventBytes]byte) }}

// eventReader splits a server-sent event stream into events.
type eventReader struct {
	source io.Reader
	// reserve waits until the instance has room for a buffer of largeEventBytes, and returns
	// what gives it back.
	reserve  func() (release func(), err error)
	buf      []byte
	consumed int
	// scanned is the number of bytes of buf that are known to contain no end of an event.
	scanned int
	err     error
	// large and release belong to the buffer of a large event; nil while there is none.
	large   *[largeEventBytes]byte
	release func()
}

// newEventReader returns a reader of src. It has to be closed.
func newEventReader(src io.Reader, reserve func() (release func(), err error)) *eventReader {
	return &eventReader{source: src, reserve: reserve, buf: make([]byte, 0, 1024)}
}

// close gives the buffer back.
func (r *eventReader) close() {
	if r.large == nil {
		return
	}
	largeEvents.Put(r.large)
	r.release()
	r.buf, r.large, r.release = nil, nil, nil
}

// discard removes the last event from the buffer. The buffer of a large event is given back
// as soon as the event is written: many streams share the room for them.
func (r *eventReader) discard() {
	rest := r.buf[r.consumed:]
	if r.large == nil || len(rest) > smallEventBytes {
		r.buf = append(r.buf[:0], rest...)
	} else {
		rest = append(make([]byte, 0, eventChunkBytes), rest...)
		r.close()
		r.buf = rest
	}
	r.consumed, r.scanned = 0, 0
}

// read reads more of the current event.
func (r *eventReader) read() error {
	if len(r.buf) > smallEventBytes-eventChunkBytes && r.large == nil {
		release, err := r.reserve()
		if err != nil {
			return err
		}
		r.release, r.large = release, largeEvents.Get().(*[largeEventBytes]byte)
		r.buf = append(r.large[:0], r.buf...)
	}
	var chunk [eventChunkBytes]byte
	n, err := r.source.Read(chunk[:])
	r.buf = append(r.buf, chunk[:n]...)
	r.err = err
	return nil
}

// next returns the next complete event and its id; -1 if it has none. The bytes
// are valid until the next call. At the end of the stream it returns io.EOF, or
// CodeStreamIncomplete if the stream ends inside an event.
func (r *eventReader) next() ([]byte, int64, error) {
	r.discard()
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
		if err := r.read(); err != nil {
			return nil, -1, err
		}
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
