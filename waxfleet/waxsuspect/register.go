// Package waxsuspect remembers the requests that were in flight when backend
// servers died, so that one request can't end server after server. It does no
// I/O; peers exchange the records.
package waxsuspect

import (
	"slices"
	"strings"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// Lifetime is how long a record is kept after the last death; a ban lasts as
	// long.
	Lifetime waxfleet.Millis = 600_000
	// BanDeaths is the number of deaths that bans a request.
	BanDeaths = 2
	// MaxRecords bounds the register.
	MaxRecords = 10_000
	// echoGrace is how long an expired or cleared record is remembered. A peer's
	// copy expires later by the time that its message took, and without the grace
	// peers would bring expired records back to each other.
	echoGrace waxfleet.Millis = 60_000
)

// Record is what the register knows of one request.
type Record struct {
	digest    string
	deaths    int
	remaining waxfleet.Millis
}

// Digest returns the digest of the request.
func (r Record) Digest() string { return r.digest }

// Deaths returns the number of backend servers that died while they ran it.
func (r Record) Deaths() int { return r.deaths }

// Remaining returns the remaining life of the record.
func (r Record) Remaining() waxfleet.Millis { return r.remaining }

type entry struct {
	deaths  int
	cleared bool
	expires waxfleet.Millis
	changed waxfleet.Millis
}

// live reports whether the entry counts.
func (e entry) live(now waxfleet.Millis) bool { return !e.cleared && now < e.expires }

// Register holds the records of this instance.
type Register struct {
	clock *waxfleet.Clock

	mu      sync.Mutex
	entries map[string]entry
}

// New returns an empty register.
func New(clock *waxfleet.Clock) *Register {
	return &Register{clock: clock, entries: make(map[string]entry)}
}

// Died counts the death of a backend server that ran the request, and returns
// the deaths so far.
func (r *Register) Died(digest string) (deaths int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if e, ok := r.entries[digest]; ok && e.live(now) {
		deaths = e.deaths
	}
	deaths++
	r.put(digest, entry{deaths: deaths, expires: now + Lifetime, changed: now})
	return deaths
}

// Merge takes a peer's record and reports whether it was news. Only a higher
// number of deaths is: equal records would renew each other's life forever.
func (r *Register) Merge(digest string, deaths int, remaining waxfleet.Millis) (changed bool) {
	if deaths <= 0 || remaining <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	expires := now + min(remaining, Lifetime)
	e, ok := r.entries[digest]
	switch {
	case ok && e.live(now):
		if deaths <= e.deaths {
			return false
		}
		expires = max(expires, e.expires)
	case ok && e.cleared && deaths <= e.deaths:
		return false
	case ok && !e.cleared && remaining <= echoGrace:
		return false
	}
	r.put(digest, entry{deaths: deaths, expires: expires, changed: now})
	return true
}

// Clear drops the suspicion against a request that completed. A ban stays.
func (r *Register) Clear(digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[digest]
	if !ok || e.deaths >= BanDeaths {
		return
	}
	e.cleared = true
	r.entries[digest] = e
}

// Deaths returns the deaths that count against the request.
func (r *Register) Deaths(digest string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[digest]
	if !ok || !e.live(r.clock.Now()) {
		return 0
	}
	return e.deaths
}

// Banned reports whether the request may not run anywhere.
func (r *Register) Banned(digest string) bool { return r.Deaths(digest) >= BanDeaths }

// Suspect reports whether a backend server died while it ran the request.
func (r *Register) Suspect(digest string) bool { return r.Deaths(digest) > 0 }

// Changed returns the live records that changed within the given time, by digest.
func (r *Register) Changed(within waxfleet.Millis) []Record {
	since := r.clock.Now() - within
	return r.records(func(e entry) bool { return e.changed >= since })
}

// All returns the live records, by digest.
func (r *Register) All() []Record {
	return r.records(func(entry) bool { return true })
}

func (r *Register) records(want func(entry) bool) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var records []Record
	for digest, e := range r.entries {
		if e.live(now) && want(e) {
			records = append(records, Record{digest: digest, deaths: e.deaths, remaining: e.expires - now})
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.digest, b.digest) })
	return records
}

// put stores an entry, after making room for a new one in a full register.
func (r *Register) put(digest string, e entry) {
	if _, ok := r.entries[digest]; !ok && len(r.entries) >= MaxRecords {
		r.makeRoom()
	}
	r.entries[digest] = e
}

// makeRoom drops the entries that no longer matter, or else the least important
// one: fewest deaths first, then the one that expires first.
func (r *Register) makeRoom() {
	now := r.clock.Now()
	var least string
	for digest, e := range r.entries {
		if now >= e.expires+echoGrace {
			delete(r.entries, digest)
			continue
		}
		if least == "" || lessImportant(e, r.entries[least], now) {
			least = digest
		}
	}
	if len(r.entries) >= MaxRecords {
		delete(r.entries, least)
	}
}

func lessImportant(a, b entry, now waxfleet.Millis) bool {
	if a.live(now) != b.live(now) {
		return !a.live(now)
	}
	if a.deaths != b.deaths {
		return a.deaths < b.deaths
	}
	return a.expires < b.expires
}
