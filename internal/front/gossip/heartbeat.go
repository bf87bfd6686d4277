package gossip

import (
	"errors"
	"net"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

// broadcastHeartbeat sends this host's state to all members, and announces this host to addresses of unknown hosts.
func (g *Gossip) broadcastHeartbeat() {
	state := g.parts.Host.State(!g.UsesAggregators())
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return
	}
	heartbeat := g.newHeartbeat(state)
	members := g.memberAddresses()
	announcement := g.newAnnouncement(true, 0)
	targets := append(g.members.AnnouncementTargets(g.parts.Clock()), g.memberToQuery()...)
	report := g.nextReport()
	g.mu.Unlock()
	g.sendHeartbeat(heartbeat, members)
	if report != nil {
		report.Engines = g.parts.Host.EngineReports()
		g.sendDatagram(counters.PeerHeartbeats, report, members)
	}
	g.sendHeartbeat(announcement, targets)
}

// memberToQuery returns the address of a member to ask for hosts that this host does not know, if a query is due. The
// lock is held.
func (g *Gossip) memberToQuery() []string {
	now := g.parts.Clock()
	if now.Before(g.nextQueryAt) {
		return nil
	}
	g.nextQueryAt = now.Add(backoff.Spread(queryInterval, querySpread, g.parts.Random()))
	return g.randomAddresses(1)
}

// newHeartbeat returns the next heartbeat. The lock is held.
func (g *Gossip) newHeartbeat(state State) *Heartbeat {
	g.sequence++
	g.lastState = State{Settings: state.Settings, Directory: state.Directory, ReadsStore: state.ReadsStore}
	return &Heartbeat{
		Incarnation: g.incarnation, Sequence: g.sequence, Settings: state.Settings, Directory: state.Directory,
		Loads: state.Loads, Ejections: state.Ejections, Holders: state.Holders, Leaving: g.leaving,
		ReadsStore: state.ReadsStore, Delta: state.Delta, Patch: state.Patch,
	}
}

// nextReport returns the next report without its engines, or nil if none is due. The lock is held.
func (g *Gossip) nextReport() *Report {
	now := g.parts.Clock()
	if now.Before(g.nextReportAt) || g.usesAggregatorsLocked() {
		return nil
	}
	g.nextReportAt = now.Add(reportPace(g.members.Count() + 1))
	g.reports++
	return &Report{Incarnation: g.incarnation, Sequence: g.reports}
}

// newAnnouncement returns a heartbeat with this host's announcement, which carries at most a number of addresses of
// other hosts. The lock is held.
func (g *Gossip) newAnnouncement(wantReply bool, addresses int) *Heartbeat {
	g.sequence++
	return &Heartbeat{
		Incarnation: g.incarnation, Sequence: g.sequence, Settings: g.lastState.Settings, Directory: g.lastState.Directory, ReadsStore: g.lastState.ReadsStore,
		Announcement: &Announcement{
			Host: g.parts.Config.Name, Address: g.address, Zone: g.parts.Config.Zone, Start: g.startNanos, WantReply: wantReply,
			Hosts: g.members.Count() + 1, KnownAddresses: g.randomAddresses(addresses),
		},
	}
}

// randomAddresses returns the addresses of at most a number of members, picked at random. The lock is held.
func (g *Gossip) randomAddresses(limit int) []string {
	if limit == 0 {
		return nil
	}
	live := g.memberAddresses()
	first := int(g.parts.Random() * float64(len(live)))
	rotated := slices.Concat(live[first:], live[:first])
	return rotated[:min(limit, len(rotated))]
}

