// Package waxquota divides the rate limits of the whole fleet into fixed
// shares, one per instance. The shares never add up to more than the limit,
// whatever each instance knows of the others' use, so that instances need no
// agreement while they are partitioned.
package waxquota

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
)

// ColdBound limits the requests that a cold backend server gets from the whole
// fleet to PerSecond x Overshoot + Slack in any second.
type ColdBound struct {
	PerSecond float64
	Overshoot float64
	Slack     float64
}

// coldTargetFactor x PerSecond is the target rate of the whole fleet. It lies
// below Overshoot because arrivals bunch up on the way to the server.
const coldTargetFactor = 1.1

// ColdShare returns the rate, in requests per second, and the burst of one
// instance's token bucket for a cold backend server, for example after its
// failure domain has returned under full traffic. If the fleet is too large for
// each instance to get a burst of one request, only the first instances in the
// rendezvous order of the server get a share; the others get 0, 0.
func ColdShare(b ColdBound, server, instance string, instances []string) (perSecond float64, burst int) {
	n := len(instances)
	if n == 0 {
		return 0, 0
	}
	budget := math.Floor(b.PerSecond*b.Overshoot + b.Slack - 1)
	holders := min(n, max(1, int(budget-b.PerSecond*coldTargetFactor)))
	if holders < n && !amongFirst(server, instance, instances, holders) {
		return 0, 0
	}
	rate := min(b.PerSecond*coldTargetFactor, budget-float64(holders)) / float64(holders)
	if rate <= 0 {
		return 0, 0
	}
	return rate, 1
}

// amongFirst reports whether the instance is one of the first n in the
// rendezvous order of the server.
func amongFirst(server, instance string, instances []string, n int) bool {
	own := pairHash(server, instance)
	before := 0
	for _, other := range instances {
		if h := pairHash(server, other); h > own || h == own && other > instance {
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

// TokenBucket is a token bucket rate limiter that starts full. It isn't safe
// for concurrent use.
type TokenBucket struct {
	tokens      float64
	lastRefill  waxfleet.Millis
	initialized bool
}

// Take takes one token, and reports false if there is none.
func (b *TokenBucket) Take(now waxfleet.Millis, perSecond float64, burst int) bool {
	if !b.Ready(now, perSecond, burst) {
		return false
	}
	b.tokens--
	return true
}

// Ready reports whether Take would succeed.
func (b *TokenBucket) Ready(now waxfleet.Millis, perSecond float64, burst int) bool {
	if !b.initialized {
		b.tokens, b.initialized, b.lastRefill = float64(burst), true, now
	}
	b.tokens = min(float64(burst), b.tokens+float64(now-b.lastRefill)/1000*perSecond)
	b.lastRefill = now
	return b.tokens >= 1
}

// RetryBound limits the retries of requests to a service by the whole fleet: at
// most Ratio x requests + Slack in any Window.
type RetryBound struct {
	Ratio  float64
	Slack  float64
	Window waxfleet.Millis
}

// retryReserveShare is the share of the bound that is left unused, because the
// windows of one instance don't coincide with those over which the bound is
// checked.
const retryReserveShare = 0.2

// RetryBudget is one instance's share of a RetryBound: an equal share of the
// slack, and the ratio of its own requests. It keeps a service whose servers
// fail part of their requests from being overloaded by retries. It isn't safe
// for concurrent use.
type RetryBudget struct {
	requests []waxfleet.Millis
	retries  []waxfleet.Millis
}

// RecordRequest counts the first send of a request.
func (r *RetryBudget) RecordRequest(now waxfleet.Millis, window waxfleet.Millis) {
	r.requests = append(dropExpired(r.requests, now-window), now)
}

// TryRetry counts a retry and returns true if the budget allows one.
func (r *RetryBudget) TryRetry(now waxfleet.Millis, b RetryBound, instances int) bool {
	r.requests = dropExpired(r.requests, now-b.Window)
	r.retries = dropExpired(r.retries, now-b.Window)
	allowed := (1 - retryReserveShare) * (b.Ratio*float64(len(r.requests)) + b.Slack/float64(max(instances, 1)))
	if float64(len(r.retries)+1) > allowed {
		return false
	}
	r.retries = append(r.retries, now)
	return true
}

// dropExpired returns the times after until. times is sorted.
func dropExpired(times []waxfleet.Millis, until waxfleet.Millis) []waxfleet.Millis {
	n := 0
	for n < len(times) && times[n] <= until {
		n++
	}
	return times[n:]
}
