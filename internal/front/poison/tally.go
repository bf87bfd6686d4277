package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Copies of a request that has crashed an endpoint are sent one at a time (package copies). What bounds them must not be
// lost with the evidence for a verdict: a verdict on another request explains the crashes that both had, and an answer
// lifts a verdict. So a tally keeps all ends of endpoints under a request, whatever explains them.

const (
	// maxTallied is the number of ends that a tally keeps to recognize reports of the same ones.
	maxTallied = 16
	// freeEnds is the number of ends up to which the next copy may be sent at once. Each further one multiplies the time until
	// then by trialDelayGrowth.
	freeEnds = 2
	// Ends with a common cause count as one, but for extraEnds: copies that are sent in parallel crash at the same time.
	extraEnds = 2
	// answersPerEnd is how many answers outweigh an end.
	answersPerEnd = 3
)

// tally counts the endpoints that have ended under a request since it was last found sound.
type tally struct {
	// ends are the newest ends. Apart is the number of all that don't have a common cause with another one.
	ends  []Crash
	apart int
	// answers is the number of complete answers since, of which the last was at answeredAt.
	answers    int
	answeredAt freshness.StoreTime
}

// CopyDelay returns the time from the last failure of a request until another copy is sent, by the number of failures.
func CopyDelay(failures int) time.Duration {
	if failures <= freeEnds {
		return 0
	}
	delay := firstTrialDelay
	for range failures - freeEnds - 1 {
		delay = min(delay*trialDelayGrowth, verdictValidity)
	}
	return delay
}

// record records the end of an endpoint.
func (t *tally) record(end Crash) {
	if slices.ContainsFunc(t.ends, end.isSame) {
		return
	}
	hasCommonCause := slices.ContainsFunc(t.ends, func(c Crash) bool {
		interval := c.At - end.At
		return c.At != 0 && max(interval, -interval) < freshness.StoreTime(commonCauseInterval)
	})
	if !hasCommonCause {
		t.apart++
	}
	t.ends = append(t.ends, end)
	t.ends = t.ends[max(len(t.ends)-maxTallied, 0):]
}

// recordAnswer records an answer, and reports whether the answers outweigh the ends. Answers within an interval count once,
// since reports are repeated.
func (t *tally) recordAnswer(now freshness.StoreTime, interval time.Duration) bool {
	if t.answers == 0 || now-t.answeredAt >= freshness.StoreTime(interval) {
		t.answers++
		t.answeredAt = now
	}
	return t.answers >= answersPerEnd*t.failures()
}

// isLimited reports whether copies of the request are sent one at a time. Most requests at an endpoint that ends have not
// ended it: the first answer releases these until another one ends.
func (t *tally) isLimited() bool { return len(t.ends) > 1 || t.answers == 0 }

// failures returns how many ends count.
func (t *tally) failures() int { return max(min(len(t.ends), t.apart+extraEnds), t.apart) }

// delay returns the time from the last copy until another is sent. While there are fewer answers than ends, each copy
// lengthens it, however it ended: some requests crash most of the endpoints that run them.
func (t *tally) delay() time.Duration {
	failures := t.failures()
	if failures > freeEnds && t.answers < failures {
		return CopyDelay(failures + t.answers)
	}
	return CopyDelay(failures)
}

// lastAt returns the time of the last end.
func (t *tally) lastAt() freshness.StoreTime {
	last := freshness.StoreTime(0)
	for _, end := range t.ends {
		last = max(last, end.At)
	}
	return last
}

// recordEnd records that an endpoint has ended under a request.
func (t *Table) recordEnd(request keys.Content, end Crash) {
	counted := t.tallies[request]
	if counted == nil {
		counted = new(tally)
		t.tallies[request] = counted
		t.enforceTallyBound()
	}
	counted.record(end)
}

// suspicion returns what is stored of a request under which so many endpoints have ended that copies wait, and is not poison.
func (t *Table) suspicion(request keys.Content) (Verdict, bool) {
	counted := t.tallies[request]
	if counted == nil || counted.failures() <= freeEnds || t.IsPoison(request) {
		return Verdict{}, false
	}
	stored := Verdict{Content: request, IsSuspicion: true, Until: counted.lastAt() + freshness.StoreTime(evidenceValidity)}
	for _, end := range counted.ends {
		stored.Endpoints = append(stored.Endpoints, end.Endpoint)
	}
	return stored, true
}

// adoptSuspicion records what is stored of a request, and returns the ends of its endpoints.
func (t *Table) adoptSuspicion(stored Verdict) []ReportedCrash {
	var ends []ReportedCrash
	for _, endpoint := range stored.Endpoints[:min(len(stored.Endpoints), maxTallied)] {
		end := Crash{Endpoint: endpoint, At: stored.provedAt(), Begun: true}
		t.recordEnd(stored.Content, end)
		ends = append(ends, reportedCrash(stored.Content, end))
	}
	return ends
}

// CopyWait reports whether copies of a request are sent one at a time, and the time until the next one may be sent.
func (t *Table) CopyWait(now freshness.StoreTime, request keys.Content) (wait time.Duration, isLimited bool) {
	counted := t.tallies[request]
	if counted == nil || !counted.isLimited() {
		return 0, false
	}
	due := max(counted.lastAt(), counted.answeredAt) + freshness.StoreTime(counted.delay())
	return max(time.Duration(due-now), 0), true
}

// newestEnds returns the last end under each of the requests under which most have ended, at most some number.
func (t *Table) newestEnds(most int) []ReportedCrash {
	requests := slices.SortedFunc(maps.Keys(t.tallies), func(a, b keys.Content) int {
		return cmp.Or(cmp.Compare(t.tallies[b].failures(), t.tallies[a].failures()), cmp.Compare(a, b))
	})
	var ends []ReportedCrash
	for _, request := range requests {
		for _, end := range t.tallies[request].ends {
			if len(ends) == most {
				return ends
			}
			ends = append(ends, reportedCrash(request, end))
		}
	}
	return ends
}

// expireTallies removes the tallies whose last end no longer counts as evidence.
func (t *Table) expireTallies(now freshness.StoreTime) {
	maps.DeleteFunc(t.tallies, func(_ keys.Content, counted *tally) bool {
		return counted.lastAt()+freshness.StoreTime(evidenceValidity) < now
	})
}

// enforceTallyBound drops the eighth of the tallies with the oldest ends if there are too many.
func (t *Table) enforceTallyBound() {
	if len(t.tallies) <= maxSuspects {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(t.tallies), func(a, b keys.Content) int {
		return cmp.Or(cmp.Compare(t.tallies[a].lastAt(), t.tallies[b].lastAt()), cmp.Compare(a, b))
	})
	for _, request := range oldest[:maxSuspects/8] {
		delete(t.tallies, request)
	}
}
