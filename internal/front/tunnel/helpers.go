package tunnel

import "time"

const (
	// helperRestTime is how long a peer that could not connect to an endpoint is only used if no other is left. The same
	// holds for the peers of a zone in which minZoneFailures peers in a row could not.
	helperRestTime  = 2 * time.Second
	minZoneFailures = 2
)

// The costs of a helper, from which the cheapest is chosen. A peer in the endpoint's zone adds no traffic between zones.
const (
	costOwnZone     = 1
	costOtherZone   = 2
	costRestingZone = 4
	costRestingPeer = 8
)

// Peer is a host that may connect to endpoints for this host.
type Peer struct {
	Name    string
	Address string
	Zone    string
}

// zoneFailures counts the failures in a row of the peers of a zone.
type zoneFailures struct {
	inRow  int
	lastAt time.Time
}

// helpers holds the rules for the choice of a peer. It takes the time as a parameter and is not safe for concurrent use.
type helpers struct {
	ownZone      string
	peerFailedAt map[string]time.Time
	zones        map[string]zoneFailures
}

func newHelpers(ownZone string) *helpers {
	return &helpers{ownZone: ownZone, peerFailedAt: make(map[string]time.Time), zones: make(map[string]zoneFailures)}
}

// choose returns a random one of the cheapest peers that have not been tried, and false if there is none.
func (h *helpers) choose(now time.Time, peers []Peer, tried map[string]bool, endpointZone string, random func() float64) (Peer, bool) {
	var cheapest []Peer
	lowest := 0
	for _, peer := range peers {
		if tried[peer.Name] {
			continue
		}
		cost := h.cost(now, &peer, endpointZone)
		if len(cheapest) > 0 && cost > lowest {
			continue
		}
		if len(cheapest) == 0 || cost < lowest {
			cheapest, lowest = cheapest[:0], cost
		}
		cheapest = append(cheapest, peer)
	}
	if len(cheapest) == 0 {
		return Peer{}, false
	}
	return cheapest[int(random()*float64(len(cheapest)))], true
}

func (h *helpers) cost(now time.Time, peer *Peer, endpointZone string) int {
	cost := 0
	switch peer.Zone {
	case endpointZone:
	case h.ownZone:
		cost = costOwnZone
	default:
		cost = costOtherZone
	}
	if failedAt, ok := h.peerFailedAt[peer.Name]; ok && now.Sub(failedAt) < helperRestTime {
		cost += costRestingPeer
	}
	if zone := h.zones[peer.Zone]; zone.inRow >= minZoneFailures && now.Sub(zone.lastAt) < helperRestTime {
		cost += costRestingZone
	}
	return cost
}

// recordFailure records that a peer could not connect to an endpoint, or did not answer.
func (h *helpers) recordFailure(now time.Time, peer *Peer) {
	h.peerFailedAt[peer.Name] = now
	h.zones[peer.Zone] = zoneFailures{inRow: h.zones[peer.Zone].inRow + 1, lastAt: now}
}

// recordSuccess records that a peer has connected to an endpoint.
func (h *helpers) recordSuccess(peer *Peer) {
	delete(h.peerFailedAt, peer.Name)
	delete(h.zones, peer.Zone)
}

// expire drops failures that no longer count.
func (h *helpers) expire(now time.Time) {
	for name, failedAt := range h.peerFailedAt {
		if now.Sub(failedAt) >= helperRestTime {
			delete(h.peerFailedAt, name)
		}
	}
}
