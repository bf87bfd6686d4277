package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Table holds the evidence that a host has received, and the verdicts. Times are those of the store's clock. It is
// not safe for concurrent use.
type Table struct {
	suspects map[keys.Content][]Crash
	verdicts map[keys.Content]Verdict
	// accused are the parts with enough crashes for a verdict, and some whose crashes no longer count.
	accused map[keys.Content]struct{}
	// crashes are the crashes that no verdict explains, allCrashes are all, the oldest first.
	crashes, allCrashes []Crash
	// explained are the crashes that verdicts on parts explain, the oldest first: other parts at the same endpoints are not
	// to blame for them.
	explained []Crash
	// answered holds the time of the answer to each request that was suspect or poison at the time, sound that of the last
	// answer to a request with each part.
	answered map[keys.Content]freshness.StoreTime
	sound    map[keys.Content]freshness.StoreTime
	recent   recentRequests
	// tallies count the ends of endpoints under requests. Answers of a request within answerInterval count once.
	tallies        map[keys.Content]*tally
	answerInterval time.Duration
	// troubledUntil is when crashes count against parts again after a verdict was proved wrong, or 0.
	troubledUntil freshness.StoreTime
}

// NewTable returns a table without evidence.
func NewTable() *Table {
	return &Table{
		suspects: make(map[keys.Content][]Crash), verdicts: make(map[keys.Content]Verdict),
		answered: make(map[keys.Content]freshness.StoreTime), sound: make(map[keys.Content]freshness.StoreTime), accused: make(map[keys.Content]struct{}),
		tallies: make(map[keys.Content]*tally), answerInterval: answerIntervalOf(0),
	}
}

// RecordCrash records that an endpoint crashed while it had some contents. It returns the verdict on a request if this crash
// proves it; Judge finds those on parts.
// Of the contents of one request, the request itself comes first, and then the parts of its prompt from the last one on:
// parts that always come with a poison part must not be judged before it. A crash in a trial of a verdict renews it, and
// is returned in the same way.
func (t *Table) RecordCrash(content keys.Content, crash Crash) (Verdict, bool) {
	if !content.IsPart() || !t.isTroubled(crash.At) {
		t.recordEnd(content, crash)
	}
	if verdict, known := t.verdicts[content]; known {
		if !content.IsPart() {
			return Verdict{}, false
		}
		t.explain(crash)
		verdict.Later = appendCrash(verdict.Later, crash, maxAllCrashes)
		t.verdicts[content] = verdict
		return t.recordTrialCrash(verdict, crash)
	}
	if content.IsPart() && (!crash.Begun || t.isTroubled(crash.At) || containsCrash(t.explained, crash)) {
		return Verdict{}, false
	}
	if !content.IsPart() {
		t.addCrash(crash)
	}
	crashes := t.suspects[content]
	if i := slices.IndexFunc(crashes, crash.isSame); i >= 0 {
		crashes[i].Begun = crashes[i].Begun || crash.Begun
		crashes[i].Version = max(crashes[i].Version, crash.Version)
	} else {
		crashes = append(crashes, crash)
	}
	t.suspects[content] = crashes
	if content.IsPart() && len(crashes) >= minPartCrashes {
		t.accused[content] = struct{}{}
	}
	if content.IsPart() || !t.proves(crashes) {
		t.enforceBounds()
		return Verdict{}, false
	}
	return t.convict(content, crashes), true
}

// convict records and returns the verdict that crashes prove on some contents.
func (t *Table) convict(content keys.Content, crashes []Crash) Verdict {
	verdict := Verdict{Content: content, Proof: t.proofOf(content, crashes)}
	for _, c := range crashes {
		if content.IsPart() {
			t.explain(c)
		}
		verdict.Until = max(verdict.Until, c.At+freshness.StoreTime(verdictValidity))
		verdict.Endpoints = append(verdict.Endpoints, c.Endpoint)
		if c.Version != 0 {
			verdict.Versions = append(verdict.Versions, c.Version)
		}
	}
	if content.IsPart() {
		// Each further endpoint stands for a trial that crashed, and delays the next one.
		verdict.Proof.Endpoints = verdict.Endpoints
		verdict.Endpoints = verdict.Endpoints[max(len(verdict.Endpoints)-minPartCrashes, 0):]
	}
	t.setVerdict(verdict)
	return verdict
}

// isSame reports whether another report may be of the same crash. A report from a host without the store's time
// always may.
func (c Crash) isSame(other Crash) bool {
	interval := c.At - other.At
	isClose := c.At == 0 || other.At == 0 || max(interval, -interval) < freshness.StoreTime(sameCrashInterval)
	return c.Endpoint == other.Endpoint && isClose
}

