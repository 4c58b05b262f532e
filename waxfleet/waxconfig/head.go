package waxconfig

import (
	"bytes"
	"encoding/json"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"waxwingdrift.org/waxfleet"
)

// headName is the name of the head object, of kind waxfleet.ObjectKindConfig.
const headName = "head"

// Each instance reads the head at each change. At 8,300 changes a day, a head of
// 32 KiB costs 3.1 KB/s, which is within the limit of 8 KB/s of control traffic.
const (
	// maxPatches bounds the number of patches in the head.
	maxPatches = 16
	// maxPatchBytes bounds the total size of the patches in the head.
	maxPatchBytes = 32 << 10
)

// head is the value of the head object. The version of the object is the version
// of the configuration.
type head struct {
	Sections map[string]sectionRef `json:"sections"`
	EditID   string                `json:"edit-id"`
	// Patches holds the latest edits, oldest first.
	Patches []patch `json:"patches"`
}

// sectionRef refers to the object that stores a section. Revision is the number of
// edits of the section.
type sectionRef struct {
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"`
}

// patch is one edit of a section, which changed its digest from FromDigest to ToDigest.
// BaseVersion is the version of the head that the edit replaced, so that the version
// created by an edit is the BaseVersion of the next one. MergePatch is omitted if it is
// too large; the edit is then identified by its id only.
type patch struct {
	Section     string          `json:"section"`
	FromDigest  string          `json:"from"`
	ToDigest    string          `json:"to"`
	EditID      string          `json:"edit-id"`
	BaseVersion uint64          `json:"base"`
	MergePatch  json.RawMessage `json:"merge,omitempty"`
}

func parseHead(raw []byte) (head, error) {
	var h head
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&h); err != nil {
		return head{}, waxfleet.NewError(waxfleet.CodeConfigInvalid, "head: cannot be decoded: %v", err)
	}
	for name, ref := range h.Sections {
		if _, ok := defaultSections[name]; !ok {
			return head{}, waxfleet.NewError(waxfleet.CodeConfigInvalid,
				"head: section %q; allowed: one of %v", name, Sections())
		}
		if len(ref.Digest) != len(Digest(nil)) {
			return head{}, waxfleet.NewError(waxfleet.CodeConfigInvalid,
				"head: digest %q of section %s; allowed: a hex SHA-256", ref.Digest, name)
		}
	}
	return h, nil
}

// digest returns the digest of a section, or of its defaults if the head does not
// list the section.
func (h head) digest(section string) string {
	if ref, ok := h.Sections[section]; ok {
		return ref.Digest
	}
	return Digest(defaultSections[section])
}

// editCount returns the total number of edits of all sections.
func (h head) editCount() uint64 {
	var n uint64
	for _, ref := range h.Sections {
		n += ref.Revision
	}
	return n
}

// objectNames returns the names of the section objects that the head or its patches
// refer to.
func (h head) objectNames() map[string]bool {
	names := map[string]bool{}
	for section, ref := range h.Sections {
		names[objectName(section, ref.Digest)] = true
	}
	for _, p := range h.Patches {
		names[objectName(p.Section, p.FromDigest)] = true
		names[objectName(p.Section, p.ToDigest)] = true
	}
	return names
}

// withEdit returns the head after an edit of a section from one value to another.
// baseVersion is the version of h.
func (h head) withEdit(baseVersion uint64, section, editID string, from, to []byte) head {
	next := head{Sections: map[string]sectionRef{}, EditID: editID}
	for name, ref := range h.Sections {
		next.Sections[name] = ref
	}
	next.Sections[section] = sectionRef{Digest: Digest(to), Revision: h.Sections[section].Revision + 1}
	p := patch{
		Section:     section,
		FromDigest:  Digest(from),
		ToDigest:    Digest(to),
		EditID:      editID,
		BaseVersion: baseVersion,
		MergePatch:  mergePatch(from, to),
	}
	next.Patches = trimPatches(append(h.Patches[:len(h.Patches):len(h.Patches)], p))
	return next
}

// mergePatch returns the merge patch (RFC 7396) between two canonical documents, or
// nil if no merge patch produces exactly the document to.
func mergePatch(from, to []byte) json.RawMessage {
	merge, err := jsonpatch.CreateMergePatch(from, to)
	if err != nil {
		return nil
	}
	if got, ok := applyMerge(from, merge); !ok || !bytes.Equal(got, to) {
		return nil
	}
	return merge
}

func applyMerge(from []byte, merge json.RawMessage) ([]byte, bool) {
	merged, err := jsonpatch.MergePatch(from, merge)
	if err != nil {
		return nil, false
	}
	canonical, err := Canonical(merged)
	return canonical, err == nil
}

// trimPatches returns the newest maxPatches patches. If they exceed maxPatchBytes, the
// oldest lose their merge patches but keep their edit ids, by which an editor finds an
// edit whose response was lost.
func trimPatches(all []patch) []patch {
	if len(all) > maxPatches {
		all = all[len(all)-maxPatches:]
	}
	kept := append([]patch(nil), all...)
	size := 0
	for i := len(kept) - 1; i >= 0; i-- {
		size += len(kept[i].MergePatch)
		if size > maxPatchBytes-maxPatches*patchOverheadBytes {
			kept[i].MergePatch = nil
		}
	}
	return kept
}

// patchOverheadBytes is the maximum size of a patch without its merge patch: two
// digests of 64 characters, an edit id of 26, a section name, a version and the
// field names.
const patchOverheadBytes = 320

// outcome is the result of a conditional update of the head.
type outcome int

const (
	// outcomePending: the head still has the base version, so the update may still
	// take effect.
	outcomePending outcome = iota
	// outcomeApplied: the patches of the head include the edit.
	outcomeApplied
	// outcomeSuperseded: another edit replaced the base version, so the update can
	// no longer take effect.
	outcomeSuperseded
	// outcomeUnknown: the oldest patch is newer than the base version.
	outcomeUnknown
)

// findEdit returns the outcome of an edit that was written conditionally on version
// base, and for outcomeApplied the version that the edit created. current is the
// version of h.
func (h head) findEdit(editID string, base, current uint64) (outcome, uint64) {
	if current == base {
		return outcomePending, 0
	}
	for i, p := range h.Patches {
		switch {
		case p.EditID == editID && i+1 < len(h.Patches):
			return outcomeApplied, h.Patches[i+1].BaseVersion
		case p.EditID == editID:
			return outcomeApplied, current
		case p.BaseVersion == base:
			return outcomeSuperseded, 0
		}
	}
	return outcomeUnknown, 0
}
