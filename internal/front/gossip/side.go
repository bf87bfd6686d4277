package gossip

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Side is the part of the fleet that a host reaches. In a partition each side has hosts that decide for it, and none knows what
// the others do.
type Side struct {
	// Seen is the number of hosts that this host has messages from, itself included. Before is the number of those that precede it in the
	// order of hosts, Unseen that of the hosts that may be running without that.
	Seen, Before, Unseen int
}

// IsWhole reports whether the side is the whole fleet.
func (s Side) IsWhole() bool { return s.Unseen == 0 }

// IsMost reports whether no other side can be as large.
func (s Side) IsMost() bool { return s.Seen > s.Unseen }

// UnseenShare returns the share of the hosts that are unseen.
func (s Side) UnseenShare() float64 { return float64(s.Unseen) / float64(s.Seen+s.Unseen) }

// silentTime is how long a peer may be silent before it may be on another side: two heartbeats are missing. It is dropped later,
// since that is costly if it is wrong.
const silentTime = probeAfter

// minReplyTime is how long a peer may take to send a heartbeat that is expected of it. In larger fleets it is replyPaces times the
// time between two heartbeats.
const (
	minReplyTime = 300 * time.Millisecond
	replyPaces   = 3
)

// minLonelyTime is the least time without a message of any peer after which a host may be alone on its side, and lonelyGaps how
// many times longer than usual that must be. The usual time is a mean over about gapMemory messages.
const (
	minLonelyTime = 500 * time.Millisecond
	lonelyGaps    = 6
	gapMemory     = 16
)

// ExpectHeartbeats has those peers count as unseen soon that send no heartbeat from now on. It is called when this host has sent a
// message to all of them at which they call RequestHeartbeat. The peers of a large fleet send their heartbeats to others.
func (g *Gossip) ExpectHeartbeats() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.parts.Clock(); now.Sub(g.members.expectedSince) > silentTime {
		g.members.expectedSince = now
	}
}

// Side returns the part of the fleet that this host reaches.
func (g *Gossip) Side() Side {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.side(g.parts.Clock(), g.started)
}

// side is Side for a host that has started at a time.
func (m *Members) side(now, started time.Time) Side {
	s := Side{Seen: 1, Unseen: m.Missing(now, started)}
	for place, member := range m.indexed().ranked {
		switch {
		case member == &m.own:
		case m.isSilent(member, now):
			s.Unseen++
		default:
			s.Seen++
			if place < m.indexed().before {
				s.Before++
			}
		}
	}
	return s
}

// receivesNothing reports whether this host has received no message for far longer than usual. Peers that have work to report send
// messages several times a second, so that a host that is cut off from all others knows it sooner than which of them are gone.
func (m *Members) receivesNothing(now time.Time) bool {
	return now.Sub(m.watch.receivedAt) > min(max(minLonelyTime, lonelyGaps*m.watch.meanGap), silentTime)
}

// isSilent reports whether a member may be on another side. The hosts of a large fleet receive messages of a few others only, and learn of
// the rest by reports, unless they receive none.
func (m *Members) isSilent(member *Member, now time.Time) bool {
	if m.receivesNothing(now) {
		return true
	}
	if m.isWatched(member) {
		return false
	}
	isLate := now.Sub(m.expectedSince) > max(minReplyTime, replyPaces*pace(len(m.live))) && member.lastSeen.Before(m.expectedSince)
	return isLate || now.Sub(member.lastSeen) > silentTime
}

// HasTurn reports whether it is this side's turn in a matter. The turns, which are numbered, pass over all hosts of the fleet, so
// that a side has as large a part of them as of the hosts, and no two sides have the same.
func (g *Gossip) HasTurn(matter string, turn uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.hasTurn(g.parts.Clock(), g.started, matter, turn)
}

// hasTurn is HasTurn for a host that has started at a time. The host with the highest weight has the turn.
func (m *Members) hasTurn(now, started time.Time, matter string, turn uint64) bool {
	seen, unseen := uint64(0), uint64(0)
	for _, member := range m.indexed().ranked {
		w := turnWeight(member.Name, matter, turn)
		if member != &m.own && m.isSilent(member, now) {
			unseen = max(unseen, w)
		} else {
			seen = max(seen, w)
		}
	}
	for name := range m.missing.hosts {
		unseen = max(unseen, turnWeight(name, matter, turn))
	}
	// Of some hosts only the number is known.
	unnamed := m.Missing(now, started) - len(m.missing.hosts)
	known := len(m.live) + 1 + len(m.missing.hosts)
	return seen > unseen && turnWeight("", matter, turn)%uint64(known+max(unnamed, 0)) < uint64(known)
}

func turnWeight(host, matter string, turn uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(host+"\x00"+matter+"\x00"), turn))
}
