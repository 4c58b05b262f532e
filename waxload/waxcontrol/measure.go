// Package waxcontrol measures the control traffic of embedded fleets of different
// sizes: idle, under load and during configuration changes.
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

// Options configures a measurement.
type Options struct {
	// Routers and Engines are the fleet sizes. Each number of routers is measured
	// with the first number of engines, and each further number of engines with
	// BaseRouters routers.
	Routers     []int
	Engines     []int
	BaseRouters int
	// IdleDuration, LoadedDuration and ChangingDuration are the durations of the phases
	// without calls, under load, and with configuration changes.
	IdleDuration     time.Duration
	LoadedDuration   time.Duration
	ChangingDuration time.Duration
	// Streams is the number of concurrent streams in the loaded phase.
	Streams int
	// ChangeInterval is the interval between configuration changes.
	ChangeInterval time.Duration
}

// DefaultOptions returns the options for the measurement on the capacity page.
func DefaultOptions() Options {
	return Options{
		Routers:          []int{3, 7, 14, 28},
		Engines:          []int{18, 36, 72},
		BaseRouters:      7,
		IdleDuration:     20 * time.Second,
		LoadedDuration:   10 * time.Second,
		ChangingDuration: 10 * time.Second,
		Streams:          40,
		ChangeInterval:   500 * time.Millisecond,
	}
}

const (
	// settleDelay is the delay before the idle phase, in which a new fleet exchanges
	// its assignments and reads the full instance list.
	settleDelay = 4 * time.Second
	// responseTokens and tokenInterval are the length and the token interval of the
	// responses in the loaded phase.
	responseTokens                 = 16
	tokenInterval  waxfleet.Millis = 20
)

func (o Options) validate() error {
	if len(o.Routers) == 0 || len(o.Engines) == 0 ||
		o.IdleDuration <= 0 || o.LoadedDuration <= 0 || o.ChangingDuration <= 0 ||
		o.ChangeInterval <= 0 || o.Streams < 1 {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "sizes, phase lengths and streams must be positive")
	}
	return nil
}

// SizeResult is the result for one fleet size. Rates of traffic are the bytes sent
// and received per second and instance; they are means except for MaxIdleRate.
type SizeResult struct {
	Routers  int     `json:"routers"`
	Engines  int     `json:"engines"`
	IdleRate float64 `json:"idle-bytes-per-second"`
	// MaxIdleRate is the rate of the instance with the most traffic.
	MaxIdleRate  float64 `json:"idle-max-bytes-per-second"`
	LoadedRate   float64 `json:"loaded-bytes-per-second"`
	ChangingRate float64 `json:"changing-bytes-per-second"`
	Requests     int64   `json:"requests"`
	Changes      int     `json:"changes"`
	// BytesPerChange is the traffic of one configuration change, in bytes per
	// instance.
	BytesPerChange float64 `json:"bytes-per-change"`
	// ReadRate and WriteRate are the numbers of reads and writes per second that all
	// instances of the idle fleet together send to the platform.
	ReadRate  float64 `json:"platform-reads-per-second"`
	WriteRate float64 `json:"platform-writes-per-second"`
}

// Result is the result of a measurement. The slopes are least-squares fits of the
// idle traffic of an instance.
type Result struct {
	Sizes []SizeResult `json:"sizes"`
	// SlopePerRouter and SlopePerEngine are the additional bytes per second and
	// instance for each additional router or engine of the fleet.
	SlopePerRouter float64 `json:"idle-slope-per-router"`
	SlopePerEngine float64 `json:"idle-slope-per-engine"`
}

// Run measures all sizes sequentially. Options that are not positive give an error
// with CodeSettingInvalid.
func Run(ctx context.Context, opts Options) (Result, error) {
	if err := opts.validate(); err != nil {
		return Result{}, err
	}
	var result Result
	var byRouters, byEngines []SizeResult
	for _, n := range opts.Routers {
		s, err := measureSize(ctx, opts, n, opts.Engines[0])
		if err != nil {
			return Result{}, err
		}
		byRouters = append(byRouters, s)
		if n == opts.BaseRouters {
			byEngines = append(byEngines, s)
		}
	}
	for _, n := range opts.Engines[1:] {
		s, err := measureSize(ctx, opts, opts.BaseRouters, n)
		if err != nil {
			return Result{}, err
		}
		byEngines = append(byEngines, s)
	}
	result.Sizes = append(result.Sizes, byRouters...)
	for _, s := range byEngines {
		if s.Engines != opts.Engines[0] {
			result.Sizes = append(result.Sizes, s)
		}
	}
	result.SlopePerRouter = slope(byRouters, func(s SizeResult) int { return s.Routers })
	result.SlopePerEngine = slope(byEngines, func(s SizeResult) int { return s.Engines })
	return result, nil
}

