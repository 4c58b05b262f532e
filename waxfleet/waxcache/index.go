// Package waxcache tracks which engines have which parts of prompts in their prefix
// caches. It derives this from the requests that this instance sends and from the updates
// of other instances. It does no I/O.
package waxcache

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxgossip"
)

const (
	// maxParts is the maximum number of parts in the index. The least recently used part
	// is evicted. A part takes about 100 bytes.
	maxParts = 20_000
	// maxServersPerPart is the maximum number of engines per part. Further engines are
	// ignored: if one evicted another, each request would cause an update to all
	// instances.
	maxServersPerPart = 64
)

// Entry is a cache entry: an engine has a part of a prompt and all parts before it in its
// prefix cache.
type Entry struct {
	// Part is the hash of the part and all parts before it.
	Part uint64
	// Server is the IncarnationHash of the engine.
	Server uint32
}

// Key identifies the shared parts of a prompt. It has one hash per part, over the part
// and all parts before it.
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

// SharedTokens returns the length of all shared parts in tokens.
func (k Key) SharedTokens() int {
	n := 0
	for _, t := range k.tokens {
		n += t
	}
	return n
}

// Hash returns the hash of all shared parts; 0 if there are none.
func (k Key) Hash() uint64 {
	if k.Empty() {
		return 0
	}
	return k.parts[len(k.parts)-1]
}

// IncarnationHash returns the hash of an incarnation of an engine, which started at
// startUnixMilli.
func IncarnationHash(id string, startUnixMilli int64) uint32 {
	var b [8]byte
	for i := range b {
		b[i] = byte(startUnixMilli >> (8 * i))
	}
	return uint32(xxhash.Sum64(append([]byte(id), b[:]...)))
}

// Index holds the known cache entries of all engines. It is safe for concurrent use.
type Index struct {
	mu      sync.Mutex
	parts   *lru.Cache[uint64, []uint32]
	updates waxgossip.Queue[Entry]
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	parts, err := lru.New[uint64, []uint32](maxParts)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &Index{parts: parts}
}

// CachedTokens returns the number of tokens at the start of the prompt that each engine
// has cached, by IncarnationHash. An engine with a part also has the parts before it,
// because it prefilled them together.
func (ix *Index) CachedTokens(k Key) map[uint32]int { return ix.cachedTokens(k, ix.parts.Get) }

// PeekCachedTokens is CachedTokens, but does not count as a use of the parts.
func (ix *Index) PeekCachedTokens(k Key) map[uint32]int { return ix.cachedTokens(k, ix.parts.Peek) }

func (ix *Index) cachedTokens(k Key, get func(uint64) ([]uint32, bool)) map[uint32]int {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	out := map[uint32]int{}
	tokens := 0
	for i, part := range k.parts {
		tokens += k.tokens[i]
		servers, _ := get(part)
		for _, server := range servers {
			out[server] = tokens
		}
	}
	return out
}

// Record records that the prompt was sent to an engine, which then has the shared parts
// cached. It reports whether there are updates for other instances.
func (ix *Index) Record(k Key, server uint32) bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	changed := false
	for _, part := range k.parts {
		if ix.add(Entry{Part: part, Server: server}) {
			ix.updates.AddAll(Entry{Part: part, Server: server})
			changed = true
		}
	}
	return changed
}

// Merge adds an entry received from another instance. If the entry is new, Merge queues
// it for the scope and returns true.
func (ix *Index) Merge(entry Entry, scope waxgossip.Scope) bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if !ix.add(entry) {
		return false
	}
	ix.updates.Add(scope, entry)
	return true
}

// add adds an entry and reports whether it was new. The caller holds the lock.
func (ix *Index) add(entry Entry) bool {
	servers, _ := ix.parts.Get(entry.Part)
	if slices.Contains(servers, entry.Server) {
		return false
	}
	if len(servers) >= maxServersPerPart {
		return false
	}
	ix.parts.Add(entry.Part, append(slices.Clone(servers), entry.Server))
	return true
}

// Remove drops the entries of an engine incarnation that has stopped.
func (ix *Index) Remove(server uint32) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	for _, part := range ix.parts.Keys() {
		servers, ok := ix.parts.Peek(part)
		if !ok || !slices.Contains(servers, server) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(servers), func(s uint32) bool { return s == server })
		if len(rest) == 0 {
			ix.parts.Remove(part)
			continue
		}
		ix.parts.Add(part, rest)
	}
}

// NextUpdates returns at most limit entries for the next datagram of the scope.
func (ix *Index) NextUpdates(scope waxgossip.Scope, limit int) []Entry {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.updates.Next(scope, limit)
}

// All returns all entries, for an instance that has just started.
func (ix *Index) All() []Entry {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	var out []Entry
	for _, part := range ix.parts.Keys() {
		servers, _ := ix.parts.Peek(part)
		for _, server := range servers {
			out = append(out, Entry{Part: part, Server: server})
		}
	}
	return out
}
