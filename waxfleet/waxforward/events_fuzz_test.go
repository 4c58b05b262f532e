package waxforward

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"waxwingdrift.org/waxfleet"
)

// FuzzEvents guards against events that are split, joined, lost or changed,
// depending on how the stream is divided into reads.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\n", "data: a", "\n\n\n\n", "id:9999999999999999999\n\n", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		events, end := readEvents(bytes.NewReader(stream))
		if waxfleet.CodeOf(end) == waxfleet.CodeAnswerMismatch {
			t.Skip() // an event exceeds maxEventBytes
		}
		rest, isPrefix := bytes.CutPrefix(stream, bytes.Join(events, nil))
		if !isPrefix || (end == nil) != (len(rest) == 0) || eventLength(rest) > 0 {
			t.Fatalf("the events %q and %v are not the stream %q", events, end, stream)
		}
		split, err := readEvents(iotest.OneByteReader(bytes.NewReader(stream)))
		if waxfleet.CodeOf(err) != waxfleet.CodeOf(end) || len(split) != len(events) {
			t.Fatalf("read byte by byte, the events are %q and not %q: %v", split, events, err)
		}
		for i := range events {
			if !bytes.Equal(split[i], events[i]) {
				t.Fatalf("read byte by byte, event %d is %q and not %q", i, split[i], events[i])
			}
		}
	})
}

func readEvents(src io.Reader) ([][]byte, error) {
	r := newEventReader(src, new(buffers).reserve)
	defer r.close()
	var out [][]byte
	for {
		event, _, err := r.next()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, bytes.Clone(event))
	}
}
