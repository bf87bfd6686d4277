package placement

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Comparing all endpoints of a large service for each request costs more processor time than it saves endpoints work: the
// best of some dozen random endpoints is hardly worse than the best of all. Above maxCompared endpoints a request is
// compared at a shortlist: the endpoints that its prefix prefers, those that hold it, and a random sample.

const (
	// maxCompared is the number of endpoints of a service up to which all are compared.
	maxCompared = 512
	// maxShortlist is the number of random endpoints in a shortlist, half of them in the caller's availability zone, and
	// minShortlist the number that is left if many requests of other hosts are on their way (sample.go).
	maxShortlist = 128
	minShortlist = 8
	// listedPreferred is the number of preferred endpoints in a shortlist: the first ones may be ejected, resting or in the
	// other partition.
	listedPreferred = 4
)

// pool is the endpoints from which one is chosen for a request.
type pool struct {
	service string
	// endpoints are the endpoints of the service that take new work, leaving those that take none but can be copied from.
	endpoints []*directory.Entry
	leaving   []*directory.Entry
	// index is the index of a service with more than maxCompared endpoints, which is used instead of reading all. It is nil
	// for other services.
	index *directory.Index
}

// shortlist returns the endpoints of a large service to compare for a request.
func (v *View) shortlist(index *directory.Index, service string, request *admission.Request) []*directory.Entry {
	list := make([]*directory.Entry, 0, maxShortlist+2*listedPreferred)
	seen := make(map[string]bool, maxShortlist+2*listedPreferred)
	add := func(e *directory.Entry) {
		if !seen[e.ID] {
			seen[e.ID] = true
			list = append(list, e)
		}
	}
	if prefix, tokens := sharedPrefix(request); tokens >= minSharedPrefix {
		preferred := index.Preferred(prefix)
		for _, e := range preferred[:min(listedPreferred, len(preferred))] {
			add(e)
		}
		for holder := range v.holders[keys.Prefix(prefix)] {
			for _, e := range index.LookupServing(holder) {
				add(e)
			}
		}
	}
	engines := v.engines.get(keys.OfService(service))
	unseen := engines.Arrivals(engines.IsLong(keys.OfClass(request.Class))) * float64(v.meanLoadAge()/time.Millisecond)
	size := min(max(sampleSize(len(index.Serving), unseen), minShortlist), maxShortlist)
	for _, group := range [][]*directory.Entry{index.InZone(request.Zone), index.Serving} {
		// An endpoint that is drawn twice is listed once.
		for range size / 2 {
			if len(group) > 0 {
				add(group[int(v.draw()*float64(len(group)))])
			}
		}
	}
	return list
}

// draw returns a random number in [0, 1).
func (v *View) draw() float64 {
	if v.random == nil {
		return 0
	}
	return v.random()
}

// preferredOf returns the ID of the endpoint that a prefix prefers among candidates, in the partition of the request if
// there is one.
func (q *query) preferredOf(p *pool, candidates []*directory.Entry) string {
	inPart := inPartition(!q.isLong, q.shortSet, candidates)
	if p.index == nil {
		return rendezvous(q.prefix, inPart)
	}
	for _, e := range p.index.Preferred(q.prefix) {
		if slices.Contains(inPart, e) {
			return e.ID
		}
	}
	return rendezvous(q.prefix, inPart)
}

// holdersOf returns the endpoints of a pool that hold the prefix of a request.
func (q *query) holdersOf(p *pool) []*directory.Entry {
	var holding []*directory.Entry
	if p.index != nil {
		for holder := range q.holders {
			holding = append(holding, p.index.Lookup(holder)...)
		}
		return holding
	}
	for _, endpoints := range [][]*directory.Entry{p.endpoints, p.leaving} {
		for _, e := range endpoints {
			if q.isHolder(e) {
				holding = append(holding, e)
			}
		}
	}
	return holding
}

// listed returns the pool of a service's endpoints, and those of them to compare for a request: a shortlist, or all.
func (v *View) listed(index *directory.Index, service string, request *admission.Request) (*pool, []*directory.Entry) {
	from := &pool{service: service, endpoints: index.Serving, leaving: index.Leaving}
	if len(index.Serving) <= maxCompared {
		return from, index.Serving
	}
	from.index = index
	return from, v.shortlist(index, service, request)
}

// candidatesFrom returns the endpoints of a service that may be chosen for a request, and the pool that they are from. The
// other results are those of candidates. If a shortlist has none, all endpoints are read. The lock is held.
func (p *Placer) candidatesFrom(now time.Time, service string, request *admission.Request, mayAsk bool) (from *pool, candidates []*directory.Entry, free time.Time, reason admission.Reason) {
	index := p.parts.Directory.Index(service)
	from, listed := p.view.listed(index, service, request)
	if from.index != nil {
		if listed = eligible(listed, request); len(listed) > 0 {
			if candidates, free, reason = p.candidates(now, request, listed, mayAsk); reason == "" && free.IsZero() && len(candidates) > 0 {
				return from, candidates, free, reason
			}
		}
		from.index = nil
	}
	usable := eligible(index.Serving, request)
	switch {
	case len(notRuledOut(index.Serving, request)) == 0:
		return from, nil, time.Time{}, admission.ReasonNoEndpoint
	case len(usable) == 0:
		return from, nil, time.Time{}, admission.ReasonNoVersion
	}
	candidates, free, reason = p.candidates(now, request, usable, mayAsk)
	return from, candidates, free, reason
}
