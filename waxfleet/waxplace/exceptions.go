package waxplace

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// Exceptions maps each chat to its backend server, unless that is the first
// server in rendezvous order. It is a bounded LRU cache; an evicted chat falls
// back to rendezvous hashing. It is safe for concurrent use.
type Exceptions struct {
	cache *lru.Cache[string, string]
}

// NewExceptions returns an empty table with a capacity of size entries; a size
// below 1 counts as 1.
func NewExceptions(size int) *Exceptions {
	cache, err := lru.New[string, string](max(size, 1))
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &Exceptions{cache: cache}
}

// Server returns the backend server of the chat, and whether the chat has an
// exception.
func (e *Exceptions) Server(chatKey string) (string, bool) { return e.cache.Get(chatKey) }

// Set records the backend server of a chat. If server is first, the first
// server in rendezvous order, Set removes the entry.
func (e *Exceptions) Set(chatKey, server, first string) {
	if server == first {
		e.cache.Remove(chatKey)
		return
	}
	e.cache.Add(chatKey, server)
}

// Len returns the number of entries.
func (e *Exceptions) Len() int { return e.cache.Len() }
