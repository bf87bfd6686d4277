package gossip

import (
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

// A message to all hosts of a large fleet is passed on along a tree. The sender sends it to one host of each availability
// zone, which divides its zone into relayFanOut groups and sends it to one host of each; these divide their groups in the
// same way. No host sends more than relayFanOut datagrams for a message, a message takes log(hosts) steps, and one copy of
// it crosses to each zone. The hosts that pass a message on are drawn for each message, so that none carries more than
// others, and the next message takes another way around a host that has failed.

const (
	// relayFanOut is the largest number of groups, and of hosts in a group that is not divided further. Three steps reach
	// all hosts of a zone of 4,096.
	relayFanOut = 16
	// maxRelaySteps bounds the hosts that pass a copy on one after the other: 16 to the power of 8 hosts.
	maxRelaySteps = 8
	// urgentCopies is the number of trees for messages that are not repeated. With 17 % of the hosts out of reach, a host
	// misses one copy in three and both in ten cases.
	urgentCopies = 2
	// maxCopies is the number of copies of a message that a host passes on; a host with other members may receive more.
	maxCopies = 4 * urgentCopies
	// relayWindow is the number of recent messages of a sender that are remembered to detect copies, and maxRelaySenders
	// the number of senders.
	relayWindow     = 64
	maxRelaySenders = 1 << 13
)

// Relay is a message that its receiver handles and passes on to the hosts of its zone whose ranks are in a range.
type Relay struct {
	_ struct{} `cbor:",toarray"`

	// Origin is the incarnation of the host that sent the message first, Number counts its messages.
	Origin uint32
	Number uint64
	// From and To are the ends of the range. The range is empty if From is greater than To.
	From uint64
	To   uint64
	// By are the ranks of the hosts that have passed the message on, which have it although they may be in the range.
	By []uint64
	// Datagram is the message as it would be sent to each host.
	Datagram []byte
}

// hop is a host to which a message is sent, and the range of ranks of its zone for which it is to pass it on.
type hop struct {
	address  string
	from, to uint64
}

// firstHops returns the hosts to which this host sends a message for all: one in each other zone, and those of its own
// zone as if it had received the message for the whole zone. Random returns numbers in [0, 1).
func (m *Members) firstHops(random func() float64) []hop {
	var hops []hop
	relays := m.indexed().relays
	// The order of the zones decides which random number each of them gets.
	for _, zone := range slices.Sorted(maps.Keys(relays)) {
		if zone == m.zone {
			continue
		}
		hosts := relays[zone]
		hops = append(hops, hop{address: hosts[int(random()*float64(len(hosts)))].Address, to: math.MaxUint64})
	}
	return append(hops, m.nextHops(0, math.MaxUint64, nil, random)...)
}

// nextHops returns the hosts to which this host passes on a message for a range of ranks of its zone. By are the ranks of
// the hosts that have the message already.
func (m *Members) nextHops(from, to uint64, by []uint64, random func() float64) []hop {
	hosts := slices.DeleteFunc(slices.Clone(inRange(m.indexed().relays[m.zone], from, to)), func(member *Member) bool {
		return member == &m.own || slices.Contains(by, member.rank)
	})
	var hops []hop
	if len(hosts) <= relayFanOut {
		for _, member := range hosts {
			hops = append(hops, hop{address: member.Address, from: 1})
		}
		return hops
	}
	groups := min((len(hosts)+relayFanOut-1)/relayFanOut, relayFanOut)
	for i := range groups {
		group := hosts[i*len(hosts)/groups : (i+1)*len(hosts)/groups]
		member := group[int(random()*float64(len(group)))]
		hops = append(hops, hop{address: member.Address, from: group[0].rank, to: group[len(group)-1].rank})
	}
	return hops
}

// relayState is this host's state for relaying.
type relayState struct {
	// sent counts this host's own messages.
	sent uint64
	seen map[uint32]*relayHistory
}

// relayHistory holds the recent messages of a sender.
type relayHistory struct {
	newest uint64
	// copies counts the copies of each message by its number modulo relayWindow.
	copies [relayWindow]uint8
}

// record counts a copy of a message. It reports whether it is the first copy, and whether the copy may be passed on.
func (s *relayState) record(origin uint32, number uint64) (isFirst, mayPass bool) {
	h, ok := s.seen[origin]
	if !ok {
		if s.seen == nil || len(s.seen) >= maxRelaySenders {
			s.seen = make(map[uint32]*relayHistory)
		}
		h = new(relayHistory)
		s.seen[origin] = h
	}
	switch {
	case number > h.newest:
		for n := max(h.newest+1, number-min(number, relayWindow-1)); n <= number; n++ {
			h.copies[n%relayWindow] = 0
		}
		h.newest = number
	case h.newest-number >= relayWindow:
		return false, false
	}
	copies := &h.copies[number%relayWindow]
	if *copies >= maxCopies {
		return false, false
	}
	*copies++
	return *copies == 1, true
}

// broadcast sends a message to all members. In a large fleet, those that relay messages get it along a number of trees.
func (g *Gossip) broadcast(kind counters.PeerTraffic, message any, copies int) {
	g.mu.Lock()
	if !g.members.IsLarge() {
		members := g.memberAddresses()
		g.mu.Unlock()
		g.sendDatagram(kind, message, members)
		return
	}
	legacy := g.legacyAddresses()
	g.mu.Unlock()
	g.sendDatagram(kind, message, legacy)
	data, err := cbor.Marshal(message)
	if err != nil {
		g.parts.Log.WithError(err).Error("encoding a datagram failed, it is not sent")
		return
	}
	g.mu.Lock()
	g.relays.sent++
	relay := Relay{Origin: g.incarnation, Number: g.relays.sent, By: []uint64{g.members.own.rank}, Datagram: data}
	g.relays.record(relay.Origin, relay.Number)
	var hops []hop
	for range copies {
		hops = append(hops, g.members.firstHops(g.parts.Random)...)
	}
	g.mu.Unlock()
	g.sendRelay(&relay, hops)
}

// sendRelay sends a message to hosts that pass it on.
func (g *Gossip) sendRelay(relay *Relay, hops []hop) {
	next := *relay
	for len(hops) > 0 {
		// Hosts that pass the message on to nobody get the same datagram.
		same := 1
		for same < len(hops) && hops[same].from == hops[0].from && hops[same].to == hops[0].to {
			same++
		}
		var targets []string
		for _, h := range hops[:same] {
			targets = append(targets, h.address)
		}
		next.From, next.To = hops[0].from, hops[0].to
		g.sendEnvelopeAs(counters.PeerRelays, envelope.KindRelay, &next, targets)
		hops = hops[same:]
	}
}

// handleRelay passes a message on, and handles it unless it is a copy of an earlier one.
func (g *Gossip) handleRelay(body []byte) {
	var relay Relay
	if err := cbor.Unmarshal(body, &relay); err != nil || len(relay.By) > maxRelaySteps {
		g.refuse(counters.RefusedMalformed, "a relayed message can't be decoded", err)
		return
	}
	g.mu.Lock()
	isFirst, mayPass := g.relays.record(relay.Origin, relay.Number)
	var hops []hop
	if mayPass && relay.From <= relay.To {
		hops = g.members.nextHops(relay.From, relay.To, relay.By, g.parts.Random)
		relay.By = append(relay.By, g.members.own.rank)
	}
	g.mu.Unlock()
	if !mayPass {
		g.refuse(counters.RefusedRepeated, "a relayed message has arrived too often", nil)
		return
	}
	g.sendRelay(&relay, hops)
	if isFirst {
		g.handleMessage(relay.Datagram, "")
	}
}
