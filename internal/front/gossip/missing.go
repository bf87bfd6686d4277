package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

// Hosts that were lost may be running on the other side of a partition, where they use their parts of the fleet's budgets.
// They count as missing until they return or leave, or until this host may assume that they have given up their parts: a
// host that sees less than half of the fleet does so long before missingTimeout.

const (
	// missingTimeout is how long hosts are missing before a host that sees most of the fleet no longer counts them.
	missingTimeout = time.Minute
	// giveUpTimeout is how long a host that sees less than half of the fleet uses its part of budgets. The difference is
	// longer than the windows of budgets and the time in which hosts notice that they have lost each other.
	giveUpTimeout = 30 * time.Second
	// fleetSizeSenders is the number of hosts that send the size of the fleet to a host that has joined.
	fleetSizeSenders = 3
)

// FleetSize informs a host that has joined of the number of live and missing hosts. It may have started within a partition.
type FleetSize struct {
	_ struct{} `cbor:",toarray"`

	Hosts int
}

// missing holds the missing hosts.
type missing struct {
	hosts map[string]missingHost
	// fleetSize is the number of hosts that a peer has sent to this host at a time, or 0.
	fleetSize  int
	receivedAt time.Time
	// mostSeenAt is when this host last saw at least half of the fleet.
	mostSeenAt time.Time
}

type missingHost struct {
	address string
	since   time.Time
}

func (m *missing) add(member *Member, now time.Time) {
	if len(m.hosts) < maxLostMembers {
		m.hosts[member.Name] = missingHost{address: member.Address, since: now}
	}
}

// count returns the number of missing hosts beside a number of live ones.
func (m *missing) count(live int) int { return max(len(m.hosts), m.fleetSize-live) }

// withheld returns the part of the fleet's budgets that hosts may use that are not seen.
func (m *missing) withheld(now time.Time, live, count int) float64 {
	if live >= count {
		m.mostSeenAt = now
	}
	if now.Sub(m.mostSeenAt) >= giveUpTimeout {
		return 1
	}
	return float64(count) / float64(live+count)
}

// expire drops the hosts that have been missing for missingTimeout, if this host sees most of the fleet. NamedAt returns
// when a peer last named the host that listens on an address: such a host runs.
func (m *missing) expire(now time.Time, live int, namedAt func(address string) time.Time) {
	if live <= m.count(live) {
		return
	}
	if now.Sub(m.receivedAt) >= missingTimeout {
		m.fleetSize = 0
	}
	for name, host := range m.hosts {
		if now.Sub(host.since) >= missingTimeout && now.Sub(namedAt(host.address)) >= missingTimeout {
			delete(m.hosts, name)
		}
	}
}

// expireMissing drops the hosts that no longer count as missing.
func (m *Members) expireMissing(now time.Time) {
	m.missing.expire(now, len(m.live)+1, func(address string) time.Time {
		if entry, ok := m.contacts[address]; ok {
			return entry.lastNamedAt
		}
		return time.Time{}
	})
}

// Missing returns the number of hosts that may be running without this host seeing them. A host that has just started counts
// the addresses at which it finds nobody: it may have started within a partition.
func (m *Members) Missing(now, started time.Time) int {
	count := m.missing.count(len(m.live) + 1)
	if m.IsLarge() || now.Sub(started) >= missingTimeout {
		return count
	}
	known := map[string]bool{m.address: true}
	for _, member := range m.live {
		known[member.Address] = true
	}
	unanswered := 0
	for address := range m.contacts {
		if !known[address] {
			unanswered++
		}
	}
	return max(count, unanswered)
}

// Withheld returns the part of the fleet's budgets that hosts may use that this one does not see, and the number of these
// hosts. It is called about once a second at least.
func (g *Gossip) Withheld() (part float64, hosts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	hosts = g.members.Missing(now, g.started)
	return g.members.missing.withheld(now, g.members.Count()+1, hosts), hosts
}

// sendFleetSize informs a host that has joined of the size of the fleet, if hosts are missing.
func (g *Gossip) sendFleetSize(joined envelope.Sender) {
	g.mu.Lock()
	live := g.members.Count() + 1
	absent := g.members.missing.count(live)
	isSender := g.members.Order().Before < fleetSizeSenders
	g.mu.Unlock()
	if absent > 0 && isSender {
		g.SendTo(joined.Host, envelope.KindFleetSize, &FleetSize{Hosts: live + absent})
	}
}

// handleFleetSize handles the size of the fleet that a peer sends to this host after its start.
func (g *Gossip) handleFleetSize(_ envelope.Sender, body []byte) {
	var received FleetSize
	if err := cbor.Unmarshal(body, &received); err != nil {
		g.refuse(counters.RefusedMalformed, "a message with the size of the fleet can't be decoded", err)
		return
	}
	if received.Hosts < 0 || received.Hosts > maxMembers {
		g.refuse(counters.RefusedMember, "a fleet can't have the size that a peer has sent", nil)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	if now.Sub(g.started) < missingTimeout {
		g.members.missing.fleetSize, g.members.missing.receivedAt = max(g.members.missing.fleetSize, received.Hosts), now
	}
}
