package waxconfig

import (
	"context"

	"waxwingdrift.org/waxfleet"
)

// Snapshot is one version of the configuration as it is stored.
type Snapshot struct {
	version uint64
	head    head
	raw     map[string][]byte
}

// Version returns the version of the head object; 0 before the first edit.
func (s Snapshot) Version() uint64 { return s.version }

// Section returns the canonical JSON of a section; its defaults when the
// configuration leaves it out.
func (s Snapshot) Section(name string) ([]byte, bool) {
	raw, ok := s.raw[name]
	return append([]byte(nil), raw...), ok
}

// Revision returns the number of edits of a section.
func (s Snapshot) Revision(name string) uint64 { return s.head.Sections[name].Revision }

// Digest returns the digest of a section.
func (s Snapshot) Digest(name string) string { return s.head.digest(name) }

// Document checks the snapshot and returns its document.
//
// Errors: as NewDocument.
func (s Snapshot) Document() (*Document, error) { return NewDocument(s.version, s.raw) }

// with returns the sections with one replaced.
func (s Snapshot) with(section string, value []byte) map[string][]byte {
	raw := make(map[string][]byte, len(s.raw))
	for name, v := range s.raw {
		raw[name] = v
	}
	raw[section] = value
	return raw
}

// maxSnapshotReads bounds the tries of a snapshot whose sections are deleted
// while it is read, because newer edits have replaced them.
const maxSnapshotReads = 5

// readSnapshot reads the head and all sections.
func readSnapshot(ctx context.Context, store waxfleet.ObjectStore) (Snapshot, error) {
	var err error
	for range maxSnapshotReads {
		var s Snapshot
		s, err = tryReadSnapshot(ctx, store)
		if waxfleet.CodeOf(err) != waxfleet.CodeObjectNotFound {
			return s, err
		}
	}
	return Snapshot{}, err
}

func tryReadSnapshot(ctx context.Context, store waxfleet.ObjectStore) (Snapshot, error) {
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

// readSection returns the section that the head names.
//
// Errors: those of ObjectStore.Get; CodeConfigUnavailable when the object does
// not have the digest of its name, which a later read may mend.
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
			"section %s: object %s has another digest; allowed: the digest in its name", section, obj.Name())
	}
	return obj.Value(), nil
}
