package waxconfig

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"waxwingdrift.org/waxfleet"
)

const (
	// watchRetryInitialDelay and watchRetryMaxDelay bound the delay between watches
	// while the platform is unreachable. A change must take effect on all instances
	// within 11 s.
	watchRetryInitialDelay = 200 * time.Millisecond
	watchRetryMaxDelay     = 5 * time.Second
)

// Watcher keeps an instance on the newest valid configuration, which it watches in
// the store and accepts from peers. It implements waxfleet.ConfigSource.
type Watcher struct {
	store    waxfleet.ObjectStore
	clock    *waxfleet.Clock
	log      *slog.Logger
	onChange func(version uint64)

	// mu makes the version check and the replacement of current atomic.
	mu      sync.Mutex
	current atomic.Pointer[storedDocument]
}

// storedDocument is a document with the encoded head that it was read from; head is nil
// for the defaults.
type storedDocument struct {
	doc  *Document
	head []byte
}

var _ waxfleet.ConfigSource = (*Watcher)(nil)

// NewWatcher returns a watcher that watches the head until ctx is done. Until it has
// received a configuration, its configuration is version 0: the defaults, without
// workspaces.
// onChange may be nil. It is called once for each version installed, in ascending
// order, and must not call Offer.
func NewWatcher(ctx context.Context, store waxfleet.ObjectStore, clock *waxfleet.Clock, log *slog.Logger, onChange func(version uint64)) *Watcher {
	doc, err := NewDocument(0, nil)
	if err != nil {
		panic(err) // the defaults are part of the program
	}
	w := &Watcher{store: store, clock: clock, log: log, onChange: onChange}
	w.current.Store(&storedDocument{doc: doc})
	go w.watch(ctx)
	return w
}

// Current implements waxfleet.ConfigSource.
func (w *Watcher) Current() waxfleet.Config { return w.current.Load().doc }

// Document returns the current configuration as a Document, which gives access to
// the sections.
func (w *Watcher) Document() *Document { return w.current.Load().doc }

// Copy implements waxfleet.ConfigSource. It omits sections with default values. A
// copy of version 0 is empty.
func (w *Watcher) Copy() waxfleet.ConfigCopy {
	current := w.current.Load()
	if current.head == nil {
		return waxfleet.NewConfigCopy(0, nil, nil)
	}
	changed := make(map[string][]byte, len(current.doc.raw))
	for name, raw := range current.doc.raw {
		if !bytes.Equal(raw, defaultSections[name]) {
			changed[name] = raw
		}
	}
	return waxfleet.NewConfigCopy(current.doc.version, current.head, changed)
}

// Offer installs a peer's copy if it is newer and valid. It ignores an older copy.
//
// Errors: CodeConfigInvalid and CodeConfigTooLarge; the current configuration is
// then kept.
func (w *Watcher) Offer(c waxfleet.ConfigCopy) error {
	if c.Version() <= w.Document().version {
		return nil
	}
	parsed, err := parseHead(c.Head())
	if err != nil {
		return err
	}
	copied := c.Sections()
	for name := range copied {
		if _, ok := parsed.Sections[name]; !ok {
			return waxfleet.NewError(waxfleet.CodeConfigInvalid, "copy: section %q; allowed: a section that the head lists", name)
		}
	}
	canonical := make(map[string][]byte, len(sections))
	for _, name := range Sections() {
		raw, ok := copied[name]
		if !ok {
			raw = defaultSections[name]
		}
		if Digest(raw) != parsed.digest(name) {
			return waxfleet.NewError(waxfleet.CodeConfigInvalid,
				"copy: section %s has digest %s; allowed: %s", name, Digest(raw), parsed.digest(name))
		}
		canonical[name] = raw
	}
	return w.install(c.Version(), c.Head(), canonical)
}

// install replaces the current configuration if version is higher.
func (w *Watcher) install(version uint64, rawHead []byte, canonical map[string][]byte) error {
	previous := w.Document()
	for name, raw := range canonical {
		if bytes.Equal(raw, previous.raw[name]) {
			continue
		}
		recoded, err := canonicalSection(name, raw)
		if err != nil {
			return err
		}
		if !bytes.Equal(raw, recoded) {
			return waxfleet.NewError(waxfleet.CodeConfigInvalid, "section %s is not stored in canonical form", name)
		}
	}
	doc, err := newDocument(version, canonical, previous)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.Document().version {
		return nil
	}
	w.current.Store(&storedDocument{doc: doc, head: bytes.Clone(rawHead)})
	if w.onChange != nil {
		w.onChange(version)
	}
	return nil
}

func (w *Watcher) watch(ctx context.Context) {
	retryBackoff := newBackoff(watchRetryInitialDelay, watchRetryMaxDelay)
	var rejected uint64
	for ctx.Err() == nil {
		after := max(rejected, w.Document().version)
		obj, err := w.store.Watch(ctx, waxfleet.ObjectKindConfig, headName, after)
		if err == nil && obj.Version() > after {
			err = w.applyHead(ctx, obj)
		}
		switch {
		case err == nil:
			retryBackoff.Reset()
			continue
		case ctx.Err() != nil:
			return
		case waxfleet.CodeOf(err) == waxfleet.CodeConfigInvalid:
			rejected = obj.Version()
			w.log.ErrorContext(ctx, "configuration rejected; keeping the current version",
				slog.Uint64("version", rejected), slog.Uint64("current", w.Document().version), slog.Any("error", err))
		case waxfleet.CodeOf(err) != waxfleet.CodeObjectNotFound:
			w.log.WarnContext(ctx, "configuration could not be read; retrying", slog.Any("error", err))
		}
		if w.clock.Sleep(ctx, waxfleet.MillisOf(retryBackoff.NextBackOff())) != nil {
			return
		}
	}
}

// applyHead installs the configuration of a head. It patches each section of the
// current configuration to the digest in the head, and fetches a section from the
// store if the patches do not lead to that digest.
func (w *Watcher) applyHead(ctx context.Context, obj waxfleet.Object) error {
	parsed, err := parseHead(obj.Value())
	if err != nil {
		return err
	}
	current := w.Document().raw
	canonical := make(map[string][]byte, len(sections))
	for _, name := range Sections() {
		if raw, ok := applyPatches(parsed, name, current[name]); ok {
			canonical[name] = raw
			continue
		}
		if canonical[name], err = readSection(ctx, w.store, parsed, name); err != nil {
			return err
		}
	}
	return w.install(obj.Version(), obj.Value(), canonical)
}

// applyPatches applies the patches of the head to a section and reports whether the
// result has the digest in the head.
func applyPatches(parsed head, section string, raw []byte) ([]byte, bool) {
	want, have := parsed.digest(section), Digest(raw)
	for _, p := range parsed.Patches {
		if have == want {
			break
		}
		if p.Section != section || p.FromDigest != have || p.MergePatch == nil {
			continue
		}
		next, ok := applyMerge(raw, p.MergePatch)
		if !ok || Digest(next) != p.ToDigest {
			return nil, false
		}
		raw, have = next, p.ToDigest
	}
	return raw, have == want
}
