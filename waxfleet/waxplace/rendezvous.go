// Package waxplace selects the backend server for a chat by rendezvous hashing
// with bounded loads. It does no I/O, reads no clock and draws no random
// numbers, so that the router and the load tests run the same code.
package waxplace

import (
	"cmp"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the rendezvous weight of a server for a key, given the hashes
// of both. It mixes them with the finalizer of splitmix64: a plain XOR would
// rank similar ids alike.
func Weight(key, id uint64) uint64 {
	x := key ^ (id + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// CompareByHash compares names by their hash, and names with equal hashes by
// name. All instances thus agree on an order that doesn't depend on the
// alphabet.
func CompareByHash(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// Rank returns the ids by descending rendezvous weight for the key. Equal
// weights are ordered by id, so that all instances agree.
func Rank(key string, ids []string) []string {
	type entry struct {
		id     string
		weight uint64
	}
	k := xxhash.Sum64String(key)
	entries := make([]entry, len(ids))
	for i, id := range ids {
		entries[i] = entry{id: id, weight: Weight(k, xxhash.Sum64String(id))}
	}
	sort.Slice(entries, func(i, j int) bool {
		if entries[i].weight != entries[j].weight {
			return entries[i].weight > entries[j].weight
		}
		return entries[i].id < entries[j].id
	})
	ranked := make([]string, len(entries))
	for i, e := range entries {
		ranked[i] = e.id
	}
	return ranked
}

// First returns the first id of Rank in linear time, or "" if there are no ids.
func First(key string, ids []string) string {
	k := xxhash.Sum64String(key)
	best, bestWeight := "", uint64(0)
	for _, id := range ids {
		w := Weight(k, xxhash.Sum64String(id))
		if best == "" || w > bestWeight || (w == bestWeight && id < best) {
			best, bestWeight = id, w
		}
	}
	return best
}
