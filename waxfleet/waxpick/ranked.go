package waxpick

import (
	"cmp"
	"slices"
)

// ranked is a candidate with its rendezvous weight.
type ranked struct {
	c      Candidate
	weight uint64
}

// sortRanked orders by weight, highest first. Equal weights are ordered by id,
// so that all instances agree.
func sortRanked(order []ranked) {
	slices.SortFunc(order, func(a, b ranked) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.c.ID, b.c.ID)
	})
}
