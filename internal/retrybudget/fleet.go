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

const (
	// usedShare is the share of the limits that is used. Retries reach their endpoints later than they are counted, and
	// hosts may differ for a moment in the number of hosts.
	usedShare = 0.9
	// burstShare is the part of this budget that a host may save up; the rest is earned while the window passes. A host
	// that has just started has saved nothing, so whatever its earlier starts have spent, the retries in any window
	// are at most what all hosts had saved at its beginning and what they earn in it.
	burstShare = 0.5
)

// oneRetry is one retry less a tolerance for rounding errors.
const oneRetry = 1 - 1e-6

// missingHostTimeout is how long hosts that are no longer seen still count in the division of the slack. It is longer
// than usual network faults between hosts. Without it, eight hosts that lose sight of each other would each take the
// slack of the fleet (TestIsolatedHostsShareSlack).
const missingHostTimeout = time.Minute

// Place is the place of a host in an order that all hosts of the fleet share.
type Place struct {
	// Before is the number of live hosts before this one, Hosts the number of all live hosts.
	Before, Hosts int
	// IsKnown is set once this host can tell how many hosts there are. Until then it takes no part of the slack.
	IsKnown bool
}

// Usage is what this host has used of the budget of a service.
type Usage struct {
	Service string
	// FirstTries are those of this host in the window, Hosts is the number of hosts that share the slack.
	FirstTries, Hosts int
	// Retries are those of this host since its start, Balance is what is left now.
	Retries int
	Balance float64
	// Uptime is the time since this host started.
	Uptime time.Duration
}

// Fleet is the budget of all hosts together. Each host has an account for each service: first tries and the passing time
// add to it, retries take from it.
type Fleet struct {
	limits Limits
	place  func() Place
	clock  func() time.Time
	// exhausted is called when a retry is denied, at most once in a window for each service. It must not block.
	exhausted func(Usage)
	startedAt time.Time

	mu       sync.Mutex
	accounts map[string]*account
	// sharing is this host's place among the hosts that share the slack, and missingSince the time since which fewer
	// hosts have been seen.
	sharing      Place
	missingSince time.Time
}

// account is what this host may spend at a service.
type account struct {
	firstTries windowCount
	retries    int
	balance    float64
	// updatedAt is when the balance was last updated, reportedAt when the budget was last reported as exhausted.
	updatedAt, reportedAt time.Time
}

// NewFleet returns a budget of a host that has just started. Place returns the current place of this host. Exhausted is
// called when a retry is denied, at most once in a window for each service.
func NewFleet(limits Limits, place func() Place, clock func() time.Time, exhausted func(Usage)) *Fleet {
	return &Fleet{limits: limits, place: place, clock: clock, exhausted: exhausted, startedAt: clock(), accounts: make(map[string]*account)}
}

// RecordFirstTry counts a first try. The class's fraction is ignored, since the limits apply to the whole service.
func (b *Fleet) RecordFirstTry(service string, _ float64) {
	now, place := b.clock(), b.place()
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.update(now, place, service)
	a.firstTries.add(b.uptime(now), b.limits.Window)
	a.balance += (1 - burstShare) * usedShare * b.limits.Ratio
}

// CanRetry reports whether one more retry may be sent to a service.
func (b *Fleet) CanRetry(service string) bool {
	now, place := b.clock(), b.place()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.canRetry(now, place, service)
}

// canRetry is CanRetry with the lock held.
func (b *Fleet) canRetry(now time.Time, place Place, service string) bool {
	a := b.update(now, place, service)
	if a.balance >= oneRetry {
		return true
	}
	if a.reportedAt.IsZero() || now.Sub(a.reportedAt) >= b.limits.Window {
		a.reportedAt = now
		b.exhausted(Usage{
			Service: service, FirstTries: a.firstTries.sum(b.uptime(now), b.limits.Window), Hosts: b.sharing.Hosts, Retries: a.retries, Balance: a.balance,
			Uptime: b.uptime(now),
		})
	}
	return false
}

// RecordRetry counts a retry.
func (b *Fleet) RecordRetry(service string) {
	now, place := b.clock(), b.place()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now, place, service).spend(1)
}

