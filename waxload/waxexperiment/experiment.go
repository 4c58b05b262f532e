// Package waxexperiment replays a trace against an embedded fleet and measures
// what the stand-ins and the callers see.
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

// Scenario is what happens to the fleet during the replay.
type Scenario string

// Scenarios. Flap kills one engine after the other and restarts it; Domain takes
// the first failure domain out after a third of the trace and brings it back
// after two thirds; Owners kills one router after the other and replaces it.
const (
	Steady Scenario = "steady"
	Flap   Scenario = "flap"
	Domain Scenario = "domain"
	Owners Scenario = "owners"
)

const (
	sampleInterval   = 100 * time.Millisecond
	progressInterval = 5 * time.Second
	// flapInterval is the time between the kills of engines, flapDown the time that
	// each is gone.
	flapInterval = 8 * time.Second
	flapDown     = 2 * time.Second
	// minSkewMean is the mean load below which skew says little.
	minSkewMean = 2.0
)

// Progress is told while an experiment runs.
type Progress struct {
	Elapsed  time.Duration
	InFlight int
	Skew     float64
}

// Options describe an experiment.
type Options struct {
	Fleet      waxembed.Options
	Scenario   Scenario
	CacheShare float64
	TimeScale  float64
	Progress   func(Progress)
}

// DefaultOptions returns the fleet of make run.
func DefaultOptions() Options {
	return Options{
		Fleet: waxembed.DefaultOptions(), Scenario: Steady, CacheShare: 0.5, TimeScale: 1,
		Progress: func(Progress) {},
	}
}

// Outcome is what an experiment has measured.
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

	mu     sync.Mutex
	skew   []waxreport.SkewSample
	outAt  waxfleet.Millis
	backAt waxfleet.Millis
}

// Run starts a fleet, replays the trace against it and returns what was measured.
func Run(ctx context.Context, records []waxtrace.Record, opts Options) (Outcome, error) {
	if !slices.Contains([]Scenario{Steady, Flap, Domain, Owners}, opts.Scenario) {
		return Outcome{}, waxfleet.NewError(waxfleet.CodeSettingInvalid, "scenario %q is not steady, flap, domain or owners", opts.Scenario)
	}
	opts.Fleet.Engine.CacheBlocks = max(int(waxtrace.MeanLiveBlocks(records)*opts.CacheShare)/opts.Fleet.Engines, 1)
	opts.Fleet.Workspaces = workspaces(records)
	fleetCtx, stop := context.WithCancel(ctx)
	defer stop()
	fleet, err := waxembed.Start(fleetCtx, opts.Fleet)
	if err != nil {
		return Outcome{}, err
	}
	replayOptions := waxreplay.DefaultOptions(fleet.CallerAddresses()...)
	replayOptions.Model, replayOptions.Service = waxembed.ChatModel, waxembed.PlainService
	replayOptions.AtMostOncePath, replayOptions.TimeScale = waxembed.OncePath, opts.TimeScale
	replayer, err := waxreplay.New(replayOptions, Verify, waxfleet.NewClock())
	if err != nil {
		return Outcome{}, err
	}
	e := &experiment{opts: opts, fleet: fleet, start: time.Now()}
	before := controlBytes(fleet)
	watchCtx, stopWatch := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { e.sample(watchCtx) })
	wg.Go(func() { e.act(watchCtx, length(records, opts.TimeScale)) })
	result := replayer.Run(ctx, records)
	elapsed := time.Since(e.start)
	stopWatch()
	wg.Wait()
	in := waxreport.Input{
		Title: "embedded fleet, " + string(opts.Scenario), Samples: result.Samples, ITL: result.ITL,
		Skew: e.skew, ControlTraffic: control(fleet, before, elapsed),
	}
	outcome := Outcome{Input: in, Report: waxreport.Build(in)}
	events, engines := e.history()
	outcome.Checks = Check(events, engines, opts.Fleet.Engine.StartWarm, e.move())
	return outcome, nil
}

// Verify checks that an answer is whole and the request's own.
func Verify(body []byte, tokens []string) error {
	want, err := waxengine.Answer(body)
	if err != nil {
		return err
	}
	for i, t := range tokens {
		tokens[i] = trimToken(t)
	}
	tokens = slices.DeleteFunc(tokens, func(t string) bool { return t == "" })
	if !slices.Equal(tokens, want) {
		return errors.Newf("the answer has %d tokens and is not the expected one of %d", len(tokens), len(want))
	}
	return nil
}

