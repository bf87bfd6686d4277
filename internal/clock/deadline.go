package clock

import (
	"context"
	"time"
)

// deadline ends a context at a time of the clock. A timer of the system stands still while the machine is suspended, so
// that it is set anew on waking.
type deadline struct {
	at     time.Time
	timer  *time.Timer
	cancel context.CancelCauseFunc
	cause  error
}

// WithDeadline returns a context that ends at a time of this clock with a cause. The function ends it sooner and must be
// called.
func (c *Clock) WithDeadline(ctx context.Context, at time.Time, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &deadline{at: at, cancel: cancel, cause: cause}
	left := at.Sub(c.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	d.timer = time.AfterFunc(left, func() { d.cancel(d.cause) })
	c.deadlines[d] = struct{}{}
	return ctx, func() {
		c.mu.Lock()
		delete(c.deadlines, d)
		c.mu.Unlock()
		d.timer.Stop()
		cancel(context.Canceled)
	}
}

// wake sets the timers of all deadlines anew, at a time of this clock. The lock is held.
func (c *Clock) wake(now time.Time) {
	for d := range c.deadlines {
		d.timer.Reset(d.at.Sub(now))
	}
}
