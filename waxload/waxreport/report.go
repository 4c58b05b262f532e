// Package waxreport turns the samples of a load run into a table, a JSON report
// and a timeline plot. Its input is plain data.
package waxreport

import (
	"encoding/json"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingdrift.org/waxfleet"
)

// Sample is one request of a run.
type Sample struct {
	// Index is the position in the trace.
	Index int
	// At is when the request was sent, since the start of the run.
	At        time.Duration
	Tier      string
	Workspace string
	Entry     string
	RequestID string
	Once      bool
	Code      waxfleet.Code
	// Whole is true for an answer that is complete and passed the verifier.
	Whole bool
	// FirstToken and Total are since the request was sent; FirstToken is negative
	// without a token.
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	// CachedTokens is what the engine reported, or negative.
	CachedTokens int
	// UnlimitedTokens is what an unlimited cache would hold of the prompt.
	UnlimitedTokens int
	Message         string
}

// SkewSample is the highest in-flight load / mean at a time since the start.
type SkewSample struct {
	At   time.Duration
	Skew float64
}

// ControlSample is the control traffic of one instance.
type ControlSample struct {
	Instance       string
	BytesPerSecond float64
}

// Input is what a run has measured.
type Input struct {
	Title   string
	Samples []Sample
	// Gaps holds the times between tokens, in microseconds; nil without any.
	Gaps    *hdrhistogram.Histogram
	Skew    []SkewSample
	Control []ControlSample
	// Added holds the latency that the fleet added to each measured request.
	Added []time.Duration
}

// CodeCount is the number of requests that ended with a result code.
type CodeCount struct {
	Code  waxfleet.Code `json:"code"`
	Name  string        `json:"name"`
	Count int           `json:"count"`
}

// Latency is a distribution in milliseconds.
type Latency struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
}

// TierLatency is the first-token time of the callers of a tier.
type TierLatency struct {
	Tier string `json:"tier"`
	Latency
}

// Ratios is a distribution of dimensionless samples.
type Ratios struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	Max   float64 `json:"max"`
}

// Control is the control traffic over instances, in bytes per second.
type Control struct {
	Instances int     `json:"instances"`
	Mean      float64 `json:"mean-bytes-per-second"`
	Max       float64 `json:"max-bytes-per-second"`
}

// Report is the result of a run.
type Report struct {
	Title      string        `json:"title"`
	Requests   int           `json:"requests"`
	Whole      int           `json:"whole"`
	Codes      []CodeCount   `json:"codes"`
	FirstToken []TierLatency `json:"first-token"`
	TokenGap   Latency       `json:"token-gap"`
	// Reuse is cached / unlimited prompt tokens over the requests whose engine
	// reported cached tokens; ReuseRequests is their number.
	Reuse         float64 `json:"reuse"`
	ReuseRequests int     `json:"reuse-requests"`
	Skew          Ratios  `json:"skew"`
	Control       Control `json:"control"`
	Added         Latency `json:"added-latency"`
}

const (
	// AllTiers is the tier name of the line over all tiers.
	AllTiers = "all"
	// highestMicros bounds the histograms: one hour.
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
)

// NewHistogram returns a histogram for times in microseconds up to one hour.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, digits) }

// Record adds a time to a histogram of NewHistogram.
func Record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), highestMicros)) // in range, so there is no error
}

// Build computes the report.
func Build(in Input) Report {
	r := Report{Title: in.Title, Requests: len(in.Samples)}
	codes := map[waxfleet.Code]int{}
	cached, unlimited := 0, 0
	for _, s := range in.Samples {
		codes[s.Code]++
		if s.Whole {
			r.Whole++
		}
		if s.CachedTokens >= 0 && !s.Once {
			r.ReuseRequests++
			cached += s.CachedTokens
			unlimited += s.UnlimitedTokens
		}
	}
	r.Codes = codeCounts(codes)
	r.FirstToken = firstTokens(in.Samples)
	r.Reuse = ratio(cached, unlimited)
	r.TokenGap = latency(in.Gaps)
	r.Skew = skewRatios(in.Skew)
	r.Control = control(in.Control)
	added := NewHistogram()
	for _, d := range in.Added {
		Record(added, d)
	}
	r.Added = latency(added)
	return r
}

func codeCounts(counts map[waxfleet.Code]int) []CodeCount {
	list := make([]CodeCount, 0, len(counts))
	for c, n := range counts {
		list = append(list, CodeCount{Code: c, Name: c.Name(), Count: n})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Code < list[j].Code })
	return list
}

// firstTokens has one line for all tiers and one per tier, by name.
func firstTokens(samples []Sample) []TierLatency {
	byTier := map[string]*hdrhistogram.Histogram{AllTiers: NewHistogram()}
	for _, s := range samples {
		if s.FirstToken < 0 || s.Once {
			continue
		}
		if byTier[s.Tier] == nil {
			byTier[s.Tier] = NewHistogram()
		}
		Record(byTier[AllTiers], s.FirstToken)
		if s.Tier != AllTiers {
			Record(byTier[s.Tier], s.FirstToken)
		}
	}
	names := make([]string, 0, len(byTier))
	for name := range byTier {
		if name != AllTiers {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	list := []TierLatency{{Tier: AllTiers, Latency: latency(byTier[AllTiers])}}
	for _, name := range names {
		list = append(list, TierLatency{Tier: name, Latency: latency(byTier[name])})
	}
	return list
}

func latency(h *hdrhistogram.Histogram) Latency {
	if h == nil || h.TotalCount() == 0 {
		return Latency{}
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{Count: int(h.TotalCount()), P50: ms(50), P95: ms(95), P99: ms(99)}
}

func skewRatios(samples []SkewSample) Ratios {
	values := make([]float64, len(samples))
	for i, s := range samples {
		values[i] = s.Skew
	}
	return Ratios{Count: len(values), P50: quantile(0.5, values), P95: quantile(0.95, values), Max: quantile(1, values)}
}

func control(samples []ControlSample) Control {
	c := Control{Instances: len(samples)}
	for _, s := range samples {
		c.Mean += s.BytesPerSecond / float64(len(samples))
		c.Max = max(c.Max, s.BytesPerSecond)
	}
	return c
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
