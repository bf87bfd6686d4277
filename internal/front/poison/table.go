package poison

import (
	"cmp"
	"maps"
	"slices"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Table is the evidence that a host knows, and the verdicts. Times are those of the store's clock. It is not safe for
// concurrent use.
type Table struct {
	suspects map[keys.Request][]Crash
	verdicts map[keys.Request]Verdict
	// ends are all that no verdict explains, the oldest first.
	ends []Crash
	// answered is when requests were answered that were suspected or given up.
	answered map[keys.Request]freshness.StoreTime
}

// NewTable returns a table without evidence.
func NewTable() *Table {
	return &Table{
		suspects: make(map[keys.Request][]Crash), verdicts: make(map[keys.Request]Verdict),
		answered: make(map[keys.Request]freshness.StoreTime),
	}
}

// RecordCrash notes that an endpoint ended while it had a request. It returns the verdict if this is the end that proves it.
func (t *Table) RecordCrash(request keys.Request, end Crash) (Verdict, bool) {
	if _, known := t.verdicts[request]; known {
		return Verdict{}, false
	}
	t.noteEnd(end)
	ends := t.suspects[request]
	if i := slices.IndexFunc(ends, end.isSame); i >= 0 {
		ends[i].Begun = ends[i].Begun || end.Begun
	} else {
		ends = append(ends, end)
	}
	t.suspects[request] = ends
	if !t.proves(ends) {
		t.bound()
		return Verdict{}, false
	}
	verdict := Verdict{Request: request}
	for _, e := range ends {
		verdict.Until = max(verdict.Until, e.At+freshness.StoreTime(verdictTime))
		verdict.Endpoints = append(verdict.Endpoints, e.Endpoint)
	}
	t.set(verdict)
	return verdict, true
}

// isSame reports whether another report is of the same end. One of a host that did not know the time may be.
func (e Crash) isSame(other Crash) bool {
	apart := e.At - other.At
	isClose := e.At == 0 || other.At == 0 || max(apart, -apart) < freshness.StoreTime(sameEnd)
	return e.Endpoint == other.Endpoint && isClose
}

// noteEnd notes the end of an endpoint, whatever ran there, once.
func (t *Table) noteEnd(end Crash) {
	if !slices.ContainsFunc(t.ends, end.isSame) {
		t.ends = append(t.ends, end)
		t.ends = t.ends[max(len(t.ends)-maxEnds, 0):]
	}
}

// proves reports whether ends are proof enough against a request.
func (t *Table) proves(ends []Crash) bool {
	begun := 0
	for _, e := range ends {
		if e.Begun {
			begun++
		}
	}
	if begun >= manyEnds || len(ends) >= anyEnds {
		return true
	}
	return begun >= begunEnds && 2*begun > t.endsBetween(ends)
}

// endsBetween returns how many endpoints ended between the first and the last of some ends, these included.
func (t *Table) endsBetween(ends []Crash) int {
	first, last := ends[0].At, ends[0].At
	for _, e := range ends {
		first, last = min(first, e.At), max(last, e.At)
	}
	count := 0
	for _, e := range t.ends {
		if e.At >= first-freshness.StoreTime(sameTime) && e.At <= last+freshness.StoreTime(sameTime) {
			count++
		}
	}
	return count
}

// Adopt notes a verdict of another host or the store, and reports whether it is news. One of before the request was
// answered may still be on its way, and is left out.
func (t *Table) Adopt(verdict Verdict) bool {
	if _, answered := t.answered[verdict.Request]; answered {
		return false
	}
	return t.set(verdict)
}

// set notes a verdict. Its ends are explained by it, and no longer count against requests that were at those endpoints
// too; but who was at several of them keeps one, since it may be poison as well.
func (t *Table) set(verdict Verdict) bool {
	if known, ok := t.verdicts[verdict.Request]; ok && verdict.Until <= known.Until+freshness.StoreTime(sameEnd) {
		return false
	}
	t.verdicts[verdict.Request] = verdict
	delete(t.suspects, verdict.Request)
	explained := func(e Crash) bool { return slices.Contains(verdict.Endpoints, e.Endpoint) }
	for request, ends := range t.suspects {
		if slices.ContainsFunc(ends, explained) {
			t.setSuspect(request, unexplained(ends, explained))
		}
	}
	t.ends = slices.DeleteFunc(t.ends, explained)
	t.bound()
	return true
}

// unexplained returns the ends that a verdict leaves of those under another request.
func unexplained(ends []Crash, explained func(Crash) bool) []Crash {
	var left, gone []Crash
	for _, e := range ends {
		if explained(e) {
			gone = append(gone, e)
		} else {
			left = append(left, e)
		}
	}
	if len(gone) >= begunEnds-1 {
		left = append(left, gone[len(gone)-1])
	}
	return left
}

// RecordAnswer notes that an endpoint answered a request to its end: it is not poison, whatever was in its way. It reports
// whether the request was suspected, and whether there was a verdict.
func (t *Table) RecordAnswer(now freshness.StoreTime, request keys.Request) (suspected, condemned bool) {
	_, suspected = t.suspects[request]
	_, condemned = t.verdicts[request]
	if suspected || condemned {
		t.answered[request] = now
	}
	delete(t.suspects, request)
	delete(t.verdicts, request)
	return suspected, condemned
}

// IsPoison reports whether there is a verdict on a request.
func (t *Table) IsPoison(request keys.Request) bool {
	_, is := t.verdicts[request]
	return is
}

// Verdicts returns all verdicts, those that end last first.
func (t *Table) Verdicts() []Verdict {
	return slices.SortedFunc(maps.Values(t.verdicts), func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Until, a.Until), cmp.Compare(a.Request, b.Request))
	})
}

