package tunnel

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/backoff"
)

const (
	// headStartDivisor and maxHeadStart determine how long this host's own path is tried alone: a fraction of the connect
	// timeout, which leaves time for a tunnel. Endpoints usually accept a connection within a few milliseconds.
	headStartDivisor = 2
	maxHeadStart     = 100 * time.Millisecond
	// alertHeadStart is the head start for alertTime after the loss of a path, when other paths may be lost as well.
	alertHeadStart = 20 * time.Millisecond
	alertTime      = 10 * time.Second
	// recheckInterval is how often a lost path that is in use is tried again.
	recheckInterval = 500 * time.Millisecond
	// forgetTime is when the state of an unused path is dropped. Another endpoint may get the address later.
	forgetTime = 30 * time.Second
)

// restoreDelay is how long a path that has been lost repeatedly must work before it is used again, so that a flapping
// path doesn't break calls each time that it goes down. The first loss has no delay.
var restoreDelay = backoff.Doubling{First: time.Second, Longest: 8 * time.Second}

// path is the state of this host's own path to an address.
type path struct {
	lost   bool
	lostAt time.Time
	// losses counts the losses since the state was created.
	losses int
	// worksSince is when the path began to work again while it still counts as lost, or zero.
	worksSince time.Time
	recheckAt  time.Time
	// provenAt is when a connection was last opened over the path.
	provenAt time.Time
	usedAt   time.Time
}

// paths holds the rules for this host's own paths to endpoints. It does no I/O, takes the time as a parameter, and is not
// safe for concurrent use. A path is lost if a peer connects to an endpoint and this host does not.
type paths struct {
	byAddress map[string]*path
	lastLoss  time.Time
}

func newPaths() *paths { return &paths{byAddress: make(map[string]*path)} }

// headStart returns for how long this host's own path to an address is tried before a tunnel is tried as well.
func (p *paths) headStart(now time.Time, connectTimeout time.Duration) time.Duration {
	limit := maxHeadStart
	if p.isAlert(now) {
		limit = alertHeadStart
	}
	return min(limit, connectTimeout/headStartDivisor)
}

// takeRecheck reports whether a lost path is due to be tried again, and schedules the next time.
func (p *paths) takeRecheck(now time.Time, address string) bool {
	state := p.use(now, address)
	if state == nil || !state.lost || now.Before(state.recheckAt) {
		return false
	}
	state.recheckAt = now.Add(recheckInterval)
	return true
}

// recordLost records that a peer has connected to an address and this host has not. It reports whether the path had not
// counted as lost.
func (p *paths) recordLost(now time.Time, address string) bool {
	state, ok := p.byAddress[address]
	if !ok {
		state = new(path)
		p.byAddress[address] = state
	}
	state.usedAt, state.worksSince = now, time.Time{}
	if state.lost {
		return false
	}
	state.lost, state.lostAt, state.recheckAt = true, now, now.Add(recheckInterval)
	state.losses++
	p.lastLoss = now
	return true
}

// recordOwn records a connection over this host's own path to an address. If the path is no longer lost, it returns how
// long it was.
func (p *paths) recordOwn(now time.Time, address string) (restored bool, lostFor time.Duration) {
	state, ok := p.byAddress[address]
	if !ok {
		if !p.isAlert(now) {
			return false, 0
		}
		state = new(path)
		p.byAddress[address] = state
	}
	state.provenAt, state.usedAt = now, now
	if !state.lost {
		return false, 0
	}
	if state.worksSince.IsZero() {
		state.worksSince = now
	}
	if state.losses > 1 && now.Sub(state.worksSince) < restoreDelay.Span(state.losses-2) {
		return false, 0
	}
	state.lost = false
	return true, now.Sub(state.lostAt)
}

// recordOwnFailure records that this host could not connect to an address, whether a peer could or not.
func (p *paths) recordOwnFailure(address string) {
	if state, ok := p.byAddress[address]; ok {
		state.worksSince = time.Time{}
	}
}

// isLost reports whether the path to an address is lost.
func (p *paths) isLost(address string) bool {
	state, ok := p.byAddress[address]
	return ok && state.lost
}

// mayReuseOwn reports whether an idle connection over this host's own path may be used. After the loss of any path, a
// path must be proven first: its idle connections may be dead without a sign.
func (p *paths) mayReuseOwn(now time.Time, address string) bool {
	if !p.isAlert(now) {
		return !p.isLost(address)
	}
	state := p.use(now, address)
	return state != nil && !state.lost && !state.provenAt.Before(p.lastLoss)
}

// isAlert reports whether a path was lost within alertTime.
func (p *paths) isAlert(now time.Time) bool {
	return !p.lastLoss.IsZero() && now.Sub(p.lastLoss) < alertTime
}

// use returns the state of a path, or nil if there is none, and keeps it from being dropped.
func (p *paths) use(now time.Time, address string) *path {
	state, ok := p.byAddress[address]
	if !ok {
		return nil
	}
	state.usedAt = now
	return state
}

// countLost returns the number of lost paths.
func (p *paths) countLost() int {
	count := 0
	for _, state := range p.byAddress {
		if state.lost {
			count++
		}
	}
	return count
}

// expire drops the states that have not been used for forgetTime.
func (p *paths) expire(now time.Time) {
	for address, state := range p.byAddress {
		if now.Sub(state.usedAt) >= forgetTime {
			delete(p.byAddress, address)
		}
	}
}
