package waxserve

import (
	"context"
	"net"
	"sync"
)

type connKey struct{}

// Conn is an accepted connection that can go silent: it then stays open, but discards
// all data in both directions.
type Conn struct {
	net.Conn
	server *Server

	mu         sync.Mutex
	silent     bool
	limitSet   bool
	eventLimit int
	streaming  bool
	events     int
	exempt     bool
}

// ConnFromContext returns the connection of a request from the context of the request,
// or nil if no Server accepted the connection.
func ConnFromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Read reads from the connection. On a silent connection it discards what arrives and
// returns only when the connection is closed.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write writes to the connection. On a silent connection it discards the data and
// reports success.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the server.
func (c *Conn) Close() error {
	c.server.untrack(c)
	return c.Conn.Close()
}

// ExemptFromSilence makes later calls of Server.Silence skip the connection.
func (c *Conn) ExemptFromSilence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exempt = true
}

// BeginStream marks the start of an event stream on the connection.
func (c *Conn) BeginStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming, c.events = true, 0
}

// CountEvent records that an event of the stream was flushed. The connection goes
// silent at the limit set by Server.Silence.
func (c *Conn) CountEvent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events++
	c.silent = c.silent || (c.limitSet && c.events >= c.eventLimit)
}

// EndStream marks the end of the stream. The connection goes silent if
// Server.Silence was called during the stream.
func (c *Conn) EndStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = false
	c.silent = c.silent || c.limitSet
}

// silenceAfter makes the connection go silent after this number of events of its
// stream, or at once if it has no stream or the stream has sent them already. It does
// nothing if the connection is exempt.
func (c *Conn) silenceAfter(events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exempt {
		return
	}
	c.limitSet, c.eventLimit = true, events
	c.silent = c.silent || !c.streaming || c.events >= events
}

func (c *Conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// reset closes the connection with a TCP RST, so that the peer sees an error instead
// of EOF.
func (c *Conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}
