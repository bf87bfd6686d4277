package leader

import (
	"context"
	"time"

	"oxbowslip.dev/oxbowslip/internal/backoff"
)

// tryToTakeLease takes the lease if it is free and it is the turn of this host.
func (l *Leader) tryToTakeLease(ctx context.Context) {
	if !l.mayTryToTakeLease() {
		return
	}
	answer, err := l.read(ctx)
	if err != nil {
		l.delayNextTry(backoff.Spread(takeRetryInterval, takeRetrySpread, l.parts.Random()))
		return
	}
	now := l.parts.Clock()
	l.mu.Lock()
	l.lease.Observe(answer)
	wait := l.lease.WaitTime(now)
	if wait > 0 {
		l.mu.Unlock()
		l.delayNextTry(wait)
		return
	}
	l.memo = l.lease.Memo()
	write := l.lease.Take(now)
	l.mu.Unlock()
	if !l.write(ctx, &write, nil) {
		l.delayNextTry(backoff.Spread(takeRetryInterval, takeRetrySpread, l.parts.Random()))
		return
	}
	l.startTasks()
}

// mayTryToTakeLease reports whether the lease appears to be free and it is the turn of this host.
func (l *Leader) mayTryToTakeLease() bool {
	if !l.parts.Peers.IsSettled() {
		return false
	}
	before := l.parts.Peers.HostsBefore()
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resigned {
		return false
	}
	if l.freeAt.IsZero() {
		l.freeAt = now
	}
	return !now.Before(l.freeAt.Add(takeDelay(before))) && !now.Before(l.standDownUntil)
}

// delayNextTry delays the next attempt to take the lease.
func (l *Leader) delayNextTry(wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freeAt = l.parts.Clock().Add(wait)
}
