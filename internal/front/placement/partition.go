package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pace"
)

// Partitions separate prompts that harm each other: some endpoints of a service are reserved for short prompts, the
// others take all. Package engine decides the number of reserved endpoints. A hash of the endpoints' IDs selects them,
// so that all hosts reserve the same ones, and hosts that differ in the number differ in few endpoints. Fast endpoints
// are reserved first and slow ones last: the slower an endpoint, the longer streams pause there.

// shortSet holds the IDs of the endpoints of a service that are reserved for short prompts.
type shortSet map[string]bool

// shortSetOf selects a number of endpoints by the hash of their IDs, the fastest first.
func shortSetOf(endpoints []*directory.Entry, number int, speeds map[keys.Endpoint]pace.Speed) shortSet {
	speed := func(e *directory.Entry) pace.Speed { return speeds[keys.OfEndpoint(e.ID)] }
	ordered := slices.Clone(endpoints)
	slices.SortFunc(ordered, func(a, b *directory.Entry) int {
		return cmp.Or(cmp.Compare(speed(a), speed(b)), cmp.Compare(keys.MixBits(xxhash.Sum64String(a.ID)), keys.MixBits(xxhash.Sum64String(b.ID))))
	})
	set := make(shortSet, number)
	for _, e := range ordered[:min(number, len(ordered))] {
		set[e.ID] = true
	}
	return set
}

// cachedSet is a result of shortSetOf for one service.
type cachedSet struct {
	// endpoints is the list from which the set was selected. The directory creates a new list for each of its
	// revisions.
	endpoints []*directory.Entry
	number    int
	// speedRevision is the revision of the speeds by which the set was selected.
	speedRevision uint64
	set           shortSet
}

// partitionCache holds the short set of each service until its endpoints, their number or their speeds change.
type partitionCache map[string]cachedSet

func (c partitionCache) get(service string, endpoints []*directory.Entry, number int, p Pace) shortSet {
	cached, speedRevision := c[service], p.SpeedRevision()
	same := len(cached.endpoints) == len(endpoints) && len(endpoints) > 0 && &cached.endpoints[0] == &endpoints[0]
	if !same || cached.number != number || cached.speedRevision != speedRevision {
		cached = cachedSet{endpoints: endpoints, number: number, speedRevision: speedRevision, set: shortSetOf(endpoints, number, p.Speeds())}
		c[service] = cached
	}
	return cached.set
}

// inPartition returns the candidates inside or outside of the short set, or all candidates if there is none.
func inPartition(short bool, set shortSet, candidates []*directory.Entry) []*directory.Entry {
	in := filter(candidates, func(e *directory.Entry) bool { return set[e.ID] == short })
	if len(in) == 0 {
		return candidates
	}
	return in
}
