package waxrecord_test

import (
	"fmt"
	"runtime"
	"testing"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxrecord"
)

// BenchmarkRecorderMemory reports the live heap per request of a full recorder,
// with eight decisions per request, as is usual at one instance.
func BenchmarkRecorderMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, n := range []int{200, 2_000, 20_000} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			for range b.N {
				before := heap()
				r := waxrecord.NewRecorder(waxfleet.NewClock(), "caerdydd-router-01", n)
				for i := range n {
					for step := range 8 {
						r.Record(fmt.Sprintf("01JXW5T6V8N3Q4R%011d", i), "admit", fmt.Sprintf("backend-server=geiriau-engine-%04d waited-ms=%d code=ok", i%200, step))
					}
				}
				b.ReportMetric((heap()-before)/float64(n), "heap-B/request")
				runtime.KeepAlive(r)
			}
		})
	}
}
