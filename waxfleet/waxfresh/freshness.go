// Package waxfresh decides whether an instance may still rely on its list of API keys. It
// prevents the use of revoked keys while the instance can't reach the store.
package waxfresh

import (
	"sync"

	"waxwingdrift.org/waxfleet"
)

// DispatchMargin is subtracted from the maximum age. It allows for the time between the
// check and the start of the request at the backend server.
const DispatchMargin waxfleet.Millis = 300

// Freshness records when the configuration was last confirmed to be current. The age of a
// confirmation counts from the time at which the read was sent, because the response
// shows the state at some time after that. It is safe for concurrent use.
type Freshness struct {
	clock *waxfleet.Clock

	mu sync.Mutex
	// confirmedSentAt is when the latest confirmed read was sent.
	confirmedSentAt waxfleet.Millis
	// confirmed is true after the first confirmation.
	confirmed bool
	maxAge    waxfleet.Millis
}

// NewFreshness returns a Freshness without a confirmation. maxAge is the maximum age of a
// confirmation, including DispatchMargin.
func NewFreshness(clock *waxfleet.Clock, maxAge waxfleet.Millis) *Freshness {
	return &Freshness{clock: clock, maxAge: maxAge}
}

// Confirm records a successful read that was sent at the given clock time. It ignores a
// read that was sent before the latest confirmed one.
func (f *Freshness) Confirm(sentAt waxfleet.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.confirmed || sentAt > f.confirmedSentAt {
		f.confirmedSentAt, f.confirmed = sentAt, true
	}
}

// SetMaxAge sets the maximum age, for example after the settings are reloaded.
func (f *Freshness) SetMaxAge(maxAge waxfleet.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxAge = maxAge
}

// Age returns the time since the latest confirmed read was sent, and whether there was
// one. Without one, the age is meaningless.
func (f *Freshness) Age() (waxfleet.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now() - f.confirmedSentAt, f.confirmed
}

// Fresh reports whether the confirmation is recent enough to accept API keys.
func (f *Freshness) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed && f.clock.Now()-f.confirmedSentAt < f.maxAge-DispatchMargin
}
