// Package waxserverload keeps what backend servers say of their load: the requests that
// run and wait there, and the pace, which is the time that work takes at the moment in
// relation to the usual time. Instances tell each other, because the responses of a server
// that reach one instance of a large fleet are many seconds apart. It does no I/O.
package waxserverload

import (
	"math"
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxgossip"
)

const (
	// minPace and maxPace bound the pace. A server that states 100 times the usual time
	// would otherwise look bad for seconds after one statement.
	minPace = 0.25
	maxPace = 8.0
	// smoothingMillis is the time constant of the moving average of the pace: a change shows
	// by 86 % within a second.
	smoothingMillis = 500.0
	// minWeight is the minimum weight of a statement in the average, so that several of the
	// same millisecond count.
	minWeight = 0.1
	// decayTime is the time without news over which the pace returns to 1.
	decayTime waxfleet.Millis = 5_000
	// serviceTTL is the time since the last statement with a pace during which a service
	// counts as one that states it.
	serviceTTL waxfleet.Millis = 60_000
	// minLead is the time by which a statement of another instance has to be later than the
	// known one. Instances don't know the delay of a datagram, so that a statement seems
	// later at each instance that passes it on; without this lead it would go in circles.
	minLead waxfleet.Millis = 50
	// maxServers and maxServices are the maximum numbers of servers and services; the least
	// recently used one is dropped.
	maxServers  = 4_096
	maxServices = 1_024
)

// Statement is what a server said, as instances exchange it.
type Statement struct {
	server           uint32
	running, waiting int
	pace             float64
	ago              waxfleet.Millis
}

// NewStatement returns a statement. server identifies the incarnation of the server, pace is
// the stated pace as a factor, and ago the time since the response.
func NewStatement(server uint32, running, waiting int, pace float64, ago waxfleet.Millis) Statement {
	return Statement{server: server, running: max(running, 0), waiting: max(waiting, 0), pace: clampPace(pace), ago: max(ago, 0)}
}

// Server identifies the incarnation of the server.
func (s Statement) Server() uint32 { return s.server }

// Running returns the number of requests that ran at the server.
func (s Statement) Running() int { return s.running }

// Waiting returns the number of requests that waited for a slot.
func (s Statement) Waiting() int { return s.waiting }

// Pace returns the stated pace as a factor.
func (s Statement) Pace() float64 { return s.pace }

// Ago returns the time since the response.
func (s Statement) Ago() waxfleet.Millis { return s.ago }

// clampPace returns the pace within the bounds, and 1 for one that is no number.
func clampPace(pace float64) float64 {
	if math.IsNaN(pace) || pace <= 0 {
		return 1
	}
	return min(max(pace, minPace), maxPace)
}

// server is the state of one incarnation of a server.
type server struct {
	// latest is the last valid statement, without ago.
	latest Statement
	at     waxfleet.Millis
	// hasPace is true once a statement had a pace. smoothed is the average of the pace as of
	// paceAt.
	hasPace  bool
	smoothed float64
	paceAt   waxfleet.Millis
	// malformed is true once a malformed statement was logged.
	malformed bool
	// queued is true while the statement is still to be told, for each scope.
	queued [2]bool
}

// pace returns the smoothed pace at a time; 1 without news for decayTime.
func (s *server) pace(now waxfleet.Millis) float64 {
	if !s.hasPace {
		return 1
	}
	left := 1 - float64(now-s.paceAt)/float64(decayTime)
	return 1 + (s.smoothed-1)*min(max(left, 0), 1)
}

// adoptPace adds a stated pace to the average.
func (s *server) adoptPace(pace float64, at waxfleet.Millis) {
	weight := 1.0
	if s.hasPace {
		weight = max(minWeight, 1-math.Exp(-float64(at-s.paceAt)/smoothingMillis))
	}
	s.smoothed = s.pace(at) + weight*(clampPace(pace)-s.pace(at))
	s.hasPace, s.paceAt = true, at
}

// Loads holds the last statement of each server. It is safe for concurrent use.
type Loads struct {
	clock *waxfleet.Clock

	mu       sync.Mutex
	servers  *simplelru.LRU[uint32, *server]
	services *simplelru.LRU[string, waxfleet.Millis]
	// pending holds the servers with statements that are still to be told, for each scope.
	pending   map[waxgossip.Scope][]uint32
	malformed int
}

