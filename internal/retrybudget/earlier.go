package retrybudget

import "time"

// earlierStarts records whether retries of earlier starts of this host may still arrive. A start knows of none, but an
// endpoint that has been silent since the start may have stood still before it. What a start leaves behind is at most a
// burst.
type earlierStarts struct {
	// answered are the endpoints that have answered this start, silent those that a call was given up at before, or that
	// answered their first call late.
	answered, silent map[string]struct{}
	// arrivedAt is when such retries were last assumed to have arrived, if hasArrived is set.
	arrivedAt  time.Duration
	hasArrived bool
}

// lateAnswer is how late the first answer of an endpoint may be that has not stood still.
const lateAnswer = 2 * time.Second

// recordSilence records that a call was given up at an endpoint.
func (e *earlierStarts) recordSilence(now time.Duration, endpoint string) {
	if !e.isUnknown(now, endpoint) {
		return
	}
	if e.silent == nil {
		e.silent = make(map[string]struct{})
	}
	e.silent[endpoint] = struct{}{}
}

// recordAnswer records an answer to a try that was sent some time ago.
func (e *earlierStarts) recordAnswer(now, waited time.Duration, endpoint string) {
	if !e.isUnknown(now, endpoint) {
		return
	}
	if waited >= lateAnswer {
		e.recordSilence(now, endpoint)
	}
	if e.answered == nil {
		e.answered = make(map[string]struct{})
	}
	e.answered[endpoint] = struct{}{}
}

// isUnknown reports whether an endpoint may have stood still since before this start.
func (e *earlierStarts) isUnknown(now time.Duration, endpoint string) bool {
	_, ok := e.answered[endpoint]
	return !ok && now < unreadTimeout
}

// mayArrive reports whether retries of earlier starts may still arrive.
func (e *earlierStarts) mayArrive() bool { return len(e.silent) > 0 }

// hasEnded reports, at most once in a window, that they have arrived, since all silent endpoints have answered, or never will.
func (e *earlierStarts) hasEnded(now, window time.Duration) bool {
	if now >= unreadTimeout {
		e.answered = nil
	} else {
		for endpoint := range e.silent {
			if _, ok := e.answered[endpoint]; !ok {
				return false
			}
		}
	}
	isDue := len(e.silent) > 0 && (!e.hasArrived || now-e.arrivedAt >= window)
	e.silent = nil
	if isDue {
		e.arrivedAt, e.hasArrived = now, true
	}
	return isDue
}
