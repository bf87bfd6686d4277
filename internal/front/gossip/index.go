package gossip

import (
	"cmp"
	"slices"
	"sort"
	"strconv"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

// index holds the live hosts in the orders that the rules need. It is built anew after a change of the members.
type index struct {
	// ranked are all hosts in the order of Rank, this one included, and before is the number of hosts before it.
	ranked []*Member
	before int
	// byName are the members in the order of their names; this host is not included.
	byName []*Member
	// ring are the hosts that exchange Records in the order of Rank, this one included, and ownPlace its place.
	ring     []*Member
	ownPlace int
	// zones holds the hosts of each availability zone, and relays those of them that exchange Records, in the order of
	// Rank. This host is included.
	zones  map[string][]*Member
	relays map[string][]*Member
	// cells holds the hosts of each cell in the order in which they are chosen as aggregators.
	cells map[string][]*Member
	// legacy are the members that do not exchange Records.
	legacy []*Member
	// senders are the live hosts, this one first.
	senders []envelope.Sender
}

// indexed returns the index of the current members. Its slices must not be modified.
func (m *Members) indexed() *index {
	if m.index != nil {
		return m.index
	}
	x := &index{zones: make(map[string][]*Member), relays: make(map[string][]*Member), cells: make(map[string][]*Member)}
	for _, member := range m.live {
		x.byName = append(x.byName, member)
	}
	slices.SortFunc(x.byName, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	x.senders = append(x.senders, envelope.Sender{Host: m.own.Name, Incarnation: m.own.incarnation})
	for _, member := range x.byName {
		x.senders = append(x.senders, envelope.Sender{Host: member.Name, Incarnation: member.incarnation})
	}
	x.ranked = append(slices.Clone(x.byName), &m.own)
	slices.SortFunc(x.ranked, compareByRank)
	x.before = slices.Index(x.ranked, &m.own)
	for _, member := range x.ranked {
		x.zones[member.Zone] = append(x.zones[member.Zone], member)
		if !member.relays {
			x.legacy = append(x.legacy, member)
			continue
		}
		if member == &m.own {
			x.ownPlace = len(x.ring)
		}
		x.ring = append(x.ring, member)
		x.relays[member.Zone] = append(x.relays[member.Zone], member)
	}
	m.index = x
	for _, member := range x.ranked {
		cell := m.cellOf(member)
		x.cells[cell] = append(x.cells[cell], member)
	}
	for _, cell := range x.cells {
		sortForAggregation(cell)
	}
	return x
}

func compareByRank(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
}

// inRange returns the hosts of a list in the order of Rank whose rank is in a range, ends included.
func inRange(ranked []*Member, from, to uint64) []*Member {
	first := sort.Search(len(ranked), func(i int) bool { return ranked[i].rank >= from })
	end := sort.Search(len(ranked), func(i int) bool { return ranked[i].rank > to })
	return ranked[first:max(first, end)]
}

// maxCellHosts is the number of hosts of a zone above which the zone is divided into cells. The messages of an
// aggregator to and from the hosts that it serves grow with the size of a cell, not with the size of the zone.
const maxCellHosts = 64

// cellsOf returns the number of cells of a zone: the smallest power of two that keeps cells within maxCellHosts. With
// powers of two, few hosts change their cell when the number changes.
func cellsOf(hosts int) int {
	cells := 1
	for cells*maxCellHosts < hosts {
		cells *= 2
	}
	return cells
}

// cellOf returns the cell of a host. All hosts with the same members compute the same one. A zone that is not divided is
// one cell with the zone's name.
func (m *Members) cellOf(member *Member) string {
	cells := uint64(cellsOf(len(m.indexed().zones[member.Zone])))
	if cells == 1 {
		return member.Zone
	}
	return member.Zone + "/" + strconv.FormatUint(member.rank%cells, 10)
}

// sortForAggregation sorts the hosts of a cell in the order in which they are chosen as aggregators: those with the
// fastest links first, then by Rank. Hosts that do not exchange Records come last: they add up the work of whole zones.
func sortForAggregation(cell []*Member) {
	slices.SortStableFunc(cell, func(a, b *Member) int {
		return cmp.Or(compareBool(b.relays, a.relays), cmp.Compare(b.linkMbit, a.linkMbit))
	})
}

// neighbors returns the members of this host's cell; in a fleet that is not large, all members.
func (m *Members) neighbors() []*Member {
	if !m.IsLarge() {
		return m.indexed().byName
	}
	return slices.DeleteFunc(slices.Clone(m.indexed().cells[m.cellOf(&m.own)]), func(member *Member) bool { return member == &m.own })
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Aggregators returns the names of the hosts of this host's cell in the order in which they are chosen as aggregators.
func (m *Members) Aggregators() []string {
	var names []string
	for _, member := range m.indexed().cells[m.cellOf(&m.own)] {
		names = append(names, member.Name)
	}
	return names
}
