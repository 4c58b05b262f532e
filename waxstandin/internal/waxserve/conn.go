package waxserve

import (
	"context"
	"net"
	"sync"
)

type connKey struct{}

// Conn is one accepted connection.
type Conn struct {
	net.Conn
	server *Server

	mu        sync.Mutex
	silent    bool
	limited   bool
	limit     int
	streaming bool
	events    int
	admin     bool
}

// ConnOf returns the connection that a request arrived on, or nil outside of a
// Server.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Read drops what arrives on a silent connection. It returns only when the peer
// closes it.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write drops what is written on a silent connection.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and forgets it.
func (c *Conn) Close() error {
	c.server.forget(c)
	return c.Conn.Close()
}

// MarkAdmin exempts the connection from silence.
func (c *Conn) MarkAdmin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admin = true
}

// BeginStream says that a stream of events starts on the connection.
func (c *Conn) BeginStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming, c.events = true, 0
}

// CountEvent says that one event was flushed, and silences the connection when
// it has carried as many as it may.
func (c *Conn) CountEvent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events++
	c.silent = c.silent || (c.limited && c.events >= c.limit)
}

// EndStream says that the stream has ended.
func (c *Conn) EndStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = false
	c.silent = c.silent || c.limited
}

func (c *Conn) silenceAfter(events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.admin {
		return
	}
	c.limited, c.limit = true, events
	c.silent = c.silent || !c.streaming || c.events >= events
}

func (c *Conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// reset closes the connection without the usual end of the TCP stream, so that
// the peer sees an error and not an end of file.
func (c *Conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}
