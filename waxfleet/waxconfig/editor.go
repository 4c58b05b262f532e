package waxconfig

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/oklog/ulid/v2"

	"waxwingdrift.org/waxfleet"
)

const (
	// maxEditTries bounds the updates of one edit. Editors of different sections
	// make each other rebase, so it stands well above the number of sections.
	maxEditTries = 24
	// sweepEvery is the number of edits between two sweeps of unused section
	// objects: a sweep lists all of them with their values, which is too much
	// for each of 8,300 edits a day.
	sweepEvery = 16

	editBackoffInitial = 20 * time.Millisecond
	editBackoffMax     = 500 * time.Millisecond
)

// Editor changes the configuration in the platform's store.
type Editor struct {
	store waxfleet.ObjectStore
	clock *waxfleet.Clock
	log   *slog.Logger
}

// NewEditor returns an editor.
func NewEditor(store waxfleet.ObjectStore, clock *waxfleet.Clock, log *slog.Logger) *Editor {
	return &Editor{store: store, clock: clock, log: log}
}

// Read returns the current configuration.
//
// Errors: those of ObjectStore.Get; CodeConfigInvalid and CodeConfigUnavailable
// when the stored form is damaged.
func (e *Editor) Read(ctx context.Context) (Snapshot, error) { return readSnapshot(ctx, e.store) }

// Edit replaces a section by what change makes of its canonical value, and
// returns the version in which the edit took force. An edit that changes
// nothing writes nothing and returns the current version.
//
// Errors: CodeConfigUnknownSection, CodeConfigInvalid and CodeConfigTooLarge;
// a *ConflictError with CodeConfigConflict when another edit changed the same
// section meanwhile; CodePlatformUnreachable or CodePlatformRateLimited when
// nothing was changed; CodeConfigUnavailable when other edits were faster each
// time; CodePlatformUnknown when it can't be told whether the edit is in force;
// errors of change.
func (e *Editor) Edit(ctx context.Context, section string, change func(current []byte) ([]byte, error)) (uint64, error) {
	if _, ok := defaultSections[section]; !ok {
		return 0, unknownSection(section)
	}
	base, err := e.Read(ctx)
	if err != nil {
		return 0, err
	}
	current, _ := base.Section(section)
	changed, err := change(current)
	if err != nil {
		return 0, err
	}
	value, err := canonicalSection(section, changed)
	if err != nil {
		return 0, err
	}
	return e.replace(ctx, section, base, value)
}

// Replace is Edit for a section that an operator changed offline: base is the
// section as the operator read it, and value replaces it.
//
// Errors: as Edit; a *ConflictError also when the section is no longer base.
// Its BaseVersion is 0 then.
func (e *Editor) Replace(ctx context.Context, section string, base, value []byte) (uint64, error) {
	if _, ok := defaultSections[section]; !ok {
		return 0, unknownSection(section)
	}
	base, err := canonicalSection(section, base)
	if err != nil {
		return 0, err
	}
	value, err = canonicalSection(section, value)
	if err != nil {
		return 0, err
	}
	current, err := e.Read(ctx)
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(base, current.raw[section]) {
		origin := Snapshot{raw: map[string][]byte{section: base}}
		return 0, &ConflictError{section: section, origin: origin, current: current, yours: value}
	}
	return e.replace(ctx, section, current, value)
}

func (e *Editor) replace(ctx context.Context, section string, base Snapshot, value []byte) (uint64, error) {
	if bytes.Equal(value, base.raw[section]) {
		return base.version, nil
	}
	t := &editTask{
		editor: e, section: section, id: ulid.Make().String(), value: value,
		origin: base, base: base, delays: newDelays(editBackoffInitial, editBackoffMax),
	}
	return t.run(ctx)
}

// ConflictError tells that another edit changed the section meanwhile.
type ConflictError struct {
	section string
	origin  Snapshot
	current Snapshot
	yours   []byte
}

// Error implements error.
func (c *ConflictError) Error() string { return c.coded().Error() }

// Unwrap gives the error its result code, CodeConfigConflict.
func (c *ConflictError) Unwrap() error { return c.coded() }

