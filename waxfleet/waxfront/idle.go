package waxfront

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns tracks the client connections that carry no request. http.Server's own way
// of closing idle connections can hit one whose next request has just been read; that
// request then runs without a response.
type idleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
	// closing is true after closeIdle was called.
	closing bool
}

func newIdleConns() *idleConns { return &idleConns{conns: map[net.Conn]bool{}} }

// track is the ConnState hook of the server.
func (i *idleConns) track(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.conns[conn] = true
		return
	}
	delete(i.conns, conn)
	if i.closing && state == http.StateActive {
		// The deadline may have been set after the request was read. An error means that
		// the connection is closed.
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// closeIdle ends the wait for further requests. An idle connection is closed by its own
// goroutine; a request that has already been read is served.
func (i *idleConns) closeIdle() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closing = true
	for conn := range i.conns {
		// An error means that the connection is already closed.
		_ = conn.SetReadDeadline(time.Now())
	}
}
