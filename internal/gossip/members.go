package gossip

import (
	"cmp"
	"slices"
	"time"
)

// Member is a host that was heard.
type Member struct {
	Name     string
	Address  string
	Zone     string
	Settings uint64
	// Directory is the newest revision of the directory that the member has.
	Directory uint64
	start     int64
	sequence  uint64
	heard     time.Time
}

// Members is what one host knows of the others. It does no input or output and
// takes the time as a parameter.
type Members struct {
	self string
	// silence is how long a member may say nothing before it counts as gone.
	silence time.Duration
	live    map[string]*Member
	// contacts are addresses where a host may be that was not heard yet.
	contacts map[string]bool
}

// NewMembers makes the view of a host that has heard no other.
func NewMembers(self string, silence time.Duration) *Members {
	return &Members{self: self, silence: silence, live: make(map[string]*Member), contacts: make(map[string]bool)}
}

// Contact notes an address where a host may be.
func (m *Members) Contact(address string) { m.contacts[address] = true }

// Heard takes a beat. It reports whether the beat counts, being no echo and not
// older than the last one of its host, and whether the host is new.
func (m *Members) Heard(now time.Time, beat *Beat) (counts, isNew bool) {
	if beat.Host == m.self {
		return false, false
	}
	member, known := m.live[beat.Host]
	if known && (beat.Start < member.start || (beat.Start == member.start && beat.Sequence <= member.sequence)) {
		return false, false
	}
	if beat.Leaving {
		delete(m.live, beat.Host)
		delete(m.contacts, beat.Address)
		return true, false
	}
	m.live[beat.Host] = &Member{
		Name: beat.Host, Address: beat.Address, Zone: beat.Zone, Settings: beat.Settings, Directory: beat.Directory,
		start: beat.Start, sequence: beat.Sequence, heard: now,
	}
	m.contacts[beat.Address] = true
	for _, address := range beat.Known {
		m.contacts[address] = true
	}
	return true, !known
}

// Expire drops the members that have been silent for too long, and names them.
func (m *Members) Expire(now time.Time) []string {
	var gone []string
	for name, member := range m.live {
		if now.Sub(member.heard) > m.silence {
			delete(m.live, name)
			gone = append(gone, name)
		}
	}
	return gone
}

// Live lists the members, by name.
func (m *Members) Live() []Member {
	members := make([]Member, 0, len(m.live))
	for _, member := range m.live {
		members = append(members, *member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Count is the number of members, this host left out.
func (m *Members) Count() int { return len(m.live) }

// Unheard lists the addresses where a host may be that is not a member now.
func (m *Members) Unheard() []string {
	heard := make(map[string]bool, len(m.live))
	for _, member := range m.live {
		heard[member.Address] = true
	}
	var addresses []string
	for address := range m.contacts {
		if !heard[address] {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
