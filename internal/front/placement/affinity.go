package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Affinity: a prompt whose beginning is shared with other prompts is cheaper at an endpoint that has that beginning in
// its cache. Hosts report to each other which endpoint was sent which prefix; for an unknown prefix, a hash selects the
// same endpoint on every host.

// minSharedPrefix is the minimum length, in tokens, of a shared prefix that determines placement. Processing a shorter
// one again costs less than waiting for one endpoint. It depends on the processing rate of engines (37 to 48 tokens per
// ms).
const minSharedPrefix = 1500

// holderTimeout is how long an endpoint counts as a holder of a prefix after its last use. Engines evict the least
// recently used prefixes, and a wrong guess costs one processing of the prefix.
const holderTimeout = time.Minute

// Holder is an endpoint that was sent a prompt with a prefix, and so has the prefix in its cache.
type Holder struct {
	Prefix   keys.Prefix
	Endpoint keys.Endpoint
}

// holderTable holds the endpoints to which this host or a peer has sent each prefix, with the time of the last use.
type holderTable map[keys.Prefix]map[keys.Endpoint]time.Time

// Record records a holder, and reports whether it is new.
func (t holderTable) Record(now time.Time, h Holder) bool {
	endpoints, ok := t[h.Prefix]
	if !ok {
		endpoints = make(map[keys.Endpoint]time.Time)
		t[h.Prefix] = endpoints
	}
	_, known := endpoints[h.Endpoint]
	endpoints[h.Endpoint] = now
	return !known
}

// dropEndpoint removes all prefixes of an endpoint.
func (t holderTable) dropEndpoint(endpoint keys.Endpoint) {
	for _, endpoints := range t {
		delete(endpoints, endpoint)
	}
}

// expire removes holders that were not used within holderTimeout.
func (t holderTable) expire(now time.Time) {
	for prefix, endpoints := range t {
		for endpoint, at := range endpoints {
			if now.Sub(at) > holderTimeout {
				delete(endpoints, endpoint)
			}
		}
		if len(endpoints) == 0 {
			delete(t, prefix)
		}
	}
}

// sharedPrefix returns the hash and the length in tokens of the longest leading part of a prompt that other requests
// share. The last part is specific to the request.
func sharedPrefix(request *admission.Request) (hash uint64, tokens int) {
	last := len(request.PrefixTokens) - 1
	if last < 1 || len(request.Prefix) <= last {
		return 0, 0
	}
	return request.Prefix[last-1], request.PrefixTokens[last-1]
}

// rendezvous returns the ID of the endpoint with the highest hash for a key. All hosts select the same endpoint without
// communication, and the removal of an endpoint moves only its own keys.
func rendezvous(key uint64, endpoints []*directory.Entry) string {
	best, highest := "", uint64(0)
	for _, e := range endpoints {
		hash := keys.MixBits(key ^ xxhash.Sum64String(e.ID))
		if best == "" || hash > highest {
			best, highest = e.ID, hash
		}
	}
	return best
}
