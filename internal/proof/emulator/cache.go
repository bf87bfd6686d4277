package emulator

import (
	"container/list"

	"oxbowslip.dev/oxbowslip/internal/daemon/prefix"
)

// prefixCache holds the prefixes of prompts that were read, the least recently
// used first to go. One entry stands for prefix.TokensPerPart
// tokens.
type prefixCache struct {
	entries map[uint64]*list.Element
	recent  *list.List
}

func newPrefixCache() *prefixCache {
	return &prefixCache{entries: make(map[uint64]*list.Element), recent: list.New()}
}

// match counts the leading entries that are in the cache.
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
	// The longest part is the first to go, so it is put in first.
	for i := len(hashes) - 1; i >= 0; i-- {
		hash := hashes[i]
		if element, ok := c.entries[hash]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.entries[hash] = c.recent.PushFront(hash)
	}
}

// shrink drops the least recently used entries until the rest fits.
func (c *prefixCache) shrink(tokens int) {
	for c.recent.Len()*prefix.TokensPerPart > max(tokens, 0) && c.recent.Len() > 0 {
		hash := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.entries, hash)
	}
}
