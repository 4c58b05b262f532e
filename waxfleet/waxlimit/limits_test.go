package waxlimit

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxgossip"
)

const server = 7

func limitOf(l *Limits) float64 {
	if perSecond, ok := l.Limit(server); ok {
		return perSecond
	}
	return -1
}

// TestLatestStatement guards against a limit that outlasts its need or is lost, because an
// older statement of another instance replaces a later one.
func TestLatestStatement(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(100_000)
	l := New(clock)
	is.True(!l.Record(server, 0, false)) // nothing to tell before the first limit
	is.True(l.Record(server, 3.3, true))
	is.True(!l.Record(server, 3.35, true))
	is.Equal(limitOf(l), 3.3)
	is.True(l.Record(server, 5, true))
	clock.Advance(500)
	is.True(!l.Merge([]Statement{NewStatement(server, 0, false, 800)}, waxgossip.ScopeGroup))
	is.Equal(limitOf(l), 5.0)
	is.True(l.Merge([]Statement{NewStatement(server, 0, false, 100)}, waxgossip.ScopeGroup))
	is.Equal(limitOf(l), -1.0)
	is.True(!l.Merge([]Statement{NewStatement(server, 5, true, 300)}, waxgossip.ScopeGroup)) // late
	is.Equal(limitOf(l), -1.0)
	clock.Advance(200)
	is.True(l.Record(server, 0, true)) // a limit of zero is one
	is.Equal(limitOf(l), 0.0)
	l.Remove(server)
	is.Equal(len(l.All()), 0)
}

// TestStatementsReachOthers guards against instances that do not hear of a limit, and that
// tell each other without end.
func TestStatementsReachOthers(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(100_000)
	a, b, late := New(clock), New(clock), New(clock)
	a.Record(server, 2, true)
	told := 0
	for range 20 {
		clock.Advance(20) // time in transit, which the ages do not include
		fromA, fromB := a.Next(waxgossip.ScopeGroup, 10), b.Next(waxgossip.ScopeGroup, 10)
		told += len(fromA) + len(fromB)
		b.Merge(fromA, waxgossip.ScopeGroup)
		a.Merge(fromB, waxgossip.ScopeGroup)
	}
	is.Equal(limitOf(b), 2.0)
	is.True(told <= 6) // three copies each
	late.Merge(a.All(), waxgossip.ScopeRemote)
	is.Equal(limitOf(late), 2.0)
}
