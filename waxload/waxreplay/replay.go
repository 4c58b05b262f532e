// Package waxreplay sends the requests of a trace to caller addresses over HTTP
// and records how each of them ended.
package waxreplay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxreport"
	"waxwingdrift.org/waxload/waxtrace"
)

// Verifier checks the answer to a request: tokens holds the text of each stream
// chunk in order. It is called only for streams that ended with [DONE], from
// several goroutines at once.
type Verifier func(requestBody []byte, tokens []string) error

// Complete is a Verifier that accepts every answer with a token.
func Complete(_ []byte, tokens []string) error {
	if len(tokens) == 0 {
		return waxfleet.NewError(waxfleet.CodeStreamIncomplete, "no token before the end of the stream")
	}
	return nil
}

// Choice tells how the entry instance of a request is chosen.
type Choice string

// Choices.
const (
	RoundRobin Choice = "round-robin"
	Seeded     Choice = "seeded"
)

// Options describes a replay.
type Options struct {
	// Addresses are the caller addresses, "ip:port".
	Addresses []string
	Choice    Choice
	Seed      uint64
	// Model is the model of the chat calls.
	Model string
	// Service and OncePath name the plain service and the path of once calls.
	Service  string
	OncePath string
	// Key returns the API key of a workspace; nil means the workspace name.
	Key func(workspace string) string
	// Concurrency bounds the requests in flight. A request that finds no place is
	// sent late.
	Concurrency int
	// TimeScale divides the times of the trace: 2 sends twice as fast.
	TimeScale float64
	// MaxRequests and MaxDuration bound the replay; 0 means the whole trace.
	MaxRequests int
	MaxDuration time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
}

// DefaultOptions returns options for the addresses.
func DefaultOptions(addresses ...string) Options {
	return Options{
		Addresses: addresses, Choice: RoundRobin, Seed: 1,
		Model: "default", Service: "plain", OncePath: "once",
		Concurrency: 256, TimeScale: 1, Timeout: 2 * time.Minute,
	}
}

func (o Options) check() error {
	switch {
	case len(o.Addresses) == 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "replay: no address")
	case o.Choice != RoundRobin && o.Choice != Seeded:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "replay: choice %q is neither %s nor %s", o.Choice, RoundRobin, Seeded)
	case o.Concurrency < 1, o.TimeScale <= 0, o.Timeout <= 0, o.MaxRequests < 0, o.MaxDuration < 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "replay: concurrency, time scale and timeout must be positive")
	}
	return nil
}

// Result is what a replay has recorded. Samples are in the order of the trace.
type Result struct {
	Samples []waxreport.Sample
	// Gaps holds the times between tokens, in microseconds.
	Gaps *hdrhistogram.Histogram
	// Late is the longest delay of a request behind its time in the trace.
	Late time.Duration
}

// Replayer sends traces. It may be used for one Run at a time.
type Replayer struct {
	opts   Options
	verify Verifier
	clock  *waxfleet.Clock
	client *http.Client

	mu   sync.Mutex
	gaps *hdrhistogram.Histogram
}

// New returns a replayer. A nil verify means Complete.
func New(opts Options, verify Verifier, clock *waxfleet.Clock) (*Replayer, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	if verify == nil {
		verify = Complete
	}
	if opts.Key == nil {
		opts.Key = func(workspace string) string { return workspace }
	}
	transport := &http.Transport{MaxIdleConnsPerHost: opts.Concurrency, DisableCompression: true}
	return &Replayer{opts: opts, verify: verify, clock: clock, client: &http.Client{Transport: transport}}, nil
}

// Run replays the records until the trace, a bound of the options or ctx ends.
// It returns after the last request has ended. Requests that were sent are in
// the result even when ctx has ended.
func (r *Replayer) Run(ctx context.Context, records []waxtrace.Record) Result {
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	defer r.client.CloseIdleConnections()
	if r.opts.MaxRequests > 0 && len(records) > r.opts.MaxRequests {
		records = records[:r.opts.MaxRequests]
	}
	r.gaps = waxreport.NewHistogram()
	calls := r.prepare(records)
	samples := make([]waxreport.Sample, len(calls))
	places := make(chan struct{}, r.opts.Concurrency)
	var wg sync.WaitGroup
	start := r.clock.Now()
	sent, late := 0, waxfleet.Millis(0)
	for i := range calls {
		due := start + r.offset(records, i)
		if !r.waitFor(ctx, due, places) {
			break
		}
		now := r.clock.Now()
		late = max(late, now-due)
		sent++
		wg.Go(func() {
			samples[i] = r.do(ctx, calls[i], (now - start).Duration())
			<-places
		})
	}
	wg.Wait()
	return Result{Samples: samples[:sent], Gaps: r.gaps, Late: late.Duration()}
}

func (r *Replayer) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.opts.MaxDuration > 0 {
		return context.WithTimeout(ctx, r.opts.MaxDuration)
	}
	return context.WithCancel(ctx)
}

// offset is when the i-th record is due, since the start of the replay.
func (r *Replayer) offset(records []waxtrace.Record, i int) waxfleet.Millis {
	return waxfleet.Millis(float64(records[i].Timestamp-records[0].Timestamp) / r.opts.TimeScale)
}

// waitFor waits for the time and for a place, and reports whether it got both.
func (r *Replayer) waitFor(ctx context.Context, due waxfleet.Millis, places chan<- struct{}) bool {
	if wait := due - r.clock.Now(); wait > 0 && r.clock.Sleep(ctx, wait) != nil {
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	select {
	case places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// prepare fixes what depends on the order of the trace alone: entry, turn, ids.
func (r *Replayer) prepare(records []waxtrace.Record) []call {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 0x656e747279))
	unlimited := waxtrace.Unlimited(records)
	turns := map[string]int{}
	start := r.clock.Wall()
	calls := make([]call, len(records))
	for i, record := range records {
		entry := i
		if r.opts.Choice == Seeded {
			entry = rng.IntN(len(r.opts.Addresses))
		}
		chat := record.Workspace + "/" + record.Chat
		turns[chat]++
		calls[i] = call{
			index: i, record: record, turn: turns[chat], unlimited: unlimited[i],
			entry: strings.TrimPrefix(r.opts.Addresses[entry%len(r.opts.Addresses)], "http://"),
			id:    callID(start+r.offset(records, i), r.opts.Seed, i),
		}
	}
	return calls
}
