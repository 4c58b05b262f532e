package waxmember

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"waxwingdrift.org/waxfleet/waxhead"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

const (
	dialTimeout = 2 * time.Second
	// pingIdleTimeout is the time without a received frame after which a connection is
	// pinged. Without a response for pingTimeout it is closed, so that the next call
	// opens a new one.
	pingIdleTimeout = 3 * time.Second
	pingTimeout     = 2 * time.Second
)

// ByteCounter counts the bytes of control traffic at the transport layer, in both
// directions. It is safe for concurrent use.
type ByteCounter struct {
	total atomic.Int64
}

// Bytes returns the number of bytes counted so far.
func (c *ByteCounter) Bytes() int64 { return c.total.Load() }

// Wrap returns a connection whose traffic is counted.
func (c *ByteCounter) Wrap(conn net.Conn) *CountedConn {
	counted := &CountedConn{Conn: conn, counter: c}
	counted.control.Store(true)
	return counted
}

// WrapUnmarked returns a connection whose traffic is not counted until MarkControl is
// called, which also counts the traffic before the call.
func (c *ByteCounter) WrapUnmarked(conn net.Conn) *CountedConn {
	return &CountedConn{Conn: conn, counter: c}
}

// CountedConn is a connection that adds its traffic to a counter once it is marked as
// carrying control traffic.
type CountedConn struct {
	net.Conn
	counter *ByteCounter
	control atomic.Bool
	// uncounted is the traffic, in bytes, before the connection was marked.
	uncounted atomic.Int64
}

// MarkControl marks the connection as carrying control traffic.
func (c *CountedConn) MarkControl() {
	if c.control.CompareAndSwap(false, true) {
		c.counter.total.Add(c.uncounted.Swap(0))
	}
}

// Read implements net.Conn.
func (c *CountedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.add(n)
	return n, err
}

// Write implements net.Conn.
func (c *CountedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.add(n)
	return n, err
}

func (c *CountedConn) add(n int) {
	if c.control.Load() {
		c.counter.total.Add(int64(n))
		return
	}
	c.uncounted.Add(int64(n))
}

// PeerClients holds the connections to peer instances: one long-lived HTTP/2 connection
// per peer for control traffic and one for callers' requests. It is safe for
// concurrent use.
type PeerClients struct {
	control *http.Client
	serve   *http.Client
	options []connect.ClientOption

	mu      sync.Mutex
	clients map[string]clientPair
}

// clientPair holds the clients of one peer.
type clientPair struct {
	control waxwireconnect.PeerClient
	serve   waxwireconnect.PeerClient
}

// DialFunc opens a connection to the address "ip:port".
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewPeerClients returns clients without connections. Connections are opened on first
// use, and idle ones are closed when ctx ends. dial opens them; nil means net.Dialer.
// counter counts the control traffic. The options apply to the clients for callers'
// requests.
func NewPeerClients(ctx context.Context, dial DialFunc, counter *ByteCounter, options ...connect.ClientOption) *PeerClients {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	l := &PeerClients{
		options: options,
		control: &http.Client{Transport: newTransport(dial, counter)},
		serve:   &http.Client{Transport: newTransport(dial, nil)},
		clients: map[string]clientPair{},
	}
	go func() {
		<-ctx.Done()
		l.control.CloseIdleConnections()
		l.serve.CloseIdleConnections()
	}()
	return l
}

// Control returns the client for control calls to the peer at "ip:port".
func (l *PeerClients) Control(address string) waxwireconnect.PeerClient {
	return l.get(address).control
}

// Serve returns the client for callers' requests to the peer at "ip:port".
func (l *PeerClients) Serve(address string) waxwireconnect.PeerClient { return l.get(address).serve }

func (l *PeerClients) get(address string) clientPair {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.clients[address]; ok {
		return c
	}
	url := "http://" + address
	c := clientPair{
		control: waxwireconnect.NewPeerClient(l.control, url),
		serve:   waxwireconnect.NewPeerClient(l.serve, url, l.options...),
	}
	l.clients[address] = c
	return c
}

func newTransport(dial DialFunc, counter *ByteCounter) *waxhead.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return waxhead.NewTransport(&http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingIdleTimeout, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil || counter == nil {
				return conn, err
			}
			return counter.Wrap(conn), nil
		},
	})
}
