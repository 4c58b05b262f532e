// Package waxexperiment replays a trace against an embedded fleet while it injects
// faults, and combines the measurements of the engine stand-ins and of the callers.
package waxexperiment

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxload/waxreplay"
	"waxwingdrift.org/waxload/waxreport"
	"waxwingdrift.org/waxload/waxtrace"
	"waxwingdrift.org/waxstandin/waxengine"
)

// Scenario names the faults and changes during the replay.
type Scenario string

// Scenarios. Steady has no faults. Flap kills and restarts one engine after another.
// Domain evacuates the first failure domain after a third of the trace and returns it
// to service after two thirds. Owners kills and restarts one router after another.
const (
	Steady Scenario = "steady"
	Flap   Scenario = "flap"
	Domain Scenario = "domain"
	Owners Scenario = "owners"
)

const (
	sampleInterval   = 100 * time.Millisecond
	progressInterval = 5 * time.Second
	// restartInterval is the interval between the restart of an engine or router and
	// the kill of the next one. restartDowntime is the time between a kill and the
	// restart.
	restartInterval = 8 * time.Second
	restartDowntime = 2 * time.Second
	// minSkewMean is the minimum mean load for a skew sample. Below it the skew is not
	// meaningful.
	minSkewMean = 2.0
)

// Progress is the state of a running experiment. InFlight is the number of requests
// in flight at all engines; Skew is as in waxreport.SkewSample.
type Progress struct {
	Elapsed  time.Duration
	InFlight int
	Skew     float64
}

// Options describes an experiment.
type Options struct {
	// Fleet describes the embedded fleet. Run sets its workspaces and the size of the
	// engine caches.
	Fleet    waxembed.Options
	Scenario Scenario
	// CacheShare is the size of all prefix caches together, as a share of the blocks
	// of live chats.
	CacheShare float64
	// TimeScale divides the timestamps of the trace: 2 replays at twice the speed.
	TimeScale float64
	// Progress is called every progressInterval. It must not be nil.
	Progress func(Progress)
}

// DefaultOptions returns the options of make run.
func DefaultOptions() Options {
	return Options{
		Fleet:      waxembed.DefaultOptions(),
		Scenario:   Steady,
		CacheShare: 0.5,
		TimeScale:  1,
		Progress:   func(Progress) {},
	}
}

// Outcome holds the measurements of an experiment.
type Outcome struct {
	Input  waxreport.Input
	Report waxreport.Report
	Checks Checks
}

// experiment is a running experiment.
type experiment struct {
	opts  Options
	fleet *waxembed.Fleet
	start time.Time

	mu          sync.Mutex
	skewSamples []waxreport.SkewSample
	evacuatedAt waxfleet.Millis
	returnedAt  waxfleet.Millis
}

// Run starts a fleet, replays the trace against it, stops it and returns the
// measurements. An unknown scenario gives an error with CodeSettingInvalid. Failed
// requests are in the outcome and give no error.
func Run(ctx context.Context, records []waxtrace.Record, opts Options) (Outcome, error) {
	if !slices.Contains([]Scenario{Steady, Flap, Domain, Owners}, opts.Scenario) {
		return Outcome{}, waxfleet.NewError(waxfleet.CodeSettingInvalid, "invalid scenario %q; want steady, flap, domain or owners", opts.Scenario)
	}
	opts.Fleet.Engine.CacheBlocks = max(int(waxtrace.MeanLiveBlocks(records)*opts.CacheShare)/opts.Fleet.Engines, 1)
	opts.Fleet.Workspaces = workspaceNames(records)
	fleetCtx, stop := context.WithCancel(ctx)
	defer stop()
	fleet, err := waxembed.Start(fleetCtx, opts.Fleet)
	if err != nil {
		return Outcome{}, err
	}
	replayOptions := waxreplay.DefaultOptions(fleet.CallerAddresses()...)
	replayOptions.Model, replayOptions.Service = waxembed.ChatModel, waxembed.PlainService
	replayOptions.AtMostOncePath, replayOptions.TimeScale = waxembed.AtMostOncePath, opts.TimeScale
	replayer, err := waxreplay.New(replayOptions, VerifyResponse, waxfleet.NewClock())
	if err != nil {
		return Outcome{}, err
	}
	e := &experiment{opts: opts, fleet: fleet, start: time.Now()}
	bytesBefore := controlBytes(fleet)
	scenarioCtx, stopScenario := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { e.sampleSkew(scenarioCtx) })
	wg.Go(func() { e.runScenario(scenarioCtx, traceDuration(records, opts.TimeScale)) })
	result := replayer.Run(ctx, records)
	elapsed := time.Since(e.start)
	stopScenario()
	wg.Wait()
	in := waxreport.Input{
		Title:          "embedded fleet, " + string(opts.Scenario),
		Samples:        result.Samples,
		ITL:            result.ITL,
		Skew:           e.skewSamples,
		ControlTraffic: controlTraffic(fleet, bytesBefore, elapsed),
	}
	outcome := Outcome{Input: in, Report: waxreport.Build(in)}
	events, engines := e.engineEvents()
	outcome.Checks = CheckHistory(events, engines, opts.Fleet.Engine.StartWarm, e.evacuation())
	return outcome, nil
}

