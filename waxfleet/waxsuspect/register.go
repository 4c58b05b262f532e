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

// sameDeath is how long after the first notice further requests with the same
// digest notice one death. It covers the probe of a backend server.
const sameDeath waxfleet.Millis = 2_000

// Record is what the register knows of one request.
type Record struct {
	digest    string
	deaths    int
	cleared   int
	remaining waxfleet.Millis
}

// Digest returns the digest of the request.
func (r Record) Digest() string { return r.digest }

// Deaths returns the number of backend servers that died while they ran it.
func (r Record) Deaths() int { return r.deaths }

// Cleared returns how many of the deaths no longer count, because the request
// completed afterwards.
func (r Record) Cleared() int { return r.cleared }

// Remaining returns the remaining life of the record.
func (r Record) Remaining() waxfleet.Millis { return r.remaining }

// entry counts deaths and those that were cleared. Both only grow, so that
// records of peers can be merged in any order.
type entry struct {
	deaths  int
	cleared int
	expires waxfleet.Millis
	changed waxfleet.Millis
	// life names the incarnation whose death was counted last, and died its time.
	life string
	died waxfleet.Millis
}

// live reports whether the entry has not expired.
func (e entry) live(now waxfleet.Millis) bool { return now < e.expires }

// counted returns the deaths that count.
func (e entry) counted() int { return e.deaths - e.cleared }

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
// the deaths that count so far. life names the incarnation that died: several
// requests with one digest there count it once. Without a name each is counted.
func (r *Register) Died(digest, life string) (deaths int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	e, ok := r.entries[digest]
	if !ok || !e.live(now) {
		e = entry{}
	}
	if life != "" && e.life == life && now-e.died < sameDeath {
		return e.counted()
	}
	e.deaths++
	e.life, e.died = life, now
	e.expires, e.changed = now+Lifetime, now
	r.put(digest, e)
	return e.counted()
}

// Merge takes a peer's record and reports whether it was news. Only higher
// numbers are: equal records would renew each other's life forever. A ban of the
// peer is a ban here, whatever was cleared.
func (r *Register) Merge(digest string, deaths, cleared int, remaining waxfleet.Millis) (changed bool) {
	if deaths <= 0 || cleared < 0 || cleared > deaths || remaining <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	e, ok := r.entries[digest]
	if ok && !e.live(now) {
		if remaining <= echoGrace {
			return false
		}
		e = entry{}
	}
	merged := e
	merged.deaths = max(e.deaths, deaths)
	merged.cleared = max(e.cleared, cleared)
	switch {
	case e.counted() >= BanDeaths:
		merged.cleared = e.cleared
	case deaths-cleared >= BanDeaths:
		merged.cleared = cleared
	}
	if merged.deaths == e.deaths && merged.cleared == e.cleared {
		return false
	}
	if merged.deaths > e.deaths {
		merged.expires = max(e.expires, now+min(remaining, Lifetime))
	}
	merged.changed = now
	r.put(digest, merged)
	return true
}

// Clear drops the suspicion against a request that completed, and reports
// whether there was one. A ban stays.
func (r *Register) Clear(digest string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	e, ok := r.entries[digest]
	if !ok || !e.live(now) || e.counted() == 0 || e.counted() >= BanDeaths {
		return false
	}
	e.cleared, e.changed = e.deaths, now
	r.entries[digest] = e
	return true
}

// Find returns the live record of a request.
func (r *Register) Find(digest string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	e, ok := r.entries[digest]
	return e.record(digest, now), ok && e.live(now)
}

func (e entry) record(digest string, now waxfleet.Millis) Record {
	return Record{digest: digest, deaths: e.deaths, cleared: e.cleared, remaining: e.expires - now}
}

// Deaths returns the deaths that count against the request.
func (r *Register) Deaths(digest string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[digest]
	if !ok || !e.live(r.clock.Now()) {
		return 0
	}
	return e.counted()
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
			records = append(records, e.record(digest, now))
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
	if a.counted() != b.counted() {
		return a.counted() < b.counted()
	}
	return a.expires < b.expires
}
