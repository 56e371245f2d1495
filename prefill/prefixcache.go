package prefill

import (
	"container/list"

	"woaddoor/contract"
)

// PrefixCache estimates the contents of one engine's prefix cache,
// which keeps processed parts of prompts.
// All models share the engine's memory, and the least recently used parts are evicted first.
// PrefixCache is not safe for concurrent use; the caller holds a lock.
type PrefixCache struct {
	// capacity is the size of the engine's cache in tokens; zero means unlimited.
	capacity     int
	cachedTokens int
	entries      map[cacheKey]*list.Element
	// lru holds *cacheEntry values, the least recently used first.
	lru list.List
}

// cacheKey identifies a prompt part as processed by a model.
type cacheKey struct {
	model   contract.ModelID
	partKey uint64
}

// cacheEntry is an element of PrefixCache.lru.
// The key of an entry is the zero value for tokens that no other request shares.
type cacheEntry struct {
	key    cacheKey
	tokens int
}

// minPartTokens is the size of the smallest prompt part that is tracked.
// Smaller prompt parts save too little prefill to be worth the memory of a VM.
const minPartTokens = 48

// NewPrefixCache returns the estimate for an engine with an empty cache.
// The argument capacity is the size of the engine's cache in tokens; zero means unlimited.
func NewPrefixCache(capacity int) *PrefixCache {
	return &PrefixCache{capacity: capacity, entries: make(map[cacheKey]*list.Element)}
}

// SetCapacity sets the size of the engine's cache in tokens; zero means unlimited.
func (c *PrefixCache) SetCapacity(capacity int) { c.capacity = capacity }

// CachedTokens returns the number of tokens of a prompt that need no prefill:
// the tokens of the contiguous cached parts at the start of the prompt.
func (c *PrefixCache) CachedTokens(p Prompt) int {
	n := 0
	for _, part := range p.Parts {
		if _, ok := c.entries[cacheKey{p.Model, part.Key}]; !ok && part.Tokens >= minPartTokens {
			break
		}
		n += part.Tokens
	}
	return min(n, p.Tokens)
}

// Insert records that the engine processes a prompt.
// The last part of the prompt is unique to its request,
// so the last part occupies cache memory but is never found again.
func (c *PrefixCache) Insert(p Prompt) {
	shared := 0
	for i, part := range p.Parts {
		if i == len(p.Parts)-1 && i > 0 {
			break
		}
		shared += part.Tokens
		if part.Tokens >= minPartTokens {
			c.use(cacheKey{p.Model, part.Key}, part.Tokens)
		}
	}
	c.addUnshared(max(p.Tokens-shared, 0))
	for c.capacity > 0 && c.cachedTokens > c.capacity {
		c.evict()
	}
}

// use marks a prompt part as the most recently used, and adds the part if it is missing.
func (c *PrefixCache) use(key cacheKey, tokens int) {
	if e, ok := c.entries[key]; ok {
		c.lru.MoveToBack(e)
		return
	}
	c.entries[key] = c.lru.PushBack(&cacheEntry{key, tokens})
	c.cachedTokens += tokens
}

// addUnshared adds tokens that no other request shares. Such tokens only occupy cache memory.
func (c *PrefixCache) addUnshared(tokens int) {
	c.cachedTokens += tokens
	if last := c.lru.Back(); last != nil {
		if e := last.Value.(*cacheEntry); e.key == (cacheKey{}) {
			e.tokens += tokens
			return
		}
	}
	c.lru.PushBack(&cacheEntry{tokens: tokens})
}

// evict removes the least recently used entry.
func (c *PrefixCache) evict() {
	e := c.lru.Remove(c.lru.Front()).(*cacheEntry)
	c.cachedTokens -= e.tokens
	delete(c.entries, e.key)
}
