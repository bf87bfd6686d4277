package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
)

// Partitions keep prompts apart that harm each other. While an engine processes a long
// prompt, each of its steps takes longer, and the streams beside it pause for as long as
// the steps of one event take together: the longer the prompt, the longer the pause.
//
// The partitions of a service follow from a hash of its endpoints' IDs, so that all hosts
// find the same. Hosts whose lists of endpoints differ for a while send a prefix where it
// was sent before, which costs little.
//
// The figures depend on how many tokens an event holds and how fast the engines are. They
// were measured on pwhc-shared and mfs-kochi (9 engines each, 4 and 7 tokens an event);
// a deployment with shorter prompts or faster engines needs less of a partition.
const (
	// deepPrefix is the length, in tokens, from which a shared prefix belongs to the deep
	// partition. Measured (c4df97d, sum of worth of six days on the two sites, before it
	// 4.94 and 4.99): 14,000 gave 5.04 and 5.04; 12,000 gave 4.83 and 4.87; 17,000 gave
	// 4.84 and 4.85 (the latter two with a share of 0.34 and 0.23).
	deepPrefix = 14000
	// deepShare is the share of the endpoints in the deep partition. Measured with
	// deepPrefix: 0.34 gave 5.00 and 4.96, 0.45 gave 5.04 and 5.04, 0.56 gave 4.96 and 5.02.
	deepShare = 0.45
	// shortShare is the share of the endpoints in the short partition while it is open (see
	// lateness.go). Measured on scale-2 of mfs-kochi-grown (24226be, worth): none 0.60,
	// 0.15 gave 0.63, 0.25 gave 0.69.
	shortShare = 0.25
	// mixingCost is what a short prompt accepts, in prompt tokens, to run apart from long
	// ones. Measured with deepPrefix: 4,000 gave 5.04 and 5.04, 8,000 gave 5.02 and 5.05,
	// 16,000 gave 5.01 and 5.05; 5,000 was chosen between them.
	mixingCost = 5000
)

// partition is which prompts an endpoint is for.
type partition int

const (
	// partitionShared is for shared prefixes below deepPrefix, and for short prompts while
	// there is no short partition.
	partitionShared partition = iota
	// partitionDeep is for shared prefixes from deepPrefix on.
	partitionDeep
	// partitionShort is for prompts without a shared prefix worth keeping.
	partitionShort
)

// partitionsOf assigns the endpoints of a service to partitions, by endpoint ID.
func partitionsOf(endpoints []*directory.Entry, shortOpen bool) map[string]partition {
	ordered := slices.Clone(endpoints)
	slices.SortFunc(ordered, func(a, b *directory.Entry) int {
		return cmp.Compare(mix(xxhash.Sum64String(a.ID)), mix(xxhash.Sum64String(b.ID)))
	})
	deep := int(float64(len(ordered)) * deepShare)
	short := 0
	if shortOpen && len(ordered) > 2 {
		short = int(math.Ceil(float64(len(ordered)) * shortShare))
	}
	partitions := make(map[string]partition, len(ordered))
	for i, e := range ordered {
		switch {
		case i < deep:
			partitions[e.ID] = partitionDeep
		case i >= len(ordered)-short:
			partitions[e.ID] = partitionShort
		default:
			partitions[e.ID] = partitionShared
		}
	}
	return partitions
}

// cachedPartitions is the result of partitionsOf for one service.
type cachedPartitions struct {
	// endpoints is the list that they were found for. The directory makes a new list for
	// each of its revisions.
	endpoints  []*directory.Entry
	shortOpen  bool
	partitions map[string]partition
}

// partitionCache holds the partitions of each service until its endpoints change.
type partitionCache map[string]cachedPartitions

func (c partitionCache) get(service string, endpoints []*directory.Entry, shortOpen bool) map[string]partition {
	cached := c[service]
	same := len(cached.endpoints) == len(endpoints) && len(endpoints) > 0 && &cached.endpoints[0] == &endpoints[0]
	if !same || cached.shortOpen != shortOpen {
		cached = cachedPartitions{endpoints: endpoints, shortOpen: shortOpen, partitions: partitionsOf(endpoints, shortOpen)}
		c[service] = cached
	}
	return cached.partitions
}

// inPartition returns the candidates of a partition, or all if there are none.
func inPartition(wanted partition, partitions map[string]partition, candidates []*directory.Entry) []*directory.Entry {
	in := keep(candidates, func(e *directory.Entry) bool { return partitions[e.ID] == wanted })
	if len(in) == 0 {
		return candidates
	}
	return in
}
