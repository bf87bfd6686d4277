package gossip

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

// Envelope is a datagram with a message of another package.
type Envelope struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender, as in Heartbeat. Sequence counts its envelopes.
	Incarnation uint32
	Sequence    uint64
	// Fleet is the sender's fleet. Messages of another fleet are dropped, so that fleets that can reach each other do
	// not mix their counts.
	Fleet uint64
	Kind  envelope.Kind
	Body  cbor.RawMessage
}

// Handle sets the handler for envelopes of a kind. It must be called before Start.
func (g *Gossip) Handle(kind envelope.Kind, handler envelope.Handler) { g.handlers[kind] = handler }

// OnJoin sets a function that is called with each host that joins. It must be called before Start.
func (g *Gossip) OnJoin(joined func(envelope.Sender)) { g.onJoin = joined }

// Self returns this host as the sender of its envelopes.
func (g *Gossip) Self() envelope.Sender {
	return envelope.Sender{Host: g.parts.Config.Name, Incarnation: g.incarnation}
}

// Senders returns the live hosts, this one first.
func (g *Gossip) Senders() []envelope.Sender {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.members.indexed().senders)
}

// Broadcast sends a message to all members. Datagrams may be lost; the caller has to repeat them.
func (g *Gossip) Broadcast(kind envelope.Kind, message any) {
	g.broadcastEnvelope(kind, message, 1)
}

// Neighbors returns the members with which this host exchanges what it observes of endpoints: all members, or those of its
// cell in a large fleet. There every host has few observations, and a message from each to each would cost more than
// they are worth.
func (g *Gossip) Neighbors() []envelope.Sender {
	g.mu.Lock()
	defer g.mu.Unlock()
	var senders []envelope.Sender
	for _, member := range g.members.neighbors() {
		senders = append(senders, envelope.Sender{Host: member.Name, Incarnation: member.incarnation})
	}
	return senders
}

// BroadcastNear sends a message to the Neighbors.
func (g *Gossip) BroadcastNear(kind envelope.Kind, message any) {
	g.mu.Lock()
	var addresses []string
	for _, member := range g.members.neighbors() {
		addresses = append(addresses, member.Address)
	}
	g.mu.Unlock()
	g.sendEnvelope(kind, message, addresses)
}

// broadcastEnvelope is Broadcast along a number of trees in a large fleet.
func (g *Gossip) broadcastEnvelope(kind envelope.Kind, message any, copies int) {
	if e, ok := g.newEnvelope(kind, message); ok {
		g.broadcast(counters.PeerMessages, e, copies)
	}
}

// SendTo sends a message to a member. It does nothing if the host is not a member.
func (g *Gossip) SendTo(host string, kind envelope.Kind, message any) {
	g.mu.Lock()
	address := g.members.Address(host)
	g.mu.Unlock()
	if address != "" {
		g.sendEnvelope(kind, message, []string{address})
	}
}

// newEnvelope returns an envelope with a message. It reports false if the message can't be encoded.
func (g *Gossip) newEnvelope(kind envelope.Kind, message any) (*Envelope, bool) {
	body, err := cbor.Marshal(message)
	if err != nil {
		g.parts.Log.WithError(err).WithField("kind", kind).Error("encoding a message failed, it is not sent")
		return nil, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.envelopes++
	return &Envelope{Incarnation: g.incarnation, Sequence: g.envelopes, Fleet: g.parts.Config.Fleet, Kind: kind, Body: body}, true
}

func (g *Gossip) sendEnvelope(kind envelope.Kind, message any, targets []string) {
	g.sendEnvelopeAs(counters.PeerMessages, kind, message, targets)
}

// sendEnvelopeAs sends an envelope that counts as a kind of traffic.
func (g *Gossip) sendEnvelopeAs(traffic counters.PeerTraffic, kind envelope.Kind, message any, targets []string) {
	if e, ok := g.newEnvelope(kind, message); ok {
		g.sendDatagram(traffic, e, targets)
	}
}

// handleEnvelope passes an envelope to its handler. An envelope of an unknown sender is dropped, unless it is about
// members; later ones are used once the sender has announced itself. From is empty if another host has passed the
// envelope on.
func (g *Gossip) handleEnvelope(e *Envelope, from string) {
	if e.Fleet != g.parts.Config.Fleet {
		return
	}
	switch e.Kind {
	case envelope.KindMembers:
		g.handleUpdates(e.Body)
		return
	case envelope.KindMembersDigest, envelope.KindRelay:
		switch {
		case from == "":
			g.refuse(counters.RefusedMalformed, "a relayed message contains one that is never relayed", nil)
		case e.Kind == envelope.KindRelay:
			g.handleRelay(e.Body)
		default:
			g.handleDigest(e.Incarnation, e.Body, from)
		}
		return
	}
	handler, known := g.handlers[e.Kind]
	if !known {
		return
	}
	g.mu.Lock()
	member, ok := g.members.byIncarnation(e.Incarnation)
	var sender envelope.Sender
	if ok {
		sender = envelope.Sender{Host: member.Name, Incarnation: e.Incarnation}
	}
	g.mu.Unlock()
	if ok {
		handler(sender, e.Body)
	}
}