// proofOf returns what crashes prove against some contents.
func (t *Table) proofOf(content keys.Content, crashes []Crash) Proof {
	first, last := period(crashes)
	return Proof{
		Crashes: len(crashes), Others: max(t.crashesBetween(crashes)-len(crashes), 0), Period: time.Duration(last - first), Last: last, AnsweredAt: t.sound[content],
	}
}

// period returns the times of the first and the last of some crashes.
func period(crashes []Crash) (first, last freshness.StoreTime) {
	first, last = crashes[0].At, crashes[0].At
	for _, c := range crashes {
		first, last = min(first, c.At), max(last, c.At)
	}
	return first, last
}

// addCrash records the crash of an endpoint once, whichever requests it had.
func (t *Table) addCrash(crash Crash) {
	t.allCrashes = appendCrash(t.allCrashes, crash, maxAllCrashes)
	if !containsCrash(t.explained, crash) {
		t.crashes = appendCrash(t.crashes, crash, maxCrashes)
	}
}

// lastCrashAt returns the time of the last crash, or 0 if there is none.
func (t *Table) lastCrashAt() freshness.StoreTime {
	if len(t.allCrashes) == 0 {
		return 0
	}
	return t.allCrashes[len(t.allCrashes)-1].At
}

// appendCrash appends a crash to a list unless it is there, and drops the oldest ones beyond a number.
func appendCrash(crashes []Crash, crash Crash, most int) []Crash {
	if containsCrash(crashes, crash) {
		return crashes
	}
	crashes = append(crashes, crash)
	return crashes[max(len(crashes)-most, 0):]
}

// containsCrash reports whether a crash is among some, the oldest of which come first. Reports of the same crash arrive
// soon after each other.
func containsCrash(crashes []Crash, crash Crash) bool {
	for _, c := range slices.Backward(crashes) {
		if c.isSame(crash) {
			return true
		}
		if c.At != 0 && crash.At != 0 && crash.At-c.At > 2*freshness.StoreTime(sameCrashInterval) {
			return false
		}
	}
	return false
}

// proves reports whether crashes prove that a request is poison.
func (t *Table) proves(crashes []Crash) bool {
	begun := 0
	for _, c := range crashes {
		if c.Begun {
			begun++
		}
	}
	if begun >= minBegunCrashes || len(crashes) >= minCrashes {
		return true
	}
	return begun >= minMajorityCrashes && 2*begun > t.crashesBetween(crashes)
}

// crashesBetween returns the number of crashes between the first and the last of some crashes, these included.
func (t *Table) crashesBetween(crashes []Crash) int {
	first, last := period(crashes)
	count := 0
	for _, c := range t.crashes {
		if c.At >= first-freshness.StoreTime(commonCauseInterval) && c.At <= last+freshness.StoreTime(commonCauseInterval) {
			count++
		}
	}
	return count
}

// SetVersions sets the software versions of the endpoints of a verdict.
func (t *Table) SetVersions(content keys.Content, versions []keys.Version) {
	if verdict, ok := t.verdicts[content]; ok {
		verdict.Versions = versions
		t.verdicts[content] = verdict
	}
}

// Adopt records a verdict from another host or the store, and reports whether it is new. A verdict on a request that
// was answered less than answerHold ago is ignored, since it may have been sent before the answer.
func (t *Table) Adopt(verdict Verdict) bool {
	if _, answered := t.answered[verdict.Content]; answered || t.Refutes(verdict) {
		return false
	}
	if crashes := t.suspects[verdict.Content]; len(crashes) > 0 {
		verdict.Proof = t.proofOf(verdict.Content, crashes)
	}
	return t.setVerdict(verdict)
}

// setVerdict records a verdict. The verdict explains its crashes: they no longer count against other requests at the
// same endpoints. A request that was at several of these endpoints keeps one crash, since it may be poison as well. A
// verdict on a request leaves the evidence against parts as it is, since one of its own may be poison.
func (t *Table) setVerdict(verdict Verdict) bool {
	if known, ok := t.verdicts[verdict.Content]; ok && verdict.Until <= known.Until+freshness.StoreTime(sameCrashInterval) {
		return false
	}
	t.verdicts[verdict.Content] = verdict
	delete(t.suspects, verdict.Content)
	explained := func(c Crash) bool { return slices.Contains(verdict.Endpoints, c.Endpoint) }
	for content, crashes := range t.suspects {
		if !content.IsPart() && slices.ContainsFunc(crashes, explained) {
			t.setSuspect(content, unexplainedCrashes(crashes, explained))
		}
	}
	t.crashes = slices.DeleteFunc(t.crashes, explained)
	t.enforceBounds()
	return true
}

// unexplainedCrashes returns the crashes that still count against another request after a verdict.
func unexplainedCrashes(crashes []Crash, explained func(Crash) bool) []Crash {
	var kept, removed []Crash
	for _, c := range crashes {
		if explained(c) {
			removed = append(removed, c)
		} else {
			kept = append(kept, c)
		}
	}
	if len(removed) >= minMajorityCrashes-1 {
		kept = append(kept, removed[len(removed)-1])
	}
	return kept
}

