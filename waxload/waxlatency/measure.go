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
	// maxLatencyMicros is the highest value of the histograms, in µs. It exceeds
	// requestTimeout.
	maxLatencyMicros = 60_000_000
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// path is the path of a request: direct to the engine, or routed through the fleet.
type path int

const (
	direct path = iota
	routed
)

// histograms collects the timings of one path.
type histograms struct {
	mu              sync.Mutex
	timeToFirstByte *hdrhistogram.Histogram
	total           *hdrhistogram.Histogram
	requests        int64
	failures        int64
	lastError       error
}

func newHistograms() *histograms {
	return &histograms{
		timeToFirstByte: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		total:           hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

func (h *histograms) record(t timing, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.failures++
		h.lastError = err
		return
	}
	h.requests++
	_ = h.timeToFirstByte.RecordValue(t.timeToFirstByte.Microseconds())
	_ = h.total.RecordValue(t.total.Microseconds())
}

// benchmark is a running measurement.
type benchmark struct {
	opts            Options
	addresses       []string
	engineAddresses map[string]string
	callers         []*streamCaller
	// servers holds, by caller, the ID of the engine that the fleet selected for the
	// caller's chat. Direct requests go to the same engine.
	servers []string
}

// Run starts an embedded fleet, measures it and stops it. Invalid options give an
// error with CodeSettingInvalid.
func Run(ctx context.Context, opts Options) (Result, error) {
	if err := opts.validate(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := waxembed.Start(ctx, opts.fleetOptions())
	if err != nil {
		return Result{}, err
	}
	b := newBenchmark(opts, fleet)
	// Other chats open the concurrency windows of the engines first, so that the
	// measured chats are placed at their preferred engine.
	for _, prefix := range []string{"warm-up", "chat"} {
		if err := b.locateChats(ctx, prefix); err != nil {
			return Result{}, err
		}
		b.runLoad(ctx, opts.WarmupDuration, direct, routed)
	}
	latency := b.runLoad(ctx, opts.Duration, direct, routed)
	result := Result{
		Streams: opts.Streams,
		Routers: opts.Routers,
		Engines: opts.Engines,
		Tokens:  opts.Tokens,
	}
	result.recordLatency(latency[direct], latency[routed])
	idle, err := b.measureIdleCPU(ctx)
	if err != nil {
		return Result{}, err
	}
	result.IdleCPUPerSecond = idle
	for _, p := range []path{direct, routed} {
		usage, err := b.measureCPU(ctx, p, idle)
		if err != nil {
			return Result{}, err
		}
		result.recordCPU(p, usage)
	}
	if err := ctx.Err(); err != nil {
		return Result{}, waxfleet.WrapError(err, waxfleet.CodeCancelled, "measurement interrupted")
	}
	return result, nil
}

// GenerateLoad sends requests through the routers of a running fleet, with the given
// number of concurrent streams and for the duration. tokens is the length of a
// response, tokenInterval the token interval of the engines. It returns the number of
// complete responses, or an error with CodeInternal if there was none.
func GenerateLoad(
	ctx context.Context,
	fleet *waxembed.Fleet,
	streams, tokens int,
	tokenInterval waxfleet.Millis,
	duration time.Duration,
) (int64, error) {
	b := newBenchmark(Options{Streams: streams, Tokens: tokens, TokenInterval: tokenInterval}, fleet)
	for i := range streams {
		b.callers = append(b.callers, newStreamCaller(fmt.Sprintf("load-%04d", i), tokens))
	}
	h := b.runLoad(ctx, duration, routed)[routed]
	if h.requests == 0 {
		return 0, waxfleet.WrapError(h.lastError, waxfleet.CodeInternal, "no request succeeded")
	}
	return h.requests, nil
}

func newBenchmark(opts Options, fleet *waxembed.Fleet) *benchmark {
	b := &benchmark{
		opts:            opts,
		addresses:       fleet.CallerAddresses(),
		engineAddresses: map[string]string{},
		servers:         make([]string, opts.Streams),
	}
	for _, e := range fleet.Engines() {
		b.engineAddresses[e.ID()] = e.Address()
	}
	return b
}

func (b *benchmark) callerAddress(i int) string { return b.addresses[i%len(b.addresses)] }

const workspaceCount = 10

func workspaceName(i int) string { return fmt.Sprintf("ws-%02d", i%workspaceCount+1) }

// locateChats creates the callers and sends each chat through the fleet once to find
// its engine. From then on the engine has the prompt in its cache, for both paths.
func (b *benchmark) locateChats(ctx context.Context, prefix string) error {
	b.callers = make([]*streamCaller, b.opts.Streams)
	var wg sync.WaitGroup
	errs := make([]error, len(b.callers))
	for i := range b.callers {
		c := newStreamCaller(fmt.Sprintf("%s-%04d", prefix, i), b.opts.Tokens)
		b.callers[i] = c
		wg.Go(func() {
			b.stagger(ctx, i)
			t, err := c.send(ctx, b.callerAddress(i), workspaceName(i))
			b.servers[i], errs[i] = t.server, err
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, id := range b.servers {
		if _, ok := b.engineAddresses[id]; !ok {
			return waxfleet.NewError(waxfleet.CodeInternal, "backend server %q is not an engine of the fleet", id)
		}
	}
	return nil
}

// runLoad keeps all streams busy for the duration and returns the timings by path.
// With both paths, each stream sends pairs of a direct and a routed request in random
// order, so that both paths see the same load.
func (b *benchmark) runLoad(ctx context.Context, duration time.Duration, paths ...path) map[path]*histograms {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timings := map[path]*histograms{direct: newHistograms(), routed: newHistograms()}
	var stopping atomic.Bool
	timer := time.AfterFunc(duration, func() { stopping.Store(true) })
	defer timer.Stop()
	var wg sync.WaitGroup
	for i := range b.callers {
		rng := rand.New(rand.NewPCG(b.opts.Seed, uint64(i)))
		wg.Go(func() {
			b.stagger(ctx, i)
			for !stopping.Load() && ctx.Err() == nil {
				order := append([]path(nil), paths...)
				rng.Shuffle(len(order), func(x, y int) { order[x], order[y] = order[y], order[x] })
				for _, p := range order {
					t, err := b.send(ctx, i, p)
					timings[p].record(t, err)
				}
			}
		})
	}
	wg.Wait()
	return timings
}

// stagger delays the first request of a stream, so that the streams don't run in
// lockstep.
func (b *benchmark) stagger(ctx context.Context, i int) {
	responseDuration := time.Duration(b.opts.Tokens) * b.opts.TokenInterval.Duration()
	select {
	case <-time.After(responseDuration * time.Duration(i) / time.Duration(b.opts.Streams)):
	case <-ctx.Done():
	}
}

func (b *benchmark) send(ctx context.Context, i int, p path) (timing, error) {
	if p == direct {
		return b.callers[i].send(ctx, b.engineAddresses[b.servers[i]], workspaceName(i))
	}
	return b.callers[i].send(ctx, b.callerAddress(i), workspaceName(i))
}

// idleDuration is the duration of the idle phase.
const idleDuration = 5 * time.Second

// measureIdleCPU returns the CPU time per second of the process without requests. The
// fleet uses it for control traffic and polling.
func (b *benchmark) measureIdleCPU(ctx context.Context) (float64, error) {
	before, err := cpuSeconds()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	select {
	case <-time.After(idleDuration):
	case <-ctx.Done():
	}
	after, err := cpuSeconds()
	return (after - before) / time.Since(start).Seconds(), err
}

// measureCPU measures the CPU time of the process with all streams on one path,
// without that of the idle fleet. idlePerSecond is the result of measureIdleCPU.
func (b *benchmark) measureCPU(ctx context.Context, p path, idlePerSecond float64) (cpuUsage, error) {
	before, err := cpuSeconds()
	if err != nil {
		return cpuUsage{}, err
	}
	start := time.Now()
	h := b.runLoad(ctx, b.opts.Duration, p)[p]
	seconds := time.Since(start).Seconds()
	after, err := cpuSeconds()
	if err != nil {
		return cpuUsage{}, err
	}
	if h.requests == 0 {
		return cpuUsage{}, waxfleet.WrapError(h.lastError, waxfleet.CodeInternal, "no request of the CPU phase succeeded")
	}
	cpu := after - before - idlePerSecond*seconds
	return cpuUsage{
		requests:             h.requests,
		failures:             h.failures,
		requestsPerSecond:    float64(h.requests) / seconds,
		cpuSecondsPerRequest: cpu / float64(h.requests),
	}, nil
}

// cpuUsage is the result of one CPU phase.
type cpuUsage struct {
	requests             int64
	failures             int64
	requestsPerSecond    float64
	cpuSecondsPerRequest float64
}

// cpuSeconds returns the user and system CPU time of this process so far.
func cpuSeconds() (float64, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0, waxfleet.WrapError(err, waxfleet.CodeInternal, "failed to read the CPU time")
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()).Seconds(), nil
}
