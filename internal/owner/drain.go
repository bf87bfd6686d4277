package owner

import (
	"context"

	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// OpenJobs returns the number of jobs that run.
func (o *Owner) OpenJobs() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.open
}

// Drain waits until no job is open. If ctx ends first, the rest are ended with ErrStopped, and
// Drain waits for them and returns their number.
func (o *Owner) Drain(ctx context.Context) int {
	for o.OpenJobs() > 0 {
		select {
		case <-o.idle:
		case <-ctx.Done():
			rest := o.OpenJobs()
			o.stop()
			for o.OpenJobs() > 0 {
				<-o.idle
			}
			return rest
		}
	}
	return 0
}

func (o *Owner) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case <-o.stopped:
	default:
		close(o.stopped)
	}
}

func (o *Owner) enter() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open++
}

func (o *Owner) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open--
	if o.open > 0 {
		return
	}
	lifetime.Wake(o.idle)
}