func (c *ConflictError) coded() *waxfleet.Error {
	if c.origin.version == 0 {
		return waxfleet.NewError(waxfleet.CodeConfigConflict,
			"section %s was changed since it was read; the current version is %d (revision %d)",
			c.section, c.current.version, c.current.Revision(c.section))
	}
	return waxfleet.NewError(waxfleet.CodeConfigConflict,
		"section %s was changed: your edit started from version %d (revision %d), the current version is %d (revision %d)",
		c.section, c.origin.version, c.origin.Revision(c.section), c.current.version, c.current.Revision(c.section))
}

// Section returns the name of the section.
func (c *ConflictError) Section() string { return c.section }

// BaseVersion returns the version that the refused edit started from.
func (c *ConflictError) BaseVersion() uint64 { return c.origin.version }

// CurrentVersion returns the version that holds the other edit.
func (c *ConflictError) CurrentVersion() uint64 { return c.current.version }

// Base returns the section that the refused edit started from.
func (c *ConflictError) Base() []byte { return c.origin.raw[c.section] }

// Current returns the section as it is in force.
func (c *ConflictError) Current() []byte { return c.current.raw[c.section] }

// Yours returns the section of the refused edit.
func (c *ConflictError) Yours() []byte { return c.yours }

// editTask is one edit on its way into the head.
type editTask struct {
	editor  *Editor
	section string
	id      string
	value   []byte
	// origin is the snapshot that the edit started from, base the one that the
	// next update builds on.
	origin Snapshot
	base   Snapshot
	// unsure is set while an update on condition of base may have taken effect
	// or still may.
	unsure bool
	delays backoff.BackOff
}

func (t *editTask) run(ctx context.Context) (uint64, error) {
	var last error
	for range maxEditTries {
		version, unused, err := t.update(ctx)
		if err == nil {
			t.editor.deleteObjects(ctx, unused)
			return version, nil
		}
		if !t.retryable(err) {
			return 0, t.final(err)
		}
		last = err
		done, version, err := t.resolve(ctx)
		if done || err != nil {
			return version, err
		}
		if err := t.editor.clock.Sleep(ctx, waxfleet.MillisOf(t.delays.NextBackOff())); err != nil {
			return 0, t.final(waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "edit of section %s ended early", t.section))
		}
	}
	if waxfleet.CodeOf(last) == waxfleet.CodeObjectConflict {
		last = waxfleet.WrapError(last, waxfleet.CodeConfigUnavailable,
			"the configuration changed before each of %d updates of section %s; nothing was changed, try again", maxEditTries, t.section)
	}
	return 0, t.final(last)
}

// update validates the whole document, writes the section object and updates
// the head. It also returns the section objects that are unused from then on.
func (t *editTask) update(ctx context.Context) (uint64, []waxfleet.Object, error) {
	if _, err := NewDocument(t.base.version, t.base.with(t.section, t.value)); err != nil {
		return 0, nil, err
	}
	next := t.base.head.next(t.base.version, t.section, t.id, t.base.raw[t.section], t.value)
	raw, err := encode(next)
	if err != nil {
		return 0, nil, err
	}
	if err := t.editor.writeSection(ctx, objectName(t.section, Digest(t.value)), t.value); err != nil {
		return 0, nil, err
	}
	unused := t.editor.unusedObjects(ctx, t.base.head, next)
	obj, err := t.editor.store.Put(ctx, waxfleet.ObjectKindConfig, headName, raw, t.base.version)
	if err != nil {
		t.unsure = t.unsure || mayHaveWritten(err)
		return 0, nil, err
	}
	return obj.Version(), unused, nil
}

// mayHaveWritten reports whether a failed write may have taken effect.
func mayHaveWritten(err error) bool {
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeObjectConflict, waxfleet.CodeObjectNotFound,
		waxfleet.CodePlatformUnreachable, waxfleet.CodePlatformRateLimited:
		return false
	}
	return true
}

