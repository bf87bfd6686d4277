package gossip

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/aggregate"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// Member is a live peer.
type Member struct {
	Name    string
	Address string
	Zone    string
	// Settings and Directory are the newest revisions that the member has.
	Settings  uint64
	Directory uint64
	// readsStore is set if the member reads the store and receives answers from it.
	readsStore  bool
	incarnation uint32
	startNanos  int64
	// generation counts how often this start of the host was wrongly reported as lost.
	generation uint32
	sequence   uint64
	lastReport uint64
	// lastFleetSum is the sequence number of the newest sum over all hosts that the member has sent.
	lastFleetSum uint64
	lastSeen     time.Time
	// wantsSumsUntil is when the member's request for this host's sums expires, sendsZoneSumsUntil when the member
	// stops counting as a sender of sums over its zone.
	wantsSumsUntil     time.Time
	sendsZoneSumsUntil time.Time
	// rank is the member's Rank.
	rank uint64
	// relays is set if the member's version exchanges Records and passes messages on (relay.go).
	relays bool
	// linkMbit is the bandwidth of the member's link in Mbit/s, or 0 if it is unknown.
	linkMbit uint32
	// watchedSince is when this host began to watch the member, probedAt when it last probed it.
	watchedSince time.Time
	probedAt     time.Time
}

// Members is a host's view of its peers. It does no I/O and takes the time as a parameter. It is not safe for
// concurrent use.
type Members struct {
	self string
	zone string
	// address is this host's own address, which announcements of peers contain as well.
	address string
	live    map[string]*Member
	// nameByIncarnation maps incarnations to members.
	nameByIncarnation map[uint32]string
	// contacts are the addresses at which hosts may listen, and contactInterval is the time between two announcements to
	// one that does not answer.
	contacts        map[string]*contact
	contactInterval time.Duration
	// large is set if the fleet is large, and hasShrunk if it was until members were dropped after the last Expire.
	large, hasShrunk bool
	// own is this host as a member. It is not in live.
	own Member
	// lost are the members that were reported as lost.
	lost map[string]tombstone
	// missing are the lost members that may be running without this host seeing them.
	missing missing
	// digest identifies the Records of the live hosts, this one included.
	digest digest
	// index is nil after a change of the members.
	index *index
	watch watch
	// expectedSince is when heartbeats of all members were last expected (side.go).
	expectedSince time.Time
}

// NewMembers returns the view of a host without peers.
func NewMembers(self, zone string) *Members {
	return &Members{
		self: self, zone: zone, live: make(map[string]*Member), nameByIncarnation: make(map[uint32]string), contacts: make(map[string]*contact), contactInterval: contactInterval,
		own: Member{Name: self, Zone: zone, rank: Rank(self), relays: true}, lost: make(map[string]tombstone), missing: missing{hosts: make(map[string]missingHost)},
	}
}

// SetOwn sets what identifies this host to its peers, its Record included.
func (m *Members) SetOwn(address string, incarnation uint32, startNanos int64, linkMbit uint32) {
	m.address = address
	m.own.Address, m.own.incarnation, m.own.startNanos, m.own.linkMbit = address, incarnation, startNanos, linkMbit
	m.digest = digest{}
	m.digest.toggle(&m.own)
	for _, member := range m.live {
		m.digest.toggle(member)
	}
}

// contact is the state of an address at which a host may listen.
type contact struct {
	// lastNamedAt is when a host last named the address, lastTriedAt when an announcement was last sent to it.
	lastNamedAt time.Time
	lastTriedAt time.Time
	// hasUnknownSender is set if a heartbeat of an unknown incarnation came from the address: the sender's announcement
	// was lost.
	hasUnknownSender bool
}

// AddContact adds an address at which a host may listen, or renews it.
func (m *Members) AddContact(now time.Time, address string) {
	entry, ok := m.contacts[address]
	if !ok {
		entry = new(contact)
		m.contacts[address] = entry
	}
	entry.lastNamedAt = now
}

// HasContacts reports whether there are addresses other than this host's own at which hosts may listen.
func (m *Members) HasContacts() bool {
	_, hasOwn := m.contacts[m.address]
	return len(m.contacts) > 1 || len(m.contacts) == 1 && !hasOwn
}

