// Package waxreplay sends the requests of a trace to caller addresses over HTTP
// and records the outcome and the latency of each.
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

// Verifier checks the response to a request. tokens holds the text of each stream
// event in order. It is called only for streams that ended with [DONE]. It must
// be safe for concurrent use.
type Verifier func(requestBody []byte, tokens []string) error

// VerifyNotEmpty is a Verifier that accepts every response with at least one
// token. Otherwise it returns an error with CodeStreamIncomplete.
func VerifyNotEmpty(_ []byte, tokens []string) error {
	if len(tokens) == 0 {
		return waxfleet.NewError(waxfleet.CodeStreamIncomplete, "no token before the end of the stream")
	}
	return nil
}

// EntrySelection is the policy that selects the entry instance of a request: the
// instance that receives it from the caller.
type EntrySelection string

// Entry selection policies. SeededRandom draws the instance from a generator that
// is seeded with Options.Seed.
const (
	RoundRobin   EntrySelection = "round-robin"
	SeededRandom EntrySelection = "seeded"
)

// Options describes a replay.
type Options struct {
	// Addresses are the caller addresses, "ip:port".
	Addresses      []string
	EntrySelection EntrySelection
	// Seed determines the random entry selection and the request IDs.
	Seed uint64
	// Model is the model of the chat calls.
	Model string
	// Service and AtMostOncePath are the plain service and the path of at-most-once
	// calls.
	Service        string
	AtMostOncePath string
	// APIKey returns the API key of a workspace. If nil, the key is the workspace
	// name.
	APIKey func(workspace string) string
	// Concurrency is the maximum number of requests in flight. A request that is due
	// while they are in flight is sent late.
	Concurrency int
	// TimeScale divides the timestamps of the trace: 2 replays at twice the speed.
	TimeScale float64
	// MaxRequests and MaxDuration limit the replay; 0 is no limit.
	MaxRequests int
	MaxDuration time.Duration
	// Timeout is the timeout of each request, including the time to read the response.
	Timeout time.Duration
}

// DefaultOptions returns the options for a replay of the complete trace at its own
// speed against the addresses.
func DefaultOptions(addresses ...string) Options {
	return Options{
		Addresses:      addresses,
		EntrySelection: RoundRobin,
		Seed:           1,
		Model:          "default",
		Service:        "plain",
		AtMostOncePath: "once",
		Concurrency:    256,
		TimeScale:      1,
		Timeout:        2 * time.Minute,
	}
}

func (o Options) validate() error {
	switch {
	case len(o.Addresses) == 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "replay: no addresses")
	case o.EntrySelection != RoundRobin && o.EntrySelection != SeededRandom:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "replay: invalid choice %q; want %s or %s", o.EntrySelection, RoundRobin, SeededRandom)
	case o.Concurrency < 1, o.TimeScale <= 0, o.Timeout <= 0, o.MaxRequests < 0, o.MaxDuration < 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "replay: concurrency, time scale and timeout must be positive, limits not negative")
	}
	return nil
}

// Result holds the measurements of a replay. Samples are in the order of the
// trace.
type Result struct {
	Samples []waxreport.Sample
	// ITL is the inter-token latency in microseconds.
	ITL *hdrhistogram.Histogram
	// MaxSendDelay is the longest delay between the time at which a request was due and
	// the time at which it was sent.
	MaxSendDelay time.Duration
}

// Replayer replays traces. Calls of Run must not overlap.
type Replayer struct {
	opts   Options
	verify Verifier
	clock  *waxfleet.Clock
	client *http.Client

	mu  sync.Mutex
	itl *hdrhistogram.Histogram
}

// New returns a replayer. A nil verify means VerifyNotEmpty. Invalid options give
// an error with CodeSettingInvalid.
func New(opts Options, verify Verifier, clock *waxfleet.Clock) (*Replayer, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	if verify == nil {
		verify = VerifyNotEmpty
	}
	if opts.APIKey == nil {
		opts.APIKey = func(workspace string) string { return workspace }
	}
	transport := &http.Transport{MaxIdleConnsPerHost: opts.Concurrency, DisableCompression: true}
	return &Replayer{opts: opts, verify: verify, clock: clock, client: &http.Client{Transport: transport}}, nil
}

// Run replays the records until the trace ends, a limit of the options is reached
// or ctx is done. It returns after the last request has ended. The result holds
// every request that was sent, also after ctx was done.
func (r *Replayer) Run(ctx context.Context, records []waxtrace.Record) Result {
	ctx, cancel := r.withMaxDuration(ctx)
	defer cancel()
	defer r.client.CloseIdleConnections()
	if r.opts.MaxRequests > 0 && len(records) > r.opts.MaxRequests {
		records = records[:r.opts.MaxRequests]
	}
	r.itl = waxreport.NewHistogram()
	calls := r.prepareCalls(records)
	samples := make([]waxreport.Sample, len(calls))
	slots := make(chan struct{}, r.opts.Concurrency)
	var wg sync.WaitGroup
	start := r.clock.Now()
	sent, maxDelay := 0, waxfleet.Millis(0)
	for i := range calls {
		due := start + r.dueOffset(records, i)
		if !r.waitForSlot(ctx, due, slots) {
			break
		}
		now := r.clock.Now()
		maxDelay = max(maxDelay, now-due)
		sent++
		wg.Go(func() {
			samples[i] = r.send(ctx, calls[i], (now - start).Duration())
			<-slots
		})
	}
	wg.Wait()
	return Result{Samples: samples[:sent], ITL: r.itl, MaxSendDelay: maxDelay.Duration()}
}

func (r *Replayer) withMaxDuration(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.opts.MaxDuration > 0 {
		return context.WithTimeout(ctx, r.opts.MaxDuration)
	}
	return context.WithCancel(ctx)
}

// dueOffset returns the time since the start of the replay at which the record with
// index i is due.
func (r *Replayer) dueOffset(records []waxtrace.Record, i int) waxfleet.Millis {
	return waxfleet.Millis(float64(records[i].Timestamp-records[0].Timestamp) / r.opts.TimeScale)
}

// waitForSlot waits until due and then for a free slot. It reports false if ctx
// was done first.
func (r *Replayer) waitForSlot(ctx context.Context, due waxfleet.Millis, slots chan<- struct{}) bool {
	if wait := due - r.clock.Now(); wait > 0 && r.clock.Sleep(ctx, wait) != nil {
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// prepareCalls determines the entry instance, the turn and the ID of every call
// before the first is sent, so that they don't depend on the timing of responses.
func (r *Replayer) prepareCalls(records []waxtrace.Record) []call {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 0x656e747279))
	reusable := waxtrace.ReusableTokens(records)
	turns := map[string]int{}
	start := r.clock.Wall()
	calls := make([]call, len(records))
	for i, record := range records {
		index := i
		if r.opts.EntrySelection == SeededRandom {
			index = rng.IntN(len(r.opts.Addresses))
		}
		chat := record.Workspace + "/" + record.Chat
		turns[chat]++
		calls[i] = call{
			index:          i,
			record:         record,
			turn:           turns[chat],
			reusableTokens: reusable[i],
			entryAddress:   strings.TrimPrefix(r.opts.Addresses[index%len(r.opts.Addresses)], "http://"),
			id:             callID(start+r.dueOffset(records, i), r.opts.Seed, i),
		}
	}
	return calls
}
