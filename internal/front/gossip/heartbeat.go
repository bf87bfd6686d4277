package gossip

import (
	"errors"
	"net"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// broadcastHeartbeat sends this host's state to all members, and announces this host to addresses of unknown hosts.
func (g *Gossip) broadcastHeartbeat() {
	state := g.parts.Host.State(!g.UsesAggregators())
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return
	}
	isForAll, isForCell := g.takeUpdates(&state), g.hasNewEjection(&state)
	heartbeat := g.newHeartbeat(state)
	members := g.heartbeatTargets(isForCell)
	announcement := g.newAnnouncement(true, 0)
	g.members.contactInterval = contactInterval
	if g.isAlone() {
		g.members.contactInterval = aloneInterval
	}
	contacts, query := g.members.AnnouncementTargets(g.parts.Clock()), g.memberToQuery()
	report := g.nextReport()
	g.mu.Unlock()
	if isForAll {
		g.broadcast(counters.PeerHeartbeats, heartbeat, urgentCopies)
	} else {
		g.sendHeartbeat(heartbeat, members)
	}
	for _, changes := range state.Changes {
		g.broadcastEnvelope(envelope.KindChanges, changes, urgentCopies)
	}
	if report != nil {
		report.Engines = g.parts.Host.EngineReports()
		g.sendDatagram(counters.PeerHeartbeats, report, members)
	}
	g.introduce(contacts)
	g.sendHeartbeat(announcement, append(contacts, query...))
}

// pushedUpdates identifies the updates in the last heartbeat to all hosts of a large fleet.
type pushedUpdates struct {
	settings   uint64
	readsStore bool
	// ejected are the endpoints in the last heartbeat.
	ejected map[keys.Endpoint]bool
}

// pushingReaders is the number of readers of the store that send changes to all hosts of a large fleet. The others only
// confirm them: further copies would be the most of what hosts send each other.
const pushingReaders = 2

// takeUpdates reports whether the next heartbeat is for all hosts of a large fleet, because it has updates, and removes updates
// that are sent by others or were sent before. The lock is held.
func (g *Gossip) takeUpdates(state *State) bool {
	if !g.members.IsLarge() {
		return false
	}
	// A host that does not read for others has changes only if it had to ask the store itself, as readers are silent.
	isPushing := !state.ReadsStore || g.members.Order().ReadersBefore < pushingReaders
	if state.Patch != nil && (!isPushing || state.Patch.To <= g.pushed.settings) {
		state.Patch = nil
	}
	if !isPushing {
		state.Changes = nil
	}
	hasUpdates := state.Patch != nil || state.ReadsStore != g.pushed.readsStore
	g.pushed.readsStore = state.ReadsStore
	if state.Patch != nil {
		g.pushed.settings = state.Patch.To
	}
	return hasUpdates
}

// hasNewEjection reports whether a state has an ejection that the last heartbeat did not have. The lock is held.
func (g *Gossip) hasNewEjection(state *State) bool {
	ejected, isNew := make(map[keys.Endpoint]bool, len(state.Ejections)), false
	for _, e := range state.Ejections {
		ejected[e.Endpoint] = true
		isNew = isNew || !g.pushed.ejected[e.Endpoint]
	}
	g.pushed.ejected = ejected
	return isNew
}

// heartbeatTargets returns the addresses of the hosts to which this host sends a heartbeat: all members, or, in a large
// fleet, its watchers and the members that do not pass messages on. IsForCell adds the hosts of its cell. The lock is
// held.
func (g *Gossip) heartbeatTargets(isForCell bool) []string {
	if !g.members.IsLarge() {
		return g.memberAddresses()
	}
	targets := append(g.members.Watchers(), g.legacyAddresses()...)
	if isForCell {
		for _, member := range g.members.neighbors() {
			if member.relays && !slices.Contains(targets, member.Address) {
				targets = append(targets, member.Address)
			}
		}
	}
	return targets
}

