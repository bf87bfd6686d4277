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

// confirmDelay is how long a confirmation is delayed to share a datagram with another: a reader's calls for settings
// and for endpoints end at about the same time.
const confirmDelay = 10 * time.Millisecond

// RequestConfirmation requests a confirmation to all members, after the store has answered this host. It does not
// block.
func (g *Gossip) RequestConfirmation() {
	lifetime.Wake(g.confirmationWanted)
}

// sendConfirmations sends the confirmations that RequestConfirmation requests until done is closed.
func (g *Gossip) sendConfirmations(done <-chan struct{}) {
	for {
		select {
		case <-g.confirmationWanted:
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

// sendConfirmation sends this host's confirmations to all members.
func (g *Gossip) sendConfirmation() {
	topics := g.parts.Host.Confirmations()
	g.mu.Lock()
	leaving := g.leaving
	g.mu.Unlock()
	switch {
	case leaving || len(topics) == 0:
	case isOfLaterEra(topics):
		g.broadcastEnvelope(envelope.KindConfirmation, topics, 1)
	default:
		g.broadcast(counters.PeerHeartbeats, &Confirmation{Incarnation: g.incarnation, Topics: topics}, 1)
	}
}

// isOfLaterEra reports whether a confirmation belongs to an era of the store after the first. Hosts of versions without
// eras accept revisions of a later era from peers and then confirm state that they have not read. Confirmations of
// later eras are therefore sent as envelopes of KindConfirmation, which those versions never send.
func isOfLaterEra(topics []TopicConfirmation) bool {
	return slices.ContainsFunc(topics, func(t TopicConfirmation) bool { return era.Of(t.Revision) > 0 })
}

// handleConfirmation handles a confirmation of the first era.
func (g *Gossip) handleConfirmation(c *Confirmation) {
	if !isOfLaterEra(c.Topics) {
		g.applyConfirmation(c, true)
	}
}

// handleRestoredConfirmation handles a confirmation of a later era, after the store was restored from a backup.
func (g *Gossip) handleRestoredConfirmation(from envelope.Sender, body []byte) {
	c := Confirmation{Incarnation: from.Incarnation}
	if err := cbor.Unmarshal(body, &c.Topics); err != nil {
		g.parts.Log.WithError(err).WithField("peer", from.Host).Warn("a confirmation can't be decoded, it is dropped")
		return
	}
	g.applyConfirmation(&c, true)
}

// applyConfirmation passes a confirmation to Host. A confirmation of an unknown sender is dropped; later ones are used
// once the sender has announced itself. IsReader is set if the store has just answered the sender.
func (g *Gossip) applyConfirmation(c *Confirmation, isReader bool) {
	g.mu.Lock()
	member, known := g.members.ApplyConfirmation(c, isReader)
	g.mu.Unlock()
	if !known {
		return
	}
	g.parts.Host.HandleConfirmations(c.Topics)
	g.syncWith(member)
}
