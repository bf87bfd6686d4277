package poison

import (
	"cmp"
	"maps"
	"slices"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The rules on parts of prompts, and on answers of several software versions. A part is in many requests, so that a sound
// one may be at each crash that poison causes: it is told from the poison by the answers to its other requests.

// explain records that poison has caused a crash. It no longer counts against other parts.
func (t *Table) explain(crash Crash) {
	if containsCrash(t.explained, crash) {
		return
	}
	t.explained = appendCrash(t.explained, crash, maxCrashes)
	t.crashes = slices.DeleteFunc(t.crashes, crash.isSame)
	for content, crashes := range t.suspects {
		if content.IsPart() && slices.ContainsFunc(crashes, crash.isSame) {
			t.setSuspect(content, slices.DeleteFunc(crashes, crash.isSame))
		}
	}
}

// Judge returns the verdicts on parts that crashes prove. Parts that come together can't be told apart: all of them are
// convicted, from the one that the fewest requests have, while most requests have none of them. Trials, and answers to
// what is still running, then clear those that are sound. While several parts are accused, only crashes until judgeDelay
// ago count.
func (t *Table) Judge(now freshness.StoreTime) []Verdict {
	suspects := t.provenParts(now)
	if len(suspects) > 1 || len(suspects) == 1 && t.hasOtherSuspect(suspects[0].part) {
		suspects = t.provenParts(now - freshness.StoreTime(judgeDelay))
	}
	var verdicts []Verdict
	for i, s := range suspects {
		if i > 0 && !t.recent.mostLack(suspects[:i+1]) {
			break
		}
		verdicts = append(verdicts, t.convict(s.part, s.crashes))
	}
	return verdicts
}

// provenPart is a part against which crashes prove enough.
type provenPart struct {
	part    keys.Content
	crashes []Crash
}

// provenParts returns the parts against which the crashes until a time prove enough, the one that the fewest requests have
// first.
func (t *Table) provenParts(until freshness.StoreTime) []provenPart {
	var proven []provenPart
	for part := range t.accused {
		all := t.suspects[part]
		if len(all) < minPartCrashes {
			delete(t.accused, part)
			continue
		}
		crashes := slices.DeleteFunc(slices.Clone(all), func(c Crash) bool { return c.At > until })
		if t.provesPart(part, crashes) {
			proven = append(proven, provenPart{part, crashes})
		}
	}
	slices.SortFunc(proven, func(a, b provenPart) int {
		return cmp.Or(cmp.Compare(t.recent.countWith(a.part), t.recent.countWith(b.part)), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.part, b.part))
	})
	return proven
}

// hasOtherSuspect reports whether another part, not known to be sound, may be proven by the next report.
func (t *Table) hasOtherSuspect(part keys.Content) bool {
	for other, crashes := range t.suspects {
		_, isSound := t.sound[other]
		if other != part && other.IsPart() && !isSound && len(crashes) >= minPartCrashes-1 {
			return true
		}
	}
	return false
}

// provesPart reports whether crashes prove that a part of a prompt is poison: far more crashes in their period were under
// it than under other requests alone, and not all requests have it.
func (t *Table) provesPart(part keys.Content, crashes []Crash) bool {
	required := minPartCrashes
	if _, isSound := t.sound[part]; isSound {
		required = minSoundPartCrashes
	}
	if countApart(crashes) < required || t.recent.countWith(part) == t.recent.known() {
		return false
	}
	newest := newestApart(crashes, required)
	others := t.crashesBetween(newest) - len(newest)
	return minCrashRatio*others < len(newest)
}

// recentRequests holds the parts of the last requests of this host.
type recentRequests struct {
	parts [recentRequestCount][]keys.Content
	count int
}

// RecordRequest records the contents of a request that has arrived at this host.
func (t *Table) RecordRequest(contents []keys.Content) {
	t.recent.parts[t.recent.count%recentRequestCount] = contents
	t.recent.count++
}

func (r *recentRequests) known() int { return min(r.count, recentRequestCount) }

// mostLack reports whether most of the last requests have none of some parts.
func (r *recentRequests) mostLack(parts []provenPart) bool {
	count := 0
	for _, contents := range r.parts[:r.known()] {
		if slices.ContainsFunc(parts, func(p provenPart) bool { return slices.Contains(contents, p.part) }) {
			count++
		}
	}
	return 2*count < r.known()
}

// countWith returns how many of the last requests have a part.
func (r *recentRequests) countWith(part keys.Content) int {
	count := 0
	for _, parts := range r.parts[:r.known()] {
		if slices.Contains(parts, part) {
			count++
		}
	}
	return count
}

// countApart counts crashes; those within partCrashInterval count once. Crashes at an unknown time count each.
func countApart(crashes []Crash) int { return len(startsApart(sortedByTime(crashes))) }

// newestApart returns the newest crashes that count as some number, sorted by time.
func newestApart(crashes []Crash, number int) []Crash {
	sorted := sortedByTime(crashes)
	starts := startsApart(sorted)
	return sorted[starts[max(len(starts)-number, 0)]:]
}

func sortedByTime(crashes []Crash) []Crash {
	return slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
}

// startsApart returns the indexes of those crashes, of some that are sorted by time, that count.
func startsApart(sorted []Crash) []int {
	var starts []int
	from := freshness.StoreTime(0)
	for i, c := range sorted {
		if i == 0 || c.At == 0 || c.At-from >= freshness.StoreTime(partCrashInterval) {
			starts, from = append(starts, i), c.At
		}
	}
	return starts
}

// Refutes reports whether a verdict on a part is wrong, as this host knows of an answer to a request with the part since
// the last of the crashes.
func (t *Table) Refutes(verdict Verdict) bool {
	answeredAt, isSound := t.sound[verdict.Content]
	return isSound && answeredAt > verdict.Until-freshness.StoreTime(verdictValidity)
}

// crashesOther reports whether an endpoint of another software version than the given one has crashed while it had some
// contents.
func (t *Table) crashesOther(content keys.Content, version keys.Version) bool {
	if version == 0 {
		return false
	}
	isOther := func(v keys.Version) bool { return v != 0 && v != version }
	return slices.ContainsFunc(t.verdicts[content].Versions, isOther) ||
		slices.ContainsFunc(t.suspects[content], func(c Crash) bool { return isOther(c.Version) })
}

// recordSound records that a peer knows of an answer to a request with a part. It refutes no verdict.
func (t *Table) recordSound(at freshness.StoreTime, part keys.Content) {
	if t.IsPoison(part) {
		return
	}
	t.sound[part] = max(t.sound[part], at)
	t.enforceSoundBound()
}

// newestSound returns the parts that were answered last, at most some number.
func (t *Table) newestSound(most int) []PartTime {
	newest := slices.SortedFunc(maps.Keys(t.sound), func(a, b keys.Content) int {
		return cmp.Or(cmp.Compare(t.sound[b], t.sound[a]), cmp.Compare(a, b))
	})
	var sound []PartTime
	for _, part := range newest[:min(len(newest), most)] {
		sound = append(sound, PartTime{Part: part, AtMs: toMs(t.sound[part])})
	}
	return sound
}

// enforceSoundBound drops the eighth of the parts that were answered longest ago if there are too many.
func (t *Table) enforceSoundBound() {
	if len(t.sound) <= maxSound {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(t.sound), func(a, b keys.Content) int {
		return cmp.Or(cmp.Compare(t.sound[a], t.sound[b]), cmp.Compare(a, b))
	})
	for _, part := range oldest[:maxSound/8] {
		delete(t.sound, part)
	}
}
