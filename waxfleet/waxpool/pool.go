package waxpool

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"waxwingdrift.org/waxfleet"
)

const (
	// dialTimeout is the timeout for connecting. A reachable server accepts within a few
	// ms. A lost SYN is retransmitted only after a second; another server is then the
	// better choice.
	dialTimeout waxfleet.Millis = 300
	// userTimeout is the TCP user timeout, for which sent bytes may remain
	// unacknowledged. It allows for a few retransmissions on a lossy link, and for a server
	// that is silent for up to two seconds and goes on.
	userTimeout waxfleet.Millis = 3_000
	// keepAliveInterval is the idle time before the first TCP keep-alive probe and the
	// interval between probes. With userTimeout, a server without power or behind a
	// partition is detected after three seconds while a response is awaited; the number of
	// probes does not count then.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// defaultIdleTimeout is the idle timeout of a connection when the server does not
	// declare one.
	defaultIdleTimeout waxfleet.Millis = 4_000
	// unusedIdleTimeout is the idle timeout of a connection that has carried no request.
	// Servers may give such connections less time than others.
	unusedIdleTimeout waxfleet.Millis = 1_000
	// idleMargin is subtracted from the idle timeout that the server declares, so that no
	// request is sent while the server closes the connection.
	idleMargin waxfleet.Millis = 500
)

// Pool holds the connections to one incarnation of a backend server. It is safe for
// concurrent use.
type Pool struct {
	clock    *waxfleet.Clock
	protocol waxfleet.Protocol
	address  string
	budget   *Budget
	dialer   net.Dialer

	mu        sync.Mutex
	idle      []*Conn
	openCount int
	limit     int
	closed    bool
	dialCount int64
	// position counts the connections that were opened and the requests that were sent, in
	// their order.
	position int64
	// spareUntil is the time until which an idle connection is kept for each request.
	spareUntil waxfleet.Millis
}

// New returns an empty pool. limit is the maximum number of open connections; a limit
// below 1 counts as 1. budget is that of all pools.
func New(clock *waxfleet.Clock, protocol waxfleet.Protocol, budget *Budget, address string, limit int) *Pool {
	return &Pool{
		clock: clock, protocol: protocol, budget: budget, address: address, limit: max(limit, 1),
		dialer: net.Dialer{
			Timeout: dialTimeout.Duration(), Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveInterval,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
		},
	}
}

// SetLimit sets the maximum number of open connections. It closes none; a limit below 1
// counts as 1.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
}

// DialCount returns the number of connection attempts so far.
func (p *Pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// Get returns an idle connection, or opens one. While the pool keeps spare connections, it may
// open another one beside it.
//
// Errors: CodeOverloaded when the limit of open connections is reached,
// CodePeerUnreachable when the connection can't be opened. In both cases nothing was
// sent.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	c := p.takeIdle()
	if c == nil {
		var err error
		if c, err = p.open(ctx); err != nil {
			return nil, err
		}
	}
	if p.lacksSpare() && p.budget.addSpare() {
		p.openSpare(ctx)
	}
	return c, nil
}

// KeepSpares keeps an idle connection for each request until a time, so that ConfirmEnd has one
// that was open before. They stay open for as long as requests are under way.
func (p *Pool) KeepSpares(until waxfleet.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spareUntil = max(p.spareUntil, until)
}

// keepsSpares reports whether an idle connection is kept for each request. The caller holds the
// lock.
func (p *Pool) keepsSpares() bool {
	return p.clock.Now() < p.spareUntil && p.budget.allowsSpares()
}

// lacksSpare reports whether there are fewer idle connections than connections in use.
func (p *Pool) lacksSpare() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.keepsSpares() || p.openCount >= p.limit {
		return false
	}
	now, fresh := p.clock.Now(), 0
	for _, c := range p.idle {
		if now < c.idleUntil && c.reusable() {
			fresh++
		}
	}
	return fresh < p.inUse()
}

// inUse returns the number of connections in use. The caller holds the lock.
func (p *Pool) inUse() int { return p.openCount - len(p.idle) }

// openSpare opens a connection that is in the budget. A request does not need it.
func (p *Pool) openSpare(ctx context.Context) {
	_ = p.Probe(ctx)
	p.budget.add(-1) // open has counted the connection, too
}

// Probe opens a new connection and keeps it for the next request.
//
// Errors: like Get.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.open(ctx)
	if err != nil {
		return err
	}
	c.ReleaseUnused()
	return nil
}

