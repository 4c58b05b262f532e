package waxcache

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

func keyOf(parts ...waxfleet.PromptPart) Key { return NewKey(parts) }

var (
	schoolPart = waxfleet.PromptPart{ID: "school", Tokens: 2500}
	letterPart = waxfleet.PromptPart{ID: "letter", Tokens: 6000}
	memoPart   = waxfleet.PromptPart{ID: "memo", Tokens: 700}
	ownPart    = waxfleet.PromptPart{ID: "own", Tokens: 300}
)

// TestHeld guards against counting a part as cached although the parts before
// it are not, and against keys that differ by the part that isn't shared.
func TestHeld(t *testing.T) {
	is := is.New(t)
	h := NewIndex()
	a, b := ServerHash("engine-1", 1), ServerHash("engine-2", 1)
	is.True(h.Record(keyOf(schoolPart, letterPart, ownPart), a))
	is.True(!h.Record(keyOf(schoolPart, letterPart, memoPart), a)) // the last part isn't shared
	h.Record(keyOf(schoolPart, memoPart, ownPart), b)

	is.Equal(h.CachedTokens(keyOf(schoolPart, letterPart, ownPart)), map[uint32]int{a: 8500, b: 2500})
	is.Equal(h.CachedTokens(keyOf(schoolPart, memoPart, ownPart)), map[uint32]int{a: 2500, b: 3200})
	is.Equal(len(h.CachedTokens(keyOf(letterPart, memoPart, ownPart))), 0) // a part counts only with those before it
	is.Equal(len(h.CachedTokens(keyOf(ownPart))), 0)
	is.Equal(keyOf(schoolPart, letterPart, ownPart).Tokens(), 8500)

	h.Remove(a)
	is.Equal(h.CachedTokens(keyOf(schoolPart, letterPart, ownPart)), map[uint32]int{b: 2500})
}

// TestManyHolders guards against an endless exchange of entries for a leading
// part that more engines have cached than the table keeps. Evicting one engine
// for another made each request an update: on a fleet with 60 engines this kept
// all instances busy, lost track of the parts that follow, and had shared parts
// prefilled again.
func TestManyHolders(t *testing.T) {
	is := is.New(t)
	h := NewIndex()
	const engines = maxServersPerPart + 20
	updates := 0
	for range 3 {
		for s := range uint32(engines) {
			one := waxfleet.PromptPart{ID: "own-of-engine", Tokens: int(s)}
			if h.Record(keyOf(schoolPart, waxfleet.PromptPart{ID: string(rune('A' + s)), Tokens: 6000}, one), s) {
				updates++
			}
		}
	}
	is.Equal(updates, engines)
	last := keyOf(schoolPart, waxfleet.PromptPart{ID: string(rune('A' + engines - 1)), Tokens: 6000}, ownPart)
	is.Equal(h.CachedTokens(last)[engines-1], 8500)
}

// TestIncarnations guards against keeping the entries of an engine that
// restarted under the same name with an empty cache.
func TestIncarnations(t *testing.T) {
	is := is.New(t)
	is.True(ServerHash("engine-1", 1) != ServerHash("engine-1", 2))
}

// TestUpdates guards against an entry that peers never learn of because one
// datagram was lost, and against sending it forever.
func TestUpdates(t *testing.T) {
	is := is.New(t)
	h := NewIndex()
	h.Record(keyOf(schoolPart, letterPart, ownPart), 7)
	for range updateCopies {
		is.Equal(len(h.NextUpdates(ScopeGroup, 10)), 2)
	}
	is.Equal(len(h.NextUpdates(ScopeGroup, 10)), 0)

	other := NewIndex()
	for _, v := range h.All() {
		is.True(other.Merge(v, ScopeRemote))
	}
	is.Equal(other.CachedTokens(keyOf(schoolPart, letterPart, ownPart)), h.CachedTokens(keyOf(schoolPart, letterPart, ownPart)))
	is.Equal(len(other.NextUpdates(ScopeGroup, 10)), 0) // an update isn't sent back to the group
	is.Equal(len(other.NextUpdates(ScopeRemote, 10)), 2)
}

// TestUpdatesAreBounded guards against datagrams larger than a frame.
func TestUpdatesAreBounded(t *testing.T) {
	is := is.New(t)
	h := NewIndex()
	for i := range 100 {
		h.Record(keyOf(waxfleet.PromptPart{ID: string(rune('a' + i)), Tokens: 1}, ownPart), 7)
	}
	is.Equal(len(h.NextUpdates(ScopeGroup, 60)), 60)
	is.Equal(len(h.All()), 100)
}
