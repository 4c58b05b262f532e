package waxengine

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/oklog/ulid/v2"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/internal/waxserve"
)

// Defaults of Options.
const (
	DefaultAddress                                = "127.0.0.1:0"
	DefaultMaxBatch                               = 8
	DefaultCacheBlocks                            = 2000
	DefaultPrefillTokensPerSecond                 = 20_000
	DefaultTokenInterval          waxfleet.Millis = 5
	DefaultColdWindow                             = 2
	DefaultColdRequests                           = 8
	DefaultReportLag              waxfleet.Millis = 500
)

// NoReportLag is the ReportLag of reports that are current.
const NoReportLag waxfleet.Millis = -1

const (
	// downTime is the time that a dead engine refuses connections.
	downTime waxfleet.Millis = 1_000

	// fallenTime is the time that an engine that fell over answers 503.
	fallenTime waxfleet.Millis = 500
)

// Options are the settings of an Engine. Zero values take the defaults.
type Options struct {
	ID            string
	FailureDomain string
	// Address is "ip:port".
	Address string
	// Seed decides which answers the faults strike, and the names of the
	// incarnations.
	Seed uint64
	// Models are the models that it serves; empty is any.
	Models []string
	// MaxBatch is the number of requests that run at once; others wait.
	MaxBatch int
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens.
	CacheBlocks            int
	PrefillTokensPerSecond float64
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval waxfleet.Millis
	// ColdWindow is the number of requests that a cold engine bears.
	ColdWindow int
	// ColdFor and ColdRequests end the cold state after a time or after so many
	// completed requests, whichever comes first. With both zero it is
	// DefaultColdRequests.
	ColdFor      waxfleet.Millis
	ColdRequests int
	// StartWarm makes the first incarnation warm.
	StartWarm bool
	// ReportLag is the age of GET /load and of GET /cache-events.
	ReportLag waxfleet.Millis
	// CheckFencing refuses orders with an old fencing number.
	CheckFencing bool
	// Clock is the time; nil is the system's clock.
	Clock *waxfleet.Clock
}

func (o Options) withDefaults() Options {
	o.Address = orDefault(o.Address, DefaultAddress)
	o.MaxBatch = orDefault(o.MaxBatch, DefaultMaxBatch)
	o.CacheBlocks = orDefault(o.CacheBlocks, DefaultCacheBlocks)
	o.PrefillTokensPerSecond = orDefault(o.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	o.TokenInterval = orDefault(o.TokenInterval, DefaultTokenInterval)
	o.ColdWindow = orDefault(o.ColdWindow, DefaultColdWindow)
	o.ReportLag = max(orDefault(o.ReportLag, DefaultReportLag), 0)
	if o.ColdFor == 0 && o.ColdRequests == 0 {
		o.ColdRequests = DefaultColdRequests
	}
	if o.Clock == nil {
		o.Clock = waxfleet.NewClock()
	}
	return o
}

func orDefault[T comparable](value, def T) T {
	var zero T
	if value == zero {
		return def
	}
	return value
}

// Engine is a running stand-in. It ends with its context.
type Engine struct {
	opts    Options
	clock   *waxfleet.Clock
	server  *waxserve.Server
	freezer *waxserve.Freezer
	ctx     context.Context

	mu          sync.Mutex
	random      *rand.Rand
	entropy     *ulid.MonotonicEntropy
	faults      Faults
	life        life
	cold        bool
	coldSince   waxfleet.Millis
	coldDone    int
	fallenUntil waxfleet.Millis
	models      map[string]struct{}
	cache       *prefixCache
	cacheEvents []cacheEvent
	cacheSeq    uint64
	queue       runQueue
	arrivals    uint64
	running     int
	inFlight    map[*run]struct{}
	runs        map[string]*run
	swept       waxfleet.Millis
	lastID      string
	reports     []report
	fencing     uint64
	orders      []Order
	history     []Event
}

// life is one incarnation; its context ends with it.
type life struct {
	incarnation string
	ctx         context.Context
	end         context.CancelFunc
	down        bool
}

// New starts an engine. It is cold, unless the options say otherwise.
func New(ctx context.Context, opts Options) (*Engine, error) {
	opts = opts.withDefaults()
	source := rand.NewChaCha8(seedBytes(opts.Seed))
	e := &Engine{
		opts:     opts,
		clock:    opts.Clock,
		freezer:  &waxserve.Freezer{},
		ctx:      ctx,
		random:   rand.New(source),
		entropy:  ulid.Monotonic(source, 0),
		models:   map[string]struct{}{},
		inFlight: map[*run]struct{}{},
		runs:     map[string]*run{},
	}
	for _, m := range opts.Models {
		e.models[m] = struct{}{}
	}
	if err := e.beginLife(!opts.StartWarm); err != nil {
		return nil, err
	}
	var err error
	e.server, err = waxserve.New(ctx, opts.Address, e.handler())
	if err != nil {
		return nil, err
	}
	return e, nil
}

func seedBytes(seed uint64) (b [32]byte) {
	for i := range 8 {
		b[i] = byte(seed >> (8 * i))
	}
	return b
}

// ID returns the id of the options.
func (e *Engine) ID() string { return e.opts.ID }

// FailureDomain returns the failure domain of the options.
func (e *Engine) FailureDomain() string { return e.opts.FailureDomain }

// Address returns "ip:port".
func (e *Engine) Address() string { return e.server.Address() }

// InFlight returns the number of requests that run or wait.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.inFlight)
}

