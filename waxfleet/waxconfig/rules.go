package waxconfig

import (
	"encoding/json"
	"fmt"
	"slices"

	"waxwingdrift.org/waxfleet"
)

// rulesValue is the JSON form of the section. draining lists backend servers that
// get no new requests, regardless of the rules.
type rulesValue struct {
	Rules    []json.RawMessage `json:"rules" validate:"max=1024"`
	Draining []string          `json:"draining" validate:"max=4096,unique,dive,min=1,max=200,printascii"`
}

// ruleEntry is the JSON form of a rule. An empty list matches everything.
type ruleEntry struct {
	Services       []string `json:"services" validate:"max=256,unique"`
	Models         []string `json:"models" validate:"max=256,unique"`
	Workspaces     []string `json:"workspaces" validate:"max=4096,unique"`
	FailureDomains []string `json:"failure-domains" validate:"max=64,unique"`
	Action         string   `json:"action" validate:"required,oneof=allow deny"`
}

// nameSet is a set of names. A nil set matches every name.
type nameSet map[string]struct{}

func newNameSet(names []string) nameSet {
	if len(names) == 0 {
		return nil
	}
	set := make(nameSet, len(names))
	for _, name := range names {
		set[name] = struct{}{}
	}
	return set
}

func (s nameSet) matches(name string) bool {
	if s == nil {
		return true
	}
	_, ok := s[name]
	return ok
}

type rule struct {
	services   nameSet
	models     nameSet
	workspaces nameSet
	domains    nameSet
	allow      bool
}

func newRule(e ruleEntry) rule {
	return rule{
		services:   newNameSet(e.Services),
		models:     newNameSet(e.Models),
		workspaces: newNameSet(e.Workspaces),
		domains:    newNameSet(e.FailureDomains),
		allow:      e.Action == "allow",
	}
}

func (r rule) matches(workspace, model string, b waxfleet.BackendServer) bool {
	return r.services.matches(b.Service()) && r.models.matches(model) &&
		r.workspaces.matches(workspace) && r.domains.matches(b.FailureDomain())
}

type ruleSet struct {
	entries  []ruleEntry
	rules    []rule
	draining map[string]struct{}
}

var rulesSection = section{
	name:       SectionRules,
	defaults:   `{"rules": [], "draining": []}`,
	decode:     decodeRules,
	reuse:      func(d, from *Document) { d.rules = from.rules },
	crossCheck: crossCheckRules,
}

func decodeRules(d *Document, r *report, raw []byte) {
	set := &ruleSet{draining: map[string]struct{}{}}
	d.rules = set
	var value rulesValue
	if !decodeValue(r, SectionRules, "", raw, &value) {
		return
	}
	for i, rawRule := range value.Rules {
		var e ruleEntry
		if !decodeValue(r, SectionRules, rulePath(i), rawRule, &e) {
			continue
		}
		set.entries = append(set.entries, e)
		set.rules = append(set.rules, newRule(e))
	}
	for _, id := range value.Draining {
		set.draining[id] = struct{}{}
	}
}

func rulePath(i int) string { return fmt.Sprintf("rules[%d]", i) }

// crossCheckRules rejects names that no section defines: a rule with a misspelled
// name would never match, and would allow requests that it is meant to deny.
func crossCheckRules(d *Document, r *report) {
	for i, e := range d.rules.entries {
		path := rulePath(i)
		checkDefined(r, SectionRules, path+".services", e.Services, SectionServices, d.services.byName)
		checkDefined(r, SectionRules, path+".models", e.Models, SectionServices, d.services.byModel)
		checkDefined(r, SectionRules, path+".workspaces", e.Workspaces, SectionWorkspaces, d.workspaces.byName)
		checkDefined(r, SectionRules, path+".failure-domains", e.FailureDomains,
			SectionFailureDomains, d.domains.byName)
	}
}

// SetDraining returns a change function for Editor.Edit that starts or stops
// draining a backend server.
func SetDraining(backendServer string, draining bool) func(current []byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		var value rulesValue
		if err := json.Unmarshal(current, &value); err != nil {
			return nil, waxfleet.WrapError(err, waxfleet.CodeInternal, "decode section %s", SectionRules)
		}
		// A nil slice would be encoded as null, which is not allowed in a section.
		value.Rules = append([]json.RawMessage{}, value.Rules...)
		value.Draining = slices.DeleteFunc(append([]string{}, value.Draining...), func(id string) bool { return id == backendServer })
		if draining {
			value.Draining = append(value.Draining, backendServer)
		}
		return encode(value)
	}
}
