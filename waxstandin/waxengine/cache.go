package waxengine

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	maxCacheEvents = 10_000
	maxChats       = 10_000

	// cacheEventLossRate is the share of cache events that are lost, from 0 to 1.
	cacheEventLossRate = 0.02
)

// prefixCache is an LRU cache of prompt blocks. It calls notify for each block that is
// stored or evicted. chats holds the blocks of the latest prompt of each chat.
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

// cachedTokens returns the number of tokens in the longest cached prefix.
func (c *prefixCache) cachedTokens(blocks []block) int {
	tokens := 0
	for _, b := range blocks {
		if !c.blocks.Contains(b.key) {
			break
		}
		tokens += b.tokens
	}
	return tokens
}

// insert stores the blocks of a prompt, the last one first. The cache therefore evicts
// the last one first: a block is useless without its predecessors.
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

// cachedPrefix returns the cached prefix of the latest prompt of a chat. It returns false
// if nothing is cached.
func (c *prefixCache) cachedPrefix(chat string) ([]block, bool) {
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

// Cache event kinds.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)
