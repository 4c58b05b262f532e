// Package waxquota gives each instance its fixed part of the bounds that hold
// for the whole fleet. The parts of all instances together never exceed the
// bound, whatever each instance believes about the others' use, so that no
// agreement is needed while instances are cut off from each other.
package waxquota

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
)

// ColdBound is what a cold backend server bears per second from the whole
// fleet: PerSecond x Overshoot + Slack requests in any second.
type ColdBound struct {
	PerSecond float64
	Overshoot float64
	Slack     float64
}

// coldAim is the multiple of PerSecond that the fleet aims at together. It lies
// below Overshoot because arrivals bunch on the way.
const coldAim = 1.1

// ColdShare returns the rate and the burst of one instance's token bucket for a
// cold backend server. It answers the load pattern of a failure domain that
// returns cold under full traffic. Only the first instances in the rendezvous
// order of the server have a share when the fleet is too large for each to have
// a burst of one request.
func ColdShare(b ColdBound, server, instance string, instances []string) (perSecond float64, burst int) {
	n := len(instances)
	if n == 0 {
		return 0, 0
	}
	budget := math.Floor(b.PerSecond*b.Overshoot + b.Slack - 1)
	holders := min(n, max(1, int(budget-b.PerSecond*coldAim)))
	if holders < n && !among(server, instance, instances, holders) {
		return 0, 0
	}
	rate := min(b.PerSecond*coldAim, budget-float64(holders)) / float64(holders)
	if rate <= 0 {
		return 0, 0
	}
	return rate, 1
}

// among reports whether the instance is one of the first n in the rendezvous
// order of the server.
func among(server, instance string, instances []string, n int) bool {
	mine := pairHash(server, instance)
	before := 0
	for _, other := range instances {
		if h := pairHash(server, other); h > mine || h == mine && other > instance {
			before++
		}
	}
	return before < n
}

func pairHash(a, b string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// Bucket is a token bucket. The caller serializes access.
type Bucket struct {
	tokens float64
	last   waxfleet.Millis
	filled bool
}

// Take takes one token if there is one.
func (b *Bucket) Take(now waxfleet.Millis, perSecond float64, burst int) bool {
	if !b.Ready(now, perSecond, burst) {
		return false
	}
	b.tokens--
	return true
}

// Ready reports whether Take would succeed.
func (b *Bucket) Ready(now waxfleet.Millis, perSecond float64, burst int) bool {
	if !b.filled {
		b.tokens, b.filled, b.last = float64(burst), true, now
	}
	b.tokens = min(float64(burst), b.tokens+float64(now-b.last)/1000*perSecond)
	b.last = now
	return b.tokens >= 1
}

// RetryBound limits the arrivals beyond the first of each request at a service:
// in any window at most Ratio x requests + Slack over the whole fleet.
type RetryBound struct {
	Ratio  float64
	Slack  float64
	Window waxfleet.Millis
}

// retryReserve is the part of the bound that is left unused, because requests
// and repeats of one instance fall into windows that are cut elsewhere.
const retryReserve = 0.2

// RetryBudget is one instance's part of a RetryBound: the slack divided by the
// number of instances, and the ratio of its own requests. It answers the load
// pattern of a service whose servers fail part of their requests. The caller
// serializes access.
type RetryBudget struct {
	requests []waxfleet.Millis
	repeats  []waxfleet.Millis
}

// Request counts a first arrival.
func (r *RetryBudget) Request(now waxfleet.Millis, window waxfleet.Millis) {
	r.requests = append(expire(r.requests, now-window), now)
}

// Repeat counts a further arrival if the budget has room for it.
func (r *RetryBudget) Repeat(now waxfleet.Millis, b RetryBound, instances int) bool {
	r.requests = expire(r.requests, now-b.Window)
	r.repeats = expire(r.repeats, now-b.Window)
	allowed := (1 - retryReserve) * (b.Ratio*float64(len(r.requests)) + b.Slack/float64(max(instances, 1)))
	if float64(len(r.repeats)+1) > allowed {
		return false
	}
	r.repeats = append(r.repeats, now)
	return true
}

// expire drops the times up to the given one.
func expire(times []waxfleet.Millis, until waxfleet.Millis) []waxfleet.Millis {
	n := 0
	for n < len(times) && times[n] <= until {
		n++
	}
	return times[n:]
}
