package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/directory"
	"oxbowslip.dev/oxbowslip/internal/schedule"
)

const (
	// requestTokens is the work of one open request in prompt tokens: what it
	// slows down all others at its endpoint.
	requestTokens = 300
	// longPrefix is the length of a shared prefix, in tokens, from which it pays
	// to send a request where the prefix was read before.
	longPrefix = 1500
	// rereadCost weighs a token that would be read again against one that waits
	// before the request.
	rereadCost = 3
	// zoneTokens is the work that it takes to leave the own availability zone.
	zoneTokens = 150
)

// Choice is an endpoint with the figures that decided.
type Choice struct {
	Endpoint string
	// Tokens is the prompt tokens that the endpoint has to read.
	Tokens int
	// Load is the work there before this request.
	Load Load
	// Cached is the prompt tokens that the endpoint should have read before.
	Cached int
}

// Choose picks the endpoint with the least work for a request: what waits there,
// and what of the prompt it must still read. Endpoints that the request should
// avoid or that failed lately come in question only when there is no other. It
// reports false if there is no endpoint at all.
func (b *Board) Choose(now time.Time, request *schedule.Request, endpoints []directory.Entry) (Choice, bool) {
	candidates := b.candidates(now, request, endpoints)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	key, shared := sharedPrefix(request)
	home := ""
	if shared >= longPrefix {
		home = rendezvous(key, candidates)
	}
	var best Choice
	bestCost := 0
	for i := range candidates {
		choice, cost := b.weigh(now, request, &candidates[i], home, shared)
		if best.Endpoint == "" || cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	return best, true
}

// weigh gives the cost of sending a request to an endpoint, in prompt tokens.
func (b *Board) weigh(now time.Time, request *schedule.Request, e *directory.Entry, home string, shared int) (Choice, int) {
	choice := Choice{Endpoint: e.ID, Tokens: request.PromptTokens, Load: b.Total(now, e.ID)}
	cost := choice.Load.Requests*requestTokens + choice.Load.Tokens
	if e.Endpoint.Zone != request.Zone {
		cost += zoneTokens
	}
	if home == "" {
		return choice, cost
	}
	if e.ID == home {
		choice.Cached = shared
		choice.Tokens -= shared
		return choice, cost
	}
	return choice, cost + shared*rereadCost
}

// candidates leaves out endpoints that failed lately, then those to avoid, as
// long as others are left.
func (b *Board) candidates(now time.Time, request *schedule.Request, endpoints []directory.Entry) []directory.Entry {
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

func keep(endpoints []directory.Entry, wanted func(e *directory.Entry) bool) []directory.Entry {
	kept := make([]directory.Entry, 0, len(endpoints))
	for i := range endpoints {
		if wanted(&endpoints[i]) {
			kept = append(kept, endpoints[i])
		}
	}
	return kept
}

// sharedPrefix gives the longest leading part of a prompt that other requests
// share, and its length in tokens. The last part is the request's own.
func sharedPrefix(request *schedule.Request) (key uint64, tokens int) {
	last := len(request.PrefixTokens) - 1
	if last < 1 || len(request.Prefix) <= last {
		return 0, 0
	}
	return request.Prefix[last-1], request.PrefixTokens[last-1]
}

// rendezvous names the endpoint with the highest hash for a key: all hosts find
// the same without a word, and an endpoint that goes moves only its own keys.
func rendezvous(key uint64, endpoints []directory.Entry) string {
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
