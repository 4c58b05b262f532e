package waxfresh

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestProof guards against accepting a revoked key: the age counts from the
// time at which the read was sent, and an older read doesn't replace a newer
// one.
func TestProof(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(100_000)
	p := NewProof(clock, 5_000)
	is.True(!p.Holds()) // no confirmation yet

	sent := clock.Now()
	clock.Advance(2_000)
	p.Confirm(sent)
	is.True(p.Holds())
	clock.Advance(5_000 - DispatchMargin - 2_000 - 1)
	is.True(p.Holds())
	clock.Advance(1)
	is.True(!p.Holds())

	p.Confirm(clock.Now())
	p.Confirm(sent) // a late response to an older read
	age, known := p.Age()
	is.True(known)
	is.Equal(age, waxfleet.Millis(0))

	p.SetBound(200)
	is.True(!p.Holds()) // the maximum age is below the margin
}
