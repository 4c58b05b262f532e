package waxcheck

import (
	"fmt"
	"slices"

	"waxwingdrift.org/waxload/waxembed"
)

// maxEnded is the number of backend servers that one request may end.
const maxEnded = 2

// Death is the end of one incarnation of an engine with the work that was in
// flight there.
type Death struct {
	Engine      string
	Incarnation string
	Works       []string
}

// Deaths returns the deaths of all engines, from their histories.
func Deaths(f *waxembed.Fleet) []Death {
	var deaths []Death
	for _, e := range f.Engines() {
		index := map[string]int{}
		for _, ev := range e.History() {
			if !ev.Died {
				continue
			}
			i, ok := index[ev.Incarnation]
			if !ok {
				i = len(deaths)
				index[ev.Incarnation] = i
				deaths = append(deaths, Death{Engine: e.ID(), Incarnation: ev.Incarnation})
			}
			deaths[i].Works = append(deaths[i].Works, ev.PromptDigest)
		}
	}
	return deaths
}

// CheckPoison returns the poison requests that ended more engines than they may,
// and those that got a whole answer.
func CheckPoison(poison []*Call, deaths []Death) []string {
	var wrong []string
	seen := map[string]bool{}
	for _, c := range poison {
		if c.Whole() {
			wrong = append(wrong, describe(c)+": a poison request has an answer")
		}
		if seen[c.Work] {
			continue
		}
		seen[c.Work] = true
		ended := 0
		for _, d := range deaths {
			if slices.Contains(d.Works, c.Work) {
				ended++
			}
		}
		if ended > maxEnded {
			wrong = append(wrong, fmt.Sprintf("the poison request %s ended %d engines", c.Work, ended))
		}
	}
	return wrong
}

// CheckNeighbours returns the requests beside poison ones that did not get their
// whole answer, other than through an entry instance that was killed.
func CheckNeighbours(neighbours []*Call, killed func(router string) bool) []string {
	wrong := CheckAnswers(neighbours)
	for _, c := range neighbours {
		if !c.Whole() && !killed(c.Router) {
			wrong = append(wrong, describe(c)+": a neighbour has no whole answer")
		}
	}
	return wrong
}
