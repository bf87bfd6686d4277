package poison

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The rules on parts that all recent requests have. Such a part can't be compared. If endpoints crash under nothing else,
// and no request with it has run for long since the first of the crashes, it is convicted all the same, so that trials bound
// what is sent of it. If several parts come together, the verdict is on the one that the fewest requests have; a request
// without one of the others tells them apart, and is a trial at once.

const (
	// ProgressTime is the time for which a request must have received its answer to speak for its parts. It is reported after
	// each such time.
	ProgressTime = 2 * time.Second
	// progressValidity is how long that refutes verdicts on parts that all recent requests have.
	progressValidity = 10 * time.Second
	// aloneDelayGrowth replaces trialDelayGrowth for such a part: the verdict may be wrong, and then refuses all requests.
	aloneDelayGrowth = 2
	// companionsValidity is how long the companions of a part are not computed again.
	companionsValidity = 50 * time.Millisecond
	// minComparingInterval is the time between two trials that tell parts apart.
	minComparingInterval = time.Second
)

// RecordProgress records that a request with some contents has received its answer for some time without a crash. It returns
// the parts with verdicts that this refutes.
func (t *Table) RecordProgress(now freshness.StoreTime, contents []keys.Content) []keys.Content {
	var refuted []keys.Content
	for _, part := range contents {
		if !part.IsPart() || len(t.suspects[part]) == 0 && !t.IsPoison(part) {
			continue
		}
		t.progress[part] = now
		if t.IsPoison(part) && t.isInAll(part) {
			refuted = append(refuted, part)
		}
	}
	return refuted
}

// isInAll reports whether all recent requests of this host have a part.
func (t *Table) isInAll(part keys.Content) bool { return t.recent.countWith(part) == t.recent.known() }

// isRunning reports whether a request with a part that all recent requests have has received its answer for long lately.
func (t *Table) isRunning(part keys.Content, now freshness.StoreTime) bool {
	at, ok := t.progress[part]
	return ok && now-at < freshness.StoreTime(progressValidity) && t.isInAll(part)
}

// provesAlone reports whether crashes prove a part that all recent requests have.
func (t *Table) provesAlone(part keys.Content, crashes []Crash) bool {
	_, isSound := t.sound[part]
	first, last := period(crashes)
	// A host without requests of its own does not know which part comes last.
	if isSound || t.recent.known() == 0 || t.progress[part] >= first || t.isRunning(part, last) {
		return false
	}
	// While another verdict stands, its trials bound what is sent.
	for content := range t.verdicts {
		if content.IsPart() && len(t.companions(content)) > 0 {
			return false
		}
	}
	return t.others(crashes) == 0
}

// others returns the number of all crashes that are not among some.
func (t *Table) others(crashes []Crash) int {
	count := 0
	for _, c := range t.crashes {
		if !slices.ContainsFunc(crashes, c.isSame) {
			count++
		}
	}
	return count
}

// companions returns the parts under whose crashes the verdict on a part may as well rest: each of its endpoints but one at
// most crashed under them too.
func (t *Table) companions(part keys.Content) []keys.Content {
	verdict, ok := t.verdicts[part]
	if !ok || len(verdict.Endpoints) < minPartCrashes {
		return nil
	}
	var companions []keys.Content
	for other, crashes := range t.suspects {
		if !other.IsPart() || len(crashes) < len(verdict.Endpoints)-1 {
			continue
		}
		shared := 0
		for _, endpoint := range verdict.Endpoints {
			if slices.ContainsFunc(crashes, func(c Crash) bool { return c.Endpoint == endpoint }) {
				shared++
			}
		}
		if shared >= len(verdict.Endpoints)-1 {
			companions = append(companions, other)
		}
	}
	return companions
}

// cachedCompanions are the companions of a part as of a time.
type cachedCompanions struct {
	part       keys.Content
	at         freshness.StoreTime
	companions []keys.Content
}

// tellsApart reports whether a request with some contents may be sent now to tell a part with a verdict from a part that
// comes with it.
func (t *Table) tellsApart(now freshness.StoreTime, part keys.Content, contents []keys.Content) bool {
	if now-t.verdicts[part].TriedAt < freshness.StoreTime(minComparingInterval) {
		return false
	}
	if t.cached.part != part || now-t.cached.at >= freshness.StoreTime(companionsValidity) {
		t.cached = cachedCompanions{part: part, at: now, companions: t.companions(part)}
	}
	return slices.ContainsFunc(t.cached.companions, func(other keys.Content) bool { return !slices.Contains(contents, other) })
}

// recordComparison records that an endpoint has crashed under a request with some contents: of parts that come together, those
// that the request lacks are not to blame.
func (t *Table) recordComparison(contents []keys.Content) {
	for _, part := range contents {
		for _, other := range t.companions(part) {
			if !slices.Contains(contents, other) {
				delete(t.suspects, other)
			}
		}
	}
}