// slope returns the slope of the idle traffic over the size that size returns; 0 for
// a single result.
func slope(sizes []SizeResult, size func(SizeResult) int) float64 {
	if len(sizes) < 2 {
		return 0
	}
	x := make([]float64, len(sizes))
	y := make([]float64, len(sizes))
	for i, s := range sizes {
		x[i], y[i] = float64(size(s)), s.IdleRate
	}
	_, beta := stat.LinearRegression(x, y, nil, false)
	return beta
}

// measureSize starts a fleet of one size and measures its phases one after the other.
func measureSize(ctx context.Context, opts Options, routers, engines int) (SizeResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleetOpts := waxembed.DefaultOptions()
	fleetOpts.Routers, fleetOpts.Engines, fleetOpts.PlainServers = routers, engines, 0
	fleet, err := waxembed.Start(ctx, fleetOpts)
	if err != nil {
		return SizeResult{}, err
	}
	s := SizeResult{Routers: routers, Engines: engines}
	if err := sleep(ctx, settleDelay); err != nil {
		return SizeResult{}, err
	}
	before := fleet.Platform().Counts()
	s.IdleRate, s.MaxIdleRate, err = measureTraffic(fleet, func() error { return sleep(ctx, opts.IdleDuration) })
	if err != nil {
		return SizeResult{}, err
	}
	after := fleet.Platform().Counts()
	s.ReadRate = float64(after.Reads-before.Reads) / opts.IdleDuration.Seconds()
	s.WriteRate = float64(after.Writes-before.Writes) / opts.IdleDuration.Seconds()
	s.LoadedRate, _, err = measureTraffic(fleet, func() error {
		s.Requests, err = waxlatency.GenerateLoad(ctx, fleet, opts.Streams, responseTokens, tokenInterval, opts.LoadedDuration)
		return err
	})
	if err != nil {
		return SizeResult{}, err
	}
	start := time.Now()
	s.ChangingRate, _, err = measureTraffic(fleet, func() error {
		s.Changes, err = changeConfig(ctx, fleet, opts)
		return err
	})
	if err != nil {
		return SizeResult{}, err
	}
	s.BytesPerChange = (s.ChangingRate - s.IdleRate) * time.Since(start).Seconds() / float64(max(s.Changes, 1))
	return s, nil
}

// changeConfig repeatedly changes the default price tier of one workspace. It
// returns the number of changes.
func changeConfig(ctx context.Context, fleet *waxembed.Fleet, opts Options) (int, error) {
	end := time.Now().Add(opts.ChangingDuration)
	changes := 0
	for time.Now().Before(end) {
		tier := []string{"patient", "standard"}[changes%2]
		value := `{`
		for i := range 10 {
			if i > 0 {
				value += ","
			}
			name, defaultTier := fmt.Sprintf("ws-%02d", i+1), "standard"
			if i == 5 {
				defaultTier = tier
			}
			value += fmt.Sprintf(`%q:{"keys":[%q],"default-tier":%q}`, name, name, defaultTier)
		}
		if _, err := fleet.SetSection(ctx, waxconfig.SectionWorkspaces, value+"}"); err != nil {
			return changes, err
		}
		changes++
		if err := sleep(ctx, opts.ChangeInterval); err != nil {
			return changes, err
		}
	}
	return changes, nil
}

// measureTraffic returns the mean and the highest rate of control traffic among
// the instances while work runs, in bytes per second.
func measureTraffic(fleet *waxembed.Fleet, work func() error) (mean, highest float64, err error) {
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

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return waxfleet.WrapError(ctx.Err(), waxfleet.CodeCancelled, "the measurement was interrupted")
	}
}
