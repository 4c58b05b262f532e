package waxpolicy

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxtrace"
)

// Outcome is the result of one simulation. Durations are in ms of trace time. TTFT is
// the time to first token.
type Outcome struct {
	Policy   Policy   `json:"policy"`
	Scenario Scenario `json:"scenario"`
	Requests int      `json:"requests"`
	// CacheReuse is the ratio of cached to reusable prompt tokens. Reusable tokens are
	// those that an infinite cache would hold.
	CacheReuse float64 `json:"reuse"`
	// SkewP50 and SkewP95 are percentiles of the load skew, which is the highest load of
	// an engine divided by the mean load. Samples with a mean load below 2 are left out.
	SkewP50 float64 `json:"skew-p50"`
	SkewP95 float64 `json:"skew-p95"`
	// MaxLimitRatio is the highest ratio of an engine's load to the load limit, right
	// after an admission. The limit is computed from the exact mean load at that time.
	MaxLimitRatio float64 `json:"limit-ratio"`
	// OverLimitShare is the share of admissions with a load above the limit.
	OverLimitShare   float64               `json:"over-limit"`
	MeanLoad         float64               `json:"mean-load"`
	ExpressTTFTP50   float64               `json:"express-first-token-p50"`
	ExpressTTFTP95   float64               `json:"express-first-token-p95"`
	TTFTP50          float64               `json:"first-token-p50"`
	TTFTP95          float64               `json:"first-token-p95"`
	AdmissionWaitP95 float64               `json:"wait-p95"`
	RejectedShare    float64               `json:"refused"`
	RejectedByCode   map[waxfleet.Code]int `json:"refused-by-code"`
	ColdRejections   int                   `json:"cold-refusals"`
}

// collector collects the measurements of one simulation.
type collector struct {
	requests       int
	reusableTokens int
	cachedTokens   int
	admissions     int
	overLimit      int
	maxLimitRatio  float64
	skew           []float64
	meanLoads      []float64
	expressTTFT    []float64
	ttft           []float64
	admissionWait  []float64
	rejected       map[waxfleet.Code]int
	coldRejections int
}

// minSkewMean is the minimum mean load for a skew sample. Below it the skew is not
// meaningful.
const minSkewMean = 2

func (c *collector) recordAdmission(load, limit int) {
	c.admissions++
	ratio := float64(load) / float64(limit)
	c.maxLimitRatio = max(c.maxLimitRatio, ratio)
	if ratio > 1 {
		c.overLimit++
	}
}

func (c *collector) recordLoad(highest, mean float64) {
	c.meanLoads = append(c.meanLoads, mean)
	if mean >= minSkewMean {
		c.skew = append(c.skew, highest/mean)
	}
}

func (c *collector) recordCompletion(j *job) {
	c.cachedTokens += j.cachedTokens
	ttft := float64(j.firstTokenAt - j.record.Timestamp)
	c.ttft = append(c.ttft, ttft)
	if j.tier.Name() == "express" {
		c.expressTTFT = append(c.expressTTFT, ttft)
	}
	c.admissionWait = append(c.admissionWait, float64(j.admittedAt-j.record.Timestamp))
}

func (c *collector) recordRejection(code waxfleet.Code) {
	if c.rejected == nil {
		c.rejected = map[waxfleet.Code]int{}
	}
	c.rejected[code]++
}

