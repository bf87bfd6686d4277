package retrybudget

import (
	"sync"
	"time"
)

// Limits bounds the number of retries that all hosts together may send to a service.
type Limits struct {
	// Ratio is the number of retries allowed for each first try in the window.
	Ratio float64
	// Slack is the number of additional retries allowed for all hosts together.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// usedShare is the share of the limits that is used. Hosts differ slightly in the edges of the window and in the number
// of hosts, so that using all of it would exceed the limits.
const usedShare = 0.7

// missingHostTimeout is how long hosts that are no longer seen still count in the division of the slack. It is longer
// than usual network faults between hosts. Without it, eight hosts that lose sight of each other send 312 retries with
// a slack of 56 (TestIsolatedHostsShareSlack). A host that starts alone is bounded by its few first tries.
const missingHostTimeout = time.Minute

// Fleet counts the first tries and retries of this host for each service.
type Fleet struct {
	limits Limits
	hosts  func() int
	clock  func() time.Time

	mu     sync.Mutex
	groups map[string]*group
	// sharingHosts is the number of hosts that share the slack, and missingSince the time since which fewer hosts have
	// been seen.
	sharingHosts int
	missingSince time.Time
}

type group struct {
	firstTries []time.Time
	retries    []time.Time
}

// NewFleet returns a budget without any tries. Hosts returns the number of live hosts, this one included.
func NewFleet(limits Limits, hosts func() int, clock func() time.Time) *Fleet {
	return &Fleet{limits: limits, hosts: hosts, clock: clock, groups: make(map[string]*group)}
}

// RecordFirstTry counts a first try. The class's fraction is ignored, since the limits apply to the whole service.
func (b *Fleet) RecordFirstTry(service string, _ float64) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, service)
	g.firstTries = append(g.firstTries, now)
}

// CanRetry reports whether one more retry may be sent to a service: at most usedShare of Ratio times the first tries of
// this host in the window plus its share of Slack.
func (b *Fleet) CanRetry(service string) bool {
	now, hosts := b.clock(), b.hosts()
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, service)
	allowed := usedShare * (b.limits.Ratio*float64(len(g.firstTries)) + b.slack(now, hosts))
	return float64(len(g.retries)+1) <= allowed
}

// slack returns this host's equal share of Slack. Hosts that are no longer seen keep their share for
// missingHostTimeout: they may be running without seeing this host either. The lock is held.
func (b *Fleet) slack(now time.Time, hosts int) float64 {
	switch {
	case hosts >= b.sharingHosts:
		b.sharingHosts, b.missingSince = hosts, time.Time{}
	case b.missingSince.IsZero():
		b.missingSince = now
	case now.Sub(b.missingSince) >= missingHostTimeout:
		b.sharingHosts, b.missingSince = hosts, time.Time{}
	}
	return b.limits.Slack / float64(max(b.sharingHosts, 1))
}

// RecordRetry counts a retry.
func (b *Fleet) RecordRetry(service string) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, service)
	g.retries = append(g.retries, now)
}

// group returns a service's counts within the window. The lock is held.
func (b *Fleet) group(now time.Time, service string) *group {
	g, ok := b.groups[service]
	if !ok {
		g = new(group)
		b.groups[service] = g
	}
	start := now.Add(-b.limits.Window)
	g.firstTries = after(start, g.firstTries)
	g.retries = after(start, g.retries)
	return g
}

func after(start time.Time, times []time.Time) []time.Time {
	for i, at := range times {
		if at.After(start) {
			return times[i:]
		}
	}
	return times[:0]
}
