package waxclaim

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/oklog/ulid/v2"

	"waxwingdrift.org/waxfleet"
)

// callCounter counts the reads, the writes and the written bytes of a store.
type callCounter struct {
	waxfleet.ObjectStore
	reads, writes, bytes int
}

func (c *callCounter) Get(ctx context.Context, kind, name string) (waxfleet.Object, error) {
	c.reads++
	return c.ObjectStore.Get(ctx, kind, name)
}

func (c *callCounter) Put(ctx context.Context, kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	c.writes++
	c.bytes += len(value)
	return c.ObjectStore.Put(ctx, kind, name, value, version)
}

// BenchmarkOnce measures the claim of one at-most-once request, from Begin to the
// stored result of the given size. The later deletion adds one write.
func BenchmarkOnce(b *testing.B) {
	for _, size := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("result=%d", size), func(b *testing.B) {
			counter := &callCounter{ObjectStore: newMemoryStore()}
			s := New(b.Context(), counter, waxfleet.NewClock(), "caerdydd-router-01", slog.New(slog.DiscardHandler))
			body := []byte(strings.Repeat("x", size))
			b.ResetTimer()
			for range b.N {
				c, err := s.Begin(b.Context(), "workspace-0001", ulid.Make().String(), "digest")
				if err != nil {
					b.Fatal(err)
				}
				if err := s.Finish(b.Context(), c, 200, "application/json", body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(counter.reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(counter.writes)/float64(b.N), "writes/op")
			b.ReportMetric(float64(counter.bytes)/float64(b.N), "value-B/op")
		})
	}
}
