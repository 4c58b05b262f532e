// Package waxbound checks histories of an embedded fleet against the time
// bounds of the design. The histories come from the stand-ins and from callers,
// not from the routers. Its tests run the fleet under faults and check it.
//
// Times are those of the system clock (waxfleet.NewClock), which stand-ins,
// callers and checkers share.
package waxbound

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
)

// Bounds of the design page.
const (
	// DomainOutBound is the time after which a failure domain that was taken out
	// gets no new work (section 2, invariant 3).
	DomainOutBound waxfleet.Millis = 3_000
	// LeavingBound is the time after which a leaving backend server gets no new
	// work. Invariant 7 says "a few seconds", which invariant 3 sets to 3 s.
	LeavingBound waxfleet.Millis = 3_000
	// ConfigBound is the time after which an accepted configuration is in force
	// everywhere (section 1, target size).
	ConfigBound waxfleet.Millis = 11_000
	// HandOverBound is the longest gap in the admission of a backend server while
	// its ownership moves and other members live. It is the delay between the
	// writers of an assignment (section 7).
	HandOverBound waxfleet.Millis = 2_000
	// ColdWindowMax is where the window of a cold backend server stops growing by
	// one per completed request (section 8).
	ColdWindowMax = 8
	// FirstSignBound is how long a turn to cold can stay unknown without a
	// failure: one poll interval and one poll timeout (1 s each), beside the lag
	// of the report.
	FirstSignBound waxfleet.Millis = 2_000
)

// Violation is one breach of a bound.
type Violation struct {
	At      waxfleet.Millis
	Subject string
	Detail  string
}

// String returns the violation for logs.
func (v Violation) String() string { return fmt.Sprintf("%d %s: %s", v.At, v.Subject, v.Detail) }
