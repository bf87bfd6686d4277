package retrybudget

import (
	"sync"
	"time"
)

// Limits are how many retries all hosts together may send to a service.
type Limits struct {
	// Ratio is the retries allowed for each first try in the window.
	Ratio float64
	// Slack is the retries that all hosts together may add.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// usedPart is the part of the limits that is used. Hosts see the edges of the window and the number of hosts a little
// differently, so that all of it would exceed the limits. No rule on retries was broken in the hunts of 4c58500 with it
// (400 days on two deployments).
const usedPart = 0.7

// goneAfter is how long hosts that are not seen any more share the slack. Eight hosts that lost sight of each other and
// counted those that they saw sent 312 retries with a slack of 56 (TestHostsThatForgetEachOther). Longer than the cuts
// between hosts in the users' days. A host that starts alone is bounded by its few first tries.
const goneAfter = time.Minute

// Fleet counts the first tries and retries of this host, service by service.
type Fleet struct {
	limits Limits
	hosts  func() int
	clock  func() time.Time

	mu     sync.Mutex
	groups map[string]*group
	// size is how many hosts share the slack, fellAt since when fewer are seen.
	size   int
	fellAt time.Time
}

type group struct {
	firsts  []time.Time
	retries []time.Time
}

// NewFleet returns a budget in which nothing was tried. Hosts returns the number of live
// hosts, this one included.
func NewFleet(limits Limits, hosts func() int, clock func() time.Time) *Fleet {
	return &Fleet{limits: limits, hosts: hosts, clock: clock, groups: make(map[string]*group)}
}

// RecordFirstTry counts a first try. The fraction of the class is ignored: the limits are those
// of the whole service.
func (b *Fleet) RecordFirstTry(service string, _ float64) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, service)
	g.firsts = append(g.firsts, now)
}

// CanRetry reports whether one more retry may be sent to a service: at most usedPart of Ratio
// times the first tries of this host in the window, plus its share of Slack.
func (b *Fleet) CanRetry(service string) bool {
	now, hosts := b.clock(), b.hosts()
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, service)
	allowed := usedPart * (b.limits.Ratio*float64(len(g.firsts)) + b.slack(now, hosts))
	return float64(len(g.retries)+1) <= allowed
}

// slack returns this host's equal share of Slack. Hosts that are not seen any more count on for a while: they may be there
// and not see this one either. The lock is held.
func (b *Fleet) slack(now time.Time, hosts int) float64 {
	switch {
	case hosts >= b.size:
		b.size, b.fellAt = hosts, time.Time{}
	case b.fellAt.IsZero():
		b.fellAt = now
	case now.Sub(b.fellAt) >= goneAfter:
		b.size, b.fellAt = hosts, time.Time{}
	}
	return b.limits.Slack / float64(max(b.size, 1))
}

// RecordRetry counts a retry.
func (b *Fleet) RecordRetry(service string) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, service)
	g.retries = append(g.retries, now)
}

// group returns a service's counts without what has left the window. The lock is held.
func (b *Fleet) group(now time.Time, service string) *group {
	g, ok := b.groups[service]
	if !ok {
		g = new(group)
		b.groups[service] = g
	}
	start := now.Add(-b.limits.Window)
	g.firsts = since(start, g.firsts)
	g.retries = since(start, g.retries)
	return g
}

func since(start time.Time, times []time.Time) []time.Time {
	for i, at := range times {
		if at.After(start) {
			return times[i:]
		}
	}
	return times[:0]
}
