package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Load is the work in flight at an endpoint.
type Load struct {
	// Requests is the number of open requests.
	Requests int
	// Tokens is the number of prompt tokens that the endpoint has not processed yet.
	Tokens int
}

// Cost returns the cost of the work to a request that is sent to the same endpoint, in prompt tokens.
func (l *Load) Cost() int { return l.Requests*requestCost + l.Tokens }

func (l *Load) add(other Load) {
	l.Requests += other.Requests
	l.Tokens += other.Tokens
}

func (l *Load) subtract(other Load) {
	l.add(Load{Requests: -other.Requests, Tokens: -other.Tokens})
}

// peerLoadTimeout is how long a peer's report of its loads is valid. Peers send a heartbeat at least about once a
// second, so a report expires after three missed heartbeats.
const peerLoadTimeout = 3 * time.Second

// maxParts bounds the parts of a sum: 64 parts hold the loads of 64,000 endpoints.
const maxParts = 64

// peerReport is the latest report of one peer.
type peerReport struct {
	at    time.Time
	loads map[keys.Endpoint]Load
}

// loadTable holds the loads of all hosts at all endpoints.
type loadTable struct {
	own   map[string]*Load
	peers map[string]peerReport
	// peerTotals holds the sum of the peers' loads at each endpoint.
	peerTotals map[keys.Endpoint]Load
	// sums holds the loads of the other hosts of a large fleet, in parts, excluding the hosts that report to every host
	// directly.
	sums []partSum
}

// Part identifies one of several parts into which endpoints are divided by their keys if one message can't hold the
// loads of all.
type Part struct {
	// Number is in the range [0, Of).
	Number, Of int
}

// IsValid reports whether the part's number and the number of parts are in range.
func (p Part) IsValid() bool { return p.Number >= 0 && p.Number < p.Of && p.Of <= maxParts }

// Has reports whether an endpoint belongs to the part.
func (p Part) Has(endpoint keys.Endpoint) bool {
	return p.Of <= 1 || int(endpoint%keys.Endpoint(p.Of)) == p.Number
}

// partSum is the sum of the loads at the endpoints of one part.
type partSum struct {
	at    time.Time
	loads map[keys.Endpoint]Load
}

func newLoadTable() loadTable {
	return loadTable{own: make(map[string]*Load), peers: make(map[string]peerReport), peerTotals: make(map[keys.Endpoint]Load)}
}

// Begin counts a request that this host sends to an endpoint. Tokens is the number of its prompt tokens that the
// endpoint has to process.
func (t *loadTable) Begin(endpoint string, tokens int) {
	load, ok := t.own[endpoint]
	if !ok {
		load = new(Load)
		t.own[endpoint] = load
	}
	load.add(Load{Requests: 1, Tokens: tokens})
}

// Processed subtracts prompt tokens that an endpoint has processed.
func (t *loadTable) Processed(endpoint string, tokens int) {
	if load, ok := t.own[endpoint]; ok {
		load.Tokens -= tokens
	}
}

// End subtracts a request that has ended. Tokens is the number of its prompt tokens that were not processed.
func (t *loadTable) End(endpoint string, tokens int) {
	load, ok := t.own[endpoint]
	if !ok {
		return
	}
	load.subtract(Load{Requests: 1, Tokens: tokens})
	if *load == (Load{}) {
		delete(t.own, endpoint)
	}
}

// Own returns a copy of this host's loads.
func (t *loadTable) Own() map[string]Load {
	loads := make(map[string]Load, len(t.own))
	for endpoint, load := range t.own {
		loads[endpoint] = *load
	}
	return loads
}

// SetPeer replaces a peer's report.
func (t *loadTable) SetPeer(now time.Time, peer string, loads map[keys.Endpoint]Load) {
	t.DropPeer(peer)
	t.peers[peer] = peerReport{at: now, loads: loads}
	for key, load := range loads {
		total := t.peerTotals[key]
		total.add(load)
		t.peerTotals[key] = total
	}
}

// DropPeer removes a peer's report.
func (t *loadTable) DropPeer(peer string) {
	for key, load := range t.peers[peer].loads {
		total := t.peerTotals[key]
		total.subtract(load)
		t.peerTotals[key] = total
		if total == (Load{}) {
			delete(t.peerTotals, key)
		}
	}
	delete(t.peers, peer)
}

// SetSum replaces the loads of all other hosts of a large fleet at the endpoints of one part.
func (t *loadTable) SetSum(now time.Time, part Part, loads map[keys.Endpoint]Load) {
	if !part.IsValid() {
		return
	}
	if len(t.sums) != part.Of {
		t.sums = make([]partSum, part.Of)
	}
	t.sums[part.Number] = partSum{at: now, loads: loads}
}

// requests returns the number of open requests of all hosts, as far as they are known.
func (t *loadTable) requests() int {
	sum := 0
	for _, part := range t.sums {
		for _, load := range part.loads {
			sum += load.Requests
		}
	}
	for _, load := range t.own {
		sum += load.Requests
	}
	return sum
}

// reading returns the keys of the endpoints that have unprocessed prompt tokens.
func (t *loadTable) reading() []keys.Endpoint {
	totals := make(map[keys.Endpoint]int)
	for key, load := range t.peerTotals {
		totals[key] += load.Tokens
	}
	for _, part := range t.sums {
		for key, load := range part.loads {
			totals[key] += load.Tokens
		}
	}
	for id, load := range t.own {
		totals[keys.OfEndpoint(id)] += load.Tokens
	}
	var reading []keys.Endpoint
	for key, tokens := range totals {
		if tokens > 0 {
			reading = append(reading, key)
		}
	}
	return reading
}

// fleetLoad returns the load of an endpoint caused by the other hosts of a large fleet.
func (t *loadTable) fleetLoad(endpoint keys.Endpoint) Load {
	if len(t.sums) == 0 {
		return Load{}
	}
	return t.sums[int(endpoint)%len(t.sums)].loads[endpoint]
}

// expire removes reports that have expired.
func (t *loadTable) expire(now time.Time) {
	old := 0
	for i := range t.sums {
		if now.Sub(t.sums[i].at) > engine.SumTimeout {
			t.sums[i] = partSum{}
			old++
		}
	}
	if old == len(t.sums) {
		t.sums = nil
	}
	for name, peer := range t.peers {
		if now.Sub(peer.at) > peerLoadTimeout {
			t.DropPeer(name)
		}
	}
}

// Total returns the load of an endpoint caused by all hosts.
func (t *loadTable) Total(endpoint string) Load {
	key := keys.OfEndpoint(endpoint)
	total := t.peerTotals[key]
	total.add(t.fleetLoad(key))
	if own, ok := t.own[endpoint]; ok {
		total.add(*own)
	}
	return total
}
