package waxlatency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxembed"
)

const (
	// maxMicros is the highest recorded latency, in µs; requestTimeout is below it.
	maxMicros = 60_000_000
	// significant is the number of significant digits of the histograms.
	significant = 3
)

// path is the way that a request takes.
type path int

const (
	direct path = iota
	routed
)

// histograms collects the timings of one path.
type histograms struct {
	mu        sync.Mutex
	firstByte *hdrhistogram.Histogram
	total     *hdrhistogram.Histogram
	requests  int64
	failures  int64
	lastError error
}

func newHistograms() *histograms {
	return &histograms{
		firstByte: hdrhistogram.New(1, maxMicros, significant),
		total:     hdrhistogram.New(1, maxMicros, significant),
	}
}

func (h *histograms) add(t timing, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.failures++
		h.lastError = err
		return
	}
	h.requests++
	_ = h.firstByte.RecordValue(t.firstByte.Microseconds())
	_ = h.total.RecordValue(t.total.Microseconds())
}

// bench is a running measurement.
type bench struct {
	opts      Options
	addresses []string
	engines   map[string]string
	callers   []*caller
	// servers holds the engine that the fleet chose for each caller's chat; the
	// direct request goes to the same one.
	servers []string
}

// Run starts an embedded fleet, measures it and stops it.
func Run(ctx context.Context, opts Options) (Result, error) {
	if err := opts.validate(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := waxembed.Start(ctx, opts.fleet())
	if err != nil {
		return Result{}, err
	}
	b := newBench(opts, fleet)
	// The concurrency windows of the engines open under other chats, so that the
	// measured ones are at their first choice.
	for _, prefix := range []string{"warm-up", "chat"} {
		if err := b.learn(ctx, prefix); err != nil {
			return Result{}, err
		}
		b.phase(ctx, opts.Warmup, direct, routed)
	}
	latency := b.phase(ctx, opts.Duration, direct, routed)
	result := Result{Streams: opts.Streams, Routers: opts.Routers, Engines: opts.Engines, Tokens: opts.Tokens}
	result.setLatency(latency[direct], latency[routed])
	idle, err := b.idle(ctx)
	if err != nil {
		return Result{}, err
	}
	result.IdleCPUPerSecond = idle
	for _, p := range []path{direct, routed} {
		u, err := b.usage(ctx, p, idle)
		if err != nil {
			return Result{}, err
		}
		result.setUsage(p, u)
	}
	if err := ctx.Err(); err != nil {
		return Result{}, waxfleet.WrapError(err, waxfleet.CodeCancelled, "the measurement was interrupted")
	}
	return result, nil
}

// Load keeps the given number of streams busy through the routers of a running
// fleet for a time, and returns the number of whole answers.
func Load(ctx context.Context, fleet *waxembed.Fleet, streams, tokens int, interval waxfleet.Millis, length time.Duration) (int64, error) {
	b := newBench(Options{Streams: streams, Tokens: tokens, TokenInterval: interval}, fleet)
	for i := range streams {
		b.callers = append(b.callers, newCaller(fmt.Sprintf("load-%04d", i), tokens))
	}
	h := b.phase(ctx, length, routed)[routed]
	if h.requests == 0 {
		return 0, waxfleet.WrapError(h.lastError, waxfleet.CodeInternal, "no request was answered")
	}
	return h.requests, nil
}

func newBench(opts Options, fleet *waxembed.Fleet) *bench {
	b := &bench{opts: opts, addresses: fleet.CallerAddresses(), engines: map[string]string{}, servers: make([]string, opts.Streams)}
	for _, e := range fleet.Engines() {
		b.engines[e.ID()] = e.Address()
	}
	return b
}

func (b *bench) entry(i int) string { return b.addresses[i%len(b.addresses)] }

const workspaces = 10

func workspace(i int) string { return fmt.Sprintf("ws-%02d", i%workspaces+1) }

// learn makes the callers and sends each chat through the fleet once, to find its
// engine. The engine then has the prompt in its cache for both paths.
func (b *bench) learn(ctx context.Context, prefix string) error {
	b.callers = make([]*caller, b.opts.Streams)
	var wg sync.WaitGroup
	errs := make([]error, len(b.callers))
	for i := range b.callers {
		c := newCaller(fmt.Sprintf("%s-%04d", prefix, i), b.opts.Tokens)
		b.callers[i] = c
		wg.Go(func() {
			b.spread(ctx, i)
			t, err := c.call(ctx, b.entry(i), workspace(i))
			b.servers[i], errs[i] = t.server, err
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, id := range b.servers {
		if _, ok := b.engines[id]; !ok {
			return waxfleet.NewError(waxfleet.CodeInternal, "backend server %q is no engine of the fleet", id)
		}
	}
	return nil
}

// phase keeps all streams busy for a time and returns the timings by path. With
// both paths, each stream takes them in turn, in an order drawn for each pair, so
// that both see the same load.
func (b *bench) phase(ctx context.Context, length time.Duration, paths ...path) map[path]*histograms {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := map[path]*histograms{direct: newHistograms(), routed: newHistograms()}
	var stopping atomic.Bool
	timer := time.AfterFunc(length, func() { stopping.Store(true) })
	defer timer.Stop()
	var wg sync.WaitGroup
	for i := range b.callers {
		random := rand.New(rand.NewPCG(b.opts.Seed, uint64(i)))
		wg.Go(func() {
			b.spread(ctx, i)
			for !stopping.Load() && ctx.Err() == nil {
				order := append([]path(nil), paths...)
				random.Shuffle(len(order), func(x, y int) { order[x], order[y] = order[y], order[x] })
				for _, p := range order {
					t, err := b.send(ctx, i, p)
					result[p].add(t, err)
				}
			}
		})
	}
	wg.Wait()
	return result
}

// spread delays the first request of a stream, so that the streams do not start
// in step.
func (b *bench) spread(ctx context.Context, i int) {
	answer := time.Duration(b.opts.Tokens) * b.opts.TokenInterval.Duration()
	select {
	case <-time.After(answer * time.Duration(i) / time.Duration(b.opts.Streams)):
	case <-ctx.Done():
	}
}

func (b *bench) send(ctx context.Context, i int, p path) (timing, error) {
	if p == direct {
		return b.callers[i].call(ctx, b.engines[b.servers[i]], workspace(i))
	}
	return b.callers[i].call(ctx, b.entry(i), workspace(i))
}

// idleTime is the length of the idle phase.
const idleTime = 5 * time.Second

// idle returns the CPU seconds per second without requests: control traffic and
// polling.
func (b *bench) idle(ctx context.Context) (float64, error) {
	before, err := cpuSeconds()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	select {
	case <-time.After(idleTime):
	case <-ctx.Done():
	}
	after, err := cpuSeconds()
	return (after - before) / time.Since(start).Seconds(), err
}

// usage measures the CPU time of the process with all streams on one path, less
// what the idle fleet uses.
func (b *bench) usage(ctx context.Context, p path, idle float64) (usage, error) {
	before, err := cpuSeconds()
	if err != nil {
		return usage{}, err
	}
	start := time.Now()
	h := b.phase(ctx, b.opts.Duration, p)[p]
	seconds := time.Since(start).Seconds()
	after, err := cpuSeconds()
	if err != nil {
		return usage{}, err
	}
	if h.requests == 0 {
		return usage{}, waxfleet.WrapError(h.lastError, waxfleet.CodeInternal, "no request of the CPU phase was answered")
	}
	cpu := after - before - idle*seconds
	return usage{requests: h.requests, failures: h.failures, rate: float64(h.requests) / seconds, perRequest: cpu / float64(h.requests)}, nil
}

// usage is the outcome of one CPU phase.
type usage struct {
	requests   int64
	failures   int64
	rate       float64
	perRequest float64
}

// cpuSeconds returns the CPU time of this process so far, user and system.
func cpuSeconds() (float64, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0, waxfleet.WrapError(err, waxfleet.CodeInternal, "the CPU time could not be read")
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()).Seconds(), nil
}
