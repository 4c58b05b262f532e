// Package waxadmit decides what one backend server may run: it counts the work
// in flight, keeps the concurrency window and orders the queue. It holds no I/O
// and reads no clock.
package waxadmit

import "waxwingdrift.org/waxfleet"

const (
	// initialWindow is the window of a server of which nothing is known.
	initialWindow = 1
	// maxWindow bounds the growth; the load limit binds long before it.
	maxWindow = 1024
	// firstByteJump is the factor on the usual first-byte time that counts as a
	// sign of overload.
	firstByteJump = 4.0
	// firstByteWeight is the weight of a new sample in the moving average.
	firstByteWeight = 0.1
	// firstByteNoise is ignored in the comparison: below it, scheduling noise
	// alone can be a factor of four.
	firstByteNoise waxfleet.Millis = 200
)

// Outcome tells how a request ended at the backend server.
type Outcome struct {
	// OK is true for a whole answer.
	OK bool
	// Overloaded is true when the server refused the work or failed under it.
	Overloaded bool
	// FirstByte is the time to the first byte, or negative when there was none.
	FirstByte waxfleet.Millis
}

// Window bounds the work in flight at a backend server by what it has been seen
// to bear. It starts at one for each incarnation, grows with completed work and
// shrinks when the first byte is late or the server fails.
type Window struct {
	size        int
	warmSize    int
	completed   int
	firstByte   float64
	incarnation string
	cold        bool
}

// NewWindow returns the window of an unknown server. warmSize is the size at
// which the server counts as warm.
func NewWindow(warmSize int) *Window {
	return &Window{size: initialWindow, warmSize: max(warmSize, initialWindow), cold: true}
}

// Size returns the most requests that the server may run.
func (w *Window) Size() int { return w.size }

// Warm reports whether the server has shown that it bears usual load.
func (w *Window) Warm() bool { return !w.cold }

// Incarnation returns the incarnation that the window belongs to.
func (w *Window) Incarnation() string { return w.incarnation }

// Report takes the server's own report. Another incarnation or a report of
// being cold resets the window; a first report of a warm server opens it to the
// load that the server already carries.
func (w *Window) Report(r waxfleet.LoadReport) {
	changed := r.Incarnation() != w.incarnation
	first := w.incarnation == ""
	w.incarnation = r.Incarnation()
	switch {
	case changed && !first, r.Cold() && !w.cold:
		w.reset()
	case first && !r.Cold():
		w.cold = false
		w.size = max(w.warmSize, r.InFlight())
	}
}

// Done takes the end of one request. A server that is still cold gains one
// place per completed request; a warm one doubles per full window of completed
// work.
func (w *Window) Done(o Outcome) {
	if o.Overloaded {
		w.reset()
		return
	}
	if !o.OK {
		return
	}
	if w.late(o.FirstByte) {
		w.size = max(w.size/2, initialWindow)
		w.completed = 0
		return
	}
	if w.cold {
		w.size++
		w.cold = w.size < w.warmSize
		return
	}
	w.completed++
	if w.completed >= w.size {
		w.size = min(w.size*2, maxWindow)
		w.completed = 0
	}
}

func (w *Window) reset() {
	w.size = initialWindow
	w.completed = 0
	w.cold = true
}

// late keeps the moving average of the first-byte time and reports whether the
// sample is a jump.
func (w *Window) late(firstByte waxfleet.Millis) bool {
	if firstByte < 0 {
		return false
	}
	sample := float64(firstByte)
	usual := w.firstByte
	if usual == 0 {
		w.firstByte = sample
		return false
	}
	w.firstByte = usual + firstByteWeight*(sample-usual)
	return sample > usual*firstByteJump && firstByte > firstByteNoise
}
