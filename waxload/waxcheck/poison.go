package waxcheck

import (
	"fmt"
	"slices"

	"waxwingdrift.org/waxload/waxembed"
)

// maxPoisonDeaths is the largest number of backend servers that one request may
// crash.
const maxPoisonDeaths = 2

// Death is the crash of an engine incarnation, with the digests of the requests in
// flight there.
type Death struct {
	Engine      string
	Incarnation string
	Digests     []string
}

// Deaths returns the crashes of all engines, from their histories.
func Deaths(f *waxembed.Fleet) []Death {
	var deaths []Death
	for _, e := range f.Engines() {
		index := map[string]int{}
		for _, ev := range e.History() {
			if !ev.EngineDied {
				continue
			}
			i, ok := index[ev.Incarnation]
			if !ok {
				i = len(deaths)
				index[ev.Incarnation] = i
				deaths = append(deaths, Death{Engine: e.ID(), Incarnation: ev.Incarnation})
			}
			deaths[i].Digests = append(deaths[i].Digests, ev.PromptDigest)
		}
	}
	return deaths
}

// CheckPoison returns the poison requests that crashed too many engines, and the
// calls of poison requests that got a complete response.
func CheckPoison(poison []*Call, deaths []Death) []string {
	var violations []string
	seen := map[string]bool{}
	for _, c := range poison {
		if c.Complete() {
			violations = append(violations, describeCall(c)+": a poison request got a response")
		}
		if seen[c.Digest] {
			continue
		}
		seen[c.Digest] = true
		crashed := 0
		for _, d := range deaths {
			if slices.Contains(d.Digests, c.Digest) {
				crashed++
			}
		}
		if crashed > maxPoisonDeaths {
			violations = append(violations, fmt.Sprintf("the poison request %s crashed %d engines", c.Digest, crashed))
		}
	}
	return violations
}

// CheckConcurrentCalls returns the violations in the calls concurrent with poison
// requests: wrong responses, and incomplete ones unless the entry instance was
// killed.
func CheckConcurrentCalls(calls []*Call, killed func(router string) bool) []string {
	violations := CheckResponses(calls)
	for _, c := range calls {
		if !c.Complete() && !killed(c.Router) {
			violations = append(violations, describeCall(c)+": no complete response concurrent with a poison request")
		}
	}
	return violations
}