// SuspectCount returns the number of requests under which endpoints have ended without a verdict.
func (t *Table) SuspectCount() int { return len(t.suspects) }

// Expire drops evidence and verdicts that are too old. It returns the requests that are poison no longer: of their ends
// all but one still count, so that the next one renews the verdict.
func (t *Table) Expire(now freshness.StoreTime) []keys.Request {
	for request, ends := range t.suspects {
		ends = slices.DeleteFunc(ends, func(e Crash) bool { return e.At+freshness.StoreTime(evidenceTime) < now })
		t.setSuspect(request, ends)
	}
	t.ends = slices.DeleteFunc(t.ends, func(e Crash) bool { return e.At+freshness.StoreTime(evidenceTime) < now })
	maps.DeleteFunc(t.answered, func(_ keys.Request, at freshness.StoreTime) bool { return at+freshness.StoreTime(answerTime) < now })
	var over []keys.Request
	for request, verdict := range t.verdicts {
		if verdict.Until < now {
			over = append(over, request)
			delete(t.verdicts, request)
			t.setSuspect(request, oldEnds(verdict, now))
		}
	}
	return over
}

// oldEnds returns the evidence that stays of a verdict that is over.
func oldEnds(verdict Verdict, now freshness.StoreTime) []Crash {
	var ends []Crash
	for _, endpoint := range verdict.Endpoints[:min(len(verdict.Endpoints), begunEnds-1)] {
		ends = append(ends, Crash{Endpoint: endpoint, At: now, Begun: true})
	}
	return ends
}

// setSuspect replaces the ends under a request.
func (t *Table) setSuspect(request keys.Request, ends []Crash) {
	if len(ends) == 0 {
		delete(t.suspects, request)
		return
	}
	t.suspects[request] = ends
}

// bound drops what is too much: verdicts that end first, and then the suspects with the oldest last end.
func (t *Table) bound() {
	if len(t.verdicts) > maxVerdicts {
		for _, verdict := range t.Verdicts()[maxVerdicts-maxVerdicts/8:] {
			delete(t.verdicts, verdict.Request)
		}
	}
	if len(t.suspects) <= maxSuspects {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(t.suspects), func(a, b keys.Request) int {
		return cmp.Or(cmp.Compare(lastAt(t.suspects[a]), lastAt(t.suspects[b])), cmp.Compare(a, b))
	})
	for _, request := range oldest[:maxSuspects/8] {
		delete(t.suspects, request)
	}
}

func lastAt(ends []Crash) freshness.StoreTime { return ends[len(ends)-1].At }
