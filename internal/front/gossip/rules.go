package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// The rules of gossip: how often to send, when a silent member is dropped, who reads the
// store, and what is left out in a large fleet. The figures for large fleets were measured in
// sweeps of pwhc-shared-grown at 30, 100 and 300 hosts (BENCHMARKS.md).

const (
	// idleInterval is the mean time between heartbeats while nothing changes.
	idleInterval = time.Second
	// idleSpread is the part of idleInterval over which heartbeats are spread.
	idleSpread = 0.5
	// pacePerMember and minPace space the heartbeats that report changes: the more peers a host has, the less often it
	// sends, so that its bytes do not grow with the square of the fleet. 8 ms let 300 hosts send every 2.4 s each.
	pacePerMember = 8 * time.Millisecond
	minPace       = 80 * time.Millisecond
)

// pace returns the least time between two heartbeats in a fleet of a number of hosts.
func pace(hosts int) time.Duration { return max(time.Duration(hosts)*pacePerMember, minPace) }

const (
	// reportInterval is the least time between two reports: what they carry changes within seconds.
	reportInterval = 200 * time.Millisecond
	// reportPerMember makes it longer in a large fleet, so that the bytes of a host stay the same. With
	// 200 ms, reports of 78 hosts were most of the bytes between zones on mfs-kochi-grown (scale-2: worth
	// 0.53 instead of 0.72).
	reportPerMember = 30 * time.Millisecond
)

// reportPace returns the least time between two reports in a fleet of a number of hosts.
func reportPace(hosts int) time.Duration {
	return max(time.Duration(hosts)*reportPerMember, reportInterval)
}

const (
	// silenceLimit is how long a member may send nothing before it is dropped: three idle intervals and some delay.
	silenceLimit = 3500 * time.Millisecond
	// silencePerMember raises the limit in a fleet so large that its hosts send rarely.
	// Needed at 300 hosts, where 3.5 s was less than two paces and members were dropped.
	silencePerMember = 30 * time.Millisecond
)

// silenceAllowed returns how long a member may send nothing in a fleet with a number of
// other members.
func silenceAllowed(members int) time.Duration {
	return max(silenceLimit, time.Duration(members)*silencePerMember)
}

// fullHeartbeats is the number of members up to which heartbeats carry loads, holders and
// streams. In a larger fleet they cost more than they are worth: each host has little of an
// endpoint's load, and all hosts find the preferred endpoint of a prefix by its hash. At 300
// hosts they were most of the bytes between zones, at a price of 0.64 of a day.
const fullHeartbeats = 120

// How many addresses of other hosts an announcement carries. 64 addresses fit one datagram (TestHeartbeatBytes).
const (
	// manyAddresses are sent to a host that knows less than half as many hosts.
	manyAddresses = 64
	// someAddresses are sent to a host that knows fewer.
	someAddresses = 16
	// fewAddresses are sent to all others.
	fewAddresses = 4
)

// addressesFor returns how many addresses to send to a host that knows a number of hosts, for
// one that knows another number.
func addressesFor(theirs, ours int) int {
	switch {
	case 2*theirs < ours:
		return manyAddresses
	case theirs < ours:
		return someAddresses
	}
	return fewAddresses
}

const (
	// askInterval is the mean time between two questions to some member for hosts that this one does not know.
	askInterval = 3 * time.Second
	// askSpread is the part of askInterval over which the questions are spread.
	askSpread = 1
	// contactTimeout is how long an address is tried that no host names any more.
	contactTimeout = 10 * time.Minute
	// contactInterval is the time between two announcements to an address that does not answer.
	contactInterval = 3 * time.Second
	// syncGrace is how long a newer revision may take to come from the store before a peer is asked for it: some
	// heartbeats, and the feed's spacing of 250 ms.
	syncGrace = 200 * time.Millisecond
	// fetchSpreadPerHost is the time for each host of the fleet over which hosts spread their fetches of a change: those
	// that have it serve some at a time, and connections that find no room are tried again after a second only.
	fetchSpreadPerHost = 2 * time.Millisecond
	// fetchHedge is how long a peer may take to answer before another one is asked too: some times what a directory of
	// 3,500 endpoints takes on a link of 10 Mbit/s.
	fetchHedge = 250 * time.Millisecond
	// maxFetched is how many peers are asked in one go: one, two more, and four more. With half of them silent, one go
	// in 128 fails. More would share the links of a large fleet that fetches at the same time.
	maxFetched = 7
	// pollCheck is the time between two looks whether peers have to be polled.
	pollCheck = 200 * time.Millisecond
	// pollInterval is the least time between two polls of peers.
	pollInterval = 500 * time.Millisecond
	// fetchTimeout bounds the calls to all of them: directories that hundreds of hosts fetch at the same time take
	// seconds (sweep at 300 hosts).
	fetchTimeout = 3 * time.Second
	// maxSnapshots bounds the snapshots of the directory that a host sends at a time. More
	// would share its link, and none would arrive in time; hosts that are turned away ask
	// again, and by then others have it too. With 4 and separate fetches of settings and
	// directory, a change reached all of 300 hosts within the bound of 2 s (before 2.8 to
	// 4.0 s; docs/incidents).
	maxSnapshots = 4
	// maxDatagram is the size in bytes of the largest datagram that is read. Heartbeats that are
	// sent stay far below (TestHeartbeatBytes).
	maxDatagram = 16 << 10
)

const (
	// maxReaderRank is how many hosts may take over from readers that get no answers. It is bounded, so that not all
	// hosts ask a store that is down.
	maxReaderRank = 3 * freshness.Readers
)

// Order is a host's place in the order of a hash, which all hosts share where not all are to do the same.
type Order struct {
	// Before is how many live hosts come before this one, Hosts how many there are.
	Before, Hosts int
	// ReadersBefore is how many of those before it read the store, Readers how many hosts do, this one
	// counted.
	ReadersBefore, Readers int
}

// IsReader reports whether this host is to read the store: the first hosts in the order do, and for each of them
// that gets no answers the next one. Hosts whose views differ only read more often than needed.
func (o Order) IsReader() bool {
	return o.Before < maxReaderRank && o.ReadersBefore < freshness.Readers
}

// Order returns this host's place in the order.
func (m *Members) Order() Order {
	own := Rank(m.self)
	o := Order{Hosts: len(m.live) + 1, Readers: 1}
	for name, member := range m.live {
		isBefore := Rank(name) < own
		if isBefore {
			o.Before++
		}
		if member.readsStore {
			o.Readers++
		}
		if isBefore && member.readsStore {
			o.ReadersBefore++
		}
	}
	return o
}

// Rank returns what orders hosts where not all are to do the same, alike at all hosts.
func Rank(host string) uint64 { return xxhash.Sum64String(host) }
