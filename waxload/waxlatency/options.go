// Package waxlatency measures what the router fleet adds to a streamed request: the
// latency compared with a direct request to the engine, and the CPU time.
package waxlatency

import (
	"fmt"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxembed"
)

// Options describes a measurement.
type Options struct {
	// Streams is the number of concurrent streams in each phase.
	Streams int
	// Duration is the duration of the latency phase and of each CPU phase.
	Duration time.Duration
	// WarmupDuration is the duration of the load before the latency phase.
	WarmupDuration time.Duration
	Routers        int
	Engines        int
	// Tokens is the length of each response, TokenInterval the interval between its
	// tokens.
	Tokens        int
	TokenInterval waxfleet.Millis
	// Seed determines the order of direct and routed requests.
	Seed uint64
}

// DefaultOptions returns the options for the load at which the latency targets apply:
// 200 streams on loopback.
func DefaultOptions() Options {
	return Options{
		Streams:        200,
		Duration:       20 * time.Second,
		WarmupDuration: 5 * time.Second,
		Routers:        7,
		Engines:        18,
		Tokens:         32,
		TokenInterval:  20,
		Seed:           1,
	}
}

func (o Options) validate() error {
	checks := []struct {
		name string
		ok   bool
	}{
		{"streams", o.Streams >= 1 && o.Streams <= 5_000},
		{"duration", o.Duration > 0},
		{"warmup", o.WarmupDuration >= 0},
		{"routers", o.Routers >= 1 && o.Routers <= 50},
		{"engines", o.Engines >= 1 && o.Engines <= 200},
		{"tokens", o.Tokens >= 1},
		{"token-interval", o.TokenInterval >= 1},
	}
	for _, c := range checks {
		if !c.ok {
			return waxfleet.NewError(waxfleet.CodeSettingInvalid, "setting %s is out of range", c.name)
		}
	}
	return nil
}

// fleetOptions returns the options of the embedded fleet. The load floor and the
// maximum batch size are the number of streams, so that no request is queued or
// placed at another engine.
func (o Options) fleetOptions() waxembed.Options {
	opts := waxembed.DefaultOptions()
	opts.Routers, opts.Engines, opts.PlainServers = o.Routers, o.Engines, 0
	opts.Engine.MaxBatch = o.Streams
	opts.Engine.TokenInterval = o.TokenInterval
	opts.LimitsSection = fmt.Sprintf(`{"load-floor":%d}`, o.Streams)
	return opts
}
