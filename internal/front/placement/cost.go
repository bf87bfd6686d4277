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

// The cost of sending a request to an endpoint, in prompt tokens, is the work in flight there plus the costs of another
// zone, of the wrong partition and of a missing prefix. The endpoint with the lowest cost is chosen.
const (
	// requestCost is the cost of an open request, which slows down all other requests at its endpoint.
	requestCost = 300
	// uncachedWeight is the weight of each prefix token that the endpoint lacks. It is above 1 because copying or
	// processing the prefix also delays the streams there.
	uncachedWeight = 3.0
	// unheldWeight is the same weight if no candidate holds the prefix and the endpoint is not its preferred one:
	// another host with the same prefix may have it processed again at the preferred endpoint.
	unheldWeight = 1.0
	// zoneCost is the cost of another zone: its network delay, and the calls that break if the link between the zones does.
	zoneCost = 400
	// missCost is the cost of one stream that misses its target, or of one rejected request. For rejections, values of
	// 50,000, 100,000 and 150,000 give results within 1 % of each other if half of the engines reject nine in ten
	// requests.
	missCost = 50000
	// failureCost is the cost of one failed request: it may not be repeatable, and its caller has lost time.
	failureCost = 3 * missCost
)

// unreliableShare is the share of rejected and failed requests from which an endpoint is unreliable. Such an endpoint has
// hardly any backlog, so a request seems to end there in time, but it is more likely than not to get no answer.
const unreliableShare = 0.5

// Choice is a candidate endpoint with the figures that determine its cost.
type Choice struct {
	Endpoint string
	// Version is the version of the endpoint's entry in the directory.
	Version string
	// AvailableAt is when the first endpoint becomes available, if all rest or have a limit and no permit left, or if a more
	// urgent class was refused.
	AvailableAt time.Time
	// IsLimited is set if the endpoint has a limit, so that the request needs a permit; permit is the permit acquired.
	IsLimited bool
	permit    ratelimit.Permit
	// address is the network address of the endpoint.
	address string
	// Slots is the number of requests that the endpoint runs concurrently; 0 means unknown.
	Slots int
	// Load is the load of the endpoint without this request.
	Load Load
	// Tokens is the number of prompt tokens that the endpoint has to process.
	Tokens int
	// Cached is the number of prompt tokens that the endpoint is expected to have in its cache.
	Cached int
	// Prefix is the key of the shared part of the prompt; 0 means that the part is too short.
	Prefix keys.Prefix
	// FetchFrom is the ID of another endpoint that is expected to hold the missing prefix, or empty.
	FetchFrom string
	// RejectionShare is the share of requests that the endpoint is expected to reject.
	RejectionShare float64
	// ExcessFailures is the share of requests that the endpoint is expected to fail beyond the share of its peers.
	ExcessFailures float64
	// Slowness is the factor by which operations take longer at the endpoint than at the mean of its service.
	Slowness float64
	// PredictedFirstEvent is the predicted time to the first event, predictedRead that at an endpoint of slowness 1.
	PredictedFirstEvent time.Duration
	predictedRead       time.Duration
	// PredictedEnd is the predicted time to the end of the answer; 0 if it is not predicted.
	PredictedEnd time.Duration
	// CanEnd is set if the request is predicted to end within its time limit, if that is not predicted, or if the request is
	// no retry and the endpoint is idle: the prediction assumes the mean reading share of all endpoints.
	CanEnd bool
	// preference orders the choices before their cost.
	preference preference
	// Cost is the cost of the choice in prompt tokens.
	Cost int
}

// preference is an order of endpoints, the least preferred first.
type preference uint8

const (
	// notPreferred: the endpoint is not in the request's partition, has no free slot or is unreliable, or the request can't
	// end there in time.
	notPreferred preference = iota
	// preferredIdle: the endpoint is idle, but the request is not predicted to end there in time.
	preferredIdle
	// preferred: the request is predicted to end there in time, or its end is not predicted.
	preferred
)

// instance returns the instance of the chosen endpoint.
func (c *Choice) instance() pushback.Instance {
	return pushback.Instance{ID: c.Endpoint, Version: c.Version}
}

// hasFreeSlot reports whether the endpoint runs one more request without queueing it.
func (c *Choice) hasFreeSlot() bool { return c.Slots == 0 || c.Load.Requests < c.Slots }

