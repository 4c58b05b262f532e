// Package waxdispatch runs calls at backend servers. It checks that each answer
// belongs to its call and is whole, resumes broken streams on the same server
// and never dispatches a call twice that may run only once.
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
)

// maxReportBytes bounds a load report.
const maxReportBytes = 16 << 10

// Dispatcher implements waxfleet.Dispatcher.
type Dispatcher struct {
	clock   *waxfleet.Clock
	opts    Options
	log     *slog.Logger
	servers *serverTable
	// fresh opens a connection per request, for once-calls and resumes.
	fresh        *http.Transport
	reports      *http.Transport
	freshReports *http.Transport
	tracer       trace.Tracer
}

var _ waxfleet.Dispatcher = (*Dispatcher)(nil)

// New returns a dispatcher.
func New(clock *waxfleet.Clock, opts Options, log *slog.Logger) *Dispatcher {
	opts = opts.withDefaults()
	return &Dispatcher{
		clock:        clock,
		opts:         opts,
		log:          log,
		servers:      newServerTable(opts.Dial),
		fresh:        newTransport(opts.Dial, 0),
		reports:      newTransport(opts.ReportDial, 1),
		freshReports: newTransport(opts.ReportDial, 0),
		tracer:       opts.Tracer,
	}
}

// Do implements waxfleet.Dispatcher. The events argument of CallSink.Body is the
// number of stream events that the caller has with that part.
//
// Errors: CodeNoBackendServer when no connection could be opened, and
// CodeOverloaded when an engine refused, both not run; CodeBackendDied;
// CodeStreamIncomplete; CodeAnswerMismatch; CodeBackendError; CodeCancelled when
// ctx ended or the sink failed; CodeOutcomeUnknown for a once-call that may have
// run; CodeMalformedBody when no request can be made of the call.
func (d *Dispatcher) Do(ctx context.Context, call waxfleet.Call, sink waxfleet.CallSink) (waxfleet.CallResult, error) {
	ctx, span := d.tracer.Start(ctx, "dispatch", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("wax.request-id", call.RequestID),
		attribute.String("wax.backend-server", call.Server.ID()),
	))
	defer span.End()
	r := newRun(d, call, sink)
	err := r.do(ctx)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return r.result, err
}

type loadReport struct {
	InFlight    int    `json:"in-flight"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
	Incarnation string `json:"incarnation"`
}

// Load implements waxfleet.Dispatcher. A report that fails on a kept connection
// is fetched again on a fresh one, because the kept one may have gone silent.
//
// Errors: CodeNoBackendServer when the server refuses the connection;
// CodeBackendError.
func (d *Dispatcher) Load(ctx context.Context, b waxfleet.BackendServer) (waxfleet.LoadReport, error) {
	report, err := d.fetchLoad(ctx, d.reports, b)
	if err != nil && waxfleet.CodeOf(err) != waxfleet.CodeNoBackendServer && ctx.Err() == nil {
		report, err = d.fetchLoad(ctx, d.freshReports, b)
	}
	if err != nil {
		return waxfleet.LoadReport{}, err
	}
	d.servers.get(b).reported(report.Incarnation())
	return report, nil
}

func (d *Dispatcher) fetchLoad(ctx context.Context, t *http.Transport, b waxfleet.BackendServer) (waxfleet.LoadReport, error) {
	ctx, cancel := d.withTimeout(ctx, d.opts.LoadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address()+"/load", nil)
	if err != nil {
		return waxfleet.LoadReport{}, waxfleet.WrapError(err, waxfleet.CodeBackendError, "the address of %s is malformed", b.ID())
	}
	resp, err := t.RoundTrip(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return waxfleet.LoadReport{}, waxfleet.WrapError(err, waxfleet.CodeNoBackendServer, "%s refuses connections", b.ID())
	}
	if err != nil {
		return waxfleet.LoadReport{}, waxfleet.WrapError(err, waxfleet.CodeBackendError, "%s sent no load report", b.ID())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return waxfleet.LoadReport{}, waxfleet.WrapError(err, waxfleet.CodeBackendError, "%s answered status %d to a load report", b.ID(), resp.StatusCode)
	}
	var report loadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return waxfleet.LoadReport{}, waxfleet.WrapError(err, waxfleet.CodeBackendError, "%s sent a malformed load report", b.ID())
	}
	return waxfleet.NewLoadReport(report.InFlight, report.Cold, report.Leaving, report.Incarnation), nil
}

// probe reports whether the server answers on a fresh connection. Any status
// counts, because it proves that the process lives.
func (d *Dispatcher) probe(ctx context.Context, b waxfleet.BackendServer) bool {
	ctx, cancel := d.withTimeout(ctx, d.opts.ProbeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address()+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := d.freshReports.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// withTimeout ends the context after m on the dispatcher's clock.
func (d *Dispatcher) withTimeout(ctx context.Context, m waxfleet.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		if d.clock.Sleep(ctx, m) == nil {
			cancel()
		}
	}()
	return ctx, cancel
}
