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

func input() Input {
	gaps := NewHistogram()
	for i := 1; i <= 100; i++ {
		Record(gaps, time.Duration(i)*ms)
	}
	return Input{
		Title: "hand-made",
		Samples: []Sample{
			{At: 0, Tier: "express", Whole: true, FirstToken: 10 * ms, CachedTokens: 0, UnlimitedTokens: 0},
			{At: 1 * ms, Tier: "patient", Whole: true, FirstToken: 30 * ms, CachedTokens: 512, UnlimitedTokens: 1024},
			{At: 11 * time.Second, Tier: "patient", Whole: true, FirstToken: 50 * ms, CachedTokens: 1024, UnlimitedTokens: 1024},
			{At: 12 * time.Second, Tier: "express", Code: waxfleet.CodeOverloaded, FirstToken: -1, CachedTokens: -1, UnlimitedTokens: 4096},
			{At: 12 * time.Second, Once: true, Whole: true, FirstToken: -1, CachedTokens: -1},
		},
		Gaps:    gaps,
		Skew:    []SkewSample{{0, 1.5}, {11 * time.Second, 1}, {12 * time.Second, 2}},
		Control: []ControlSample{{"a", 1000}, {"b", 3000}},
		Added:   []time.Duration{1 * ms, 2 * ms, 3 * ms},
	}
}

func near(got, want float64) bool { return got > want*0.998 && got < want*1.002 }

// TestBuild guards the arithmetic of the report.
func TestBuild(t *testing.T) {
	is := is.New(t)
	r := Build(input())
	is.Equal(r.Requests, 5)
	is.Equal(r.Whole, 4)
	is.Equal(r.Codes, []CodeCount{{0, "ok", 4}, {2001, "overloaded", 1}})
	is.Equal(len(r.FirstToken), 3)
	is.Equal(r.FirstToken[0].Count, 3)
	is.True(near(r.FirstToken[0].P50, 30))
	is.Equal(r.FirstToken[1].Tier, "express")
	is.True(near(r.FirstToken[2].P95, 50))
	is.True(near(r.TokenGap.P95, 95))
	is.True(near(r.Reuse, 1536.0/2048))
	is.Equal(r.ReuseRequests, 3)
	is.Equal(r.Skew, Ratios{Count: 3, P50: 1.5, P95: 2, Max: 2})
	is.Equal(r.Control, Control{Instances: 2, Mean: 2000, Max: 3000})
	is.True(near(r.Added.P50, 2))
}

// TestTimeline guards against samples that fall into the wrong interval.
func TestTimeline(t *testing.T) {
	is := is.New(t)
	points := Timeline(input(), 10*time.Second)
	is.Equal(len(points), 2)
	is.Equal(points[0].Requests, 2)
	is.True(near(points[0].Reuse, 0.5))
	is.Equal(points[0].Errors, 0.0)
	is.Equal(points[1].At, 10*time.Second)
	is.Equal(points[1].Requests, 3)
	is.True(near(points[1].Errors, 1.0/3))
	is.Equal(points[1].Skew, 1.0)
}

// TestOutput guards against outputs that lack a result code or are not well
// formed, also for a run without samples.
func TestOutput(t *testing.T) {
	is := is.New(t)
	for _, in := range []Input{input(), {Title: "empty"}} {
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
