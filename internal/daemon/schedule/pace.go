package schedule

import "time"

// The constants of the time after which a refused caller should retry.
const (
	// minRetryAfter is the lowest value of the Retry-After header, which is in whole seconds. maxRetryAfter
	// bounds the value, because an estimate from a long backlog is not reliable.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// maxCompletionInterval bounds the mean time between two finished requests, so that a pause in the
	// traffic does not count for longer.
	maxCompletionInterval = 5 * time.Second
	// intervalSmoothing is the number of intervals that the mean averages over.
	intervalSmoothing = 16
)

// pace measures the rate at which the shard finishes requests.
type pace struct {
	// interval is the mean time between two finished requests.
	interval time.Duration
	last     time.Time
}

func (p *pace) recordCompletion(now time.Time) {
	if p.last.IsZero() {
		p.last = now
		return
	}
	gap := now.Sub(p.last)
	p.last = now
	if p.interval == 0 {
		p.interval = gap
		return
	}
	// Averaging over intervals gives each completion the same weight, so a pause counts once.
	p.interval += (gap - p.interval) / intervalSmoothing
	p.interval = min(p.interval, maxCompletionInterval)
}

// estimateWait estimates how long it takes to grant n requests.
func (p *pace) estimateWait(n int) time.Duration {
	return time.Duration(n) * p.interval
}

// retryAfter returns when a refused caller should retry: when its tier is likely to have room.
func (s *Scheduler) retryAfter(tier int) time.Duration {
	wait := s.pace.estimateWait(s.waitingAtOrAbove(tier))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
