package retrybudget

import (
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// account is what this host has used of the budget of a service. Its times are times since the start of the host.
//
// A retry counts from when it is sent until a window after it has arrived. When it arrives is not known exactly: not
// before it is sent, and not after the endpoint has answered it or has closed its connection. Until then it is unsettled,
// and counts in every window.
type account struct {
	// firstTries are those in the window, allFirstTries those since the start.
	firstTries    windowCount
	allFirstTries int
	// retries are those since the start, unsettled those of them that may still arrive. Settled are the others of the last
	// window, in order.
	retries   int
	unsettled int
	settled   []settledRetry
	// left are the tries of requests that no longer wait for them.
	left []leftTries
	// earlier is what is known of the retries that earlier starts of this host have left at endpoints.
	earlier earlierStarts
	// begunAt is when a stream that had begun last asked for a retry, if hasBegun is set.
	begunAt  time.Duration
	hasBegun bool
	// reportedAt is when the budget was last reported as exhausted, if isReported is set.
	reportedAt time.Duration
	isReported bool
}

// settledRetry is a retry that arrived at a time or before.
type settledRetry struct {
	at time.Duration
	// firstTries is the number of first tries since the start at that time.
	firstTries int
}

// leftTries are tries of a request that may still arrive, of which a number are retries in the sense of the limits.
type leftTries struct {
	retries int
	sends   []leftTry
}

type leftTry struct {
	endpoint string
	sentAt   time.Time
	// settlesAt is when it counts as arrived.
	settlesAt time.Duration
}

const (
	// unreadTimeout is how long an endpoint that answers nothing may take to read a request. Processes that are paused
	// for longer are replaced.
	unreadTimeout = time.Minute
	// readDelay is how long an endpoint that has answered a later request may take to read an earlier one.
	readDelay = time.Second
)

// settle records that retries have arrived.
func (a *account) settle(now time.Duration, retries int) {
	retries = min(retries, a.unsettled)
	a.unsettled -= retries
	for range retries {
		a.settled = append(a.settled, settledRetry{now, a.allFirstTries})
	}
}

// leave records tries of which a number of retries may still arrive.
func (a *account) leave(now time.Duration, retries int, sends []request.Send) {
	for _, send := range sends {
		a.earlier.recordSilence(now, send.Endpoint)
	}
	if retries == 0 {
		return
	}
	tries := leftTries{retries: retries}
	for _, send := range sends {
		tries.sends = append(tries.sends, leftTry{endpoint: send.Endpoint, sentAt: send.At, settlesAt: now + unreadTimeout})
	}
	a.left = append(a.left, tries)
}

// recordAnswer records that an endpoint has answered a try. It runs, and has read what was sent to it before.
func (a *account) recordAnswer(now, waited time.Duration, send request.Send) {
	a.earlier.recordAnswer(now, waited, send.Endpoint)
	for _, tries := range a.left {
		for i := range tries.sends {
			if s := &tries.sends[i]; s.endpoint == send.Endpoint && !s.sentAt.After(send.At) {
				s.settlesAt = min(s.settlesAt, now+readDelay)
			}
		}
	}
}

// leftRetries returns the number of retries that may still arrive although no request waits for them.
func (a *account) leftRetries() int {
	retries := 0
	for _, tries := range a.left {
		retries += tries.retries
	}
	return retries
}

// expire settles the tries that can no longer arrive, and drops the retries that have left the window. Burst is the number
// of retries that earlier starts may have left.
func (a *account) expire(now, window time.Duration, burst float64) {
	if a.earlier.hasEnded(now, window) {
		for range int(math.Ceil(burst)) {
			a.settled = append(a.settled, settledRetry{now, a.allFirstTries})
		}
	}
	open := a.left[:0]
	for _, tries := range a.left {
		settlesAt := time.Duration(0)
		for _, s := range tries.sends {
			settlesAt = max(settlesAt, s.settlesAt)
		}
		if now < settlesAt {
			open = append(open, tries)
			continue
		}
		a.settle(now, tries.retries)
	}
	clear(a.left[len(open):])
	a.left = open
	expired := 0
	for expired < len(a.settled) && a.settled[expired].at <= now-window {
		expired++
	}
	a.settled = a.settled[expired:]
}

// begunShare is the part of the budget that is kept for streams that have begun while some of them ask for retries: their
// callers hold a part of the answer, and may have returned with it already.
const begunShare = 0.5

// keptForBegun returns the part of the budget that a request may not use. HasBegun is set for a stream that has begun.
func (a *account) keptForBegun(now, window time.Duration, hasBegun bool) float64 {
	if hasBegun {
		a.begunAt, a.hasBegun = now, true
		return 0
	}
	if a.hasBegun && now-a.begunAt < window {
		return begunShare
	}
	return 0
}

// allowance is what a host may use of the budget of a service.
type allowance struct {
	limits Limits
	// keptForBegun is the part that the request may not use.
	keptForBegun float64
	// slack is this host's part of the slack, which it has had since partSince. Rounding is that of its place.
	slack     float64
	partSince time.Duration
	rounding  float64
}

// earned returns the retries that a number of first tries allow, and the time since an earlier one.
func (w *allowance) earned(firstTries int, since, now time.Duration) float64 {
	passed := max(now-max(since, w.partSince), 0)
	return (1 - w.keptForBegun) * usedShare * (w.limits.Ratio*float64(firstTries) + w.slack*float64(passed)/float64(w.limits.Window))
}

// budget returns the retries that a host may send in the window before a time.
func (w *allowance) budget(a *account, now time.Duration) float64 {
	return w.earned(a.firstTries.sum(now, w.limits.Window), now-w.limits.Window, now)
}

// mayRetry reports whether one more retry may be sent.
//
// In each span of time up to a window, a host sends at most burstShare of its budget and what the rest of the budget earns
// in that span. A start knows of no earlier retries: in its first window it only sends the second part. Whatever its
// earlier starts have sent, the retries in any window then stay within the budget.
func (w *allowance) mayRetry(a *account, now time.Duration) bool {
	budget := w.budget(a, now)
	burst := burstShare*budget + w.rounding
	// A host whose budget is a single retry can't divide it.
	least := min(math.Floor(budget+w.rounding), 1)
	next := a.unsettled + 1
	if !fits(next, max(burst, least)) {
		return false
	}
	for i, s := range a.settled {
		recent := (1 - burstShare) * w.earned(a.allFirstTries-s.firstTries, s.at, now)
		if !fits(next+len(a.settled)-i, max(burst+recent, least)) {
			return false
		}
	}
	if a.earlier.mayArrive() && !fits(next+len(a.settled), (1-burstShare)*budget) {
		return false
	}
	// Until lateAnswer after that, it may not have noticed that endpoints have stood still since before its start.
	switch {
	case now < w.limits.Window:
		return fits(next+len(a.settled), (1-burstShare)*w.earned(a.allFirstTries, 0, now))
	case now < w.limits.Window+lateAnswer:
		return fits(next+len(a.settled), (1-burstShare)*budget)
	}
	return true
}

// unknownShare is the part of the budget that a start may leave at endpoints that have never answered it: if a host starts
// again and again while an endpoint stands still, that adds up. A host with a budget of minDividedBudget may leave one retry
// there, since an endpoint that hangs must not hold the first calls of a start.
const (
	unknownShare     = 0.02
	minDividedBudget = 4
)

// mayLeaveUnknown reports whether one more retry may be sent after a try at an endpoint that has never answered this start and
// may still read it.
func (w *allowance) mayLeaveUnknown(a *account, now time.Duration) bool {
	budget := w.budget(a, now)
	return a.unsettled == 0 && budget >= minDividedBudget || fits(a.unsettled+1, unknownShare*budget+w.rounding)
}

// roundingTolerance makes up for rounding errors.
const roundingTolerance = 1e-6

func fits(retries int, allowed float64) bool {
	return float64(retries) <= math.Floor(allowed+roundingTolerance)
}