func (t *editTask) retryable(err error) bool {
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeObjectConflict, waxfleet.CodeObjectNotFound, waxfleet.CodePlatformUnknown,
		waxfleet.CodePlatformUnreachable, waxfleet.CodePlatformRateLimited:
		return true
	}
	return false
}

// resolve re-reads the head after a failed update. It reports done when the
// edit is in force, and otherwise prepares the next update.
func (t *editTask) resolve(ctx context.Context) (done bool, version uint64, err error) {
	fresh, err := t.editor.Read(ctx)
	if err != nil {
		if t.retryable(err) {
			return false, 0, nil
		}
		return false, 0, t.final(err)
	}
	found, version := fresh.head.find(t.id, t.base.version, fresh.version)
	switch {
	case found == outcomeApplied:
		return true, version, nil
	case found == outcomePending:
		return false, 0, nil
	case found == outcomeForgotten && t.unsure:
		return false, 0, t.final(waxfleet.NewError(waxfleet.CodePlatformUnknown, "the head has moved on by more than %d edits", maxPatches))
	}
	t.unsure = false
	if fresh.Revision(t.section) != t.origin.Revision(t.section) {
		return false, 0, &ConflictError{section: t.section, origin: t.origin, current: fresh, yours: t.value}
	}
	t.base = fresh
	return false, 0, nil
}

// final turns an error into CodePlatformUnknown while the edit may be in force.
func (t *editTask) final(err error) error {
	if !t.unsure {
		return err
	}
	return waxfleet.WrapError(err, waxfleet.CodePlatformUnknown,
		"the edit %s of section %s may be in force; read the section before you repeat it", t.id, t.section)
}

// writeSection writes a section object. An object that exists is written again
// with the same value: its new version keeps a sweep that saw it unused from
// deleting it (see unusedObjects).
func (e *Editor) writeSection(ctx context.Context, name string, value []byte) error {
	var version uint64
	obj, err := e.store.Get(ctx, waxfleet.ObjectKindConfigSection, name)
	switch {
	case waxfleet.CodeOf(err) == waxfleet.CodeObjectNotFound:
	case err != nil:
		return err
	default:
		version = obj.Version()
	}
	_, err = e.store.Put(ctx, waxfleet.ObjectKindConfigSection, name, value, version)
	if err != nil && mayHaveWritten(err) {
		return waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "write of section object %s was not confirmed", name)
	}
	return err
}

// unusedObjects returns the section objects that neither of two successive
// heads refers to, at the versions they have before the update of the head.
//
// Deleting them at these versions after the update can't hit an object that a
// later head refers to: an editor writes its section object between its reading
// and its update of the head. When it reads the head after this update, its
// write raises the version and the delete fails; when it read the head before,
// either its update or this one fails.
func (e *Editor) unusedObjects(ctx context.Context, base, next head) []waxfleet.Object {
	if next.edits()%sweepEvery != 0 {
		return nil
	}
	all, err := e.store.List(ctx, waxfleet.ObjectKindConfigSection)
	if err != nil {
		e.log.WarnContext(ctx, "unused configuration sections were not listed", slog.Any("error", err))
		return nil
	}
	used, usedNext := base.objectNames(), next.objectNames()
	var unused []waxfleet.Object
	for _, obj := range all {
		if !used[obj.Name()] && !usedNext[obj.Name()] {
			unused = append(unused, obj)
		}
	}
	return unused
}

// deleteObjects deletes section objects at the versions at which they were
// seen unused. What fails is left for a later sweep.
func (e *Editor) deleteObjects(ctx context.Context, unused []waxfleet.Object) {
	for _, obj := range unused {
		if err := e.store.Delete(ctx, obj.Kind(), obj.Name(), obj.Version()); err != nil {
			e.log.DebugContext(ctx, "unused configuration section was not deleted",
				slog.String("object", obj.Name()), slog.Any("error", err))
		}
	}
}

// newDelays returns growing, jittered delays without an end.
func newDelays(initial, longest time.Duration) backoff.BackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initial),
		backoff.WithMaxInterval(longest),
		backoff.WithMaxElapsedTime(0),
	)
}
