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
// lifts a verdict. So a tally keeps all ends of endpoints under a request, whatever explains them. For a part of prompts it
// keeps those since the last answer, also of endpoints that had not begun to answer.

const (
	// maxTallied is the number of ends that a tally keeps to recognize reports of the same ones.
	maxTallied = 16
	// freeEnds is the number of ends up to which the next copy may be sent at once. Each further one multiplies the time until
	// then by trialDelayGrowth.
	freeEnds = 2
	// Ends with a common cause count as one, but for extraEnds, and for a part of prompts extraPartEnds: copies that are sent in
	// parallel crash at the same time.
	extraEnds     = 2
	extraPartEnds = 1
	// answersPerEnd is how many answers outweigh an end.
	answersPerEnd = 3
	// limitedPartCrashes is the number of crashes under a part of prompts, without an answer in between, from which on requests
	// with it are sent one at a time although it can't be told whether the part is the cause. Up to that many more than this,
	// the next is sent after partCopyDelay; then the time doubles, up to maxPartCopyDelay, so that a part that most requests
	// have is soon answered once endpoints no longer crash.
	limitedPartCrashes = 5
	waitingPartCrashes = 3
	evenPartCrashes    = 2
	partCopyDelay      = 3 * time.Second
	maxPartCopyDelay   = 12 * time.Second
)

// tally counts the endpoints that have ended under some contents since these were last found sound.
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

// record records the end of an endpoint. Ends within an interval may have a common cause.
func (t *tally) record(end Crash, commonCause time.Duration) {
	if slices.ContainsFunc(t.ends, end.isSame) || t.confirm(end) {
		return
	}
	hasCommonCause := slices.ContainsFunc(t.ends, func(c Crash) bool {
		interval := c.At - end.At
		return c.At != 0 && max(interval, -interval) < freshness.StoreTime(commonCause)
	})
	if !hasCommonCause {
		t.apart++
	}
	t.ends = append(t.ends, end)
	t.ends = t.ends[max(len(t.ends)-maxTallied, 0):]
}

