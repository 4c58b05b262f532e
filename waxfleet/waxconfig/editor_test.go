package waxconfig

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxobject/waxmemory"
)

// newTestEditor returns an editor whose retry delays pass without real time.
func newTestEditor(t *testing.T, store waxfleet.ObjectStore) *Editor {
	clock := waxfleet.NewManualClock(0)
	go func() {
		for t.Context().Err() == nil {
			clock.Advance(100)
			time.Sleep(100 * time.Microsecond) // yields the processor to the test
		}
	}()
	return NewEditor(store, clock, slog.New(slog.DiscardHandler))
}

func replaceWith(value string) func([]byte) ([]byte, error) {
	return func([]byte) ([]byte, error) { return []byte(value), nil }
}

var faultNames = map[string]waxmemory.Fault{
	"outage":       waxmemory.FaultOutage,
	"rate-limited": waxmemory.FaultRateLimited,
	"conflict":     waxmemory.FaultConflict,
	"lost-answer":  waxmemory.FaultResponseLost,
	"lost-call":    waxmemory.FaultRequestLost,
	"late-write":   waxmemory.FaultDelayedWrite,
}

// headFaults returns a fault hook that applies the faults in order, one to each write
// of the head, and then none.
func headFaults(faults []waxmemory.Fault) func(waxmemory.Call) waxmemory.Fault {
	return func(c waxmemory.Call) waxmemory.Fault {
		if c.Verb != waxmemory.VerbPut || c.Kind != waxfleet.ObjectKindConfig || len(faults) == 0 {
			return waxmemory.FaultNone
		}
		fault := faults[0]
		faults = faults[1:]
		return fault
	}
}

// editScript runs the commands of a file in testdata/edit.
type editScript struct {
	store  *waxmemory.Store
	editor *Editor
}