// ApplyHeartbeat applies a heartbeat and returns its sender. Accepted is false if the heartbeat is this host's own, is
// not newer than the sender's last one, or has an unknown sender. IsNew is set if the sender's incarnation was not a
// member before.
func (m *Members) ApplyHeartbeat(now time.Time, h *Heartbeat) (member Member, isNew, accepted bool) {
	if h.Announcement != nil {
		isNew = m.applyAnnouncement(now, h)
	}
	sender, ok := m.byIncarnation(h.Incarnation)
	if !ok || h.Sequence <= sender.sequence {
		return Member{}, false, false
	}
	sender.sequence, sender.lastSeen = h.Sequence, now
	sender.Settings, sender.Directory, sender.readsStore = h.Settings, h.Directory, h.ReadsStore
	if h.Leaving {
		if m.IsLarge() && len(m.lost) < maxLostMembers {
			m.lost[sender.Name] = tombstone{record: LostRecord{Host: sender.Name, Start: sender.startNanos, Generation: sender.generation}, at: now}
		}
		m.drop(sender.Name)
		delete(m.missing.hosts, sender.Name)
		delete(m.contacts, sender.Address)
	}
	return *sender, isNew, true
}

// byIncarnation returns the member of which an incarnation is the current one.
func (m *Members) byIncarnation(incarnation uint32) (*Member, bool) {
	member, ok := m.live[m.nameByIncarnation[incarnation]]
	return member, ok && member.incarnation == incarnation
}

// applyAnnouncement applies an announcement. It reports whether it adds a member or a new incarnation of one.
func (m *Members) applyAnnouncement(now time.Time, h *Heartbeat) bool {
	a := h.Announcement
	if a.Host == m.self {
		return false
	}
	member, ok := m.live[a.Host]
	if ok && a.Start < member.startNanos {
		return false
	}
	if !m.IsLarge() && !(ok && member.relays && a.Hosts > minMembersToAggregate) {
		// The hosts of a large fleet learn of each other by their Records.
		for _, address := range a.KnownAddresses {
			m.AddContact(now, address)
		}
		m.AddContact(now, a.Address)
	}
	if ok && member.incarnation == h.Incarnation {
		return false
	}
	if _, isLost := m.lossOf(a.Host, a.Start); isLost || (!ok && len(m.live) >= maxMembers) {
		return false
	}
	m.add(now, &Member{Name: a.Host, Address: a.Address, Zone: a.Zone, incarnation: h.Incarnation, startNanos: a.Start})
	return true
}

// add adds a member, or replaces an earlier start of it.
func (m *Members) add(now time.Time, member *Member) {
	m.drop(member.Name)
	delete(m.lost, member.Name)
	delete(m.missing.hosts, member.Name)
	member.rank, member.lastSeen, member.watchedSince = Rank(member.Name), now, now
	m.live[member.Name] = member
	m.nameByIncarnation[member.incarnation] = member.Name
	m.digest.toggle(member)
	m.index = nil
	m.large = m.large || len(m.live) >= minMembersToAggregate
}

// ApplyReport records a report. It returns its sender, and whether the report is newer than the sender's last one.
func (m *Members) ApplyReport(r *Report) (name string, accepted bool) {
	sender, ok := m.byIncarnation(r.Incarnation)
	if !ok || r.Sequence <= sender.lastReport {
		return "", false
	}
	sender.lastReport = r.Sequence
	return sender.Name, true
}

// ApplyContribution records a contribution. It returns its sender, and whether the sender is a member of this host's
// zone.
func (m *Members) ApplyContribution(now time.Time, c *Contribution) (name string, accepted bool) {
	sender, ok := m.byIncarnation(c.Incarnation)
	if !ok || sender.Zone != m.zone {
		return "", false
	}
	if c.WantsSums {
		sender.wantsSumsUntil = now.Add(aggregate.WorkTimeout)
	}
	return sender.Name, true
}

// ApplyZoneSum records a sum over a cell. It returns its sender and the sender's cell, and whether the sender is a
// member.
func (m *Members) ApplyZoneSum(now time.Time, s *ZoneSum) (cell, name string, known bool) {
	sender, ok := m.byIncarnation(s.Incarnation)
	if !ok {
		return "", "", false
	}
	sender.sendsZoneSumsUntil = now.Add(aggregate.WorkTimeout)
	return m.cellOf(sender), sender.Name, true
}

// ApplyFleetSum records a sum over all hosts. It returns its sender, and whether the sum is at least as new as the
// sender's last one; the parts of a sum share a sequence number.
func (m *Members) ApplyFleetSum(s *FleetSum) (name string, accepted bool) {
	sender, ok := m.byIncarnation(s.Incarnation)
	if !ok || s.Sequence < sender.lastFleetSum {
		return "", false
	}
	sender.lastFleetSum = s.Sequence
	return sender.Name, true
}

