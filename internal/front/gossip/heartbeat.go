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

// heartbeat sends this host's state to all members, and announces this host to addresses
// whose host is not known.
func (g *Gossip) heartbeat() {
	state := g.parts.Host.State(!g.UsesAggregators())
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return
	}
	heartbeat := g.newHeartbeat(state)
	members := g.addresses()
	announcement := g.newAnnouncement(true, 0)
	targets := append(g.members.AnnouncementTargets(g.parts.Clock()), g.memberToAsk()...)
	report := g.nextReport()
	g.mu.Unlock()
	g.send(heartbeat, members)
	if report != nil {
		report.Engines = g.parts.Host.EngineReports()
		g.sendDatagram(counters.PeerHeartbeats, report, members)
	}
	g.send(announcement, targets)
}

// memberToAsk returns the address of a member to ask for hosts that this one does not know,
// if that is due. The lock is held.
func (g *Gossip) memberToAsk() []string {
	now := g.parts.Clock()
	if now.Before(g.askAt) {
		return nil
	}
	g.askAt = now.Add(backoff.Spread(askInterval, askSpread, g.parts.Random()))
	return g.someMembers(1)
}

// newHeartbeat returns the next heartbeat. The lock is held.
func (g *Gossip) newHeartbeat(state State) *Heartbeat {
	g.sequence++
	g.last = State{Settings: state.Settings, Directory: state.Directory, ReadsStore: state.ReadsStore}
	return &Heartbeat{
		Incarnation: g.incarnation, Sequence: g.sequence, Settings: state.Settings, Directory: state.Directory,
		Loads: state.Loads, Ejections: state.Ejections, Holders: state.Holders, Leaving: g.leaving,
		ReadsStore: state.ReadsStore, Delta: state.Delta, Patch: state.Patch,
	}
}

// nextReport returns the next report, without what the host observed, or nil if none is due. The lock is
// held.
func (g *Gossip) nextReport() *Report {
	now := g.parts.Clock()
	if now.Before(g.reportAt) || g.aggregates() {
		return nil
	}
	g.reportAt = now.Add(reportPace(g.members.Count() + 1))
	g.reports++
	return &Report{Incarnation: g.incarnation, Sequence: g.reports}
}

// newAnnouncement returns a heartbeat that says who this host is, with the addresses of at
// most a number of other hosts. The lock is held.
func (g *Gossip) newAnnouncement(wantReply bool, addresses int) *Heartbeat {
	g.sequence++
	return &Heartbeat{
		Incarnation: g.incarnation, Sequence: g.sequence, Settings: g.last.Settings, Directory: g.last.Directory, ReadsStore: g.last.ReadsStore,
		Announcement: &Announcement{
			Host: g.parts.Config.Name, Address: g.address, Zone: g.parts.Config.Zone, Start: g.start, WantReply: wantReply,
			Hosts: g.members.Count() + 1, KnownAddresses: g.someMembers(addresses),
		},
	}
}

// someMembers returns the addresses of at most a number of members, picked at random. The
// lock is held.
func (g *Gossip) someMembers(most int) []string {
	if most == 0 {
		return nil
	}
	live := g.addresses()
	first := int(g.parts.Random() * float64(len(live)))
	rotated := slices.Concat(live[first:], live[:first])
	return rotated[:min(most, len(rotated))]
}

// addresses returns where the members are. The lock is held.
func (g *Gossip) addresses() []string {
	addresses := make([]string, 0, g.members.Count())
	for _, member := range g.members.Live() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// reply announces this host to one that asked for it.
func (g *Gossip) reply(asker *Announcement) {
	g.mu.Lock()
	announcement := g.newAnnouncement(false, addressesFor(asker.Hosts, g.members.Count()+1))
	g.mu.Unlock()
	g.send(announcement, []string{asker.Address})
}

func (g *Gossip) send(h *Heartbeat, targets []string) {
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
		g.parts.Log.WithError(err).Error("a datagram can't be encoded")
		return
	}
	g.parts.CountSent(kind, len(data)*len(targets))
	for _, target := range targets {
		address, err := net.ResolveUDPAddr("udp", target)
		if err != nil {
			g.parts.Log.WithError(err).WithField("address", target).Debug("a peer's address can't be used")
			continue
		}
		// The next heartbeat makes up for one that is lost.
		_, _ = g.packets.WriteTo(data, address)
	}
}

// receive handles heartbeats until the socket is closed.
func (g *Gossip) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.packets.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// A single datagram could not be read, such as one that was refused.
			continue
		}
		g.HandleDatagram(buffer[:n], from.String())
	}
}

// HandleDatagram handles a datagram from an address, which may be any bytes. The messages are told apart by their number of
// fields.
func (g *Gossip) HandleDatagram(data []byte, from string) {
	var h Heartbeat
	err := cbor.Unmarshal(data, &h)
	if err == nil {
		g.received(&h, from)
		return
	}
	if decodeAs(data, g.reported) || decodeAs(data, g.confirmed) ||
		decodeAs(data, g.contributed) || decodeAs(data, g.fleetSummed) || decodeAs(data, g.zoneSummed) || decodeAs(data, g.opened) {
		return
	}
	g.parts.Log.WithError(err).WithField("address", from).Debug("a datagram is none of the messages")
}

// decodeAs handles a datagram if it is a certain message, and reports whether it is.
func decodeAs[T any](data []byte, handle func(*T)) bool {
	message := new(T)
	if cbor.Unmarshal(data, message) != nil {
		return false
	}
	handle(message)
	return true
}

// reported handles a report.
func (g *Gossip) reported(r *Report) {
	g.mu.Lock()
	member, counts := g.members.ApplyReport(r)
	g.mu.Unlock()
	if counts {
		g.parts.Host.HandleReport(member, r.Engines)
	}
}

// received handles a heartbeat that came from an address.
func (g *Gossip) received(h *Heartbeat, from string) {
	g.mu.Lock()
	member, isNew, counts := g.members.ApplyHeartbeat(g.parts.Clock(), h)
	if !counts && h.Announcement == nil && !g.members.HasIncarnation(h.Incarnation) {
		g.members.AddUnknownSender(g.parts.Clock(), from)
	}
	if isNew && counts {
		g.joinedAt = g.parts.Clock()
	}
	hosts := g.members.Count() + 1
	leaving := g.leaving
	g.mu.Unlock()
	if !counts {
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
		g.reply(h.Announcement)
	}
	if isNew {
		g.parts.Log.WithFields(logrus.Fields{"peer": member.Name, "address": member.Address, "hosts": hosts}).Info("peer joined")
		g.joined(envelope.Sender{Host: member.Name, Incarnation: member.incarnation})
		g.RequestHeartbeat()
	}
	g.syncWith(member)
}
