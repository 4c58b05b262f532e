package waxcheck

import (
	"context"
	"io"
	"net"
	"sync"
)

// proxy forwards connections to the peer address of an instance. When blocked it
// partitions the instance from its peers, while callers still reach it.
type proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	blocked bool
	conns   map[net.Conn]struct{}
}

// newProxy listens on a free port of the loopback interface until ctx ends.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: map[net.Conn]struct{}{}}
	go p.serve()
	go func() {
		<-ctx.Done()
		_ = l.Close()
		p.setBlocked(true)
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !p.add(conn) {
		return
	}
	defer p.remove(conn)
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	if !p.add(upstream) {
		return
	}
	defer p.remove(upstream)
	go func() {
		_, _ = io.Copy(upstream, conn)
		_ = upstream.Close()
	}()
	_, _ = io.Copy(conn, upstream)
}

// add registers a connection. It returns false if the proxy is blocked.
func (p *proxy) add(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.blocked {
		p.conns[conn] = struct{}{}
	}
	return !p.blocked
}

func (p *proxy) remove(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// setBlocked closes all connections and rejects new ones or, if blocked is false,
// forwards new ones again.
func (p *proxy) setBlocked(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	if !blocked {
		return
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
}
