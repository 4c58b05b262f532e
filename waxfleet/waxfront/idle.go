package waxfront

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns knows the callers' connections that carry no request. The server's
// own way to close them can hit a connection whose next request has just been
// read, which then runs without an answer.
type idleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
	// expired is true once the wait for requests was ended.
	expired bool
}

func newIdleConns() *idleConns { return &idleConns{conns: map[net.Conn]bool{}} }

// track is the hook of the server for changes of a connection's state.
func (i *idleConns) track(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.conns[conn] = true
		return
	}
	delete(i.conns, conn)
	if i.expired && state == http.StateActive {
		// The wait may have been ended after the request was read. An error means that
		// the connection has ended.
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// expire ends the wait for further requests. A connection without one is closed
// by its own goroutine; a request that has been read is served.
func (i *idleConns) expire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expired = true
	for conn := range i.conns {
		// An error means that the connection has ended already.
		_ = conn.SetReadDeadline(time.Now())
	}
}
