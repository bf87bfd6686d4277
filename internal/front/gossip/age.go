package gossip

import "time"

// PeerAge returns how long a live peer has been running by the wall clocks of both hosts, or 0 if the peer is not known.
func (g *Gossip) PeerAge(host string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, member := range g.members.live {
		if member.Name == host {
			return time.Since(time.Unix(0, member.startNanos))
		}
	}
	return 0
}