// isUnreliable reports whether the endpoint is expected to reject or fail at least unreliableShare of the requests.
func (c *Choice) isUnreliable() bool { return c.RejectionShare+c.ExcessFailures >= unreliableShare }

// isBetter reports whether a choice is preferred to another: one in the request's partition at which the request can end
// in time, then an idle one there, then the cheaper. An endpoint of the other partition is not preferred for the time alone: its cost includes
// the streams that the request would delay there.
func (c *Choice) isBetter(other *Choice) bool {
	if c.preference != other.preference {
		return c.preference > other.preference
	}
	return c.Cost < other.Cost
}

// query is a request together with the values that the costs of all endpoints depend on.
type query struct {
	request *admission.Request
	// prefix is the hash of the prompt's shared part, sharedTokens the length of that part in tokens.
	prefix       uint64
	sharedTokens int
	// preferred is the endpoint selected for the prefix by its hash; empty if the prefix is too short for affinity.
	preferred string
	holders   map[keys.Endpoint]time.Time
	// heldByCandidate is set if a candidate holds the prefix.
	heldByCandidate bool
	engines         *engine.Service
	// endpoints is the number of endpoints of the service that take new work.
	endpoints int
	// shortSet holds the endpoints reserved for short prompts; isLong is set if the request should run outside of them.
	shortSet shortSet
	isLong   bool
	// ending predicts the end of the request; nil if it is not predicted.
	ending *ending
}

// Choose picks the candidate with the lowest cost for a request, of those at which it can end in time if there are any.
// Endpoints holds all endpoints of the service that take new work, candidates the ones that may be chosen, and leaving the
// ones that take no new work but can still be copied from. It reports false if there is no candidate.
func (v *View) Choose(now time.Time, service string, request *admission.Request, endpoints, candidates, leaving []*directory.Entry) (Choice, bool) {
	return v.chooseFrom(now, request, &pool{service: service, endpoints: endpoints, leaving: leaving}, candidates)
}

// chooseFrom is Choose for the candidates from a pool.
func (v *View) chooseFrom(now time.Time, request *admission.Request, from *pool, candidates []*directory.Entry) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	q := v.newQuery(now, request, from, candidates)
	compared := candidates
	if from.index == nil {
		compared = v.sample(q, candidates)
	}
	var best Choice
	equal := 0
	for _, e := range compared {
		choice := v.evaluate(q, e)
		switch {
		case best.Endpoint == "" || choice.isBetter(&best):
			best, equal = choice, 1
		case best.isBetter(&choice):
		case v.prefersConnected(from, &choice, &best):
			best, equal = choice, 1
		case v.prefersConnected(from, &best, &choice):
		default:
			// Equal endpoints are equally likely to be chosen: otherwise the first would get all requests at low load.
			equal++
			if v.replacesEqual(equal) {
				best = choice
			}
		}
	}
	if q.preferred != "" {
		best.Prefix = keys.Prefix(q.prefix)
		best.FetchFrom = v.fetchFrom(now, q, &best, q.holdersOf(from))
	}
	return best, true
}

// minEndpointsToReuse is the number of endpoints of a service from which a host prefers one to which it has a connection. A
// host before so many would hardly ever use a connection twice. With fewer, connections to all are kept anyway, and the
// preference would send all requests of a quiet time to one endpoint.
const minEndpointsToReuse = 64

// prefersConnected reports whether a choice is preferred to an equal one because this host has a connection to the first
// only.
func (v *View) prefersConnected(from *pool, choice, other *Choice) bool {
	if v.hasIdle == nil || len(from.endpoints) < minEndpointsToReuse {
		return false
	}
	return v.hasIdle(choice.address) && !v.hasIdle(other.address)
}

// replacesEqual reports whether the last of a number of equal endpoints replaces the previous choice.
func (v *View) replacesEqual(equal int) bool {
	return v.random != nil && v.random()*float64(equal) >= float64(equal-1)
}

