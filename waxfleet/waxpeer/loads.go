// Package waxpeer exchanges the requests in flight between instances by
// datagrams, so that each decides on the load of the whole fleet.
package waxpeer

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// silence is how long the counts of a silent instance or failure domain are
	// used, in ms. It covers a few lost datagrams; the work of an instance that died
	// ends with it.
	silence waxfleet.Millis = 2_500
	// relayAge is the age up to which the counts of another failure domain are
	// passed on, in ms.
	relayAge waxfleet.Millis = 1_000
)

// HashOf returns the hash under which a name stands in datagrams.
func HashOf(name string) uint64 { return xxhash.Sum64String(name) }

// ServerHash returns the short hash of a backend server's name. Two servers with
// one hash would count each other's load, which is harmless.
func ServerHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Count is what one or more instances have at one backend server.
type Count struct {
	// InFlight is the number of requests there.
	InFlight int
	// Pending is the number of prompt tokens of those whose answers have not begun.
	Pending int
}

// counts holds the counts of an instance or of a failure domain.
type counts struct {
	at       waxfleet.Millis
	byServer map[uint32]Count
	// direct is true when they came from an instance of that failure domain.
	direct bool
}

// report is the last datagram of one instance.
type report struct {
	counts
	incarnation int64
	sequence    uint64
	revisions   []uint64
	// storeAnswers is true when the store answered the instance's own calls.
	storeAnswers bool
}

// Loads holds the counts of all other instances: those of the own group one by
// one, those of other failure domains as sums. It is safe for concurrent use.
type Loads struct {
	clock  *waxfleet.Clock
	domain uint64

	mu      sync.Mutex
	reports map[uint64]report
	domains map[uint64]counts
}

// NewLoads returns an empty table for an instance of the failure domain.
func NewLoads(clock *waxfleet.Clock, failureDomain string) *Loads {
	return &Loads{clock: clock, domain: HashOf(failureDomain), reports: map[uint64]report{}, domains: map[uint64]counts{}}
}

// Merge applies a datagram and reports whether its sender is a new incarnation of
// an instance of the own group.
func (l *Loads) Merge(d *waxwire.LoadDatagram) (started bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	old, known := l.reports[d.GetInstance()]
	late := d.GetIncarnation() < old.incarnation ||
		d.GetIncarnation() == old.incarnation && d.GetSequence() <= old.sequence
	// An instance whose time of day was set back starts with a lower incarnation;
	// its datagrams count once the earlier one has fallen silent.
	if known && late && now-old.at < silence {
		return false
	}
	r := report{incarnation: d.GetIncarnation(), sequence: d.GetSequence(), revisions: d.GetRevisions(), storeAnswers: d.GetStoreAnswers()}
	r.at = now
	r.byServer = decode(d.GetOwn())
	l.reports[d.GetInstance()] = r
	for _, c := range d.GetDomains() {
		if c.GetDomain() == l.domain {
			continue
		}
		at := now - waxfleet.Millis(max(c.GetAgeMs(), 0))
		if at > l.domains[c.GetDomain()].at {
			l.domains[c.GetDomain()] = counts{at: at, byServer: decode(c), direct: d.GetOwn() == nil}
		}
	}
	return d.GetOwn() != nil && (!known || old.incarnation != r.incarnation)
}

func decode(c *waxwire.Counts) map[uint32]Count {
	out := make(map[uint32]Count, len(c.GetServers()))
	for i, server := range c.GetServers() {
		var one Count
		if i < len(c.GetInFlight()) {
			one.InFlight = int(c.GetInFlight()[i])
		}
		if i < len(c.GetPendingTokens()) {
			one.Pending = int(c.GetPendingTokens()[i])
		}
		out[server] = one
	}
	return out
}

func encode(domain uint64, age waxfleet.Millis, byServer map[uint32]Count) *waxwire.Counts {
	c := &waxwire.Counts{Domain: domain, AgeMs: int64(age)}
	for server, one := range byServer {
		if one.InFlight <= 0 {
			continue
		}
		c.Servers = append(c.Servers, server)
		c.InFlight = append(c.InFlight, uint32(one.InFlight))
		c.PendingTokens = append(c.PendingTokens, uint32(max(one.Pending, 0)))
	}
	return c
}

func add(out, more map[uint32]Count) {
	for server, c := range more {
		sum := out[server]
		sum.InFlight += c.InFlight
		sum.Pending += c.Pending
		out[server] = sum
	}
}

// Counts returns what all other instances that were heard lately have at the
// backend servers, by the hash of their names.
func (l *Loads) Counts() map[uint32]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, out := l.clock.Now(), l.group()
	for _, c := range l.domains {
		if now-c.at < silence {
			add(out, c.byServer)
		}
	}
	return out
}

// group sums the counts of the instances that report one by one. The caller holds
// the lock.
func (l *Loads) group() map[uint32]Count {
	now, out := l.clock.Now(), map[uint32]Count{}
	for _, r := range l.reports {
		if now-r.at < silence {
			add(out, r.byServer)
		}
	}
	return out
}

// domainSum returns the counts of the own failure domain with the own ones.
func (l *Loads) domainSum(own map[uint32]Count) *waxwire.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.group()
	add(sum, own)
	return encode(l.domain, 0, sum)
}

// relayed returns the counts of other failure domains that came from there
// directly, for the instances of the own one.
func (l *Loads) relayed() []*waxwire.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*waxwire.Counts
	now := l.clock.Now()
	for domain, c := range l.domains {
		if c.direct && now-c.at < relayAge {
			out = append(out, encode(domain, now-c.at, c.byServer))
		}
	}
	return out
}

// Heard returns the number of instances that were heard lately, and the age of
// the oldest counts in use.
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
	for _, c := range l.domains {
		if age := now - c.at; age < silence {
			oldest = max(oldest, age)
		}
	}
	return instances, oldest
}

// Alive reports whether the instance with the name was heard lately.
func (l *Loads) Alive(name string) bool { return l.heard(name, silence) }

// heard reports whether the instance with the name was heard within the given time.
func (l *Loads) heard(name string, within waxfleet.Millis) bool {
	_, ok := l.recent(name, within)
	return ok
}

// recent returns the last report of the instance with the name if it came within
// the given time.
func (l *Loads) recent(name string, within waxfleet.Millis) (report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.reports[HashOf(name)]
	return r, ok && l.clock.Now()-r.at < within
}

// sumsOlder reports whether the sums of a failure domain were once heard, and not
// within the given time.
func (l *Loads) sumsOlder(domain string, than waxfleet.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.domains[HashOf(domain)]
	return ok && l.clock.Now()-c.at >= than
}

// Answered reports whether the instance with the name was heard within the given
// time and has answers of the store.
func (l *Loads) Answered(name string, within waxfleet.Millis) bool {
	r, ok := l.recent(name, within)
	return ok && r.storeAnswers
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

// StoreAnswers reports whether an instance that was heard lately has answers of
// the store.
func (l *Loads) StoreAnswers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, r := range l.reports {
		if r.storeAnswers && now-r.at < silence {
			return true
		}
	}
	return false
}
