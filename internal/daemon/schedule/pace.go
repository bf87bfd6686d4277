package schedule

import "time"

// Bounds of what a refused caller is told.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// paceTime is the time over which the rate of finished requests is averaged.
const paceTime = 5 * time.Second

// pace measures how fast the shard finishes requests.
type pace struct {
	interval time.Duration
	last     time.Time
}

func (p *pace) finished(now time.Time) {
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
	// An average over gaps weighs each finish alike, so a lull counts once.
	p.interval += (gap - p.interval) / 16
	p.interval = min(p.interval, paceTime)
}

// wait estimates how long n requests take to be granted.
func (p *pace) wait(n int) time.Duration {
	return time.Duration(n) * p.interval
}

// retryAfter returns when a refused caller should come back: when its tier is likely to have room.
func (s *Scheduler) retryAfter(tier int) time.Duration {
	wait := s.pace.wait(s.waitingAtOrAbove(tier))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
