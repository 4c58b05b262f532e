// Package waxcache tracks which engines have which parts of prompts in their
// prefix caches. It learns this from the requests that this instance sends and
// from the updates of other instances. It does no I/O.
package waxcache

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingdrift.org/waxfleet"
)

const (
	// maxParts limits the parts in the table; the least recently used ones are
	// evicted. An entry takes about 100 bytes.
	maxParts = 20_000
	// maxServersPerPart limits the engines per part. Further ones are ignored: if
	// one engine evicted another, each request would cause an update to all
	// instances.
	maxServersPerPart = 64
	// updateCopies is the number of datagrams that carry each new entry, to
	// tolerate the loss of some.
	updateCopies = 3
	// maxUpdates bounds the queue of entries to send: when it exceeds twice this
	// number, the oldest maxUpdates entries are dropped.
	maxUpdates = 2_000
)

// Entry is a cache entry: an engine has a part of a prompt, with all parts
// before it, in its cache.
type Entry struct {
	// Part is the hash of the part and all parts before it.
	Part uint64
	// Server is the hash of the engine's incarnation.
	Server uint32
}

// Key identifies the shared parts of a prompt: one hash per part, each over the
// parts up to it.
type Key struct {
	parts  []uint64
	tokens []int
}

// NewKey returns the key of a prompt. It leaves out the last part, which no
// other request shares.
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

// Tokens returns the length of all shared parts in tokens.
func (k Key) Tokens() int {
	n := 0
	for _, t := range k.tokens {
		n += t
	}
	return n
}

// Hash returns the hash of all shared parts, 0 without any.
func (k Key) Hash() uint64 {
	if k.Empty() {
		return 0
	}
	return k.parts[len(k.parts)-1]
}

// ServerHash returns the hash of an incarnation of an engine. born is its start
// time.
func ServerHash(id string, born int64) uint32 {
	var b [8]byte
	for i := range b {
		b[i] = byte(born >> (8 * i))
	}
	return uint32(xxhash.Sum64(append([]byte(id), b[:]...)))
}

// Index is the table of cache entries. It is safe for concurrent use.
type Index struct {
	mu      sync.Mutex
	parts   *lru.Cache[uint64, []uint32]
	updates [scopeCount][]pendingUpdate
}

// Scope selects the instances that an update is sent to.
type Scope int

// Scopes of an update.
const (
	// ScopeGroup selects the instances that exchange datagrams directly.
	ScopeGroup Scope = iota
	// ScopeRemote selects the other failure domains of a large fleet.
	ScopeRemote
	scopeCount = 2
)

// pendingUpdate is an entry to send to other instances.
type pendingUpdate struct {
	entry      Entry
	copiesLeft int
}

// NewIndex returns an empty table.
func NewIndex() *Index {
	parts, err := lru.New[uint64, []uint32](maxParts)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &Index{parts: parts}
}

// CachedTokens returns how many tokens at the start of the prompt each engine has
// cached, by the hash of its incarnation. An engine with a part also has the
// parts before it, because it prefilled them together.
func (h *Index) CachedTokens(k Key) map[uint32]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[uint32]int{}
	tokens := 0
	for i, part := range k.parts {
		tokens += k.tokens[i]
		servers, _ := h.parts.Get(part)
		for _, server := range servers {
			out[server] = tokens
		}
	}
	return out
}

// Record records that the prompt was sent to an engine, which has its shared
// parts cached from then on. It reports whether there are updates for other
// instances.
func (h *Index) Record(k Key, server uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	for _, part := range k.parts {
		if h.add(Entry{Part: part, Server: server}) {
			h.enqueue(ScopeGroup, Entry{Part: part, Server: server})
			h.enqueue(ScopeRemote, Entry{Part: part, Server: server})
			changed = true
		}
	}
	return changed
}

// Merge adds an entry received from another instance. If it is new, Merge
// queues it for the scope and returns true.
func (h *Index) Merge(entry Entry, scope Scope) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.add(entry) {
		return false
	}
	h.enqueue(scope, entry)
	return true
}

// enqueue queues an entry for the next datagrams. The caller holds the lock.
func (h *Index) enqueue(scope Scope, entry Entry) {
	h.updates[scope] = append(h.updates[scope], pendingUpdate{entry: entry, copiesLeft: updateCopies})
	if len(h.updates[scope]) > 2*maxUpdates {
		h.updates[scope] = slices.Clone(h.updates[scope][maxUpdates:])
	}
}

// add adds an entry and reports whether it was new. The caller holds the lock.
func (h *Index) add(entry Entry) bool {
	servers, _ := h.parts.Get(entry.Part)
	if slices.Contains(servers, entry.Server) {
		return false
	}
	if len(servers) >= maxServersPerPart {
		return false
	}
	h.parts.Add(entry.Part, append(slices.Clone(servers), entry.Server))
	return true
}

// Remove drops the entries of an engine incarnation that has ended.
func (h *Index) Remove(server uint32) {
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

// NextUpdates returns at most limit entries for the next datagram of the scope.
func (h *Index) NextUpdates(scope Scope, limit int) []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	queue := h.updates[scope]
	n := min(limit, len(queue))
	out := make([]Entry, 0, n)
	kept := make([]pendingUpdate, 0, len(queue))
	for i, v := range queue {
		if i < n {
			out = append(out, v.entry)
			v.copiesLeft--
		}
		if v.copiesLeft > 0 {
			kept = append(kept, v)
		}
	}
	h.updates[scope] = kept
	return out
}

// All returns all entries, for an instance that has just started.
func (h *Index) All() []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Entry
	for _, part := range h.parts.Keys() {
		servers, _ := h.parts.Peek(part)
		for _, server := range servers {
			out = append(out, Entry{Part: part, Server: server})
		}
	}
	return out
}
