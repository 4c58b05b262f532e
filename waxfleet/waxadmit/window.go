// Package waxadmit is the admission control of one backend server: it counts the
// requests in flight, maintains the concurrency window and orders the queue. It
// does no I/O and reads no clock.
package waxadmit

import "waxwingdrift.org/waxfleet"

const (
	// initialWindow is the window of a server whose capacity is unknown.
	initialWindow = 1
	// maxWindow bounds the window; in practice the load limit applies long before.
	maxWindow = 1024
	// firstByteOverloadFactor is the multiple of the largest recent time to first byte
	// that counts as a sign of overload. It applies to the largest time rather than
	// the typical one, because a prompt that misses the cache is as slow as an
	// overloaded server, but not rare.
	firstByteOverloadFactor = 2.0
	// firstBytePeakDecay is the decay of the largest time to first byte per sample; it
	// halves after about 70 samples.
	firstBytePeakDecay = 0.99
	// minFirstByteSamples is the number of samples before any can signal overload.
	minFirstByteSamples = 20
	// firstByteFloor is the time to first byte up to which a sample never signals
	// overload: below it, scheduling noise alone can double the time.
	firstByteFloor waxfleet.Millis = 200
)

// Outcome is how a request ended at the backend server.
type Outcome struct {
	// OK is set for a complete response.
	OK bool
	// Overloaded is set if the server refused the request or died while it ran.
	Overloaded bool
	// Failed is set if the server returned an error or an incomplete or invalid
	// response.
	Failed bool
	// TimeToFirstByte is the time to the first byte; it is negative if there was none.
	TimeToFirstByte waxfleet.Millis
}

// Window is an adaptive concurrency limit for a backend server. It starts at one
// request for each incarnation, grows with completed requests and shrinks when the
// first byte is late or the server fails.
type Window struct {
	size     int
	warmSize int
	// completed counts the requests completed since the last change of size.
	completed int
	// firstBytePeak is the decaying maximum of the time to first byte, in ms, and
	// samples the number of samples in it.
	firstBytePeak float64
	samples       int
	incarnation   string
	cold          bool
	// reportedCold is set while the server's load reports say that it is cold.
	reportedCold bool
}

// NewWindow returns the window of a server whose capacity is unknown. warmSize is
// the size from which the server counts as warm.
func NewWindow(warmSize int) *Window {
	return &Window{size: initialWindow, warmSize: max(warmSize, initialWindow), cold: true}
}

// Size returns the maximum number of requests in flight.
func (w *Window) Size() int { return w.size }

// Warm reports whether the window has reached its warm size, or the server was
// first reported as warm.
func (w *Window) Warm() bool { return !w.cold }

// Incarnation returns the server incarnation that the window applies to, or "" before
// the first load report.
func (w *Window) Incarnation() string { return w.incarnation }

// ApplyReport applies a load report of the server. A new incarnation, or a cold report
// from a server that counted as warm, resets the window. If the first report is
// warm, the window opens to the warm size or to the load that the server already
// carries, if that is larger.
func (w *Window) ApplyReport(r waxfleet.LoadReport) {
	w.reportedCold = r.Cold()
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

// RecordOutcome records the outcome of one request. The window does not grow while
// the server reports a cold start, because its capacity is unknown then. After that
// it grows by one per completed request until the server counts as warm, and then
// doubles each time a full window of requests has completed.
func (w *Window) RecordOutcome(o Outcome) {
	if o.Overloaded {
		w.reset()
		return
	}
	if o.Failed || (o.OK && w.recordFirstByte(o.TimeToFirstByte)) {
		w.size = max(w.size/2, initialWindow)
		w.completed = 0
		return
	}
	if !o.OK {
		return
	}
	if w.reportedCold {
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
	w.firstBytePeak = 0
	w.completed = 0
	w.cold = true
}

// recordFirstByte updates the largest recent time to first byte and reports whether
// the sample signals overload.
func (w *Window) recordFirstByte(firstByte waxfleet.Millis) bool {
	if firstByte < 0 {
		return false
	}
	sample := float64(firstByte)
	largest := w.firstBytePeak * firstBytePeakDecay
	w.firstBytePeak = max(largest, sample)
	w.samples++
	return w.samples > minFirstByteSamples && sample > largest*firstByteOverloadFactor && firstByte > firstByteFloor
}
