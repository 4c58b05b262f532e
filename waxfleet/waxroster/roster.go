// Package waxroster keeps what the registry of router instances says: which instances share
// the limits of the fleet, which of them were told to stop, and which entries were left behind
// by instances that have ended. It does no I/O.
package waxroster

import (
	"maps"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// stopMargin is the time after the grace period after which an instance that was told to
	// stop has ended.
	stopMargin waxfleet.Millis = 2_000
	// leftBehindPeriod is the time after which the entry of an instance that was told to stop,
	// and did not come back, is deleted. Meanwhile it is the record of what the instance knew:
	// the time exceeds that for which software versions are remembered, and others have
	// written the bans by then.
	leftBehindPeriod waxfleet.Millis = 150_000
)

// Member is an instance in the registry.
type Member struct {
	name     string
	entry    waxfleet.PeerEntry
	revision waxfleet.Revision
	// stoppingSince is the time at which the entry was first seen to say that the instance was
	// told to stop.
	stoppingSince waxfleet.Millis
}

// Name returns the name of the instance.
func (m Member) Name() string { return m.name }

// Entry returns the entry of the instance.
func (m Member) Entry() waxfleet.PeerEntry { return m.entry }

// Revision returns the revision of the entry.
func (m Member) Revision() waxfleet.Revision { return m.revision }

// ended reports whether the instance has ended since it was told to stop.
func (m Member) ended(now, grace waxfleet.Millis) bool {
	return m.entry.Stopping && now-m.stoppingSince >= grace+stopMargin
}

// Roster holds the entries of the registry. It is safe for concurrent use.
type Roster struct {
	clock *waxfleet.Clock
	self  string
	// grace returns the time for which an instance that was told to stop may go on.
	grace func() waxfleet.Millis

	mu      sync.Mutex
	members map[string]Member
	// names holds the names of the instances that have not ended.
	names []string
	read  bool
	// preceded is true if the registry held an entry of this instance when it was read first.
	preceded bool
}

// New returns the roster of the instance self, which lists that one alone until the registry is
// read.
func New(clock *waxfleet.Clock, self string, grace func() waxfleet.Millis) *Roster {
	return &Roster{clock: clock, self: self, grace: grace, members: map[string]Member{}, names: []string{self}}
}

// Apply applies a batch of the registry.
func (r *Roster) Apply(b waxfleet.Batch[waxfleet.PeerEntry]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.members
	r.members = map[string]Member{}
	if !b.Full {
		maps.Copy(r.members, before)
	}
	first := b.Full && !r.read
	r.read = r.read || b.Full
	for _, record := range b.Records {
		if record.Deleted || !record.Decoded {
			delete(r.members, record.Name)
			continue
		}
		m := Member{name: record.Name, entry: record.Value, revision: record.Revision, stoppingSince: r.clock.Now()}
		old := r.members[record.Name]
		if b.Full {
			old = before[record.Name]
		}
		if old.entry.Stopping {
			m.stoppingSince = old.stoppingSince
		}
		r.members[record.Name] = m
	}
	if first {
		_, r.preceded = r.members[r.self]
	}
	r.refresh()
}

// Refresh drops the instances that have ended since they were told to stop. It reports whether
// there were any.
func (r *Roster) Refresh() (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refresh()
}

// refresh sets names, and reports whether it has changed. The caller holds the lock.
func (r *Roster) refresh() (changed bool) {
	names := []string{r.self}
	for _, m := range r.present() {
		if m.name != r.self {
			names = append(names, m.name)
		}
	}
	changed = !slices.Equal(names, r.names)
	r.names = names
	return changed
}

// present returns the instances that have not ended, in the order of their names. The caller
// holds the lock.
func (r *Roster) present() []Member {
	now, grace := r.clock.Now(), r.grace()
	var out []Member
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		if m := r.members[name]; !m.ended(now, grace) {
			out = append(out, m)
		}
	}
	return out
}

// Names returns the names of the instances that share the limits of the fleet, this one among
// them. Instances that were told to stop go on sending requests until they end.
func (r *Roster) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names
}

// Present returns the instances that have not ended.
func (r *Roster) Present() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.present()
}

// Own returns the entry of this instance that the registry holds, as far as known, and reports
// whether the registry was read. The revision of an entry that was written since is 0.
func (r *Roster) Own() (own Member, read bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[r.self], r.read
}

// RecordWritten records that the registry holds a new entry of this instance.
func (r *Roster) RecordWritten(entry waxfleet.PeerEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members[r.self] = Member{name: r.self, entry: entry, stoppingSince: r.clock.Now()}
}

// Read reports whether the registry was read.
func (r *Roster) Read() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// Preceded reports whether an earlier process of this instance may have sent requests, as far as
// known: the registry was not read, or it held an entry of the instance.
func (r *Roster) Preceded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.read || r.preceded
}

// Alone reports whether the registry was read and lists no other instance.
func (r *Roster) Alone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read && len(r.names) == 1
}

// LeftBehind returns the members whose entries are no longer needed.
func (r *Roster) LeftBehind() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var out []Member
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[name]
		if m.entry.Stopping && name != r.self && m.revision != 0 && now-m.stoppingSince >= leftBehindPeriod {
			out = append(out, m)
		}
	}
	return out
}
