package retrybudget

import "time"

// earlierStarts records whether retries of earlier starts of this host may still arrive. A start knows of none, but an
// endpoint that has been silent since the start may have stood still before it. What a start leaves behind is at most a
// burst.
type earlierStarts struct {
	// answered are the endpoints that have answered this start, silent those that a call was given up at before.
	answered, silent map[string]struct{}
}

// recordSilence records that a call was given up at an endpoint.
func (e *earlierStarts) recordSilence(now time.Duration, endpoint string) {
	if _, ok := e.answered[endpoint]; ok || now >= unreadTimeout {
		return
	}
	if e.silent == nil {
		e.silent = make(map[string]struct{})
	}
	e.silent[endpoint] = struct{}{}
}

func (e *earlierStarts) recordAnswer(now time.Duration, endpoint string) {
	if _, ok := e.answered[endpoint]; ok || now >= unreadTimeout {
		return
	}
	if e.answered == nil {
		e.answered = make(map[string]struct{})
	}
	e.answered[endpoint] = struct{}{}
}

// mayArrive reports whether retries of earlier starts may still arrive.
func (e *earlierStarts) mayArrive() bool { return len(e.silent) > 0 }

// hasEnded reports, once, that they have arrived, since all silent endpoints have answered, or never will.
func (e *earlierStarts) hasEnded(now time.Duration) bool {
	if now >= unreadTimeout {
		e.answered = nil
	} else {
		for endpoint := range e.silent {
			if _, ok := e.answered[endpoint]; !ok {
				return false
			}
		}
	}
	hadSilent := len(e.silent) > 0
	e.silent = nil
	return hadSilent
}