// newQuery returns a request with the values that the costs of the candidates from a pool depend on.
func (v *View) newQuery(now time.Time, request *admission.Request, from *pool, candidates []*directory.Entry) *query {
	engines := v.engines.get(keys.OfService(from.service))
	q := &query{request: request, engines: engines, endpoints: len(from.endpoints), isLong: engines.IsLong(keys.OfClass(request.Class))}
	q.shortSet = v.partitions.get(from.service, from.endpoints, min(engines.ShortEndpoints(), len(from.endpoints)-1), v.pace)
	q.prefix, q.sharedTokens = sharedPrefix(request)
	if q.sharedTokens >= minSharedPrefix {
		q.preferred = q.preferredOf(from, candidates)
		q.holders = v.holders[keys.Prefix(q.prefix)]
		q.heldByCandidate = slices.ContainsFunc(candidates, q.isHolder)
	}
	q.ending = v.newEnding(now, request, from, engines)
	return q
}

// isInOwnPartition reports whether an endpoint is in the request's partition.
func (q *query) isInOwnPartition(e *directory.Entry) bool {
	return len(q.shortSet) == 0 || q.shortSet[e.ID] != q.isLong
}

// expectedMisses returns the expected number of streams that miss their targets if the request goes to an endpoint: the
// request itself and the streams running there.
func (q *query) expectedMisses(e *directory.Entry, choice *Choice) float64 {
	if q.request.PromptTokens == 0 {
		return 0
	}
	late := max(q.firstEventMissProb(choice), slotWaitPenalty(choice))
	switch {
	case q.isLong && q.isInOwnPartition(e):
		return late
	case q.isLong:
		// Each stream there pauses while this prompt and the waiting ones are processed.
		return late + q.engines.ShortMissProb(choice.Load.Tokens+choice.Tokens, choice.Slowness)*float64(choice.Load.Requests)
	case q.isInOwnPartition(e):
		return max(late, q.engines.ShortMissProb(choice.Load.Tokens, choice.Slowness))
	}
	return max(late, q.engines.MixedMissProb(choice.Load.Tokens, choice.Slowness))
}

// firstEventSpread is the scale of a logistic distribution of the time to the first event, relative to the predicted
// time.
const firstEventSpread = 0.2

// firstEventMissProb returns the probability that the first event comes after its target.
func (q *query) firstEventMissProb(choice *Choice) float64 {
	if q.request.FirstToken == 0 {
		return 0
	}
	return 1 / (1 + math.Exp((1-float64(choice.PredictedFirstEvent)/float64(q.request.FirstToken))/firstEventSpread))
}

// nearlyFullShare is the share of occupied slots at an endpoint above which a request may find no free slot.
const nearlyFullShare = 0.9

// slotWaitCost is the cost, in missed targets, of waiting until as many requests have ended as an endpoint has slots.
// It exceeds 1 because callers abandon requests that wait so long.
const slotWaitCost = 4

// slotWaitPenalty returns the probability that the request has to wait for a slot, plus a penalty that grows with the
// wait.
func slotWaitPenalty(choice *Choice) float64 {
	if choice.Slots == 0 {
		return 0
	}
	taken := float64(choice.Load.Requests) / float64(choice.Slots)
	return min(max((taken-nearlyFullShare)/(1-nearlyFullShare), 0), 1) + slotWaitCost*max(taken-1, 0)
}

// isHolder reports whether the prefix was sent to an endpoint.
func (q *query) isHolder(e *directory.Entry) bool {
	_, ok := q.holders[keys.OfEndpoint(e.ID)]
	return ok
}

// prefixCost returns the cost, in prompt tokens, of providing the request's prefix at an endpoint, and the number of
// prompt tokens that the endpoint is expected to have in its cache.
func (q *query) prefixCost(e *directory.Entry) (cost, cached int) {
	switch {
	case q.preferred == "":
		return 0, 0
	case q.isHolder(e):
		return 0, q.sharedTokens
	case q.heldByCandidate:
		return int(float64(q.sharedTokens) * uncachedWeight), 0
	case e.ID == q.preferred:
		return 0, 0
	}
	return int(float64(q.sharedTokens) * unheldWeight), 0
}

