// Package waxmetric sets up Prometheus metrics and OpenTelemetry traces.
package waxmetric

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"go.opentelemetry.io/otel/attribute"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxintake"
	"waxwingdrift.org/waxfleet/waxshed"
)

const (
	// reportInterval is the interval between two updates of the Prometheus registry.
	reportInterval = time.Second
	// flushTimeout is the timeout for the export of the remaining spans at shutdown.
	flushTimeout = 2 * time.Second
)

// latencyBuckets holds the upper bounds of the buckets of latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 310 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// Metrics holds the metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
}

// New returns metrics that are updated until ctx ends.
func New(ctx context.Context, instance string) *Metrics {
	// Each instance has its own registry, because one process may run several instances.
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "wax", Tags: map[string]string{"instance": instance},
		CachedReporter: reporter, Separator: tallyprom.DefaultSeparator, OmitCardinalityMetrics: true,
	}, reportInterval)
	go func() {
		<-ctx.Done()
		_ = closer.Close()
	}()
	return &Metrics{scope: scope, handler: reporter.HTTPHandler()}
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// CountRequest counts a request by tier and result code. In all metrics, tier is the price
// tier or the kind of the route.
func (m *Metrics) CountRequest(tier string, code waxfleet.Code) {
	m.scope.Tagged(map[string]string{"tier": tier, "code": code.Name()}).Counter("requests").Inc(1)
}

// RecordTimeToFirstByte records the time to the first byte of a response.
func (m *Metrics) RecordTimeToFirstByte(tier string, d waxfleet.Millis) {
	m.scope.Tagged(map[string]string{"tier": tier}).Histogram("first_byte", latencyBuckets).RecordDuration(d.Duration())
}

// SetGauge sets the gauge with the name.
func (m *Metrics) SetGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// Rollout is the state of a rollout of a software version to a service.
type Rollout struct {
	Service, Version string
	// Phase is the number of the phase.
	Phase     int
	Share     float64
	Remaining waxfleet.Millis
	// Requests counts those of the service, Exposed those at the version; Responses and
	// Failures are those of the version.
	Requests, Exposed, Responses, Failures uint64
	// Holds is true if the instance decides, and Held if it sends nothing to the version.
	Holds, Held bool
}

// SetRollout sets the gauges of a rollout.
func (m *Metrics) SetRollout(r Rollout) {
	scope := m.scope.Tagged(map[string]string{"service": r.Service, "version": r.Version})
	scope.Gauge("rollout_phase").Update(float64(r.Phase))
	scope.Gauge("rollout_share").Update(r.Share)
	scope.Gauge("rollout_remaining_ms").Update(float64(r.Remaining))
	scope.Gauge("rollout_requests").Update(float64(r.Requests))
	scope.Gauge("rollout_exposed").Update(float64(r.Exposed))
	scope.Gauge("rollout_responses").Update(float64(r.Responses))
	scope.Gauge("rollout_failures").Update(float64(r.Failures))
	scope.Gauge("rollout_holds").Update(gaugeOf(r.Holds))
	scope.Gauge("rollout_held").Update(gaugeOf(r.Held))
}

func gaugeOf(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// SetIntake sets the gauges of the accounts of what callers hold.
func (m *Metrics) SetIntake(usages []waxintake.Usage) {
	for _, u := range usages {
		scope := m.scope.Tagged(map[string]string{"account": u.Account})
		scope.Gauge("intake_used").Update(float64(u.Used))
		scope.Gauge("intake_budget").Update(float64(u.Budget))
		scope.Gauge("intake_evictions").Update(float64(u.Evictions))
		scope.Gauge("intake_refusals").Update(float64(u.Refusals))
	}
}

// NewTracer returns a tracer provider that writes its spans to w as JSON until ctx ends,
// or one that records no spans when w is nil.
func NewTracer(ctx context.Context, instance string, w io.Writer) (trace.TracerProvider, error) {
	if w == nil {
		return noop.NewTracerProvider(), nil
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithBatchTimeout(time.Second)),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "waxrouter"), attribute.String("service.instance.id", instance))),
	)
	go func() {
		<-ctx.Done()
		flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		_ = provider.Shutdown(flush)
	}()
	return provider, nil
}

// RecordRequestDuration records the time from the arrival of a request to its end.
func (m *Metrics) RecordRequestDuration(tier string, d waxfleet.Millis) {
	m.scope.Tagged(map[string]string{"tier": tier}).Histogram("request", latencyBuckets).RecordDuration(d.Duration())
}

// CountSends counts how often a request was sent to a backend server.
func (m *Metrics) CountSends(tier string, n int) {
	m.scope.Tagged(map[string]string{"tier": tier}).Counter("sends").Inc(int64(n))
}

// CountRejection counts a request that was rejected before its first send.
func (m *Metrics) CountRejection(tier string, cause waxshed.Reason) {
	m.scope.Tagged(map[string]string{"tier": tier, "cause": string(cause)}).Counter("rejections").Inc(1)
}

// CountAdmittedShort counts a request that was admitted while capacity was short.
func (m *Metrics) CountAdmittedShort(tier string) {
	m.scope.Tagged(map[string]string{"tier": tier}).Counter("admitted_short").Inc(1)
}

// SetShares sets the gauges of the parts that workspaces have of what was admitted. They are
// tagged with the rank, not with the workspace, so that their number is bounded.
func (m *Metrics) SetShares(services []waxshed.ServiceShares) {
	for _, s := range services {
		scope := m.scope.Tagged(map[string]string{"service": s.Service})
		scope.Gauge("admission_workspaces").Update(float64(s.Workspaces))
		for i := range waxshed.MaxLargest {
			share := 0.0
			if i < len(s.Largest) {
				share = s.Largest[i]
			}
			scope.Tagged(map[string]string{"rank": strconv.Itoa(i + 1)}).Gauge("admission_share").Update(share)
		}
	}
}

// RecordPrediction records the time to the first event of a request as it was predicted and
// as it was, and by how much the prediction was too short or too long.
func (m *Metrics) RecordPrediction(tier string, predicted, actual waxfleet.Millis) {
	scope := m.scope.Tagged(map[string]string{"tier": tier})
	scope.Histogram("predicted_first_event", latencyBuckets).RecordDuration(predicted.Duration())
	scope.Histogram("actual_first_event", latencyBuckets).RecordDuration(actual.Duration())
	sign, difference := "short", actual-predicted
	if difference < 0 {
		sign, difference = "long", -difference
	}
	m.scope.Tagged(map[string]string{"tier": tier, "too": sign}).Histogram("prediction_error", latencyBuckets).RecordDuration(difference.Duration())
}

// CountOriginWrite counts a write of origins of streams to the store.
func (m *Metrics) CountOriginWrite() { m.scope.Counter("origin_writes").Inc(1) }

// RecordCopyAge records the age of the copy of a feed against the store; -1 for one that is
// not loaded.
func (m *Metrics) RecordCopyAge(feed string, age waxfleet.Millis) {
	if age >= 0 {
		m.scope.Tagged(map[string]string{"feed": feed}).Histogram("copy_age", latencyBuckets).RecordDuration(age.Duration())
	}
}
