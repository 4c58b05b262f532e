package waxfleet

import (
	"testing"

	"github.com/matryer/is"
)

// TestRevisionOrder guards against an order that a restore of the store reverses.
func TestRevisionOrder(t *testing.T) {
	is := is.New(t)
	before, after := NewRevision(1, 34), NewRevision(2, 33)
	is.True(before < after)
	is.True(NewRevision(2, 33) < NewRevision(2, 34))
	is.Equal(after.Era(), uint64(2))
	is.Equal(after.Number(), uint64(33))
	is.Equal(after.String(), "2.33")
}
