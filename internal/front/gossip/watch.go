package gossip

import (
	"slices"
	"time"
)

// Failure detection in a large fleet. If every host sent its heartbeats to every other, their number would grow with the
// square of the fleet. Each host therefore sends them to a few watchers, the next hosts in the order of Rank. A watcher
// that receives nothing from a host probes it, and then reports it as lost to all (relay.go). A host that learns that it was
// reported as lost although it runs refutes the report with a new generation of its Record (roster.go), as in SWIM.

const (
	// watchers is the number of hosts that watch each host. If half of all hosts fail together, all watchers of 1 host in
	// 64 are among them; the next hosts in the order then watch it.
	watchers = 6
	// probeAfter is how long a watched host may be silent before its watchers probe it: two heartbeats are missing.
	// probeInterval is the time between two probes.
	probeAfter    = 2 * time.Second
	probeInterval = 500 * time.Millisecond
	// newlyWatchedTimeout is how long a host may be silent that this host has just begun to watch. It is probed at once, and
	// several times.
	newlyWatchedTimeout = 2500 * time.Millisecond
	// watchInterval is the time between two checks of the watched hosts.
	watchInterval = 300 * time.Millisecond
	// watcherStep is added to minMemberTimeout for each watcher that is closer to the silent host. The first one usually
	// reports for all.
	watcherStep = 100 * time.Millisecond
	// isolationTime is how long a host may receive no message before it counts itself as isolated. Everyone is then silent
	// to it, and its reports would be wrong.
	isolationTime = 1500 * time.Millisecond
	// maxWatchGap is the time between two checks above which this host was suspended or starved itself. Silence during
	// that time says nothing.
	maxWatchGap = 4 * watchInterval
)

// watch is this host's state as a watcher.
type watch struct {
	// receivedAt is when this host last received a message from any peer, checkedAt when it last checked the watched hosts.
	receivedAt time.Time
	checkedAt  time.Time
	// meanGap is the mean time between two messages of any peers, over the last ones.
	meanGap time.Duration
	// watched are the hosts that were watched at the last check.
	watched []*Member
}

// Watchers returns the addresses of the hosts that watch this one.
func (m *Members) Watchers() []string {
	x := m.indexed()
	var addresses []string
	for i := range min(watchers, len(x.ring)-1) {
		addresses = append(addresses, x.ring[(x.ownPlace+1+i)%len(x.ring)].Address)
	}
	return addresses
}

// watched returns the hosts that this host watches, the closest in the order first.
func (m *Members) watched() []*Member {
	x := m.indexed()
	var members []*Member
	for i := range min(watchers, len(x.ring)-1) {
		members = append(members, x.ring[(x.ownPlace+len(x.ring)-1-i)%len(x.ring)])
	}
	return members
}

// isWatched reports whether a member's liveness is up to its watchers, rather than to each host.
func (m *Members) isWatched(member *Member) bool { return member.relays && m.IsLarge() }

// CheckWatched returns the addresses of silent hosts to probe, and the hosts that have been silent for too long and are
// to be reported as lost.
func (m *Members) CheckWatched(now time.Time) (probe []string, lost []LostRecord) {
	watched, before := m.watched(), m.watch.watched
	isUnreliable := now.Sub(m.watch.checkedAt) > maxWatchGap || now.Sub(m.watch.receivedAt) > isolationTime
	m.watch.checkedAt, m.watch.watched = now, watched
	for place, member := range watched {
		if isUnreliable || !slices.Contains(before, member) {
			member.watchedSince = now
		}
		silence, limit, probesAfter := now.Sub(member.lastSeen), minMemberTimeout, probeAfter
		if since := now.Sub(member.watchedSince); since < silence {
			// It may not know this watcher yet, or its watchers may have failed together with it.
			silence, limit, probesAfter = since, newlyWatchedTimeout, 0
		}
		switch {
		case silence > limit+time.Duration(place)*watcherStep:
			lost = append(lost, LostRecord{Host: member.Name, Start: member.startNanos, Generation: member.generation})
		case !isUnreliable && silence >= probesAfter && now.Sub(member.probedAt) >= probeInterval:
			member.probedAt = now
			probe = append(probe, member.Address)
		}
	}
	return probe, lost
}

// RecordReceived records that a message from a peer has arrived.
func (m *Members) RecordReceived(now time.Time) {
	if gap := now.Sub(m.watch.receivedAt); gap < silentTime {
		m.watch.meanGap += (gap - m.watch.meanGap) / gapMemory
	}
	m.watch.receivedAt = now
}
