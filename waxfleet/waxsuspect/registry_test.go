package waxsuspect

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestSecondDeathBansUntilLifetimeEnds guards against retrying a request that
// has crashed two servers.
func TestSecondDeathBansUntilLifetimeEnds(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	r := New(clock)
	is.True(!r.Suspected("a"))
	is.Equal(r.RecordDeath("a", ""), 1)
	is.True(r.Suspected("a"))
	is.True(!r.Banned("a"))
	clock.Advance(RecordTTL - 1)
	is.Equal(r.RecordDeath("a", ""), 2)
	is.True(r.Banned("a"))
	clock.Advance(RecordTTL - 1)
	is.True(r.Banned("a"))
	clock.Advance(1)
	is.True(!r.Banned("a"))
	is.Equal(r.RecordDeath("a", ""), 1)
}

// TestRecordsDoNotEchoBetweenPeers guards against peers that extend the TTL of
// each other's records without a new death.
func TestRecordsDoNotEchoBetweenPeers(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	a, b := New(clock), New(clock)
	a.RecordDeath("x", "")
	exchange := func(from, to *Registry) (changed int) {
		for _, record := range from.All() {
			clock.Advance(40) // time in transit, which Remaining does not include
			if to.Merge(record.Digest(), record.Deaths(), record.Cleared(), record.Remaining()) {
				changed++
			}
		}
		return changed
	}
	is.Equal(exchange(a, b), 1)
	for clock.Now() < RecordTTL-1_000 {
		is.Equal(exchange(b, a), 0)
		is.Equal(exchange(a, b), 0)
		clock.Advance(500)
	}
	clock.Advance(RecordTTL - clock.Now())
	is.True(!a.Suspected("x"))
	is.True(b.Suspected("x")) // its copy expires later by the time in transit
	late := b.All()[0]
	is.True(!a.Merge(late.Digest(), late.Deaths(), late.Cleared(), late.Remaining()))
	is.True(a.Merge("x", 1, 0, RecordTTL)) // a new death at another instance
}

// TestClearDropsSuspicionButNoBan guards against a harmless request that stays
// suspected because it ran next to one that crashed the server.
func TestClearDropsSuspicionButNoBan(t *testing.T) {
	is := is.New(t)
	r := New(waxfleet.NewManualClock(0))
	r.RecordDeath("neighbour", "")
	r.Clear("neighbour")
	is.True(!r.Suspected("neighbour"))
	is.True(!r.Merge("neighbour", 1, 0, RecordTTL))
	is.True(r.Merge("neighbour", 2, 0, RecordTTL))
	r.Clear("neighbour")
	is.True(r.Banned("neighbour"))
}

// TestOneDeathCountsOnce guards against one death that bans a request because
// it was in flight twice, and against taking a second death for the first.
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

// TestClearReachesPeers guards against peers that keep a cleared suspicion, and
// against an old message that clears a later death.
func TestClearReachesPeers(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	a, b := New(clock), New(clock)
	broadcast := func() {
		for _, record := range a.All() {
			b.Merge(record.Digest(), record.Deaths(), record.Cleared(), record.Remaining())
		}
	}
	a.RecordDeath("x", "")
	broadcast()
	is.True(b.Suspected("x"))
	is.True(a.Clear("x"))
	broadcast()
	is.True(!b.Suspected("x"))
	is.Equal(b.RecordDeath("x", ""), 1)
	broadcast()
	is.True(b.Suspected("x"))
	is.Equal(b.RecordDeath("x", ""), 2)
	broadcast()
	is.True(b.Banned("x"))
}

// TestFullRegisterKeepsBans guards against a registry that grows without bound,
// or evicts bans before other records.
func TestFullRegisterKeepsBans(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(0)
	r := New(clock)
	r.Merge("banned", BanThreshold, 0, RecordTTL)
	for i := range MaxRecords + 50 {
		clock.Advance(1)
		r.RecordDeath(fmt.Sprint(i), "")
	}
	is.Equal(len(r.All()), MaxRecords)
	is.True(r.Banned("banned"))
	is.True(!r.Suspected("0"))
	is.Equal(len(r.Changed(9)), 10)
}
