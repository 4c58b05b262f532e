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

// A change must be in force everywhere within 11 s, so a holder that lost the
// platform tries again at least every 5 s.
const (
	watchBackoffInitial = 200 * time.Millisecond
	watchBackoffMax     = 5 * time.Second
)

// Holder keeps an instance on the newest accepted configuration. It implements
// waxfleet.ConfigSource.
type Holder struct {
	store    waxfleet.ObjectStore
	clock    *waxfleet.Clock
	log      *slog.Logger
	onChange func(version uint64)

	// mu makes the comparison of versions and the replacement one step.
	mu      sync.Mutex
	current atomic.Pointer[held]
}

// held is a document with the stored form that it came from.
type held struct {
	doc  *Document
	head []byte
}

var _ waxfleet.ConfigSource = (*Holder)(nil)

// NewHolder returns a holder that watches the head until ctx ends. Before the
// first configuration arrives it holds the defaults, with no workspaces, as
// version 0. onChange may be nil; it is called once per version taken, in
// rising order, and must not call Offer.
func NewHolder(ctx context.Context, store waxfleet.ObjectStore, clock *waxfleet.Clock, log *slog.Logger, onChange func(version uint64)) *Holder {
	doc, err := NewDocument(0, nil)
	if err != nil {
		panic(err) // the defaults are part of the program
	}
	h := &Holder{store: store, clock: clock, log: log, onChange: onChange}
	h.current.Store(&held{doc: doc})
	go h.watch(ctx)
	return h
}

// Current implements waxfleet.ConfigSource.
func (h *Holder) Current() waxfleet.Config { return h.current.Load().doc }

// Document returns the current configuration with its sections.
func (h *Holder) Document() *Document { return h.current.Load().doc }

// Copy implements waxfleet.ConfigSource. A copy of version 0 is empty.
func (h *Holder) Copy() waxfleet.ConfigCopy {
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

// Offer takes a peer's copy when it is newer and valid. An older copy is no
// error.
//
// Errors: CodeConfigInvalid; the current configuration then stays in force.
func (h *Holder) Offer(c waxfleet.ConfigCopy) error {
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
			return waxfleet.NewError(waxfleet.CodeConfigInvalid, "copy: section %q; allowed: a section that the head names", name)
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
	return h.take(c.Version(), c.Head(), canonical)
}

// take puts a version in force when it is higher than the current one.
func (h *Holder) take(version uint64, rawHead []byte, canonical map[string][]byte) error {
	previous := h.Document()
	for name, raw := range canonical {
		if bytes.Equal(raw, previous.raw[name]) {
			continue
		}
		again, err := canonicalSection(name, raw)
		if err != nil {
			return err
		}
		if !bytes.Equal(raw, again) {
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
	h.current.Store(&held{doc: doc, head: bytes.Clone(rawHead)})
	if h.onChange != nil {
		h.onChange(version)
	}
	return nil
}

func (h *Holder) watch(ctx context.Context) {
	delays := newDelays(watchBackoffInitial, watchBackoffMax)
	var refused uint64
	for ctx.Err() == nil {
		after := max(refused, h.Document().version)
		obj, err := h.store.Watch(ctx, waxfleet.ObjectKindConfig, headName, after)
		if err == nil && obj.Version() > after {
			err = h.adopt(ctx, obj)
		}
		switch {
		case err == nil:
			delays.Reset()
			continue
		case ctx.Err() != nil:
			return
		case waxfleet.CodeOf(err) == waxfleet.CodeConfigInvalid:
			refused = obj.Version()
			h.log.ErrorContext(ctx, "configuration refused; the current one stays in force",
				slog.Uint64("version", refused), slog.Uint64("current", h.Document().version), slog.Any("error", err))
		case waxfleet.CodeOf(err) != waxfleet.CodeObjectNotFound:
			h.log.WarnContext(ctx, "configuration could not be read; trying again", slog.Any("error", err))
		}
		if h.clock.Sleep(ctx, waxfleet.MillisOf(delays.NextBackOff())) != nil {
			return
		}
	}
}

// adopt brings every section to the digest that the head names: by patches from
// the value that this instance holds, or by fetching the section.
func (h *Holder) adopt(ctx context.Context, obj waxfleet.Object) error {
	parsed, err := parseHead(obj.Value())
	if err != nil {
		return err
	}
	stored := h.Document().raw
	canonical := make(map[string][]byte, len(sections))
	for _, name := range Sections() {
		if raw, ok := patched(parsed, name, stored[name]); ok {
			canonical[name] = raw
			continue
		}
		if canonical[name], err = readSection(ctx, h.store, parsed, name); err != nil {
			return err
		}
	}
	return h.take(obj.Version(), obj.Value(), canonical)
}

// patched applies the patches of the head to a section and reports whether the
// result has the digest that the head names.
func patched(parsed head, section string, raw []byte) ([]byte, bool) {
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
