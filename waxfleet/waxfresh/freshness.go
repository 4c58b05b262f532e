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

// rewritePeriod is the time within which operators write a configuration again that a
// restored store has lost.
const rewritePeriod waxfleet.Millis = 2_000

// Freshness records when the configuration was last confirmed to be current. The age of a
// confirmation counts from the time at which the read was sent, because the response
// shows the state at some time after that. It is safe for concurrent use.
//
// A store that was restored from an older copy may lack a version that revokes keys. A read
// then confirms nothing until the configuration was written in the new era, or until
// rewritePeriod has passed.
type Freshness struct {
	clock *waxfleet.Clock

	mu sync.Mutex
	// confirmedSentAt is when the latest confirmed read was sent.
	confirmedSentAt waxfleet.Millis
	// confirmed is true after the first confirmation.
	confirmed bool
	// caughtUp is true once the configuration was as new as that of other instances.
	caughtUp bool
	maxAge   waxfleet.Millis
	// version and revision are those of the configuration that the store had last.
	version  uint64
	revision waxfleet.Revision
	// withheldUntil is when reads confirm the configuration again after a restore.
	withheldUntil waxfleet.Millis
}

// NewFreshness returns a Freshness without a confirmation. maxAge is the maximum age of a
// confirmation, including DispatchMargin.
func NewFreshness(clock *waxfleet.Clock, maxAge waxfleet.Millis) *Freshness {
	return &Freshness{clock: clock, maxAge: maxAge}
}

// Observe records the version and the revision of the configuration in the store. restored
// means that the store was restored since the last call; a store that has lost the
// configuration has version 0.
func (f *Freshness) Observe(version uint64, revision waxfleet.Revision, restored bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rewritten := revision.Number() != f.revision.Number()
	switch {
	case restored && (version != f.version || !rewritten):
		f.withheldUntil = f.clock.Now() + rewritePeriod
	case rewritten:
		f.withheldUntil = 0
	}
	f.version, f.revision = version, revision
}

// Withheld reports whether reads confirm nothing for now.
func (f *Freshness) Withheld() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now() < f.withheldUntil
}

// Confirm records a successful read that was sent at the given clock time. It ignores a
// read that was sent before the latest confirmed one, and all reads while confirmations
// are withheld.
func (f *Freshness) Confirm(sentAt waxfleet.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clock.Now() < f.withheldUntil {
		return
	}
	if !f.confirmed || sentAt > f.confirmedSentAt {
		f.confirmedSentAt, f.confirmed = sentAt, true
	}
}

// CaughtUp records that the configuration is as new as that of other instances. Before, a
// process that has just started has no proof: the store may have lost the version in force.
func (f *Freshness) CaughtUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caughtUp = true
}

// SetMaxAge sets the maximum age, for example after the settings are reloaded.
func (f *Freshness) SetMaxAge(maxAge waxfleet.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxAge = maxAge
}

// Age returns the time since the latest confirmed read was sent, and whether there is a
// proof. Without one, the age is meaningless.
func (f *Freshness) Age() (waxfleet.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now() - f.confirmedSentAt, f.confirmed && f.caughtUp
}

// Fresh reports whether the confirmation is recent enough to accept API keys.
func (f *Freshness) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed && f.caughtUp && f.clock.Now()-f.confirmedSentAt < f.maxAge-DispatchMargin
}
