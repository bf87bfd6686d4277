package emulator

import (
	"container/list"

	"oxbowslip.dev/oxbowslip/internal/daemon/prefix"
)

// prefixCache is an LRU cache of prompt prefixes. An entry stands for prefix.TokensPerPart tokens.
type prefixCache struct {
	entries map[uint64]*list.Element
	recent  *list.List
}

func newPrefixCache() *prefixCache {
	return &prefixCache{entries: make(map[uint64]*list.Element), recent: list.New()}
}

// match returns the number of leading hashes that are in the cache.
func (c *prefixCache) match(hashes []uint64) int {
	for i, hash := range hashes {
		element, ok := c.entries[hash]
		if !ok {
			return i
		}
		c.recent.MoveToFront(element)
	}
	return len(hashes)
}

func (c *prefixCache) put(hashes []uint64) {
	// Longer prefixes are evicted first, so they are added first.
	for i := len(hashes) - 1; i >= 0; i-- {
		hash := hashes[i]
		if element, ok := c.entries[hash]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.entries[hash] = c.recent.PushFront(hash)
	}
}

// shrink evicts the least recently used entries until the others fit into the given number of tokens.
func (c *prefixCache) shrink(tokens int) {
	for c.recent.Len()*prefix.TokensPerPart > max(tokens, 0) && c.recent.Len() > 0 {
		hash := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.entries, hash)
	}
}
