package waxgossip

import (
	"testing"

	"github.com/matryer/is"
)

// TestCopies guards against an update that peers never get because one datagram was lost,
// and against sending an update forever.
func TestCopies(t *testing.T) {
	is := is.New(t)
	var q Queue[string]
	q.AddAll("a")
	q.Add(ScopeGroup, "b")
	for range updateCopies {
		is.Equal(q.Next(ScopeGroup, 10), []string{"a", "b"})
		is.Equal(q.Next(ScopeRemote, 10), []string{"a"})
	}
	is.Equal(len(q.Next(ScopeGroup, 10)), 0)
	is.Equal(len(q.Next(ScopeRemote, 10)), 0)
}

// TestLimit guards against updates beyond the limit that are never sent, and against a
// queue that grows without bound.
func TestLimit(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i := range 5 * maxUpdates {
		q.AddAll(i)
	}
	seen := map[int]bool{}
	for updates := q.Next(ScopeGroup, 60); len(updates) > 0; updates = q.Next(ScopeGroup, 60) {
		is.True(len(updates) <= 60)
		for _, v := range updates {
			seen[v] = true
		}
	}
	is.True(len(seen) <= 2*maxUpdates)
	is.True(seen[5*maxUpdates-1]) // the latest update is kept
}
