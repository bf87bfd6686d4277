package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/aggregate"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// Member is another host that is alive.
type Member struct {
	Name    string
	Address string
	Zone    string
	// Settings and Directory are the newest revisions that the member has.
	Settings  uint64
	Directory uint64
	// readsStore is set if the member reads the store and gets answers from it.
	readsStore  bool
	incarnation uint32
	start       int64
	sequence    uint64
	reports     uint64
	// sums is the newest sum over all hosts that the member has sent.
	sums     uint64
	lastSeen time.Time
	// wantsSums is until when the member uses this host's sums, sendsZones until when it counts as one that
	// sends those of its zone.
	wantsSums  time.Time
	sendsZones time.Time
}

// Members is what one host knows of the others. It does no input or output and takes the
// time as a parameter; it is not safe for concurrent use.
type Members struct {
	self string
	zone string
	// address is this host's own, which its peers name too.
	address string
	live    map[string]*Member
	// names maps incarnations to members.
	names map[uint32]string
	// contacts are addresses where a host may be.
	contacts map[string]*contact
}

// NewMembers returns the view of a host of a zone that knows no other.
func NewMembers(self, zone string) *Members {
	return &Members{
		self: self, zone: zone, live: make(map[string]*Member), names: make(map[uint32]string), contacts: make(map[string]*contact),
	}
}

// contact is an address where a host may be.
type contact struct {
	// namedAt is when a host last named the address, triedAt when it was last sent an
	// announcement.
	namedAt time.Time
	triedAt time.Time
	// unknown is set if a heartbeat came from there whose incarnation is not known: its
	// announcement was lost.
	unknown bool
}

// AddContact adds an address where a host may be.
func (m *Members) AddContact(now time.Time, address string) {
	known, ok := m.contacts[address]
	if !ok {
		known = new(contact)
		m.contacts[address] = known
	}
	known.namedAt = now
}

// ApplyHeartbeat handles a heartbeat. It returns the member that sent it. Counts is false if the
// heartbeat is this host's own, older than the last one of its sender, or of an unknown
// sender; isNew is set if the member was not live before.
func (m *Members) ApplyHeartbeat(now time.Time, h *Heartbeat) (member Member, isNew, counts bool) {
	if h.Announcement != nil {
		isNew = m.announced(now, h)
	}
	known, ok := m.byIncarnation(h.Incarnation)
	if !ok || h.Sequence <= known.sequence {
		return Member{}, false, false
	}
	known.sequence, known.lastSeen = h.Sequence, now
	known.Settings, known.Directory, known.readsStore = h.Settings, h.Directory, h.ReadsStore
	if h.Leaving {
		m.drop(known.Name)
		delete(m.contacts, known.Address)
	}
	return *known, isNew, true
}

// byIncarnation returns the member whose present incarnation it is.
func (m *Members) byIncarnation(incarnation uint32) (*Member, bool) {
	known, ok := m.live[m.names[incarnation]]
	return known, ok && known.incarnation == incarnation
}

// announced handles an announcement, and reports whether its host is new.
func (m *Members) announced(now time.Time, h *Heartbeat) bool {
	a := h.Announcement
	if a.Host == m.self {
		return false
	}
	known, ok := m.live[a.Host]
	if ok && a.Start < known.start {
		return false
	}
	for _, address := range a.KnownAddresses {
		m.AddContact(now, address)
	}
	m.AddContact(now, a.Address)
	if ok && known.incarnation == h.Incarnation {
		return false
	}
	m.drop(a.Host)
	m.live[a.Host] = &Member{Name: a.Host, Address: a.Address, Zone: a.Zone, incarnation: h.Incarnation, start: a.Start}
	m.names[h.Incarnation] = a.Host
	return true
}

