package waxdispatch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingdrift.org/waxfleet"
)

const (
	// maxServers bounds the servers with kept connections. An instance owns a few
	// of the 1,600 engines of the target.
	maxServers = 2_048
	// maxIdlePerServer is above the load limit of usual engines, so that a full
	// engine does not open connections over and over.
	maxIdlePerServer = 64
	idleTimeout      = 30 * time.Second
	maxHeaderBytes   = 64 << 10
)

// server holds the kept connections of one backend server. They are apart per
// server, so that dropping the idle ones of a suspect server leaves the others.
type server struct {
	transport *http.Transport

	mu          sync.Mutex
	incarnation string
}

// lastIncarnation returns the incarnation of the newest load report, or "".
func (s *server) lastIncarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

func (s *server) reported(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = incarnation
}

// serverTable finds the connections of a server by its address.
type serverTable struct {
	dial DialFunc

	mu      sync.Mutex
	servers *lru.Cache[string, *server]
}

func newServerTable(dial DialFunc) *serverTable {
	evicted := func(_ string, s *server) { s.transport.CloseIdleConnections() }
	cache, err := lru.NewWithEvict(maxServers, evicted)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &serverTable{dial: dial, servers: cache}
}

func (t *serverTable) get(b waxfleet.BackendServer) *server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers.Get(b.Address()); ok {
		return s
	}
	s := &server{transport: newTransport(t.dial, maxIdlePerServer)}
	t.servers.Add(b.Address(), s)
	return s
}

// callConn is a connection of calls. The dispatcher keeps its own handle, to
// close the one connection that carried a wrong answer.
type callConn struct{ net.Conn }

// newTransport returns a transport; with no idle connections, each request gets
// a fresh connection.
func newTransport(dial DialFunc, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &callConn{conn}, nil
		},
		DisableKeepAlives:      idlePerHost == 0,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