// TestEdit checks that edits are not lost, not applied twice and not reported as
// failed after they were applied, and that the patches stay within their limits.
func TestEdit(t *testing.T) {
	datadriven.Walk(t, "testdata/edit", func(t *testing.T, path string) {
		store := waxmemory.NewStore(waxfleet.NewClock())
		s := &editScript{store: store, editor: newTestEditor(t, store)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *editScript) run(t *testing.T, d *datadriven.TestData) string {
	ctx := context.Background()
	switch d.Cmd {
	case "edit":
		return s.edit(ctx, t, d)
	case "fill":
		var section string
		var from, to int
		d.ScanArgs(t, "section", &section)
		d.ScanArgs(t, "from", &from)
		d.ScanArgs(t, "to", &to)
		for i := from; i <= to; i++ {
			if _, err := s.editor.Edit(ctx, section, replaceWith(fmt.Sprintf(`{"queue-length": %d}`, i))); err != nil {
				return describe(err)
			}
		}
		return "ok\n"
	case "head":
		snap, err := s.editor.Read(ctx)
		if err != nil {
			return describe(err)
		}
		return formatHead(snap)
	case "objects":
		all, err := s.store.List(ctx, waxfleet.ObjectKindConfigSection)
		if err != nil {
			return describe(err)
		}
		return fmt.Sprintf("%d\n", len(all))
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// edit runs an edit. With the argument race, the named section is edited after the
// edit has read the configuration and before it writes.
func (s *editScript) edit(ctx context.Context, t *testing.T, d *datadriven.TestData) string {
	var section, race string
	d.ScanArgs(t, "section", &section)
	d.MaybeScanArgs(t, "race", &race)
	var faults []waxmemory.Fault
	for _, arg := range d.CmdArgs {
		if arg.Key == "faults" {
			for _, name := range arg.Vals {
				faults = append(faults, faultNames[name])
			}
		}
	}
	value, other, _ := strings.Cut(d.Input, "---")
	version, err := s.editor.Edit(ctx, section, func([]byte) ([]byte, error) {
		if race != "" {
			if _, err := s.editor.Edit(ctx, race, replaceWith(other)); err != nil {
				return nil, err
			}
		}
		s.store.SetFault(headFaults(faults))
		return []byte(value), nil
	})
	s.store.SetFault(nil)
	s.store.RunDelayedWrites()
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return fmt.Sprintf("%sbase %d %s\ncurrent %d %s\nyours %s\n", describe(err), conflict.BaseVersion(), conflict.Base(),
			conflict.CurrentVersion(), conflict.Current(), conflict.Proposed())
	}
	if err != nil {
		code := waxfleet.CodeOf(err)
		return fmt.Sprintf("%d %s\n", code, code.Name())
	}
	current, readErr := s.editor.Read(ctx)
	if readErr != nil {
		return describe(readErr)
	}
	return fmt.Sprintf("in force=%v\n", current.Version() >= version && version > 0)
}

func formatHead(snap Snapshot) string {
	var b bytes.Buffer
	for _, name := range Sections() {
		if snap.Revision(name) > 0 {
			raw, _ := snap.Section(name)
			fmt.Fprintf(&b, "%s revision=%d %.60s\n", name, snap.Revision(name), raw)
		}
	}
	size := 0
	for _, p := range snap.head.Patches {
		size += len(p.MergePatch)
	}
	fmt.Fprintf(&b, "patches=%d within-bytes=%v\n", len(snap.head.Patches), size <= maxPatchBytes)
	if n := len(snap.head.Patches); n > 0 {
		fmt.Fprintf(&b, "last=%.60s\n", snap.head.Patches[n-1].MergePatch)
	}
	return b.String()
}

// deleteHook runs a function once, before the first delete.
type deleteHook struct {
	waxfleet.ObjectStore
	once   sync.Once
	before func()
}

func (d *deleteHook) Delete(ctx context.Context, kind, name string, version uint64) error {
	d.once.Do(d.before)
	return d.ObjectStore.Delete(ctx, kind, name, version)
}

// TestSweepKeepsUsedSections checks that a sweep does not delete a section object
// that another editor starts to use again between the update of the head and the
// delete.
func TestSweepKeepsUsedSections(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	for i := range 2*sweepIntervalEdits - 1 {
		mustEdit(t, store, SectionLimits, fmt.Sprintf(`{"queue-length": %d}`, i))
	}
	reused := false
	hook := &deleteHook{ObjectStore: store, before: func() {
		reused = true
		mustEdit(t, store, SectionLimits, `{"queue-length": 3}`)
	}}
	mustEdit(t, hook, SectionLimits, `{"queue-length": 1000}`)
	is.True(reused) // the sweep found an unused object
	snap, err := newTestEditor(t, store).Read(t.Context())
	is.NoErr(err)
	raw, _ := snap.Section(SectionLimits)
	is.Equal(string(raw), `{"queue-length":3}`)
}

// TestFindEdit checks the outcome of an update whose response was lost, and that the
// version returned is that of the edit and not of a later one.
func TestFindEdit(t *testing.T) {
	h := head{EditID: "c", Patches: []patch{{EditID: "a", BaseVersion: 10}, {EditID: "b", BaseVersion: 12}, {EditID: "c", BaseVersion: 15}}}
	for _, c := range []struct {
		id      string
		base    uint64
		want    outcome
		version uint64
	}{
		{"a", 10, outcomeApplied, 12},
		{"b", 12, outcomeApplied, 15},
		{"c", 15, outcomeApplied, 19},
		{"x", 12, outcomeSuperseded, 0},
		{"x", 19, outcomePending, 0},
		{"x", 7, outcomeUnknown, 0},
	} {
		is := is.New(t)
		got, version := h.findEdit(c.id, c.base, 19)
		is.Equal(got, c.want)
		is.Equal(version, c.version)
	}
}

// TestLostUpdateBeyondPatchesIsUnknown checks that the outcome is reported as unknown
// for a lost update that is followed by more edits than the head has patches for.
func TestLostUpdateBeyondPatchesIsUnknown(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	editor := newTestEditor(t, store)
	_, err := editor.Edit(t.Context(), SectionFailureDomains, func([]byte) ([]byte, error) {
		for i := range maxPatches + 1 {
			mustEdit(t, store, SectionLimits, fmt.Sprintf(`{"queue-length": %d}`, i))
		}
		store.SetFault(headFaults([]waxmemory.Fault{waxmemory.FaultRequestLost}))
		return []byte(`{"d": {}}`), nil
	})
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodePlatformUnknown)
}
