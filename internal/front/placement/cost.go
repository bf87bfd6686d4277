package placement

import (
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/ratelimit"
)

// The cost of sending a request to an endpoint, in prompt tokens: the work that is in flight
// there, and what it costs that the endpoint is in another zone, in the wrong partition, or
// lacks the request's prefix. The endpoint with the least cost is chosen.
const (
	// requestCost is the cost of one open request, for the time that it takes from all others at its endpoint.
	requestCost = 300
	// uncachedWeight is the weight of each prefix token that the endpoint lacks. Above 1 because copying or processing
	// the prefix also holds up the streams there.
	uncachedWeight = 3.0
	// unheldWeight is the same where no candidate holds the prefix and the endpoint is not where it belongs: another
	// host that asks for it next may read it there once more.
	unheldWeight = 1.0
	// zoneCost is the cost of another zone, for the price of bytes between zones.
	zoneCost = 400
	// missCost is the cost of one stream that misses its target, or of one request that is rejected. Where half of the
	// engines rejected nine in ten, 50,000, 100,000 and 150,000 for a rejection gave .870, .869 and .865 (mean worth of 16
	// days on mfs-kochi and pwhc-shared, the same for each).
	missCost = 50000
	// failureCost is the cost of one request that fails: it may not be sent again, and its caller has lost the time.
	failureCost = 3 * missCost
)

// Choice is an endpoint with the figures that it was chosen by.
type Choice struct {
	Endpoint string
	// Version is that of the endpoint's entry.
	Version string
	// AvailableAt is when the first endpoint may be granted, if all rest or have named a limit and none has a permit left.
	AvailableAt time.Time
	// IsLimited is set if the endpoint has named a limit, so that the request needs a permit; permit is the one that it got.
	IsLimited bool
	permit    ratelimit.Permit
	// Slots is how many requests the endpoint runs at once; 0 means unknown.
	Slots int
	// Load is the work there before this request.
	Load Load
	// Tokens is the part of the prompt that the endpoint has to process.
	Tokens int
	// Cached is the part of the prompt, in tokens, that it should have in its cache.
	Cached int
	// Prefix is the key of the shared part of the prompt; 0 means that it is too short.
	Prefix keys.Prefix
	// FetchFrom is the ID of another endpoint that should hold what this one lacks, or
	// empty.
	FetchFrom string
	// RejectionShare is the share of requests that the endpoint is expected to reject.
	RejectionShare float64
	// ExcessFailures is the share of requests that the endpoint is expected to fail beyond what its peers fail.
	ExcessFailures float64
	// PredictedFirstEvent is the predicted time to the first event.
	PredictedFirstEvent time.Duration
	// Cost is what the choice was made by, in prompt tokens.
	Cost int
}

// instance returns the start of the endpoint that was chosen.
func (c *Choice) instance() pushback.Instance {
	return pushback.Instance{ID: c.Endpoint, Version: c.Version}
}

// query is a request with what its costs depend on.
type query struct {
	request *admission.Request
	// prefix is the hash of the part of the prompt that others share, shared its length in
	// tokens.
	prefix uint64
	shared int
	// preferred is the endpoint where the prefix belongs by its hash; empty if the prefix is
	// too short to decide.
	preferred string
	holders   map[keys.Endpoint]time.Time
	// heldByCandidate is set if a candidate holds the prefix.
	heldByCandidate bool
	engines         *engine.Service
	// endpoints is how many of the service take new work.
	endpoints int
	// shortSet is the endpoints that are kept for short prompts; long is set if the request should
	// run apart from them.
	shortSet shortSet
	long     bool
}

// Choose picks the candidate with the least cost for a request. Endpoints are all of the
// service that take new work, candidates those of them that may be chosen, leaving those
// that take none but can still be copied from. It reports false if there is no candidate.
func (v *View) Choose(now time.Time, service string, request *admission.Request, endpoints, candidates, leaving []*directory.Entry) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	q := v.newQuery(now, service, request, endpoints, candidates)
	var best Choice
	equal := 0
	for _, e := range v.sample(q, candidates) {
		choice := v.weigh(q, e)
		switch {
		case best.Endpoint == "" || choice.Cost < best.Cost:
			best, equal = choice, 1
		case choice.Cost == best.Cost:
			// Each of those that are equal is as likely: the first would get all while there is little to do.
			equal++
			if v.isPicked(equal) {
				best = choice
			}
		}
	}
	if q.preferred != "" {
		best.Prefix = keys.Prefix(q.prefix)
		best.FetchFrom = v.fetchFrom(now, q, best.Endpoint, slices.Concat(endpoints, leaving))
	}
	return best, true
}

// isPicked reports whether the last of a number of equal endpoints is picked.
func (v *View) isPicked(equal int) bool {
	return v.random != nil && v.random()*float64(equal) >= float64(equal-1)
}

func (v *View) newQuery(now time.Time, service string, request *admission.Request, endpoints, candidates []*directory.Entry) *query {
	engines := v.engines.get(keys.OfService(service))
	q := &query{request: request, engines: engines, endpoints: len(endpoints), long: engines.IsLong(keys.OfClass(request.Class))}
	q.shortSet = v.partitions.get(service, endpoints, min(engines.ShortEndpoints(), len(endpoints)-1))
	q.prefix, q.shared = sharedPrefix(request)
	if q.shared >= minSharedPrefix {
		q.preferred = rendezvous(q.prefix, inPartition(!q.long, q.shortSet, candidates))
		q.holders = v.holders[keys.Prefix(q.prefix)]
		q.heldByCandidate = slices.ContainsFunc(candidates, q.isHolder)
	}
	return q
}

