// Package waxsuspect tracks the requests that were running on backend servers when the
// servers died, and bans a request that repeatedly crashes its server. It does no I/O;
// instances exchange the records and merge them.
package waxsuspect

import (
	"slices"
	"strings"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// RecordTTL is the time after the last death at which a record, and thus a ban,
	// expires.
	RecordTTL waxfleet.Millis = 600_000
	// BanThreshold is the number of deaths at which a request is banned.
	BanThreshold = 2
	// MaxRecords is the maximum number of records of an instance.
	MaxRecords = 10_000
	// tombstoneTTL is the time for which an expired record is kept as a tombstone. The
	// copy of a peer expires later by the time in transit. Without tombstones, peers
	// would restore expired records for each other.
	tombstoneTTL waxfleet.Millis = 60_000
)

// deathDedupWindow is the window after a counted death in which further reports of the
// same incarnation and digest are ignored. It covers the time to probe the server.
const deathDedupWindow waxfleet.Millis = 2_000

// Record is a snapshot of the state of one request.
type Record struct {
	digest    string
	deaths    int
	cleared   int
	remaining waxfleet.Millis
}

// Digest returns the digest of the request.
func (r Record) Digest() string { return r.digest }

// Deaths returns the number of backend servers that died while they ran the
// request, including cleared deaths.
func (r Record) Deaths() int { return r.deaths }

// Cleared returns the number of deaths that no longer count, because the request
// completed later.
func (r Record) Cleared() int { return r.cleared }

// Remaining returns the time until the record expires.
func (r Record) Remaining() waxfleet.Millis { return r.remaining }

// entry is the state of one request. The counts of deaths and of cleared deaths
// never decrease except through a ban, so that records of peers can be merged
// in any order.
type entry struct {
	deaths    int
	cleared   int
	expiresAt waxfleet.Millis
	changedAt waxfleet.Millis
	// lastIncarnation is the incarnation whose death was counted last, at lastDeathAt.
	lastIncarnation string
	lastDeathAt     waxfleet.Millis
}

// unexpired reports whether the entry has not expired.
func (e entry) unexpired(now waxfleet.Millis) bool { return now < e.expiresAt }

// activeDeaths returns the deaths that were not cleared.
func (e entry) activeDeaths() int { return e.deaths - e.cleared }

// Registry holds the records of this instance. It is safe for concurrent use.
type Registry struct {
	clock *waxfleet.Clock

	mu      sync.Mutex
	entries map[string]entry
}

// New returns an empty registry.
func New(clock *waxfleet.Clock) *Registry {
	return &Registry{clock: clock, entries: make(map[string]entry)}
}

// RecordDeath counts the death of a backend server that ran the request, and returns the
// number of deaths that were not cleared. incarnation names the server incarnation that
// died. Its death counts once, even if it ran several requests with the digest. With an
// empty incarnation each call counts.
func (r *Registry) RecordDeath(digest, incarnation string) (deaths int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	e, ok := r.entries[digest]
	if !ok || !e.unexpired(now) {
		e = entry{}
	}
	if incarnation != "" && e.lastIncarnation == incarnation && now-e.lastDeathAt < deathDedupWindow {
		return e.activeDeaths()
	}
	e.deaths++
	e.lastIncarnation, e.lastDeathAt = incarnation, now
	e.expiresAt, e.changedAt = now+RecordTTL, now
	r.put(digest, e)
	return e.activeDeaths()
}

