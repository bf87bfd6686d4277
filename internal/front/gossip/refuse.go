package gossip

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/counters"
)

// refusedLogInterval is the time between two log lines on refused messages.
const refusedLogInterval = time.Second

// refuse counts what a peer sent and this host refuses. The log has one line a second at most, as datagrams may come from
// anyone.
func (g *Gossip) refuse(reason counters.RefusedPeerMessage, what string, err error) {
	g.parts.CountRefused(reason)
	g.mu.Lock()
	now := g.parts.Clock()
	isDue := now.Sub(g.refusedLoggedAt) >= refusedLogInterval
	if isDue {
		g.refusedLoggedAt = now
	}
	g.mu.Unlock()
	if isDue {
		g.parts.Log.WithError(err).WithField("reason", reason).Warn("a peer's message was refused: " + what)
	}
}