// RecordAnswer records that an endpoint with a software version answered a request with some contents completely, which
// proves that they are not poison to that version; 0 stands for all versions. The tally of a request under which several
// endpoints have ended stays until answers outweigh them. RecordAnswer reports whether the contents were suspect, and whether
// there was a verdict, and now no longer are.
func (t *Table) RecordAnswer(now freshness.StoreTime, content keys.Content, version keys.Version) (wasSuspect, hadVerdict bool) {
	if t.crashesOther(content, version) {
		return false, false
	}
	if content.IsPart() {
		t.sound[content] = now
		t.enforceSoundBound()
	}
	_, wasSuspect = t.suspects[content]
	_, hadVerdict = t.verdicts[content]
	if counted := t.tallies[content]; counted != nil {
		wasSuspect = true
		if content.IsPart() || counted.recordAnswer(now, t.answerInterval) {
			delete(t.tallies, content)
		}
	}
	if wasSuspect || hadVerdict {
		t.answered[content] = now
	}
	delete(t.suspects, content)
	delete(t.verdicts, content)
	return wasSuspect, hadVerdict
}

// IsPoison reports whether there is a verdict on some contents.
func (t *Table) IsPoison(content keys.Content) bool {
	_, ok := t.verdicts[content]
	return ok
}

// Verdicts returns all verdicts, those that expire last first.
func (t *Table) Verdicts() []Verdict {
	return slices.SortedFunc(maps.Values(t.verdicts), func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Until, a.Until), cmp.Compare(a.Content, b.Content))
	})
}

// SuspectCount returns the number of requests with crashes but without a verdict.
func (t *Table) SuspectCount() int { return len(t.suspects) }

// Expire removes expired evidence and verdicts, and returns the requests that are no longer poison. All but one of
// the crashes that prove a verdict still count after it has expired, so that one more crash renews it.
func (t *Table) Expire(now freshness.StoreTime) []keys.Content {
	for content, crashes := range t.suspects {
		crashes = slices.DeleteFunc(crashes, func(c Crash) bool { return c.At+freshness.StoreTime(evidenceValidity) < now })
		t.setSuspect(content, crashes)
	}
	for _, list := range []*[]Crash{&t.crashes, &t.allCrashes, &t.explained} {
		*list = slices.DeleteFunc(*list, func(c Crash) bool { return c.At+freshness.StoreTime(evidenceValidity) < now })
	}
	maps.DeleteFunc(t.sound, func(_ keys.Content, at freshness.StoreTime) bool { return at+freshness.StoreTime(soundTime) < now })
	maps.DeleteFunc(t.answered, func(_ keys.Content, at freshness.StoreTime) bool { return at+freshness.StoreTime(answerHold) < now })
	t.expireTallies(now)
	var expired []keys.Content
	for content, verdict := range t.verdicts {
		if verdict.Until < now {
			expired = append(expired, content)
			delete(t.verdicts, content)
			t.setSuspect(content, remainingEvidence(verdict, now))
		}
	}
	return expired
}

// remainingEvidence returns the evidence that remains of an expired verdict.
func remainingEvidence(verdict Verdict, now freshness.StoreTime) []Crash {
	var crashes []Crash
	count, interval := minMajorityCrashes-1, freshness.StoreTime(0)
	if verdict.Content.IsPart() {
		count, interval = minPartCrashes-1, freshness.StoreTime(partCrashInterval)
	}
	for i, endpoint := range verdict.Endpoints[:min(len(verdict.Endpoints), count)] {
		crashes = append(crashes, Crash{Endpoint: endpoint, At: now - freshness.StoreTime(i)*interval, Begun: true})
	}
	return crashes
}

// setSuspect replaces the crashes that count against some contents.
func (t *Table) setSuspect(content keys.Content, crashes []Crash) {
	if len(crashes) == 0 {
		delete(t.suspects, content)
		return
	}
	t.suspects[content] = crashes
}

// enforceBounds drops the verdicts that expire first, and the suspects with the oldest last crash, if there are too
// many.
func (t *Table) enforceBounds() {
	if len(t.verdicts) > maxVerdicts {
		for _, verdict := range t.Verdicts()[maxVerdicts-maxVerdicts/8:] {
			delete(t.verdicts, verdict.Content)
		}
	}
	if len(t.suspects) <= maxSuspects {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(t.suspects), func(a, b keys.Content) int {
		return cmp.Or(cmp.Compare(lastAt(t.suspects[a]), lastAt(t.suspects[b])), cmp.Compare(a, b))
	})
	for _, content := range oldest[:maxSuspects/8] {
		delete(t.suspects, content)
	}
}

func lastAt(crashes []Crash) freshness.StoreTime { return crashes[len(crashes)-1].At }