// memberAddresses returns the addresses of all members. The lock is held.
func (g *Gossip) memberAddresses() []string {
	addresses := make([]string, 0, g.members.Count())
	for _, member := range g.members.Live() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// replyToAnnouncement announces this host to a host that asked for a reply.
func (g *Gossip) replyToAnnouncement(sender *Announcement) {
	g.mu.Lock()
	announcement := g.newAnnouncement(false, addressCountFor(sender.Hosts, g.members.Count()+1))
	g.mu.Unlock()
	g.sendHeartbeat(announcement, []string{sender.Address})
}

func (g *Gossip) sendHeartbeat(h *Heartbeat, targets []string) {
	kind := counters.PeerHeartbeats
	if h.Announcement != nil {
		kind = counters.PeerAnnouncements
	}
	g.sendDatagram(kind, h, targets)
}

// sendDatagram sends a message to some addresses.
func (g *Gossip) sendDatagram(kind counters.PeerTraffic, message any, targets []string) {
	if len(targets) == 0 {
		return
	}
	data, err := cbor.Marshal(message)
	if err != nil {
		g.parts.Log.WithError(err).Error("encoding a datagram failed, it is not sent")
		return
	}
	g.parts.CountSent(kind, len(data)*len(targets))
	for _, target := range targets {
		address, err := net.ResolveUDPAddr("udp", target)
		if err != nil {
			g.parts.Log.WithError(err).WithField("address", target).Debug("resolving a peer's address failed, the datagram is not sent there")
			continue
		}
		// Datagrams may be lost in any case; the next one carries the state again.
		_, _ = g.packets.WriteTo(data, address)
	}
}

// receive handles datagrams until the socket is closed.
func (g *Gossip) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.packets.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// The error concerns one datagram, such as an ICMP refusal of one that was sent.
			continue
		}
		g.HandleDatagram(buffer[:n], from.String())
	}
}

// HandleDatagram decodes and handles a datagram from an address. The data are untrusted. Messages are distinguished by
// the number and types of their fields.
func (g *Gossip) HandleDatagram(data []byte, from string) {
	var h Heartbeat
	err := cbor.Unmarshal(data, &h)
	if err == nil {
		g.handleHeartbeat(&h, from)
		return
	}
	if decodeAs(data, g.handleReport) || decodeAs(data, g.handleConfirmation) ||
		decodeAs(data, g.handleContribution) || decodeAs(data, g.handleFleetSum) || decodeAs(data, g.handleZoneSum) || decodeAs(data, g.handleEnvelope) {
		return
	}
	g.parts.Log.WithError(err).WithField("address", from).Debug("a datagram can't be decoded as any known message, it is dropped")
}

// decodeAs handles a datagram if it decodes as a message of type T, and reports whether it does.
func decodeAs[T any](data []byte, handle func(*T)) bool {
	message := new(T)
	if cbor.Unmarshal(data, message) != nil {
		return false
	}
	handle(message)
	return true
}

func (g *Gossip) handleReport(r *Report) {
	g.mu.Lock()
	member, accepted := g.members.ApplyReport(r)
	g.mu.Unlock()
	if accepted {
		g.parts.Host.HandleReport(member, r.Engines)
	}
}

// handleHeartbeat handles a heartbeat that was received from an address.
func (g *Gossip) handleHeartbeat(h *Heartbeat, from string) {
	g.mu.Lock()
	member, isNew, accepted := g.members.ApplyHeartbeat(g.parts.Clock(), h)
	if !accepted && h.Announcement == nil && !g.members.HasIncarnation(h.Incarnation) {
		g.members.AddUnknownSender(g.parts.Clock(), from)
	}
	if isNew && accepted {
		g.joinedAt = g.parts.Clock()
	}
	hosts := g.members.Count() + 1
	leaving := g.leaving
	g.mu.Unlock()
	if !accepted {
		return
	}
	if h.Leaving {
		g.parts.Host.HandlePeerLoss(member.Name)
		g.parts.Log.WithFields(logrus.Fields{"peer": member.Name, "hosts": hosts}).Info("peer leaves")
		return
	}
	if h.Announcement == nil {
		g.parts.Host.HandleHeartbeat(member.Name, h)
	} else if h.Announcement.WantReply && !leaving {
		g.replyToAnnouncement(h.Announcement)
	}
	if isNew {
		g.parts.Log.WithFields(logrus.Fields{"peer": member.Name, "address": member.Address, "hosts": hosts}).Info("peer joined")
		g.onJoin(envelope.Sender{Host: member.Name, Incarnation: member.incarnation})
		g.RequestHeartbeat()
	}
	g.syncWith(member)
}
