// Package waxcontrol measures the control traffic of embedded fleets of several
// sizes: idle, under load and with configuration changes.
package waxcontrol

import (
	"context"
	"fmt"
	"time"

	"gonum.org/v1/gonum/stat"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxload/waxlatency"
)

// Options describe a measurement.
type Options struct {
	// Routers and Engines are the sizes. Each number of routers is measured with
	// the first number of engines, and each further number of engines with
	// BaseRouters.
	Routers     []int
	Engines     []int
	BaseRouters int
	// Idle, Loaded and Changing are the lengths of the phases.
	Idle     time.Duration
	Loaded   time.Duration
	Changing time.Duration
	// Streams is the number of concurrent streams of the loaded phase.
	Streams int
	// ChangeEvery is the time between two configuration changes.
	ChangeEvery time.Duration
}

// DefaultOptions returns the sizes of the capacity page.
func DefaultOptions() Options {
	return Options{
		Routers: []int{3, 7, 14, 28}, Engines: []int{18, 36, 72}, BaseRouters: 7,
		Idle: 20 * time.Second, Loaded: 10 * time.Second, Changing: 10 * time.Second,
		Streams: 40, ChangeEvery: 500 * time.Millisecond,
	}
}

const (
	// settle is the time before the idle phase: new fleets exchange their
	// assignments and read the list in full.
	settle = 4 * time.Second
	// Length and pace of the answers of the loaded phase.
	loadTokens                   = 16
	loadInterval waxfleet.Millis = 20
)

func (o Options) validate() error {
	if len(o.Routers) == 0 || len(o.Engines) == 0 || o.Idle <= 0 || o.Loaded <= 0 || o.Changing <= 0 || o.ChangeEvery <= 0 || o.Streams < 1 {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "sizes, phase lengths and streams must be positive")
	}
	return nil
}

// Size is the outcome for one fleet: bytes per second and instance, sent and
// received.
type Size struct {
	Routers  int     `json:"routers"`
	Engines  int     `json:"engines"`
	Idle     float64 `json:"idle-bytes-per-second"`
	IdleMax  float64 `json:"idle-max-bytes-per-second"`
	Loaded   float64 `json:"loaded-bytes-per-second"`
	Changing float64 `json:"changing-bytes-per-second"`
	Requests int64   `json:"requests"`
	Changes  int     `json:"changes"`
	// PerChange is the traffic of one configuration change at an instance.
	PerChange float64 `json:"bytes-per-change"`
	// Reads and Writes are the platform calls per second of the idle fleet.
	Reads  float64 `json:"platform-reads-per-second"`
	Writes float64 `json:"platform-writes-per-second"`
}

// Result is the outcome of a measurement. The slopes are least-squares fits of
// the idle traffic of an instance.
type Result struct {
	Sizes []Size `json:"sizes"`
	// PerRouter and PerEngine are bytes per second and instance for each further
	// instance or engine of the fleet.
	PerRouter float64 `json:"idle-slope-per-router"`
	PerEngine float64 `json:"idle-slope-per-engine"`
}

// Run measures all sizes, one after the other.
func Run(ctx context.Context, opts Options) (Result, error) {
	if err := opts.validate(); err != nil {
		return Result{}, err
	}
	var r Result
	var routers, engines []Size
	for _, n := range opts.Routers {
		s, err := measure(ctx, opts, n, opts.Engines[0])
		if err != nil {
			return Result{}, err
		}
		routers = append(routers, s)
		if n == opts.BaseRouters {
			engines = append(engines, s)
		}
	}
	for _, n := range opts.Engines[1:] {
		s, err := measure(ctx, opts, opts.BaseRouters, n)
		if err != nil {
			return Result{}, err
		}
		engines = append(engines, s)
	}
	r.Sizes = append(r.Sizes, routers...)
	for _, s := range engines {
		if s.Engines != opts.Engines[0] {
			r.Sizes = append(r.Sizes, s)
		}
	}
	r.PerRouter = slope(routers, func(s Size) int { return s.Routers })
	r.PerEngine = slope(engines, func(s Size) int { return s.Engines })
	return r, nil
}

