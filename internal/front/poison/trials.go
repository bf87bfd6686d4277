package poison

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The rules that end wrong verdicts on parts of prompts. While a part is refused no answer can clear it. So requests with it
// are sent as trials, one at a time over the whole fleet and further and further apart, and a verdict that does not stop
// the crashes is lifted.

// provedAt returns when the last crash under some contents proved a verdict on them.
func (v *Verdict) provedAt() freshness.StoreTime {
	return v.Until - freshness.StoreTime(verdictValidity)
}

// trialDelay returns the time from the last crash or trial of a verdict to its next trial.
func (v *Verdict) trialDelay() time.Duration {
	delay := firstTrialDelay
	for range len(v.Endpoints) - minPartCrashes {
		delay = min(delay*trialDelayGrowth, verdictValidity)
	}
	return delay
}

// MayTry reports whether the host at a place in the order of hosts may send a request with some contents as a trial of the
// verdict on one of them, a part.
func (t *Table) MayTry(now freshness.StoreTime, part keys.Content, contents []keys.Content, before, hosts int) bool {
	verdict := t.verdicts[part]
	delay := verdict.trialDelay()
	if t.lacksLikelierPart(&verdict, contents) {
		delay = min(delay, apartTrialDelay)
	}
	due := max(verdict.provedAt(), verdict.TriedAt) + freshness.StoreTime(delay)
	return part.IsPart() && now >= due && isTrialTurn(now, time.Duration(now-due), part, before, hosts)
}

// lacksLikelierPart reports whether a request lacks a part that crashes convicted together with one that it has, and that is
// more likely to be the poison: it explains crashes that the other one does not, or fewer requests have it. While few of a
// host's requests lack it, nothing is known.
func (t *Table) lacksLikelierPart(verdict *Verdict, contents []keys.Content) bool {
	for other, companion := range t.verdicts {
		if other != verdict.Content && other.IsPart() && !slices.Contains(contents, other) && sharesCrashes(verdict, &companion) &&
			(!sharesCrashes(&companion, verdict) || t.recent.countWith(other) < t.recent.countWith(verdict.Content)) {
			return true
		}
	}
	return false
}

// sharesCrashes reports whether all crashes that proved a verdict proved another one as well.
func sharesCrashes(verdict, other *Verdict) bool {
	crashed := slices.Concat(other.Proof.Endpoints, other.Endpoints)
	return !slices.ContainsFunc(verdict.Endpoints[:min(len(verdict.Endpoints), minPartCrashes)], func(e keys.Endpoint) bool {
		return !slices.Contains(crashed, e)
	})
}

// RecordTrial records that a host has sent a request with a part as a trial.
func (t *Table) RecordTrial(at freshness.StoreTime, part keys.Content) {
	if verdict, ok := t.verdicts[part]; ok {
		verdict.TriedAt = max(verdict.TriedAt, at)
		t.verdicts[part] = verdict
	}
}

// recordTrialCrash renews the verdict on a part if a crash ends a trial of it, and reports whether it does.
func (t *Table) recordTrialCrash(verdict Verdict, crash Crash) (Verdict, bool) {
	if verdict.TriedAt == 0 || !crash.Begun || crash.At < verdict.TriedAt || verdict.TriedAt <= verdict.provedAt() {
		return Verdict{}, false
	}
	verdict.Until = crash.At + freshness.StoreTime(verdictValidity)
	verdict.Endpoints = append(slices.Clone(verdict.Endpoints), crash.Endpoint)
	t.verdicts[verdict.Content] = verdict
	return verdict, true
}

// isTrialTurn reports whether it is the turn of the host at a place in the order of hosts to try a part, a time after the
// trial became due.
func isTrialTurn(now freshness.StoreTime, overdue time.Duration, part keys.Content, before, hosts int) bool {
	turn, elapsed := uint64(now)/uint64(trialTurn), uint64(now)%uint64(trialTurn)
	first := int((turn + uint64(part)) % uint64(max(hosts, 1)))
	doublings := min(int(overdue/trialSpreadTime), maxTrialDoublings)
	return elapsed < uint64(trialTurnShare*float64(trialTurn)) && (before-first+hosts)%max(hosts, 1) < 1<<doublings
}

// isTroubled reports whether crashes at a time say nothing of parts, since endpoints crash for another reason.
func (t *Table) isTroubled(at freshness.StoreTime) bool { return at < t.troubledUntil }

// Acquit lifts all verdicts on parts if endpoints crash as often without one of them as before, and returns the parts.
// Crashes then don't count against parts for a time.
func (t *Table) Acquit(now freshness.StoreTime) []keys.Content {
	var parts []keys.Content
	goesOn := false
	for content, verdict := range t.verdicts {
		if content.IsPart() {
			parts = append(parts, content)
			goesOn = goesOn || t.goesOnWithout(now, &verdict)
		}
	}
	if !goesOn {
		return nil
	}
	t.troubledUntil = now + freshness.StoreTime(quietTime)
	for content := range t.suspects {
		if content.IsPart() {
			delete(t.suspects, content)
		}
	}
	return parts
}

// goesOnWithout reports whether endpoints crash as often without a part since the verdict on it as before it.
func (t *Table) goesOnWithout(now freshness.StoreTime, verdict *Verdict) bool {
	proof := &verdict.Proof
	from, until := proof.Last+freshness.StoreTime(commonCauseInterval), now-freshness.StoreTime(crashReportTime)
	others := 0
	for _, c := range t.allCrashes {
		if c.At > from && c.At <= until && !slices.ContainsFunc(verdict.Later, c.isSame) {
			others++
		}
	}
	if others < minOtherCrashes || proof.Crashes == 0 {
		return false
	}
	rateBefore := float64(proof.Crashes+proof.Others-1) / float64(max(proof.Period, commonCauseInterval))
	return float64(others)/float64(now-from) >= continuedRateShare*rateBefore
}
