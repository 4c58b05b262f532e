// Package waxpeer exchanges the numbers of requests in flight between router instances in
// UDP datagrams, so that each instance routes by the load of the whole fleet. The
// datagrams also carry cache entries, evidence about requests that crash servers, and the
// feed revisions that an instance has seen.
package waxpeer

import (
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// peerTimeout is the age up to which the counts of an instance or a failure domain
	// are used. It tolerates a few lost datagrams. The requests of an instance that died
	// end with it.
	peerTimeout waxfleet.Millis = 2_500
	// maxRelayAge is the maximum age of the totals of another failure domain that are
	// relayed.
	maxRelayAge waxfleet.Millis = 1_000
	// maxFormer is the number of ended incarnations of an instance that are remembered. Late
	// datagrams are those of the last one or two.
	maxFormer = 4
	// maxWorkPerRequest bounds what an instance tells of the work left, in tokens or ms for
	// each request.
	maxWorkPerRequest = 100_000
)

// NameHash returns the hash that stands for the name of an instance or a failure domain
// in datagrams.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }

// ServerHash returns the short hash that stands for a backend server's name in
// datagrams. Servers with colliding hashes count each other's load, which is harmless.
func ServerHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// ServerLoad is the load that one or more instances put on a backend server.
type ServerLoad struct {
	// InFlight is the number of requests in flight.
	InFlight int
	// PendingTokens is the number of prompt tokens of the requests whose responses have
	// not started.
	PendingTokens int
	// ExpectedOutput is the work that the requests are expected to leave: output tokens, or ms
	// of service time of plain services. It is known for WorkTold of the requests.
	ExpectedOutput int
	WorkTold       int
}

// counts is the load of an instance or of a failure domain.
type counts struct {
	asOf     waxfleet.Millis
	byServer map[uint32]ServerLoad
	// direct is true when an instance of that failure domain sent the counts, and false
	// when an instance of the own one relayed them.
	direct bool
}

// report is the content of an instance's latest datagram.
type report struct {
	counts
	incarnation int64
	// former holds the incarnations before, the latest one last.
	former    []int64
	sequence  uint64
	revisions []waxfleet.Revision
	// ages holds the ages of the copies of the feeds; -1 for those that are not known.
	ages []waxfleet.Millis
	// configVersion is the version of the configuration in force at the instance.
	configVersion uint64
	// storeReachable is true when the store responded to the instance.
	storeReachable bool
	// unreachableServices holds the services from all of whose servers the instance is cut
	// off.
	unreachableServices []uint64
	// abilities holds what the instance does for others.
	abilities []waxwire.Ability
}

// Loads holds the load of all other instances: one report for each instance of the own
// group, and the totals of the other failure domains. It is safe for concurrent use.
type Loads struct {
	clock      *waxfleet.Clock
	domainHash uint64

	mu      sync.Mutex
	reports map[uint64]report
	domains map[uint64]counts
}

// NewLoads returns an empty table for an instance of the failure domain.
func NewLoads(clock *waxfleet.Clock, failureDomain string) *Loads {
	return &Loads{
		clock:      clock,
		domainHash: NameHash(failureDomain),
		reports:    map[uint64]report{},
		domains:    map[uint64]counts{},
	}
}

// Merge applies a datagram. It reports whether the sender belongs to the own group and is
// new or has restarted since its last datagram.
func (l *Loads) Merge(d *waxwire.LoadDatagram) (started bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	last, known := l.reports[d.GetInstance()]
	// Incarnations are start times of the wall clock, which may have been set back: a lower one
	// that is not known to have ended is a new one.
	stale := slices.Contains(last.former, d.GetIncarnation()) ||
		d.GetIncarnation() == last.incarnation && d.GetSequence() <= last.sequence
	if known && stale && now-last.asOf < peerTimeout {
		return false
	}
	r := report{
		incarnation:    d.GetIncarnation(),
		sequence:       d.GetSequence(),
		revisions:      decodeRevisions(d.GetRevisions()),
		ages:           decodeAges(d.GetAgesMs()),
		configVersion:  d.GetConfigVersion(),
		storeReachable: d.GetStoreAnswers(),

		unreachableServices: d.GetUnreachableServices(),
		abilities:           d.GetAbilities(),
	}
	r.former = last.former
	if known && last.incarnation != r.incarnation {
		r.former = append(slices.Clone(last.former), last.incarnation)
		r.former = r.former[max(0, len(r.former)-maxFormer):]
	}
	r.asOf = now
	r.byServer = decodeCounts(d.GetOwn())
	l.reports[d.GetInstance()] = r
	for _, c := range d.GetDomains() {
		if c.GetDomain() == l.domainHash {
			continue
		}
		at := now - waxfleet.Millis(max(c.GetAgeMs(), 0))
		if at > l.domains[c.GetDomain()].asOf {
			l.domains[c.GetDomain()] = counts{asOf: at, byServer: decodeCounts(c), direct: d.GetOwn() == nil}
		}
	}
	return d.GetOwn() != nil && (!known || last.incarnation != r.incarnation)
}

