package waxreport

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

const ms = time.Millisecond

func testInput() Input {
	itl := NewHistogram()
	for i := 1; i <= 100; i++ {
		RecordLatency(itl, time.Duration(i)*ms)
	}
	return Input{
		Title: "test run",
		Samples: []Sample{
			{SentAt: 0, Tier: "express", Complete: true, TTFT: 10 * ms, CachedTokens: 0, ReusableTokens: 0},
			{SentAt: 1 * ms, Tier: "patient", Complete: true, TTFT: 30 * ms, CachedTokens: 512, ReusableTokens: 1024},
			{SentAt: 11 * time.Second, Tier: "patient", Complete: true, TTFT: 50 * ms, CachedTokens: 1024, ReusableTokens: 1024},
			{SentAt: 12 * time.Second, Tier: "express", Code: waxfleet.CodeOverloaded, TTFT: -1, CachedTokens: -1, ReusableTokens: 4096},
			{SentAt: 12 * time.Second, AtMostOnce: true, Complete: true, TTFT: -1, CachedTokens: -1},
		},
		ITL:            itl,
		Skew:           []SkewSample{{0, 1.5}, {11 * time.Second, 1}, {12 * time.Second, 2}},
		ControlTraffic: []ControlTrafficSample{{"a", 1000}, {"b", 3000}},
		AddedLatency:   []time.Duration{1 * ms, 2 * ms, 3 * ms},
	}
}

func approxEqual(got, want float64) bool { return got > want*0.998 && got < want*1.002 }

// TestBuild guards against wrong counts, ratios and percentiles in the report.
func TestBuild(t *testing.T) {
	is := is.New(t)
	r := Build(testInput())
	is.Equal(r.Requests, 5)
	is.Equal(r.Complete, 4)
	is.Equal(r.Codes, []CodeCount{{0, "ok", 4}, {2001, "overloaded", 1}})
	is.Equal(len(r.TTFT), 3)
	is.Equal(r.TTFT[0].Count, 3)
	is.True(approxEqual(r.TTFT[0].P50, 30))
	is.Equal(r.TTFT[1].Tier, "express")
	is.True(approxEqual(r.TTFT[2].P95, 50))
	is.True(approxEqual(r.ITL.P95, 95))
	is.True(approxEqual(r.CacheReuse, 1536.0/2048))
	is.Equal(r.CacheReuseRequests, 3)
	is.Equal(r.Skew, RatioSummary{Count: 3, P50: 1.5, P95: 2, Max: 2})
	is.Equal(r.ControlTraffic, ControlTraffic{Instances: 2, Mean: 2000, Max: 3000})
	is.True(approxEqual(r.AddedLatency.P50, 2))
}

// TestTimeline guards against samples that are counted in the wrong interval.
func TestTimeline(t *testing.T) {
	is := is.New(t)
	points := Timeline(testInput(), 10*time.Second)
	is.Equal(len(points), 2)
	is.Equal(points[0].Requests, 2)
	is.True(approxEqual(points[0].CacheReuse, 0.5))
	is.Equal(points[0].ErrorRate, 0.0)
	is.Equal(points[1].At, 10*time.Second)
	is.Equal(points[1].Requests, 3)
	is.True(approxEqual(points[1].ErrorRate, 1.0/3))
	is.Equal(points[1].Skew, 1.0)
}

// TestOutput guards against a table without result codes and against malformed JSON
// or SVG, also for a run without samples.
func TestOutput(t *testing.T) {
	is := is.New(t)
	for _, in := range []Input{testInput(), {Title: "empty"}} {
		r := Build(in)
		var table, report, svg bytes.Buffer
		is.NoErr(r.WriteTable(&table))
		is.NoErr(r.WriteJSON(&report))
		is.NoErr(WritePlot(&svg, in.Title, Timeline(in, time.Second)))
		is.True(strings.Contains(svg.String(), "</svg>"))
		is.Equal(strings.Contains(table.String(), "2001 overloaded: 1"), len(in.Samples) > 0)
		var again Report
		is.NoErr(json.Unmarshal(report.Bytes(), &again))
		is.Equal(again.Requests, r.Requests)
		is.True(strings.Contains(report.String(), `"token-gap"`))
	}
}
