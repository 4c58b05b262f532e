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
	defaultAnswerTimeout     waxfleet.Millis = 60_000
	defaultGenerationTimeout waxfleet.Millis = 300_000
	defaultMaxResumes                        = 8
	defaultMaxAttempts                       = 3
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options holds the bounds of a Dispatcher. Zero values stand for defaults.
type Options struct {
	// ProgressTimeout is the longest time without a byte before a probe (5 s).
	ProgressTimeout waxfleet.Millis
	// ProbeTimeout bounds a probe (1 s).
	ProbeTimeout waxfleet.Millis
	// LoadTimeout bounds one try of a load report (1 s).
	LoadTimeout waxfleet.Millis
	// DialTimeout bounds the opening of a connection (1 s).
	DialTimeout waxfleet.Millis
	// AnswerTimeout is the longest wait for the first byte of an answer of a
	// plain service that answers probes (60 s).
	AnswerTimeout waxfleet.Millis
	// GenerationTimeout is the same for an answer of a model engine that is not
	// streamed, where the first byte comes after the whole generation (300 s).
	GenerationTimeout waxfleet.Millis
	// MaxResumes is the most resumes of one call's stream (8).
	MaxResumes int
	// MaxAttempts is the most attempts of one call before its first event (3).
	MaxAttempts int
	// Dial opens the connections of calls.
	Dial DialFunc
	// ReportDial opens the connections of load reports and probes, which count as
	// control traffic.
	ReportDial DialFunc
	// Tracer makes the spans of calls; nil makes none.
	Tracer trace.Tracer
}

func (o Options) withDefaults() Options {
	setDefault(&o.ProgressTimeout, defaultProgressTimeout)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.LoadTimeout, defaultLoadTimeout)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.AnswerTimeout, defaultAnswerTimeout)
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
