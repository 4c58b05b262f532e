package waxcache

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxgossip"
)

func keyOf(parts ...waxfleet.PromptPart) Key { return NewKey(parts) }

var (
	schoolPart = waxfleet.PromptPart{ID: "school", Tokens: 2500}
	letterPart = waxfleet.PromptPart{ID: "letter", Tokens: 6000}
	memoPart   = waxfleet.PromptPart{ID: "memo", Tokens: 700}
	ownPart    = waxfleet.PromptPart{ID: "own", Tokens: 300}
)

// TestHeld guards against counting a part as cached although the parts before
// it are not, and against keys that differ because of the part that isn't
// shared.
func TestHeld(t *testing.T) {
	is := is.New(t)
	ix := NewIndex()
	a, b := IncarnationHash("engine-1", 1), IncarnationHash("engine-2", 1)
	is.True(ix.Record(keyOf(schoolPart, letterPart, ownPart), a))
	is.True(!ix.Record(keyOf(schoolPart, letterPart, memoPart), a)) // the last part isn't shared
	ix.Record(keyOf(schoolPart, memoPart, ownPart), b)

	is.Equal(ix.CachedTokens(keyOf(schoolPart, letterPart, ownPart)), map[uint32]int{a: 8500, b: 2500})
	is.Equal(ix.CachedTokens(keyOf(schoolPart, memoPart, ownPart)), map[uint32]int{a: 2500, b: 3200})
	is.Equal(len(ix.CachedTokens(keyOf(letterPart, memoPart, ownPart))), 0) // a part counts only with those before it
	is.Equal(len(ix.CachedTokens(keyOf(ownPart))), 0)
	is.Equal(keyOf(schoolPart, letterPart, ownPart).SharedTokens(), 8500)

	ix.Remove(a)
	is.Equal(ix.CachedTokens(keyOf(schoolPart, letterPart, ownPart)), map[uint32]int{b: 2500})
}

// TestManyHolders guards against an endless exchange of entries for a leading part
// that more engines have cached than the index keeps. When one engine evicted
// another, each request caused an update. In a fleet with 60 engines, this kept all
// instances busy and lost the entries of the parts that follow, so that shared parts
// were prefilled again.
func TestManyHolders(t *testing.T) {
	is := is.New(t)
	ix := NewIndex()
	const engines = maxServersPerPart + 20
	updates := 0
	for range 3 {
		for engine := range uint32(engines) {
			ownOfEngine := waxfleet.PromptPart{ID: "own-of-engine", Tokens: int(engine)}
			if ix.Record(keyOf(schoolPart, waxfleet.PromptPart{ID: string(rune('A' + engine)), Tokens: 6000}, ownOfEngine), engine) {
				updates++
			}
		}
	}
	is.Equal(updates, engines)
	last := keyOf(schoolPart, waxfleet.PromptPart{ID: string(rune('A' + engines - 1)), Tokens: 6000}, ownPart)
	is.Equal(ix.CachedTokens(last)[engines-1], 8500)
}

// TestIncarnations guards against keeping the entries of an engine that
// restarted under the same name with an empty cache.
func TestIncarnations(t *testing.T) {
	is := is.New(t)
	is.True(IncarnationHash("engine-1", 1) != IncarnationHash("engine-1", 2))
}

// TestUpdates guards against an entry that is sent back to where it came from, and one
// that another instance does not adopt.
func TestUpdates(t *testing.T) {
	is := is.New(t)
	ix := NewIndex()
	ix.Record(keyOf(schoolPart, letterPart, ownPart), 7)
	is.Equal(len(ix.NextUpdates(waxgossip.ScopeGroup, 10)), 2)

	other := NewIndex()
	for _, v := range ix.All() {
		is.True(other.Merge(v, waxgossip.ScopeRemote))
	}
	is.Equal(other.CachedTokens(keyOf(schoolPart, letterPart, ownPart)), ix.CachedTokens(keyOf(schoolPart, letterPart, ownPart)))
	is.Equal(len(other.NextUpdates(waxgossip.ScopeGroup, 10)), 0) // an update isn't sent back to the group
	is.Equal(len(other.NextUpdates(waxgossip.ScopeRemote, 10)), 2)
}

// TestUpdatesAreBounded guards against datagrams larger than a frame.
func TestUpdatesAreBounded(t *testing.T) {
	is := is.New(t)
	ix := NewIndex()
	for i := range 100 {
		ix.Record(keyOf(waxfleet.PromptPart{ID: string(rune('a' + i)), Tokens: 1}, ownPart), 7)
	}
	is.Equal(len(ix.NextUpdates(waxgossip.ScopeGroup, 60)), 60)
	is.Equal(len(ix.All()), 100)
}
