package leader

import "time"

const (
	// checkInterval is the time between two checks of whether the lease is due for an action. It is short compared
	// with the remaining time of a lease whose holder has become unresponsive.
	checkInterval = 100 * time.Millisecond
	// renewInterval is the time between two renewals, each of which costs one call to the store. Two renewals may
	// fail before a lease of 3 s ends.
	renewInterval = time.Second
	// retryInterval is the time to the next renewal after a failed one.
	retryInterval = 300 * time.Millisecond
	// storeTimeout is the timeout of a call to the store about the lease. On the users' platform, a store that is
	// sixty times slower than usual answers within 240 ms.
	storeTimeout = 700 * time.Millisecond
	// takeRetryInterval is the mean time between two attempts to take the lease after a failed one. takeRetrySpread
	// is the fraction of it over which the attempts are spread.
	takeRetryInterval = 500 * time.Millisecond
	takeRetrySpread   = 1
	// takeDelayPerHost is the additional delay of a host's attempt for each live host before it in the order of
	// hosts. In that time, the first host takes the lease and announces it. maxTakeDelay limits the sum.
	takeDelayPerHost = 150 * time.Millisecond
	maxTakeDelay     = 4 * time.Second
	// standDownTime is how long a host that released the lease lets other hosts take it first.
	standDownTime = 10 * time.Second
)

// takeDelay returns how long a host waits after the lease has become free if a number of live hosts come before it.
func takeDelay(before int) time.Duration {
	return min(time.Duration(before)*takeDelayPerHost, maxTakeDelay)
}

// minTimeLeft is the shortest remaining time of the lease with which a call may be sent, as the call must end
// lease.MaxFlightTime before the lease does. With a renewal every second, a lease of 3 s has more time left than this
// unless a renewal fails.
const minTimeLeft = time.Second

const (
	// A leader releases the lease, so that another host can try, if the provider has not answered it for
	// maxNoAnswerTime and at least minUnanswered of its calls got no answer in that time. For the case that the
	// provider answers no host, the time doubles with each consecutive leader that got no answer, at most
	// maxDoublings times. A report is due after 10 s on the users' platform.
	maxNoAnswerTime = 2500 * time.Millisecond
	minUnanswered   = 2
	maxDoublings    = 5
)

// providerHealth is a leader's record of the provider's answers.
type providerHealth struct {
	// answeredAt is the time of the last answer, or the start of the leadership before the first one. unanswered is
	// the number of calls without an answer since then.
	answeredAt time.Time
	unanswered int
}

// isUnreachable reports whether a leader should release the lease, after a number of consecutive leaders that got no
// answer.
func (p *providerHealth) isUnreachable(now time.Time, failing int) bool {
	return p.unanswered >= minUnanswered && now.Sub(p.answeredAt) > maxNoAnswerTime<<min(failing, maxDoublings)
}
