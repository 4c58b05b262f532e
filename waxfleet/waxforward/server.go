package waxforward

import (
	"math"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcache"
	"waxwingdrift.org/waxfleet/waxdirectory"
	"waxwingdrift.org/waxfleet/waxlimit"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxpick"
	"waxwingdrift.org/waxfleet/waxpool"
	"waxwingdrift.org/waxfleet/waxquota"
)

// serverState is the local state of one incarnation of a backend server.
type serverState struct {
	entry waxfleet.BackendServerEntry
	pool  *waxpool.Pool
	// incarnationHash identifies the incarnation in the prefix cache index.
	incarnationHash uint32
	inFlight        int
	// pendingTokens is the number of prompt tokens in requests whose responses
	// have not started.
	pendingTokens int
	// meanLoad is the mean number of requests in flight from all instances over
	// meanLoadTime, as of meanLoadAt.
	meanLoad   float64
	meanLoadAt waxfleet.Millis
	coldBucket waxquota.TokenBucket
	// limitBucket holds this instance's share of the rate limit that the server names.
	limitBucket waxquota.TokenBucket
	health      waxpick.Health
	// start is the start time in Unix milliseconds that the server named last. The entry may
	// be older while the store is away.
	start int64
	// flights holds the requests in flight of a service that states a pace. work is what they
	// leave, as of workAt.
	flights map[*flight]struct{}
	work    float64
	workAt  waxfleet.Millis
	// pausedUntil is the end of the time for which the server wants no requests.
	pausedUntil waxfleet.Millis
	// probe is the last attempt to find out whether the server is there; nil before the first.
	probe *reachProbe
}

// meanLoadTime is the time constant of the mean load of a server: several times the age of the
// counts of other instances.
const meanLoadTime waxfleet.Millis = 1_500

// observeLoad updates and returns the mean load of the server.
func (s *serverState) observeLoad(now waxfleet.Millis, load int) float64 {
	if s.meanLoadAt == 0 {
		s.meanLoad = float64(load)
	}
	s.meanLoad += (float64(load) - s.meanLoad) * (1 - math.Exp(-float64(now-s.meanLoadAt)/float64(meanLoadTime)))
	s.meanLoadAt = now
	return s.meanLoad
}

// serviceState is the local state of a service.
type serviceState struct {
	health  waxpick.Health
	retries waxquota.RetryBudget
	link    waxpick.LinkHealth
	// counts decides whether the counts of other instances are trusted.
	counts waxpick.CountTrust
	// loggedMisleading is true if it was logged last that they are not.
	loggedMisleading bool
	// brittleUntil is the time until which the servers count as brittle, and maxRejects the
	// number of requests that one of them may reject in a second.
	brittleUntil waxfleet.Millis
	maxRejects   int
	// spareUntil is the time until which connections to the servers are kept idle, because
	// the ends of their responses have to be confirmed.
	spareUntil waxfleet.Millis
	// statesPace is true if servers of the service state a pace, as of paceCheckedAt.
	statesPace    bool
	paceCheckedAt waxfleet.Millis
}

// domainState is the local state of a failure domain.
type domainState struct {
	health waxpick.DomainHealth
	// loggedUnreachable is the reachability that was logged last.
	loggedUnreachable bool
}

// Servers holds the state that this instance keeps of backend servers, services
// and failure domains. It is safe for concurrent use.
type Servers struct {
	clock    *waxfleet.Clock
	protocol waxfleet.Protocol
	budget   *waxpool.Budget

	// mu protects what follows, and the parts of cost that are not safe for concurrent use.
	mu       sync.Mutex
	servers  map[string]*serverState
	services map[string]*serviceState
	domains  map[string]*domainState
	// linkChecks counts the calls of linkTargets; each begins with other servers.
	linkChecks uint32
	cost       costState
	startedAt  waxfleet.Millis
	preceded   func() bool
}