// decodeRevisions and encodeRevisions convert the revisions of a datagram.
func decodeRevisions(raw []uint64) []waxfleet.Revision {
	out := make([]waxfleet.Revision, len(raw))
	for i, r := range raw {
		out[i] = waxfleet.Revision(r)
	}
	return out
}

func encodeRevisions(revisions []waxfleet.Revision) []uint64 {
	out := make([]uint64, len(revisions))
	for i, r := range revisions {
		out[i] = uint64(r)
	}
	return out
}

// decodeAges and encodeAges convert the ages of a datagram.
func decodeAges(raw []int64) []waxfleet.Millis {
	out := make([]waxfleet.Millis, len(raw))
	for i, age := range raw {
		out[i] = waxfleet.Millis(age)
	}
	return out
}

func encodeAges(ages []waxfleet.Millis) []int64 {
	out := make([]int64, len(ages))
	for i, age := range ages {
		out[i] = int64(age)
	}
	return out
}

// decodeCounts returns the load by backend server, keyed by ServerHash.
func decodeCounts(c *waxwire.Counts) map[uint32]ServerLoad {
	out := make(map[uint32]ServerLoad, len(c.GetServers()))
	for i, server := range c.GetServers() {
		var load ServerLoad
		if i < len(c.GetInFlight()) {
			load.InFlight = int(c.GetInFlight()[i])
		}
		if i < len(c.GetPendingTokens()) {
			load.PendingTokens = int(c.GetPendingTokens()[i])
		}
		if i < len(c.GetExpectedOutput()) && c.GetExpectedOutput()[i] > 0 {
			load.ExpectedOutput = min(int(c.GetExpectedOutput()[i]), maxWorkPerRequest*load.InFlight)
			load.WorkTold = load.InFlight
		}
		out[server] = load
	}
	return out
}

// encodeCounts returns the counts in wire format. It leaves out idle servers. Work that is
// known for some of the requests at a server is told as if the others left as much.
func encodeCounts(domain uint64, age waxfleet.Millis, byServer map[uint32]ServerLoad) *waxwire.Counts {
	c := &waxwire.Counts{Domain: domain, AgeMs: int64(age)}
	anyTold := false
	for server, load := range byServer {
		if load.InFlight <= 0 {
			continue
		}
		work := 0
		if load.WorkTold > 0 {
			anyTold = true
			work = max(load.ExpectedOutput*load.InFlight/load.WorkTold, 1)
		}
		c.ExpectedOutput = append(c.ExpectedOutput, uint32(min(work, math.MaxUint32)))
		c.Servers = append(c.Servers, server)
		c.InFlight = append(c.InFlight, uint32(load.InFlight))
		c.PendingTokens = append(c.PendingTokens, uint32(max(load.PendingTokens, 0)))
	}
	if !anyTold {
		c.ExpectedOutput = nil
	}
	return c
}

// addCounts adds the counts to the total.
func addCounts(total, counts map[uint32]ServerLoad) {
	for server, c := range counts {
		sum := total[server]
		sum.InFlight += c.InFlight
		sum.PendingTokens += c.PendingTokens
		sum.ExpectedOutput += c.ExpectedOutput
		sum.WorkTold += c.WorkTold
		total[server] = sum
	}
}

// Counts returns the load that all other instances heard from within peerTimeout put on
// the backend servers, keyed by ServerHash.
func (l *Loads) Counts() map[uint32]ServerLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, out := l.clock.Now(), l.groupCounts()
	for _, c := range l.domains {
		if now-c.asOf < peerTimeout {
			addCounts(out, c.byServer)
		}
	}
	return out
}

// groupCounts returns the total load of the instances that send reports. The caller
// holds the lock.
func (l *Loads) groupCounts() map[uint32]ServerLoad {
	now, out := l.clock.Now(), map[uint32]ServerLoad{}
	for _, r := range l.reports {
		if now-r.asOf < peerTimeout {
			addCounts(out, r.byServer)
		}
	}
	return out
}

// domainTotal returns the total load of the own failure domain, with that of this
// instance.
func (l *Loads) domainTotal(own map[uint32]ServerLoad) *waxwire.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.groupCounts()
	addCounts(sum, own)
	return encodeCounts(l.domainHash, 0, sum)
}

// relayCounts returns the totals that other failure domains sent to this instance
// directly, for relaying them within the own one.
func (l *Loads) relayCounts() []*waxwire.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*waxwire.Counts
	now := l.clock.Now()
	for domain, c := range l.domains {
		if c.direct && now-c.asOf < maxRelayAge {
			out = append(out, encodeCounts(domain, now-c.asOf, c.byServer))
		}
	}
	return out
}

