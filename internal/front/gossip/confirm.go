package gossip

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// confirmDelay is how long a confirmation waits for another: the calls of a reader for settings and endpoints end at
// about the same time, and one datagram can carry both.
const confirmDelay = 10 * time.Millisecond

// RequestConfirmation asks for a confirmation to all members: the store has just answered this host. It does not
// block.
func (g *Gossip) RequestConfirmation() {
	lifetime.Wake(g.confirm)
}

// sendConfirmations sends the confirmations that Confirm asks for until done is closed.
func (g *Gossip) sendConfirmations(done <-chan struct{}) {
	for {
		select {
		case <-g.confirm:
		case <-done:
			return
		}
		delay := time.NewTimer(confirmDelay)
		select {
		case <-delay.C:
		case <-done:
			delay.Stop()
			return
		}
		g.sendConfirmation()
	}
}

// sendConfirmation sends all members what this host can confirm.
func (g *Gossip) sendConfirmation() {
	topics := g.parts.Host.Confirmations()
	g.mu.Lock()
	members := g.addresses()
	leaving := g.leaving
	g.mu.Unlock()
	switch {
	case leaving || len(topics) == 0:
	case isRestored(topics):
		g.sendEnvelope(envelope.KindConfirmation, topics, members)
	default:
		g.sendDatagram(counters.PeerHeartbeats, &Confirmation{Incarnation: g.incarnation, Topics: topics}, members)
	}
}

// isRestored reports whether a confirmation is of an era of the store after the first. Hosts that know no eras take revisions of
// one from their peers, and then confirm what they have not read: theirs are told apart by the kind of message.
func isRestored(topics []TopicConfirmation) bool {
	return slices.ContainsFunc(topics, func(t TopicConfirmation) bool { return era.Of(t.Revision) > 0 })
}

// confirmed handles a confirmation of the first era.
func (g *Gossip) confirmed(c *Confirmation) {
	if !isRestored(c.Topics) {
		g.useConfirmation(c)
	}
}

// confirmedInEra handles a confirmation of a later era.
func (g *Gossip) confirmedInEra(from envelope.Sender, body []byte) {
	c := Confirmation{Incarnation: from.Incarnation}
	if err := cbor.Unmarshal(body, &c.Topics); err != nil {
		g.parts.Log.WithError(err).WithField("peer", from.Host).Warn("a confirmation can't be read")
		return
	}
	g.useConfirmation(&c)
}

// useConfirmation hands a confirmation to the host. One of an unknown sender is left out: its next counts, once it has
// announced itself.
func (g *Gossip) useConfirmation(c *Confirmation) {
	g.mu.Lock()
	member, known := g.members.ApplyConfirmation(c)
	g.mu.Unlock()
	if !known {
		return
	}
	g.parts.Host.HandleConfirmations(c.Topics)
	g.syncWith(member)
}
