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

// NoReportLag is the Options.ReportLag of an engine whose reports are not delayed. It is
// negative because 0 means the default.
const NoReportLag waxfleet.Millis = -1

const (
	// restartDelay is how long a crashed engine refuses connections.
	restartDelay waxfleet.Millis = 1_000

	// overloadRecoveryDelay is how long an engine responds with 503 after an overload.
	overloadRecoveryDelay waxfleet.Millis = 500
)

// Options configures an Engine. Zero values mean the defaults.
type Options struct {
	ID            string
	FailureDomain string
	// Address is "ip:port".
	Address string
	// Seed determines which responses are affected by faults, and the incarnation IDs.
	Seed uint64
	// Models are the models that the engine serves; empty means any.
	Models []string
	// MaxBatch is the maximum number of concurrent requests; others are queued.
	MaxBatch int
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens.
	CacheBlocks int
	// PrefillTokensPerSecond is the rate at which uncached prompt tokens are computed.
	PrefillTokensPerSecond float64
	// TokenInterval is the interval between generated tokens.
	TokenInterval waxfleet.Millis
	// ColdWindow is the maximum number of concurrent requests of a cold engine. One more
	// overloads the engine, which ends its incarnation.
	ColdWindow int
	// ColdDuration and ColdRequests determine when a cold engine becomes warm: after
	// ColdDuration or after ColdRequests completed requests, whichever comes first. A zero
	// value disables the condition. If both are zero, ColdRequests is DefaultColdRequests.
	ColdDuration waxfleet.Millis
	ColdRequests int
	// StartWarm makes the first incarnation warm.
	StartWarm bool
	// ReportLag is the delay until GET /load and GET /cache-events show a change. 0 means
	// DefaultReportLag; NoReportLag means no delay.
	ReportLag waxfleet.Millis
	// CheckFencing rejects orders with a stale fencing token.
	CheckFencing bool
	// Clock is nil for the system clock.
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
	if o.ColdDuration == 0 && o.ColdRequests == 0 {
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

// Engine is a fake model engine. It stops when the context of New ends.
type Engine struct {
	opts       Options
	clock      *waxfleet.Clock
	server     *waxserve.Server
	freezeGate *waxserve.FreezeGate
	ctx        context.Context

	mu                 sync.Mutex
	rng                *rand.Rand
	entropy            *ulid.MonotonicEntropy
	faults             Faults
	process            process
	cold               bool
	coldSince          waxfleet.Millis
	completedWhileCold int
	unavailableUntil   waxfleet.Millis
	models             map[string]struct{}
	cache              *prefixCache
	cacheEvents        []cacheEvent
	cacheEventSeq      uint64
	queue              runQueue
	lastArrival        uint64
	running            int
	inFlight           map[*run]struct{}
	runsByID           map[string]*run
	lastSweep          waxfleet.Millis
	lastRequestID      string
	loadReports        []timedLoad
	highestFencing     uint64
	orders             []Order
	history            []Event
}

// process is one incarnation of the engine. ctx ends with it.
type process struct {
	incarnation string
	ctx         context.Context
	end         context.CancelFunc
	down        bool
}

// New starts an engine. It is cold unless Options.StartWarm is set, and stops when ctx
// ends.
//
// Errors: the engine can't listen on Options.Address, or Options.CacheBlocks is negative.
func New(ctx context.Context, opts Options) (*Engine, error) {
	opts = opts.withDefaults()
	source := rand.NewChaCha8(chachaSeed(opts.Seed))
	e := &Engine{
		opts:       opts,
		clock:      opts.Clock,
		freezeGate: &waxserve.FreezeGate{},
		ctx:        ctx,
		rng:        rand.New(source),
		entropy:    ulid.Monotonic(source, 0),
		models:     map[string]struct{}{},
		inFlight:   map[*run]struct{}{},
		runsByID:   map[string]*run{},
	}
	for _, m := range opts.Models {
		e.models[m] = struct{}{}
	}
	if err := e.beginIncarnationLocked(!opts.StartWarm); err != nil {
		return nil, err
	}
	var err error
	e.server, err = waxserve.New(ctx, opts.Address, e.handler())
	if err != nil {
		return nil, err
	}
	return e, nil
}

func chachaSeed(seed uint64) (b [32]byte) {
	for i := range 8 {
		b[i] = byte(seed >> (8 * i))
	}
	return b
}

// ID returns Options.ID.
func (e *Engine) ID() string { return e.opts.ID }

// FailureDomain returns Options.FailureDomain.
func (e *Engine) FailureDomain() string { return e.opts.FailureDomain }

// Address returns the listen address as "ip:port".
func (e *Engine) Address() string { return e.server.Address() }

// InFlight returns the number of running and queued requests.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.inFlight)
}

// Cold reports whether the engine is currently cold, without the report lag.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateColdLocked()
	return e.cold
}

