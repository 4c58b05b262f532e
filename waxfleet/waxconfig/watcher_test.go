package waxconfig

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxobject/waxmemory"
)

// readCounter counts the reads of section objects.
type readCounter struct {
	waxfleet.ObjectStore
	reads atomic.Int64
}

func (c *readCounter) Get(ctx context.Context, kind, name string) (waxfleet.Object, error) {
	if kind == waxfleet.ObjectKindConfigSection {
		c.reads.Add(1)
	}
	return c.ObjectStore.Get(ctx, kind, name)
}

// newTrackedWatcher returns a watcher of store, and a channel with the versions that it
// installs.
func newTrackedWatcher(t *testing.T, store waxfleet.ObjectStore, clock *waxfleet.Clock) (*Watcher, chan uint64) {
	versions := make(chan uint64, 1000)
	w := NewWatcher(t.Context(), store, clock, slog.New(slog.DiscardHandler), func(v uint64) { versions <- v })
	return w, versions
}

func mustEdit(t *testing.T, store waxfleet.ObjectStore, section, value string) uint64 {
	t.Helper()
	version, err := newTestEditor(t, store).Edit(t.Context(), section, replaceWith(value))
	if err != nil {
		t.Fatal(err)
	}
	return version
}

func awaitVersion(versions chan uint64, want uint64) {
	for v := range versions {
		if v >= want {
			return
		}
	}
}

// TestWatcherPatches checks that an instance that is a few changes behind catches up
// from the patches in the head, and fetches a section only if its patch is too large
// for the head.
func TestWatcherPatches(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	counter := &readCounter{ObjectStore: store}
	w, versions := newTrackedWatcher(t, counter, waxfleet.NewClock())
	is.Equal(w.Current().Version(), uint64(0))
	is.True(w.Current().DomainInService("d"))
	is.Equal(len(w.Current().Tiers()), 4)
	is.Equal(w.Copy().Head(), nil)

	var last uint64
	for i := range 10 {
		last = mustEdit(t, store, SectionLimits, fmt.Sprintf(`{"queue-length": %d}`, i))
	}
	awaitVersion(versions, last)
	is.Equal(w.Current().Limits().QueueLength(), 9)
	is.Equal(counter.reads.Load(), int64(0)) // all changes came as patches

	large := fmt.Sprintf(`{"draining": [%q]}`, strings.Repeat("x", 200))
	for i := range 200 {
		large = strings.Replace(large, "]", fmt.Sprintf(`,"%d%s"]`, i, strings.Repeat("x", 190)), 1)
	}
	last = mustEdit(t, store, SectionRules, large)
	awaitVersion(versions, last)
	is.Equal(counter.reads.Load(), int64(1)) // the patch was too large for the head
	is.True(w.Document().Draining(strings.Repeat("x", 200)))

	late := NewWatcher(t.Context(), waxmemory.NewStore(waxfleet.NewClock()), waxfleet.NewClock(),
		slog.New(slog.DiscardHandler), nil)
	is.NoErr(late.Offer(w.Copy()))
	is.Equal(late.Current().Version(), last)
	is.Equal(late.Copy(), w.Copy())
}

