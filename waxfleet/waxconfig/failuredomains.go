package waxconfig

import (
	"encoding/json"

	"waxwingdrift.org/waxfleet"
)

// States of a failure domain: in service, or taken out of service by operators.
const (
	DomainStateIn  = "in"
	DomainStateOut = "out"
)

type failureDomainEntry struct {
	State string `json:"state" validate:"oneof=in out"`
}

var defaultFailureDomain = failureDomainEntry{State: DomainStateIn}

type failureDomainIndex struct {
	byName map[string]waxfleet.FailureDomain
}

var failureDomainsSection = section{
	name:       SectionFailureDomains,
	defaults:   `{}`,
	decode:     decodeFailureDomains,
	reuse:      func(d, from *Document) { d.domains = from.domains },
	crossCheck: func(*Document, *report) {},
}

func decodeFailureDomains(d *Document, r *report, raw []byte) {
	index := &failureDomainIndex{byName: map[string]waxfleet.FailureDomain{}}
	for name, e := range decodeEntries(r, SectionFailureDomains, raw, defaultFailureDomain) {
		index.byName[name] = waxfleet.NewFailureDomain(name, e.State == DomainStateIn)
	}
	d.domains = index
}

// SetDomainState returns a change function for Editor.Edit that sets the state of
// a failure domain to DomainStateIn or DomainStateOut.
func SetDomainState(name, state string) func(current []byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		var entries map[string]failureDomainEntry
		if err := json.Unmarshal(current, &entries); err != nil {
			return nil, waxfleet.WrapError(err, waxfleet.CodeInternal, "decode section %s", SectionFailureDomains)
		}
		entries[name] = failureDomainEntry{State: state}
		return encode(entries)
	}
}