// Reserve counts a retry if one more may be sent to a service.
func (b *Fleet) Reserve(service string) bool {
	now, place := b.clock(), b.place()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.canRetry(now, place, service) {
		return false
	}
	b.accounts[service].spend(1)
	return true
}

// Release takes back the last retry that was counted.
func (b *Fleet) Release(service string) {
	now, place := b.clock(), b.place()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now, place, service).spend(-1)
}

func (a *account) spend(retries int) {
	a.retries += retries
	a.balance -= float64(retries)
}

// update returns the account of a service with what it has earned since its last update. The lock is held.
func (b *Fleet) update(now time.Time, place Place, service string) *account {
	b.updateSharing(now, place)
	a, ok := b.accounts[service]
	if !ok {
		a = &account{updatedAt: b.startedAt}
		b.accounts[service] = a
	}
	slack := b.slack()
	a.balance += (1 - burstShare) * usedShare * slack * float64(now.Sub(a.updatedAt)) / float64(b.limits.Window)
	a.updatedAt = now
	a.balance = min(a.balance, b.capacity(a, slack))
	return a
}

// capacity returns the most that an account may hold. A host whose whole budget is below two retries can't divide it; of
// those with less than one retry, as many may save up one as the fleet has retries.
func (b *Fleet) capacity(a *account, slack float64) float64 {
	budget := usedShare * (b.limits.Ratio*float64(a.firstTries.sum(b.uptime(a.updatedAt), b.limits.Window)) + slack)
	if budget+b.sharing.rounding() < 1 {
		return budget
	}
	return max(burstShare*budget, 1)
}

func (b *Fleet) uptime(now time.Time) time.Duration { return now.Sub(b.startedAt) }

// slack returns this host's part of the slack. The lock is held.
func (b *Fleet) slack() float64 {
	if !b.sharing.IsKnown {
		return 0
	}
	return b.limits.Slack / float64(max(b.sharing.Hosts, 1))
}

// updateSharing updates the hosts that share the slack. Hosts that are no longer seen keep their share for
// missingHostTimeout: they may be running without seeing this host either. The lock is held.
func (b *Fleet) updateSharing(now time.Time, place Place) {
	switch {
	case place.Hosts >= b.sharing.Hosts || !b.sharing.IsKnown:
		b.sharing, b.missingSince = place, time.Time{}
	case b.missingSince.IsZero():
		b.missingSince = now
	case now.Sub(b.missingSince) >= missingHostTimeout:
		b.sharing, b.missingSince = place, time.Time{}
	}
}

// goldenRatio is the fractional part of the golden ratio. Its multiples modulo 1 are spread evenly over [0, 1).
const goldenRatio = 0.6180339887498949

// rounding returns a number in [0, 1) that is added to a budget of less than one retry before it is rounded down. The
// numbers of any successive places are spread evenly, so that of n hosts with 0.3 retries each, 0.3 n may send one. If
// every host rounded down, a fleet with more hosts than retries could send none.
func (p Place) rounding() float64 {
	_, fraction := math.Modf(goldenRatio * (float64(p.Before) + 0.5))
	return fraction
}

// windowBuckets is the number of parts of a window that are counted separately.
const windowBuckets = 20

// windowCount counts events in a sliding window, but for some in the oldest part of the window. Times are times since the
// start of the host.
type windowCount struct {
	counts [windowBuckets]int
	// newest is the number of the newest part, from the start of the host on.
	newest int64
}

// advance drops the counts that are no longer in the window at a time, and returns the place of the newest part.
func (w *windowCount) advance(at, window time.Duration) int {
	newest := int64(at / max(window/windowBuckets, 1))
	for n := max(w.newest+1, newest-windowBuckets+1); n <= newest; n++ {
		w.counts[n%windowBuckets] = 0
	}
	w.newest = max(w.newest, newest)
	return int(w.newest % windowBuckets)
}

func (w *windowCount) add(at, window time.Duration) { w.counts[w.advance(at, window)]++ }

func (w *windowCount) sum(at, window time.Duration) int {
	w.advance(at, window)
	sum := 0
	for _, count := range w.counts {
		sum += count
	}
	return sum
}
