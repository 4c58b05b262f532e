package waxbound

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxengine"
)

// Turn is an unannounced turn to cold. Requests that the owner admits before
// the first sign of it are excused: those of the incarnation that turned, until
// Known.
type Turn struct {
	Engine      string
	Incarnation string
	At          waxfleet.Millis
	// Known is when the report of the engine, with its lag, must have reached the
	// owner.
	Known waxfleet.Millis
}

func (t Turn) excuses(e waxengine.Event) bool {
	return e.Engine == t.Engine && e.Incarnation == t.Incarnation && e.At >= t.At && e.At <= t.Known
}

// CheckCold demands of the history of one engine that a cold engine has no more
// requests in flight than it bears: neither more than the window of the design
// (1, and one more per request that it completed while cold, up to
// ColdWindowMax), nor more than its own window, over which it falls over.
func CheckCold(history []waxengine.Event, turns []Turn) []Violation {
	var found []Violation
	completed := 0
	incarnation, cold := "", false
	for _, e := range history {
		if e.Incarnation != incarnation && e.Kind == waxengine.EventStart {
			incarnation, completed = e.Incarnation, 0
		}
		if e.Cold && !cold {
			completed = 0
		}
		cold = e.Cold
		switch {
		case e.Kind == waxengine.EventEnd && e.Whole:
			completed++
		case e.Kind == waxengine.EventStart && e.Cold && !excused(turns, e):
			found = append(found, checkColdStart(e, completed)...)
		}
	}
	return found
}

func checkColdStart(e waxengine.Event, completed int) []Violation {
	v := Violation{At: e.At, Subject: e.Engine}
	ramp := min(1+completed, ColdWindowMax)
	switch {
	case e.ColdInFlight > e.Window:
		v.Detail = fmt.Sprintf("fell over: %d requests in flight while cold; it bears %d (%d completed)", e.ColdInFlight, e.Window, completed)
	case e.ColdInFlight > ramp:
		v.Detail = fmt.Sprintf("%d requests in flight while cold; allowed after %d completed: %d", e.ColdInFlight, completed, ramp)
	default:
		return nil
	}
	return []Violation{v}
}

func excused(turns []Turn, e waxengine.Event) bool {
	for _, t := range turns {
		if t.excuses(e) {
			return true
		}
	}
	return false
}

// ColdFigures are the numbers of runs that began at a cold engine, of the
// excused ones among them, and of fall-overs.
type ColdFigures struct {
	Starts, Excused, FallOvers int
}

// MeasureCold counts what CheckCold looks at.
func MeasureCold(history []waxengine.Event, turns []Turn) ColdFigures {
	var f ColdFigures
	for _, e := range history {
		if e.Kind != waxengine.EventStart || !e.Cold {
			continue
		}
		f.Starts++
		if excused(turns, e) {
			f.Excused++
		}
		if e.ColdInFlight > e.Window {
			f.FallOvers++
		}
	}
	return f
}
