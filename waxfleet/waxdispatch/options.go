package waxdispatch

import (
	"context"
	"net"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"waxwingdrift.org/waxfleet"
)

const (
	defaultProgressTimeout   waxfleet.Millis = 5_000
	defaultProbeTimeout      waxfleet.Millis = 1_000
	defaultLoadTimeout       waxfleet.Millis = 1_000
	defaultDialTimeout       waxfleet.Millis = 1_000
	defaultResponseTimeout   waxfleet.Millis = 60_000
	defaultGenerationTimeout waxfleet.Millis = 300_000
	defaultMaxResumes                        = 8
	defaultMaxAttempts                       = 3
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Dispatcher. Zero values stand for defaults.
type Options struct {
	// ProgressTimeout is the time without a received byte after which the server is
	// probed (5 s).
	ProgressTimeout waxfleet.Millis
	// ProbeTimeout bounds a probe (1 s).
	ProbeTimeout waxfleet.Millis
	// LoadTimeout bounds one request for a load report (1 s).
	LoadTimeout waxfleet.Millis
	// DialTimeout bounds connection setup (1 s); Dial and ReportDial replace it.
	DialTimeout waxfleet.Millis
	// ResponseTimeout bounds the wait for the response header of a plain service that
	// responds to probes (60 s).
	ResponseTimeout waxfleet.Millis
	// GenerationTimeout bounds the wait for the response header of a model engine that
	// responds to probes, if the response is not streamed: it then starts after the
	// complete generation (300 s).
	GenerationTimeout waxfleet.Millis
	// MaxResumes bounds the resumes of one call's stream (8).
	MaxResumes int
	// MaxAttempts bounds the attempts of one call before its first event (3).
	MaxAttempts int
	// Dial opens the connections of calls.
	Dial DialFunc
	// ReportDial opens the connections of load reports and health probes, which
	// count as control traffic.
	ReportDial DialFunc
	// Tracer creates the spans of calls; nil disables tracing.
	Tracer trace.Tracer
}

func (o Options) withDefaults() Options {
	setDefault(&o.ProgressTimeout, defaultProgressTimeout)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.LoadTimeout, defaultLoadTimeout)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.ResponseTimeout, defaultResponseTimeout)
	setDefault(&o.GenerationTimeout, defaultGenerationTimeout)
	setDefault(&o.MaxResumes, defaultMaxResumes)
	setDefault(&o.MaxAttempts, defaultMaxAttempts)
	dialer := &net.Dialer{Timeout: o.DialTimeout.Duration()}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if o.Dial == nil {
		o.Dial = dialer.DialContext
	}
	if o.ReportDial == nil {
		o.ReportDial = dialer.DialContext
	}
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
