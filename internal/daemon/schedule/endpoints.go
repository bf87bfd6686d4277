package schedule

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// maxCandidates is the number of least loaded endpoints that are compared for a request. They are the first
// elements of the heap, so the cost does not grow with the shard. Seven elements are the first three levels
// of a heap.
const maxCandidates = 7

// endpointSet holds the endpoints of the shard, ordered by load.
type endpointSet struct {
	options    Options
	byID       map[string]*endpoint
	order      []*endpoint
	byLoad     indexedHeap[*endpoint]
	preempting int
	scratch    []time.Duration
}

func newEndpointSet(options Options) endpointSet {
	return endpointSet{
		options: options,
		byID:    make(map[string]*endpoint),
		byLoad: indexedHeap[*endpoint]{
			index: func(e *endpoint) *int { return &e.index },
			less: func(a, b *endpoint) bool {
				if a.load() != b.load() {
					return a.load() < b.load()
				}
				return a.ID < b.ID
			},
		},
	}
}

func (s *endpointSet) count() int { return len(s.order) }

// replace replaces the endpoints and keeps the estimates for those that stay.
func (s *endpointSet) replace(now time.Time, configs []Endpoint) {
	old := s.byID
	s.byID = make(map[string]*endpoint, len(configs))
	s.order = s.order[:0]
	for _, config := range configs {
		e, ok := old[config.ID]
		if !ok {
			e = newEndpoint(now, config)
		}
		delete(old, config.ID)
		e.Endpoint = config
		s.byID[config.ID] = e
		s.order = append(s.order, e)
		s.updatePosition(e)
	}
	for _, e := range old {
		e.gone = true
		s.byLoad.remove(e)
	}
}

// updatePosition moves an endpoint to its position by load, or removes it from the heap if it is not usable.
func (s *endpointSet) updatePosition(e *endpoint) {
	if !e.isUsable() {
		s.byLoad.remove(e)
		return
	}
	s.byLoad.put(e)
}

// lowestTier returns the lowest tier of which any of the least loaded endpoints can accept a request now, or
// -1 if none can accept a request of any tier.
func (s *endpointSet) lowestTier(now time.Time) int {
	lowest := -1
	for _, e := range s.byLoad.elements[:min(maxCandidates, len(s.byLoad.elements))] {
		for lowest < Tiers-1 && e.canAccept(now, lowest+1, &s.options) {
			lowest++
		}
	}
	return lowest
}

// choose returns the endpoint with the lowest cost. It compares the least loaded endpoints and the one that
// probably holds the prompt's prefix in its cache. The slots are those available to the given tier, which is
// not always the tier of the request.
func (s *endpointSet) choose(now time.Time, it *item, tier int, prefixes *prefixTable) *endpoint {
	r := &it.request
	tokens := r.PromptTokens + it.predictedTokens
	var best *endpoint
	var bestCost time.Duration
	cached := prefixes.longestPrefix(r)
	n := min(maxCandidates, len(s.byLoad.elements))
	for i := range n + 1 {
		e := cached.holder
		if i < n {
			e = s.byLoad.elements[i]
		}
		if e == nil || s.avoids(r, e) || !e.canAccept(now, tier, &s.options) || !e.fits(tokens) {
			continue
		}
		cost := s.cost(now, r, e, cached)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// loadCost is the difference in cost between a full and an empty endpoint, as time to the first token. The
// more requests an engine has, the slower are the tokens of all of them.
const loadCost = 50 * time.Millisecond

// cost returns the cost of sending a request to an endpoint: the predicted time to the first token, with an
// extra cost for another zone and for load.
func (s *endpointSet) cost(now time.Time, r *admission.Request, e *endpoint, cached cachedPrefix) time.Duration {
	cost := e.predictFirstToken(now, r, cached)
	if r.Zone != "" && r.Zone != e.Zone {
		cost += s.options.ZoneCost
	}
	return cost + time.Duration(e.load()*float64(loadCost))
}

// leastLoaded returns the least loaded usable endpoint, even if it has no free slot.
func (s *endpointSet) leastLoaded(r *admission.Request) *endpoint {
	for _, e := range s.byLoad.elements {
		if !s.avoids(r, e) {
			return e
		}
	}
	return nil
}

// avoids reports whether a request should not go to an endpoint because it failed there before. A request
// that has failed at as many endpoints as are usable may go to any.
func (s *endpointSet) avoids(r *admission.Request, e *endpoint) bool {
	return len(r.Avoid) < s.byLoad.Len() && slices.Contains(r.Avoid, e.ID)
}

func (s *endpointSet) assign(now time.Time, it *item, e *endpoint) {
	if len(e.running) == 0 {
		e.lastActivity = now
	}
	e.add(now, it)
	s.updatePosition(e)
}

func (s *endpointSet) unassign(now time.Time, it *item, result admission.Result) {
	e := it.endpoint
	if it.preempting {
		s.preempting--
	}
	e.remove(it)
	e.health.recordResult(now, result)
	if e.health.failures >= maxConsecutiveFailures || (e.health.probing && result == admission.Failed) {
		s.eject(now, e, EjectFailing)
	}
	s.updatePosition(e)
}

// minFirstToken returns the time to the first token at an idle engine.
func (s *endpointSet) minFirstToken(r *admission.Request) time.Duration {
	if len(s.order) == 0 || !s.order[0].Engine {
		return 0
	}
	best := s.order[0].firstTokenWhenIdle(r)
	for _, e := range s.order[1:min(maxCandidates, len(s.order))] {
		best = min(best, e.firstTokenWhenIdle(r))
	}
	return best
}

// firstTokenWhenIdle returns the time to the first token if the engine has no other prompt to process.
func (e *endpoint) firstTokenWhenIdle(r *admission.Request) time.Duration {
	return e.prefillTime(r.PromptTokens) + e.betweenTokens
}

// minAnswerTime returns the time to generate an answer of a number of tokens.
func (s *endpointSet) minAnswerTime(tokens int) time.Duration {
	if len(s.order) == 0 || !s.order[0].Engine {
		return 0
	}
	return time.Duration(tokens) * s.medianBetween()
}
