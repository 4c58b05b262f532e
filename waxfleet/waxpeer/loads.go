// Package waxpeer exchanges the requests in flight between instances by
// datagrams, so that each decides on the load of the whole fleet.
package waxpeer

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
)

// silence is how long the counts of a silent instance are used, in ms. It covers
// a few lost datagrams; the work of an instance that died ends with it.
const silence waxfleet.Millis = 2_500

// HashOf returns the hash under which a name stands in datagrams.
func HashOf(name string) uint64 { return xxhash.Sum64String(name) }

// ServerHash returns the short hash of a backend server's name. Two servers with
// one hash would count each other's load, which is harmless.
func ServerHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// report is the last datagram of one instance.
type report struct {
	incarnation int64
	sequence    uint64
	at          waxfleet.Millis
	counts      map[uint32]Count
	revisions   []uint64
}

// Count is what an instance has at one backend server.
type Count struct {
	// InFlight is the number of its requests there.
	InFlight int
	// Pending is the number of prompt tokens of those whose answers have not begun.
	Pending int
}

// Loads holds the counts of all other instances. It is safe for concurrent use.
type Loads struct {
	clock *waxfleet.Clock

	mu      sync.Mutex
	reports map[uint64]report
}

// NewLoads returns an empty table.
func NewLoads(clock *waxfleet.Clock) *Loads {
	return &Loads{clock: clock, reports: map[uint64]report{}}
}

// Take applies the counts of a datagram and reports whether its sender is a new
// incarnation.
func (l *Loads) Take(d *waxwire.LoadDatagram) (started bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.reports[d.GetInstance()]
	if known && (d.GetIncarnation() < old.incarnation ||
		d.GetIncarnation() == old.incarnation && d.GetSequence() <= old.sequence) {
		return false
	}
	r := report{
		incarnation: d.GetIncarnation(), sequence: d.GetSequence(), at: l.clock.Now(),
		revisions: d.GetRevisions(),
		counts:    make(map[uint32]Count, len(d.GetServers())),
	}
	for i, server := range d.GetServers() {
		var c Count
		if i < len(d.GetInFlight()) {
			c.InFlight = int(d.GetInFlight()[i])
		}
		if i < len(d.GetPendingTokens()) {
			c.Pending = int(d.GetPendingTokens()[i])
		}
		r.counts[server] = c
	}
	l.reports[d.GetInstance()] = r
	return !known || old.incarnation != r.incarnation
}

// Counts returns what all other instances that were heard lately have at the
// backend servers, by the hash of their names.
func (l *Loads) Counts() map[uint32]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, out := l.clock.Now(), map[uint32]Count{}
	for _, r := range l.reports {
		if now-r.at >= silence {
			continue
		}
		for server, c := range r.counts {
			sum := out[server]
			sum.InFlight += c.InFlight
			sum.Pending += c.Pending
			out[server] = sum
		}
	}
	return out
}

// Heard returns the number of instances that were heard lately, and the age of
// the oldest of their counts.
func (l *Loads) Heard() (instances int, oldest waxfleet.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, r := range l.reports {
		if age := now - r.at; age < silence {
			instances++
			oldest = max(oldest, age)
		}
	}
	return instances, oldest
}

// Alive reports whether the instance with the name was heard lately.
func (l *Loads) Alive(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.reports[HashOf(name)]
	return ok && l.clock.Now()-r.at < silence
}

// Revisions returns the highest revisions that other instances have seen changes
// at, in the order of the feeds.
func (l *Loads) Revisions() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []uint64
	for _, r := range l.reports {
		for i, revision := range r.revisions {
			if i == len(out) {
				out = append(out, 0)
			}
			out[i] = max(out[i], revision)
		}
	}
	return out
}
