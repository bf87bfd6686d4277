package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
)

const (
	// requestTokens is the work of one open request in prompt tokens: what it
	// slows down all others at its endpoint.
	requestTokens = 300
	// longPrefix is the length of a shared prefix, in tokens, from which it pays
	// to send a request where the prefix was read before.
	longPrefix = 1500
	// moveCost weighs a token that is copied from the endpoint that holds it against
	// one that waits before the request.
	moveCost = 3.0
	// zoneTokens is the work that it takes to leave the own availability zone.
	zoneTokens = 400
)

// Choice is an endpoint with the figures that decided.
type Choice struct {
	Endpoint string
	// Places is how many requests the endpoint runs at once; 0 means unknown.
	Places int
	// Tokens is the prompt tokens that the endpoint has to read.
	Tokens int
	// Load is the work there before this request.
	Load Load
	// Cached is the prompt tokens that the endpoint should have read before.
	Cached int
	// Prefix names the shared part of the prompt; 0 means that it is not worth it.
	Prefix gossip.PrefixKey
	// FetchFrom is another endpoint that should hold what this one lacks, or empty.
	FetchFrom string
	// Cost is what the choice was made by, in prompt tokens.
	Cost int
}

// question is a request as the choice sees it.
type question struct {
	request *admission.Request
	// prefix names the part of the prompt that others share, shared is its length.
	prefix uint64
	shared int
	// home is the endpoint where the prefix belongs, or empty.
	home string
	held map[gossip.EndpointKey]time.Time
	// heldHere says that a candidate holds the prefix.
	heldHere bool
	lanes    map[string]lane
	// shortLane says that there is a lane for short prompts.
	shortLane bool
}

// Choose picks, of the candidates among a service's endpoints, the one with the
// least work for a request: what waits there, and what of the prompt it must still
// read. Leaving are endpoints of the service that take no new work but can still be
// copied from. It reports false if there is no candidate.
func (b *Board) Choose(now time.Time, service string, request *admission.Request, endpoints, candidates, leaving []*directory.Entry) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	q := question{request: request, shortLane: b.shortLane(now, service)}
	q.lanes = b.lanesFor(service, endpoints, q.shortLane)
	q.prefix, q.shared = sharedPrefix(request)
	if q.shared >= longPrefix {
		q.home = rendezvous(q.prefix, inLane(q.lane(), q.lanes, candidates))
		q.held = b.holders[gossip.PrefixKey(q.prefix)]
		q.heldHere = slices.ContainsFunc(candidates, q.holds)
	}
	var best Choice
	for i := range candidates {
		choice := b.weigh(&q, candidates[i])
		if best.Endpoint == "" || choice.Cost < best.Cost {
			best = choice
		}
	}
	if q.home != "" {
		best.Prefix = gossip.PrefixKey(q.prefix)
		best.FetchFrom = b.source(now, &q, best.Endpoint, slices.Concat(endpoints, leaving))
	}
	return best, true
}

// lane gives the lane where the request's prefix belongs.
func (q *question) lane() lane {
	if q.shared >= deepPrefix {
		return laneDeep
	}
	return laneShallow
}

// apart reports whether an endpoint is one that short prompts keep away from.
func (q *question) apart(e *directory.Entry) bool {
	if q.shortLane {
		return q.lanes[e.ID] != laneShort
	}
	return q.lanes[e.ID] == laneDeep
}

// holds reports whether an endpoint was sent the prefix.
func (q *question) holds(e *directory.Entry) bool {
	_, ok := q.held[gossip.KeyOf(e.ID)]
	return ok
}

// cached reports whether an endpoint should have the prefix: it was sent there, or
// it belongs there and no candidate was sent it that this host has heard of.
func (q *question) cached(e *directory.Entry) bool {
	return q.holds(e) || (!q.heldHere && e.ID == q.home)
}

// source names the endpoint that was sent a prefix last, for one to copy from that
// was not. It is empty if there is none.
func (b *Board) source(now time.Time, q *question, endpoint string, endpoints []*directory.Entry) string {
	newest, at := "", time.Time{}
	for i := range endpoints {
		e := endpoints[i]
		sent, ok := q.held[gossip.KeyOf(e.ID)]
		if ok && e.ID == endpoint {
			return ""
		}
		if ok && sent.After(at) && !b.paused(now, e.ID) {
			newest, at = e.ID, sent
		}
	}
	return newest
}

// weigh gives the cost of sending a request to an endpoint.
func (b *Board) weigh(q *question, e *directory.Entry) Choice {
	choice := Choice{Endpoint: e.ID, Places: e.Endpoint.MaxInFlight, Tokens: q.request.PromptTokens, Load: b.Total(e.ID)}
	choice.Cost = choice.Load.Requests*requestTokens + choice.Load.Tokens
	if e.Endpoint.Zone != q.request.Zone {
		choice.Cost += zoneTokens
	}
	if q.home == "" {
		if q.request.PromptTokens > 0 && q.apart(e) {
			choice.Cost += laneCost
		}
		return choice
	}
	if q.cached(e) {
		choice.Cached = q.shared
		choice.Tokens -= q.shared
		return choice
	}
	choice.Cost += int(float64(q.shared) * moveCost)
	return choice
}

// candidates leaves out the endpoints that a request should avoid, then those that
// failed lately, each as long as others are left.
func (b *Board) candidates(now time.Time, request *admission.Request, endpoints []*directory.Entry) []*directory.Entry {
	fresh := keep(endpoints, func(e *directory.Entry) bool { return !slices.Contains(request.Avoid, e.ID) })
	if len(fresh) == 0 {
		fresh = endpoints
	}
	healthy := keep(fresh, func(e *directory.Entry) bool { return !b.paused(now, e.ID) })
	if len(healthy) == 0 {
		return fresh
	}
	return healthy
}

func keep(endpoints []*directory.Entry, wanted func(e *directory.Entry) bool) []*directory.Entry {
	kept := make([]*directory.Entry, 0, len(endpoints))
	for i := range endpoints {
		if wanted(endpoints[i]) {
			kept = append(kept, endpoints[i])
		}
	}
	return kept
}

// sharedPrefix gives the longest leading part of a prompt that other requests
// share, and its length in tokens. The last part is the request's own.
func sharedPrefix(request *admission.Request) (key uint64, tokens int) {
	last := len(request.PrefixTokens) - 1
	if last < 1 || len(request.Prefix) <= last {
		return 0, 0
	}
	return request.Prefix[last-1], request.PrefixTokens[last-1]
}

// rendezvous names the endpoint with the highest hash for a key: all hosts find
// the same without a word, and an endpoint that goes moves only its own keys.
func rendezvous(key uint64, endpoints []*directory.Entry) string {
	best, highest := "", uint64(0)
	for i := range endpoints {
		hash := mix(key ^ xxhash.Sum64String(endpoints[i].ID))
		if best == "" || hash > highest {
			best, highest = endpoints[i].ID, hash
		}
	}
	return best
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
