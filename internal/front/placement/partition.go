package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
)

// Partitions keep prompts apart that harm each other: some endpoints of a service are for short
// prompts, the others for all. How many is decided in package engine; which follows from a hash of the
// endpoints' IDs, so that all hosts find the same, and hosts that differ in the number differ in few
// endpoints.

// shortSet is the endpoints of a service that are kept for short prompts, by ID.
type shortSet map[string]bool

// shortSetOf picks a number of endpoints.
func shortSetOf(endpoints []*directory.Entry, number int) shortSet {
	ordered := slices.Clone(endpoints)
	slices.SortFunc(ordered, func(a, b *directory.Entry) int {
		return cmp.Compare(mix(xxhash.Sum64String(a.ID)), mix(xxhash.Sum64String(b.ID)))
	})
	set := make(shortSet, number)
	for _, e := range ordered[:min(number, len(ordered))] {
		set[e.ID] = true
	}
	return set
}

// cachedSet is the result of shortSetOf for one service.
type cachedSet struct {
	// endpoints is the list that it was found for. The directory makes a new list for each of its
	// revisions.
	endpoints []*directory.Entry
	number    int
	set       shortSet
}

// partitionCache holds the short set of each service until its endpoints or their number change.
type partitionCache map[string]cachedSet

func (c partitionCache) get(service string, endpoints []*directory.Entry, number int) shortSet {
	cached := c[service]
	same := len(cached.endpoints) == len(endpoints) && len(endpoints) > 0 && &cached.endpoints[0] == &endpoints[0]
	if !same || cached.number != number {
		cached = cachedSet{endpoints: endpoints, number: number, set: shortSetOf(endpoints, number)}
		c[service] = cached
	}
	return cached.set
}

// inPartition returns the candidates that are in the short set, or not in it, or all if there are none.
func inPartition(short bool, set shortSet, candidates []*directory.Entry) []*directory.Entry {
	in := keep(candidates, func(e *directory.Entry) bool { return set[e.ID] == short })
	if len(in) == 0 {
		return candidates
	}
	return in
}
