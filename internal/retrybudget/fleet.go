package retrybudget

import (
	"math"
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

// Place is the place of a host in an order that all hosts of the fleet share.
type Place struct {
	// Before is the number of live hosts before this one, Hosts the number of all live hosts.
	Before, Hosts int
}

// Usage is what this host has used of the budget of a service.
type Usage struct {
	Service string
	// FirstTries and Retries are those of this host in the window, Hosts is the number of hosts that share the slack.
	FirstTries, Retries, Hosts int
	// Uptime is the time since this host started.
	Uptime time.Duration
}

// Fleet counts the first tries and retries of this host for each service.
type Fleet struct {
	limits Limits
	place  func() Place
	clock  func() time.Time
	// exhausted is called when a retry is denied, at most once in a window for each service. It must not block.
	exhausted func(Usage)
	startedAt time.Time

	mu     sync.Mutex
	groups map[string]*group
	// sharing is this host's place among the hosts that share the slack, and missingSince the time since which fewer
	// hosts have been seen.
	sharing      Place
	missingSince time.Time
}

type group struct {
	firstTries []time.Time
	retries    []time.Time
	// reportedAt is when the budget was last reported as exhausted.
	reportedAt time.Time
}

// NewFleet returns a budget without any tries. Place returns the current place of this host. Exhausted is called when a
// retry is denied, at most once in a window for each service.
func NewFleet(limits Limits, place func() Place, clock func() time.Time, exhausted func(Usage)) *Fleet {
	return &Fleet{limits: limits, place: place, clock: clock, exhausted: exhausted, startedAt: clock(), groups: make(map[string]*group)}
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
	now, place := b.clock(), b.place()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.canRetry(now, place, service)
}

// canRetry is CanRetry with the lock held.
func (b *Fleet) canRetry(now time.Time, place Place, service string) bool {
	g := b.group(now, service)
	b.updateSharing(now, place)
	slack := b.limits.Slack / float64(max(b.sharing.Hosts, 1))
	allowed := usedShare * (b.limits.Ratio*float64(len(g.firstTries)) + slack)
	if float64(len(g.retries)+1) <= allowed+b.sharing.rounding() {
		return true
	}
	if g.reportedAt.IsZero() || now.Sub(g.reportedAt) >= b.limits.Window {
		g.reportedAt = now
		b.exhausted(Usage{
			Service: service, FirstTries: len(g.firstTries), Retries: len(g.retries), Hosts: b.sharing.Hosts, Uptime: now.Sub(b.startedAt),
		})
	}
	return false
}

// updateSharing updates the hosts that share the slack. Hosts that are no longer seen keep their share for
// missingHostTimeout: they may be running without seeing this host either. The lock is held.
func (b *Fleet) updateSharing(now time.Time, place Place) {
	switch {
	case place.Hosts >= b.sharing.Hosts:
		b.sharing, b.missingSince = place, time.Time{}
	case b.missingSince.IsZero():
		b.missingSince = now
	case now.Sub(b.missingSince) >= missingHostTimeout:
		b.sharing, b.missingSince = place, time.Time{}
	}
}

// goldenRatio is the fractional part of the golden ratio. Its multiples modulo 1 are spread evenly over [0, 1).
const goldenRatio = 0.6180339887498949

// rounding returns a number in [0, 1) that is added to a host's share before it is rounded down. The numbers of any
// successive places are spread evenly, so that of n hosts with a share of 0.3 retries, 0.3 n may send one. If every
// host rounded its share down, a fleet with more hosts than retries could send none.
func (p Place) rounding() float64 {
	_, fraction := math.Modf(goldenRatio * (float64(p.Before) + 0.5))
	return fraction
}

// RecordRetry counts a retry.
func (b *Fleet) RecordRetry(service string) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, service)
	g.retries = append(g.retries, now)
}

// Reserve counts a retry if one more may be sent to a service.
func (b *Fleet) Reserve(service string) bool {
	now, place := b.clock(), b.place()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.canRetry(now, place, service) {
		return false
	}
	g := b.group(now, service)
	g.retries = append(g.retries, now)
	return true
}

// Release takes back the last retry that was counted.
func (b *Fleet) Release(service string) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, service)
	g.retries = g.retries[:max(len(g.retries)-1, 0)]
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
