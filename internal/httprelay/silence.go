package httprelay

import (
	"context"
	"time"
)

// IdleTimer ends an attempt when its endpoint sends nothing for too long. Its methods
// are called from the goroutine of the attempt.
type IdleTimer struct {
	cancel context.CancelCauseFunc
	cause  error
	timer  *time.Timer
	limit  time.Duration
}

// WithIdleTimeout returns a context for an attempt, which ends with the cause once the
// endpoint has been silent for the limit, and the watch. A limit of 0 means that silence
// is no reason to end the attempt. Stop must be called.
func WithIdleTimeout(ctx context.Context, limit time.Duration, cause error) (context.Context, *IdleTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &IdleTimer{cancel: cancel, cause: cause}
	w.SetLimit(ctx, limit)
	return ctx, w
}

// Reset starts the time again: the endpoint has sent something.
func (w *IdleTimer) Reset() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

// SetLimit replaces the limit from now on; 0 means none. It does nothing once the context
// of the attempt has ended.
func (w *IdleTimer) SetLimit(ctx context.Context, limit time.Duration) {
	w.stopTimer()
	w.limit = limit
	if limit > 0 && ctx.Err() == nil {
		w.timer = time.AfterFunc(limit, func() { w.cancel(w.cause) })
	}
}

// Stop ends the watch and the context.
func (w *IdleTimer) Stop() {
	w.stopTimer()
	w.cancel(nil)
}

func (w *IdleTimer) stopTimer() {
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
