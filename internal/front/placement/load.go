package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Load is the work that is in flight at an endpoint.
type Load struct {
	// Requests is the number of open requests.
	Requests int
	// Tokens is the number of prompt tokens that the endpoint has not processed yet.
	Tokens int
}

func (l *Load) add(other Load) {
	l.Requests += other.Requests
	l.Tokens += other.Tokens
}

func (l *Load) subtract(other Load) {
	l.add(Load{Requests: -other.Requests, Tokens: -other.Tokens})
}

// peerLoadTimeout is how long a peer's report of its loads counts. Peers send a heartbeat
// about once a second at least, so three are missed by then. Not measured.
const peerLoadTimeout = 3 * time.Second

// peerReport is the newest report of one peer.
type peerReport struct {
	at    time.Time
	loads map[keys.Endpoint]Load
}

// loadTable holds the loads of all hosts at all endpoints.
type loadTable struct {
	own   map[string]*Load
	peers map[string]peerReport
	// peerTotals are the sums of the peers' loads.
	peerTotals map[keys.Endpoint]Load
}

func newLoadTable() loadTable {
	return loadTable{own: make(map[string]*Load), peers: make(map[string]peerReport), peerTotals: make(map[keys.Endpoint]Load)}
}

// Begin counts a request that this host sends to an endpoint. Tokens is the part of its
// prompt that the endpoint has to process.
func (t *loadTable) Begin(endpoint string, tokens int) {
	load, ok := t.own[endpoint]
	if !ok {
		load = new(Load)
		t.own[endpoint] = load
	}
	load.add(Load{Requests: 1, Tokens: tokens})
}

// Processed counts prompt tokens that an endpoint has processed.
func (t *loadTable) Processed(endpoint string, tokens int) {
	if load, ok := t.own[endpoint]; ok {
		load.Tokens -= tokens
	}
}

// End counts the end of a request. Tokens is what of its prompt was not processed.
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

// SetPeer replaces the report of a peer.
func (t *loadTable) SetPeer(now time.Time, peer string, loads map[keys.Endpoint]Load) {
	t.DropPeer(peer)
	t.peers[peer] = peerReport{at: now, loads: loads}
	for key, load := range loads {
		total := t.peerTotals[key]
		total.add(load)
		t.peerTotals[key] = total
	}
}

// DropPeer forgets the report of a peer.
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

// expire forgets reports that are too old to count.
func (t *loadTable) expire(now time.Time) {
	for name, peer := range t.peers {
		if now.Sub(peer.at) > peerLoadTimeout {
			t.DropPeer(name)
		}
	}
}

// Total returns the load of an endpoint from all hosts.
func (t *loadTable) Total(endpoint string) Load {
	total := t.peerTotals[keys.OfEndpoint(endpoint)]
	if own, ok := t.own[endpoint]; ok {
		total.add(*own)
	}
	return total
}
