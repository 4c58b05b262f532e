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

// DefaultAddress takes a free port of the loopback interface.
const DefaultAddress = "127.0.0.1:0"

// Options are the settings of a Platform.
type Options struct {
	// Address is "ip:port"; empty is DefaultAddress.
	Address string
	// Seed decides which write answers are lost.
	Seed uint64
	// ListLag is the age of what GET /instances shows.
	ListLag waxfleet.Millis
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 is unlimited.
	WritesPerSecond int
	ReadsPerSecond  int
	// Clock is the time; nil is the system's clock.
	Clock *waxfleet.Clock
}

// Faults are what is wrong with the platform now.
type Faults struct {
	// Outage answers each call with 503; nothing is read or written.
	Outage bool `json:"outage"`
	// SlowBy delays each call, half of it before it takes effect.
	SlowBy waxfleet.Millis `json:"slow-by"`
	// LoseAnswers is the share of writes that take effect and whose connection
	// is then cut.
	LoseAnswers float64 `json:"lose-answers"`
	// CutFrom lists the clients (header X-Wax-Instance) that get no answer.
	CutFrom []string `json:"cut-from"`
}

// Counts are the calls since the start, the watches that wait now, the calls of
// cut-off clients that are held now, and the bytes of object values.
type Counts struct {
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Watches  int64 `json:"watches"`
	Held     int64 `json:"held"`
	BytesIn  int64 `json:"bytes-in"`
	BytesOut int64 `json:"bytes-out"`
}

// Platform is a running stand-in. It ends with its context.
type Platform struct {
	clock  *waxfleet.Clock
	server *waxserve.Server
	store  *store
	list   *instanceList
	writes *rate.Limiter
	reads  *rate.Limiter

	readCount  atomic.Int64
	writeCount atomic.Int64
	watchCount atomic.Int64
	heldCount  atomic.Int64
	bytesIn    atomic.Int64
	bytesOut   atomic.Int64

	mu      sync.Mutex
	random  *rand.Rand
	faults  Faults
	changed chan struct{}
}

// New starts a platform.
func New(ctx context.Context, opts Options) (*Platform, error) {
	if opts.Address == "" {
		opts.Address = DefaultAddress
	}
	if opts.Clock == nil {
		opts.Clock = waxfleet.NewClock()
	}
	p := &Platform{
		clock:   opts.Clock,
		store:   newStore(opts.Clock),
		list:    newInstanceList(opts.Clock, opts.ListLag),
		writes:  limiter(opts.WritesPerSecond),
		reads:   limiter(opts.ReadsPerSecond),
		random:  rand.New(rand.NewPCG(opts.Seed, 0)),
		changed: make(chan struct{}),
	}
	var err error
	p.server, err = waxserve.New(ctx, opts.Address, p.handler())
	if err != nil {
		return nil, err
	}
	return p, nil
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Address returns "ip:port" of the Object API and the instance list.
func (p *Platform) Address() string { return p.server.Address() }

// AddRouter lists a router instance as live.
func (p *Platform) AddRouter(id, failureDomain, peerAddress, callerAddress string) {
	p.list.set(id, listed{router: &Router{
		ID: id, FailureDomain: failureDomain, PeerAddress: peerAddress,
		CallerAddress: callerAddress, State: waxfleet.StateLive,
	}})
}

// AddBackendServer lists a backend server as live.
func (p *Platform) AddBackendServer(id, service, failureDomain, address string) {
	p.list.set(id, listed{server: &BackendServer{
		ID: id, Service: service, FailureDomain: failureDomain,
		Address: address, State: waxfleet.StateLive,
	}})
}

// SetState changes the state of a listed router or backend server.
func (p *Platform) SetState(id string, state waxfleet.State) { p.list.setState(id, state) }

// Remove takes a router or backend server off the list.
func (p *Platform) Remove(id string) { p.list.set(id, listed{}) }

// SetListLag replaces the age of what GET /instances shows. Changes that are
// shown already stay.
func (p *Platform) SetListLag(lag waxfleet.Millis) { p.list.setLag(lag) }

// Instances returns the list as GET /instances shows it now.
func (p *Platform) Instances() Instances { return p.list.show() }

// Put writes an object without a condition and returns its version.
func (p *Platform) Put(kind, name string, value []byte) uint64 {
	return p.store.put(kind, name, value, "")
}

// Get reads an object.
func (p *Platform) Get(kind, name string) (waxfleet.Object, bool) { return p.store.get(kind, name) }

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// History returns all writes that took effect, in their order.
func (p *Platform) History() []Event { return p.store.events() }

// Counts returns the calls so far. Calls that a fault or a rate limit refused
// count as well; admin calls do not.
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

// current returns the faults and a channel that closes when they change.
func (p *Platform) current() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

func (p *Platform) losesAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.LoseAnswers > 0 && p.random.Float64() < p.faults.LoseAnswers
}

func (p *Platform) allow(method string) bool {
	now := time.UnixMilli(int64(p.clock.Now()))
	if method == http.MethodGet {
		p.readCount.Add(1)
		return p.reads.AllowN(now, 1)
	}
	p.writeCount.Add(1)
	return p.writes.AllowN(now, 1)
}