// Cold reports whether the engine is cold now, without the lag of its reports.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmUpLocked()
	return e.cold
}

// Incarnation returns a value that is greater after each restart.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life.incarnation
}

// Kill ends the engine: all connections are reset and new ones are refused
// until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dieLocked()
}

// Restart brings up a new, cold incarnation, after a Kill if there was none.
func (e *Engine) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.life.down {
		e.dieLocked()
	}
	return e.reviveLocked()
}

// dieLocked ends the incarnation and refuses connections.
func (e *Engine) dieLocked() {
	e.endLifeLocked()
	e.life.down = true
	e.server.Down()
}

// crashLocked is a death from which the engine returns by itself.
func (e *Engine) crashLocked() {
	e.dieLocked()
	ended := e.life.incarnation
	go func() {
		if e.clock.Sleep(e.ctx, downTime) != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life.down && e.life.incarnation == ended {
			_ = e.reviveLocked()
		}
	}()
}

func (e *Engine) reviveLocked() error {
	if err := e.beginLife(true); err != nil {
		return err
	}
	return e.server.Up()
}

// fallOverLocked ends the incarnation without closing the listener.
func (e *Engine) fallOverLocked() {
	e.endLifeLocked()
	_ = e.beginLife(true)
	e.fallenUntil = e.clock.Now() + fallenTime
	e.server.Cut()
}

func (e *Engine) endLifeLocked() {
	e.life.end()
	for r := range e.inFlight {
		r.stop(runDied)
		e.recordLocked(EventEnd, r)
		delete(e.inFlight, r)
	}
	e.runs = map[string]*run{}
	e.queue = nil
	e.running = 0
}

// beginLife starts an incarnation. A new process knows nothing of the load of
// the one before, so its reports start anew.
func (e *Engine) beginLife(cold bool) error {
	cache, err := newPrefixCache(e.opts.CacheBlocks, e.publishLocked)
	if err != nil {
		return err
	}
	e.cache = cache
	e.life.incarnation = ulid.MustNew(uint64(e.clock.Wall()), e.entropy).String()
	e.life.ctx, e.life.end = context.WithCancel(e.ctx)
	e.life.down = false
	e.fallenUntil = 0
	e.setColdLocked(cold)
	e.reports = nil
	e.reportLocked()
	return nil
}

func (e *Engine) turnColdLocked() {
	if cache, err := newPrefixCache(e.opts.CacheBlocks, e.publishLocked); err == nil {
		e.cache = cache
	}
	e.setColdLocked(true)
}

func (e *Engine) setColdLocked(cold bool) {
	e.cold = cold
	e.coldSince = e.clock.Now()
	e.coldDone = 0
	for r := range e.inFlight {
		r.borne = true
	}
}

func (e *Engine) warmUpLocked() {
	if !e.cold {
		return
	}
	byTime := e.opts.ColdFor > 0 && e.clock.Now()-e.coldSince >= e.opts.ColdFor
	byWork := e.opts.ColdRequests > 0 && e.coldDone >= e.opts.ColdRequests
	if byTime || byWork {
		e.cold = false
		e.reportLocked()
	}
}

// windowLocked is the number of requests that the engine bears.
func (e *Engine) windowLocked() int {
	if e.cold {
		return e.opts.ColdWindow
	}
	return e.opts.MaxBatch
}
