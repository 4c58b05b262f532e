package waxbound

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"waxwingdrift.org/waxfleet/waxmember"
)

// Partition simulates network partitions between failure domains: open
// connections silently drop data, and new ones time out.
type Partition struct {
	mu       sync.Mutex
	domains  map[string]string // by peer address
	isolated map[string]bool   // by failure domain
}

// NewPartition returns a Partition that isolates no failure domain.
func NewPartition() *Partition {
	return &Partition{domains: map[string]string{}, isolated: map[string]bool{}}
}

// Register registers the failure domain of a peer address.
func (p *Partition) Register(address, failureDomain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domains[address] = failureDomain
}

// SetIsolated isolates a failure domain from all others, or reconnects it.
func (p *Partition) SetIsolated(failureDomain string, isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated[failureDomain] = isolated
}

// blocks reports whether the partition separates the failure domain from from the
// peer address. Addresses that are not registered are never blocked.
func (p *Partition) blocks(from, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.domains[address]
	return to != "" && from != to && (p.isolated[from] || p.isolated[to])
}

// dialTimeout is the dial timeout of the routers.
const dialTimeout = 2 * time.Second

// Dial returns the dial function of the instances in a failure domain.
func (p *Partition) Dial(failureDomain string) waxmember.DialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if p.blocks(failureDomain, address) {
			select {
			case <-time.After(dialTimeout):
			case <-ctx.Done():
			}
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, blocked: func() bool { return p.blocks(failureDomain, address) }}, nil
	}
}

// partitionedConn drops all data once it is used during a partition. It stays
// broken after the partition heals, like a TCP connection that lost segments.
type partitionedConn struct {
	net.Conn
	blocked func() bool
	mu      sync.Mutex
	broken  bool
}

// updateBroken breaks the connection if it is blocked now, and reports whether it is
// broken.
func (c *partitionedConn) updateBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = c.broken || c.blocked()
	return c.broken
}

// Read implements net.Conn.
func (c *partitionedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.updateBroken() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.updateBroken() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
