package waxplace_test

import (
	"fmt"
	"runtime"
	"testing"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
)

// BenchmarkDecision measures the choice of one server: ranking, load limit and Choose.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{18, 50, 200} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprintf("geiriau-engine-%04d", i)
			}
			limits := waxfleet.NewLimits(1.25, 4, 64, 8, 4<<20)
			b.ReportAllocs()
			for i := range b.N {
				ranked := waxplace.Rank(fmt.Sprintf("workspace/chat-%d", i), ids)
				limit := waxplace.LoadLimit(limits, 3*n, n)
				candidates := make([]waxplace.Candidate, n)
				for j, id := range ranked {
					candidates[j] = waxplace.Candidate{ID: id, Load: (i + j) % 6, Capacity: limit}
				}
				if waxplace.Choose(candidates, "", nil).ID == "" {
					b.Fatal("no choice")
				}
			}
		})
	}
}

// BenchmarkExceptionsMemory measures the live heap per entry of a full table.
func BenchmarkExceptionsMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			servers := make([]string, 200)
			for i := range servers {
				servers[i] = fmt.Sprintf("geiriau-engine-%04d", i)
			}
			for range b.N {
				before := heap()
				e := waxplace.NewExceptions(n)
				for i := range n {
					// A chat key is the workspace name and an id of 26 characters.
					e.Set(fmt.Sprintf("workspace-%04d/01JXW5T6V8N3Q4R%011d", i%3700, i), servers[i%200], "")
				}
				b.ReportMetric((heap()-before)/float64(n), "heap-B/entry")
				runtime.KeepAlive(e)
			}
		})
	}
}
