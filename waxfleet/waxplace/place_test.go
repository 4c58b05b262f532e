package waxplace

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingdrift.org/waxfleet"
)

func engineIDs(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("engine-%02d", i+1)
	}
	return out
}

// TestRankIsStable guards against chats that move when an unrelated server
// leaves or when the list is in another order.
func TestRankIsStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := engineIDs(rapid.IntRange(2, 40).Draw(rt, "n"))
		key := rapid.String().Draw(rt, "key")
		ranked := Rank(key, all)
		if First(key, all) != ranked[0] {
			rt.Fatalf("First and Rank disagree")
		}
		removed := rapid.SampledFrom(all).Draw(rt, "removed")
		rest := slices.DeleteFunc(slices.Clone(all), func(id string) bool { return id == removed })
		slices.Reverse(rest)
		want := slices.DeleteFunc(slices.Clone(ranked), func(id string) bool { return id == removed })
		if !slices.Equal(Rank(key, rest), want) {
			rt.Fatalf("the order of the remaining servers changed")
		}
	})
}

// TestRankIsEven guards against a hash that prefers some servers.
func TestRankIsEven(t *testing.T) {
	is := is.New(t)
	const chats = 18_000
	counts := map[string]int{}
	for i := range chats {
		counts[First(fmt.Sprintf("ws-01/chat-%d", i), engineIDs(18))]++
	}
	for _, n := range counts {
		is.True(n > 800 && n < 1200) // 1,000 each, within six standard deviations
	}
}

// TestChoose checks the order of preference: the server of the exception, the
// first server, a server with capacity, and the queue at the preferred server.
func TestChoose(t *testing.T) {
	full, free := 10, 3
	ranked := func(loads ...int) []Candidate {
		out := make([]Candidate, len(loads))
		for i, load := range loads {
			out[i] = Candidate{ID: engineIDs(9)[i], Load: load, Capacity: 10}
		}
		return out
	}
	for _, c := range []struct {
		name     string
		ranked   []Candidate
		holder   string
		excluded string
		want     Choice
	}{
		{"none", nil, "", "", Choice{Reason: ReasonNoServers}},
		{"first", ranked(free, free), "", "", Choice{ID: "engine-01", CacheExpected: true, Reason: ReasonFirst}},
		{"first is full but waited for", ranked(full, free), "", "", Choice{
			ID:            "engine-01",
			CacheExpected: true,
			Reason:        ReasonFirst,
		}},
		{"holder", ranked(free, free), "engine-02", "", Choice{ID: "engine-02", CacheExpected: true, Reason: ReasonHolder}},
		{"holder is not eligible", ranked(free, free), "engine-07", "", Choice{
			ID:            "engine-01",
			CacheExpected: true,
			Reason:        ReasonFirst,
		}},
		{"overflow", ranked(free, full, free), "", "engine-01", Choice{ID: "engine-03", Reason: ReasonOverflow}},
		{"all full", ranked(full, full), "engine-02", "engine-02", Choice{
			ID:            "engine-02",
			CacheExpected: true,
			Reason:        ReasonFull,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Choose(c.ranked, c.holder, map[string]bool{c.excluded: true}), c.want)
		})
	}
}

// TestLimit checks the load limit, its floor, the admission margin and the
// reserve.
func TestLimit(t *testing.T) {
	is := is.New(t)
	limits := waxfleet.NewLimits(1.25, 8, 64, 8, 1<<20)
	is.Equal(LoadLimit(limits, 0, 0), 8)
	is.Equal(LoadLimit(limits, 36, 18), 8)
	is.Equal(LoadLimit(limits, 180, 18), 12)
	is.Equal(AdmissionLimit(limits, 180, 18), 12)
	is.Equal(AdmissionLimit(limits, 175, 18), 11)
	is.Equal(TakeoverReserve(1), 0)
	is.Equal(TakeoverReserve(8), 1)
	is.Equal(TakeoverReserve(24), 3)
	is.True(FloorAllowsGrowth(1.25, 8))
	is.True(!FloorAllowsGrowth(1.25, 4)) // the mean would never rise above the floor
}
