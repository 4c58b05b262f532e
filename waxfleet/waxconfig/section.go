package waxconfig

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
)

// Names of the sections.
const (
	SectionServices       = "services"
	SectionPriceTiers     = "price-tiers"
	SectionWorkspaces     = "workspaces"
	SectionFailureDomains = "failure-domains"
	SectionRules          = "rules"
	SectionLimits         = "limits"
)

// section describes a section of the document. decode decodes and validates the
// section by itself, and crossCheck validates its references to other sections.
// reuse copies the decoded section from another document with the same raw value.
type section struct {
	name       string
	defaults   string
	decode     func(d *Document, r *report, raw []byte)
	reuse      func(d, from *Document)
	crossCheck func(d *Document, r *report)
}

var sections = []section{
	servicesSection,
	priceTiersSection,
	workspacesSection,
	failureDomainsSection,
	rulesSection,
	limitsSection,
}

// Sections returns the names of all sections in a fixed order.
func Sections() []string {
	names := make([]string, 0, len(sections))
	for _, s := range sections {
		names = append(names, s.name)
	}
	return names
}

// DefaultSection returns the canonical JSON of the defaults of a section, which
// apply if the configuration omits the section.
//
// Errors: CodeConfigUnknownSection.
func DefaultSection(name string) ([]byte, error) {
	raw, ok := defaultSections[name]
	if !ok {
		return nil, unknownSection(name)
	}
	return append([]byte(nil), raw...), nil
}

var defaultSections = canonicalDefaults()

func canonicalDefaults() map[string][]byte {
	all := make(map[string][]byte, len(sections))
	for _, s := range sections {
		raw, err := Canonical([]byte(s.defaults))
		if err != nil {
			panic(fmt.Sprintf("defaults of section %s: %v", s.name, err))
		}
		all[s.name] = raw
	}
	return all
}

func unknownSection(name string) error {
	return waxfleet.NewError(waxfleet.CodeConfigUnknownSection, "section %q; allowed: one of %v", name, Sections())
}

func objectName(section, digest string) string { return section + "-" + digest }
