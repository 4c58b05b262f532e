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
	p := NewFreshness(clock, 5_000)
	is.True(!p.Fresh()) // no confirmation yet

	sent := clock.Now()
	clock.Advance(2_000)
	p.Confirm(sent)
	is.True(p.Fresh())
	clock.Advance(5_000 - DispatchMargin - 2_000 - 1)
	is.True(p.Fresh())
	clock.Advance(1)
	is.True(!p.Fresh())

	p.Confirm(clock.Now())
	p.Confirm(sent) // a late response to an older read
	age, known := p.Age()
	is.True(known)
	is.Equal(age, waxfleet.Millis(0))

	p.SetMaxAge(200)
	is.True(!p.Fresh()) // the maximum age is below the margin
}
