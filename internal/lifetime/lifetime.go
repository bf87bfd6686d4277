// Package lifetime ties contexts and periodic work to the done channel of a component, wakes waiting goroutines, and
// shuts servers down gracefully. Both programs use it. It owns no state and relies on package backoff for the spread of
// intervals.
package lifetime

import (
	"context"
	"runtime/debug"
	"time"

	"oxbowslip.dev/oxbowslip/internal/backoff"
)

// heapFraction is the fraction of a host's memory that the Go runtime may use before it collects garbage at any cost. The
// rest is for kernel buffers and the program itself.
const heapFraction = 0.6

// LimitHeap limits the memory of the Go runtime on a host with some memory, in bytes; 0 means no limit.
func LimitHeap(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(memory)))
	}
}

// Context returns a context that is cancelled when done is closed. The returned function
// cancels it earlier and must be called to release its goroutine.
func Context(done <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Sleep waits for a duration. It returns false if ctx is done earlier.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Wake wakes the goroutine that receives from a channel with a buffer of one, now or next. It does not block.
func Wake(waiter chan<- struct{}) {
	select {
	case waiter <- struct{}{}:
	default:
	}
}

// intervalSpread is the width of the random distribution of Every's intervals, as a fraction of their mean.
const intervalSpread = 1

// Every calls f immediately and then repeatedly until done is closed. The intervals are random
// between 0.5 and 1.5 times the mean. random returns numbers in [0, 1).
func Every(done <-chan struct{}, mean time.Duration, random func() float64, f func(ctx context.Context)) {
	ctx, cancel := Context(done)
	defer cancel()
	for {
		f(ctx)
		timer := time.NewTimer(backoff.Spread(mean, intervalSpread, random()))
		select {
		case <-timer.C:
		case <-done:
			timer.Stop()
			return
		}
	}
}
