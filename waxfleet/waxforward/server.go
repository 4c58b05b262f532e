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

// server is what this instance knows of one incarnation of a backend server
// beyond its entry.
type server struct {
	entry waxfleet.EngineEntry
	pool  *waxpool.Pool
	// hash stands for the incarnation in the table of holders.
	hash     uint32
	inFlight int
	// pending is the number of prompt tokens of requests whose answers have not
	// begun.
	pending int
	cold    waxquota.Bucket
	health  waxpick.Health
}

// service is what this instance knows of a service as a whole.
type service struct {
	health  waxpick.Health
	retries waxquota.RetryBudget
}

// domain is what this instance knows of a failure domain as a whole.
type domain struct {
	health waxpick.DomainHealth
	// cutOff is what the log last said of it.
	cutOff bool
}

// Servers holds the state of all backend servers at this instance. It is safe
// for concurrent use.
type Servers struct {
	clock    *waxfleet.Clock
	protocol waxfleet.Protocol

	mu       sync.Mutex
	servers  map[string]*server
	services map[string]*service
	domains  map[string]*domain
}

// NewServers returns an empty state.
func NewServers(clock *waxfleet.Clock, protocol waxfleet.Protocol) *Servers {
	return &Servers{clock: clock, protocol: protocol, servers: map[string]*server{}, services: map[string]*service{}, domains: map[string]*domain{}}
}

// Counts returns the own counts by the hash of the backend server's name.
func (s *Servers) Counts() map[uint32]waxpeer.Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[uint32]waxpeer.Count{}
	for id, v := range s.servers {
		if v.inFlight > 0 {
			out[waxpeer.ServerHash(id)] = waxpeer.Count{InFlight: v.inFlight, Pending: v.pending}
		}
	}
	return out
}

// Down reports whether the server gets no request now because it could not be
// reached.
func (s *Servers) Down(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.servers[id]
	return v != nil && v.health.Down(s.clock.Now())
}

// Keep ends the connections to servers that are no longer in the directory, and
// closes idle connections whose time is over.
func (s *Servers) Keep(d *waxdirectory.Directory, holders *waxcache.Holders) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, v := range s.servers {
		if !d.Known(id, v.entry.Born()) && v.inFlight == 0 {
			v.pool.End()
			holders.Lost(v.hash)
			delete(s.servers, id)
			continue
		}
		v.pool.Sweep()
	}
}

// get returns the state of a server; a new incarnation starts anew. The caller
// holds the lock.
func (s *Servers) get(e waxfleet.EngineEntry, connections int) *server {
	id := e.Server().ID()
	v := s.servers[id]
	if v != nil && v.entry.Born() == e.Born() && v.entry.Server().Address() == e.Server().Address() {
		v.entry = e
		v.pool.SetLimit(connections)
		return v
	}
	if v != nil {
		v.pool.End()
	}
	v = &server{entry: e, hash: waxcache.ServerHash(id, e.Born()), pool: waxpool.New(s.clock, s.protocol, e.Server().Address(), connections)}
	s.servers[id] = v
	return v
}

// serviceState returns the state of a service. The caller holds the lock.
func (s *Servers) serviceState(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{}
		s.services[name] = v
	}
	return v
}

// domain returns the state of a failure domain. The caller holds the lock.
func (s *Servers) domain(name string) *domain {
	d := s.domains[name]
	if d == nil {
		d = &domain{}
		s.domains[name] = d
	}
	return d
}

// sign notes that bytes came from a server.
func (s *Servers) sign(e waxfleet.EngineEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.domain(e.Server().FailureDomain()).health.RecordActivity(s.clock.Now())
}

// answered notes that the answer to a prompt of so many tokens has begun, or that
// none will come.
func (s *Servers) answered(v *server, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.pending -= tokens
}

// outcome is how a send ended, for the health of the server.
type outcome int

const (
	outcomeOK outcome = iota
	// outcomeFailed is an answer that did not come, was broken, or is the
	// server's own failure.
	outcomeFailed
	// outcomeUnreachable is a connection that could not be opened.
	outcomeUnreachable
	// outcomeNeutral says nothing of the server: the caller left, for example.
	outcomeNeutral
)

// end counts the end of a request at a server. silent tells that the server did not
// answer in time.
func (s *Servers) end(v *server, serviceName string, o outcome, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.inFlight--
	now := s.clock.Now()
	if silent {
		s.domain(v.entry.Server().FailureDomain()).health.RecordTimeout(now, v.entry.Server().ID())
	}
	if o == outcomeNeutral {
		return
	}
	if o == outcomeUnreachable {
		v.health.RecordUnreachable(now)
	}
	v.health.Record(now, o == outcomeOK)
	s.serviceState(serviceName).health.Record(now, o == outcomeOK)
}

// first counts a first send for the retry budget of a service.
func (s *Servers) first(serviceName string, window waxfleet.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceState(serviceName).retries.Request(s.clock.Now(), window)
}

// repeat takes a further send out of the retry budget.
func (s *Servers) repeat(serviceName string, b waxquota.RetryBound, instances int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceState(serviceName).retries.Repeat(s.clock.Now(), b, instances)
}
