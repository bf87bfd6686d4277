package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// The rules of gossip: how often to send, when a member times out, which hosts read the store, and which data are not
// sent in a large fleet.

const (
	// idleInterval is the mean time between heartbeats while nothing changes.
	idleInterval = time.Second
	// aloneInterval is the same for a host that has just started and found no peer.
	aloneInterval = 200 * time.Millisecond
	// idleSpread is the fraction of idleInterval over which heartbeats are spread.
	idleSpread = 0.5
	// pacePerHost and minPace space the heartbeats that report changes. The more peers a host has, the less often it
	// sends, so that the traffic of the fleet does not grow with the square of its size. With 8 ms, each of 300 hosts
	// sends every 2.4 s.
	pacePerHost = 8 * time.Millisecond
	minPace     = 80 * time.Millisecond
)

// pace returns the minimum time between two heartbeats in a fleet of a number of hosts.
func pace(hosts int) time.Duration { return max(time.Duration(hosts)*pacePerHost, minPace) }

const (
	// minReportPace is the minimum time between two reports; their content changes within seconds.
	minReportPace = 200 * time.Millisecond
	// reportPacePerHost raises it in a large fleet, so that the traffic of a host stays constant. At 200 ms, the
	// reports of 78 hosts make up most of the traffic between zones.
	reportPacePerHost = 30 * time.Millisecond
)

// reportPace returns the minimum time between two reports in a fleet of a number of hosts.
func reportPace(hosts int) time.Duration {
	return max(time.Duration(hosts)*reportPacePerHost, minReportPace)
}

const (
	// minMemberTimeout is how long a member may send no heartbeat before it is dropped: three idle intervals and a
	// delay.
	minMemberTimeout = 3500 * time.Millisecond
	// memberTimeoutPerMember raises the limit in a large fleet, whose hosts send less often. At 300 hosts, 3.5 s is
	// less than two paces, and live members would be dropped.
	memberTimeoutPerMember = 30 * time.Millisecond
)

// memberTimeout returns how long a member may send no heartbeat in a fleet with a number of members.
func memberTimeout(members int) time.Duration {
	return max(minMemberTimeout, time.Duration(members)*memberTimeoutPerMember)
}

// minMembersToAggregate is the number of members from which heartbeats carry no loads and holders, and work is shared
// through aggregators instead. In a large fleet, loads and holders cost more than they gain: each host has a small
// share of an endpoint's load, and all hosts find the preferred endpoint of a prefix by its hash. At 300 hosts they
// make up most of the traffic between zones.
const minMembersToAggregate = 120

// maxMembersOfShrunkFleet is the number of members below which a fleet that was large is no longer. It is far below
// minMembersToAggregate, since a large fleet of which half fails must not change the way in which it notices that.
const maxMembersOfShrunkFleet = minMembersToAggregate / 2

// The number of addresses of other hosts in an announcement. 64 addresses fit one datagram (TestHeartbeatBytes).
const (
	// manyAddresses are sent to a host that knows less than half as many hosts as the sender.
	manyAddresses = 64
	// someAddresses are sent to a host that knows fewer hosts than the sender.
	someAddresses = 16
	// fewAddresses are sent to all other hosts.
	fewAddresses = 4
)

// addressCountFor returns how many addresses a host that knows ours hosts sends to a host that knows theirs.
func addressCountFor(theirs, ours int) int {
	switch {
	case 2*theirs < ours:
		return manyAddresses
	case theirs < ours:
		return someAddresses
	}
	return fewAddresses
}

const (
	// queryInterval is the mean time between two queries for unknown hosts, each to a random member.
	queryInterval = 3 * time.Second
	// querySpread is the fraction of queryInterval over which the queries are spread.
	querySpread = 1
	// contactTimeout is how long an address is tried after a host last named it.
	contactTimeout = 10 * time.Minute
	// contactInterval is the time between two announcements to an address that does not answer.
	contactInterval = 3 * time.Second
	// syncGrace is how long a newer revision may take to arrive from the store before a peer is asked for it: some
	// heartbeats, and the feed's spacing of 250 ms.
	syncGrace = 200 * time.Millisecond
	// fetchSpreadPerHost is the time per host of the fleet over which hosts spread their fetches of a change: the hosts
	// that have the change serve few fetches at a time, and the kernel retries a connection that finds the accept queue
	// full only after a second.
	fetchSpreadPerHost = 2 * time.Millisecond
	// fetchHedge is how long a peer may take to answer before more peers are asked: several times as long as the
	// transfer of a directory of 3,500 endpoints over a link of 10 Mbit/s.
	fetchHedge = 250 * time.Millisecond
	// maxFetchPeers is how many peers a fetch asks: one, two more, and four more. With half of the peers unresponsive,
	// 1 fetch in 128 fails. More peers would compete for the links of a large fleet whose hosts fetch at the same time.
	maxFetchPeers = 7
	// pollCheckInterval is the time between two checks whether peers have to be polled.
	pollCheckInterval = 200 * time.Millisecond
	// pollInterval is the minimum time between two polls of peers.
	pollInterval = 500 * time.Millisecond
	// fetchTimeout bounds a fetch from all peers: transfers of a directory to hundreds of hosts at the same time take
	// seconds.
	fetchTimeout = 3 * time.Second
	// maxSnapshots bounds the snapshots of the directory that a host sends at a time. More would share its link, and
	// none would arrive in time. Hosts that get no snapshot ask again, and by then other hosts have it too. With 4, and
	// separate fetches of settings and directory, a change reaches 300 hosts within the bound of 2 s; without, it takes
	// 2.8 s to 4.0 s.
	maxSnapshots = 4
	// maxDatagram is the size in bytes of the largest datagram that is read. Heartbeats stay far below it
	// (TestHeartbeatBytes).
	maxDatagram = 16 << 10
)

const (
	// largeFleetStorePatience is how long the hosts of a large fleet ask each other before they ask the store: five
	// digests are sent in this time, of which each may be the answer.
	largeFleetStorePatience = 1500 * time.Millisecond
	// digestsPerPoll is the number of members to which a host whose state is not confirmed sends a digest.
	digestsPerPoll = 3
	// maxRequests and maxTokenUnits bound the work at an endpoint that a peer may report.
	maxRequests   = 1 << 20
	maxTokenUnits = 1 << 24
	// maxReaders is the number of hosts in the order that may read the store, including those that take over from
	// readers without answers. It is bounded so that not all hosts call a store that is down.
	maxReaders = 3 * freshness.Readers
)

// Order is a host's place in the order of Rank, by which hosts divide tasks without coordination.
type Order struct {
	// Before is the number of live hosts before this one, Hosts the number of live hosts.
	Before, Hosts int
	// ReadersBefore is the number of hosts before this one that read the store, Readers the number of all readers
	// including this host.
	ReadersBefore, Readers int
}

// IsReader reports whether this host has to read the store: the first hosts in the order do, and the next host for each
// of them that gets no answers. Hosts with different views only cause more reads than needed.
func (o Order) IsReader() bool { return o.Before < maxReaders && o.ReadersBefore < freshness.Readers }

// Order returns this host's place in the order.
func (m *Members) Order() Order {
	x := m.indexed()
	o := Order{Before: x.before, Hosts: len(x.ranked), Readers: 1}
	for place, member := range x.ranked {
		if !member.readsStore {
			continue
		}
		o.Readers++
		if place < x.before {
			o.ReadersBefore++
		}
	}
	return o
}

// Rank returns the key by which hosts are ordered, a hash of the name. It is equal at all hosts.
func Rank(host string) uint64 { return xxhash.Sum64String(host) }
