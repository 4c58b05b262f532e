// Package waxlog writes log lines without blocking the code that logs.
package waxlog

import (
	"context"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the capacity of the queue, in lines. A line has about 300 bytes, so
// that the queue takes less than 1 MB.
const maxQueuedLines = 2_048

// maxBatchLines is the maximum number of lines in one write to the output.
const maxBatchLines = 64

// Writer writes lines to an output from its own goroutine. When the queue is full, lines
// are dropped and counted. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter starts a writer. It runs until ctx ends, and then writes the queued lines.
func NewWriter(ctx context.Context, out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run(ctx, out)
	}()
	return w
}

// Write queues one line, or drops it when the queue is full. It never blocks and always
// returns a nil error.
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

// Done returns a channel that is closed when the context has ended and the queued lines
// have been written.
func (w *Writer) Done() <-chan struct{} { return w.done }

// run writes lines until ctx ends and the queue is empty.
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

// flush writes the line and queued ones in one call, at most maxBatchLines in all. When
// the write fails, the lines count as dropped.
func (w *Writer) flush(out io.Writer, line []byte) {
	n := 1
	for queued := true; queued && n < maxBatchLines; {
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
