// Package waxlatency measures what the router fleet adds to a streamed request:
// latency against the engine asked directly, and CPU time of the process.
package waxlatency

import (
	"fmt"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxembed"
)

// Options describe a measurement.
type Options struct {
	// Streams is the number of concurrent streams in each phase.
	Streams int
	// Duration is the length of the latency phase and of each CPU phase.
	Duration time.Duration
	// Warmup is the time before the latency phase, with the same load.
	Warmup  time.Duration
	Routers int
	Engines int
	// Tokens and TokenInterval set the length and the pace of each answer.
	Tokens        int
	TokenInterval waxfleet.Millis
	// Seed decides the order of direct and routed requests.
	Seed uint64
}

// DefaultOptions returns the load of the project's aim: 200 streams on loopback.
func DefaultOptions() Options {
	return Options{
		Streams: 200, Duration: 20 * time.Second, Warmup: 5 * time.Second,
		Routers: 7, Engines: 18, Tokens: 32, TokenInterval: 20, Seed: 1,
	}
}

func (o Options) validate() error {
	checks := []struct {
		name string
		ok   bool
	}{
		{"streams", o.Streams >= 1 && o.Streams <= 5_000},
		{"duration", o.Duration > 0},
		{"warmup", o.Warmup >= 0},
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

// fleet returns the embedded fleet of the measurement. The load floor is the
// number of streams and the batches are as large, so that neither queues nor
// spills are part of the figures.
func (o Options) fleet() waxembed.Options {
	opts := waxembed.DefaultOptions()
	opts.Routers, opts.Engines, opts.PlainServers = o.Routers, o.Engines, 0
	opts.Engine.MaxBatch = o.Streams
	opts.Engine.TokenInterval = o.TokenInterval
	opts.LimitsSection = fmt.Sprintf(`{"load-floor":%d}`, o.Streams)
	return opts
}
