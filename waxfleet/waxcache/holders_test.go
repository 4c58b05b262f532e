package waxcache

import (
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

func prompt(parts ...waxfleet.PromptPart) Key { return NewKey(parts) }

var (
	school = waxfleet.PromptPart{ID: "school", Tokens: 2500}
	letter = waxfleet.PromptPart{ID: "letter", Tokens: 6000}
	memo   = waxfleet.PromptPart{ID: "memo", Tokens: 700}
	own    = waxfleet.PromptPart{ID: "own", Tokens: 300}
)

// TestHeld guards against a part that counts as held although the parts before
// it are not, and against prompts that are told apart by their own part.
func TestHeld(t *testing.T) {
	is := is.New(t)
	h := NewHolders()
	a, b := ServerHash("engine-1", 1), ServerHash("engine-2", 1)
	is.True(h.Record(prompt(school, letter, own), a))
	is.True(!h.Record(prompt(school, letter, memo), a)) // the last part belongs to the request alone
	h.Record(prompt(school, memo, own), b)

	is.Equal(h.Held(prompt(school, letter, own)), map[uint32]int{a: 8500, b: 2500})
	is.Equal(h.Held(prompt(school, memo, own)), map[uint32]int{a: 2500, b: 3200})
	is.Equal(len(h.Held(prompt(letter, memo, own))), 0) // a part counts with those before it
	is.Equal(len(h.Held(prompt(own))), 0)
	is.Equal(prompt(school, letter, own).Tokens(), 8500)

	h.Lost(a)
	is.Equal(h.Held(prompt(school, letter, own)), map[uint32]int{b: 2500})
}

// TestManyHolders guards against a leading part that so many engines hold that
// the table forgets one for the other, takes them for news again and again, and
// loses sight of the parts after it. Found on a fleet with 60 engines, where it
// kept all instances busy and had shared parts read again.
func TestManyHolders(t *testing.T) {
	is := is.New(t)
	h := NewHolders()
	const engines = maxHolders + 20
	news := 0
	for range 3 {
		for s := range uint32(engines) {
			one := waxfleet.PromptPart{ID: "own-of-engine", Tokens: int(s)}
			if h.Record(prompt(school, waxfleet.PromptPart{ID: string(rune('A' + s)), Tokens: 6000}, one), s) {
				news++
			}
		}
	}
	is.Equal(news, engines)
	last := prompt(school, waxfleet.PromptPart{ID: string(rune('A' + engines - 1)), Tokens: 6000}, own)
	is.Equal(h.Held(last)[engines-1], 8500)
}

// TestIncarnations guards against holdings of an engine that has restarted under
// its name and holds nothing.
func TestIncarnations(t *testing.T) {
	is := is.New(t)
	is.True(ServerHash("engine-1", 1) != ServerHash("engine-1", 2))
}

// TestUpdates guards against a holding that peers never learn of because one
// datagram was lost, and against telling it forever.
func TestUpdates(t *testing.T) {
	is := is.New(t)
	h := NewHolders()
	h.Record(prompt(school, letter, own), 7)
	for range updateCopies {
		is.Equal(len(h.Updates(ToGroup, 10)), 2)
	}
	is.Equal(len(h.Updates(ToGroup, 10)), 0)

	other := NewHolders()
	for _, v := range h.All() {
		is.True(other.Merge(v, ToRemote))
	}
	is.Equal(other.Held(prompt(school, letter, own)), h.Held(prompt(school, letter, own)))
	is.Equal(len(other.Updates(ToGroup, 10)), 0) // what the group told is not told the group
	is.Equal(len(other.Updates(ToRemote, 10)), 2)
}

// TestUpdatesAreBounded guards against datagrams that grow beyond a frame.
func TestUpdatesAreBounded(t *testing.T) {
	is := is.New(t)
	h := NewHolders()
	for i := range 100 {
		h.Record(prompt(waxfleet.PromptPart{ID: string(rune('a' + i)), Tokens: 1}, own), 7)
	}
	is.Equal(len(h.Updates(ToGroup, 60)), 60)
	is.Equal(len(h.All()), 100)
}
