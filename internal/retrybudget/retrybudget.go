// Package retrybudget bounds the retries of all hosts together over a sliding
// window. Each host takes its part of the fixed slack and a fraction of the first
// tries that it saw itself, so no word between hosts is needed. It does no input
// or output.
package retrybudget

import (
	"sync"
	"time"
)

// Limits say how many retries a service bears.
type Limits struct {
	// Ratio is the retries allowed for each first try in the window.
	Ratio float64
	// Slack is the retries that all hosts together may add.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// margin is the part of the limits that is used: hosts see the window's edges
// and the number of hosts a little differently.
const margin = 0.7

// Budget counts first tries and retries, service by service.
type Budget struct {
	limits Limits
	hosts  func() int
	clock  func() time.Time

	mu     sync.Mutex
	groups map[string]*group
}

type group struct {
	firsts  []time.Time
	retries []time.Time
}

// New makes a budget in which nothing was tried. Hosts gives the number of live
// hosts, this one included.
func New(limits Limits, hosts func() int, clock func() time.Time) *Budget {
	return &Budget{limits: limits, hosts: hosts, clock: clock, groups: make(map[string]*group)}
}

// FirstTry counts a first try. The fraction of the caller's class is not used:
// the limits are those of the whole service.
func (b *Budget) FirstTry(service string, _ float64) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, service)
	g.firsts = append(g.firsts, now)
}

// Has reports whether a service bears one more retry.
func (b *Budget) Has(service string) bool {
	now := b.clock()
	hosts := max(b.hosts(), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, service)
	allowed := margin * (b.limits.Ratio*float64(len(g.firsts)) + b.limits.Slack/float64(hosts))
	return float64(len(g.retries)+1) <= allowed
}

// Spend counts a retry.
func (b *Budget) Spend(service string) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(now, service)
	g.retries = append(g.retries, now)
}

// group gives a service's counts without what has left the window. The lock is
// held.
func (b *Budget) group(now time.Time, service string) *group {
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