// NewServers returns a Servers without any server. budget is that of connections to servers, and
// preceded reports whether an earlier process of this instance may have sent requests.
func NewServers(clock *waxfleet.Clock, protocol waxfleet.Protocol, budget *waxpool.Budget, preceded func() bool) *Servers {
	return &Servers{
		clock:    clock,
		protocol: protocol,
		budget:   budget,
		servers:  map[string]*serverState{},
		services: map[string]*serviceState{},
		domains:  map[string]*domainState{},
		cost:     newCostState(clock),

		startedAt: clock.Now(),
		preceded:  preceded,
	}
}

// Counts returns the requests and prompt tokens in flight from this instance,
// by the hash of the server name. Idle servers are left out.
func (s *Servers) Counts() map[uint32]waxpeer.ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[uint32]waxpeer.ServerLoad{}
	for id, state := range s.servers {
		if state.inFlight > 0 {
			load := waxpeer.ServerLoad{InFlight: state.inFlight, PendingTokens: state.pendingTokens}
			if work, known := s.workLeft(state, s.clock.Now()); known > 0 {
				load.ExpectedOutput, load.WorkTold = int(work)+1, known
			}
			out[waxpeer.ServerHash(id)] = load
		}
	}
	return out
}

// recordRejected records that a plain server has rejected a request that it should have had a
// slot for by the counts.
func (s *Servers) recordRejected(req *requestState, load, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceState(req.service).counts.RecordRejected(s.clock.Now(), load, slots)
}

// Down reports whether the server gets no requests, because connections to it
// failed.
func (s *Servers) Down(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.servers[id]
	return state != nil && state.health.Down(s.clock.Now())
}

// Prune drops idle servers that are no longer in the directory, and closes
// expired idle connections of the others.
func (s *Servers) Prune(d *waxdirectory.Directory, cacheIndex *waxcache.Index, limits *waxlimit.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, state := range s.servers {
		if !d.Known(id, state.entry.StartUnixMilli()) && state.inFlight == 0 {
			state.pool.Close()
			cacheIndex.Remove(state.incarnationHash)
			limits.Remove(state.incarnationHash)
			s.cost.loads.Remove(state.incarnationHash)
			delete(s.servers, id)
			continue
		}
		state.pool.Sweep()
	}
}

// serverState returns the state of a server. It creates the state of a new
// server, and replaces that of a new incarnation or address. The caller holds
// the lock.
func (s *Servers) serverState(e waxfleet.BackendServerEntry, connections int, spare bool) *serverState {
	id := e.Server().ID()
	state := s.servers[id]
	if state != nil && state.entry.StartUnixMilli() == e.StartUnixMilli() && state.entry.Server().Address() == e.Server().Address() {
		state.entry = e
		state.pool.SetLimit(connections)
		return state
	}
	if state != nil {
		state.pool.Close()
	}
	state = &serverState{
		entry:           e,
		start:           e.StartUnixMilli(),
		incarnationHash: waxcache.IncarnationHash(id, e.StartUnixMilli()),
		pool:            waxpool.New(s.clock, s.protocol, s.budget, e.Server().Address(), connections),
	}
	if s.clock.Now()-s.startedAt < limitWindow && s.preceded() {
		state.coldBucket = waxquota.NewEmptyTokenBucket(s.clock.Now())
		state.limitBucket = waxquota.NewEmptyTokenBucket(s.clock.Now())
	}
	if spare {
		state.pool.KeepSpares(max(s.clock.Now()+firstSpareDuration, s.serviceState(e.Server().Service()).spareUntil))
	}
	s.servers[id] = state
	return state
}

// copyState returns a copy of the state of a server, or that of a new one. The caller holds the
// lock.
func (s *Servers) copyState(e waxfleet.BackendServerEntry) *serverState {
	id := e.Server().ID()
	out := &serverState{entry: e, incarnationHash: waxcache.IncarnationHash(id, e.StartUnixMilli())}
	known := s.servers[id]
	if known != nil && known.entry.StartUnixMilli() == e.StartUnixMilli() && known.entry.Server().Address() == e.Server().Address() {
		*out = *known
		out.entry = e
	}
	return out
}

