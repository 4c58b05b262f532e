package waxpick

import (
	"cmp"
	"slices"
)

// weightedCandidate is a candidate with its rendezvous weight for one key.
type weightedCandidate struct {
	candidate Candidate
	weight    uint64
}

// sortByWeight orders by descending weight. Equal weights are ordered by id, so
// that all instances agree on the order.
func sortByWeight(order []weightedCandidate) {
	slices.SortFunc(order, func(a, b weightedCandidate) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.candidate.ID, b.candidate.ID)
	})
}