// isApart reports whether an endpoint is in the request's partition.
func (q *query) isApart(e *directory.Entry) bool {
	return len(q.shortSet) == 0 || q.shortSet[e.ID] != q.long
}

// misses returns how many streams are expected to miss their targets if the request goes to an endpoint:
// the request itself, and those beside it.
func (q *query) misses(e *directory.Entry, choice *Choice) float64 {
	if q.request.PromptTokens == 0 {
		return 0
	}
	late := max(q.firstLate(choice), fullShare(choice))
	switch {
	case q.long && q.isApart(e):
		return late
	case q.long:
		// All streams there pause beside what is read, this prompt and those that wait already.
		return late + q.engines.ShortMissProb(choice.Load.Tokens+choice.Tokens)*float64(choice.Load.Requests)
	case q.isApart(e):
		return max(late, q.engines.ShortMissProb(choice.Load.Tokens))
	}
	return max(late, q.engines.MixedMissProb(choice.Load.Tokens))
}

// firstSpread is the spread of the time to the first event as a part of the predicted one, as the scale of a logistic
// distribution.
const firstSpread = 0.2

// firstLate returns the chance that the first event comes after its target.
func (q *query) firstLate(choice *Choice) float64 {
	if q.request.FirstToken == 0 {
		return 0
	}
	return 1 / (1 + math.Exp((1-float64(choice.PredictedFirstEvent)/float64(q.request.FirstToken))/firstSpread))
}

// nearlyFull is the part of an endpoint's slots from which a request may find none.
const nearlyFull = 0.9

// fullCost is how much worse it is than a miss to wait until as many requests have ended as an endpoint has slots:
// callers give up.
const fullCost = 4

// fullShare returns the chance that the request has to wait for a slot, and more the longer it has to.
func fullShare(choice *Choice) float64 {
	if choice.Slots == 0 {
		return 0
	}
	taken := float64(choice.Load.Requests) / float64(choice.Slots)
	return min(max((taken-nearlyFull)/(1-nearlyFull), 0), 1) + fullCost*max(taken-1, 0)
}

// isHolder reports whether an endpoint was sent the prefix.
func (q *query) isHolder(e *directory.Entry) bool {
	_, ok := q.holders[keys.OfEndpoint(e.ID)]
	return ok
}

// prefixCost returns what it costs at an endpoint that the request's prefix has to come there, in prompt
// tokens, and how much of the prompt the endpoint should have in its cache.
func (q *query) prefixCost(e *directory.Entry) (cost, cached int) {
	switch {
	case q.preferred == "":
		return 0, 0
	case q.isHolder(e):
		return 0, q.shared
	case q.heldByCandidate:
		return int(float64(q.shared) * uncachedWeight), 0
	case e.ID == q.preferred:
		return 0, 0
	}
	return int(float64(q.shared) * unheldWeight), 0
}

// weigh returns the cost of sending a request to an endpoint, with its figures.
func (v *View) weigh(q *query, e *directory.Entry) Choice {
	choice := Choice{Endpoint: e.ID, Version: e.Endpoint.Version, Slots: e.Endpoint.MaxInFlight, Load: v.loads.Total(e.ID)}
	choice.RejectionShare = v.rejections.Share(keys.OfEndpoint(e.ID))
	choice.ExcessFailures = v.failures.Excess(pushback.EndpointClass{Endpoint: keys.OfEndpoint(e.ID), Class: keys.OfClass(q.request.Class)}, q.endpoints)
	cost, cached := q.prefixCost(e)
	choice.Cached = cached
	choice.Tokens = q.request.PromptTokens - cached
	choice.PredictedFirstEvent = q.engines.Figures().ReadTime(choice.Load.Tokens + choice.Tokens)
	choice.Cost = cost + choice.Load.Requests*requestCost + choice.Load.Tokens + choice.Tokens +
		int(missCost*(q.misses(e, &choice)+choice.RejectionShare)+failureCost*choice.ExcessFailures)
	if e.Endpoint.Zone != q.request.Zone {
		choice.Cost += zoneCost
	}
	return choice
}

// fetchFrom returns the ID of the endpoint that was sent the prefix last, for one that lacks
// it to copy from. It is empty if the endpoint holds the prefix itself, or no other that is
// not ejected does.
func (v *View) fetchFrom(now time.Time, q *query, endpoint string, endpoints []*directory.Entry) string {
	newest, at := "", time.Time{}
	for _, e := range endpoints {
		sent, ok := q.holders[keys.OfEndpoint(e.ID)]
		if ok && e.ID == endpoint {
			return ""
		}
		if ok && sent.After(at) && !v.ejections.isEjected(now, e.ID) {
			newest, at = e.ID, sent
		}
	}
	return newest
}

// candidates leaves out the endpoints that have failed the request, then those that are
// ejected, each as long as others are left.
func (v *View) candidates(now time.Time, request *admission.Request, endpoints []*directory.Entry) []*directory.Entry {
	untried := keep(endpoints, func(e *directory.Entry) bool { return !slices.Contains(request.Avoid, e.ID) })
	if len(untried) == 0 {
		untried = endpoints
	}
	healthy := keep(untried, func(e *directory.Entry) bool { return !v.ejections.isEjected(now, e.ID) })
	if len(healthy) == 0 {
		return untried
	}
	return healthy
}

func keep(endpoints []*directory.Entry, wanted func(e *directory.Entry) bool) []*directory.Entry {
	kept := make([]*directory.Entry, 0, len(endpoints))
	for _, e := range endpoints {
		if wanted(e) {
			kept = append(kept, e)
		}
	}
	return kept
}