// TestWatcherRejects checks that a corrupt head, from the store or from a peer, does
// not replace the current configuration.
func TestWatcherRejects(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	clock := waxfleet.NewManualClock(0)
	w, versions := newTrackedWatcher(t, store, clock)
	good := mustEdit(t, store, SectionLimits, `{"queue-length": 5}`)
	awaitVersion(versions, good)

	snap, err := newTestEditor(t, store).Read(t.Context())
	is.NoErr(err)
	rawHead := w.Copy().Head()
	invalid := []byte(`{"load-factor":0}`)
	invalidHead := strings.ReplaceAll(string(rawHead), snap.Digest(SectionLimits), Digest(invalid))
	parts := w.Copy().Sections()
	for name, c := range map[string]waxfleet.ConfigCopy{
		"garbled head":    waxfleet.NewConfigCopy(good+1, []byte("{"), parts),
		"unknown field":   waxfleet.NewConfigCopy(good+1, []byte(`{"extra": 1}`), nil),
		"unknown section": waxfleet.NewConfigCopy(good+1, rawHead, map[string][]byte{"extra": nil, SectionLimits: parts[SectionLimits]}),
		"missing section": waxfleet.NewConfigCopy(good+1, rawHead, nil),
		"wrong digest":    waxfleet.NewConfigCopy(good+1, rawHead, map[string][]byte{SectionLimits: invalid}),
		"invalid section": waxfleet.NewConfigCopy(good+1, []byte(invalidHead), map[string][]byte{SectionLimits: invalid}),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(waxfleet.CodeOf(w.Offer(c)), waxfleet.CodeConfigInvalid)
			is.Equal(w.Current().Version(), good)
			is.Equal(w.Current().Limits().QueueLength(), 5)
		})
	}

	_, err = store.Put(t.Context(), waxfleet.ObjectKindConfigSection,
		objectName(SectionLimits, Digest(invalid)), invalid, 0)
	is.NoErr(err)
	version := good
	for _, value := range []string{invalidHead, "garbled"} {
		bad, err := store.Put(t.Context(), waxfleet.ObjectKindConfig, headName, []byte(value), version)
		is.NoErr(err)
		version = bad.Version()
		awaitWatchAfter(store, clock, version)
		is.Equal(w.Current().Version(), good)
	}
	_, err = newTestEditor(t, store).Read(t.Context())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeConfigInvalid)
	repaired, err := store.Put(t.Context(), waxfleet.ObjectKindConfig, headName, rawHead, version)
	is.NoErr(err)
	advanceUntil(clock, versions, repaired.Version())
	is.Equal(w.Current().Limits().QueueLength(), 5)
}

// awaitWatchAfter advances a manual clock until the version was processed and the
// watch waits for a later one.
func awaitWatchAfter(store *waxmemory.Store, clock *waxfleet.Clock, version uint64) {
	seen := make(chan struct{})
	var once sync.Once
	store.SetFault(func(c waxmemory.Call) waxmemory.Fault {
		if c.Verb == waxmemory.VerbWatch && c.Version >= version {
			once.Do(func() { close(seen) })
		}
		return waxmemory.FaultNone
	})
	for {
		select {
		case <-seen:
			return
		default:
			clock.Advance(1000)
		}
	}
}

// advanceUntil advances a manual clock until the version was installed.
func advanceUntil(clock *waxfleet.Clock, versions chan uint64, want uint64) {
	for {
		select {
		case v := <-versions:
			if v >= want {
				return
			}
		default:
			clock.Advance(1000)
		}
	}
}

// TestWatcherOutage checks that an instance keeps its configuration during a long
// outage of the platform, and receives changes again afterwards.
func TestWatcherOutage(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	clock := waxfleet.NewManualClock(0)
	w, versions := newTrackedWatcher(t, store, clock)
	awaitVersion(versions, mustEdit(t, store, SectionFailureDomains, `{"d": {"state": "out"}}`))
	store.SetOutage(true)
	clock.Advance(3_600_000)
	is.True(!w.Current().DomainInService("d"))
	store.SetOutage(false)
	advanceUntil(clock, versions, mustEdit(t, store, SectionFailureDomains, `{"d": {"state": "in"}}`))
	is.True(w.Current().DomainInService("d"))
}

// TestWatcherVersionNeverDecreases checks that an older version never replaces a newer one,
// whatever the order in which copies from peers and from the watch arrive.
func TestWatcherVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	source, sourceVersions := newTrackedWatcher(t, store, waxfleet.NewClock())
	var copies []waxfleet.ConfigCopy
	for i := range 40 {
		awaitVersion(sourceVersions, mustEdit(t, store, SectionLimits, fmt.Sprintf(`{"queue-length": %d}`, i)))
		copies = append(copies, source.Copy())
	}
	last := copies[len(copies)-1].Version()

	replay := waxmemory.NewStore(waxfleet.NewClock())
	w, versions := newTrackedWatcher(t, replay, waxfleet.NewClock())
	var wg sync.WaitGroup
	for worker := range 3 {
		wg.Go(func() {
			for i := range copies {
				before := w.Current().Version()
				if err := w.Offer(copies[(i*(2*worker+3))%len(copies)]); err != nil {
					t.Errorf("offer: %v", err)
				}
				if after := w.Current().Version(); after < before {
					t.Errorf("version decreased from %d to %d", before, after)
				}
			}
		})
	}
	for i := range 40 {
		mustEdit(t, replay, SectionLimits, fmt.Sprintf(`{"queue-length": %d}`, i))
	}
	wg.Wait()
	is.True(w.Current().Version() >= last)
	var before uint64
	for range len(versions) {
		v := <-versions
		is.True(v > before) // onChange reports ascending versions
		before = v
	}
}
