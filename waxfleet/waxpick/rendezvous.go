package waxpick

// precedes reports whether a server with a rendezvous weight comes before another one in the
// rendezvous order: by descending weight. Equal weights are ordered by ID, so that all
// instances agree on the order.
func precedes(weight uint64, id string, otherWeight uint64, otherID string) bool {
	if weight != otherWeight {
		return weight > otherWeight
	}
	return id < otherID
}

// rendezvousHeap yields the candidates that are not closed in the rendezvous order for a key.
// The first few are all that a choice needs of many servers, so that they are not sorted.
type rendezvousHeap struct {
	candidates []Candidate
	entries    []heapEntry
}

// heapEntry is the index of a candidate with its rendezvous weight.
type heapEntry struct {
	weight uint64
	index  int32
}

// newRendezvousHeap returns the heap of the candidates for the key.
func newRendezvousHeap(key uint64, candidates []Candidate) *rendezvousHeap {
	h := &rendezvousHeap{candidates: candidates, entries: make([]heapEntry, 0, len(candidates))}
	for i := range candidates {
		if !candidates[i].Closed {
			h.entries = append(h.entries, heapEntry{rendezvousWeight(key, candidates[i].ID), int32(i)})
		}
	}
	for i := len(h.entries)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
	return h
}

// precedes reports whether entry i comes before entry j.
func (h *rendezvousHeap) precedes(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	return precedes(a.weight, h.candidates[a.index].ID, b.weight, h.candidates[b.index].ID)
}

// siftDown restores the heap below entry i.
func (h *rendezvousHeap) siftDown(i int) {
	for {
		first := 2*i + 1
		if first >= len(h.entries) {
			return
		}
		if first+1 < len(h.entries) && h.precedes(first+1, first) {
			first++
		}
		if !h.precedes(first, i) {
			return
		}
		h.entries[i], h.entries[first] = h.entries[first], h.entries[i]
		i = first
	}
}

// pop removes the next candidate of the order, and returns its index and its weight.
func (h *rendezvousHeap) pop() (index int, weight uint64) {
	first, last := h.entries[0], len(h.entries)-1
	h.entries[0] = h.entries[last]
	h.entries = h.entries[:last]
	h.siftDown(0)
	return int(first.index), first.weight
}
