package waxconfig

import (
	"context"

	"waxwingdrift.org/waxfleet"
)

// Snapshot is one version of the stored configuration. It is not validated.
type Snapshot struct {
	version uint64
	head    head
	raw     map[string][]byte
}

// Version returns the version of the head object; 0 before the first edit.
func (s Snapshot) Version() uint64 { return s.version }

// Section returns a copy of the canonical JSON of a section, which has its defaults if
// the configuration omits it. ok is false for an unknown section.
func (s Snapshot) Section(name string) (raw []byte, ok bool) {
	raw, ok = s.raw[name]
	return append([]byte(nil), raw...), ok
}

// Revision returns the number of edits of a section.
func (s Snapshot) Revision(name string) uint64 { return s.head.Sections[name].Revision }

// Digest returns the SHA-256 of the canonical section as lower-case hex.
func (s Snapshot) Digest(name string) string { return s.head.digest(name) }

// Document validates the snapshot and returns its document.
//
// Errors: as NewDocument.
func (s Snapshot) Document() (*Document, error) { return NewDocument(s.version, s.raw) }

// with returns a copy of the sections with one of them replaced.
func (s Snapshot) with(section string, value []byte) map[string][]byte {
	raw := make(map[string][]byte, len(s.raw))
	for name, v := range s.raw {
		raw[name] = v
	}
	raw[section] = value
	return raw
}

// maxSnapshotAttempts limits the attempts to read a snapshot while sections are
// deleted because newer edits have replaced them.
const maxSnapshotAttempts = 5

// readSnapshot reads the head and all sections that the head refers to.
func readSnapshot(ctx context.Context, store waxfleet.ObjectStore) (Snapshot, error) {
	var err error
	for range maxSnapshotAttempts {
		var s Snapshot
		s, err = readSnapshotOnce(ctx, store)
		if waxfleet.CodeOf(err) != waxfleet.CodeObjectNotFound {
			return s, err
		}
	}
	return Snapshot{}, err
}

func readSnapshotOnce(ctx context.Context, store waxfleet.ObjectStore) (Snapshot, error) {
	s := Snapshot{raw: map[string][]byte{}}
	obj, err := store.Get(ctx, waxfleet.ObjectKindConfig, headName)
	switch {
	case waxfleet.CodeOf(err) == waxfleet.CodeObjectNotFound:
	case err != nil:
		return Snapshot{}, err
	default:
		if s.head, err = parseHead(obj.Value()); err != nil {
			return Snapshot{}, err
		}
		s.version = obj.Version()
	}
	for _, name := range Sections() {
		if s.raw[name], err = readSection(ctx, store, s.head, name); err != nil {
			return Snapshot{}, err
		}
	}
	return s, nil
}

// readSection returns the section that the head refers to.
//
// Errors: those of ObjectStore.Get; CodeConfigUnavailable when the content of the
// object does not match the digest in its name, so that a later read may succeed.
func readSection(ctx context.Context, store waxfleet.ObjectStore, h head, section string) ([]byte, error) {
	digest := h.digest(section)
	if raw := defaultSections[section]; Digest(raw) == digest {
		return raw, nil
	}
	obj, err := store.Get(ctx, waxfleet.ObjectKindConfigSection, objectName(section, digest))
	if err != nil {
		return nil, err
	}
	if Digest(obj.Value()) != digest {
		return nil, waxfleet.NewError(waxfleet.CodeConfigUnavailable,
			"section %s: the content of object %s does not match the digest in its name", section, obj.Name())
	}
	return obj.Value(), nil
}
