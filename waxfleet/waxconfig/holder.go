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

// A change must take effect on all instances within 11 s, so the watch retries at
// least every 5 s while the platform is unreachable.
const (
	watchBackoffInitial = 200 * time.Millisecond
	watchBackoffMax     = 5 * time.Second
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

// storedDocument is a document with the stored head that it was read from.
type storedDocument struct {
	doc  *Document
	head []byte
}

var _ waxfleet.ConfigSource = (*Watcher)(nil)

// NewWatcher returns a source that watches the head until ctx is done. Until it has
// received a configuration, it has the defaults, without workspaces, as version 0.
// onChange may be nil. It is called once for each version installed, in ascending
// order, and must not call Offer.
func NewWatcher(ctx context.Context, store waxfleet.ObjectStore, clock *waxfleet.Clock, log *slog.Logger, onChange func(version uint64)) *Watcher {
	doc, err := NewDocument(0, nil)
	if err != nil {
		panic(err) // the defaults are part of the program
	}
	h := &Watcher{store: store, clock: clock, log: log, onChange: onChange}
	h.current.Store(&storedDocument{doc: doc})
	go h.watch(ctx)
	return h
}

// Current implements waxfleet.ConfigSource.
func (h *Watcher) Current() waxfleet.Config { return h.current.Load().doc }

// Document returns the current configuration as a Document, which gives access to
// the sections.
func (h *Watcher) Document() *Document { return h.current.Load().doc }

// Copy implements waxfleet.ConfigSource. It omits sections with default values. A
// copy of version 0 is empty.
func (h *Watcher) Copy() waxfleet.ConfigCopy {
	cur := h.current.Load()
	if cur.head == nil {
		return waxfleet.NewConfigCopy(0, nil, nil)
	}
	parts := make(map[string][]byte, len(cur.doc.raw))
	for name, raw := range cur.doc.raw {
		if !bytes.Equal(raw, defaultSections[name]) {
			parts[name] = raw
		}
	}
	return waxfleet.NewConfigCopy(cur.doc.version, cur.head, parts)
}

// Offer installs a peer's copy if it is newer and valid. It ignores an older copy.
//
// Errors: CodeConfigInvalid and CodeConfigTooLarge; the current configuration is
// then kept.
func (h *Watcher) Offer(c waxfleet.ConfigCopy) error {
	if c.Version() <= h.Document().version {
		return nil
	}
	parsed, err := parseHead(c.Head())
	if err != nil {
		return err
	}
	parts := c.Sections()
	for name := range parts {
		if _, ok := parsed.Sections[name]; !ok {
			return waxfleet.NewError(waxfleet.CodeConfigInvalid, "copy: section %q; allowed: a section that the head lists", name)
		}
	}
	canonical := make(map[string][]byte, len(sections))
	for _, name := range Sections() {
		raw, ok := parts[name]
		if !ok {
			raw = defaultSections[name]
		}
		if Digest(raw) != parsed.digest(name) {
			return waxfleet.NewError(waxfleet.CodeConfigInvalid,
				"copy: section %s has digest %s; allowed: %s", name, Digest(raw), parsed.digest(name))
		}
		canonical[name] = raw
	}
	return h.install(c.Version(), c.Head(), canonical)
}

// install replaces the current configuration if version is higher.
func (h *Watcher) install(version uint64, rawHead []byte, canonical map[string][]byte) error {
	previous := h.Document()
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
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.Document().version {
		return nil
	}
	h.current.Store(&storedDocument{doc: doc, head: bytes.Clone(rawHead)})
	if h.onChange != nil {
		h.onChange(version)
	}
	return nil
}

func (h *Watcher) watch(ctx context.Context) {
	delays := newRetryDelays(watchBackoffInitial, watchBackoffMax)
	var rejected uint64
	for ctx.Err() == nil {
		after := max(rejected, h.Document().version)
		obj, err := h.store.Watch(ctx, waxfleet.ObjectKindConfig, headName, after)
		if err == nil && obj.Version() > after {
			err = h.applyHead(ctx, obj)
		}
		switch {
		case err == nil:
			delays.Reset()
			continue
		case ctx.Err() != nil:
			return
		case waxfleet.CodeOf(err) == waxfleet.CodeConfigInvalid:
			rejected = obj.Version()
			h.log.ErrorContext(ctx, "configuration rejected; keeping the current version",
				slog.Uint64("version", rejected), slog.Uint64("current", h.Document().version), slog.Any("error", err))
		case waxfleet.CodeOf(err) != waxfleet.CodeObjectNotFound:
			h.log.WarnContext(ctx, "configuration could not be read; retrying", slog.Any("error", err))
		}
		if h.clock.Sleep(ctx, waxfleet.MillisOf(delays.NextBackOff())) != nil {
			return
		}
	}
}

// applyHead installs the configuration of a head. It patches each section of the
// current configuration to the digest in the head, and fetches a section from the
// store if the patches do not lead to that digest.
func (h *Watcher) applyHead(ctx context.Context, obj waxfleet.Object) error {
	parsed, err := parseHead(obj.Value())
	if err != nil {
		return err
	}
	current := h.Document().raw
	canonical := make(map[string][]byte, len(sections))
	for _, name := range Sections() {
		if raw, ok := applyPatches(parsed, name, current[name]); ok {
			canonical[name] = raw
			continue
		}
		if canonical[name], err = readSection(ctx, h.store, parsed, name); err != nil {
			return err
		}
	}
	return h.install(obj.Version(), obj.Value(), canonical)
}

// applyPatches applies the patches of the head to a section and reports whether the
// result has the digest in the head.
func applyPatches(parsed head, section string, raw []byte) ([]byte, bool) {
	want, have := parsed.digest(section), Digest(raw)
	for _, p := range parsed.Patches {
		if have == want {
			break
		}
		if p.Section != section || p.From != have || p.Merge == nil {
			continue
		}
		next, ok := applyMerge(raw, p.Merge)
		if !ok || Digest(next) != p.To {
			return nil, false
		}
		raw, have = next, p.To
	}
	return raw, have == want
}
