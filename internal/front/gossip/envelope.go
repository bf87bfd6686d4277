package gossip

import (
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
	senders := []envelope.Sender{g.Self()}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, member := range g.members.Live() {
		senders = append(senders, envelope.Sender{Host: member.Name, Incarnation: member.incarnation})
	}
	return senders
}

// Broadcast sends a message to all members. Datagrams may be lost; the caller has to repeat them.
func (g *Gossip) Broadcast(kind envelope.Kind, message any) {
	g.mu.Lock()
	addresses := g.memberAddresses()
	g.mu.Unlock()
	g.sendEnvelope(kind, message, addresses)
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

func (g *Gossip) sendEnvelope(kind envelope.Kind, message any, targets []string) {
	body, err := cbor.Marshal(message)
	if err != nil {
		g.parts.Log.WithError(err).WithField("kind", kind).Error("encoding a message failed, it is not sent")
		return
	}
	g.mu.Lock()
	g.envelopes++
	e := Envelope{Incarnation: g.incarnation, Sequence: g.envelopes, Fleet: g.parts.Config.Fleet, Kind: kind, Body: body}
	g.mu.Unlock()
	g.sendDatagram(counters.PeerMessages, &e, targets)
}

// handleEnvelope passes an envelope to its handler. An envelope of an unknown sender is dropped; later ones are used
// once the sender has announced itself.
func (g *Gossip) handleEnvelope(e *Envelope) {
	handler, known := g.handlers[e.Kind]
	if !known || e.Fleet != g.parts.Config.Fleet {
		return
	}
	g.mu.Lock()
	member, ok := g.members.byIncarnation(e.Incarnation)
	var from envelope.Sender
	if ok {
		from = envelope.Sender{Host: member.Name, Incarnation: e.Incarnation}
	}
	g.mu.Unlock()
	if ok {
		handler(from, e.Body)
	}
}
