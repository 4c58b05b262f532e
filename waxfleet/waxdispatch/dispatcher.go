// Package waxdispatch sends calls to backend servers. It checks that each
// response is complete and belongs to its call, resumes interrupted streams on
// the same server and never sends an at-most-once call twice.
package waxdispatch

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxhead"
)

// maxLoadReportBytes bounds the body of a load report.
const maxLoadReportBytes = 16 << 10

// Dispatcher implements waxfleet.Dispatcher.
type Dispatcher struct {
	clock *waxfleet.Clock
	opts  Options
	log   *slog.Logger
	pools *poolCache
	// unpooledTransport opens a new connection per request, for at-most-once calls,
	// retries and resumes.
	unpooledTransport *waxhead.Transport
	// reportTransport and unpooledReportTransport are for load reports and probes.
	reportTransport         *waxhead.Transport
	unpooledReportTransport *waxhead.Transport
	tracer                  trace.Tracer
}

var _ waxfleet.Dispatcher = (*Dispatcher)(nil)

// New returns a dispatcher.
func New(clock *waxfleet.Clock, opts Options, log *slog.Logger) *Dispatcher {
	opts = opts.withDefaults()
	return &Dispatcher{
		clock:                   clock,
		opts:                    opts,
		log:                     log,
		pools:                   newPoolCache(opts.Dial),
		unpooledTransport:       newTransport(opts.Dial, 0),
		reportTransport:         newTransport(opts.ReportDial, 1),
		unpooledReportTransport: newTransport(opts.ReportDial, 0),
		tracer:                  opts.Tracer,
	}
}

// Do implements waxfleet.Dispatcher. The events argument of CallSink.Body is the
// number of stream events that the caller has received including that part.
//
// Errors: CodeNoBackendServer when no connection could be opened and
// CodeOverloaded when an engine rejected the call, both marked as not run unless
// an earlier attempt may have run; CodeBackendDied; CodeStreamIncomplete;
// CodeAnswerMismatch; CodeBackendError; CodeCancelled when ctx ended or the sink
// failed; CodeOutcomeUnknown for an at-most-once call that may have run;
// CodeMalformedBody when the call is not a valid HTTP request.
func (d *Dispatcher) Do(ctx context.Context, call waxfleet.Call, sink waxfleet.CallSink) (waxfleet.CallResult, error) {
	ctx, span := d.tracer.Start(ctx, "dispatch", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("wax.request-id", call.RequestID),
		attribute.String("wax.backend-server", call.Server.ID()),
	))
	defer span.End()
	c := newCallState(d, call, sink)
	err := c.run(ctx)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return c.result, err
}

type loadReport struct {
	InFlight    int    `json:"in-flight"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
	Incarnation string `json:"incarnation"`
}

// Load implements waxfleet.Dispatcher. A report that fails on a pooled connection
// is fetched again on a new one, because the pooled one may be stalled.
//
// Errors: CodeNoBackendServer when the server refuses the connection;
// CodeBackendError when it sends no valid report.
func (d *Dispatcher) Load(ctx context.Context, b waxfleet.BackendServer) (waxfleet.LoadReport, error) {
	report, err := d.fetchLoad(ctx, d.reportTransport, b)
	if err != nil && waxfleet.CodeOf(err) != waxfleet.CodeNoBackendServer && ctx.Err() == nil {
		report, err = d.fetchLoad(ctx, d.unpooledReportTransport, b)
	}
	if err != nil {
		return waxfleet.LoadReport{}, err
	}
	d.pools.poolFor(b).setIncarnation(report.Incarnation())
	return report, nil
}

func (d *Dispatcher) fetchLoad(ctx context.Context, t *waxhead.Transport, b waxfleet.BackendServer) (waxfleet.LoadReport, error) {
	ctx, cancel := d.withTimeout(ctx, d.opts.LoadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address()+"/load", nil)
	if err != nil {
		return waxfleet.LoadReport{}, waxfleet.WrapError(err, waxfleet.CodeBackendError, "the address of %s is invalid", b.ID())
	}
	resp, err := t.RoundTrip(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return waxfleet.LoadReport{}, waxfleet.WrapError(err, waxfleet.CodeNoBackendServer, "%s refuses connections", b.ID())
	}
	if err != nil {
		return waxfleet.LoadReport{}, waxfleet.WrapError(err, waxfleet.CodeBackendError, "%s did not respond to the load report request", b.ID())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadReportBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return waxfleet.LoadReport{}, waxfleet.WrapError(err, waxfleet.CodeBackendError,
			"%s responded to the load report request with status %d", b.ID(), resp.StatusCode)
	}
	var report loadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return waxfleet.LoadReport{}, waxfleet.WrapError(err, waxfleet.CodeBackendError, "%s sent an invalid load report", b.ID())
	}
	return waxfleet.NewLoadReport(report.InFlight, report.Cold, report.Leaving, report.Incarnation), nil
}

// probe reports whether the server responds to a health check on a new
// connection. Any status counts, because it proves that the process is running.
func (d *Dispatcher) probe(ctx context.Context, b waxfleet.BackendServer) bool {
	ctx, cancel := d.withTimeout(ctx, d.opts.ProbeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address()+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := d.unpooledReportTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// withTimeout returns a context that ends after the timeout on the dispatcher's clock.
func (d *Dispatcher) withTimeout(ctx context.Context, timeout waxfleet.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		if d.clock.Sleep(ctx, timeout) == nil {
			cancel()
		}
	}()
	return ctx, cancel
}
