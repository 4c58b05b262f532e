package waxreport

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// quantile returns the p-quantile, or 0 if there are no values. It sorts values.
func quantile(p float64, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return stat.Quantile(p, stat.Empirical, values, nil)
}

// WriteTable writes the report as a text table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("run", "%s", r.Title)
	row("requests", "%d", r.Requests)
	row("complete responses", "%d (%.4f)", r.Complete, ratio(r.Complete, r.Requests))
	for _, c := range r.Codes {
		row("result code", "%d %s: %d", c.Code, c.Name, c.Count)
	}
	for _, l := range r.TTFT {
		row("time to first token, "+l.Tier, "%s", l.format())
	}
	row("inter-token latency", "%s", r.ITL.format())
	row("cache reuse", "%.3f over %d requests", r.CacheReuse, r.CacheReuseRequests)
	row("skew", "p50 %.2f, p95 %.2f, max %.2f over %d samples",
		r.Skew.P50, r.Skew.P95, r.Skew.Max, r.Skew.Count)
	row("control", "mean %.0f B/s, max %.0f B/s over %d instances",
		r.ControlTraffic.Mean, r.ControlTraffic.Max, r.ControlTraffic.Instances)
	if r.AddedLatency.Count > 0 {
		row("added latency", "%s", r.AddedLatency.format())
	}
	return t.Flush()
}

func (l LatencySummary) format() string {
	return fmt.Sprintf("p50 %.2f ms, p95 %.2f ms, p99 %.2f ms over %d", l.P50, l.P95, l.P99, l.Count)
}
