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
	// firstByteJump is the factor on the largest recent first-byte time that
	// counts as a sign of overload. The largest and not the usual one: a prompt that
	// misses the cache is as slow as an overloaded server, but not rare.
	firstByteJump = 2.0
	// firstByteDecay shrinks the largest first-byte time with each sample; half of
	// it is forgotten after about 70.
	firstByteDecay = 0.99
	// firstByteSamples is the number of samples before any is judged.
	firstByteSamples = 20
	// firstByteNoise is ignored in the comparison: below it, scheduling noise alone
	// can double the time.
	firstByteNoise waxfleet.Millis = 200
)

// Outcome tells how a request ended at the backend server.
type Outcome struct {
	// OK is true for a whole answer.
	OK bool
	// Overloaded is true when the server refused the work or died under it.
	Overloaded bool
	// Failed is true when the server answered with an error or broke the answer.
	Failed bool
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
	samples     int
	incarnation string
	cold        bool
	// saysCold is set while the server reports a cold start.
	saysCold bool
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
	w.saysCold = r.Cold()
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

// Done takes the end of one request. The window stays at its first size while
// the server reports a cold start, because nobody knows how little it bears then.
// After that it gains one place per completed request until the server counts as
// warm, and doubles per full window of completed work from then on.
func (w *Window) Done(o Outcome) {
	if o.Overloaded {
		w.reset()
		return
	}
	if o.Failed || (o.OK && w.late(o.FirstByte)) {
		w.size = max(w.size/2, initialWindow)
		w.completed = 0
		return
	}
	if !o.OK {
		return
	}
	if w.saysCold {
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
	w.samples = 0
	w.firstByte = 0
	w.completed = 0
	w.cold = true
}

// late keeps the largest recent first-byte time and reports whether the sample
// is a jump above it.
func (w *Window) late(firstByte waxfleet.Millis) bool {
	if firstByte < 0 {
		return false
	}
	sample := float64(firstByte)
	largest := w.firstByte * firstByteDecay
	w.firstByte = max(largest, sample)
	w.samples++
	return w.samples > firstByteSamples && sample > largest*firstByteJump && firstByte > firstByteNoise
}
