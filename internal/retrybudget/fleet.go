package retrybudget

import (
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// Limits bounds the number of retries of all hosts together that arrive at the endpoints of a service.
type Limits struct {
	// Ratio is the number of retries allowed for each first try in the window.
	Ratio float64
	// Slack is the number of additional retries allowed for all hosts together.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// usedShare is the share of the limits that is used. Hosts may differ for a moment in the number of hosts.
	usedShare = 0.9
	// burstShare is the part of this budget that a host may send at once; it earns the rest while the window passes.
	burstShare = 0.5
)

// Usage is what this host has used of the budget of a service.
type Usage struct {
	Service string
	// FirstTries are those of this host in the window. Hosts is the number of hosts that it sees, Missing that of those that may
	// run without being seen.
	FirstTries, Hosts, Missing int
	// HasPart is set if this host takes its part of the slack.
	HasPart bool
	// Retries are those of this host since its start, Recent those that have arrived in the window, Unsettled those that
	// may still arrive, of which requests no longer wait for Left.
	Retries, Recent, Unsettled, Left int
	// Uptime is the time since this host started.
	Uptime time.Duration
}

// Fleet is the budget of all hosts together. Each host uses its part of it.
type Fleet struct {
	limits Limits
	place  func() Place
	clock  func() time.Time
	// exhausted is called when a retry is denied, at most once in a window for each service. It must not block.
	exhausted func(Usage)
	startedAt time.Time

	mu       sync.Mutex
	accounts map[string]*account
	sharing  sharing
}

// NewFleet returns a budget of a host that has just started. Place returns the current place of this host. Exhausted is
// called when a retry is denied, at most once in a window for each service.
func NewFleet(limits Limits, place func() Place, clock func() time.Time, exhausted func(Usage)) *Fleet {
	return &Fleet{limits: limits, place: place, clock: clock, exhausted: exhausted, startedAt: clock(), accounts: make(map[string]*account)}
}

// RecordFirstTry counts a first try. The class's fraction is ignored, since the limits apply to the whole service.
func (b *Fleet) RecordFirstTry(service string, _ float64) {
	uptime := b.uptime()
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service)
	a.firstTries.add(uptime, b.limits.Window)
	a.allFirstTries++
}

// Reserve counts a retry if one more may be sent to a service. Silent is the endpoint that may still read the try before, or
// empty. HasBegun is set for a stream of which the caller has received a part.
func (b *Fleet) Reserve(service, silent string, hasBegun bool) bool {
	uptime, place := b.uptime(), b.place()
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service)
	b.sharing.update(uptime, place)
	w := b.allowance()
	a.expire(uptime, b.limits.Window, burstShare*w.budget(a, uptime))
	w.keptForBegun = a.keptForBegun(uptime, b.limits.Window, hasBegun)
	isUnknown := silent != "" && a.earlier.isUnknown(uptime, silent)
	if !w.mayRetry(a, uptime) || isUnknown && !w.mayLeaveUnknown(a, uptime) {
		b.report(service, a, uptime)
		return false
	}
	a.retries++
	a.unsettled++
	return true
}

// report reports that a retry is denied.
func (b *Fleet) report(service string, a *account, uptime time.Duration) {
	if a.isReported && uptime-a.reportedAt < b.limits.Window {
		return
	}
	a.isReported, a.reportedAt = true, uptime
	b.exhausted(Usage{
		Service: service, FirstTries: a.firstTries.sum(uptime, b.limits.Window), Hosts: b.sharing.place.Hosts, Missing: b.sharing.place.Missing,
		HasPart: b.sharing.hasPart, Retries: a.retries, Recent: len(a.settled), Unsettled: a.unsettled, Left: a.leftRetries(), Uptime: uptime,
	})
}

// Release takes back a retry that was counted and not sent.
func (b *Fleet) Release(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service)
	a.retries--
	a.unsettled--
}

// Settle records that a retry has arrived at its endpoint, or never will.
func (b *Fleet) Settle(service string) {
	uptime := b.uptime()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).settle(uptime, 1)
}

// Leave records that a request no longer waits for some of its tries, of which a number of retries may still arrive.
func (b *Fleet) Leave(service string, retries int, sends []request.Send) {
	uptime := b.uptime()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).leave(uptime, retries, sends)
}

// RecordAnswer records that an endpoint has begun to answer a try.
func (b *Fleet) RecordAnswer(service string, send request.Send) {
	uptime := b.uptime()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).recordAnswer(uptime, b.clock().Sub(send.At), send)
}

// Update takes notice of the other hosts. It is called about once a second.
func (b *Fleet) Update() {
	uptime, place := b.uptime(), b.place()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharing.update(uptime, place)
}

// Unsettled returns the number of retries that may still arrive at their endpoints.
func (b *Fleet) Unsettled() int {
	uptime := b.uptime()
	b.mu.Lock()
	defer b.mu.Unlock()
	unsettled, w := 0, b.allowance()
	for _, a := range b.accounts {
		a.expire(uptime, b.limits.Window, burstShare*w.budget(a, uptime))
		unsettled += a.unsettled
	}
	return unsettled
}

// allowance returns what this host may use. The lock is held.
func (b *Fleet) allowance() allowance {
	return allowance{limits: b.limits, slack: b.sharing.of(b.limits.Slack), partSince: b.sharing.since, rounding: b.sharing.place.rounding()}
}

// account returns the account of a service. The lock is held.
func (b *Fleet) account(service string) *account {
	a, ok := b.accounts[service]
	if !ok {
		a = new(account)
		b.accounts[service] = a
	}
	return a
}

func (b *Fleet) uptime() time.Duration { return b.clock().Sub(b.startedAt) }
