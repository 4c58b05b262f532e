package waxdispatch

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func readEvents(r *eventReader) (events []event, err error) {
	for {
		e, err := r.next()
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

// FuzzEventReader guards against a parser whose result depends on how the bytes are
// split into reads, and against events that change when they are forwarded.
func FuzzEventReader(f *testing.F) {
	f.Fuzz(func(t *testing.T, stream []byte) {
		is := is.New(t)
		events, err := readEvents(newEventReader(bytes.NewReader(stream)))
		slow, slowErr := readEvents(newEventReader(iotest.OneByteReader(bytes.NewReader(stream))))
		is.Equal(events, slow)
		is.Equal(err.Error(), slowErr.Error())
		if len(stream) > maxEventBytes/2 {
			return // the encoded events may exceed the size limit of one event
		}
		var written []byte
		for _, e := range events {
			written = e.appendTo(written)
		}
		again, _ := readEvents(newEventReader(bytes.NewReader(written)))
		is.Equal(events, again)
	})
}

// TestEventSizeIsBounded guards against unbounded memory use by one event.
func TestEventSizeIsBounded(t *testing.T) {
	is := is.New(t)
	for _, stream := range []string{strings.Repeat("x", maxEventBytes+1), strings.Repeat("data: x\n", maxEventBytes)} {
		_, err := newEventReader(strings.NewReader(stream)).next()
		is.True(errors.Is(err, errEventTooLarge))
	}
}
