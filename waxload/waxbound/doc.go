// Package waxbound checks histories of an embedded fleet against the time
// bounds of the design. The histories come from the stand-ins and from callers,
// not from the routers. Its tests run the fleet under fault injection.
//
// All times come from the system clock (waxfleet.NewClock), which stand-ins,
// callers and checkers share.
package waxbound

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
)

// Bounds from the design page.
const (
	// EvacuationBound is the time after which an evacuated failure domain gets no
	// new work (section 2, invariant 3).
	EvacuationBound waxfleet.Millis = 3_000
	// LeavingBound is the time after which a leaving backend server gets no new
	// work. Invariant 7 says "a few seconds"; the value is that of invariant 3.
	LeavingBound waxfleet.Millis = 3_000
	// ConfigApplyBound is the time within which all instances apply an accepted
	// configuration (section 1, target size).
	ConfigApplyBound waxfleet.Millis = 11_000
	// HandoverBound is the longest allowed gap in the admission of a backend server
	// during a change of ownership with other members alive. It is the delay
	// between the writers of an assignment (section 7).
	HandoverBound waxfleet.Millis = 2_000
	// MaxColdWindow is the largest window of a cold backend server; the window
	// grows by one per completed request up to it (section 8).
	MaxColdWindow = 8
	// ColdDetectionBound is the longest time for which a transition to cold can go
	// unnoticed without a failure: one poll interval and one poll timeout (1 s
	// each). The lag of the report comes on top.
	ColdDetectionBound waxfleet.Millis = 2_000
)

// Violation is one breach of a bound. Subject is the component at fault or the
// step of the test.
type Violation struct {
	At      waxfleet.Millis
	Subject string
	Detail  string
}

// String formats the violation with its time in ms.
func (v Violation) String() string { return fmt.Sprintf("%d %s: %s", v.At, v.Subject, v.Detail) }
