package leader

import (
	"context"
	"time"

	"oxbowslip.dev/oxbowslip/internal/backoff"
)

// stand takes the lease if it is free and this host's turn.
func (l *Leader) stand(ctx context.Context) {
	if !l.mayStand() {
		return
	}
	answer, err := l.read(ctx)
	if err != nil {
		l.postpone(backoff.Spread(standInterval, standSpread, l.parts.Random()))
		return
	}
	now := l.parts.Clock()
	l.mu.Lock()
	l.lease.Observe(answer)
	wait := l.lease.WaitTime(now)
	if wait > 0 {
		l.mu.Unlock()
		l.postpone(wait)
		return
	}
	l.memo = l.lease.Memo()
	write := l.lease.Take(now)
	l.mu.Unlock()
	if !l.write(ctx, &write, nil) {
		l.postpone(backoff.Spread(standInterval, standSpread, l.parts.Random()))
		return
	}
	l.begin()
}

// mayStand reports whether the lease seems to be free and it is this host's turn.
func (l *Leader) mayStand() bool {
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
	return !now.Before(l.freeAt.Add(standDelay(before))) && !now.Before(l.avoidUntil)
}

// postpone lets this host stand no sooner than after a wait.
func (l *Leader) postpone(wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freeAt = l.parts.Clock().Add(wait)
}
