package waxquota

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingdrift.org/waxfleet"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("router-%d", i+1)
	}
	return out
}

// TestColdSharesStayBelowTheBound guards against a cold backend server that gets
// more than its bound in some second, although every instance keeps its share
// and knows nothing of the others' use.
func TestColdSharesStayBelowTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 80).Draw(rt, "instances")
		b := ColdBound{
			PerSecond: rapid.Float64Range(1, 40).Draw(rt, "per-second"),
			Overshoot: rapid.Float64Range(1, 3).Draw(rt, "overshoot"),
			Slack:     rapid.Float64Range(3, 10).Draw(rt, "slack"),
		}
		all := names(n)
		total := 0.0
		for _, instance := range all {
			rate, burst := ColdShare(b, "engine-1", instance, all)
			// A bucket gives at most its burst and a second's refill in any second.
			total += rate + float64(burst)
		}
		if bound := b.PerSecond*b.Overshoot + b.Slack; total > bound {
			rt.Fatalf("%d instances may send %.2f in a second; the bound is %.2f", n, total, bound)
		}
	})
}

// TestColdServerGetsWork guards against shares that leave a cold server idle: the
// fleet together offers at least a third of what it bears.
func TestColdServerGetsWork(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 7, 11, 68, 410} {
		all, total := names(n), 0.0
		for _, instance := range all {
			rate, _ := ColdShare(ColdBound{PerSecond: 9.3, Overshoot: 1.5, Slack: 5}, "engine-1", instance, all)
			total += rate
		}
		is.True(total >= 9.3/3)
	}
}

// TestBucketWindow guards against a bucket that gives more than its burst and
// refill in any second.
func TestBucketWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.5, 5).Draw(rt, "rate")
		var b Bucket
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
				rt.Fatalf("%d in a second at rate %.2f", n, rate)
			}
		}
	})
}

// TestRetryBudgetsStayBelowTheBound guards against more repeats than the bound in
// some window, summed over all instances, when a service fails every request.
func TestRetryBudgetsStayBelowTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "instances")
		b := RetryBound{Ratio: 0.2, Slack: 54, Window: 10_000}
		budgets := make([]RetryBudget, n)
		var requests, repeats []waxfleet.Millis
		now := waxfleet.Millis(1)
		for range 600 {
			now += waxfleet.Millis(rapid.IntRange(0, 100).Draw(rt, "step"))
			i := rapid.IntRange(0, n-1).Draw(rt, "instance")
			budgets[i].Request(now, b.Window)
			requests = append(requests, now)
			if budgets[i].Repeat(now, b, n) {
				repeats = append(repeats, now)
			}
		}
		for i, end := range repeats {
			from := end - b.Window
			sent, again := 0, 0
			for _, at := range requests {
				if at > from && at <= end {
					sent++
				}
			}
			for _, at := range repeats[:i+1] {
				if at > from {
					again++
				}
			}
			if float64(again) > b.Ratio*float64(sent)+b.Slack {
				rt.Fatalf("%d repeats for %d requests", again, sent)
			}
		}
	})
}