// Merge merges the record of a peer, and reports whether it changed the registry. Only
// higher counts change it: otherwise peers would extend the TTL of equal records for each
// other forever. A ban at either side prevails over cleared deaths.
func (r *Registry) Merge(digest string, deaths, cleared int, remaining waxfleet.Millis) (changed bool) {
	if deaths <= 0 || cleared < 0 || cleared > deaths || remaining <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	e, ok := r.entries[digest]
	if ok && !e.unexpired(now) {
		if remaining <= tombstoneTTL {
			return false
		}
		e = entry{}
	}
	merged := e
	merged.deaths = max(e.deaths, deaths)
	merged.cleared = max(e.cleared, cleared)
	switch {
	case e.activeDeaths() >= BanThreshold:
		merged.cleared = e.cleared
	case deaths-cleared >= BanThreshold:
		merged.cleared = cleared
	}
	if merged.deaths == e.deaths && merged.cleared == e.cleared {
		return false
	}
	if merged.deaths > e.deaths {
		merged.expiresAt = max(e.expiresAt, now+min(remaining, RecordTTL))
	}
	merged.changedAt = now
	r.put(digest, merged)
	return true
}

// Clear clears the deaths of a request that completed, and reports whether there were
// any. It doesn't lift a ban.
func (r *Registry) Clear(digest string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	e, ok := r.entries[digest]
	if !ok || !e.unexpired(now) || e.activeDeaths() == 0 || e.activeDeaths() >= BanThreshold {
		return false
	}
	e.cleared, e.changedAt = e.deaths, now
	r.entries[digest] = e
	return true
}

// Find returns the record of a request. It reports false if there is none or the record
// has expired.
func (r *Registry) Find(digest string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	e, ok := r.entries[digest]
	return e.record(digest, now), ok && e.unexpired(now)
}

func (e entry) record(digest string, now waxfleet.Millis) Record {
	return Record{digest: digest, deaths: e.deaths, cleared: e.cleared, remaining: e.expiresAt - now}
}

// Deaths returns the number of deaths of the request that were not cleared; 0 without a
// record.
func (r *Registry) Deaths(digest string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[digest]
	if !ok || !e.unexpired(r.clock.Now()) {
		return 0
	}
	return e.activeDeaths()
}

// Banned reports whether the request must not run on any server.
func (r *Registry) Banned(digest string) bool { return r.Deaths(digest) >= BanThreshold }

// Suspected reports whether the request has deaths that were not cleared.
func (r *Registry) Suspected(digest string) bool { return r.Deaths(digest) > 0 }

// Changed returns the unexpired records that changed within the given time,
// sorted by digest.
func (r *Registry) Changed(within waxfleet.Millis) []Record {
	since := r.clock.Now() - within
	return r.records(func(e entry) bool { return e.changedAt >= since })
}

// All returns the unexpired records, sorted by digest.
func (r *Registry) All() []Record {
	return r.records(func(entry) bool { return true })
}

// records returns the unexpired records whose entries match, sorted by digest.
func (r *Registry) records(match func(entry) bool) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var records []Record
	for digest, e := range r.entries {
		if e.unexpired(now) && match(e) {
			records = append(records, e.record(digest, now))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.digest, b.digest) })
	return records
}

// put stores an entry, and evicts one if a new one would exceed MaxRecords. The
// caller holds the lock.
func (r *Registry) put(digest string, e entry) {
	if _, ok := r.entries[digest]; !ok && len(r.entries) >= MaxRecords {
		r.evict()
	}
	r.entries[digest] = e
}

// evict drops the tombstones that have expired. If the registry is still full, it drops
// the entry that is first according to evictBefore. The caller holds the lock.
func (r *Registry) evict() {
	now := r.clock.Now()
	var first string
	for digest, e := range r.entries {
		if now >= e.expiresAt+tombstoneTTL {
			delete(r.entries, digest)
			continue
		}
		if first == "" || evictBefore(e, r.entries[first], now) {
			first = digest
		}
	}
	if len(r.entries) >= MaxRecords {
		delete(r.entries, first)
	}
}

// evictBefore orders tombstones before unexpired entries, then by fewest active deaths,
// then by earliest expiry.
func evictBefore(a, b entry, now waxfleet.Millis) bool {
	if a.unexpired(now) != b.unexpired(now) {
		return !a.unexpired(now)
	}
	if a.activeDeaths() != b.activeDeaths() {
		return a.activeDeaths() < b.activeDeaths()
	}
	return a.expiresAt < b.expiresAt
}