// Incarnation returns the ID of the current incarnation, a ULID. Each incarnation has a
// higher ID than the previous one.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process.incarnation
}

// Kill stops the engine: all connections are reset and new ones are refused until
// Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopLocked()
}

// Restart starts a new, cold incarnation. It kills the engine first if it is running.
//
// Errors: the engine can't listen on its address again.
func (e *Engine) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.process.down {
		e.stopLocked()
	}
	return e.startLocked()
}

// stopLocked ends the incarnation and refuses connections.
func (e *Engine) stopLocked() {
	e.endIncarnationLocked()
	e.process.down = true
	e.server.Down()
}

// crashLocked stops the engine and restarts it after restartDelay.
func (e *Engine) crashLocked() {
	e.stopLocked()
	ended := e.process.incarnation
	go func() {
		if e.clock.Sleep(e.ctx, restartDelay) != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.process.down && e.process.incarnation == ended {
			_ = e.startLocked()
		}
	}()
}

func (e *Engine) startLocked() error {
	if err := e.beginIncarnationLocked(true); err != nil {
		return err
	}
	return e.server.Up()
}

// overloadLocked replaces the incarnation and resets connections, but keeps listening:
// the engine responds with 503 for overloadRecoveryDelay.
func (e *Engine) overloadLocked() {
	e.endIncarnationLocked()
	_ = e.beginIncarnationLocked(true)
	e.unavailableUntil = e.clock.Now() + overloadRecoveryDelay
	e.server.ResetConnections()
}

func (e *Engine) endIncarnationLocked() {
	e.process.end()
	for r := range e.inFlight {
		r.end(runAborted)
		e.recordLocked(EventEnd, r)
		delete(e.inFlight, r)
	}
	e.runsByID = map[string]*run{}
	e.queue = nil
	e.running = 0
}

// beginIncarnationLocked starts an incarnation. It discards the load reports of the
// previous one.
func (e *Engine) beginIncarnationLocked(cold bool) error {
	cache, err := newPrefixCache(e.opts.CacheBlocks, e.publishCacheEventLocked)
	if err != nil {
		return err
	}
	e.cache = cache
	e.process.incarnation = ulid.MustNew(uint64(e.clock.Wall()), e.entropy).String()
	e.process.ctx, e.process.end = context.WithCancel(e.ctx)
	e.process.down = false
	e.unavailableUntil = 0
	e.setColdLocked(cold)
	e.loadReports = nil
	e.recordLoadLocked()
	return nil
}

// resetToColdLocked empties the cache and makes the engine cold.
func (e *Engine) resetToColdLocked() {
	if cache, err := newPrefixCache(e.opts.CacheBlocks, e.publishCacheEventLocked); err == nil {
		e.cache = cache
	}
	e.setColdLocked(true)
}

func (e *Engine) setColdLocked(cold bool) {
	e.cold = cold
	e.coldSince = e.clock.Now()
	e.completedWhileCold = 0
	for r := range e.inFlight {
		r.beforeCold = true
	}
}

// updateColdLocked makes the engine warm if a condition for it is met.
func (e *Engine) updateColdLocked() {
	if !e.cold {
		return
	}
	timeElapsed := e.opts.ColdDuration > 0 && e.clock.Now()-e.coldSince >= e.opts.ColdDuration
	enoughCompleted := e.opts.ColdRequests > 0 && e.completedWhileCold >= e.opts.ColdRequests
	if timeElapsed || enoughCompleted {
		e.cold = false
		e.recordLoadLocked()
	}
}

// concurrencyLimitLocked returns the maximum number of concurrent requests.
func (e *Engine) concurrencyLimitLocked() int {
	if e.cold {
		return e.opts.ColdWindow
	}
	return e.opts.MaxBatch
}
