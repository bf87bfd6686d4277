package clock

import (
	"context"
	"time"
)

// deadline cancels a context at a time of the clock. System timers stop while the machine is suspended, so the timer is
// reset on resume.
type deadline struct {
	at     time.Time
	timer  *time.Timer
	cancel context.CancelCauseFunc
	cause  error
}

// WithDeadline returns a context that is cancelled with cause at a time of this clock. The returned function cancels it
// earlier and must be called to release the deadline.
func (c *Clock) WithDeadline(ctx context.Context, at time.Time, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &deadline{at: at, cancel: cancel, cause: cause}
	remaining := at.Sub(c.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	d.timer = time.AfterFunc(remaining, func() { d.cancel(d.cause) })
	c.deadlines[d] = struct{}{}
	return ctx, func() {
		c.mu.Lock()
		delete(c.deadlines, d)
		c.mu.Unlock()
		d.timer.Stop()
		cancel(context.Canceled)
	}
}

// resetTimers resets the timers of all deadlines; now is a time of this clock. The caller holds the lock.
func (c *Clock) resetTimers(now time.Time) {
	for d := range c.deadlines {
		d.timer.Reset(d.at.Sub(now))
	}
}