// ReportStats returns the number of instances heard from within peerTimeout, and the age
// of the oldest counts in use.
func (l *Loads) ReportStats() (instances int, oldest waxfleet.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, r := range l.reports {
		if age := now - r.asOf; age < peerTimeout {
			instances++
			oldest = max(oldest, age)
		}
	}
	for _, c := range l.domains {
		if age := now - c.asOf; age < peerTimeout {
			oldest = max(oldest, age)
		}
	}
	return instances, oldest
}

// Alive reports whether the named instance was heard from within peerTimeout.
func (l *Loads) Alive(name string) bool { return l.heardWithin(name, peerTimeout) }

// heardWithin reports whether the named instance was heard from within the timeout.
func (l *Loads) heardWithin(name string, timeout waxfleet.Millis) bool {
	_, ok := l.recentReport(name, timeout)
	return ok
}

// recentReport returns the latest report of the named instance, and whether it arrived
// within the timeout.
func (l *Loads) recentReport(name string, timeout waxfleet.Millis) (report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.reports[NameHash(name)]
	return r, ok && l.clock.Now()-r.asOf < timeout
}

// totalsStale reports whether the failure domain has sent totals before, but not within
// the timeout.
func (l *Loads) totalsStale(domain string, timeout waxfleet.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.domains[NameHash(domain)]
	return ok && l.clock.Now()-c.asOf >= timeout
}

// ReachesStore reports whether the named instance was heard from within the timeout and
// reaches the store.
func (l *Loads) ReachesStore(name string, timeout waxfleet.Millis) bool {
	r, ok := l.recentReport(name, timeout)
	return ok && r.storeReachable
}

// FeedState is what an instance has told of its copy of a feed.
type FeedState struct {
	// Age is the age of the copy against the store, up to now; -1 if it is not known.
	Age waxfleet.Millis
	// Revision is the revision of the latest change in the copy.
	Revision waxfleet.Revision
}

// Feeds returns what the named instance, if it was heard from within peerTimeout, has told of
// its copies of the first n feeds.
func (l *Loads) Feeds(name string, n int) []FeedState {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.reports[NameHash(name)]
	since := l.clock.Now() - r.asOf
	known := ok && since < peerTimeout
	out := make([]FeedState, n)
	for i := range out {
		out[i].Age = -1
		if known && i < len(r.ages) && i < len(r.revisions) && r.ages[i] >= 0 {
			out[i] = FeedState{Age: r.ages[i] + since, Revision: r.revisions[i]}
		}
	}
	return out
}

// recordsOrigins reports whether the named instance was heard from within the timeout,
// reaches the store and writes origins to it.
func (l *Loads) recordsOrigins(name string, timeout waxfleet.Millis) bool {
	r, ok := l.recentReport(name, timeout)
	return ok && r.storeReachable && slices.Contains(r.abilities, waxwire.Ability_ABILITY_RECORDS_ORIGINS)
}

// Able reports whether the named instance, heard from within peerTimeout, says that it has an
// ability.
func (l *Loads) Able(name string, a waxwire.Ability) bool {
	r, ok := l.recentReport(name, peerTimeout)
	return ok && slices.Contains(r.abilities, a)
}

// reachesService reports whether the named instance was heard from within the timeout and
// is not cut off from all servers of the service.
func (l *Loads) reachesService(name string, service uint64, timeout waxfleet.Millis) bool {
	r, ok := l.recentReport(name, timeout)
	return ok && !slices.Contains(r.unreachableServices, service)
}

// ServiceLinks returns how many instances heard from within peerTimeout reach servers of the
// service, and how many are cut off from all of them.
func (l *Loads) ServiceLinks(service uint64) (reaching, cutOff int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, r := range l.reports {
		switch {
		case now-r.asOf >= peerTimeout:
		case slices.Contains(r.unreachableServices, service):
			cutOff++
		default:
			reaching++
		}
	}
	return reaching, cutOff
}

// Revisions returns the highest revision of a change that another instance has seen, for
// each feed in the order of the datagrams.
func (l *Loads) Revisions() []waxfleet.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []waxfleet.Revision
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

// ConfigVersion returns the highest version of the configuration that is in force at an
// instance that was heard from within peerTimeout; 0 if none was.
func (l *Loads) ConfigVersion() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var newest uint64
	for _, r := range l.reports {
		if now-r.asOf < peerTimeout {
			newest = max(newest, r.configVersion)
		}
	}
	return newest
}

// StoreReachable reports whether any instance that was heard from within peerTimeout
// reaches the store.
func (l *Loads) StoreReachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, r := range l.reports {
		if r.storeReachable && now-r.asOf < peerTimeout {
			return true
		}
	}
	return false
}
