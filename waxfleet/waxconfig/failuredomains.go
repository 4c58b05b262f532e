package waxconfig

import "waxwingdrift.org/waxfleet"

// States of a failure domain.
const (
	StateIn  = "in"
	StateOut = "out"
)

type failureDomainEntry struct {
	State string `json:"state" validate:"oneof=in out"`
}

var defaultFailureDomain = failureDomainEntry{State: StateIn}

type failureDomainsPart struct {
	byName map[string]waxfleet.FailureDomain
}

var failureDomainsSection = section{
	name:     SectionFailureDomains,
	defaults: `{}`,
	decode:   decodeFailureDomains,
	reuse:    func(d, from *Document) { d.domains = from.domains },
	check:    func(*Document, *report) {},
}

func decodeFailureDomains(d *Document, r *report, raw []byte) {
	part := &failureDomainsPart{byName: map[string]waxfleet.FailureDomain{}}
	for name, e := range decodeEntries(r, SectionFailureDomains, raw, defaultFailureDomain) {
		part.byName[name] = waxfleet.NewFailureDomain(name, e.State == StateIn)
	}
	d.domains = part
}
