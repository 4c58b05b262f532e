package waxfresh

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestProof guards against accepting a revoked key. The age counts from the
// time at which the read was sent, and an older read doesn't replace a newer
// one.
func TestProof(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(100_000)
	f := NewFreshness(clock, 5_000)
	is.True(!f.Fresh()) // no confirmation yet

	sentAt := clock.Now()
	clock.Advance(2_000)
	f.Confirm(sentAt)
	is.True(f.Fresh())
	clock.Advance(5_000 - DispatchMargin - 2_000 - 1)
	is.True(f.Fresh())
	clock.Advance(1)
	is.True(!f.Fresh())

	f.Confirm(clock.Now())
	f.Confirm(sentAt) // a late response to an older read
	age, known := f.Age()
	is.True(known)
	is.Equal(age, waxfleet.Millis(0))

	f.SetMaxAge(200)
	is.True(!f.Fresh()) // the maximum age is below the margin
}
