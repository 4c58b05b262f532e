package waxcheck

import (
	"context"
	"io"
	"net"
	"sync"
)

// proxy forwards connections to the peer address of an instance. It can cut the
// instance off from its peers while callers still reach it.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
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
		p.setCut(true)
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
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	if !p.add(up) {
		return
	}
	defer p.remove(up)
	go func() {
		_, _ = io.Copy(up, conn)
		_ = up.Close()
	}()
	_, _ = io.Copy(conn, up)
}

func (p *proxy) add(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cut {
		p.conns[conn] = struct{}{}
	}
	return !p.cut
}

func (p *proxy) remove(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// setCut closes all connections and rejects new ones, or forwards new ones again.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
}
