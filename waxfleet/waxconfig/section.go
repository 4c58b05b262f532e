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

// section is one part of the document. decode checks the section by itself and
// check compares it with the others. reuse copies the decoded part of another
// document that holds the same section.
type section struct {
	name     string
	defaults string
	decode   func(d *Document, r *report, raw []byte)
	reuse    func(d, from *Document)
	check    func(d *Document, r *report)
}

var sections = []section{
	servicesSection,
	priceTiersSection,
	workspacesSection,
	failureDomainsSection,
	rulesSection,
	limitsSection,
}

// Sections returns the names of all sections.
func Sections() []string {
	names := make([]string, 0, len(sections))
	for _, s := range sections {
		names = append(names, s.name)
	}
	return names
}

// DefaultSection returns the canonical value of a section that the
// configuration leaves out.
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
