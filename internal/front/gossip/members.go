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
	// reading says that the member reads the store and gets its answers.
	reading  bool
	life     uint32
	start    int64
	sequence uint64
	heard    time.Time
}

// Members is what one host knows of the others. It does no input or output and
// takes the time as a parameter.
type Members struct {
	self string
	live map[string]*Member
	// names finds the member that a life belongs to.
	names map[uint32]string
	// contacts are addresses where a host may be.
	contacts map[string]*contact
}

// NewMembers makes the view of a host that has heard no other.
func NewMembers(self string) *Members {
	return &Members{
		self: self, live: make(map[string]*Member), names: make(map[uint32]string), contacts: make(map[string]*contact),
	}
}

// contact is an address where a host may be.
type contact struct {
	// named is when the address was last named, tried when it was last sent an
	// introduction.
	named time.Time
	tried time.Time
	// stranger says that a beat came from there whose sender is not known: it was not
	// heard to introduce itself.
	stranger bool
}

const (
	// contactAge is how long an address is tried that nobody names any more.
	contactAge = 10 * time.Minute
	// contactInterval is the time between two introductions to an address that does
	// not answer.
	contactInterval = 3 * time.Second
)

// Contact notes an address where a host may be.
func (m *Members) Contact(now time.Time, address string) {
	known, ok := m.contacts[address]
	if !ok {
		known = new(contact)
		m.contacts[address] = known
	}
	known.named = now
}

// Heard takes a beat. It gives the member that sent it, or false if the beat does
// not count: it is an echo, it is older than the last one of its host, or its sender
// has not introduced itself. IsNew says that the member was not live before.
func (m *Members) Heard(now time.Time, beat *Beat) (member Member, isNew, counts bool) {
	if beat.Intro != nil {
		isNew = m.introduce(now, beat)
	}
	known, ok := m.live[m.names[beat.Life]]
	if !ok || known.life != beat.Life || beat.Sequence <= known.sequence {
		return Member{}, false, false
	}
	known.sequence, known.heard = beat.Sequence, now
	known.Settings, known.Directory, known.reading = beat.Settings, beat.Directory, beat.Reading
	if beat.Leaving {
		m.forget(known.Name)
		delete(m.contacts, known.Address)
	}
	return *known, isNew, true
}

// introduce takes an introduction, and reports whether its host is new.
func (m *Members) introduce(now time.Time, beat *Beat) bool {
	intro := beat.Intro
	if intro.Host == m.self {
		return false
	}
	known, ok := m.live[intro.Host]
	if ok && intro.Start < known.start {
		return false
	}
	for _, address := range intro.Known {
		m.Contact(now, address)
	}
	m.Contact(now, intro.Address)
	if ok && known.life == beat.Life {
		return false
	}
	m.forget(intro.Host)
	m.live[intro.Host] = &Member{
		Name: intro.Host, Address: intro.Address, Zone: intro.Zone, life: beat.Life, start: intro.Start,
	}
	m.names[beat.Life] = intro.Host
	return true
}

// Knows reports whether a life is that of a member.
func (m *Members) Knows(life uint32) bool {
	_, ok := m.names[life]
	return ok
}

// forget drops a member.
func (m *Members) forget(name string) {
	if member, ok := m.live[name]; ok {
		delete(m.names, member.life)
		delete(m.live, name)
	}
}

// Expire drops the members that have been silent for longer than a limit, and names
// them. Addresses that nobody has named for long are forgotten.
func (m *Members) Expire(now time.Time, limit time.Duration) []string {
	for address, known := range m.contacts {
		if now.Sub(known.named) > contactAge {
			delete(m.contacts, address)
		}
	}
	var gone []string
	for name, member := range m.live {
		if now.Sub(member.heard) > limit {
			m.forget(name)
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

// Stranger notes that a beat of an unknown sender came from an address.
func (m *Members) Stranger(now time.Time, address string) {
	if _, ok := m.contacts[address]; !ok {
		m.Contact(now, address)
	}
	m.contacts[address].stranger = true
}

// Unheard lists the addresses that are to be asked for an introduction now, and counts
// them as tried: those where a host may be that is not a member, and strangers'.
func (m *Members) Unheard(now time.Time) []string {
	heard := make(map[string]bool, len(m.live))
	for _, member := range m.live {
		heard[member.Address] = true
	}
	var addresses []string
	for address, known := range m.contacts {
		wanted := known.stranger || !heard[address]
		if !wanted || (!known.tried.IsZero() && now.Sub(known.tried) < contactInterval) {
			continue
		}
		known.tried, known.stranger = now, false
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
