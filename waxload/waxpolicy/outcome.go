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

// Outcome is the result of one run. Times are in ms of trace time.
type Outcome struct {
	Policy   Policy   `json:"policy"`
	Scenario Scenario `json:"scenario"`
	Requests int      `json:"requests"`
	// Reuse is prompt tokens found in caches / those in an unlimited cache.
	Reuse float64 `json:"reuse"`
	// Skew is highest in-flight / mean, over the samples with a mean of 2 or more.
	Skew    float64 `json:"skew-p50"`
	SkewP95 float64 `json:"skew-p95"`
	// LimitRatio is the largest load / limit right after an admission; the limit
	// is that of the true mean at that moment.
	LimitRatio float64 `json:"limit-ratio"`
	// OverLimit is the share of admissions with a ratio above 1.
	OverLimit    float64               `json:"over-limit"`
	MeanLoad     float64               `json:"mean-load"`
	ExpressP50   float64               `json:"express-first-token-p50"`
	ExpressP95   float64               `json:"express-first-token-p95"`
	FirstP50     float64               `json:"first-token-p50"`
	FirstP95     float64               `json:"first-token-p95"`
	WaitP95      float64               `json:"wait-p95"`
	Refused      float64               `json:"refused"`
	RefusedBy    map[waxfleet.Code]int `json:"refused-by-code"`
	ColdRefusals int                   `json:"cold-refusals"`
}

// collector gathers the figures of one run.
type collector struct {
	requests     int
	unlimited    int
	cached       int
	admissions   int
	over         int
	ratio        float64
	skew         []float64
	means        []float64
	express      []float64
	first        []float64
	wait         []float64
	refused      map[waxfleet.Code]int
	coldRefusals int
}

// minSkewMean is the mean load below which skew says little.
const minSkewMean = 2

func (c *collector) admission(load, limit int) {
	c.admissions++
	ratio := float64(load) / float64(limit)
	c.ratio = max(c.ratio, ratio)
	if ratio > 1 {
		c.over++
	}
}

func (c *collector) load(highest, mean float64) {
	c.means = append(c.means, mean)
	if mean >= minSkewMean {
		c.skew = append(c.skew, highest/mean)
	}
}

func (c *collector) served(j *job) {
	c.cached += j.cached
	first := float64(j.firstToken - j.record.Timestamp)
	c.first = append(c.first, first)
	if j.tier.Name() == "express" {
		c.express = append(c.express, first)
	}
	c.wait = append(c.wait, float64(j.admitted-j.record.Timestamp))
}

func (c *collector) refuse(code waxfleet.Code) {
	if c.refused == nil {
		c.refused = map[waxfleet.Code]int{}
	}
	c.refused[code]++
}

func (c *collector) outcome(policy Policy, scenario Scenario) Outcome {
	refused := 0
	for _, n := range c.refused {
		refused += n
	}
	return Outcome{
		Policy: policy, Scenario: scenario, Requests: c.requests,
		Reuse: ratio(c.cached, c.unlimited),
		Skew:  quantile(0.5, c.skew), SkewP95: quantile(0.95, c.skew),
		LimitRatio: c.ratio, OverLimit: ratio(c.over, c.admissions),
		MeanLoad:   stat.Mean(c.means, nil),
		ExpressP50: quantile(0.5, c.express), ExpressP95: quantile(0.95, c.express),
		FirstP50: quantile(0.5, c.first), FirstP95: quantile(0.95, c.first),
		WaitP95: quantile(0.95, c.wait),
		Refused: ratio(refused, c.requests), RefusedBy: c.refused, ColdRefusals: c.coldRefusals,
	}
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// quantile sorts values. It is 0 without any.
func quantile(p float64, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return stat.Quantile(p, stat.Empirical, values, nil)
}

// Spread is the minimum, median and maximum over seeds.
type Spread struct {
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

// Summary is a policy over several seeds.
type Summary struct {
	Policy   Policy            `json:"policy"`
	Scenario Scenario          `json:"scenario"`
	Figures  map[string]Spread `json:"figures"`
	Runs     []Outcome         `json:"runs"`
}

// Compare runs all policies over the traces of all seeds.
func Compare(policies []Policy, scenario Scenario, seeds []uint64, opts Options, trace waxtrace.Options) ([]Summary, error) {
	if !scenario.Valid() {
		return nil, waxfleet.NewError(waxfleet.CodeSettingInvalid, "policy: unknown scenario %q", scenario)
	}
	runs := map[Policy][]Outcome{}
	for _, seed := range seeds {
		t := scenario.Trace(trace)
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

// figures are the columns of the table.
var figures = []struct {
	name   string
	format string
	value  func(Outcome) float64
}{
	{"reuse", "%.3f", func(o Outcome) float64 { return o.Reuse }},
	{"skew-p50", "%.2f", func(o Outcome) float64 { return o.Skew }},
	{"skew-p95", "%.2f", func(o Outcome) float64 { return o.SkewP95 }},
	{"limit-ratio", "%.2f", func(o Outcome) float64 { return o.LimitRatio }},
	{"over-limit", "%.4f", func(o Outcome) float64 { return o.OverLimit }},
	{"express-p50", "%.0f", func(o Outcome) float64 { return o.ExpressP50 }},
	{"express-p95", "%.0f", func(o Outcome) float64 { return o.ExpressP95 }},
	{"first-p50", "%.0f", func(o Outcome) float64 { return o.FirstP50 }},
	{"first-p95", "%.0f", func(o Outcome) float64 { return o.FirstP95 }},
	{"wait-p95", "%.0f", func(o Outcome) float64 { return o.WaitP95 }},
	{"refused", "%.4f", func(o Outcome) float64 { return o.Refused }},
	{"mean-load", "%.1f", func(o Outcome) float64 { return o.MeanLoad }},
}

func summarize(p Policy, scenario Scenario, runs []Outcome) Summary {
	s := Summary{Policy: p, Scenario: scenario, Figures: map[string]Spread{}, Runs: runs}
	for _, f := range figures {
		values := make([]float64, len(runs))
		for i, o := range runs {
			values[i] = f.value(o)
		}
		s.Figures[f.name] = Spread{Min: quantile(0, values), Median: quantile(0.5, values), Max: quantile(1, values)}
	}
	return s
}

// WriteTable writes one line per policy; each cell is minimum/median/maximum.
func WriteTable(w io.Writer, summaries []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(t, "policy")
	for _, f := range figures {
		_, _ = fmt.Fprint(t, "\t", f.name)
	}
	_, _ = fmt.Fprintln(t)
	for _, s := range summaries {
		_, _ = fmt.Fprint(t, s.Policy)
		for _, f := range figures {
			v := s.Figures[f.name]
			_, _ = fmt.Fprintf(t, "\t"+f.format+"/"+f.format+"/"+f.format, v.Min, v.Median, v.Max)
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}

// WriteJSON writes the summaries with all runs.
func WriteJSON(w io.Writer, summaries []Summary) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(summaries)
}