// ApplyReport handles a report. It returns the member that sent it, and whether it is newer than the last one.
func (m *Members) ApplyReport(r *Report) (name string, counts bool) {
	known, ok := m.byIncarnation(r.Incarnation)
	if !ok || r.Sequence <= known.reports {
		return "", false
	}
	known.reports = r.Sequence
	return known.Name, true
}

// ApplyContribution handles the work of a host. It returns the member that sent it, and whether that is of this
// host's zone.
func (m *Members) ApplyContribution(now time.Time, c *Contribution) (name string, counts bool) {
	known, ok := m.byIncarnation(c.Incarnation)
	if !ok || known.Zone != m.zone {
		return "", false
	}
	if c.WantsSums {
		known.wantsSums = now.Add(aggregate.WorkTimeout)
	}
	return known.Name, true
}

// ApplyZoneSum handles the sum of a zone. It returns the member that sent it, and whether it is known.
func (m *Members) ApplyZoneSum(now time.Time, s *ZoneSum) (member Member, known bool) {
	sender, ok := m.byIncarnation(s.Incarnation)
	if !ok {
		return Member{}, false
	}
	sender.sendsZones = now.Add(aggregate.WorkTimeout)
	return *sender, true
}

// ApplyFleetSum handles a sum over all hosts. It returns the member that sent it, and whether it is not older than the
// last one; the parts of one sum have the same number.
func (m *Members) ApplyFleetSum(s *FleetSum) (name string, counts bool) {
	known, ok := m.byIncarnation(s.Incarnation)
	if !ok || s.Sequence < known.sums {
		return "", false
	}
	known.sums = s.Sequence
	return known.Name, true
}

// Zones returns the zones of the members, in no order.
func (m *Members) Zones() []string {
	zones := make(map[string]bool)
	for _, member := range m.live {
		zones[member.Zone] = true
	}
	return slices.Collect(maps.Keys(zones))
}

// Ranked returns the names of the live hosts of a zone by rank, this host among them if it is in that zone.
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

// Address returns the address of a member, or nothing if it is not live.
func (m *Members) Address(name string) string {
	if member, ok := m.live[name]; ok {
		return member.Address
	}
	return ""
}

// ApplyConfirmation notes what a confirmation says of its sender. It returns the member that sent it, and whether it
// is known.
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

// HasIncarnation reports whether an incarnation is that of a member.
func (m *Members) HasIncarnation(incarnation uint32) bool {
	_, ok := m.names[incarnation]
	return ok
}

// drop forgets a member.
func (m *Members) drop(name string) {
	if member, ok := m.live[name]; ok {
		delete(m.names, member.incarnation)
		delete(m.live, name)
	}
}

// Expire drops the members that have been silent for longer than a limit, and returns their
// names. Addresses that no host has named for long are forgotten.
func (m *Members) Expire(now time.Time, limit time.Duration) []string {
	for address, known := range m.contacts {
		if now.Sub(known.namedAt) > contactTimeout {
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

// Count returns the number of members, without this host.
func (m *Members) Count() int { return len(m.live) }

// AddUnknownSender notes that a heartbeat of an unknown incarnation came from an address.
func (m *Members) AddUnknownSender(now time.Time, address string) {
	if _, ok := m.contacts[address]; !ok {
		m.AddContact(now, address)
	}
	m.contacts[address].unknown = true
}

// AnnouncementTargets returns the addresses that are due for an announcement, and counts them as
// tried: those that are no member's, and those of unknown senders.
func (m *Members) AnnouncementTargets(now time.Time) []string {
	// A fleet of 300 hosts that announce themselves to themselves sends 100 datagrams a second for nothing.
	ofMembers := map[string]bool{m.address: true}
	for _, member := range m.live {
		ofMembers[member.Address] = true
	}
	var addresses []string
	for address, known := range m.contacts {
		wanted := known.unknown || !ofMembers[address]
		if !wanted || (!known.triedAt.IsZero() && now.Sub(known.triedAt) < contactInterval) {
			continue
		}
		known.triedAt, known.unknown = now, false
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
