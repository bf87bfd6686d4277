package schedule

import (
	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/prefix"
)

// maxPrefixes bounds the prefixes stored for a shard, to less than a megabyte of memory.
const maxPrefixes = 1 << 14

// prefixTable stores, for each prefix, the endpoint that was last sent a prompt with it. It approximates the
// caches of the endpoints: a wrong entry only costs time. Two generations bound its size. When the current
// one is full, it replaces the previous one, whose entries are discarded.
type prefixTable struct {
	current  map[uint64]*endpoint
	previous map[uint64]*endpoint
}

func newPrefixTable() *prefixTable {
	return &prefixTable{current: make(map[uint64]*endpoint), previous: make(map[uint64]*endpoint)}
}

func (t *prefixTable) holder(hash uint64) *endpoint {
	if e, ok := t.current[hash]; ok {
		return e
	}
	return t.previous[hash]
}

// cachedPrefix is the longest prefix of a prompt that an endpoint probably has in its cache. The zero value
// means that there is none.
type cachedPrefix struct {
	holder *endpoint
	tokens int
}

// longestPrefix returns the longest known prefix of a prompt and the endpoint that it was sent to.
func (t *prefixTable) longestPrefix(r *admission.Request) cachedPrefix {
	for i := len(r.Prefix) - 1; i >= 0; i-- {
		if e := t.holder(r.Prefix[i]); e != nil {
			return cachedPrefix{e, min((i+1)*prefix.TokensPerPart, r.PromptTokens)}
		}
	}
	return cachedPrefix{}
}

// record records that a prompt is sent to an endpoint.
func (t *prefixTable) record(r *admission.Request, e *endpoint) {
	for _, hash := range r.Prefix {
		t.put(hash, e)
	}
}

func (t *prefixTable) put(hash uint64, e *endpoint) {
	if len(t.current) >= maxPrefixes/2 {
		t.previous, t.current = t.current, make(map[uint64]*endpoint, maxPrefixes/2)
	}
	t.current[hash] = e
}
