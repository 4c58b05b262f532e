package waxplatform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/internal/waxserve"
)

// DefaultAddress selects a free port of the loopback interface.
const DefaultAddress = "127.0.0.1:0"

// Options configures a Platform.
type Options struct {
	// Address is "ip:port"; empty means DefaultAddress.
	Address string
	// Seed determines which responses to writes are lost.
	Seed uint64
	// ListLag is the delay until GET /instances shows a change.
	ListLag waxfleet.Millis
	// WritesPerSecond and ReadsPerSecond are rate limits; 0 means unlimited.
	WritesPerSecond int
	ReadsPerSecond  int
	// Clock is nil for the system clock.
	Clock *waxfleet.Clock
}

// Faults selects the active faults.
type Faults struct {
	// Outage rejects each request with 503.
	Outage bool `json:"outage"`
	// RequestDelay is the delay of each request: half of it before the request takes effect
	// and half after.
	RequestDelay waxfleet.Millis `json:"slow-by"`
	// LoseResponses is the share, from 0 to 1, of writes that take effect but get no
	// response: the connection is closed.
	LoseResponses float64 `json:"lose-answers"`
	// PartitionedClients lists the clients (header X-Wax-Instance) that are partitioned
	// from the platform: their requests are held without effect or response.
	PartitionedClients []string `json:"cut-from"`
}

// Counts holds counts of requests and bytes. Reads and Writes are the requests since the
// start. Watches and Held are the watches that wait and the requests of partitioned
// clients that are held at present. BytesIn and BytesOut are the bytes of object values
// received and sent since the start.
type Counts struct {
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Watches  int64 `json:"watches"`
	Held     int64 `json:"held"`
	BytesIn  int64 `json:"bytes-in"`
	BytesOut int64 `json:"bytes-out"`
}

// Platform is a fake platform. It stops when the context of New ends.
type Platform struct {
	clock        *waxfleet.Clock
	server       *waxserve.Server
	store        *store
	instances    *instanceList
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter

	readCount  atomic.Int64
	writeCount atomic.Int64
	watchCount atomic.Int64
	heldCount  atomic.Int64
	bytesIn    atomic.Int64
	bytesOut   atomic.Int64

	mu            sync.Mutex
	rng           *rand.Rand
	faults        Faults
	faultsChanged chan struct{}
}

// New starts a platform. It stops when ctx ends.
//
// Errors: the platform can't listen on Options.Address.
func New(ctx context.Context, opts Options) (*Platform, error) {
	if opts.Address == "" {
		opts.Address = DefaultAddress
	}
	if opts.Clock == nil {
		opts.Clock = waxfleet.NewClock()
	}
	p := &Platform{
		clock:         opts.Clock,
		store:         newStore(opts.Clock),
		instances:     newInstanceList(opts.Clock, opts.ListLag),
		writeLimiter:  newLimiter(opts.WritesPerSecond),
		readLimiter:   newLimiter(opts.ReadsPerSecond),
		rng:           rand.New(rand.NewPCG(opts.Seed, 0)),
		faultsChanged: make(chan struct{}),
	}
	var err error
	p.server, err = waxserve.New(ctx, opts.Address, p.handler())
	if err != nil {
		return nil, err
	}
	return p, nil
}

// newLimiter returns a limiter with a burst of one second; 0 means unlimited.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Address returns the listen address as "ip:port".
func (p *Platform) Address() string { return p.server.Address() }

// AddRouter adds a live router instance to the list.
func (p *Platform) AddRouter(id, failureDomain, peerAddress, callerAddress string) {
	p.instances.set(id, listEntry{router: &Router{
		ID:            id,
		FailureDomain: failureDomain,
		PeerAddress:   peerAddress,
		CallerAddress: callerAddress,
		State:         waxfleet.StateLive,
	}})
}

// AddBackendServer adds a live backend server to the list.
func (p *Platform) AddBackendServer(id, service, failureDomain, address string) {
	p.instances.set(id, listEntry{server: &BackendServer{
		ID:            id,
		Service:       service,
		FailureDomain: failureDomain,
		Address:       address,
		State:         waxfleet.StateLive,
	}})
}

// SetState changes the state of a listed router or backend server.
func (p *Platform) SetState(id string, state waxfleet.State) { p.instances.setState(id, state) }

// Remove removes a router or backend server from the list.
func (p *Platform) Remove(id string) { p.instances.set(id, listEntry{}) }

// SetListLag changes the delay Options.ListLag. Changes to the list that are already
// visible stay visible.
func (p *Platform) SetListLag(lag waxfleet.Millis) { p.instances.setLag(lag) }

// Instances returns the list as GET /instances currently shows it.
func (p *Platform) Instances() Instances { return p.instances.visibleInstances() }

// Put writes an object unconditionally and returns its version.
func (p *Platform) Put(kind, name string, value []byte) uint64 {
	return p.store.put(kind, name, value, "")
}

// Get returns an object, or false if it does not exist.
func (p *Platform) Get(kind, name string) (waxfleet.Object, bool) { return p.store.get(kind, name) }

// SetFaults replaces the active faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// History returns all writes that took effect, in order.
func (p *Platform) History() []Event { return p.store.events() }

// Counts returns the current counts. They include requests rejected by a fault or a
// rate limit, but no admin requests.
func (p *Platform) Counts() Counts {
	return Counts{
		Reads:    p.readCount.Load(),
		Writes:   p.writeCount.Load(),
		Watches:  p.watchCount.Load(),
		Held:     p.heldCount.Load(),
		BytesIn:  p.bytesIn.Load(),
		BytesOut: p.bytesOut.Load(),
	}
}

// currentFaults returns the active faults and a channel that is closed when they
// change.
func (p *Platform) currentFaults() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsChanged
}

// shouldLoseResponse decides at random whether the response to a write is lost.
func (p *Platform) shouldLoseResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.LoseResponses > 0 && p.rng.Float64() < p.faults.LoseResponses
}

// countAndAllow counts a request and reports whether the rate limit allows it.
func (p *Platform) countAndAllow(method string) bool {
	now := time.UnixMilli(int64(p.clock.Now()))
	if method == http.MethodGet {
		p.readCount.Add(1)
		return p.readLimiter.AllowN(now, 1)
	}
	p.writeCount.Add(1)
	return p.writeLimiter.AllowN(now, 1)
}
