// Package waxquota divides the rate limits of the whole fleet into fixed
// shares, one per instance. The shares never add up to more than the limit,
// even if the instances don't know of each other's use because they are
// partitioned.
package waxquota

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
)

// ColdBound limits the requests to a cold backend server from the whole fleet:
// at most PerSecond x Overshoot + Slack in any second.
type ColdBound struct {
	PerSecond float64
	Overshoot float64
	Slack     float64
}

// coldTargetFactor x PerSecond is the target rate of the whole fleet. It is
// below Overshoot because requests bunch up on the way to the server.
const coldTargetFactor = 1.1

// ColdShare returns the rate, in requests per second, and the burst, in
// requests, of one instance's token bucket for a cold backend server. Servers
// are cold, for example, when their failure domain returns under full traffic.
// If the fleet is too large for a burst of one request at each instance, only
// the first instances in the rendezvous order of the server get a share; the
// others get 0, 0.
func ColdShare(b ColdBound, server, instance string, instances []string) (perSecond float64, burst int) {
	n := len(instances)
	if n == 0 {
		return 0, 0
	}
	budget := math.Floor(b.PerSecond*b.Overshoot + b.Slack - 1)
	sharers := min(n, max(1, int(budget-b.PerSecond*coldTargetFactor)))
	if sharers < n && !amongFirst(server, instance, instances, sharers) {
		return 0, 0
	}
	rate := min(b.PerSecond*coldTargetFactor, budget-float64(sharers)) / float64(sharers)
	if rate <= 0 {
		return 0, 0
	}
	return rate, 1
}

// LimitBound limits the requests to a backend server that names a rate limit: at most
// PerSecond x Factor x Window + Slack in any Window, from the whole fleet.
type LimitBound struct {
	PerSecond float64
	Factor    float64
	Slack     float64
	Window    waxfleet.Millis
}

// minLimit is the lowest rate, in requests per second, that LimitShare divides. Only the
// response to a request shows that a server takes more again.
const minLimit = 0.25

// LimitShare returns the rate, in requests per second, and the burst, in requests, of one
// instance's token bucket for a backend server that names a rate limit. Together the
// instances send what the server takes, and bursts stay within the bound. As with
// ColdShare, only some instances of a large fleet get a share.
func LimitShare(b LimitBound, server, instance string, instances []string) (perSecond float64, burst int) {
	n := len(instances)
	if n == 0 {
		return 0, 0
	}
	b.PerSecond = max(b.PerSecond, minLimit)
	inWindow := b.PerSecond * float64(b.Window) / 1000
	bursts := math.Floor(inWindow*(b.Factor-1) + b.Slack - 1)
	sharers := int(min(float64(n), max(1, bursts)))
	if sharers < n && !amongFirst(server, instance, instances, sharers) {
		return 0, 0
	}
	return b.PerSecond / float64(sharers), 1
}

// SlotShare returns how many of a server's slots an instance may use without knowing what
// the others do. The shares of all instances add up to the slots.
func SlotShare(slots int, server, instance string, instances []string) int {
	n := max(len(instances), 1)
	share := slots / n
	if amongFirst(server, instance, instances, slots%n) {
		share++
	}
	return share
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

// pairHash returns the rendezvous weight of b for a.
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

// NewEmptyTokenBucket returns a bucket that starts empty, because an earlier process may have
// taken its tokens just now.
func NewEmptyTokenBucket(now waxfleet.Millis) TokenBucket {
	return TokenBucket{lastRefill: now, initialized: true}
}

// Take takes one token. It reports false if there is none. The bucket is
// refilled with perSecond tokens per second, up to burst tokens.
func (b *TokenBucket) Take(now waxfleet.Millis, perSecond float64, burst int) bool {
	if !b.HasToken(now, perSecond, burst) {
		return false
	}
	b.tokens--
	return true
}

// HasToken reports whether Take would succeed.
func (b *TokenBucket) HasToken(now waxfleet.Millis, perSecond float64, burst int) bool {
	if !b.initialized {
		b.tokens, b.initialized, b.lastRefill = float64(burst), true, now
	}
	b.tokens = min(float64(burst), b.tokens+float64(now-b.lastRefill)/1000*perSecond)
	b.lastRefill = now
	return b.tokens >= 1
}

// Wait returns the time until the bucket has a token; -1 if it never will.
func (b *TokenBucket) Wait(now waxfleet.Millis, perSecond float64, burst int) waxfleet.Millis {
	if b.HasToken(now, perSecond, burst) {
		return 0
	}
	if perSecond <= 0 {
		return -1
	}
	return waxfleet.Millis(math.Ceil((1 - b.tokens) / perSecond * 1000))
}

// RetryBound limits the retries of requests to a service by the whole fleet: at
// most Ratio x requests + Slack in any Window.
type RetryBound struct {
	Ratio  float64
	Slack  float64
	Window waxfleet.Millis
}

// AfterStart returns the bound for a process that started uptime ago. The process before it may
// have used the share of the slack within the window.
func (b RetryBound) AfterStart(uptime waxfleet.Millis) RetryBound {
	if uptime < b.Window {
		b.Slack = 0
	}
	return b
}

// unusedRetryShare is the share of the bound that is left unused, because the
// windows of one instance don't coincide with those over which the bound is
// checked.
const unusedRetryShare = 0.2

// RetryBudget is one instance's share of a RetryBound: an equal share of Slack,
// and Ratio x its own requests. It prevents retries from overloading a service
// some of whose requests fail. It isn't safe for concurrent use.
type RetryBudget struct {
	requests []waxfleet.Millis
	retries  []waxfleet.Millis
}

// RecordRequest counts the first send of a request.
func (r *RetryBudget) RecordRequest(now waxfleet.Millis, window waxfleet.Millis) {
	r.requests = append(dropExpired(r.requests, now-window), now)
}

// TryRetry counts a retry and returns true if the budget allows one. instances
// is the number of instances that share the bound.
func (r *RetryBudget) TryRetry(now waxfleet.Millis, b RetryBound, instances int) bool {
	r.requests = dropExpired(r.requests, now-b.Window)
	r.retries = dropExpired(r.retries, now-b.Window)
	allowed := (1 - unusedRetryShare) * (b.Ratio*float64(len(r.requests)) + b.Slack/float64(max(instances, 1)))
	if float64(len(r.retries)+1) > allowed {
		return false
	}
	r.retries = append(r.retries, now)
	return true
}

// dropExpired returns the times after until. times must be sorted.
func dropExpired(times []waxfleet.Millis, until waxfleet.Millis) []waxfleet.Millis {
	n := 0
	for n < len(times) && times[n] <= until {
		n++
	}
	return times[n:]
}
