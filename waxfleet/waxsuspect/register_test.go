package waxsuspect

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// Guards against a request that is sent again after it has ended two servers.
func TestSecondDeathBansUntilLifetimeEnds(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	r := New(clock)
	is.True(!r.Suspect("a"))
	is.Equal(r.Died("a"), 1)
	is.True(r.Suspect("a"))
	is.True(!r.Banned("a"))
	clock.Advance(Lifetime - 1)
	is.Equal(r.Died("a"), 2)
	is.True(r.Banned("a"))
	clock.Advance(Lifetime - 1)
	is.True(r.Banned("a"))
	clock.Advance(1)
	is.True(!r.Banned("a"))
	is.Equal(r.Died("a"), 1)
}

// Guards against records that two peers renew for each other without a death.
func TestRecordsDoNotEchoBetweenPeers(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	a, b := New(clock), New(clock)
	a.Died("x")
	gossip := func(from, to *Register) (news int) {
		for _, record := range from.All() {
			clock.Advance(40) // transit, which the message does not account for
			if to.Merge(record.Digest(), record.Deaths(), record.Remaining()) {
				news++
			}
		}
		return news
	}
	is.Equal(gossip(a, b), 1)
	for clock.Now() < Lifetime-1_000 {
		is.Equal(gossip(b, a), 0)
		is.Equal(gossip(a, b), 0)
		clock.Advance(500)
	}
	clock.Advance(Lifetime - clock.Now())
	is.True(!a.Suspect("x"))
	is.True(b.Suspect("x")) // its copy ends later by the transit
	late := b.All()[0]
	is.True(!a.Merge(late.Digest(), late.Deaths(), late.Remaining()))
	is.True(a.Merge("x", 1, Lifetime)) // a new death elsewhere
}

// Guards against a neighbour of a poison request that stays suspect.
func TestClearDropsSuspicionButNoBan(t *testing.T) {
	is := is.New(t)
	r := New(waxfleet.NewManualClock(0))
	r.Died("neighbour")
	r.Clear("neighbour")
	is.True(!r.Suspect("neighbour"))
	is.True(!r.Merge("neighbour", 1, Lifetime))
	is.True(r.Merge("neighbour", 2, Lifetime))
	r.Clear("neighbour")
	is.True(r.Banned("neighbour"))
}

// Guards against a register that grows without bound or drops bans for suspects.
func TestFullRegisterKeepsBans(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	r := New(clock)
	r.Merge("banned", BanDeaths, Lifetime)
	for i := range MaxRecords + 50 {
		clock.Advance(1)
		r.Died(fmt.Sprint(i))
	}
	is.Equal(len(r.All()), MaxRecords)
	is.True(r.Banned("banned"))
	is.True(!r.Suspect("0"))
	is.Equal(len(r.Changed(9)), 10)
}
