package gossip

import "github.com/cespare/xxhash/v2"

const (
	// readers is how many hosts read the store for all.
	readers = 4
	// readerRanks is how many hosts may take over from readers that get no answers.
	// It is bounded, so that not all hosts ask a store that is down.
	readerRanks = 3 * readers
	// smallFleet is the number of hosts up to which each reads for itself.
	smallFleet = 8
)

// ShouldRead reports whether this host reads the store: in a small fleet every host
// does; in a larger one the first in an order that all know, and those next in it
// for each of them that gets no answers. Hosts whose views differ only read more
// often than needed.
func (m *Members) ShouldRead() bool {
	if len(m.live)+1 <= smallFleet {
		return true
	}
	own := rankOf(m.self)
	ahead, reading := 0, 0
	for name, member := range m.live {
		if rankOf(name) >= own {
			continue
		}
		ahead++
		if member.reading {
			reading++
		}
	}
	return ahead < readerRanks && reading < readers
}

func rankOf(host string) uint64 { return xxhash.Sum64String(host) }