// evaluate returns the cost of sending a request to an endpoint, with the figures behind it.
func (v *View) evaluate(q *query, e *directory.Entry) Choice {
	choice := Choice{Endpoint: e.ID, address: e.Endpoint.Address, Version: e.Endpoint.Version, Slots: e.Endpoint.MaxInFlight, Load: v.loads.Total(e.ID)}
	key := keys.OfEndpoint(e.ID)
	choice.RejectionShare = v.rejections.Share(key)
	choice.ExcessFailures = v.failures.Excess(pushback.EndpointClass{Endpoint: key, Class: keys.OfClass(q.request.Class)}, q.endpoints)
	choice.Slowness = v.pace.Slowness(key)
	cost, cached := q.prefixCost(e)
	choice.Cached = cached
	choice.Tokens = q.request.PromptTokens - cached
	choice.predictedRead = q.engines.Figures().ReadTime(choice.Load.Tokens + choice.Tokens)
	choice.PredictedFirstEvent = time.Duration(choice.Slowness * float64(choice.predictedRead))
	// Work counts by the time that it takes at the endpoint.
	work := float64(choice.Load.Requests*requestCost + choice.Load.Tokens + choice.Tokens)
	choice.Cost = cost + int(choice.Slowness*work) +
		int(missCost*(q.expectedMisses(e, &choice)+choice.RejectionShare)+failureCost*choice.ExcessFailures)
	if e.Endpoint.Zone != q.request.Zone {
		choice.Cost += zoneCost
	}
	choice.CanEnd, choice.preference = true, preferred
	if q.ending != nil {
		q.predictEnd(e, &choice)
	}
	return choice
}

// predictEnd sets whether the request can end in time at an endpoint, and whether the endpoint is preferred for that.
func (q *query) predictEnd(e *directory.Entry, choice *Choice) {
	choice.PredictedEnd = q.ending.end(choice.Load.Tokens+choice.Tokens, choice.Slowness)
	inTime := choice.PredictedEnd <= q.ending.timeLeft
	choice.CanEnd = inTime || (choice.Load == Load{} && !q.request.Retry)
	switch {
	case !choice.CanEnd || !q.isInOwnPartition(e) || !choice.hasFreeSlot() || choice.isUnreliable():
		choice.preference = notPreferred
	case !inTime:
		choice.preference = preferredIdle
	}
}

// fetchFrom returns the ID of the endpoint to which the prefix was sent most recently, as a source for a chosen endpoint
// that lacks it. It is empty if the chosen endpoint holds the prefix itself, or if no endpoint of its software version that
// is not ejected holds it: one version can't read what another has cached.
func (v *View) fetchFrom(now time.Time, q *query, chosen *Choice, endpoints []*directory.Entry) string {
	newest, at := "", time.Time{}
	software := directory.SoftwareVersion(chosen.Version)
	for _, e := range endpoints {
		sent, ok := q.holders[keys.OfEndpoint(e.ID)]
		if ok && e.ID == chosen.Endpoint {
			return ""
		}
		if ok && sent.After(at) && !v.ejections.isEjected(now, e.ID) && directory.SoftwareVersion(e.Endpoint.Version) == software {
			newest, at = e.ID, sent
		}
	}
	return newest
}

// candidates excludes the endpoints that have failed the request, then the ejected ones, each only as long as others
// are left.
func (v *View) candidates(now time.Time, request *admission.Request, endpoints []*directory.Entry) []*directory.Entry {
	untried := filter(endpoints, func(e *directory.Entry) bool { return !slices.Contains(request.Avoid, e.ID) })
	if len(untried) == 0 {
		untried = endpoints
	}
	healthy := filter(untried, func(e *directory.Entry) bool { return !v.ejections.isEjected(now, e.ID) })
	if len(healthy) == 0 {
		return untried
	}
	return healthy
}

// hasHealthy reports whether some endpoints include one that is not ejected and has not failed the request.
func (v *View) hasHealthy(now time.Time, request *admission.Request, endpoints []*directory.Entry) bool {
	return slices.ContainsFunc(endpoints, func(e *directory.Entry) bool {
		return !slices.Contains(request.Avoid, e.ID) && !v.ejections.isEjected(now, e.ID)
	})
}

// servingOn returns the endpoints that are ejected only since they break calls, and have not failed the request.
func (v *View) servingOn(request *admission.Request, endpoints []*directory.Entry) []*directory.Entry {
	return filter(endpoints, func(e *directory.Entry) bool {
		return !slices.Contains(request.Avoid, e.ID) && v.ejections.servesOn(e.ID)
	})
}

func filter(endpoints []*directory.Entry, wanted func(e *directory.Entry) bool) []*directory.Entry {
	kept := make([]*directory.Entry, 0, len(endpoints))
	for _, e := range endpoints {
		if wanted(e) {
			kept = append(kept, e)
		}
	}
	return kept
}
