package waxforward

import (
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcache"
	"waxwingdrift.org/waxfleet/waxdirectory"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxpick"
	"waxwingdrift.org/waxfleet/waxpool"
	"waxwingdrift.org/waxfleet/waxquota"
)

// serverState is the local state of one incarnation of a backend server.
type serverState struct {
	entry waxfleet.BackendServerEntry
	pool  *waxpool.Pool
	// cacheHash identifies the incarnation in the prefix cache table.
	cacheHash uint32
	inFlight  int
	// pendingTokens is the number of prompt tokens in requests whose responses
	// have not started.
	pendingTokens int
	coldBucket    waxquota.TokenBucket
	health        waxpick.Health
}

// serviceState is the local state of a service.
type serviceState struct {
	health  waxpick.Health
	retries waxquota.RetryBudget
}

// domainState is the local state of a failure domain.
type domainState struct {
	health waxpick.DomainHealth
	// unreachable is the state that was logged last.
	unreachable bool
}

// Servers holds this instance's state of all backend servers. It is safe for
// concurrent use.
type Servers struct {
	clock    *waxfleet.Clock
	protocol waxfleet.Protocol

	mu       sync.Mutex
	servers  map[string]*serverState
	services map[string]*serviceState
	domains  map[string]*domainState
}

// NewServers returns a Servers without any server.
func NewServers(clock *waxfleet.Clock, protocol waxfleet.Protocol) *Servers {
	return &Servers{clock: clock, protocol: protocol, servers: map[string]*serverState{}, services: map[string]*serviceState{}, domains: map[string]*domainState{}}
}

// Counts returns the requests and prompt tokens in flight from this instance,
// by the hash of the server name. Idle servers are left out.
func (s *Servers) Counts() map[uint32]waxpeer.ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[uint32]waxpeer.ServerLoad{}
	for id, v := range s.servers {
		if v.inFlight > 0 {
			out[waxpeer.ServerHash(id)] = waxpeer.ServerLoad{InFlight: v.inFlight, PendingTokens: v.pendingTokens}
		}
	}
	return out
}

// Down reports whether the server gets no request because connections to it
// failed.
func (s *Servers) Down(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.servers[id]
	return v != nil && v.health.Down(s.clock.Now())
}

// Prune drops idle servers that are no longer in the directory, and closes
// expired idle connections of the others.
func (s *Servers) Prune(d *waxdirectory.Directory, holders *waxcache.Index) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, v := range s.servers {
		if !d.Known(id, v.entry.StartUnixMilli()) && v.inFlight == 0 {
			v.pool.Close()
			holders.Remove(v.cacheHash)
			delete(s.servers, id)
			continue
		}
		v.pool.Sweep()
	}
}

// get returns the state of a server, and replaces it for a new incarnation or
// address. The caller holds the lock.
func (s *Servers) get(e waxfleet.BackendServerEntry, connections int) *serverState {
	id := e.Server().ID()
	v := s.servers[id]
	if v != nil && v.entry.StartUnixMilli() == e.StartUnixMilli() && v.entry.Server().Address() == e.Server().Address() {
		v.entry = e
		v.pool.SetLimit(connections)
		return v
	}
	if v != nil {
		v.pool.Close()
	}
	v = &serverState{entry: e, cacheHash: waxcache.ServerHash(id, e.StartUnixMilli()), pool: waxpool.New(s.clock, s.protocol, e.Server().Address(), connections)}
	s.servers[id] = v
	return v
}

// service returns the state of a service, created if needed. The caller holds
// the lock.
func (s *Servers) service(name string) *serviceState {
	v := s.services[name]
	if v == nil {
		v = &serviceState{}
		s.services[name] = v
	}
	return v
}

// domain returns the state of a failure domain, created if needed. The caller
// holds the lock.
func (s *Servers) domain(name string) *domainState {
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
	s.domain(e.Server().FailureDomain()).health.RecordActivity(s.clock.Now())
}

// releasePending subtracts the prompt tokens of a request whose response has
// started or failed.
func (s *Servers) releasePending(v *serverState, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.pendingTokens -= tokens
}

// outcome is the effect of a send on the health of the server.
type outcome int

const (
	outcomeOK outcome = iota
	// outcomeFailed is a missing or incomplete response, or a 5xx status.
	outcomeFailed
	// outcomeConnectFailed is a connection that could not be opened.
	outcomeConnectFailed
	// outcomeNeutral says nothing about the server, for example if the client
	// disconnected.
	outcomeNeutral
)

// finish records the end of a request at a server. timedOut means that the
// server did not answer in time.
func (s *Servers) finish(v *serverState, serviceName string, o outcome, timedOut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.inFlight--
	now := s.clock.Now()
	if timedOut {
		s.domain(v.entry.Server().FailureDomain()).health.RecordTimeout(now, v.entry.Server().ID())
	}
	if o == outcomeNeutral {
		return
	}
	if o == outcomeConnectFailed {
		v.health.RecordUnreachable(now)
	}
	v.health.Record(now, o == outcomeOK)
	s.service(serviceName).health.Record(now, o == outcomeOK)
}

// recordRequest counts a first send towards the retry budget of a service.
func (s *Servers) recordRequest(serviceName string, window waxfleet.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(serviceName).retries.RecordRequest(s.clock.Now(), window)
}

// takeRetryToken takes one retry out of the budget of a service, and reports
// whether the budget allowed it.
func (s *Servers) takeRetryToken(serviceName string, b waxquota.RetryBound, instances int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service(serviceName).retries.TryRetry(s.clock.Now(), b, instances)
}
