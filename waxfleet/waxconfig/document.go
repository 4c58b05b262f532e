package waxconfig

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"waxwingdrift.org/waxfleet"
)

// Document is one immutable version of the configuration. It implements
// waxfleet.Config.
type Document struct {
	version    uint64
	raw        map[string][]byte
	services   *serviceIndex
	tiers      *tierIndex
	workspaces *workspaceIndex
	domains    *failureDomainIndex
	rules      *ruleSet
	limits     waxfleet.Limits
}

var _ waxfleet.Config = (*Document)(nil)

// NewDocument validates the sections, given as JSON by section name, and returns
// the document. A missing section has its defaults.
//
// Errors: CodeConfigInvalid, which lists up to 20 problems; CodeConfigTooLarge.
func NewDocument(version uint64, raw map[string][]byte) (*Document, error) {
	for _, name := range sortedKeys(raw) {
		if !slices.Contains(Sections(), name) {
			return nil, waxfleet.NewError(waxfleet.CodeConfigInvalid,
				"section %s, path (top): unknown section; allowed: one of the sections %v", name, Sections())
		}
	}
	canonical := make(map[string][]byte, len(sections))
	for _, name := range Sections() {
		value, ok := raw[name]
		if !ok {
			canonical[name] = defaultSections[name]
			continue
		}
		value, err := canonicalSection(name, value)
		if err != nil {
			return nil, err
		}
		canonical[name] = value
	}
	return newDocument(version, canonical, nil)
}

// ParseDocument parses a complete document: a JSON object with one field per
// section.
//
// Errors: as NewDocument.
func ParseDocument(version uint64, raw []byte) (*Document, error) {
	if err := checkTokens(raw); err != nil {
		if len(err.path) == 0 {
			return nil, err.withCode("", nil)
		}
		return nil, err.withCode("section "+err.path[0]+", ", err.path[1:])
	}
	var rawSections map[string]json.RawMessage
	if err := json.Unmarshal(raw, &rawSections); err != nil {
		return nil, waxfleet.NewError(waxfleet.CodeConfigInvalid,
			"path (top): value %s; allowed: an object of the sections %v", formatValue(json.RawMessage(raw)), Sections())
	}
	values := make(map[string][]byte, len(rawSections))
	for name, value := range rawSections {
		values[name] = value
	}
	return NewDocument(version, values)
}

func canonicalSection(name string, raw []byte) ([]byte, error) {
	value, err := Canonical(raw)
	if err == nil {
		return value, nil
	}
	var coded *waxfleet.Error
	if errors.As(err, &coded) {
		return nil, waxfleet.NewError(coded.Code(), "section %s, %s", name, coded.Message())
	}
	return nil, err
}

// newDocument builds a document from canonical sections. Sections that are equal
// in previous are reused: at target size, decoding all of them would mean decoding
// a section of 3,700 workspaces at each of 8,300 changes a day.
func newDocument(version uint64, canonical map[string][]byte, previous *Document) (*Document, error) {
	d := &Document{version: version, raw: canonical}
	r := &report{}
	for _, s := range sections {
		if previous != nil && bytes.Equal(previous.raw[s.name], canonical[s.name]) {
			s.reuse(d, previous)
			continue
		}
		s.decode(d, r, canonical[s.name])
	}
	if err := r.err(); err != nil {
		return nil, err
	}
	for _, s := range sections {
		s.crossCheck(d, r)
	}
	if err := r.err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Section returns a copy of the canonical JSON of a section, which has its defaults if
// the configuration omits it. ok is false for an unknown section.
func (d *Document) Section(name string) (raw []byte, ok bool) {
	raw, ok = d.raw[name]
	return append([]byte(nil), raw...), ok
}

// Version implements waxfleet.Config.
func (d *Document) Version() uint64 { return d.version }

// WorkspaceByKey implements waxfleet.Config.
func (d *Document) WorkspaceByKey(key string) (waxfleet.Workspace, bool) {
	name, ok := d.workspaces.byKey[keyDigest(key)]
	if !ok {
		return waxfleet.Workspace{}, false
	}
	return d.Workspace(name)
}

// Workspace implements waxfleet.Config.
func (d *Document) Workspace(name string) (waxfleet.Workspace, bool) {
	w, ok := d.workspaces.byName[name]
	return w, ok
}

// Tier implements waxfleet.Config.
func (d *Document) Tier(name string) (waxfleet.Tier, bool) {
	t, ok := d.tiers.byName[name]
	return t, ok
}

// Tiers returns all tiers, sorted by priority, then by name.
func (d *Document) Tiers() []waxfleet.Tier { return slices.Clone(d.tiers.list) }

// Service implements waxfleet.Config.
func (d *Document) Service(name string) (waxfleet.Service, bool) {
	s, ok := d.services.byName[name]
	return s, ok
}

// ServiceForModel implements waxfleet.Config.
func (d *Document) ServiceForModel(model string) (waxfleet.Service, bool) {
	name, ok := d.services.byModel[model]
	if !ok {
		return waxfleet.Service{}, false
	}
	return d.Service(name)
}

// DomainInService implements waxfleet.Config.
func (d *Document) DomainInService(failureDomain string) bool {
	domain, ok := d.domains.byName[failureDomain]
	return !ok || domain.InService()
}

// Allowed applies the first matching rule; without one, requests are allowed. A
// draining backend server is never allowed.
func (d *Document) Allowed(workspace, model string, b waxfleet.BackendServer) bool {
	if _, draining := d.rules.draining[b.ID()]; draining {
		return false
	}
	for _, r := range d.rules.rules {
		if r.matches(workspace, model, b) {
			return r.allow
		}
	}
	return true
}

// Draining reports whether operators are draining the backend server.
func (d *Document) Draining(backendServer string) bool {
	_, ok := d.rules.draining[backendServer]
	return ok
}

// Limits implements waxfleet.Config.
func (d *Document) Limits() waxfleet.Limits { return d.limits }

// HasFailureDomain reports whether the configuration has an entry for the failure
// domain.
func (d *Document) HasFailureDomain(name string) bool {
	_, ok := d.domains.byName[name]
	return ok
}
