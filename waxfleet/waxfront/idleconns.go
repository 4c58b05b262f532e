package waxfront

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns tracks the idle connections of callers. http.Server can close an idle
// connection whose next request has just been read; that request would then run without a
// response.
type idleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
	// closing is true after closeIdle was called.
	closing bool
}

func newIdleConns() *idleConns { return &idleConns{conns: map[net.Conn]bool{}} }

// track is the ConnState hook of the server.
func (c *idleConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.conns[conn] = true
		return
	}
	delete(c.conns, conn)
	if c.closing && state == http.StateActive {
		// The deadline may have been set after the request was read. An error means that
		// the connection is closed.
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// closeIdle lets the connections that are idle now time out at once. The goroutine that
// serves a connection closes it; a request that has already been read is served.
func (c *idleConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for conn := range c.conns {
		// An error means that the connection is already closed.
		_ = conn.SetReadDeadline(time.Now())
	}
}