// slope returns the growth of the idle traffic by size; 0 with a single size.
func slope(sizes []Size, by func(Size) int) float64 {
	if len(sizes) < 2 {
		return 0
	}
	x := make([]float64, len(sizes))
	y := make([]float64, len(sizes))
	for i, s := range sizes {
		x[i], y[i] = float64(by(s)), s.Idle
	}
	_, beta := stat.LinearRegression(x, y, nil, false)
	return beta
}

func measure(ctx context.Context, opts Options, routers, engines int) (Size, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleetOpts := waxembed.DefaultOptions()
	fleetOpts.Routers, fleetOpts.Engines, fleetOpts.PlainServers = routers, engines, 0
	fleet, err := waxembed.Start(ctx, fleetOpts)
	if err != nil {
		return Size{}, err
	}
	s := Size{Routers: routers, Engines: engines}
	if err := pause(ctx, settle); err != nil {
		return Size{}, err
	}
	calls := fleet.Platform().Counts()
	s.Idle, s.IdleMax, err = traffic(fleet, func() error { return pause(ctx, opts.Idle) })
	if err != nil {
		return Size{}, err
	}
	after := fleet.Platform().Counts()
	s.Reads = float64(after.Reads-calls.Reads) / opts.Idle.Seconds()
	s.Writes = float64(after.Writes-calls.Writes) / opts.Idle.Seconds()
	s.Loaded, _, err = traffic(fleet, func() error {
		s.Requests, err = waxlatency.Load(ctx, fleet, opts.Streams, loadTokens, loadInterval, opts.Loaded)
		return err
	})
	if err != nil {
		return Size{}, err
	}
	start := time.Now()
	s.Changing, _, err = traffic(fleet, func() error {
		s.Changes, err = change(ctx, fleet, opts)
		return err
	})
	if err != nil {
		return Size{}, err
	}
	s.PerChange = (s.Changing - s.Idle) * time.Since(start).Seconds() / float64(max(s.Changes, 1))
	return s, nil
}

// change edits one workspace of the configuration over and over.
func change(ctx context.Context, fleet *waxembed.Fleet, opts Options) (int, error) {
	end := time.Now().Add(opts.Changing)
	changes := 0
	for time.Now().Before(end) {
		tier := []string{"patient", "standard"}[changes%2]
		value := `{`
		for i := range 10 {
			if i > 0 {
				value += ","
			}
			name, t := fmt.Sprintf("ws-%02d", i+1), "standard"
			if i == 5 {
				t = tier
			}
			value += fmt.Sprintf(`%q:{"keys":[%q],"default-tier":%q}`, name, name, t)
		}
		if _, err := fleet.SetSection(ctx, waxconfig.SectionWorkspaces, value+"}"); err != nil {
			return changes, err
		}
		changes++
		if err := pause(ctx, opts.ChangeEvery); err != nil {
			return changes, err
		}
	}
	return changes, nil
}

// traffic returns the mean and the highest control bytes per second of an
// instance while work runs.
func traffic(fleet *waxembed.Fleet, work func() error) (mean, highest float64, err error) {
	before := map[string]int64{}
	for _, r := range fleet.Routers() {
		before[r.ID] = r.Node.ControlBytes()
	}
	start := time.Now()
	if err := work(); err != nil {
		return 0, 0, err
	}
	seconds := time.Since(start).Seconds()
	for _, r := range fleet.Routers() {
		rate := float64(r.Node.ControlBytes()-before[r.ID]) / seconds
		mean += rate / float64(len(fleet.Routers()))
		highest = max(highest, rate)
	}
	return mean, highest, nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return waxfleet.WrapError(ctx.Err(), waxfleet.CodeCancelled, "the measurement was interrupted")
	}
}