// VerifyResponse is a waxreplay.Verifier that requires exactly the tokens that an
// engine stand-in generates for the request. Leading spaces and empty tokens are
// ignored. It modifies tokens.
func VerifyResponse(body []byte, tokens []string) error {
	want, err := waxengine.ExpectedTokens(body)
	if err != nil {
		return err
	}
	for i, t := range tokens {
		tokens[i] = trimLeadingSpaces(t)
	}
	tokens = slices.DeleteFunc(tokens, func(t string) bool { return t == "" })
	if !slices.Equal(tokens, want) {
		return errors.Newf("response of %d tokens differs from the expected one of %d tokens", len(tokens), len(want))
	}
	return nil
}

func trimLeadingSpaces(t string) string {
	for len(t) > 0 && t[0] == ' ' {
		t = t[1:]
	}
	return t
}

func workspaceNames(records []waxtrace.Record) []string {
	var names []string
	for _, r := range records {
		if !slices.Contains(names, r.Workspace) {
			names = append(names, r.Workspace)
		}
	}
	return names
}

// traceDuration returns the duration of the trace at the speed of the replay.
func traceDuration(records []waxtrace.Record, scale float64) time.Duration {
	if len(records) == 0 {
		return 0
	}
	duration := records[len(records)-1].Timestamp - records[0].Timestamp
	return time.Duration(float64(duration.Duration()) / scale)
}

func controlBytes(f *waxembed.Fleet) map[string]int64 {
	bytes := map[string]int64{}
	for _, r := range f.Routers() {
		bytes[r.ID] = r.Node.ControlBytes()
	}
	return bytes
}

func controlTraffic(f *waxembed.Fleet, before map[string]int64, elapsed time.Duration) []waxreport.ControlTrafficSample {
	var samples []waxreport.ControlTrafficSample
	for _, r := range f.Routers() {
		rate := float64(r.Node.ControlBytes()-before[r.ID]) / elapsed.Seconds()
		samples = append(samples, waxreport.ControlTrafficSample{Instance: r.ID, BytesPerSecond: rate})
	}
	return samples
}

// sampleSkew samples the load skew at the engines and reports the progress.
func (e *experiment) sampleSkew(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	lastProgress := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		at := time.Since(e.start)
		skew, mean := e.fleet.Skew()
		if mean >= minSkewMean {
			e.skewSamples = append(e.skewSamples, waxreport.SkewSample{At: at, Skew: skew})
		}
		if at-lastProgress >= progressInterval {
			lastProgress = at
			e.opts.Progress(Progress{Elapsed: at, InFlight: int(mean * float64(len(e.fleet.Engines()))), Skew: skew})
		}
	}
}

// runScenario injects the faults of the scenario until they end or ctx is done.
// duration is that of the replay.
func (e *experiment) runScenario(ctx context.Context, duration time.Duration) {
	switch e.opts.Scenario {
	case Flap:
		e.restartEngines(ctx)
	case Domain:
		e.evacuateDomain(ctx, duration)
	case Owners:
		e.restartRouters(ctx)
	case Steady:
	}
}

// restartRouters kills and restarts one router after another, like crashes. The
// responses that a killed entry instance was sending are lost.
func (e *experiment) restartRouters(ctx context.Context) {
	for i := 0; sleep(ctx, restartInterval); i++ {
		r := e.fleet.Routers()[i%len(e.fleet.Routers())]
		r.Kill()
		if !sleep(ctx, restartDowntime) {
			return
		}
		if _, err := e.fleet.StartRouter(context.WithoutCancel(ctx), r.ID, r.FailureDomain); err != nil {
			return
		}
	}
}

// restartEngines kills and restarts one engine after another.
func (e *experiment) restartEngines(ctx context.Context) {
	for i := 0; sleep(ctx, restartInterval); i++ {
		engine := e.fleet.Engines()[i%len(e.fleet.Engines())]
		engine.Kill()
		if !sleep(ctx, restartDowntime) {
			return
		}
		_ = engine.Restart()
	}
}

// evacuateDomain evacuates the first failure domain for a third of the duration. It
// records the time of the evacuation after the change, and that of the return to
// service before the change. So CheckHistory counts no start that was still or again
// allowed.
func (e *experiment) evacuateDomain(ctx context.Context, duration time.Duration) {
	clock := waxfleet.NewClock()
	name := waxembed.FailureDomains()[0]
	if !sleep(ctx, duration/3) {
		return
	}
	if _, err := e.fleet.SetDomainInService(ctx, name, false); err != nil {
		return
	}
	e.setTime(&e.evacuatedAt, clock.Now())
	if !sleep(ctx, duration/3) {
		return
	}
	e.setTime(&e.returnedAt, clock.Now())
	_, _ = e.fleet.SetDomainInService(ctx, name, true)
}

func (e *experiment) setTime(field *waxfleet.Millis, now waxfleet.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*field = now
}

// evacuation returns the evacuation of the first failure domain.
func (e *experiment) evacuation() Evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	evacuation := Evacuation{EvacuatedAt: e.evacuatedAt, ReturnedAt: e.returnedAt, Engines: map[string]bool{}}
	for _, engine := range e.fleet.Engines() {
		if engine.FailureDomain() == waxembed.FailureDomains()[0] {
			evacuation.Engines[engine.ID()] = true
		}
	}
	return evacuation
}

// engineEvents returns the events of all engines in time order, and the IDs of the
// engines.
func (e *experiment) engineEvents() (events []waxengine.Event, engines []string) {
	for _, engine := range e.fleet.Engines() {
		events = append(events, engine.History()...)
		engines = append(engines, engine.ID())
	}
	slices.SortStableFunc(events, func(a, b waxengine.Event) int { return int(a.At - b.At) })
	return events, engines
}

// sleep waits for the duration. It returns false if ctx was done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
