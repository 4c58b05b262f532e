package waxbound

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxengine"
)

// ColdTransition is a transition of an engine from warm to cold without a
// restart. Runs on that incarnation are exempt until KnownBy, because the owner
// may not know of the transition earlier.
type ColdTransition struct {
	Engine      string
	Incarnation string
	At          waxfleet.Millis
	// KnownBy is the time by which a load report with the transition, including its
	// lag, must have reached the owner.
	KnownBy waxfleet.Millis
}

func (t ColdTransition) exempts(e waxengine.Event) bool {
	return e.Engine == t.Engine && e.Incarnation == t.Incarnation && e.At >= t.At && e.At <= t.KnownBy
}

// CheckCold checks, in the history of one engine, that the requests in flight
// stay within two limits while it is cold. One is the ramp of the design: 1, plus
// one per request completed while cold, up to MaxColdWindow. The other is the
// engine's own window, above which the engine fails.
func CheckCold(history []waxengine.Event, transitions []ColdTransition) []Violation {
	var violations []Violation
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
		case e.Kind == waxengine.EventEnd && e.Complete:
			completed++
		case e.Kind == waxengine.EventStart && e.Cold && !exempted(transitions, e):
			violations = append(violations, checkColdStart(e, completed)...)
		}
	}
	return violations
}

func checkColdStart(e waxengine.Event, completed int) []Violation {
	v := Violation{At: e.At, Subject: e.Engine}
	ramp := min(1+completed, MaxColdWindow)
	switch {
	case e.ColdInFlight > e.Window:
		v.Detail = fmt.Sprintf("overloaded: %d requests in flight while cold; window: %d (%d completed)", e.ColdInFlight, e.Window, completed)
	case e.ColdInFlight > ramp:
		v.Detail = fmt.Sprintf("%d requests in flight while cold; allowed after %d completed: %d", e.ColdInFlight, completed, ramp)
	default:
		return nil
	}
	return []Violation{v}
}

func exempted(transitions []ColdTransition, e waxengine.Event) bool {
	for _, t := range transitions {
		if t.exempts(e) {
			return true
		}
	}
	return false
}

// ColdStats counts the runs that started on cold engines.
type ColdStats struct {
	Starts int
	// Exempted counts the runs that a ColdTransition exempts.
	Exempted int
	// Overloads counts the runs above the engine's own window.
	Overloads int
}

// CountCold counts the starts on a cold engine in its history, including the
// exempted ones.
func CountCold(history []waxengine.Event, transitions []ColdTransition) ColdStats {
	var stats ColdStats
	for _, e := range history {
		if e.Kind != waxengine.EventStart || !e.Cold {
			continue
		}
		stats.Starts++
		if exempted(transitions, e) {
			stats.Exempted++
		}
		if e.ColdInFlight > e.Window {
			stats.Overloads++
		}
	}
	return stats
}
