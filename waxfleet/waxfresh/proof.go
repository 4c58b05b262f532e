// Package waxfresh decides whether an instance may still rely on its list of
// API keys. It prevents the use of revoked keys while the instance can't reach
// the store.
package waxfresh

import (
	"sync"

	"waxwingdrift.org/waxfleet"
)

// DispatchMargin is subtracted from the maximum age, to allow for the time
// between the check and the start of the request at the backend server.
const DispatchMargin waxfleet.Millis = 300

// Freshness records when the configuration was last confirmed to be current. A read
// shows the state at some moment after it was sent, so that the age counts from
// the time of sending. It is safe for concurrent use.
type Freshness struct {
	clock *waxfleet.Clock

	mu        sync.Mutex
	sentAt    waxfleet.Millis
	confirmed bool
	maxAge    waxfleet.Millis
}

// NewFreshness returns a tracker without a confirmation. maxAge is the maximum age
// of a confirmation, including DispatchMargin.
func NewFreshness(clock *waxfleet.Clock, maxAge waxfleet.Millis) *Freshness {
	return &Freshness{clock: clock, maxAge: maxAge}
}

// Confirm records a successful read that was sent at the given clock time. It
// ignores a read that was sent before the last one confirmed.
func (p *Freshness) Confirm(sent waxfleet.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.confirmed || sent > p.sentAt {
		p.sentAt, p.confirmed = sent, true
	}
}

// SetMaxAge sets the maximum age, for example after the settings are reloaded.
func (p *Freshness) SetMaxAge(maxAge waxfleet.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxAge = maxAge
}

// Age returns the time since the last confirmed read was sent. It reports false
// if there was none; the age is then meaningless.
func (p *Freshness) Age() (waxfleet.Millis, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Now() - p.sentAt, p.confirmed
}

// Fresh reports whether the confirmation is recent enough to accept API keys.
func (p *Freshness) Fresh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmed && p.clock.Now()-p.sentAt < p.maxAge-DispatchMargin
}
