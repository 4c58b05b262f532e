package waxbound

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"waxwingdrift.org/waxfleet/waxmember"
)

// Partition cuts the links between the instances of failure domains: open
// connections go silent, and new ones time out.
type Partition struct {
	mu      sync.Mutex
	domains map[string]string // by peer address
	cut     map[string]bool
}

// NewPartition returns a partition that cuts nothing.
func NewPartition() *Partition {
	return &Partition{domains: map[string]string{}, cut: map[string]bool{}}
}

// Locate tells the failure domain of a peer address.
func (p *Partition) Locate(address, failureDomain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domains[address] = failureDomain
}

// Set cuts a failure domain off from all others, or heals it.
func (p *Partition) Set(failureDomain string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[failureDomain] = cut
}

func (p *Partition) severed(from, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.domains[address]
	return to != "" && from != to && (p.cut[from] || p.cut[to])
}

// dialTimeout is that of the routers.
const dialTimeout = 2 * time.Second

// Dial returns the dial function of an instance in a failure domain.
func (p *Partition) Dial(failureDomain string) waxmember.DialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if p.severed(failureDomain, address) {
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
		return &cutConn{Conn: conn, severed: func() bool { return p.severed(failureDomain, address) }}, nil
	}
}

// cutConn loses what is sent or received while its link is cut, and never works
// again after that, as a connection does whose segments a partition has lost.
type cutConn struct {
	net.Conn
	severed func() bool
	mu      sync.Mutex
	dead    bool
}

func (c *cutConn) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = c.dead || c.severed()
	return c.dead
}

// Read implements net.Conn.
func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
