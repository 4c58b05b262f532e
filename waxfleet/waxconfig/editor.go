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
	// maxEditAttempts limits the attempts to update the head for one edit. It is well
	// above the number of sections because concurrent edits of different sections
	// force each other to rebase.
	maxEditAttempts = 24
	// sweepIntervalEdits is the number of edits between two sweeps that delete unused
	// section objects. A sweep lists all section objects with their values, which is
	// too expensive for each of 8,300 edits a day.
	sweepIntervalEdits = 16

	// editRetryInitialDelay and editRetryMaxDelay bound the delay between attempts to
	// update the head.
	editRetryInitialDelay = 20 * time.Millisecond
	editRetryMaxDelay     = 500 * time.Millisecond
)

// Editor reads and changes the configuration in the platform's store.
type Editor struct {
	store waxfleet.ObjectStore
	clock *waxfleet.Clock
	log   *slog.Logger
}

// NewEditor returns an editor for the configuration in store.
func NewEditor(store waxfleet.ObjectStore, clock *waxfleet.Clock, log *slog.Logger) *Editor {
	return &Editor{store: store, clock: clock, log: log}
}

// Read returns the current configuration.
//
// Errors: those of ObjectStore.Get; CodeConfigInvalid and CodeConfigUnavailable
// when the stored form is corrupt.
func (e *Editor) Read(ctx context.Context) (Snapshot, error) { return readSnapshot(ctx, e.store) }

// Edit calls change with the canonical value of a section, replaces the section with the
// result, and returns the version that the edit created. If the result equals the
// current value, Edit writes nothing and returns the current version.
//
// Errors: CodeConfigUnknownSection, CodeConfigInvalid and CodeConfigTooLarge; a
// *ConflictError with CodeConfigConflict when another edit has changed the section
// meanwhile; CodePlatformUnreachable or CodePlatformRateLimited when nothing was
// changed; CodeConfigUnavailable when each attempt conflicted with another edit;
// CodePlatformUnknown when the edit may have been applied; errors of change.
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

// Replace is like Edit for a section that was edited offline: value replaces the
// section if its current value is base.
//
// Errors: as Edit. The *ConflictError for a section that differs from base has
// BaseVersion 0.
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
		return 0, &ConflictError{section: section, origin: origin, current: current, proposed: value}
	}
	return e.replace(ctx, section, current, value)
}

func (e *Editor) replace(ctx context.Context, section string, base Snapshot, value []byte) (uint64, error) {
	if bytes.Equal(value, base.raw[section]) {
		return base.version, nil
	}
	t := &editTask{
		editor: e, section: section, id: ulid.Make().String(), value: value,
		origin: base, base: base, retryBackoff: newBackoff(editRetryInitialDelay, editRetryMaxDelay),
	}
	return t.run(ctx)
}

// ConflictError reports that another edit has changed the section meanwhile.
type ConflictError struct {
	section  string
	origin   Snapshot
	current  Snapshot
	proposed []byte
}

// Error implements the error interface.
func (c *ConflictError) Error() string { return c.withCode().Error() }

// Unwrap returns a *waxfleet.Error with CodeConfigConflict.
func (c *ConflictError) Unwrap() error { return c.withCode() }

func (c *ConflictError) withCode() *waxfleet.Error {
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

// BaseVersion returns the version that the rejected edit was based on, or 0 if it
// is not known (see Editor.Replace).
func (c *ConflictError) BaseVersion() uint64 { return c.origin.version }

// CurrentVersion returns the current version, which includes the other edit.
func (c *ConflictError) CurrentVersion() uint64 { return c.current.version }

// Base returns the value of the section that the rejected edit was based on.
func (c *ConflictError) Base() []byte { return c.origin.raw[c.section] }

// Current returns the current value of the section.
func (c *ConflictError) Current() []byte { return c.current.raw[c.section] }

// Proposed returns the value of the section that the rejected edit proposed.
func (c *ConflictError) Proposed() []byte { return c.proposed }

// editTask is the state of one edit across its attempts to update the head.
type editTask struct {
	editor  *Editor
	section string
	id      string
	value   []byte
	// origin is the snapshot that the edit was made on, base the one that the next
	// attempt updates.
	origin Snapshot
	base   Snapshot
	// maybeApplied is set while an update conditional on base may have taken effect
	// or may still do so.
	maybeApplied bool
	retryBackoff backoff.BackOff
}

func (t *editTask) run(ctx context.Context) (uint64, error) {
	var last error
	for range maxEditAttempts {
		version, unused, err := t.update(ctx)
		if err == nil {
			t.editor.deleteObjects(ctx, unused)
			return version, nil
		}
		if !t.isRetryable(err) {
			return 0, t.finalError(err)
		}
		last = err
		done, version, err := t.recheck(ctx)
		if done || err != nil {
			return version, err
		}
		if err := t.editor.clock.Sleep(ctx, waxfleet.MillisOf(t.retryBackoff.NextBackOff())); err != nil {
			return 0, t.finalError(waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "edit of section %s interrupted", t.section))
		}
	}
	if waxfleet.CodeOf(last) == waxfleet.CodeObjectConflict {
		last = waxfleet.WrapError(last, waxfleet.CodeConfigUnavailable,
			"all %d attempts to update section %s conflicted with concurrent edits; nothing was changed, try again", maxEditAttempts, t.section)
	}
	return 0, t.finalError(last)
}

