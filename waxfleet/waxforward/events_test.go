package waxforward

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingdrift.org/waxfleet"
)

// buffers counts the buffers that are reserved.
type buffers struct {
	reserved, most int
	err            error
}

func (b *buffers) reserve() (func(), error) {
	if b.err != nil {
		return nil, b.err
	}
	b.reserved++
	b.most = max(b.most, b.reserved)
	return func() { b.reserved-- }, nil
}

// collect reads all events of a stream and the error that ended it.
func collect(r io.Reader) (events []string, ids []int64, err error) {
	e := newEventReader(r, new(buffers).reserve)
	defer e.close()
	for {
		event, id, err := e.next()
		if err != nil {
			return events, ids, err
		}
		events, ids = append(events, string(event)), append(ids, id)
	}
}

// TestEvents guards against events that are split at read boundaries, and
// against relaying the incomplete last event of a broken stream.
func TestEvents(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\n\n"
	for _, r := range []io.Reader{
		strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream)), iotest.DataErrReader(strings.NewReader(stream)),
	} {
		is := is.New(t)
		events, ids, err := collect(r)
		is.Equal(err, io.EOF)
		is.Equal(events, []string{"id: 1\ndata: a\n\n", "id:2\r\ndata: b\r\n\r\n", ": comment\n\n", "\n"})
		is.Equal(ids, []int64{1, 2, -1, -1})
	}
	is := is.New(t)
	events, _, err := collect(strings.NewReader("id: 1\n\nid: 2\ndata: last"))
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeStreamIncomplete)
	is.Equal(events, []string{"id: 1\n\n"})
	broken := errors.New("reset")
	events, _, err = collect(io.MultiReader(strings.NewReader("id: 1\n\nid: 2\nda"), iotest.ErrReader(broken)))
	is.Equal(err, broken)
	is.Equal(events, []string{"id: 1\n\n"})
}

// TestEventsAreComplete guards against lost, duplicated or reordered bytes, and against an
// incomplete last event that is relayed or taken for the end.
func TestEventsAreComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stream := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"id: 7", "data: x", "\n", "\n\n", "\r\n", ":"})).Draw(rt, "pieces"), "")
		events, _, err := collect(iotest.HalfReader(strings.NewReader(stream)))
		complete := strings.Join(events, "")
		rest, isPrefix := strings.CutPrefix(stream, complete)
		switch {
		case !isPrefix || errors.Is(err, io.EOF) && rest != "":
			rt.Fatalf("%q became %q", stream, events)
		case errors.Is(err, io.EOF):
		case waxfleet.CodeOf(err) != waxfleet.CodeStreamIncomplete || strings.Trim(rest, "\r\n") == "" || eventLength([]byte(rest)) > 0:
			rt.Fatalf("%q ended with %v after %q", stream, err, complete)
		}
	})
}

// TestLargeEvents guards against streams that keep the memory of a large event, or that hold
// one that was not reserved, and against events that change on the way.
func TestLargeEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var stream []string
		for _, size := range rapid.SliceOfN(rapid.SampledFrom([]int{1, 100, smallEventBytes - 100, smallEventBytes, 100_000, maxEventBytes - 100}), 1, 8).Draw(rt, "sizes") {
			stream = append(stream, "data: "+strings.Repeat("x", size)+"\n\n")
		}
		b := &buffers{}
		e := newEventReader(strings.NewReader(strings.Join(stream, "")), b.reserve)
		for i, want := range stream {
			event, _, err := e.next()
			if err != nil || string(event) != want {
				rt.Fatalf("event %d has %d bytes instead of %d: %v", i, len(event), len(want), err)
			}
			switch {
			case len(want) > smallEventBytes && b.reserved == 0:
				rt.Fatalf("no buffer is reserved for an event of %d bytes", len(want))
			case len(want) <= smallEventBytes/2 && b.reserved > 0:
				rt.Fatalf("a buffer is reserved for an event of %d bytes", len(want))
			}
			if b.reserved == 0 && cap(e.buf) > 2*smallEventBytes {
				rt.Fatalf("a buffer of %d bytes is not reserved", cap(e.buf))
			}
		}
		if _, _, err := e.next(); !errors.Is(err, io.EOF) {
			rt.Fatalf("stream ended with %v", err)
		}
		e.close()
		if b.reserved != 0 || b.most > 1 {
			rt.Fatalf("%d buffers are still reserved; there were %d at once", b.reserved, b.most)
		}
	})
	is := is.New(t)
	refused := errors.New("no room")
	e := newEventReader(&countingReader{}, (&buffers{err: refused}).reserve)
	_, _, err := e.next()
	is.Equal(err, refused)
	e.close()
}

// TestPausedWatch guards against taking a server for silent while this instance has no room
// for its event.
func TestPausedWatch(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	w := &silenceWatch{f: &Forwarder{opts: Options{Clock: clock}}, ctx: t.Context(), gap: 300, phase: phaseEvents}
	w.pause()
	clock.Advance(5_000)
	w.lock()
	is.Equal(w.checkEvents(), w.gap)
	w.unlock()
	w.resume()
	clock.Advance(100)
	w.lock()
	is.Equal(w.checkEvents(), w.gap-100)
	w.unlock()
}

// TestEndlessEvent guards against memory and processor time that grow with an event
// without end.
func TestEndlessEvent(t *testing.T) {
	is := is.New(t)
	source := &countingReader{}
	events, _, err := collect(source)
	is.Equal(len(events), 0)
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeAnswerMismatch)
	is.True(source.n <= 2*maxEventBytes)
}

// countingReader returns bytes without end and counts them.
type countingReader struct{ n int }

func (r *countingReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	r.n += len(b)
	return len(b), nil
}
