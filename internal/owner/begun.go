package owner

import (
	"context"
	"time"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// A stream that has begun is not given up while its time lasts: its caller holds a part of the answer. It waits until the
// retry budget allows a further try, and it does not follow crashes from one endpoint to the next at once, since each takes
// a retry.

const (
	// maxBegunWait bounds a wait before a further try, and begunWaitShare the part of the time left for it.
	maxBegunWait   = 4 * time.Second
	begunWaitShare = 0.5
	// budgetPollInterval is the time between two attempts to reserve a retry.
	budgetPollInterval = 200 * time.Millisecond
	// minDelayShare is the part of crashBackoff that is always waited; the rest is jitter.
	minDelayShare = 0.5
)

// crashBackoff is the delay before a stream that has begun is sent again after its second crash.
var crashBackoff = backoff.Doubling{First: 400 * time.Millisecond, Longest: 2 * time.Second}

// hasBegun reports whether the caller has received a part of the answer, from this host or another.
func (r *run) hasBegun() bool { return r.job.Request.HasBegun || r.lifecycle.Delivered() }

// crashDelay returns the delay before the next try of a stream that has begun, by the number of endpoints that have ended
// under it. The request with which its caller takes it up is the first try after a crash.
func (r *run) crashDelay() time.Duration {
	crashes := r.lifecycle.Ended()
	if r.job.Request.HasBegun && !r.lifecycle.Delivered() && crashes > 0 {
		crashes++
	}
	if crashes < 2 {
		return 0
	}
	return backoff.Jitter(crashBackoff.Span(crashes-2), minDelayShare, r.owner.parts.Random())
}

// waitForBudget waits until the retry budget allows a try, and reports false if it does not within the time for that, or if
// ctx ends.
func (r *run) waitForBudget(ctx context.Context) bool {
	r.waitsForBudget = false
	until := r.begunLimit(r.owner.parts.Clock())
	for !r.arrivals.reserve(r.endpointID, r.mayArrive, true) {
		wait := backoff.Jitter(budgetPollInterval, minDelayShare, r.owner.parts.Random())
		if !r.owner.parts.Clock().Before(until) || !lifetime.Sleep(ctx, wait) {
			return false
		}
	}
	return true
}

// begunLimit returns the time until which a stream that has begun waits for the retry budget, or to be sent alone.
func (r *run) begunLimit(now time.Time) time.Time {
	wait := maxBegunWait
	if deadline := r.job.Deadline; !deadline.IsZero() {
		wait = min(wait, time.Duration(float64(deadline.Sub(now))*begunWaitShare))
	}
	return now.Add(wait)
}
