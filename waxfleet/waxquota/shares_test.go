package waxquota

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingdrift.org/waxfleet"
)

func instanceNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("router-%d", i+1)
	}
	return out
}

// TestColdSharesStayBelowTheBound guards against a cold backend server that gets more
// than its limit in some second although each instance keeps to its share.
func TestColdSharesStayBelowTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 80).Draw(rt, "instances")
		b := ColdBound{
			PerSecond: rapid.Float64Range(1, 40).Draw(rt, "per-second"),
			Overshoot: rapid.Float64Range(1, 3).Draw(rt, "overshoot"),
			Slack:     rapid.Float64Range(3, 10).Draw(rt, "slack"),
		}
		all := instanceNames(n)
		total := 0.0
		for _, instance := range all {
			rate, burst := ColdShare(b, "engine-1", instance, all)
			// In any second a bucket grants at most its burst and one second of refill.
			total += rate + float64(burst)
		}
		if bound := b.PerSecond*b.Overshoot + b.Slack; total > bound {
			rt.Fatalf("%d instances may send %.2f in a second; the bound is %.2f", n, total, bound)
		}
	})
}

// TestColdServerGetsWork guards against shares that leave a cold server idle:
// the fleet as a whole offers at least a third of its rate limit.
func TestColdServerGetsWork(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 7, 11, 68, 410} {
		all, total := instanceNames(n), 0.0
		for _, instance := range all {
			rate, _ := ColdShare(ColdBound{PerSecond: 9.3, Overshoot: 1.5, Slack: 5}, "engine-1", instance, all)
			total += rate
		}
		is.True(total >= 9.3/3)
	}
}

// TestBucketWindow guards against a bucket that grants more than its burst and
// refill in any second.
func TestBucketWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.5, 5).Draw(rt, "rate")
		var b TokenBucket
		var taken []waxfleet.Millis
		now := waxfleet.Millis(1)
		for range 300 {
			now += waxfleet.Millis(rapid.IntRange(0, 200).Draw(rt, "step"))
			if b.Take(now, rate, 1) {
				taken = append(taken, now)
			}
		}
		for i, start := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at < start+1000 {
					n++
				}
			}
			if float64(n) > rate+1+1e-6 {
				rt.Fatalf("%d tokens granted in one second at a rate of %.2f", n, rate)
			}
		}
	})
}

// TestBucketOverRestarts guards against a bucket that grants more than its burst and refill in
// any second because the process that holds it starts again.
func TestBucketOverRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.5, 5).Draw(rt, "rate")
		var b TokenBucket
		var taken []waxfleet.Millis
		now := waxfleet.Millis(1)
		for range 300 {
			now += waxfleet.Millis(rapid.IntRange(0, 200).Draw(rt, "step"))
			if rapid.IntRange(0, 5).Draw(rt, "restart") == 0 {
				b = NewEmptyTokenBucket(now)
			}
			if b.Take(now, rate, 1) {
				taken = append(taken, now)
			}
		}
		for i, start := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at < start+1000 {
					n++
				}
			}
			if float64(n) > rate+1+1e-6 {
				rt.Fatalf("%d tokens granted in one second at a rate of %.2f", n, rate)
			}
		}
	})
}

// TestRetryBudgetsOverRestarts guards against more retries than the bound allows because
// instances that start again forget what they have used.
func TestRetryBudgetsOverRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "instances")
		b := RetryBound{Ratio: 0.2, Slack: 54, Window: 10_000}
		budgets, startedAt := make([]RetryBudget, n), make([]waxfleet.Millis, n)
		now := b.Window
		var requests, retries []waxfleet.Millis
		for range 400 {
			now += waxfleet.Millis(rapid.IntRange(0, 100).Draw(rt, "step"))
			i := rapid.IntRange(0, n-1).Draw(rt, "instance")
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				budgets[i], startedAt[i] = RetryBudget{}, now
			}
			budgets[i].RecordRequest(now, b.Window)
			requests = append(requests, now)
			for range 4 {
				if budgets[i].TryRetry(now, b.AfterStart(now-startedAt[i]), n) {
					retries = append(retries, now)
				}
			}
		}
		for i, end := range retries {
			sent, retried := 0, 0
			for _, at := range requests {
				if at > end-b.Window && at <= end {
					sent++
				}
			}
			for _, at := range retries[:i+1] {
				if at > end-b.Window {
					retried++
				}
			}
			if float64(retried) > b.Ratio*float64(sent)+b.Slack {
				rt.Fatalf("%d retries for %d requests", retried, sent)
			}
		}
	})
}