func trimToken(t string) string {
	for len(t) > 0 && t[0] == ' ' {
		t = t[1:]
	}
	return t
}

func workspaces(records []waxtrace.Record) []string {
	var names []string
	for _, r := range records {
		if !slices.Contains(names, r.Workspace) {
			names = append(names, r.Workspace)
		}
	}
	return names
}

func length(records []waxtrace.Record, scale float64) time.Duration {
	if len(records) == 0 {
		return 0
	}
	last := records[len(records)-1].Timestamp - records[0].Timestamp
	return time.Duration(float64(last.Duration()) / scale)
}

func controlBytes(f *waxembed.Fleet) map[string]int64 {
	bytes := map[string]int64{}
	for _, r := range f.Routers() {
		bytes[r.ID] = r.Node.ControlBytes()
	}
	return bytes
}

func control(f *waxembed.Fleet, before map[string]int64, elapsed time.Duration) []waxreport.ControlTrafficSample {
	var out []waxreport.ControlTrafficSample
	for _, r := range f.Routers() {
		rate := float64(r.Node.ControlBytes()-before[r.ID]) / elapsed.Seconds()
		out = append(out, waxreport.ControlTrafficSample{Instance: r.ID, BytesPerSecond: rate})
	}
	return out
}

// sample records the skew as the engines count it.
func (e *experiment) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	told := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		at := time.Since(e.start)
		skew, mean := e.fleet.Skew()
		if mean >= minSkewMean {
			e.skew = append(e.skew, waxreport.SkewSample{At: at, Skew: skew})
		}
		if at-told >= progressInterval {
			told = at
			e.opts.Progress(Progress{Elapsed: at, InFlight: int(mean * float64(len(e.fleet.Engines()))), Skew: skew})
		}
	}
}

// act carries out the scenario.
func (e *experiment) act(ctx context.Context, length time.Duration) {
	switch e.opts.Scenario {
	case Flap:
		e.flap(ctx)
	case Domain:
		e.moveDomain(ctx, length)
	case Owners:
		e.killOwners(ctx)
	case Steady:
	}
}

// killOwners replaces the routers one after the other, as after a crash. Callers
// of a killed entry instance lose their answers.
func (e *experiment) killOwners(ctx context.Context) {
	for i := 0; sleep(ctx, flapInterval); i++ {
		r := e.fleet.Routers()[i%len(e.fleet.Routers())]
		r.Kill()
		if !sleep(ctx, flapDown) {
			return
		}
		if _, err := e.fleet.StartRouter(context.WithoutCancel(ctx), r.ID, r.FailureDomain); err != nil {
			return
		}
	}
}

func (e *experiment) flap(ctx context.Context) {
	for i := 0; sleep(ctx, flapInterval); i++ {
		engine := e.fleet.Engines()[i%len(e.fleet.Engines())]
		engine.Kill()
		if !sleep(ctx, flapDown) {
			return
		}
		_ = engine.Restart()
	}
}

func (e *experiment) moveDomain(ctx context.Context, length time.Duration) {
	clock := waxfleet.NewClock()
	name := waxembed.Domains()[0]
	if !sleep(ctx, length/3) {
		return
	}
	if _, err := e.fleet.SetDomain(ctx, name, false); err != nil {
		return
	}
	e.setMove(&e.outAt, clock.Now())
	if !sleep(ctx, length/3) {
		return
	}
	e.setMove(&e.backAt, clock.Now())
	_, _ = e.fleet.SetDomain(ctx, name, true)
}

func (e *experiment) setMove(at *waxfleet.Millis, now waxfleet.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*at = now
}

// move returns when the first failure domain was out.
func (e *experiment) move() Move {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := Move{OutAt: e.outAt, BackAt: e.backAt, Engines: map[string]bool{}}
	for _, x := range e.fleet.Engines() {
		if x.FailureDomain() == waxembed.Domains()[0] {
			m.Engines[x.ID()] = true
		}
	}
	return m
}

func (e *experiment) history() (events []waxengine.Event, engines []string) {
	for _, x := range e.fleet.Engines() {
		events = append(events, x.History()...)
		engines = append(engines, x.ID())
	}
	slices.SortStableFunc(events, func(a, b waxengine.Event) int { return int(a.At - b.At) })
	return events, engines
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