// Address returns the address of a member, or "" if it is not live.
func (m *Members) Address(name string) string {
	if member, ok := m.live[name]; ok {
		return member.Address
	}
	return ""
}

// ApplyConfirmation records the revisions in a confirmation. It returns its sender, and whether the sender is a member.
// IsReader is set if the store has just answered the sender.
func (m *Members) ApplyConfirmation(c *Confirmation, isReader bool) (member Member, known bool) {
	sender, ok := m.byIncarnation(c.Incarnation)
	if !ok {
		return Member{}, false
	}
	if isReader && m.IsLarge() {
		// The heartbeat that says so reaches only the members of its time.
		sender.readsStore = true
	}
	for topic, confirmed := range c.Topics {
		switch freshness.Topic(topic) {
		case freshness.Settings:
			sender.Settings = max(sender.Settings, confirmed.Newest)
		case freshness.Endpoints:
			sender.Directory = max(sender.Directory, confirmed.Newest)
		}
	}
	return *sender, true
}

// HasIncarnation reports whether an incarnation belongs to a member.
func (m *Members) HasIncarnation(incarnation uint32) bool {
	_, ok := m.nameByIncarnation[incarnation]
	return ok
}

// drop removes a member.
func (m *Members) drop(name string) {
	if member, ok := m.live[name]; ok {
		delete(m.nameByIncarnation, member.incarnation)
		delete(m.live, name)
		m.digest.toggle(member)
		m.index = nil
		if m.large && len(m.live) < maxMembersOfShrunkFleet {
			m.large, m.hasShrunk = false, true
		}
	}
}

// Expire removes the members without a heartbeat for longer than a limit, and returns their names. Members of a large
// fleet that are watched are left to CheckWatched. It also removes the addresses that no host has named for
// contactTimeout.
func (m *Members) Expire(now time.Time, limit time.Duration) []string {
	for address, entry := range m.contacts {
		if now.Sub(entry.lastNamedAt) > contactTimeout {
			delete(m.contacts, address)
		}
	}
	if m.hasShrunk {
		// Members that had other watchers did not send heartbeats to this host.
		m.hasShrunk = false
		for _, member := range m.live {
			member.lastSeen = now
		}
	}
	var lost []string
	for name, member := range m.live {
		if !m.isWatched(member) && now.Sub(member.lastSeen) > limit {
			m.drop(name)
			m.missing.add(member, now)
			lost = append(lost, name)
		}
	}
	m.expireMissing(now)
	return lost
}

// Live returns the members, sorted by name.
func (m *Members) Live() []Member {
	members := make([]Member, 0, len(m.live))
	for _, member := range m.indexed().byName {
		members = append(members, *member)
	}
	return members
}

// Count returns the number of members; this host is not counted.
func (m *Members) Count() int { return len(m.live) }

// IsLarge reports whether the fleet is so large that not every host sends messages to each other one.
func (m *Members) IsLarge() bool { return m.large }

// randomRelay returns the address of a random member that exchanges Records, or "" if there is none. Random returns
// numbers in [0, 1).
func (m *Members) randomRelay(random func() float64) string {
	x := m.indexed()
	if len(x.ring) < 2 {
		return ""
	}
	place := x.ownPlace + 1 + int(random()*float64(len(x.ring)-1))
	return x.ring[place%len(x.ring)].Address
}

// AddUnknownSender records that a heartbeat of an unknown incarnation came from an address.
func (m *Members) AddUnknownSender(now time.Time, address string) {
	if _, ok := m.contacts[address]; !ok {
		m.AddContact(now, address)
	}
	m.contacts[address].hasUnknownSender = true
}

// AnnouncementTargets returns the addresses that are due for an announcement: those of unknown senders, and those that
// belong to no member. They count as tried.
func (m *Members) AnnouncementTargets(now time.Time) []string {
	// This host's own address is left out: 300 hosts that announce themselves to themselves send 100 useless datagrams
	// a second.
	ofMembers := map[string]bool{m.address: true}
	for _, member := range m.live {
		if _, ok := m.contacts[member.Address]; ok {
			ofMembers[member.Address] = true
		}
	}
	var addresses []string
	for address, entry := range m.contacts {
		wanted := entry.hasUnknownSender || !ofMembers[address]
		if !wanted || (!entry.lastTriedAt.IsZero() && now.Sub(entry.lastTriedAt) < m.contactInterval) {
			continue
		}
		entry.lastTriedAt, entry.hasUnknownSender = now, false
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