// serviceState returns the state of a service, created if needed. The caller
// holds the lock.
func (s *Servers) serviceState(name string) *serviceState {
	v := s.services[name]
	if v == nil {
		v = &serviceState{}
		s.services[name] = v
	}
	return v
}

// domainState returns the state of a failure domain, created if needed. The
// caller holds the lock.
func (s *Servers) domainState(name string) *domainState {
	d := s.domains[name]
	if d == nil {
		d = &domainState{}
		s.domains[name] = d
	}
	return d
}

// recordActivity records that bytes arrived from a server.
func (s *Servers) recordActivity(e waxfleet.BackendServerEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.domainState(e.Server().FailureDomain()).health.RecordActivity(s.clock.Now())
	s.serviceState(e.Server().Service()).link.RecordActivity(s.clock.Now())
}

// recordOpened records that a connection to a server was opened.
func (s *Servers) recordOpened(state *serverState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceState(state.entry.Server().Service()).link.RecordConnection(state.entry.Server().ID(), true)
}

// startOf returns the start time of a server in Unix milliseconds, as far as known.
func (s *Servers) startOf(state *serverState) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return state.start
}

// observeStart records the start time that a server named, or 0, in answer to a question that
// was asked when its start time was believed to be expected.
func (s *Servers) observeStart(state *serverState, expected, start int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if start != 0 && state.start == expected {
		state.start = start
	}
}

const (
	// firstSpareDuration is the time after the first use of a server, and spareDuration that
	// after a close-delimited response, for which connections to servers that don't name
	// their start times are kept idle.
	firstSpareDuration waxfleet.Millis = 5_000
	spareDuration      waxfleet.Millis = 30_000
)

// keepSpares keeps connections to the servers of a service idle, after one of them has sent a
// close-delimited response and has named no start time.
func (s *Servers) keepSpares(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.clock.Now() + spareDuration
	s.serviceState(service).spareUntil = until
	for _, state := range s.servers {
		if state.entry.Server().Service() == service {
			state.pool.KeepSpares(until)
		}
	}
}

// pause records that a server wants no requests for some time.
func (s *Servers) pause(state *serverState, d waxfleet.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.pausedUntil = max(state.pausedUntil, s.clock.Now()+min(d, maxPause))
}

// maxPause bounds the time for which a server gets no requests because it asked for it.
const maxPause waxfleet.Millis = 600_000

// releasePending subtracts the prompt tokens of a send that has ended or whose
// response has started.
func (s *Servers) releasePending(state *serverState, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.pendingTokens -= tokens
}

// healthEffect is the effect of a send on the health of the server.
type healthEffect int

const (
	effectSuccess healthEffect = iota
	// effectFailure is that of a missing or incomplete response, or of a 5xx
	// status.
	effectFailure
	// effectUnreachable is that of a connection that could not be opened.
	effectUnreachable
	// effectNone leaves the health unchanged, for example because the caller
	// disconnected.
	effectNone
)

// finish records the end of a send. timedOut means that the response or the
// connection attempt timed out.
func (s *Servers) finish(state *serverState, serviceName string, effect healthEffect, timedOut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.inFlight--
	now := s.clock.Now()
	if timedOut {
		s.domainState(state.entry.Server().FailureDomain()).health.RecordTimeout(now, state.entry.Server().ID())
	}
	if effect == effectNone {
		return
	}
	if effect == effectUnreachable {
		s.serviceState(serviceName).link.RecordConnection(state.entry.Server().ID(), false)
		state.health.RecordUnreachable(now)
	}
	state.health.Record(now, effect == effectSuccess)
	s.serviceState(serviceName).health.Record(now, effect == effectSuccess)
}

// recordRequest counts a first send towards the retry budget of a service.
func (s *Servers) recordRequest(serviceName string, window waxfleet.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceState(serviceName).retries.RecordRequest(s.clock.Now(), window)
}

// takeRetryToken takes a token of the retry budget of a service. It reports
// false if there is none.
func (s *Servers) takeRetryToken(serviceName string, b waxquota.RetryBound, instances int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceState(serviceName).retries.TryRetry(s.clock.Now(), b, instances)
}
