package waxpool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"waxwingdrift.org/waxfleet"
)

const (
	// dialTimeout is how long connecting may take, in ms. A reachable server accepts
	// within a few ms. A lost SYN is retransmitted after a second, when another server
	// is the better choice.
	dialTimeout waxfleet.Millis = 300
	// userTimeout is how long sent bytes may remain unacknowledged, in ms. It allows for
	// a few retransmissions on a lossy link.
	userTimeout waxfleet.Millis = 1_500
	// The keep-alive settings detect a server without power or behind a partition within
	// three seconds while a response is awaited.
	keepAliveIdle  = time.Second
	keepAliveCount = 2
	// defaultIdleTime is how long an idle connection is kept when the server does not
	// declare its idle timeout, in ms.
	defaultIdleTime waxfleet.Millis = 4_000
	// idleMargin is subtracted from the idle timeout that the server declares, in ms, so
	// that no request is sent while the server closes the connection.
	idleMargin waxfleet.Millis = 500
)

// Pool holds the connections to one incarnation of a backend server. It is safe for
// concurrent use.
type Pool struct {
	clock    *waxfleet.Clock
	protocol waxfleet.Protocol
	address  string
	dialer   net.Dialer

	mu     sync.Mutex
	idle   []*Conn
	open   int
	limit  int
	ended  bool
	dialed int64
}

// New returns an empty pool. limit is the maximum number of open connections; a limit
// below 1 counts as 1.
func New(clock *waxfleet.Clock, protocol waxfleet.Protocol, address string, limit int) *Pool {
	return &Pool{
		clock: clock, protocol: protocol, address: address, limit: max(limit, 1),
		dialer: net.Dialer{
			Timeout: dialTimeout.Duration(), Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount},
		},
	}
}

// SetLimit changes the maximum number of open connections. It closes none.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
}

// Dialed returns the number of connection attempts so far.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Get returns an idle connection, or opens one.
//
// Errors: CodeOverloaded when the limit of open connections is reached,
// CodePeerUnreachable when the server can't be reached. Nothing was sent in either case.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, waxfleet.NewError(waxfleet.CodeOverloaded, "limit of %d open connections to %s reached", p.limit, p.address)
	}
	p.open++
	p.dialed++
	p.mu.Unlock()
	conn, err := p.dialer.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		p.connClosed()
		return nil, waxfleet.WrapError(err, waxfleet.CodePeerUnreachable, "failed to connect to %s", p.address)
	}
	return &Conn{Conn: conn, protocol: p.protocol, reader: bufio.NewReaderSize(conn, readBufferSize), pool: p}, nil
}

// takeIdle returns the most recently used idle connection, and closes those that are too
// old or not reusable. It returns nil when there is none.
func (p *Pool) takeIdle() *Conn {
	now := p.clock.Now()
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now < c.idleUntil && c.reusable() {
			return c
		}
		c.Discard()
	}
}

func (p *Pool) putIdle(c *Conn, idleTime waxfleet.Millis) {
	keep := defaultIdleTime
	if idleTime > 0 {
		keep = max(idleTime-idleMargin, idleTime/2)
	}
	c.idleUntil = p.clock.Now() + keep
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		c.Discard()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *Pool) connClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Sweep closes the idle connections whose idle time has elapsed.
func (p *Pool) Sweep() {
	now := p.clock.Now()
	p.mu.Lock()
	var expired []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now >= c.idleUntil {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}

// Close closes the idle connections, and closes those in use when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	p.ended = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
}
