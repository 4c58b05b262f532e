// Package waxconn gives handlers of an http.Server access to the connection of a request.
package waxconn

import (
	"context"
	"net"
)

// key is the context key of the connection.
type key struct{}

// Context is the ConnContext of an http.Server.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, key{}, conn)
}

// NetConn returns the connection of the request with the context, or nil if its server lacks
// the ConnContext.
func NetConn(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(key{}).(net.Conn)
	return conn
}

// lingerer is a TCP connection, or one that wraps it.
type lingerer interface{ SetLinger(seconds int) error }

// Conn is the connection of a request.
type Conn struct {
	// tcp is nil if it is no TCP connection, or if the server lacks the ConnContext.
	tcp lingerer
}

// Of returns the connection of the request with the context.
func Of(ctx context.Context) Conn {
	tcp, _ := NetConn(ctx).(lingerer)
	return Conn{tcp: tcp}
}

// ResetOnClose sets whether the connection is reset when it is closed. An orderly close
// states that a close-delimited response is complete, and a process that is killed leaves
// the close to the kernel.
func (c Conn) ResetOnClose(reset bool) {
	if c.tcp == nil {
		return
	}
	seconds := -1 // an orderly close, in the background
	if reset {
		seconds = 0
	}
	// An error means that the connection is closed.
	_ = c.tcp.SetLinger(seconds)
}
