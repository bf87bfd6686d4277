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
	if slices.ContainsFunc(t.explained, crash.isSame) {
		return
	}
	t.explained = append(t.explained, crash)
	t.explained = t.explained[max(len(t.explained)-maxCrashes, 0):]
	for content, crashes := range t.suspects {
		if content.IsPart() && slices.ContainsFunc(crashes, crash.isSame) {
			t.setSuspect(content, slices.DeleteFunc(crashes, crash.isSame))
		}
	}
}

// provesPart reports whether crashes prove that a part of a prompt is poison.
func (t *Table) provesPart(part keys.Content, crashes []Crash) bool {
	required := minPartCrashes
	if _, isSound := t.sound[part]; isSound {
		required = minSoundPartCrashes
	}
	return countApart(crashes) >= required
}

// countApart counts crashes; those within partCrashInterval count once. Crashes at an unknown time count each.
func countApart(crashes []Crash) int {
	count, from := 0, freshness.StoreTime(0)
	for _, c := range slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return cmp.Compare(a.At, b.At) }) {
		if count == 0 || c.At == 0 || c.At-from >= freshness.StoreTime(partCrashInterval) {
			count, from = count+1, c.At
		}
	}
	return count
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
