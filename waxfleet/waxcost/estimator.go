// Package waxcost learns what requests cost: the output tokens of streams, the service times
// of plain calls, and the speed of the servers. Decisions get the time passed in, and nothing
// here does I/O.
package waxcost

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingdrift.org/waxfleet"
)

const (
	// maxKeys is the maximum number of distributions; the least recently used one is dropped.
	maxKeys = 4_096
	// minWeight is the weight, in recent responses, from which a distribution is used rather
	// than that of the next broader key.
	minWeight = 5.0
	// defaultPrior is the estimate, in tokens or ms, if nothing was learned and the request
	// names no maximum.
	defaultPrior = 100.0
	// overdueShare x what a request has used already is what a request is expected to use on
	// top, once it has used more than any recent one.
	overdueShare = 0.1
	// maxAmount bounds an observation, in tokens or ms.
	maxAmount = 1_000_000
)

// Subject is the kind of a request.
type Subject struct {
	Service, Route, Workspace string
}

// levels returns the keys of the subject, the narrowest one first.
func (s Subject) levels() [3]Subject {
	return [3]Subject{s, {Service: s.Service, Route: s.Route}, {Service: s.Service}}
}

// Level is the key whose responses an estimate comes from.
type Level int

// Levels of an estimate.
const (
	LevelWorkspace Level = iota
	LevelRoute
	LevelService
	LevelPrior
)

// String returns the value that appears in logs.
func (l Level) String() string {
	return [...]string{"workspace", "route", "service", "prior"}[l]
}

// Estimate is the expected cost of a request, in output tokens for streams and in ms of
// service time at the usual pace for plain calls.
type Estimate struct {
	Mean, P50, P90 float64
	Level          Level
}

// costs is what was learned of a key.
type costs struct {
	distribution
	// hints is the sum of the lengths that callers have estimated, and hinted the sum of the
	// costs of the same requests. Both decay like the distribution.
	hints, hinted float64
	hintWeight    float64
}

// Estimator learns the costs of requests. It isn't safe for concurrent use.
type Estimator struct {
	keys *simplelru.LRU[Subject, *costs]
}

// NewEstimator returns an Estimator without any observation.
func NewEstimator() *Estimator {
	keys, _ := simplelru.NewLRU[Subject, *costs](maxKeys, nil) // fails only for a size of 0
	return &Estimator{keys: keys}
}

// Record records the cost of a complete response. hint is the caller's estimate; 0 without
// one.
func (e *Estimator) Record(now waxfleet.Millis, s Subject, amount float64, hint int) {
	if !(amount >= 0) {
		return
	}
	amount = min(max(amount, 1), maxAmount)
	for _, key := range s.levels() {
		c, ok := e.keys.Get(key)
		if !ok {
			c = &costs{}
			e.keys.Add(key, c)
		}
		decay := c.record(now, amount, 1)
		c.hints *= decay
		c.hinted *= decay
		c.hintWeight *= decay
		if hint > 0 {
			c.hints += float64(hint)
			c.hinted += amount
			c.hintWeight++
		}
	}
}

// Estimate returns the expected cost of a request. hint is the caller's estimate, or 0, and
// prior the maximum that the request names, or 0.
func (e *Estimator) Estimate(s Subject, hint int, prior float64) Estimate {
	c, level := e.find(s)
	if c == nil {
		if prior <= 0 {
			prior = defaultPrior
		}
		return Estimate{Mean: prior, P50: prior, P90: prior, Level: LevelPrior}
	}
	out := Estimate{Mean: c.mean(), P50: c.middle(), P90: c.quantile(0.9), Level: level}
	if level == LevelWorkspace {
		out.Mean = c.shift(out, hint)
	}
	if prior > 0 {
		out.Mean, out.P50, out.P90 = min(out.Mean, prior), min(out.P50, prior), min(out.P90, prior)
	}
	return out
}

// shift returns the mean as the caller's estimate shifts it. The estimate counts as many
// times as its predecessors were exceeded: a caller who always states a tenth gains nothing.
// The result stays between the 10th and the 90th percentile of the workspace's responses.
func (c *costs) shift(e Estimate, hint int) float64 {
	if hint <= 0 || c.hintWeight < minWeight {
		return e.Mean
	}
	corrected := float64(hint) * c.hinted / c.hints
	return min(max(corrected, min(c.quantile(0.1), e.Mean)), max(e.P90, e.Mean))
}

// find returns the costs of the narrowest key with enough responses; nil if there is none.
func (e *Estimator) find(s Subject) (*costs, Level) {
	for i, key := range s.levels() {
		if c, ok := e.keys.Get(key); ok && c.weight >= minWeight {
			return c, Level(i)
		}
	}
	return nil, LevelPrior
}

// Remaining returns the expected rest of the cost of a request that has used done, and for
// which expected was the estimate when it began. prior is the maximum that the request names,
// or 0.
func (e *Estimator) Remaining(s Subject, expected, done, prior float64) float64 {
	c, _ := e.find(s)
	rest := max(expected-done, overdueShare*done)
	if c != nil && c.mean() > 0 && expected > 0 {
		// The distribution is scaled to the estimate, which a hint may have shifted.
		scale := expected / c.mean()
		if residual, ok := c.residual(done / scale); ok {
			rest = scale * residual
		} else {
			rest = overdueShare * done
		}
	}
	if prior > 0 {
		rest = min(rest, max(prior-done, 0))
	}
	if math.IsNaN(rest) {
		return 0
	}
	return max(rest, 0)
}

// Learned reports whether the service has enough responses for an estimate.
func (e *Estimator) Learned(service string) bool {
	c, ok := e.keys.Peek(Subject{Service: service})
	return ok && c.weight >= minWeight
}

// Len returns the number of keys.
func (e *Estimator) Len() int { return e.keys.Len() }
