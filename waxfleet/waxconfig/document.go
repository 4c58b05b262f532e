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
	services   *servicesPart
	tiers      *priceTiersPart
	workspaces *workspacesPart
	domains    *failureDomainsPart
	rules      *rulesPart
	limits     waxfleet.Limits
}

var _ waxfleet.Config = (*Document)(nil)

// NewDocument checks the sections, JSON by section name, and returns the
// document. A section that is left out has its defaults.
//
// Errors: CodeConfigInvalid with all problems; CodeConfigTooLarge.
func NewDocument(version uint64, raw map[string][]byte) (*Document, error) {
	for _, name := range sortedKeys(raw) {
		if !slices.Contains(Sections(), name) {
			return nil, waxfleet.NewError(waxfleet.CodeConfigInvalid,
				"section %s, path (top): value not read; allowed: one of the sections %v", name, Sections())
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

// ParseDocument reads a document in one piece: a JSON object of sections.
//
// Errors: as NewDocument.
func ParseDocument(version uint64, raw []byte) (*Document, error) {
	if err := checkTokens(raw); err != nil {
		if len(err.path) == 0 {
			return nil, err.coded("", nil)
		}
		return nil, err.coded("section "+err.path[0]+", ", err.path[1:])
	}
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		return nil, waxfleet.NewError(waxfleet.CodeConfigInvalid,
			"path (top): value %s; allowed: an object of the sections %v", showValue(json.RawMessage(raw)), Sections())
	}
	values := make(map[string][]byte, len(parts))
	for name, value := range parts {
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

// newDocument builds a document of canonical sections. Sections that are equal
// in previous are not decoded again: at target size a section of 3,700
// workspaces would otherwise be decoded at each of 8,300 changes a day.
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
		s.check(d, r)
	}
	if err := r.err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Section returns the canonical JSON of a section; its defaults when the
// configuration leaves it out.
func (d *Document) Section(name string) ([]byte, bool) {
	raw, ok := d.raw[name]
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

// Tiers returns all tiers by priority, then by name.
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

// DomainIn implements waxfleet.Config.
func (d *Document) DomainIn(failureDomain string) bool {
	domain, ok := d.domains.byName[failureDomain]
	return !ok || domain.InService()
}

// Allowed applies the first rule that matches; without one the work is allowed.
// A draining backend server is allowed none.
func (d *Document) Allowed(workspace, model string, b waxfleet.BackendServer) bool {
	if _, draining := d.rules.draining[b.ID()]; draining {
		return false
	}
	for _, u := range d.rules.rules {
		if u.matches(workspace, model, b) {
			return u.allow
		}
	}
	return true
}

// Draining reports whether operators have marked the backend server as leaving.
func (d *Document) Draining(backendServer string) bool {
	_, ok := d.rules.draining[backendServer]
	return ok
}

// Limits implements waxfleet.Config.
func (d *Document) Limits() waxfleet.Limits { return d.limits }

// HasFailureDomain reports whether the configuration names the failure domain.
func (d *Document) HasFailureDomain(name string) bool {
	_, ok := d.domains.byName[name]
	return ok
}
