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
	f.Confirm(clock.Now())
	is.True(!f.Fresh()) // others may have a newer configuration
	clock.Advance(5_000)
	f.CaughtUp()

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

// TestRestoredStoreConfirmsNothing guards against a read of a restored store that counts as
// proof, though the store has lost a revocation, and against keys that stay unconfirmed
// once the configuration is written again.
func TestRestoredStoreConfirmsNothing(t *testing.T) {
	for name, test := range map[string]struct {
		version, number uint64
		wantWithheld    bool
	}{
		"lost":            {0, 40, true},
		"older version":   {5, 32, true},
		"same write":      {7, 34, true},
		"written again":   {7, 33, false},
		"a later version": {8, 36, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := waxfleet.NewManualClock(100_000)
			f := NewFreshness(clock, 5_000)
			f.CaughtUp()
			f.Observe(7, waxfleet.NewRevision(1, 34), false)
			f.Confirm(clock.Now())
			clock.Advance(1_000)
			f.Observe(test.version, waxfleet.NewRevision(2, test.number), true)
			is.Equal(f.Withheld(), test.wantWithheld)
			f.Confirm(clock.Now())
			age, _ := f.Age()
			is.Equal(age == 0, !test.wantWithheld)
			is.True(f.Fresh()) // the proof of before still holds
			if !test.wantWithheld {
				return
			}
			f.Observe(test.version, waxfleet.NewRevision(2, test.number), false) // listed again
			is.True(f.Withheld())
			clock.Advance(rewritePeriod - 1)
			is.True(f.Withheld())
			clock.Advance(1)
			is.True(!f.Withheld()) // nothing was lost
			f.Confirm(clock.Now())
			age, _ = f.Age()
			is.Equal(age, waxfleet.Millis(0))
			f.Observe(test.version, waxfleet.NewRevision(3, test.number), true)
			is.True(f.Withheld())
			f.Observe(7, waxfleet.NewRevision(3, 50), false)
			is.True(!f.Withheld()) // the configuration was written again
		})
	}
}
