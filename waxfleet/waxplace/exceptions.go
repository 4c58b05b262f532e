package waxplace

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// Exceptions remembers the chats that are not at their first rendezvous choice.
// It is bounded; the least recently used entry goes first, and its chat falls
// back to hashing. It is safe for concurrent use.
type Exceptions struct {
	cache *lru.Cache[string, string]
}

// NewExceptions returns a table of at most size entries; size is at least 1.
func NewExceptions(size int) *Exceptions {
	cache, err := lru.New[string, string](max(size, 1))
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &Exceptions{cache: cache}
}

// Holder returns the backend server that holds the chat, if it is an exception.
func (e *Exceptions) Holder(chatKey string) (string, bool) { return e.cache.Get(chatKey) }

// Set records the holder of a chat. A chat at its first choice needs no entry.
func (e *Exceptions) Set(chatKey, holder, first string) {
	if holder == first {
		e.cache.Remove(chatKey)
		return
	}
	e.cache.Add(chatKey, holder)
}

// Len returns the number of entries.
func (e *Exceptions) Len() int { return e.cache.Len() }
