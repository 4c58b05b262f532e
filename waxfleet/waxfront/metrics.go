package waxfront

import (
	"context"
	"net/http"

	"waxwingdrift.org/waxfleet/waxforward"
	"waxwingdrift.org/waxfleet/waxmetric"
	"waxwingdrift.org/waxfleet/waxshed"
)

// metrics holds the counters and histograms of the instance.
type metrics struct {
	*waxmetric.Metrics
	handler http.Handler
}

func newMetrics(ctx context.Context, instance string) *metrics {
	m := waxmetric.New(ctx, instance)
	return &metrics{Metrics: m, handler: m.Handler()}
}

// observe records the outcome of a request.
func (m *metrics) observe(o waxforward.Outcome) {
	m.CountRequest(o.Kind.String(), o.Code)
	if o.TimeToHeader >= 0 {
		m.RecordTimeToFirstByte(o.Kind.String(), o.TimeToHeader)
	}
	m.RecordRequestDuration(o.Kind.String(), o.TotalDuration)
	m.CountSends(o.Kind.String(), o.Sends)
	if o.Rejection != waxshed.ReasonNone {
		m.CountRejection(o.Kind.String(), o.Rejection)
	}
	if o.Short {
		m.CountAdmittedShort(o.Kind.String())
	}
	if o.Predicted >= 0 && o.FirstTime >= 0 {
		m.RecordPrediction(o.Kind.String(), o.Predicted, o.FirstTime)
	}
}

// setPaces sets the gauges of the paces that backend servers state. They are a summary,
// because a gauge for each server would have no bound.
func (m *metrics) setPaces(p waxforward.PaceSummary) {
	m.SetGauge("malformed_load_statements", float64(p.MalformedReports))
	m.SetGauge("paced_servers", float64(p.Servers))
	if p.Servers > 0 {
		m.SetGauge("pace_min", p.Min)
		m.SetGauge("pace_mean", p.Mean)
		m.SetGauge("pace_max", p.Max)
	}
}

// updateGauges sets the gauges. dropped is the number of dropped log lines.
func (m *metrics) updateGauges(active int64, servers int, dropped int64) {
	m.SetGauge("requests_active", float64(active))
	m.SetGauge("backend_servers", float64(servers))
	m.SetGauge("log_lines_dropped", float64(dropped))
}