// update validates the whole document, writes the section object and updates the
// head. It also returns the section objects that are unused after the update.
func (t *editTask) update(ctx context.Context) (uint64, []waxfleet.Object, error) {
	if _, err := NewDocument(t.base.version, t.base.with(t.section, t.value)); err != nil {
		return 0, nil, err
	}
	next := t.base.head.withEdit(t.base.version, t.section, t.id, t.base.raw[t.section], t.value)
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
		t.maybeApplied = t.maybeApplied || mayHaveWritten(err)
		return 0, nil, err
	}
	return obj.Version(), unused, nil
}

// mayHaveWritten reports whether a write that failed with err may have taken
// effect.
func mayHaveWritten(err error) bool {
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeObjectConflict, waxfleet.CodeObjectNotFound,
		waxfleet.CodePlatformUnreachable, waxfleet.CodePlatformRateLimited:
		return false
	}
	return true
}

func (t *editTask) isRetryable(err error) bool {
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeObjectConflict, waxfleet.CodeObjectNotFound, waxfleet.CodePlatformUnknown,
		waxfleet.CodePlatformUnreachable, waxfleet.CodePlatformRateLimited:
		return true
	}
	return false
}

// recheck reads the head again after a failed update. done is true if the edit was
// applied; otherwise recheck prepares the next attempt.
func (t *editTask) recheck(ctx context.Context) (done bool, version uint64, err error) {
	fresh, err := t.editor.Read(ctx)
	if err != nil {
		if t.isRetryable(err) {
			return false, 0, nil
		}
		return false, 0, t.finalError(err)
	}
	found, version := fresh.head.findEdit(t.id, t.base.version, fresh.version)
	switch {
	case found == outcomeApplied:
		return true, version, nil
	case found == outcomePending:
		return false, 0, nil
	case found == outcomeUnknown && t.maybeApplied:
		return false, 0, t.finalError(waxfleet.NewError(waxfleet.CodePlatformUnknown, "the head has changed by more than %d edits since the update", maxPatches))
	}
	t.maybeApplied = false
	if fresh.Revision(t.section) != t.origin.Revision(t.section) {
		return false, 0, &ConflictError{section: t.section, origin: t.origin, current: fresh, proposed: t.value}
	}
	t.base = fresh
	return false, 0, nil
}

// finalError returns the error of an edit whose last error was err: err itself, or a
// CodePlatformUnknown that wraps it if the edit may have been applied.
func (t *editTask) finalError(err error) error {
	if !t.maybeApplied {
		return err
	}
	return waxfleet.WrapError(err, waxfleet.CodePlatformUnknown,
		"edit %s of section %s may have been applied; read the section before you try again", t.id, t.section)
}

// writeSection writes a section object. It writes an existing object again with
// the same value, because the new version prevents a sweep that found the object
// unused from deleting it (see unusedObjects).
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

// unusedObjects returns the section objects that neither base nor next, the head that
// replaces it, refers to, at their versions before the update of the head. It returns
// objects only at every sweepIntervalEdits-th edit.
//
// Deleting them at these versions after the update cannot delete an object that a
// later head refers to, because an editor writes its section object after it reads
// the head and before it updates the head. If it reads the head after this update,
// its write increases the version and the delete fails. If it has read the head
// before this update, either its update or this one fails.
func (e *Editor) unusedObjects(ctx context.Context, base, next head) []waxfleet.Object {
	if next.editCount()%sweepIntervalEdits != 0 {
		return nil
	}
	all, err := e.store.List(ctx, waxfleet.ObjectKindConfigSection)
	if err != nil {
		e.log.WarnContext(ctx, "listing unused configuration sections failed", slog.Any("error", err))
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

// deleteObjects deletes section objects if they still have the version at which
// they were found unused. Failures are left to a later sweep.
func (e *Editor) deleteObjects(ctx context.Context, unused []waxfleet.Object) {
	for _, obj := range unused {
		if err := e.store.Delete(ctx, obj.Kind(), obj.Name(), obj.Version()); err != nil {
			e.log.DebugContext(ctx, "deleting an unused configuration section failed",
				slog.String("object", obj.Name()), slog.Any("error", err))
		}
	}
}

// newBackoff returns an exponential backoff with jitter that never ends.
func newBackoff(initialDelay, maxDelay time.Duration) backoff.BackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initialDelay),
		backoff.WithMaxInterval(maxDelay),
		backoff.WithMaxElapsedTime(0),
	)
}
