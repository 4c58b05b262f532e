// Package waxdirectory maintains the list of backend servers that accept new
// requests, from the entries that they register in the store. It does no I/O.
package waxdirectory

import (
	"maps"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// outageGracePeriod is the time after a store outage during which a server without an
	// entry is still used. Running servers rewrite their expired entries within two
	// seconds.
	outageGracePeriod waxfleet.Millis = 2_500
	// restoredColdWindow is the time after the evacuation of a failure domain during
	// which its servers count as cold. Their entries say so only after the next heartbeat
	// and its propagation delay.
	restoredColdWindow waxfleet.Millis = 2_500
	// staleEntryPeriod is the time after a restore of the store during which entries of
	// removed or leaving servers may be those of the copy. Running servers write theirs
	// again meanwhile, and those of others expire.
	staleEntryPeriod waxfleet.Millis = 5_000
	// removalMemory is how long a removal is remembered. It exceeds the age of copies from
	// which the store is restored.
	removalMemory waxfleet.Millis = 60_000
)

// Server is a snapshot of a backend server in the directory.
type Server struct {
	entry     waxfleet.BackendServerEntry
	revision  waxfleet.Revision
	coldUntil waxfleet.Millis
	// missing is set if the entry disappeared during a store outage.
	missing bool
	// acceptsWork is set in snapshots.
	acceptsWork bool
}

// Entry returns the entry that the server registered.
func (s Server) Entry() waxfleet.BackendServerEntry { return s.entry }

// ID returns the unique name of the server.
func (s Server) ID() string { return s.entry.Server().ID() }

// Revision returns the store revision of the entry.
func (s Server) Revision() waxfleet.Revision { return s.revision }

// Cold reports whether the server is warming up at the given time and can handle only
// little load.
func (s Server) Cold(now waxfleet.Millis) bool { return now < s.coldUntil }

// AcceptsWork reports whether the server may get new requests: it is not leaving, and its
// failure domain is not evacuated.
func (s Server) AcceptsWork() bool { return s.acceptsWork }

// Missing reports whether the entry disappeared during a store outage, so that the server
// may have stopped.
func (s Server) Missing() bool { return s.missing }

// leavesAs reports whether the server is leaving and the entry is of the same incarnation.
func (s Server) leavesAs(e waxfleet.BackendServerEntry) bool {
	return s.entry.Server().State() == waxfleet.StateLeaving &&
		e.StartUnixMilli() == s.entry.StartUnixMilli() && e.Server().Address() == s.entry.Server().Address()
}

// Change describes a change to one server of the directory.
type Change struct {
	Server waxfleet.BackendServer
	Kind   string
	// SoftwareVersion is the version of the server's software.
	SoftwareVersion string
	// Revision is the store revision of the entry or of its deletion; 0 if the entry was
	// unlisted in a full list.
	Revision waxfleet.Revision
}

// Kinds of changes.
const (
	ChangeAdded     = "added"
	ChangeRestarted = "restarted"
	ChangeLeaving   = "leaving"
	ChangeRemoved   = "removed"
	ChangeMissing   = "missing"
	ChangeReturned  = "returned"
)

// Directory holds the known backend servers. It is safe for concurrent use.
type Directory struct {
	clock *waxfleet.Clock

	mu      sync.Mutex
	servers map[string]*Server
	// evacuated holds the evacuated failure domains, including those in lostEvacuations:
	// the ones that a restored store has lost, until lostUntil.
	// evacuationsLoaded is true once they were set.
	evacuated         map[string]bool
	evacuationsLoaded bool
	lostEvacuations   map[string]bool
	lostUntil         waxfleet.Millis
	domainColdUntil   map[string]waxfleet.Millis
	loaded            bool
	storeLost         bool
	storeRecoveredAt  waxfleet.Millis
	hadOutage         bool
	// removals holds the removed servers by name.
	removals map[string]removal
	// leaving holds the start times of servers that have said in a response that they are
	// leaving, by name. Their entries may say so later, or never.
	leaving map[string]int64
	// staleEntries holds the entries of removed and leaving servers that a restored store has
	// again, until staleUntil.
	staleEntries map[string]waxfleet.Record[waxfleet.BackendServerEntry]
	staleUntil   waxfleet.Millis
}