// legacyAddresses returns the addresses of the members that do not pass messages on. The lock is held.
func (g *Gossip) legacyAddresses() []string {
	var addresses []string
	for _, member := range g.members.indexed().legacy {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// memberToQuery returns the address of a member to ask for hosts that this host does not know, if a query is due. The
// lock is held.
func (g *Gossip) memberToQuery() []string {
	now := g.parts.Clock()
	if now.Before(g.nextQueryAt) || g.members.IsLarge() {
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
	for _, member := range g.members.indexed().byName {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// replyToAnnouncement announces this host to a host that asked for a reply.
func (g *Gossip) replyToAnnouncement(sender *Announcement, isNew bool) {
	g.mu.Lock()
	hosts := g.members.Count() + 1
	addresses := addressCountFor(sender.Hosts, hosts)
	if g.members.IsLarge() {
		addresses = min(addresses, someAddresses)
	}
	announcement := g.newAnnouncement(false, addresses)
	g.mu.Unlock()
	if isNew || sender.Hosts < hosts {
		g.sendRecord([]string{sender.Address}, false)
	}
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
	g.stats.datagramsSent.Add(int64(len(targets)))
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
	g.stats.datagramsReceived.Add(1)
	g.mu.Lock()
	g.members.RecordReceived(g.parts.Clock())
	g.mu.Unlock()
	g.handleMessage(data, from)
}

// The lengths of the arrays that messages are encoded as, by which they are distinguished.
const (
	confirmationFields = 2
	reportFields       = 3
	contributionFields = 4
	envelopeFields     = 5
	zoneSumFields      = 7
	fleetSumFields     = 9
	heartbeatFields    = 13
)

// fieldCount returns the number of fields of a message, or 0 if it is no array of at most 23 elements.
func fieldCount(data []byte) int {
	const arrayType, arrayMask, maxShortArray = 0x80, 0xe0, 23
	if len(data) == 0 || data[0]&arrayMask != arrayType || data[0]&^arrayMask > maxShortArray {
		return 0
	}
	return int(data[0] &^ arrayMask)
}

// handleMessage handles a message from an address, which is empty if another host has passed the message on.
func (g *Gossip) handleMessage(data []byte, from string) {
	var err error
	switch fieldCount(data) {
	case heartbeatFields:
		err = decodeAs(data, func(h *Heartbeat) { g.handleHeartbeat(h, from) })
	case reportFields:
		err = decodeAs(data, g.handleReport)
	case confirmationFields:
		err = decodeAs(data, g.handleConfirmation)
	case contributionFields:
		err = decodeAs(data, g.handleContribution)
	case fleetSumFields:
		err = decodeAs(data, g.handleFleetSum)
	case zoneSumFields:
		err = decodeAs(data, g.handleZoneSum)
	case envelopeFields:
		err = decodeAs(data, func(e *Envelope) { g.handleEnvelope(e, from) })
	default:
		err = errUnknownMessage
	}
	if err != nil {
		g.refuse(counters.RefusedMalformed, "a datagram can't be decoded as any known message", err)
	}
}

// errUnknownMessage is the error for a datagram with an unknown number of fields.
var errUnknownMessage = merry.New("unknown number of fields")

// decodeAs handles a datagram that is a message of type T.
func decodeAs[T any](data []byte, handle func(*T)) error {
	message := new(T)
	if err := cbor.Unmarshal(data, message); err != nil {
		return err
	}
	handle(message)
	return nil
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
	if !accepted && h.Announcement == nil && from != "" && !g.members.HasIncarnation(h.Incarnation) {
		g.members.AddUnknownSender(g.parts.Clock(), from)
	}
	if h.Announcement != nil {
		g.announcedHosts = max(g.announcedHosts, min(h.Announcement.Hosts, maxMembers))
	}
	if isNew && accepted {
		g.joinedAt, g.hasMetPeer = g.parts.Clock(), true
	}
	sender, isKnown := g.members.byIncarnation(h.Incarnation)
	var name string
	if isKnown {
		name = sender.Name
	}
	hosts := g.members.Count() + 1
	leaving := g.leaving
	g.mu.Unlock()
	if !accepted && isKnown && from == "" && (h.Patch != nil || h.Delta != nil) {
		// Heartbeats that take different ways overtake each other. Changes have revisions of their own.
		g.parts.Host.HandleHeartbeat(name, &Heartbeat{Patch: h.Patch, Delta: h.Delta})
		return
	}
	if h.Announcement != nil && g.reportLoss(h.Announcement) {
		return
	}
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
		g.replyToAnnouncement(h.Announcement, isNew)
	}
	if h.Announcement != nil && member.relays && h.Announcement.Hosts > minMembersToAggregate && hosts < h.Announcement.Hosts {
		g.pullMembers(member.Address)
	}
	if isNew {
		g.parts.Log.WithFields(logrus.Fields{"peer": member.Name, "address": member.Address, "hosts": hosts}).Info("peer joined")
		joined := envelope.Sender{Host: member.Name, Incarnation: member.incarnation}
		g.sendFleetSize(joined)
		g.onJoin(joined)
		g.RequestHeartbeat()
	}
	g.syncWith(member)
}
