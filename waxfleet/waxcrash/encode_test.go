package waxcrash

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxgossip"
)

// TestEncodedBans guards against bans that are lost when all instances restart, and
// against text that changes although the bans do not.
func TestEncodedBans(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(5_000_000)
	l := newTestLedger(clock)
	bad, other := PartTrait("bad", 1), PartTrait("other", 0)
	l.RecordCrash(7, []Trait{bad, other}, clock.Now()-200, clock.Now())
	is.Equal(l.EncodeBans(all), "")
	clock.Advance(800)
	l.RecordCrash(8, []Trait{bad}, clock.Now()-100, clock.Now())
	text := l.EncodeBans(all)
	clock.Advance(3_000)
	is.Equal(l.EncodeBans(all), text)
	is.Equal(l.EncodeBans(func(uint64) bool { return false }), "")

	restarted := newTestLedger(clock)
	restarted.Merge(DecodeBans(text, clock.Wall()), waxgossip.ScopeRemote)
	is.Equal(restarted.Crashes(bad), 2)
	is.Equal(restarted.Check([]Trait{bad}), l.Check([]Trait{bad}))
	is.Equal(restarted.EncodeBans(all), text)

	is.Equal(len(DecodeBans(text, clock.Wall()+recordTTL)), 0) // expired
	for _, text := range []string{"", "x", "1/2/", "1/z/7@1+1", "1/2/0@5+1", "1/2/7@x+1 //"} {
		is.Equal(len(DecodeBans(text, clock.Wall())), 0)
	}
}

func newTestLedger(clock *waxfleet.Clock) *Ledger { return New(clock, func(uint64) int { return 0 }) }

func all(uint64) bool { return true }