// New returns an empty Loads.
func New(clock *waxfleet.Clock) *Loads {
	// The sizes are positive, which is all that NewLRU asks for.
	servers, _ := simplelru.NewLRU[uint32, *server](maxServers, nil)
	services, _ := simplelru.NewLRU[string, waxfleet.Millis](maxServices, nil)
	return &Loads{clock: clock, servers: servers, services: services, pending: map[waxgossip.Scope][]uint32{}}
}

// Record records what a server of the service said in a response that has just arrived. It
// reports whether the statement is the first malformed one of that server.
func (l *Loads) Record(service string, id uint32, said waxfleet.ServerLoadStatement) (firstMalformed bool) {
	if !said.Present {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	s := l.server(id)
	if !said.Valid {
		l.malformed++
		firstMalformed = !s.malformed
		s.malformed = true
		return firstMalformed
	}
	pace := 0.0
	if said.HasPace {
		pace = clampPace(said.PacePercent / 100)
		s.adoptPace(pace, now)
		l.services.Add(service, now)
		l.queue(waxgossip.ScopeGroup, id)
		l.queue(waxgossip.ScopeRemote, id)
	}
	s.latest, s.at = Statement{server: id, running: said.Running, waiting: said.Waiting, pace: pace}, now
	return false
}

// Merge adopts the statements of another instance that are later than the known ones, and
// queues them for the scope.
func (l *Loads) Merge(statements []Statement, scope waxgossip.Scope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, v := range statements {
		at := now - v.ago
		if known, ok := l.servers.Peek(v.server); v.ago >= decayTime || ok && known.at > 0 && at < known.at+minLead {
			continue
		}
		s := l.server(v.server)
		s.adoptPace(v.pace, at)
		v.ago = 0
		s.latest, s.at = v, at
		l.queue(scope, v.server)
	}
}

// server returns the state of a server, created if needed. The caller holds the lock.
func (l *Loads) server(id uint32) *server {
	s, ok := l.servers.Get(id)
	if !ok {
		s = &server{}
		l.servers.Add(id, s)
	}
	return s
}

// queue queues the statement of a server for the scope. The caller holds the lock.
func (l *Loads) queue(scope waxgossip.Scope, id uint32) {
	s := l.server(id)
	if !s.queued[scope] && len(l.pending[scope]) < maxServers {
		s.queued[scope] = true
		l.pending[scope] = append(l.pending[scope], id)
	}
}

// Next returns at most limit statements for the next datagram of the scope. Each is sent
// once: the next response of the server replaces a lost one.
func (l *Loads) Next(scope waxgossip.Scope, limit int) []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	n := min(limit, len(l.pending[scope]))
	out := make([]Statement, 0, n)
	for _, id := range l.pending[scope][:n] {
		s, ok := l.servers.Peek(id)
		if !ok {
			continue
		}
		s.queued[scope] = false
		if now-s.at < decayTime {
			v := s.latest
			v.ago = now - s.at
			out = append(out, v)
		}
	}
	l.pending[scope] = slices.Delete(l.pending[scope], 0, n)
	return out
}

// Pace returns the smoothed pace of a server; 1 if there is no recent statement.
func (l *Loads) Pace(id uint32) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.servers.Peek(id); ok {
		return s.pace(l.clock.Now())
	}
	return 1
}

// Latest returns the last valid statement of a server, with its age; ok is false if there is
// none.
func (l *Loads) Latest(id uint32) (s Statement, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.servers.Peek(id)
	if !ok || state.at == 0 {
		return Statement{}, false
	}
	s = state.latest
	s.ago = l.clock.Now() - state.at
	return s, true
}

// StatesPace reports whether servers of the service state a pace. servers identifies those
// whose statements other instances may have told.
func (l *Loads) StatesPace(service string, servers []uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if at, ok := l.services.Peek(service); ok && now-at < serviceTTL {
		return true
	}
	for _, id := range servers {
		if s, ok := l.servers.Peek(id); ok && s.hasPace && now-s.paceAt < serviceTTL {
			l.services.Add(service, s.paceAt)
			return true
		}
	}
	return false
}

// Malformed returns the number of malformed statements so far.
func (l *Loads) Malformed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.malformed
}

// Remove drops the statements of a server incarnation that has stopped.
func (l *Loads) Remove(id uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers.Remove(id)
}
