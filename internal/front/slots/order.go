package slots

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The order of the queue, first to last: the rank, a workspace that is short of grants (service.isShort), returns at the
// promised time, requests that may not be repeated, the fairness between workspaces (start-time fair queueing by
// weight), the least time left until the target, and the arrival. The last group that waits in the first rank goes before
// the other groups while it is short of grants (service.isGroupShort). Except for workspaces and groups that are short,
// the order changes only when a request arrives, so the queue is kept sorted.

const (
	// shortShare is the share of its equal share of the grants below which a workspace goes first.
	shortShare = 0.5
	// grantMemory is how long a grant counts for that, and how long a workspace counts as one that shares after its last
	// request.
	grantMemory = 2 * time.Second
)

// group holds the requests among which workspaces share fairly: those of equal rank that are alike in whether they are
// returns and whether they may be repeated. Smaller values are served first.
type group int

// groupOfShort stands for the requests of a rank from workspaces that are short of grants, which go before the others of
// the rank.
func groupOfShort(rank uint8) group { return 5 * group(rank) }

func groupOf(rank uint8, isReturn, isRepeatable bool) group {
	g := groupOfShort(rank) + 1
	if !isReturn {
		g += 2
	}
	if isRepeatable {
		g++
	}
	return g
}

// requestID identifies a request among those of all hosts.
type requestID struct {
	host   envelope.Sender
	number uint64
}

// request is a request that waits or holds a lease.
type request struct {
	id      requestID
	service *service
	// workspace is the workspace's name, flow its state.
	workspace string
	flow      *flow
	rank      uint8
	group     group
	key       keys.Content
	zone      string
	avoid     []keys.Endpoint
	// start is the start tag of fair queueing, sequence the place in the order of arrival.
	start     float64
	sequence  uint64
	arrivedAt time.Time
	target    time.Time
	limit     time.Time
	// replyBy is the time by which the coordinator has promised the next reply; zero if it has promised none yet.
	replyBy time.Time
	// endpoint is the leased endpoint if isLeased is set.
	endpoint  keys.Endpoint
	isLeased  bool
	grantedAt time.Time
}

// compareOrder orders requests that wait at the same service.
func compareOrder(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.group, b.group), cmp.Compare(a.start, b.start), a.target.Compare(b.target), cmp.Compare(a.sequence, b.sequence),
	)
}

// flow is the state of a workspace at a service.
type flow struct {
	weight float64
	// waiting is the number of its waiting requests, granted that of its grants within grantMemory.
	waiting, granted int
	// finish is the finish tag of fair queueing in each group.
	finish  map[group]float64
	askedAt time.Time
	// passed is used by firstLate only.
	passed int
}

// grant is a grant within grantMemory.
type grant struct {
	at    time.Time
	flow  *flow
	group group
}

// flowOf returns the flow of a workspace that asks. A weight that is not a positive number means 1.
func (s *service) flowOf(now time.Time, workspace string, weight float64) *flow {
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	f, ok := s.flows[workspace]
	if !ok {
		f = &flow{finish: make(map[group]float64)}
		s.flows[workspace] = f
	}
	s.totalWeight += weight - f.weight
	f.askedAt, f.weight = now, weight
	return f
}

// isShort reports whether a workspace has got less than shortShare of its equal share of the recent grants, if it gets a
// number of further ones.
func (s *service) isShort(f *flow, further int) bool {
	return float64(f.granted+further) < shortShare*f.weight/s.totalWeight*float64(len(s.grants))
}

// isGroupShort reports whether a group has got less than minGroupShare of the recent grants, if it gets a number of
// further ones.
func (s *service) isGroupShort(g group, further int) bool {
	return float64(s.grantsOf[g]+further) < minGroupShare*float64(len(s.grants))
}

// recordGrant adjusts fairness after a grant to a request.
func (s *service) recordGrant(now time.Time, r *request) {
	s.virtual[r.group] = max(s.virtual[r.group], r.start)
	g := r.group
	if s.isShort(r.flow, 0) {
		g = groupOfShort(r.rank)
	}
	s.grants = append(s.grants, grant{now, r.flow, g})
	s.grantsOf[g]++
	r.flow.granted++
}

// forgetGrants removes the grants older than grantMemory, and the workspaces without any that no longer ask.
func (s *service) forgetGrants(now time.Time) {
	old := 0
	for ; old < len(s.grants) && now.Sub(s.grants[old].at) > grantMemory; old++ {
		s.grants[old].flow.granted--
		s.grantsOf[s.grants[old].group]--
	}
	s.grants = slices.Delete(s.grants, 0, old)
	s.totalWeight = 0
	for name, f := range s.flows {
		if f.waiting == 0 && f.granted == 0 && now.Sub(f.askedAt) > grantMemory {
			delete(s.flows, name)
			continue
		}
		s.totalWeight += f.weight
	}
}
