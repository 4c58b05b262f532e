package waxtrace

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestRead guards against accepting an invalid line, against an error without file
// name and line number, and against records that are returned with an error.
func TestRead(t *testing.T) {
	datadriven.RunTest(t, "testdata/read", func(t *testing.T, d *datadriven.TestData) string {
		records, err := Read(strings.NewReader(d.Input), "trace.jsonl")
		if err != nil {
			is.New(t).Equal(len(records), 0)
			return err.Error()
		}
		out := fmt.Sprintf("%d records\n", len(records))
		for i, tokens := range ReusableTokens(records) {
			out += fmt.Sprintf("%d reusable=%d\n", records[i].Timestamp, tokens)
		}
		return out
	})
}

// TestReadFileMissing guards against an error without a result code for a missing
// file or a line that is too long.
func TestReadFileMissing(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "missing.jsonl")
	_, err := ReadFile(path)
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeTraceUnreadable)
	is.True(strings.Contains(err.Error(), path))
	_, err = Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1)), "long")
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeTraceUnreadable)
}

func shortOptions() Options {
	o := DefaultOptions()
	o.Duration = 5 * minute
	o.AtMostOnceRate = 0.5
	o.ThinkTimeDivisor = 4
	return o
}

func generate(t *testing.T, o Options) ([]Record, []byte) {
	t.Helper()
	records, err := Generate(o)
	is.New(t).NoErr(err)
	var b bytes.Buffer
	is.New(t).NoErr(Write(&b, records))
	return records, b.Bytes()
}

// TestGenerateDeterminism guards against a generator that depends on anything
// but its options, and against records that change when they are written and read.
func TestGenerateDeterminism(t *testing.T) {
	is := is.New(t)
	records, first := generate(t, shortOptions())
	_, second := generate(t, shortOptions())
	is.True(bytes.Equal(first, second))
	other := shortOptions()
	other.Seed++
	_, third := generate(t, other)
	is.True(!bytes.Equal(first, third))
	read, err := Read(bytes.NewReader(first), "generated")
	is.NoErr(err)
	is.Equal(read, records)
}

// TestGenerateShape guards against chats whose turns do not share a prefix, a
// wrong request rate, and workspaces of equal size.
func TestGenerateShape(t *testing.T) {
	is := is.New(t)
	o := shortOptions()
	records, _ := generate(t, o)
	previous := map[string]Record{}
	sizes := map[string]int{}
	laterTurns, atMostOnce := 0, 0
	for _, r := range records {
		if r.AtMostOnce {
			atMostOnce++
			continue
		}
		sizes[r.Workspace]++
		if p, ok := previous[r.Chat]; ok {
			full := p.InputLength / BlockTokens
			is.True(r.InputLength > p.InputLength)
			is.Equal(r.HashIDs[:full], p.HashIDs[:full])
			laterTurns++
		}
		previous[r.Chat] = r
	}
	is.True(laterTurns > len(records)/4)
	is.True(atMostOnce > 100 && atMostOnce < 200) // 150 expected
	want := o.Rate * 300
	is.True(float64(len(records)-atMostOnce) > 0.85*want && float64(len(records)-atMostOnce) < 1.15*want)
	is.True(sizes[WorkspaceName(0)] > 3*sizes[WorkspaceName(9)])
}

// TestGenerateSurge guards against a burst of one workspace that does not raise its
// request rate, or raises that of other workspaces.
func TestGenerateSurge(t *testing.T) {
	is := is.New(t)
	o := shortOptions()
	count := func(o Options, workspace string) int {
		records, _ := generate(t, o)
		n := 0
		for _, r := range records {
			if r.Workspace == workspace && r.Timestamp >= 2*minute && r.Timestamp < 4*minute && !r.AtMostOnce {
				n++
			}
		}
		return n
	}
	before, otherBefore := count(o, "ws-04"), count(o, "ws-02")
	o.Bursts = []Burst{{Workspace: "ws-04", Start: 2 * minute, Duration: 2 * minute, Factor: 8}}
	after, otherAfter := count(o, "ws-04"), count(o, "ws-02")
	is.True(after > 5*before && after < 11*before)
	is.Equal(otherBefore, otherAfter)
}

// FuzzParseLine guards against a panic, against an error without a result code, and
// against a record that changes when it is written and read again.
func FuzzParseLine(f *testing.F) {
	f.Fuzz(func(t *testing.T, line []byte) {
		r, err := ParseLine(line)
		if err != nil {
			if waxfleet.CodeOf(err) != waxfleet.CodeTraceLineInvalid {
				t.Fatal(err)
			}
			return
		}
		var b bytes.Buffer
		if err := Write(&b, []Record{r}); err != nil {
			t.Fatal(err)
		}
		again, err := ParseLine(b.Bytes())
		if err != nil || fmt.Sprintf("%+v", again) != fmt.Sprintf("%+v", r) {
			t.Fatalf("%+v, read again as %+v: %v", r, again, err)
		}
	})
}
