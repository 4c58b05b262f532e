package waxplace

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestServerCount guards against a mean load that rises while servers change their
// owner, and against one that ignores servers that are gone.
func TestServerCount(t *testing.T) {
	is := is.New(t)
	var c ServerCount
	is.Equal(c.Apply(10_000, 6, 6), 6)
	is.Equal(c.Apply(11_000, 4, 6), 6)                   // two servers change their owner
	is.Equal(c.Apply(12_900, 4, 6), 6)                   // the new owner has not reported them yet
	is.Equal(c.Apply(13_500, 6, 6), 6)                   // it has
	is.Equal(c.Apply(14_000, 4, 4), 4)                   // two servers are no longer listed
	is.Equal(c.Apply(14_500, 9, 9), 9)                   // a rise counts at once
	is.Equal(c.Apply(14_600, 3, 9), 9)                   // a drop
	is.Equal(c.Apply(14_500+2*serverCountHold, 3, 9), 3) // which lasts
	is.Equal(c.Apply(60_000, 2, 9), 2)                   // nothing is known of the time before
}

// TestServerCountHold guards against a hold that ends before a new owner has reported its
// servers, whenever the drop occurs.
func TestServerCountHold(t *testing.T) {
	is := is.New(t)
	for drop := waxfleet.Millis(0); drop <= 2*serverCountHold; drop += 100 {
		var c ServerCount
		for now := waxfleet.Millis(0); now <= drop; now += 50 {
			c.Apply(100_000+now, 6, 6)
		}
		for held := waxfleet.Millis(50); held < serverCountHold; held += 50 {
			is.Equal(c.Apply(100_000+drop+held, 4, 6), 6)
		}
	}
}