// TestRetryBudgetsStayBelowTheBound guards against more retries by all instances than the
// bound in some window, while every request to a service fails.
func TestRetryBudgetsStayBelowTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "instances")
		b := RetryBound{Ratio: 0.2, Slack: 54, Window: 10_000}
		budgets := make([]RetryBudget, n)
		var requests, retries []waxfleet.Millis
		now := waxfleet.Millis(1)
		for range 600 {
			now += waxfleet.Millis(rapid.IntRange(0, 100).Draw(rt, "step"))
			i := rapid.IntRange(0, n-1).Draw(rt, "instance")
			budgets[i].RecordRequest(now, b.Window)
			requests = append(requests, now)
			if budgets[i].TryRetry(now, b, n) {
				retries = append(retries, now)
			}
		}
		for i, end := range retries {
			from := end - b.Window
			sent, retried := 0, 0
			for _, at := range requests {
				if at > from && at <= end {
					sent++
				}
			}
			for _, at := range retries[:i+1] {
				if at > from {
					retried++
				}
			}
			if float64(retried) > b.Ratio*float64(sent)+b.Slack {
				rt.Fatalf("%d retries for %d requests", retried, sent)
			}
		}
	})
}

// TestLimitSharesStayBelowTheBound guards against a backend server that gets far more than
// the limit that it names although each instance keeps to its share.
func TestLimitSharesStayBelowTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 420).Draw(rt, "instances")
		b := LimitBound{PerSecond: rapid.Float64Range(0, 60).Draw(rt, "per-second"), Factor: 1.5, Slack: 5, Window: 4_000}
		all := instanceNames(n)
		inWindow, perSecond := 0.0, 0.0
		for _, instance := range all {
			rate, burst := LimitShare(b, "engine-1", instance, all)
			inWindow += rate*4 + float64(burst)
			perSecond += rate
		}
		if bound := b.PerSecond*b.Factor*4 + b.Slack; inWindow > bound {
			rt.Fatalf("%d instances may send %.2f in 4 s; the bound is %.2f", n, inWindow, bound)
		}
		if perSecond < 0.99*b.PerSecond {
			rt.Fatalf("%d instances may send %.2f a second of %.2f", n, perSecond, b.PerSecond)
		}
	})
}

// TestWait guards against a Retry-After that ends before the bucket has a token, or that
// never ends.
func TestWait(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.01, 20).Draw(rt, "rate")
		now := waxfleet.Millis(1_000)
		var b TokenBucket
		for range 5 {
			now += waxfleet.Millis(rapid.IntRange(0, 400).Draw(rt, "step"))
			b.Take(now, rate, 1)
		}
		wait := b.Wait(now, rate, 1)
		if !b.HasToken(now+wait+1, rate, 1) {
			rt.Fatalf("no token after %d ms at %.3f a second", wait, rate)
		}
	})
	is := is.New(t)
	var b TokenBucket
	b.Take(1, 1, 1)
	is.Equal(b.Wait(1, 0, 1), waxfleet.Millis(-1))
}

// TestSlotSharesAddUp guards against instances that together use more slots of a server than
// there are, or leave some unused.
func TestSlotSharesAddUp(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 7, 83, 295} {
		instances := instanceNames(n)
		for _, slots := range []int{1, 6, 32, 128} {
			total := 0
			for _, instance := range instances {
				total += SlotShare(slots, "server-1", instance, instances)
			}
			is.Equal(total, slots)
		}
	}
}