// removal is the removal of an incarnation of a server.
type removal struct {
	startUnixMilli int64
	at             waxfleet.Millis
}

// New returns an empty Directory.
func New(clock *waxfleet.Clock) *Directory {
	return &Directory{
		clock: clock, servers: map[string]*Server{}, evacuated: map[string]bool{},
		lostEvacuations: map[string]bool{},
		domainColdUntil: map[string]waxfleet.Millis{},
		removals:        map[string]removal{},
		leaving:         map[string]int64{},
		staleEntries:    map[string]waxfleet.Record[waxfleet.BackendServerEntry]{},
	}
}

// Loaded reports whether a full list was applied.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Evacuated reports whether a failure domain is evacuated.
func (d *Directory) Evacuated(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuated[domain]
}

// EvacuationsLoaded reports whether the evacuated failure domains are known.
func (d *Directory) EvacuationsLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuationsLoaded
}

// StoreLost records the start of a store outage. Until outageGracePeriod after its end,
// servers whose entries disappear are marked as missing instead of removed.
func (d *Directory) StoreLost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeLost, d.hadOutage = true, true
}

// StoreRecovered records the end of a store outage.
func (d *Directory) StoreRecovered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeLost, d.storeRecoveredAt = false, d.clock.Now()
}

// ApplyList replaces all entries by those of a full list, and returns the changes.
func (d *Directory) ApplyList(records []waxfleet.Record[waxfleet.BackendServerEntry]) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.applyList(records)
}

// ApplyRestoredList is ApplyList for the first list after the store was restored from an
// older copy. Until servers have written their entries again, the store may lack those of
// running servers and have those of servers that are gone.
func (d *Directory) ApplyRestoredList(records []waxfleet.Record[waxfleet.BackendServerEntry]) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.hadOutage, d.storeRecoveredAt, d.staleUntil = true, now, now+staleEntryPeriod
	return d.applyList(records)
}

// applyList applies a full list. The caller holds the lock.
func (d *Directory) applyList(records []waxfleet.Record[waxfleet.BackendServerEntry]) []Change {
	clear(d.staleEntries)
	listed := map[string]bool{}
	var changes []Change
	for _, r := range records {
		listed[r.Name] = true
		if d.mayBeStale(r) {
			d.staleEntries[r.Name] = r
			continue
		}
		changes = d.upsert(changes, r)
	}
	for id, s := range d.servers {
		if !listed[id] {
			changes = d.removeOrMarkMissing(changes, s, 0)
		}
	}
	d.loaded = true
	return changes
}

// ApplyChanges applies created, updated and deleted entries in order, and returns the
// changes.
func (d *Directory) ApplyChanges(records []waxfleet.Record[waxfleet.BackendServerEntry]) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, r := range records {
		delete(d.staleEntries, r.Name)
		if !r.Deleted {
			changes = d.upsert(changes, r)
			continue
		}
		if s := d.servers[r.Name]; s != nil {
			changes = d.removeOrMarkMissing(changes, s, r.Revision)
		}
	}
	return changes
}

// mayBeStale reports whether the entry of a restored store may be an old one of a server
// that was removed since, or is leaving. The caller holds the lock.
func (d *Directory) mayBeStale(r waxfleet.Record[waxfleet.BackendServerEntry]) bool {
	if !r.Decoded || d.clock.Now() >= d.staleUntil {
		return false
	}
	if s := d.servers[r.Name]; s != nil && s.leavesAs(r.Value) {
		return r.Value.Server().State() == waxfleet.StateLive
	}
	removed, ok := d.removals[r.Name]
	return ok && removed.startUnixMilli == r.Value.StartUnixMilli()
}

