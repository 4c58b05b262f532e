package waxconfig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"waxwingdrift.org/waxfleet"
)

// benchWorkspaces returns a canonical section of n workspaces. Unless empty, changed
// is the default tier of one of them.
func benchWorkspaces(b *testing.B, n int, changed string) []byte {
	b.Helper()
	var buf bytes.Buffer
	buf.WriteString("{")
	for i := range n {
		if i > 0 {
			buf.WriteString(",")
		}
		tier := "standard"
		if changed != "" && i == n/2 {
			tier = changed
		}
		fmt.Fprintf(&buf, `"workspace-%04d":{"keys":["key-%04d-a4c1e0"],"default-tier":%q}`, i, i, tier)
	}
	buf.WriteString("}")
	value, err := canonicalSection(SectionWorkspaces, buf.Bytes())
	if err != nil {
		b.Fatal(err)
	}
	return value
}

// benchHead returns the head after n edits of one workspace, and the section
// before and after the last of them.
func benchHead(b *testing.B, workspaces, edits int) (h head, from, to []byte) {
	b.Helper()
	tiers := []string{"patient", "standard"}
	from = benchWorkspaces(b, workspaces, "")
	h = head{Sections: map[string]sectionRef{}}
	for i := range edits {
		to = benchWorkspaces(b, workspaces, tiers[i%2])
		if i > 0 {
			from = benchWorkspaces(b, workspaces, tiers[(i+1)%2])
		}
		h = h.withEdit(uint64(i+1), SectionWorkspaces, fmt.Sprintf("01JXW5T6V8N3Q4R5S6T7%06d", i), from, to)
	}
	return h, from, to
}

// sectionStore returns the same section for every read.
type sectionStore struct {
	waxfleet.ObjectStore
	section []byte
}

// Get implements waxfleet.ObjectStore.
func (s *sectionStore) Get(_ context.Context, kind, name string) (waxfleet.Object, error) {
	return waxfleet.NewObject(kind, name, s.section, 1), nil
}

// BenchmarkChange measures the cost of a change of one workspace for an instance:
// with the patches in the head, and with a fetch of the full section. head-B is the
// size of the head with the latest 16 edits, change-B that of the last merge patch.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 3_700} {
		patches, from, to := benchHead(b, n, maxPatches)
		previous, err := NewDocument(1, map[string][]byte{SectionWorkspaces: from})
		if err != nil {
			b.Fatal(err)
		}
		full := patches
		full.Patches = nil
		for _, variant := range []struct {
			name string
			head head
		}{{"patch", patches}, {"full", full}} {
			b.Run(fmt.Sprintf("workspaces=%d/%s", n, variant.name), func(b *testing.B) {
				raw, err := json.Marshal(variant.head)
				if err != nil {
					b.Fatal(err)
				}
				w := &Watcher{store: &sectionStore{section: to}}
				obj := waxfleet.NewObject(waxfleet.ObjectKindConfig, headName, raw, 2)
				b.ResetTimer()
				for range b.N {
					w.current.Store(&storedDocument{doc: previous})
					if err := w.applyHead(b.Context(), obj); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(raw)), "head-B")
				b.ReportMetric(float64(len(patches.Patches[len(patches.Patches)-1].MergePatch)), "change-B")
				b.ReportMetric(float64(len(to)), "section-B")
			})
		}
	}
}

// BenchmarkDocumentMemory measures the live heap of a configuration.
func BenchmarkDocumentMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, n := range []int{10, 100, 1_000, 3_700} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			for range b.N {
				before := heap()
				var doc waxfleet.Config
				doc, err := NewDocument(1, map[string][]byte{SectionWorkspaces: benchWorkspaces(b, n, "")})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(heap()-before, "heap-B")
				runtime.KeepAlive(doc)
			}
		})
	}
}
