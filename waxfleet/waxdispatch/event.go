package waxdispatch

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one server-sent event and thus the buffer of a stream.
const maxEventBytes = 64 << 10

var (
	errEventTooLarge = errors.Newf("server-sent event exceeds %d bytes", maxEventBytes)
	// errCarriageReturn rejects a lone CR inside a line. The standard ends a line
	// there, but engines don't send it, and forwarding it inside a line would
	// change the event.
	errCarriageReturn = errors.New("server-sent event contains a carriage return without a line feed")
	doneMarker        = []byte("[DONE]")
)

// noEventID is the id of an event without a usable id field.
const noEventID int64 = -1

// event is one server-sent event.
type event struct {
	id   int64
	data []byte
}

func (e event) isDone() bool { return bytes.Equal(e.data, doneMarker) }

// appendTo appends the wire form of e to b.
func (e event) appendTo(b []byte) []byte {
	if e.id != noEventID {
		b = append(b, "id: "...)
		b = strconv.AppendInt(b, e.id, 10)
		b = append(b, '\n')
	}
	for line := range bytes.SplitSeq(e.data, []byte{'\n'}) {
		b = append(b, "data: "...)
		b = append(b, line...)
		b = append(b, '\n')
	}
	return append(b, '\n')
}

// eventReader parses server-sent events. Lines end with LF or CRLF. Comments and
// fields other than id and data are ignored.
type eventReader struct {
	buffered *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{buffered: bufio.NewReaderSize(r, maxEventBytes)}
}

// next returns the next event that has data.
//
// Errors: io.EOF at the end of the stream between events; io.ErrUnexpectedEOF
// inside an event; errEventTooLarge; errCarriageReturn; errors of the reader.
func (r *eventReader) next() (event, error) {
	e := event{id: noEventID}
	hasData := false
	size := 0
	for {
		line, err := r.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && size > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		if len(line) == 0 {
			if hasData {
				return e, nil
			}
			e, size = event{id: noEventID}, 0
			continue
		}
		if size += len(line); size > maxEventBytes {
			return event{}, errEventTooLarge
		}
		field, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(field) {
		case "id":
			e.id = parseEventID(value)
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			hasData = true
		}
	}
}

// readLine returns the next line without its terminator. It is valid until the
// next call.
func (r *eventReader) readLine() ([]byte, error) {
	line, err := r.buffered.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errEventTooLarge
	}
	if errors.Is(err, io.EOF) && len(line) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, errCarriageReturn
	}
	return line, nil
}

func parseEventID(value []byte) int64 {
	id, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || id < 0 {
		return noEventID
	}
	return id
}
