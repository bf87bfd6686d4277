package httprelay

import (
	"context"
	"time"
)

// IdleTimer cancels an attempt whose endpoint sends nothing for too long. Its methods must be called from the goroutine
// of the attempt.
type IdleTimer struct {
	cancel context.CancelCauseFunc
	cause  error
	timer  *time.Timer
	limit  time.Duration
}

// WithIdleTimeout returns a context for an attempt and its timer. The context is cancelled with a cause when Reset has
// not been called for the limit. A limit of 0 sets no timeout. Stop must be called.
func WithIdleTimeout(ctx context.Context, limit time.Duration, cause error) (context.Context, *IdleTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &IdleTimer{cancel: cancel, cause: cause}
	w.SetLimit(ctx, limit)
	return ctx, w
}

// Reset restarts the timeout after the endpoint has sent data.
func (w *IdleTimer) Reset() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

// SetLimit replaces the limit and restarts the timeout; 0 sets no timeout. It starts no timer once the context of the
// attempt has ended.
func (w *IdleTimer) SetLimit(ctx context.Context, limit time.Duration) {
	w.stopTimer()
	w.limit = limit
	if limit > 0 && ctx.Err() == nil {
		w.timer = time.AfterFunc(limit, func() { w.cancel(w.cause) })
	}
}

// Stop stops the timer and cancels the context.
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
