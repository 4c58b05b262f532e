// Package waxlimit keeps the rate limits that backend servers name in their responses.
// Instances tell each other, so that the fleet keeps to a limit once one of them has heard
// of it, and goes back once the server no longer names it. It does no I/O.
package waxlimit

import (
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxgossip"
)

const (
	// minChange is the relative change of a limit from which other instances are told.
	minChange = 0.05
	// maxServers is the maximum number of servers whose limits are kept. Further ones are
	// ignored until others have stopped.
	maxServers = 10_000
)

// Statement is what a server said in a response, as instances exchange it.
type Statement struct {
	server    uint32
	limited   bool
	perSecond float64
	ago       waxfleet.Millis
}

// NewStatement returns a statement. server identifies the incarnation of the server, and
// ago is the time since the response.
func NewStatement(server uint32, perSecond float64, limited bool, ago waxfleet.Millis) Statement {
	return Statement{server: server, limited: limited, perSecond: perSecond, ago: max(ago, 0)}
}

// Server identifies the incarnation of the server.
func (s Statement) Server() uint32 { return s.server }

// Limit returns the limit in requests per second; ok is false if the response named none.
func (s Statement) Limit() (perSecond float64, ok bool) { return s.perSecond, s.limited }

// Ago returns the time since the response.
func (s Statement) Ago() waxfleet.Millis { return s.ago }

// statement is the latest statement of a server.
type statement struct {
	limited   bool
	perSecond float64
	at        waxfleet.Millis
}

// differs reports whether another statement leads to another rate.
func (s statement) differs(other statement) bool {
	if s.limited != other.limited {
		return true
	}
	return s.limited && max(s.perSecond, other.perSecond) > (1+minChange)*min(s.perSecond, other.perSecond)
}

// Limits holds the latest statement of each server that has named a limit. It is safe for
// concurrent use.
type Limits struct {
	clock *waxfleet.Clock

	mu sync.Mutex
	// latest holds what is in force. A limit that was lifted stays as a statement, because
	// an older one may still arrive.
	latest  map[uint32]statement
	updates waxgossip.Queue[uint32]
}

// New returns an empty Limits.
func New(clock *waxfleet.Clock) *Limits {
	return &Limits{clock: clock, latest: map[uint32]statement{}}
}

// Record records what a server said in a response that has just arrived. It reports
// whether other instances have to be told.
func (l *Limits) Record(server uint32, perSecond float64, limited bool) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.adopt(server, statement{limited: limited, perSecond: perSecond, at: l.clock.Now()}) {
		return false
	}
	l.updates.AddAll(server)
	return true
}

// Merge adopts the statements of another instance that are later than the known ones, and
// queues changes for the scope. It reports whether there were any.
func (l *Limits) Merge(statements []Statement, scope waxgossip.Scope) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, s := range statements {
		if l.adopt(s.server, statement{limited: s.limited, perSecond: s.perSecond, at: now - s.ago}) {
			l.updates.Add(scope, s.server)
			changed = true
		}
	}
	return changed
}

// adopt adopts a statement unless a later one is known, and reports whether it leads to
// another rate. The caller holds the lock.
func (l *Limits) adopt(server uint32, s statement) bool {
	known, ok := l.latest[server]
	if ok && s.at < known.at || !ok && (!s.limited || len(l.latest) >= maxServers) {
		return false
	}
	if ok && !known.differs(s) {
		// The value that others were told stays, so that small changes can't add up unnoticed.
		known.at = s.at
		l.latest[server] = known
		return false
	}
	l.latest[server] = s
	return true
}

// Limit returns the limit in force of a server, in requests per second; ok is false if
// there is none.
func (l *Limits) Limit(server uint32) (perSecond float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.latest[server]
	return s.perSecond, s.limited
}

// Remove drops the statements of a server incarnation that has stopped.
func (l *Limits) Remove(server uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.latest, server)
}

// Next returns at most limit statements for the next datagram of the scope.
func (l *Limits) Next(scope waxgossip.Scope, limit int) []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statements(l.updates.Next(scope, limit))
}

// All returns all statements, for an instance that has just started.
func (l *Limits) All() []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	servers := make([]uint32, 0, len(l.latest))
	for server := range l.latest {
		servers = append(servers, server)
	}
	return l.statements(servers)
}

// statements returns the statements of the servers that have any. The caller holds the
// lock.
func (l *Limits) statements(servers []uint32) []Statement {
	now := l.clock.Now()
	out := make([]Statement, 0, len(servers))
	for _, server := range servers {
		if s, ok := l.latest[server]; ok {
			out = append(out, NewStatement(server, s.perSecond, s.limited, now-s.at))
		}
	}
	return out
}