// upsert adds or updates a server and appends the change, if any. It ignores an
// unreadable entry: a known server keeps its last readable one. The caller holds the
// lock.
func (d *Directory) upsert(changes []Change, r waxfleet.Record[waxfleet.BackendServerEntry]) []Change {
	if !r.Decoded {
		return changes
	}
	now := d.clock.Now()
	server := r.Value.Server()
	old := d.servers[r.Name]
	delete(d.removals, r.Name)
	s := &Server{entry: r.Value, revision: r.Revision}
	if c := r.Value.RemainingWarmup(); c > 0 {
		s.coldUntil = now + c
	}
	d.servers[r.Name] = s
	change := Change{Server: server, SoftwareVersion: r.Value.SoftwareVersion(), Revision: r.Revision}
	switch {
	case server.State() == waxfleet.StateLeaving && (old == nil || old.entry.Server().State() != waxfleet.StateLeaving):
		change.Kind = ChangeLeaving
	case old == nil:
		change.Kind = ChangeAdded
	case old.entry.StartUnixMilli() != r.Value.StartUnixMilli() || old.entry.Server().Address() != server.Address():
		change.Kind = ChangeRestarted
	case old.missing:
		change.Kind = ChangeReturned
	default:
		return changes
	}
	return append(changes, change)
}

// removeOrMarkMissing removes a server and appends the change. During a store outage and
// outageGracePeriod after it, the store may lack entries of running servers; the server
// is then only marked as missing. The caller holds the lock.
func (d *Directory) removeOrMarkMissing(changes []Change, s *Server, revision waxfleet.Revision) []Change {
	now := d.clock.Now()
	change := Change{Server: s.entry.Server(), SoftwareVersion: s.entry.SoftwareVersion(), Revision: revision}
	if d.hadOutage && (d.storeLost || now-d.storeRecoveredAt < outageGracePeriod) {
		if s.missing {
			return changes
		}
		s.missing = true
		change.Kind = ChangeMissing
		return append(changes, change)
	}
	d.remove(s)
	change.Kind = ChangeRemoved
	return append(changes, change)
}

// remove removes a server. The caller holds the lock.
func (d *Directory) remove(s *Server) {
	delete(d.servers, s.ID())
	delete(d.leaving, s.ID())
	d.removals[s.ID()] = removal{startUnixMilli: s.entry.StartUnixMilli(), at: d.clock.Now()}
}

// Sweep removes the missing servers whose entries weren't rewritten within
// outageGracePeriod after a store outage, adds those that a restored store still lists
// after staleEntryPeriod, and returns the changes.
func (d *Directory) Sweep() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	now := d.clock.Now()
	maps.DeleteFunc(d.removals, func(_ string, r removal) bool { return now-r.at >= removalMemory })
	if now >= d.staleUntil {
		for _, r := range d.staleEntries {
			changes = d.upsert(changes, r)
		}
		clear(d.staleEntries)
	}
	if d.storeLost || now < d.storeRecoveredAt+outageGracePeriod {
		return changes
	}
	for _, s := range d.servers {
		if s.missing {
			d.remove(s)
			changes = append(changes, Change{Server: s.entry.Server(), SoftwareVersion: s.entry.SoftwareVersion(), Kind: ChangeRemoved, Revision: s.revision})
		}
	}
	return changes
}

// SetEvacuated sets the evacuated failure domains, whose servers get no new requests. It
// returns the newly evacuated domains and those that are back in service.
func (d *Directory) SetEvacuated(domains map[string]bool) (evacuated, back []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.lostEvacuations, func(domain string, _ bool) bool { return domains[domain] })
	return d.setEvacuated(domains)
}

// SetRestoredEvacuated is SetEvacuated for the first list after the store was restored from
// an older copy. Evacuations that it lacks stay in force until they would have been written
// again.
func (d *Directory) SetRestoredEvacuated(domains map[string]bool) (evacuated, back []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for domain := range d.evacuated {
		if !domains[domain] {
			d.lostEvacuations[domain] = true
		}
	}
	d.lostUntil = d.clock.Now() + staleEntryPeriod
	return d.setEvacuated(domains)
}

