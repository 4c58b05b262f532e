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
	// dialTimeout is how long a connection may take to open, in ms. A server in
	// reach accepts within a few ms; a lost opening packet is sent again after a
	// second, and another server is the better choice then.
	dialTimeout waxfleet.Millis = 300
	// userTimeout is how long sent bytes may stay unacknowledged, in ms. It covers
	// a few retransmissions on a link that loses packets.
	userTimeout waxfleet.Millis = 1_500
	// keepAlive settings show a server without power or behind a partition within
	// three seconds while an answer is awaited.
	keepAliveIdle  = time.Second
	keepAliveCount = 2
	// idleDefault is how long an idle connection is kept when the server does not
	// say how long it keeps it, in ms.
	idleDefault waxfleet.Millis = 4_000
	// idleMargin is subtracted from the time that the server keeps it, in ms, so
	// that a request does not cross the server's close.
	idleMargin waxfleet.Millis = 500
)

// Pool holds the connections to one incarnation of a backend server.
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

// New returns a pool without connections. limit bounds the open ones.
func New(clock *waxfleet.Clock, protocol waxfleet.Protocol, address string, limit int) *Pool {
	return &Pool{
		clock: clock, protocol: protocol, address: address, limit: max(limit, 1),
		dialer: net.Dialer{
			Timeout: dialTimeout.Duration(), Control: tune,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount},
		},
	}
}

// SetLimit changes the bound on open connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
}

// Dialed returns the number of connections opened so far.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Get returns an idle connection, or opens one.
//
// Errors: CodeOverloaded when the bound on connections is reached,
// CodePeerUnreachable when the server can't be reached. Nothing was sent.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, waxfleet.NewError(waxfleet.CodeOverloaded, "%d connections to %s are open", p.limit, p.address)
	}
	p.open++
	p.dialed++
	p.mu.Unlock()
	conn, err := p.dialer.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		p.closed()
		return nil, waxfleet.WrapError(err, waxfleet.CodePeerUnreachable, "%s can't be reached", p.address)
	}
	return &Conn{Conn: conn, protocol: p.protocol, reader: bufio.NewReaderSize(conn, readBuffer), pool: p}, nil
}

// takeIdle returns the connection that was used last, and closes the idle ones
// that are too old or no longer quiet.
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
		if now < c.idleTill && c.quiet() {
			return c
		}
		c.Discard()
	}
}

func (p *Pool) put(c *Conn, idleTime waxfleet.Millis) {
	keep := idleDefault
	if idleTime > 0 {
		keep = max(idleTime-idleMargin, idleTime/2)
	}
	c.idleTill = p.clock.Now() + keep
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		c.Discard()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *Pool) closed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Sweep closes the idle connections whose time is over.
func (p *Pool) Sweep() {
	now := p.clock.Now()
	p.mu.Lock()
	var old []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now >= c.idleTill {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.Discard()
	}
}

// End closes the idle connections; those in use are closed when they return.
func (p *Pool) End() {
	p.mu.Lock()
	p.ended = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
}