// confirm reports whether an end was presumed before, and marks it as seen.
func (t *tally) confirm(end Crash) bool {
	for i, presumed := range t.ends {
		if presumed.IsPresumed && presumed.Endpoint == end.Endpoint && end.At-presumed.At < freshness.StoreTime(removalWait+probeTimeout) {
			t.ends[i].IsPresumed = false
			return true
		}
	}
	return false
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

// limitsPart reports whether the ends limit the requests with a part of prompts. Ends of endpoints that had begun to answer
// must be as many as a verdict needs, since one may follow from these; others count less, as requests may only have waited.
func (t *tally) limitsPart() bool {
	begun := slices.DeleteFunc(slices.Clone(t.ends), func(c Crash) bool { return !c.Begun })
	return len(begun) >= limitedPartCrashes && countApart(begun) >= minPartCrashes ||
		t.failuresWith(extraPartEnds) >= limitedPartCrashes+waitingPartCrashes
}

// failures returns how many ends count.
func (t *tally) failures() int { return t.failuresWith(extraEnds) }

// failuresWith is failures for a number of ends that count beside those with a common cause.
func (t *tally) failuresWith(extra int) int { return max(min(len(t.ends), t.apart+extra), t.apart) }

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

// recordEnd records that an endpoint has ended under some contents.
func (t *Table) recordEnd(content keys.Content, end Crash) {
	counted := t.tallies[content]
	if counted == nil {
		counted = new(tally)
		t.tallies[content] = counted
		t.enforceTallyBound()
	}
	interval := commonCauseInterval
	if content.IsPart() {
		interval = partCrashInterval
	}
	counted.record(end, interval)
}

// endsOf returns the ends under some contents, and endCount how many count.
func (t *Table) endsOf(content keys.Content) []Crash {
	if counted := t.tallies[content]; counted != nil {
		return counted.ends
	}
	return nil
}

func (t *Table) endCount(content keys.Content) int {
	counted := t.tallies[content]
	switch {
	case counted == nil:
		return 0
	case content.IsPart():
		return counted.failuresWith(extraPartEnds)
	}
	return counted.failures()
}

// hasEnd reports whether an end under some contents is known.
func (t *Table) hasEnd(content keys.Content, end Crash) bool {
	return slices.ContainsFunc(t.endsOf(content), end.isSame)
}

// isLimitedAcross reports whether so many endpoints have ended under some contents that the sides of a partition send copies in
// turn.
func (t *Table) isLimitedAcross(content keys.Content) bool {
	return content.IsPart() || t.endCount(content) > freeEnds
}

// limitingEnds returns the ends for which some contents are sent later than at once, unless they are poison.
func (t *Table) limitingEnds(content keys.Content) []Crash {
	if t.IsPoison(content) {
		return nil
	}
	return t.manyEnds(content)
}

// manyEnds returns the ends under some contents if these are so many that they are sent later than at once.
func (t *Table) manyEnds(content keys.Content) []Crash {
	counted := t.tallies[content]
	switch {
	case counted == nil:
		return nil
	case content.IsPart() && counted.limitsPart(), !content.IsPart() && counted.failures() > freeEnds:
		return counted.ends
	}
	return nil
}

// suspicion returns what is stored of contents that are sent later than at once.
func (t *Table) suspicion(content keys.Content) (Verdict, bool) {
	ends := t.limitingEnds(content)
	if len(ends) == 0 {
		return Verdict{}, false
	}
	_, last := period(ends)
	stored := Verdict{Content: content, IsSuspicion: true, Until: last + freshness.StoreTime(evidenceValidity)}
	for _, end := range ends[max(len(ends)-maxTallied, 0):] {
		stored.Endpoints = append(stored.Endpoints, end.Endpoint)
	}
	return stored, true
}

// adoptSuspicion records what is stored of some contents, and returns the ends of their endpoints.
func (t *Table) adoptSuspicion(stored Verdict) []ReportedCrash {
	var ends []ReportedCrash
	for n, endpoint := range stored.Endpoints[:min(len(stored.Endpoints), maxTallied)] {
		end := Crash{Endpoint: endpoint, At: stored.provedAt() - freshness.StoreTime(n)*freshness.StoreTime(partCrashInterval), Begun: true}
		t.recordEnd(stored.Content, end)
		ends = append(ends, reportedCrash(stored.Content, end))
	}
	return ends
}

// LacksSuspect reports whether a request with some contents, one of them a part that is sent one at a time, lacks another such
// part under which all the same endpoints have ended. Its answer distinguishes the two, and it need not wait.
func (t *Table) LacksSuspect(part keys.Content, contents []keys.Content) bool {
	ends := t.limitingEnds(part)
	if len(ends) == 0 {
		return false
	}
	for other, counted := range t.tallies {
		if other == part || !other.IsPart() || slices.Contains(contents, other) || len(t.manyEnds(other)) == 0 {
			continue
		}
		if !slices.ContainsFunc(ends, func(end Crash) bool { return !slices.ContainsFunc(counted.ends, end.isSame) }) {
			return true
		}
	}
	return false
}

// CopyWait reports whether requests with some contents are sent one at a time, and the time until the next one may be sent;
// isApart is set for one that distinguishes two parts.
func (t *Table) CopyWait(now freshness.StoreTime, content keys.Content, isApart bool) (wait time.Duration, isLimited bool) {
	counted := t.tallies[content]
	switch {
	case counted == nil:
		return 0, false
	case content.IsPart():
		if len(t.limitingEnds(content)) == 0 {
			return 0, false
		}
		if isApart {
			return 0, true
		}
		return waitUntil(now, counted.lastAt(), partDelay(counted.failuresWith(extraPartEnds))), true
	case !counted.isLimited():
		return 0, false
	}
	return waitUntil(now, max(counted.lastAt(), counted.answeredAt), counted.delay()), true
}

// waitUntil returns the time until some time after a moment, or 0 if the time is not known.
func waitUntil(now, from freshness.StoreTime, after time.Duration) time.Duration {
	if now == 0 {
		return 0
	}
	return max(time.Duration(from-now)+after, 0)
}

// partDelay returns the time from the last crash under a part to the next request with it, by the number of crashes.
func partDelay(crashes int) time.Duration {
	delay := partCopyDelay
	for range crashes - limitedPartCrashes - evenPartCrashes {
		delay = min(2*delay, maxPartCopyDelay)
	}
	return delay
}

// newestEnds returns ends under the parts and the requests that are sent one at a time, at most some number.
func (t *Table) newestEnds(most int) []ReportedCrash {
	byFailures := slices.SortedFunc(maps.Keys(t.tallies), func(a, b keys.Content) int {
		return cmp.Or(cmp.Compare(t.tallies[b].failures(), t.tallies[a].failures()), cmp.Compare(a, b))
	})
	var ends []ReportedCrash
	for _, content := range byFailures {
		if content.IsPart() && len(t.limitingEnds(content)) == 0 {
			continue
		}
		for _, end := range t.tallies[content].ends {
			if len(ends) == most {
				return ends
			}
			ends = append(ends, reportedCrash(content, end))
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
