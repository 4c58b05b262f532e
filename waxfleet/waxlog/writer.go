// Package waxlog writes log lines without ever blocking the work that they are
// about.
package waxlog

import (
	"context"
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait for the output. A line has about 300
// bytes, so that the queue holds less than a MB.
const queueLines = 2_048

// batchLines bounds the lines that are written in one call.
const batchLines = 64

// Writer passes lines to an output from a goroutine of its own. Lines that come
// while the queue is full are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer that runs until ctx ends, and then writes what is
// queued.
func NewWriter(ctx context.Context, out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run(ctx, out)
	}()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	c := append([]byte(nil), line...)
	select {
	case w.lines <- c:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Done is closed when the queue was written after the end of the context.
func (w *Writer) Done() <-chan struct{} { return w.done }

func (w *Writer) run(ctx context.Context, out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.flush(out, line)
		case <-ctx.Done():
			for {
				select {
				case line := <-w.lines:
					w.flush(out, line)
				default:
					return
				}
			}
		}
	}
}

// flush writes the line and up to batchLines queued ones in one call. An output
// that fails has nowhere to report to, so that its lines count as dropped.
func (w *Writer) flush(out io.Writer, line []byte) {
	n := 1
	for queued := true; queued && n < batchLines; {
		select {
		case next := <-w.lines:
			line = append(line, next...)
			n++
		default:
			queued = false
		}
	}
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(int64(n))
	}
}
