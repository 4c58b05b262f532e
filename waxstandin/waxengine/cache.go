package waxengine

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	maxCacheEvents = 10_000
	maxChats       = 10_000

	// cacheEventLoss is the share of cache events that are never published.
	cacheEventLoss = 0.02
)

// prefixCache holds the blocks of prompts, least recently used first out.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, int]
	chats  *simplelru.LRU[string, []block]
	notify func(key uint64, kind string)
}

func newPrefixCache(capacity int, notify func(key uint64, kind string)) (*prefixCache, error) {
	c := &prefixCache{notify: notify}
	var err error
	c.blocks, err = simplelru.NewLRU(capacity, func(key uint64, _ int) { notify(key, eventEvicted) })
	if err != nil {
		return nil, err
	}
	c.chats, err = simplelru.NewLRU[string, []block](maxChats, nil)
	return c, err
}

// match returns the number of tokens of the longest cached prefix.
func (c *prefixCache) match(blocks []block) int {
	tokens := 0
	for _, b := range blocks {
		if !c.blocks.Contains(b.key) {
			break
		}
		tokens += b.tokens
	}
	return tokens
}

// insert stores a chain. Its end is touched first, because a block is of no use
// without those before it.
func (c *prefixCache) insert(chat string, blocks []block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if _, ok := c.blocks.Get(b.key); ok {
			continue
		}
		c.blocks.Add(b.key, b.tokens)
		c.notify(b.key, eventStored)
	}
	if chat != "" {
		c.chats.Add(chat, blocks)
	}
}

// chain returns the cached part of the newest prompt of a chat.
func (c *prefixCache) chain(chat string) ([]block, bool) {
	blocks, ok := c.chats.Get(chat)
	if !ok {
		return nil, false
	}
	for i, b := range blocks {
		if !c.blocks.Contains(b.key) {
			return blocks[:i], i > 0
		}
	}
	return blocks, true
}

// Kinds of cache events.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)
