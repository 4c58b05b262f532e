package waxsuspect

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// Guards against retrying a request that has killed two servers.
func TestSecondDeathBansUntilLifetimeEnds(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	r := New(clock)
	is.True(!r.Suspected("a"))
	is.Equal(r.RecordDeath("a", ""), 1)
	is.True(r.Suspected("a"))
	is.True(!r.Banned("a"))
	clock.Advance(Lifetime - 1)
	is.Equal(r.RecordDeath("a", ""), 2)
	is.True(r.Banned("a"))
	clock.Advance(Lifetime - 1)
	is.True(r.Banned("a"))
	clock.Advance(1)
	is.True(!r.Banned("a"))
	is.Equal(r.RecordDeath("a", ""), 1)
}

// Guards against peers that extend the lifetime of each other's records without
// a new death.
func TestRecordsDoNotEchoBetweenPeers(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	a, b := New(clock), New(clock)
	a.RecordDeath("x", "")
	gossip := func(from, to *Registry) (changed int) {
		for _, record := range from.All() {
			clock.Advance(40) // time in transit, for which the message doesn't account
			if to.Merge(record.Digest(), record.Deaths(), record.Cleared(), record.Remaining()) {
				changed++
			}
		}
		return changed
	}
	is.Equal(gossip(a, b), 1)
	for clock.Now() < Lifetime-1_000 {
		is.Equal(gossip(b, a), 0)
		is.Equal(gossip(a, b), 0)
		clock.Advance(500)
	}
	clock.Advance(Lifetime - clock.Now())
	is.True(!a.Suspected("x"))
	is.True(b.Suspected("x")) // its copy expires later by the time in transit
	late := b.All()[0]
	is.True(!a.Merge(late.Digest(), late.Deaths(), late.Cleared(), late.Remaining()))
	is.True(a.Merge("x", 1, 0, Lifetime)) // a new death at another instance
}

// Guards against a harmless request staying suspect because it ran next to one
// that crashed the server.
func TestClearDropsSuspicionButNoBan(t *testing.T) {
	is := is.New(t)
	r := New(waxfleet.NewManualClock(0))
	r.RecordDeath("neighbour", "")
	r.Clear("neighbour")
	is.True(!r.Suspected("neighbour"))
	is.True(!r.Merge("neighbour", 1, 0, Lifetime))
	is.True(r.Merge("neighbour", 2, 0, Lifetime))
	r.Clear("neighbour")
	is.True(r.Banned("neighbour"))
}

// Guards against one death banning a request that was in flight twice, and
// against taking a second death for the first.
func TestOneDeathCountsOnce(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	r := New(clock)
	is.Equal(r.RecordDeath("twin", "engine-01/1"), 1)
	is.Equal(r.RecordDeath("twin", "engine-01/1"), 1)
	is.Equal(r.RecordDeath("twin", "engine-01/2"), 2)
	is.Equal(r.RecordDeath("other", "engine-01/1"), 1)
	clock.Advance(deathDedupWindow)
	is.Equal(r.RecordDeath("other", "engine-01/1"), 2)
}

// Guards against peers that keep a cleared suspicion, and against an old
// message that clears a later death.
func TestClearReachesPeers(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	a, b := New(clock), New(clock)
	tell := func() {
		for _, record := range a.All() {
			b.Merge(record.Digest(), record.Deaths(), record.Cleared(), record.Remaining())
		}
	}
	a.RecordDeath("x", "")
	tell()
	is.True(b.Suspected("x"))
	is.True(a.Clear("x"))
	tell()
	is.True(!b.Suspected("x"))
	is.Equal(b.RecordDeath("x", ""), 1)
	tell()
	is.True(b.Suspected("x"))
	is.Equal(b.RecordDeath("x", ""), 2)
	tell()
	is.True(b.Banned("x"))
}

// Guards against a register that grows without bound, or evicts bans before
// suspects.
func TestFullRegisterKeepsBans(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	r := New(clock)
	r.Merge("banned", BanDeaths, 0, Lifetime)
	for i := range MaxRecords + 50 {
		clock.Advance(1)
		r.RecordDeath(fmt.Sprint(i), "")
	}
	is.Equal(len(r.All()), MaxRecords)
	is.True(r.Banned("banned"))
	is.True(!r.Suspected("0"))
	is.Equal(len(r.Changed(9)), 10)
}
