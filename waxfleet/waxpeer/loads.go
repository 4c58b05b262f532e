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

// serverHash returns the short hash of a backend server's name. Two servers with
// one hash would count each other's load, which is harmless.
func serverHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// report is the last datagram of one instance.
type report struct {
	incarnation int64
	sequence    uint64
	at          waxfleet.Millis
	inFlight    map[uint32]int
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

// Take applies a datagram and reports whether it was newer than the last one.
func (l *Loads) Take(d *waxwire.LoadDatagram) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.reports[d.GetInstance()]
	if known && (d.GetIncarnation() < old.incarnation ||
		d.GetIncarnation() == old.incarnation && d.GetSequence() <= old.sequence) {
		return false
	}
	r := report{
		incarnation: d.GetIncarnation(), sequence: d.GetSequence(), at: l.clock.Now(),
		inFlight: make(map[uint32]int, len(d.GetServers())),
	}
	for i, server := range d.GetServers() {
		if i < len(d.GetInFlight()) {
			r.inFlight[server] = int(d.GetInFlight()[i])
		}
	}
	l.reports[d.GetInstance()] = r
	return true
}

// InFlight returns the requests in flight at a backend server from all other
// instances that were heard lately.
func (l *Loads) InFlight(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	hash, now, n := serverHash(id), l.clock.Now(), 0
	for _, r := range l.reports {
		if now-r.at < silence {
			n += r.inFlight[hash]
		}
	}
	return n
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
