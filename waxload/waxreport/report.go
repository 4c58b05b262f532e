// Package waxreport turns the samples of a load test into a table, a JSON report
// and a timeline plot.
//
// TTFT is the time to first token of a streamed response, ITL the inter-token
// latency.
package waxreport

import (
	"encoding/json"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingdrift.org/waxfleet"
)

// Sample is the outcome of one request.
type Sample struct {
	// Index is the position in the trace.
	Index int
	// SentAt is the time since the start of the run at which the request was sent.
	SentAt    time.Duration
	Tier      string
	Workspace string
	// EntryAddress is the address of the instance that received the request.
	EntryAddress string
	RequestID    string
	AtMostOnce   bool
	Code         waxfleet.Code
	// Complete reports whether the complete response arrived and passed the verifier.
	Complete bool
	// TTFT and Total are the times from the sending of the request to the first token
	// and to the end of the response. TTFT is negative if there was no
	// token.
	TTFT   time.Duration
	Total  time.Duration
	Tokens int
	// CachedTokens is the number of cached prompt tokens that the engine reported. It
	// is negative if the engine did not report the number.
	CachedTokens int
	// ReusableTokens is the number of prompt tokens that an infinite cache would hold.
	ReusableTokens int
	Message        string
}

// SkewSample is the load skew at a time since the start of the run: the highest
// number of requests in flight at an engine, divided by the mean over engines.
type SkewSample struct {
	At   time.Duration
	Skew float64
}

// ControlTrafficSample is the control traffic of one router instance.
type ControlTrafficSample struct {
	Instance       string
	BytesPerSecond float64
}

// Input holds the measurements of a run.
type Input struct {
	Title   string
	Samples []Sample
	// ITL is in microseconds. It may be nil.
	ITL            *hdrhistogram.Histogram
	Skew           []SkewSample
	ControlTraffic []ControlTrafficSample
	// AddedLatency is the latency that the fleet added to each measured request.
	AddedLatency []time.Duration
}

// CodeCount is the number of requests that ended with a result code.
type CodeCount struct {
	Code  waxfleet.Code `json:"code"`
	Name  string        `json:"name"`
	Count int           `json:"count"`
}

// LatencySummary summarizes a latency distribution, in milliseconds.
type LatencySummary struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
}

// TierLatency is the time to first token of the requests of a price tier.
type TierLatency struct {
	Tier string `json:"tier"`
	LatencySummary
}

// RatioSummary summarizes a distribution of ratios.
type RatioSummary struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	Max   float64 `json:"max"`
}

// ControlTraffic summarizes the control traffic per router instance, in bytes per
// second.
type ControlTraffic struct {
	Instances int     `json:"instances"`
	Mean      float64 `json:"mean-bytes-per-second"`
	Max       float64 `json:"max-bytes-per-second"`
}

// Report summarizes a run.
type Report struct {
	Title    string         `json:"title"`
	Requests int            `json:"requests"`
	Complete int            `json:"whole"`
	Codes    []CodeCount    `json:"codes"`
	TTFT     []TierLatency  `json:"first-token"`
	ITL      LatencySummary `json:"token-gap"`
	// CacheReuse is the ratio of cached to reusable prompt tokens, over the
	// CacheReuseRequests requests for which the engine reported cached tokens.
	CacheReuse         float64        `json:"reuse"`
	CacheReuseRequests int            `json:"reuse-requests"`
	Skew               RatioSummary   `json:"skew"`
	ControlTraffic     ControlTraffic `json:"control"`
	AddedLatency       LatencySummary `json:"added-latency"`
}

const (
	// AllTiers is the tier name of the summary over all tiers.
	AllTiers = "all"
	// maxLatencyMicros is the highest value of the histograms: one hour, in microseconds.
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// NewHistogram returns a histogram of latencies in microseconds, up to one hour.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// RecordLatency adds a latency to a histogram that NewHistogram returned. A value out
// of range is recorded as the nearest value in range.
func RecordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxLatencyMicros)) // fails only out of range
}

// Build computes the report of a run.
func Build(in Input) Report {
	r := Report{Title: in.Title, Requests: len(in.Samples)}
	codes := map[waxfleet.Code]int{}
	cached, reusable := 0, 0
	for _, s := range in.Samples {
		codes[s.Code]++
		if s.Complete {
			r.Complete++
		}
		if s.CachedTokens >= 0 && !s.AtMostOnce {
			r.CacheReuseRequests++
			cached += s.CachedTokens
			reusable += s.ReusableTokens
		}
	}
	r.Codes = codeCounts(codes)
	r.TTFT = ttftByTier(in.Samples)
	r.CacheReuse = ratio(cached, reusable)
	r.ITL = summarizeLatency(in.ITL)
	r.Skew = summarizeSkew(in.Skew)
	r.ControlTraffic = summarizeControlTraffic(in.ControlTraffic)
	added := NewHistogram()
	for _, d := range in.AddedLatency {
		RecordLatency(added, d)
	}
	r.AddedLatency = summarizeLatency(added)
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

// ttftByTier returns the time to first token over all tiers, followed by that of each
// tier, sorted by name.
func ttftByTier(samples []Sample) []TierLatency {
	byTier := map[string]*hdrhistogram.Histogram{AllTiers: NewHistogram()}
	for _, s := range samples {
		if s.TTFT < 0 || s.AtMostOnce {
			continue
		}
		if byTier[s.Tier] == nil {
			byTier[s.Tier] = NewHistogram()
		}
		RecordLatency(byTier[AllTiers], s.TTFT)
		if s.Tier != AllTiers {
			RecordLatency(byTier[s.Tier], s.TTFT)
		}
	}
	names := make([]string, 0, len(byTier))
	for name := range byTier {
		if name != AllTiers {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	list := []TierLatency{{Tier: AllTiers, LatencySummary: summarizeLatency(byTier[AllTiers])}}
	for _, name := range names {
		list = append(list, TierLatency{Tier: name, LatencySummary: summarizeLatency(byTier[name])})
	}
	return list
}

func summarizeLatency(h *hdrhistogram.Histogram) LatencySummary {
	if h == nil || h.TotalCount() == 0 {
		return LatencySummary{}
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return LatencySummary{Count: int(h.TotalCount()), P50: ms(50), P95: ms(95), P99: ms(99)}
}

func summarizeSkew(samples []SkewSample) RatioSummary {
	values := make([]float64, len(samples))
	for i, s := range samples {
		values[i] = s.Skew
	}
	return RatioSummary{
		Count: len(values),
		P50:   quantile(0.5, values),
		P95:   quantile(0.95, values),
		Max:   quantile(1, values),
	}
}

func summarizeControlTraffic(samples []ControlTrafficSample) ControlTraffic {
	c := ControlTraffic{Instances: len(samples)}
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