func (c *collector) outcome(policy Policy, scenario Scenario) Outcome {
	rejected := 0
	for _, n := range c.rejected {
		rejected += n
	}
	return Outcome{
		Policy:           policy,
		Scenario:         scenario,
		Requests:         c.requests,
		CacheReuse:       ratio(c.cachedTokens, c.reusableTokens),
		SkewP50:          quantile(0.5, c.skew),
		SkewP95:          quantile(0.95, c.skew),
		MaxLimitRatio:    c.maxLimitRatio,
		OverLimitShare:   ratio(c.overLimit, c.admissions),
		MeanLoad:         stat.Mean(c.meanLoads, nil),
		ExpressTTFTP50:   quantile(0.5, c.expressTTFT),
		ExpressTTFTP95:   quantile(0.95, c.expressTTFT),
		TTFTP50:          quantile(0.5, c.ttft),
		TTFTP95:          quantile(0.95, c.ttft),
		AdmissionWaitP95: quantile(0.95, c.admissionWait),
		RejectedShare:    ratio(rejected, c.requests),
		RejectedByCode:   c.rejected,
		ColdRejections:   c.coldRejections,
	}
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// quantile returns the p-quantile, or 0 if there are no values. It sorts values.
func quantile(p float64, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return stat.Quantile(p, stat.Empirical, values, nil)
}

// Range is the minimum, median and maximum over seeds.
type Range struct {
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

// Summary is the result of a policy over several seeds.
type Summary struct {
	Policy   Policy           `json:"policy"`
	Scenario Scenario         `json:"scenario"`
	Metrics  map[string]Range `json:"figures"`
	Runs     []Outcome        `json:"runs"`
}

// Compare runs the policies over one trace per seed and returns a summary per policy.
// An unknown policy or scenario or invalid options give an error with
// CodeSettingInvalid.
func Compare(policies []Policy, scenario Scenario, seeds []uint64, opts Options, trace waxtrace.Options) ([]Summary, error) {
	if !scenario.Valid() {
		return nil, waxfleet.NewError(waxfleet.CodeSettingInvalid, "policy: unknown scenario %q", scenario)
	}
	runs := map[Policy][]Outcome{}
	for _, seed := range seeds {
		t := scenario.TraceOptions(trace)
		t.Seed = seed
		records, err := waxtrace.Generate(t)
		if err != nil {
			return nil, err
		}
		for _, p := range policies {
			outcome, err := Run(records, p, opts, scenario, rand.New(rand.NewPCG(seed, 2)))
			if err != nil {
				return nil, err
			}
			runs[p] = append(runs[p], outcome)
		}
	}
	summaries := make([]Summary, len(policies))
	for i, p := range policies {
		summaries[i] = summarize(p, scenario, runs[p])
	}
	return summaries, nil
}

// metrics are the metrics of a summary and the columns of the table.
var metrics = []struct {
	name   string
	format string
	value  func(Outcome) float64
}{
	{"reuse", "%.3f", func(o Outcome) float64 { return o.CacheReuse }},
	{"skew-p50", "%.2f", func(o Outcome) float64 { return o.SkewP50 }},
	{"skew-p95", "%.2f", func(o Outcome) float64 { return o.SkewP95 }},
	{"limit-ratio", "%.2f", func(o Outcome) float64 { return o.MaxLimitRatio }},
	{"over-limit", "%.4f", func(o Outcome) float64 { return o.OverLimitShare }},
	{"express-p50", "%.0f", func(o Outcome) float64 { return o.ExpressTTFTP50 }},
	{"express-p95", "%.0f", func(o Outcome) float64 { return o.ExpressTTFTP95 }},
	{"first-p50", "%.0f", func(o Outcome) float64 { return o.TTFTP50 }},
	{"first-p95", "%.0f", func(o Outcome) float64 { return o.TTFTP95 }},
	{"wait-p95", "%.0f", func(o Outcome) float64 { return o.AdmissionWaitP95 }},
	{"refused", "%.4f", func(o Outcome) float64 { return o.RejectedShare }},
	{"mean-load", "%.1f", func(o Outcome) float64 { return o.MeanLoad }},
}

func summarize(p Policy, scenario Scenario, runs []Outcome) Summary {
	s := Summary{Policy: p, Scenario: scenario, Metrics: map[string]Range{}, Runs: runs}
	for _, m := range metrics {
		values := make([]float64, len(runs))
		for i, o := range runs {
			values[i] = m.value(o)
		}
		s.Metrics[m.name] = Range{Min: quantile(0, values), Median: quantile(0.5, values), Max: quantile(1, values)}
	}
	return s
}

// WriteTable writes the summaries as a text table with a line per policy. The cells
// are minimum/median/maximum over seeds.
func WriteTable(w io.Writer, summaries []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(t, "policy")
	for _, m := range metrics {
		_, _ = fmt.Fprint(t, "\t", m.name)
	}
	_, _ = fmt.Fprintln(t)
	for _, s := range summaries {
		_, _ = fmt.Fprint(t, s.Policy)
		for _, m := range metrics {
			v := s.Metrics[m.name]
			_, _ = fmt.Fprintf(t, "\t"+m.format+"/"+m.format+"/"+m.format, v.Min, v.Median, v.Max)
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}

// WriteJSON writes the summaries, with all runs, as JSON.
func WriteJSON(w io.Writer, summaries []Summary) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(summaries)
}
