package schedule

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// The constants of preemption.
const (
	// maxVictimAge bounds how long a victim may have run, because its work is lost.
	maxVictimAge = 500 * time.Millisecond
	// A slot is preempted for a request when the time until the request becomes late is at most preemptMargin
	// plus preemptIntervals mean times between two finished requests. With more time left, a slot is likely
	// to become free without a preemption.
	preemptMargin    = 250 * time.Millisecond
	preemptIntervals = 2
)

// considerPreemption preempts a request of a lower tier for a request that would be late otherwise. A victim
// must be repeatable, must not have received its first token, and must have cost less work than the request
// needs.
func (s *Scheduler) considerPreemption(now time.Time) {
	it := s.mostUrgent(now)
	if it == nil || s.endpoints.preempting >= s.tiers[it.request.Tier].count {
		return
	}
	victim := s.victimFor(now, it)
	if victim == nil {
		return
	}
	victim.preempting = true
	s.endpoints.preempting++
	r := &victim.request
	s.decisions = append(s.decisions, admission.Decision{
		Kind:     admission.Preempt,
		ID:       r.ID,
		Owner:    r.Owner,
		Endpoint: victim.endpoint.ID,
		Reason:   admission.ReasonHigherTier,
		Figures:  admission.Figures{Waited: now.Sub(it.request.Arrived), InFlight: victim.endpoint.inFlight(), Limit: victim.endpoint.limit},
	})
}

// mostUrgent returns the next request of the highest tier with waiting requests, if it would be late before a
// slot is likely to become free.
func (s *Scheduler) mostUrgent(now time.Time) *item {
	for tier := range Tiers - 1 {
		it := s.bestInTier(now, &s.tiers[tier])
		if it == nil {
			continue
		}
		if it.lateAt.IsZero() || it.isLate(now) {
			return nil
		}
		if it.lateAt.Sub(now) > preemptIntervals*s.pace.interval+preemptMargin {
			return nil
		}
		return it
	}
	return nil
}

// victimFor returns the granted request of a lower tier that costs least to preempt, or nil.
func (s *Scheduler) victimFor(now time.Time, it *item) *item {
	worth := s.work(it)
	var victim *item
	for _, e := range s.endpoints.order {
		if !e.isUsable() {
			continue
		}
		for _, v := range e.running {
			s.Steps++
			if !v.isPreemptibleFor(now, it) || float64(v.uncachedTokens)/promptTokensPerAnswerToken > worth {
				continue
			}
			if victim == nil || v.isBetterVictim(victim) {
				victim = v
			}
		}
	}
	return victim
}

// isPreemptibleFor reports whether a granted request may be preempted for a waiting one.
func (it *item) isPreemptibleFor(now time.Time, to *item) bool {
	r := &it.request
	if r.Tier <= to.request.Tier || !r.Repeatable || it.firstToken || it.preempting {
		return false
	}
	if it.fromShare {
		// Otherwise a flood of the highest tier would preempt every request that the share granted.
		return false
	}
	return !it.started || now.Sub(it.sentAt) < maxVictimAge
}

// isBetterVictim reports whether preempting it costs less than preempting other: a lower tier first, then the
// newer request.
func (it *item) isBetterVictim(other *item) bool {
	if it.request.Tier != other.request.Tier {
		return it.request.Tier > other.request.Tier
	}
	return it.sequence > other.sequence
}
