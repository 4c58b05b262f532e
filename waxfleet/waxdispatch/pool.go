package waxdispatch

import (
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxhead"
)

const (
	// maxServerPools bounds the servers with pooled connections. An instance owns a
	// few of the 1,600 engines of the target fleet.
	maxServerPools = 2_048
	// maxIdleConnsPerServer exceeds the usual load limit of an engine, so that
	// calls to a fully loaded engine reuse connections.
	maxIdleConnsPerServer = 64
	idleConnTimeout       = 30 * time.Second
	maxHeaderBytes        = 64 << 10
)

// serverPool is the connection pool of one backend server. Each server has its
// own, so that closing the idle connections of a failing server affects no
// other.
type serverPool struct {
	transport *waxhead.Transport

	mu          sync.Mutex
	incarnation string
	// identifies is true if the responses of the server name their attempts.
	identifies bool
}

// namesAttempts reports whether the last response of the server named its attempt.
func (s *serverPool) namesAttempts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identifies
}

func (s *serverPool) setNamesAttempts(names bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identifies = names
}

// lastIncarnation returns the incarnation in the latest load report, or "".
func (s *serverPool) lastIncarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

func (s *serverPool) setIncarnation(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = incarnation
}

// poolCache is an LRU cache of connection pools by server address.
type poolCache struct {
	dial DialFunc

	mu    sync.Mutex
	pools *lru.Cache[string, *serverPool]
}

func newPoolCache(dial DialFunc) *poolCache {
	evicted := func(_ string, s *serverPool) { s.transport.CloseIdleConnections() }
	cache, err := lru.NewWithEvict(maxServerPools, evicted)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &poolCache{dial: dial, pools: cache}
}

func (c *poolCache) poolFor(b waxfleet.BackendServer) *serverPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.pools.Get(b.Address()); ok {
		return s
	}
	s := &serverPool{transport: newTransport(c.dial, maxIdleConnsPerServer)}
	c.pools.Add(b.Address(), s)
	return s
}

// newTransport returns a transport with at most idlePerHost idle connections per
// host; 0 opens a new connection for each request.
func newTransport(dial DialFunc, idlePerHost int) *waxhead.Transport {
	return waxhead.NewTransport(&http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      idlePerHost == 0,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}
