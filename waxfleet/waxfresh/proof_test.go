package waxfresh

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestProof guards against a key that is accepted after its removal: the age of a
// proof counts from the sending of the read, and an older read never renews it.
func TestProof(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(100_000)
	p := NewProof(clock, 5_000)
	is.True(!p.Holds()) // nothing was confirmed

	sent := clock.Now()
	clock.Advance(2_000)
	p.Confirm(sent)
	is.True(p.Holds())
	clock.Advance(5_000 - Margin - 2_000 - 1)
	is.True(p.Holds())
	clock.Advance(1)
	is.True(!p.Holds())

	p.Confirm(clock.Now())
	p.Confirm(sent) // an answer that comes late
	age, known := p.Age()
	is.True(known)
	is.Equal(age, waxfleet.Millis(0))

	p.SetBound(200)
	is.True(!p.Holds()) // the bound is shorter than the margin
}
