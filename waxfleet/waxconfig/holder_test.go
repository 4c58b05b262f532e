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

// sectionCounter counts the reads of section objects.
type sectionCounter struct {
	waxfleet.ObjectStore
	reads atomic.Int64
}

func (c *sectionCounter) Get(ctx context.Context, kind, name string) (waxfleet.Object, error) {
	if kind == waxfleet.ObjectKindConfigSection {
		c.reads.Add(1)
	}
	return c.ObjectStore.Get(ctx, kind, name)
}

// watchedHolder returns a holder and the channel of the versions it takes.
func watchedHolder(t *testing.T, store waxfleet.ObjectStore, clock *waxfleet.Clock) (*Holder, chan uint64) {
	versions := make(chan uint64, 1000)
	h := NewHolder(t.Context(), store, clock, slog.New(slog.DiscardHandler), func(v uint64) { versions <- v })
	return h, versions
}

func mustEdit(t *testing.T, store waxfleet.ObjectStore, section, value string) uint64 {
	t.Helper()
	version, err := newTestEditor(t, store).Edit(t.Context(), section, setSection(value))
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

// TestHolderPatches guards against full copies at each change: a holder that is
// a few changes behind must get on with the head alone, and with the section
// when a patch is too large for the head.
func TestHolderPatches(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	counter := &sectionCounter{ObjectStore: store}
	h, versions := watchedHolder(t, counter, waxfleet.NewClock())
	is.Equal(h.Current().Version(), uint64(0))
	is.True(h.Current().DomainIn("d"))
	is.Equal(len(h.Current().Tiers()), 4)
	is.Equal(h.Copy().Head(), nil)

	var last uint64
	for i := range 10 {
		last = mustEdit(t, store, SectionLimits, fmt.Sprintf(`{"queue-length": %d}`, i))
	}
	awaitVersion(versions, last)
	is.Equal(h.Current().Limits().QueueLength(), 9)
	is.Equal(counter.reads.Load(), int64(0)) // patches were enough

	large := fmt.Sprintf(`{"draining": [%q]}`, strings.Repeat("x", 200))
	for i := range 200 {
		large = strings.Replace(large, "]", fmt.Sprintf(`,"%d%s"]`, i, strings.Repeat("x", 190)), 1)
	}
	last = mustEdit(t, store, SectionRules, large)
	awaitVersion(versions, last)
	is.Equal(counter.reads.Load(), int64(1)) // the section was too large to patch
	is.True(h.Document().Draining(strings.Repeat("x", 200)))

	late := NewHolder(t.Context(), waxmemory.NewStore(waxfleet.NewClock()), waxfleet.NewClock(), slog.New(slog.DiscardHandler), nil)
	is.NoErr(late.Offer(h.Copy()))
	is.Equal(late.Current().Version(), last)
	is.Equal(late.Copy(), h.Copy())
}

// TestHolderRefuses guards against a damaged head, in the store or from a peer,
// that replaces the configuration in force.
func TestHolderRefuses(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	clock := waxfleet.NewManualClock(0)
	h, versions := watchedHolder(t, store, clock)
	good := mustEdit(t, store, SectionLimits, `{"queue-length": 5}`)
	awaitVersion(versions, good)

	snap, err := newTestEditor(t, store).Read(t.Context())
	is.NoErr(err)
	rawHead := h.Copy().Head()
	invalid := []byte(`{"load-factor":0}`)
	invalidHead := strings.ReplaceAll(string(rawHead), snap.Digest(SectionLimits), Digest(invalid))
	parts := h.Copy().Sections()
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
			is.Equal(waxfleet.CodeOf(h.Offer(c)), waxfleet.CodeConfigInvalid)
			is.Equal(h.Current().Version(), good)
			is.Equal(h.Current().Limits().QueueLength(), 5)
		})
	}

	_, err = store.Put(t.Context(), waxfleet.ObjectKindConfigSection, objectName(SectionLimits, Digest(invalid)), invalid, 0)
	is.NoErr(err)
	version := good
	for _, value := range []string{invalidHead, "garbled"} {
		bad, err := store.Put(t.Context(), waxfleet.ObjectKindConfig, headName, []byte(value), version)
		is.NoErr(err)
		version = bad.Version()
		awaitWatchAfter(store, clock, version)
		is.Equal(h.Current().Version(), good)
	}
	_, err = newTestEditor(t, store).Read(t.Context())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeConfigInvalid)
	repaired, err := store.Put(t.Context(), waxfleet.ObjectKindConfig, headName, rawHead, version)
	is.NoErr(err)
	advanceUntil(clock, versions, repaired.Version())
	is.Equal(h.Current().Limits().QueueLength(), 5)
}

// awaitWatchAfter moves a manual clock on until the holder has looked at the
// version and watches for a later one.
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

// advanceUntil moves a manual clock on until the holder has taken the version.
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

// TestHolderOutage guards against a holder that loses its configuration, or
// does not come back, when the platform is out for long.
func TestHolderOutage(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	clock := waxfleet.NewManualClock(0)
	h, versions := watchedHolder(t, store, clock)
	awaitVersion(versions, mustEdit(t, store, SectionFailureDomains, `{"d": {"state": "out"}}`))
	store.SetOutage(true)
	clock.Advance(3_600_000)
	is.True(!h.Current().DomainIn("d"))
	store.SetOutage(false)
	advanceUntil(clock, versions, mustEdit(t, store, SectionFailureDomains, `{"d": {"state": "in"}}`))
	is.True(h.Current().DomainIn("d"))
}

// TestHolderNeverGoesBack guards against an older version that replaces a newer
// one when peers' copies and the watch arrive in any order.
func TestHolderNeverGoesBack(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	source, sourceVersions := watchedHolder(t, store, waxfleet.NewClock())
	var copies []waxfleet.ConfigCopy
	for i := range 40 {
		awaitVersion(sourceVersions, mustEdit(t, store, SectionLimits, fmt.Sprintf(`{"queue-length": %d}`, i)))
		copies = append(copies, source.Copy())
	}
	last := copies[len(copies)-1].Version()

	replay := waxmemory.NewStore(waxfleet.NewClock())
	h, versions := watchedHolder(t, replay, waxfleet.NewClock())
	var wg sync.WaitGroup
	for worker := range 3 {
		wg.Go(func() {
			for i := range copies {
				before := h.Current().Version()
				if err := h.Offer(copies[(i*(2*worker+3))%len(copies)]); err != nil {
					t.Errorf("offer: %v", err)
				}
				if after := h.Current().Version(); after < before {
					t.Errorf("version went from %d to %d", before, after)
				}
			}
		})
	}
	for i := range 40 {
		mustEdit(t, replay, SectionLimits, fmt.Sprintf(`{"queue-length": %d}`, i))
	}
	wg.Wait()
	is.True(h.Current().Version() >= last)
	var before uint64
	for range len(versions) {
		v := <-versions
		is.True(v > before) // onChange reports rising versions
		before = v
	}
}