// open opens a connection. Errors: like Get.
func (p *Pool) open(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.openCount >= p.limit {
		p.mu.Unlock()
		return nil, waxfleet.NewError(waxfleet.CodeOverloaded, "limit of %d open connections to %s reached", p.limit, p.address)
	}
	p.openCount++
	p.dialCount++
	p.mu.Unlock()
	p.budget.add(1)
	c, err := p.dial(ctx)
	if err != nil {
		p.connClosed()
	}
	return c, err
}

// dial opens a connection without regard to the limit.
//
// Errors: CodePeerUnreachable.
func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodePeerUnreachable, "failed to connect to %s", p.address)
	}
	return newConn(conn, p.protocol, p), nil
}

// ask sends a probe on a new connection, which takes a place that the caller holds, and
// checks the answer. The connection is closed afterwards: the answer names no attempt.
//
// Errors: CodePeerUnreachable, CodeBackendDied, CodeAnswerMismatch when another process
// answers.
func (p *Pool) ask(ctx context.Context, probe Probe) error {
	p.mu.Lock()
	p.dialCount++
	p.mu.Unlock()
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	return c.ask(probe, false)
}

// nextPosition returns the next position in the order of connections and requests.
func (p *Pool) nextPosition() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position++
	return p.position
}

// takeOpenedBefore returns the newest idle connection that was opened before a position, or nil.
// Older ones are left to requests that were sent earlier.
func (p *Pool) takeOpenedBefore(position int64) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := -1
	for i, c := range p.idle {
		if c.openedPosition < position && (newest < 0 || c.openedPosition > p.idle[newest].openedPosition) {
			newest = i
		}
	}
	if newest < 0 {
		return nil
	}
	c := p.idle[newest]
	p.idle = slices.Delete(p.idle, newest, newest+1)
	return c
}

// takeIdle returns the most recently used idle connection, and closes those that have
// expired or can't be reused. It returns nil when there is none.
func (p *Pool) takeIdle() *Conn {
	now := p.clock.Now()
	p.closeIdle(func(c *Conn) bool { return now >= c.idleUntil })
	for {
		p.mu.Lock()
		i := p.nextIdle(now)
		if i < 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		p.mu.Unlock()
		if c.reusable() {
			return c
		}
		c.Discard()
	}
}

// nextIdle returns the position of the idle connection that the next request gets, or -1. While
// spare connections are kept, those of other requests are left, and one that was never used
// goes first, because servers close such connections early. The caller holds the lock.
func (p *Pool) nextIdle(now waxfleet.Millis) int {
	if p.keepsSpares() && len(p.idle) <= p.inUse() && p.openCount < p.limit {
		return -1
	}
	next := -1
	for i, c := range p.idle {
		switch {
		case now >= c.idleUntil:
		case c.useCount == 0 && p.keepsSpares():
			return i
		default:
			next = i
		}
	}
	return next
}

// putIdle returns a connection to the pool. idleTimeout is the idle timeout that the
// server declares; 0 when it declares none.
func (p *Pool) putIdle(c *Conn, idleTimeout waxfleet.Millis) {
	keep := defaultIdleTimeout
	if idleTimeout > 0 {
		keep = max(idleTimeout-idleMargin, idleTimeout/2)
	}
	c.idleUntil = p.clock.Now() + keep
	p.addIdle(c)
}

// addIdle adds an idle connection, unless the pool is closed or too many are open.
func (p *Pool) addIdle(c *Conn) {
	p.mu.Lock()
	if p.closed || p.budget.exceeded() {
		p.mu.Unlock()
		c.Discard()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// connClosed records that a connection was closed or could not be opened.
func (p *Pool) connClosed() {
	p.budget.add(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
}

// Sweep closes the idle connections whose idle timeout has expired.
func (p *Pool) Sweep() {
	now := p.clock.Now()
	p.closeIdle(func(c *Conn) bool { return now >= c.idleUntil })
}

// closeIdle closes the idle connections for which expired returns true, but for spare ones of
// requests that are under way.
func (p *Pool) closeIdle(expired func(c *Conn) bool) {
	p.mu.Lock()
	if p.keepsSpares() && p.inUse() > 0 {
		p.mu.Unlock()
		return
	}
	var closed []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if expired(c) {
			closed = append(closed, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range closed {
		c.Discard()
	}
}

// Close closes the idle connections. Connections in use are closed when they are
// released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
}
