package schedule

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// maxAside bounds the requests passed over in one dispatch because no endpoint
// with room suits them. It bounds the work of a dispatch (BENCHMARKS.md, steps per grant).
const maxAside = 8

// dispatch grants waiting requests while endpoints have room.
func (s *Scheduler) dispatch(now time.Time) {
	if now.Before(s.heldUntil) {
		return
	}
	for s.waiting > 0 {
		lowest := s.endpoints.lowestTier(now)
		if lowest < 0 {
			break
		}
		it, reason := s.nextWaiting(now, lowest)
		if it == nil {
			break
		}
		s.Steps++
		it.predicted = s.predictLength(&it.request)
		tier := it.request.Tier
		if reason == admission.ReasonShare {
			// The slots kept for higher tiers would starve a share when those
			// tiers use all the rest.
			tier = 0
		}
		e := s.endpoints.choose(now, it, tier, s.prefixes)
		if e != nil {
			s.grant(now, it, e, reason)
			continue
		}
		if len(s.aside) == maxAside {
			break
		}
		s.setAside(it)
	}
	s.takeBackAside(now)
	s.considerPreemption(now)
}

// nextWaiting chooses the request to grant next: a class whose share is due,
// else the highest tier's workspace with the least service, down to the lowest
// tier that has a slot. Flows that a limit holds are parked on the way.
func (s *Scheduler) nextWaiting(now time.Time, lowest int) (*item, admission.Reason) {
	for {
		it, reason := s.candidate(now, lowest)
		if it == nil {
			return nil, ""
		}
		l := s.limitOf(&it.request)
		l.refill(now)
		if !l.blocks(&it.request) {
			return it, reason
		}
		s.park(it.flow, l)
	}
}

func (s *Scheduler) candidate(now time.Time, lowest int) (*item, admission.Reason) {
	if it := s.dueShare(now); it != nil {
		return it, admission.ReasonShare
	}
	for tier := range lowest + 1 {
		if it := s.bestOf(now, &s.tiers[tier]); it != nil {
			return it, admission.ReasonNext
		}
	}
	return nil, ""
}

// bestOf chooses within a tier. A workspace's position in the heap may be out of date, as
// requests become late with time; it is corrected when it comes to the front.
func (s *Scheduler) bestOf(now time.Time, t *tierQueue) *item {
	for {
		w, ok := t.ready.first()
		if !ok {
			return nil
		}
		s.Steps++
		it, onTime := w.pick(now)
		if onTime == w.onTime {
			return it
		}
		w.onTime = onTime
		t.ready.put(w)
	}
}

// grant assigns a waiting request, whose length is predicted, a slot at an
// endpoint.
func (s *Scheduler) grant(now time.Time, it *item, e *endpoint, reason admission.Reason) {
	r := &it.request
	f := it.flow
	cached := s.prefixes.longest(r)
	it.uncached = e.uncached(r, cached)
	figures := admission.Figures{
		Waited:              now.Sub(r.Arrived),
		Ahead:               s.waitingAtOrAbove(r.Tier) - 1,
		WaitingBelow:        s.waiting - s.waitingAtOrAbove(r.Tier),
		PredictedFirstToken: e.predictFirstToken(now, r, cached),
		InFlight:            e.inFlight(),
		Limit:               e.limit,
		CachedTokens:        r.PromptTokens - it.uncached,
		AnswerTokens:        it.predicted,
	}
	s.removeWaiting(it)
	s.chargeService(it, f)
	s.refresh(now, f)
	s.limitOf(r).use(it.predicted)
	it.shared = reason == admission.ReasonShare
	s.endpoints.take(now, it, e)
	s.prefixes.granted(r, e)
	it.due = now.Add(s.options.GrantTimeout)
	s.expiry.put(it)
	s.decisions = append(s.decisions, admission.Decision{
		Kind:     admission.Grant,
		ID:       r.ID,
		Owner:    r.Owner,
		Endpoint: e.ID,
		Reason:   reason,
		Until:    it.due,
		Figures:  figures,
	})
	s.accountShare(now, it, reason)
}

// chargeService charges a grant to its workspace's part of the tier.
func (s *Scheduler) chargeService(it *item, f *flow) {
	t := &s.tiers[f.key.tier]
	t.service = max(t.service, f.workspace.service)
	f.workspace.service += s.work(it) / f.workspace.weight
}

// setAside passes over a request until the dispatch ends.
func (s *Scheduler) setAside(it *item) {
	s.aside = append(s.aside, it)
	it.flow.take(it)
	s.touch(it.flow)
}

// takeBackAside puts the passed-over requests back into their flows.
func (s *Scheduler) takeBackAside(now time.Time) {
	for i, it := range s.aside {
		it.flow.insert(now, it)
		s.refresh(now, it.flow)
		s.aside[i] = nil
	}
	s.aside = s.aside[:0]
}
