package owner

import (
	"context"

	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// OpenJobs returns the number of running jobs.
func (o *Owner) OpenJobs() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.openJobs
}

// Drain waits until no job is open. If ctx ends first, the remaining jobs are cancelled with ErrStopped; Drain waits
// for them and returns their number.
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

func (o *Owner) beginJob() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.openJobs++
}

func (o *Owner) endJob() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.openJobs--
	if o.openJobs > 0 {
		return
	}
	lifetime.Wake(o.idle)
}