// ExpireEvacuations ends evacuations that a restored store has lost and that were not
// written again, and returns the domains that are back in service.
func (d *Directory) ExpireEvacuations() (back []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.lostEvacuations) == 0 || d.clock.Now() < d.lostUntil {
		return nil
	}
	listed := maps.Clone(d.evacuated)
	maps.DeleteFunc(listed, func(domain string, _ bool) bool { return d.lostEvacuations[domain] })
	clear(d.lostEvacuations)
	_, back = d.setEvacuated(listed)
	return back
}

// setEvacuated sets the evacuated failure domains to those that are listed or lost. The
// caller holds the lock.
func (d *Directory) setEvacuated(listed map[string]bool) (evacuated, back []string) {
	domains := maps.Clone(listed)
	maps.Copy(domains, d.lostEvacuations)
	for domain := range domains {
		if !d.evacuated[domain] {
			evacuated = append(evacuated, domain)
		}
	}
	for domain := range d.evacuated {
		if !domains[domain] {
			back = append(back, domain)
			d.domainColdUntil[domain] = d.clock.Now() + restoredColdWindow
		}
	}
	d.evacuated, d.evacuationsLoaded = domains, true
	return evacuated, back
}

// Servers returns all servers of a service, in no particular order.
func (d *Directory) Servers(service string) []Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Server, 0, len(d.servers))
	for _, s := range d.servers {
		if s.entry.Server().Service() == service {
			out = append(out, d.snapshot(s))
		}
	}
	return out
}

// acceptsWork reports whether a server may get new requests. The caller holds
// the lock.
func (d *Directory) acceptsWork(s *Server) bool {
	server := s.entry.Server()
	if start, ok := d.leaving[server.ID()]; ok && start == s.entry.StartUnixMilli() {
		return false
	}
	return server.State() == waxfleet.StateLive && !d.evacuated[server.FailureDomain()]
}

// snapshot returns a copy of a server, which counts as cold at least as long as its
// failure domain does. The caller holds the lock.
func (d *Directory) snapshot(s *Server) Server {
	c := *s
	c.acceptsWork = d.acceptsWork(s)
	c.coldUntil = max(c.coldUntil, d.domainColdUntil[s.entry.Server().FailureDomain()])
	return c
}

// find returns an incarnation of a server, or nil. The caller holds the lock.
func (d *Directory) find(id string, startUnixMilli int64) *Server {
	if s := d.servers[id]; s != nil && s.entry.StartUnixMilli() == startUnixMilli {
		return s
	}
	return nil
}

// All returns all known servers and the evacuated failure domains, both sorted
// by name.
func (d *Directory) All() ([]Server, []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var servers []Server
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		servers = append(servers, d.snapshot(d.servers[id]))
	}
	return servers, slices.Sorted(maps.Keys(d.evacuated))
}

// AcceptsWork reports whether the incarnation may get new requests. It is called right
// before a request is sent.
func (d *Directory) AcceptsWork(id string, startUnixMilli int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.find(id, startUnixMilli)
	return s != nil && d.acceptsWork(s)
}

// RecordLeaving records that an incarnation has said in a response that it is leaving. It
// reports whether that is new.
func (d *Directory) RecordLeaving(id string, startUnixMilli int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.find(id, startUnixMilli)
	if s == nil || !d.acceptsWork(s) {
		return false
	}
	d.leaving[id] = startUnixMilli
	return true
}

// Count returns the number of known servers.
func (d *Directory) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.servers)
}

// Known reports whether the incarnation is in the directory, in any state.
func (d *Directory) Known(id string, startUnixMilli int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.find(id, startUnixMilli) != nil
}

// InService reports whether the incarnation is in the directory, isn't missing and isn't
// in an evacuated failure domain. It may be leaving.
func (d *Directory) InService(id string, startUnixMilli int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.find(id, startUnixMilli)
	return s != nil && !s.missing && !d.evacuated[s.entry.Server().FailureDomain()]
}
