// Package waxfresh decides whether an instance may still trust its list of
// keys. It answers the load pattern of keys that are taken away while an
// instance is cut off from the store.
package waxfresh

import (
	"sync"

	"waxwingdrift.org/waxfleet"
)

// Margin is kept below the bound for the time between the check and the moment
// at which the backend server starts the request, in ms.
const Margin waxfleet.Millis = 300

// Proof remembers when the configuration was last shown to be current. A read
// shows the state at some moment after it was sent, so that its age counts from
// the sending.
type Proof struct {
	clock *waxfleet.Clock

	mu    sync.Mutex
	sent  waxfleet.Millis
	known bool
	bound waxfleet.Millis
}

// NewProof returns a proof that holds for bound after each confirmation.
func NewProof(clock *waxfleet.Clock, bound waxfleet.Millis) *Proof {
	return &Proof{clock: clock, bound: bound}
}

// Confirm records a completed read that was sent at the given clock time.
func (p *Proof) Confirm(sent waxfleet.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known || sent > p.sent {
		p.sent, p.known = sent, true
	}
}

// SetBound changes the bound, when the settings are read again.
func (p *Proof) SetBound(bound waxfleet.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bound = bound
}

// Age returns the time since the last confirmation was sent, and whether there
// was one.
func (p *Proof) Age() (waxfleet.Millis, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Now() - p.sent, p.known
}

// Holds reports whether keys may be accepted now.
func (p *Proof) Holds() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && p.clock.Now()-p.sent < p.bound-Margin
}
