// Package waxcache remembers which engines hold which parts of prompts, from the
// requests that this instance has sent and from what other instances tell. It
// does no I/O.
package waxcache

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingdrift.org/waxfleet"
)

const (
	// maxParts bounds the remembered parts; the least recently used go first. An
	// entry has about 100 bytes.
	maxParts = 20_000
	// maxHolders bounds the engines remembered for one part. More are not noted:
	// replacing one by another would be news for all instances at each request.
	maxHolders = 64
	// updateCopies is the number of datagrams that carry a new holding, so that a few
	// lost ones do no harm.
	updateCopies = 3
	// maxUpdates bounds the holdings that wait to be sent: the oldest go first when
	// twice as many wait.
	maxUpdates = 2_000
)

// Holding says that an engine holds a part of a prompt.
type Holding struct {
	// Part is the hash of the part and all parts before it.
	Part uint64
	// Server is the hash of the engine's incarnation.
	Server uint32
}

// Key is a prompt's shared parts in order, each hashed with those before it.
type Key struct {
	parts  []uint64
	tokens []int
}

// NewKey returns the key of a prompt. The last part belongs to the request alone
// and is left out.
func NewKey(parts []waxfleet.PromptPart) Key {
	var k Key
	d := xxhash.New()
	for i := 0; i+1 < len(parts); i++ {
		_, _ = d.WriteString(parts[i].ID)
		_, _ = d.WriteString("\x00")
		k.parts = append(k.parts, d.Sum64())
		k.tokens = append(k.tokens, parts[i].Tokens)
	}
	return k
}

// Empty reports whether the prompt has no shared part.
func (k Key) Empty() bool { return len(k.parts) == 0 }

// Tokens returns the tokens of the shared parts.
func (k Key) Tokens() int {
	n := 0
	for _, t := range k.tokens {
		n += t
	}
	return n
}

// Whole returns the hash of all shared parts.
func (k Key) Whole() uint64 {
	if k.Empty() {
		return 0
	}
	return k.parts[len(k.parts)-1]
}

// ServerHash returns the hash of an incarnation of an engine.
func ServerHash(id string, born int64) uint32 {
	var b [8]byte
	for i := range b {
		b[i] = byte(born >> (8 * i))
	}
	return uint32(xxhash.Sum64(append([]byte(id), b[:]...)))
}

// Holders is the table of holdings. It is safe for concurrent use.
type Holders struct {
	mu      sync.Mutex
	parts   *lru.Cache[uint64, []uint32]
	updates [scopes][]update
}

// Scope says to whom holdings are sent.
type Scope int

// Scopes.
const (
	// ToGroup are the instances that exchange datagrams directly.
	ToGroup Scope = iota
	// ToRemote are the other failure domains of a large fleet.
	ToRemote
	scopes = 2
)

// update is a holding that is still to be sent to other instances.
type update struct {
	holding Holding
	left    int
}

// NewHolders returns an empty table.
func NewHolders() *Holders {
	parts, err := lru.New[uint64, []uint32](maxParts)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &Holders{parts: parts}
}

// Held returns the tokens of the prompt's beginning that each engine holds, by
// the hash of its incarnation. An engine that holds a part holds those before it,
// because it has read them together.
func (h *Holders) Held(k Key) map[uint32]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[uint32]int{}
	tokens := 0
	for i, part := range k.parts {
		tokens += k.tokens[i]
		servers, _ := h.parts.Get(part)
		for _, s := range servers {
			out[s] = tokens
		}
	}
	return out
}

// Record notes that the prompt was sent to an engine, which holds its shared parts
// from then on. It reports whether other instances have to learn of it.
func (h *Holders) Record(k Key, server uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	isNews := false
	for _, part := range k.parts {
		if h.add(Holding{Part: part, Server: server}) {
			h.queue(ToGroup, Holding{Part: part, Server: server})
			h.queue(ToRemote, Holding{Part: part, Server: server})
			isNews = true
		}
	}
	return isNews
}

// Merge notes a holding from another instance, and queues it for the scope if it
// was unknown. It reports whether it was.
func (h *Holders) Merge(holding Holding, scope Scope) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.add(holding) {
		return false
	}
	h.queue(scope, holding)
	return true
}

// queue keeps a holding for the next datagrams; the oldest go first when too many
// wait. The caller holds the lock.
func (h *Holders) queue(scope Scope, holding Holding) {
	h.updates[scope] = append(h.updates[scope], update{holding: holding, left: updateCopies})
	if len(h.updates[scope]) > 2*maxUpdates {
		h.updates[scope] = slices.Clone(h.updates[scope][maxUpdates:])
	}
}

// add reports whether the holding was unknown.
func (h *Holders) add(holding Holding) bool {
	servers, _ := h.parts.Get(holding.Part)
	if slices.Contains(servers, holding.Server) {
		return false
	}
	if len(servers) >= maxHolders {
		return false
	}
	h.parts.Add(holding.Part, append(slices.Clone(servers), holding.Server))
	return true
}

// Lost drops the holdings of an engine's incarnation that has ended.
func (h *Holders) Lost(server uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, part := range h.parts.Keys() {
		servers, ok := h.parts.Peek(part)
		if !ok || !slices.Contains(servers, server) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(servers), func(s uint32) bool { return s == server })
		if len(rest) == 0 {
			h.parts.Remove(part)
			continue
		}
		h.parts.Add(part, rest)
	}
}

// Updates returns at most limit holdings for the next datagram of a scope.
func (h *Holders) Updates(scope Scope, limit int) []Holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	waiting := h.updates[scope]
	n := min(limit, len(waiting))
	out := make([]Holding, 0, n)
	kept := make([]update, 0, len(waiting))
	for i, v := range waiting {
		if i < n {
			out = append(out, v.holding)
			v.left--
		}
		if v.left > 0 {
			kept = append(kept, v)
		}
	}
	h.updates[scope] = kept
	return out
}

// All returns every holding, for an instance that has just started.
func (h *Holders) All() []Holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Holding
	for _, part := range h.parts.Keys() {
		servers, _ := h.parts.Peek(part)
		for _, s := range servers {
			out = append(out, Holding{Part: part, Server: s})
		}
	}
	return out
}
