package gossip

import (
	"cmp"
	"maps"
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
	sequence    uint64
	lastReport  uint64
	// lastFleetSum is the sequence number of the newest sum over all hosts that the member has sent.
	lastFleetSum uint64
	lastSeen     time.Time
	// wantsSumsUntil is when the member's request for this host's sums expires, sendsZoneSumsUntil when the member
	// stops counting as a sender of sums over its zone.
	wantsSumsUntil     time.Time
	sendsZoneSumsUntil time.Time
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
	// contacts are the addresses at which hosts may listen.
	contacts map[string]*contact
}

// NewMembers returns the view of a host without peers.
func NewMembers(self, zone string) *Members {
	return &Members{
		self: self, zone: zone, live: make(map[string]*Member), nameByIncarnation: make(map[uint32]string), contacts: make(map[string]*contact),
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
		m.drop(sender.Name)
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
	for _, address := range a.KnownAddresses {
		m.AddContact(now, address)
	}
	m.AddContact(now, a.Address)
	if ok && member.incarnation == h.Incarnation {
		return false
	}
	m.drop(a.Host)
	m.live[a.Host] = &Member{Name: a.Host, Address: a.Address, Zone: a.Zone, incarnation: h.Incarnation, startNanos: a.Start}
	m.nameByIncarnation[h.Incarnation] = a.Host
	return true
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

// ApplyZoneSum records a sum over a zone. It returns its sender, and whether the sender is a member.
func (m *Members) ApplyZoneSum(now time.Time, s *ZoneSum) (member Member, known bool) {
	sender, ok := m.byIncarnation(s.Incarnation)
	if !ok {
		return Member{}, false
	}
	sender.sendsZoneSumsUntil = now.Add(aggregate.WorkTimeout)
	return *sender, true
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

// Zones returns the zones of the members in no particular order.
func (m *Members) Zones() []string {
	zones := make(map[string]bool)
	for _, member := range m.live {
		zones[member.Zone] = true
	}
	return slices.Collect(maps.Keys(zones))
}

// Ranked returns the names of the live hosts of a zone in the order of Rank, including this host if it is in the zone.
func (m *Members) Ranked(zone string) []string {
	var names []string
	if zone == m.zone {
		names = append(names, m.self)
	}
	for name, member := range m.live {
		if member.Zone == zone {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(Rank(a), Rank(b)) })
	return names
}

// Address returns the address of a member, or "" if it is not live.
func (m *Members) Address(name string) string {
	if member, ok := m.live[name]; ok {
		return member.Address
	}
	return ""
}

// ApplyConfirmation records the revisions in a confirmation. It returns its sender, and whether the sender is a member.
func (m *Members) ApplyConfirmation(c *Confirmation) (member Member, known bool) {
	sender, ok := m.byIncarnation(c.Incarnation)
	if !ok {
		return Member{}, false
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
	}
}

// Expire removes the members without a heartbeat for longer than a limit, and returns their names. It also removes the
// addresses that no host has named for contactTimeout.
func (m *Members) Expire(now time.Time, limit time.Duration) []string {
	for address, entry := range m.contacts {
		if now.Sub(entry.lastNamedAt) > contactTimeout {
			delete(m.contacts, address)
		}
	}
	var lost []string
	for name, member := range m.live {
		if now.Sub(member.lastSeen) > limit {
			m.drop(name)
			lost = append(lost, name)
		}
	}
	return lost
}

// Live returns the members, sorted by name.
func (m *Members) Live() []Member {
	members := make([]Member, 0, len(m.live))
	for _, member := range m.live {
		members = append(members, *member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Count returns the number of members; this host is not counted.
func (m *Members) Count() int { return len(m.live) }

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
		ofMembers[member.Address] = true
	}
	var addresses []string
	for address, entry := range m.contacts {
		wanted := entry.hasUnknownSender || !ofMembers[address]
		if !wanted || (!entry.lastTriedAt.IsZero() && now.Sub(entry.lastTriedAt) < contactInterval) {
			continue
		}
		entry.lastTriedAt, entry.hasUnknownSender = now, false
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
