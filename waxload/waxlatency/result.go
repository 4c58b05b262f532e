package waxlatency

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Targets for the added time to the first byte, in ms, at 200 streams on loopback.
const (
	TargetAddedP50 = 1.0
	TargetAddedP99 = 3.0
)

// Quantiles holds quantiles of a latency, in ms.
type Quantiles struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1_000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

func (q Quantiles) minus(other Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - other.P50, P95: q.P95 - other.P95, P99: q.P99 - other.P99}
}

// PathResult holds the measurements of one path.
type PathResult struct {
	Requests        int64     `json:"requests"`
	Failures        int64     `json:"failures"`
	TimeToFirstByte Quantiles `json:"first-byte"`
	Total           Quantiles `json:"total"`
	// The CPU fields and RequestsPerSecond are from a phase with this path alone. The
	// CPU time excludes that of the idle fleet.
	CPURequests         int64   `json:"cpu-requests"`
	CPUFailures         int64   `json:"cpu-failures"`
	RequestsPerSecond   float64 `json:"requests-per-second"`
	CPUMillisPerRequest float64 `json:"cpu-ms-per-request"`
}

// Result is the result of a measurement. AddedTimeToFirstByte and AddedTotal are the
// differences between the quantiles of both paths.
type Result struct {
	Streams              int        `json:"streams"`
	Routers              int        `json:"routers"`
	Engines              int        `json:"engines"`
	Tokens               int        `json:"tokens"`
	Direct               PathResult `json:"direct"`
	Routed               PathResult `json:"routed"`
	AddedTimeToFirstByte Quantiles  `json:"added-first-byte"`
	AddedTotal           Quantiles  `json:"added-total"`
	IdleCPUPerSecond     float64    `json:"idle-cpu-per-second"`
	// AddedCPUMillis is the CPU time that the routers use per request, in ms. All parts
	// of the fleet run in one process. The direct path uses only the engine stand-ins
	// and the callers, so the routers use the difference between the paths.
	AddedCPUMillis float64 `json:"added-cpu-ms-per-request"`
	// RequestsPerCore is the number of streamed requests per second that one core
	// routes, with both hops.
	RequestsPerCore float64 `json:"requests-per-second-per-core"`
}

func (r *Result) recordLatency(directTimings, routedTimings *histograms) {
	for _, p := range []struct {
		to   *PathResult
		from *histograms
	}{{&r.Direct, directTimings}, {&r.Routed, routedTimings}} {
		p.to.Requests, p.to.Failures = p.from.requests, p.from.failures
		p.to.TimeToFirstByte, p.to.Total = quantilesOf(p.from.timeToFirstByte), quantilesOf(p.from.total)
	}
	r.AddedTimeToFirstByte = r.Routed.TimeToFirstByte.minus(r.Direct.TimeToFirstByte)
	r.AddedTotal = r.Routed.Total.minus(r.Direct.Total)
}

func (r *Result) recordCPU(p path, usage cpuUsage) {
	to := &r.Direct
	if p == routed {
		to = &r.Routed
	}
	to.CPURequests, to.CPUFailures = usage.requests, usage.failures
	to.RequestsPerSecond, to.CPUMillisPerRequest = usage.requestsPerSecond, usage.cpuSecondsPerRequest*1_000
	r.AddedCPUMillis = r.Routed.CPUMillisPerRequest - r.Direct.CPUMillisPerRequest
	if r.AddedCPUMillis > 0 {
		r.RequestsPerCore = 1_000 / r.AddedCPUMillis
	}
}

// MeetsTarget reports whether the added time to the first byte is below both targets:
// TargetAddedP50 and TargetAddedP99.
func (r Result) MeetsTarget() bool {
	return r.AddedTimeToFirstByte.P50 < TargetAddedP50 && r.AddedTimeToFirstByte.P99 < TargetAddedP99
}

// WriteJSON writes the result as JSON.
func (r Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the result as text tables.
func (r Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(cells ...any) {
		for _, c := range cells {
			_, _ = fmt.Fprintf(t, "%v\t", c)
		}
		_, _ = fmt.Fprintln(t)
	}
	quantiles := func(name string, q Quantiles) {
		line(name, fmt.Sprintf("%.2f", q.P50), fmt.Sprintf("%.2f", q.P95), fmt.Sprintf("%.2f", q.P99))
	}
	line("latency, ms", "p50", "p95", "p99")
	quantiles("first byte, direct", r.Direct.TimeToFirstByte)
	quantiles("first byte, routed", r.Routed.TimeToFirstByte)
	quantiles("first byte, added", r.AddedTimeToFirstByte)
	quantiles("complete response, direct", r.Direct.Total)
	quantiles("complete response, routed", r.Routed.Total)
	quantiles("complete response, added", r.AddedTotal)
	line("CPU", "requests/s", "ms/request", "failures")
	line("direct", fmt.Sprintf("%.0f", r.Direct.RequestsPerSecond), fmt.Sprintf("%.2f", r.Direct.CPUMillisPerRequest), r.Direct.CPUFailures)
	line("routed", fmt.Sprintf("%.0f", r.Routed.RequestsPerSecond), fmt.Sprintf("%.2f", r.Routed.CPUMillisPerRequest), r.Routed.CPUFailures)
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, `%d streams, %d routers, %d engines, %d tokens; %d direct and %d routed requests, %d and %d failed
Engines, platform, callers and routers share one process; added figures are routed minus direct.
Two router hops: %.2f ms CPU per request, %.0f requests/s per core. Idle fleet: %.3f cores.
Target for the first byte (added p50 < %.0f ms, p99 < %.0f ms): %s
`,
		r.Streams, r.Routers, r.Engines, r.Tokens,
		r.Direct.Requests, r.Routed.Requests, r.Direct.Failures, r.Routed.Failures,
		r.AddedCPUMillis, r.RequestsPerCore, r.IdleCPUPerSecond,
		TargetAddedP50, TargetAddedP99, verdict(r.MeetsTarget()))
	return err
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}
