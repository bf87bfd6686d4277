package schedule

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// maxSkipped bounds the requests that one dispatch skips because no endpoint with a free slot suits them. It
// bounds the work of a dispatch.
const maxSkipped = 8

// dispatch grants waiting requests while endpoints have free slots.
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
		it.predictedTokens = s.predictLength(&it.request)
		tier := it.request.Tier
		if reason == admission.ReasonShare {
			// The slots reserved for higher tiers would starve a share when those tiers use all other slots.
			tier = 0
		}
		e := s.endpoints.choose(now, it, tier, s.prefixes)
		if e != nil {
			s.grant(now, it, e, reason)
			continue
		}
		if len(s.skipped) == maxSkipped {
			break
		}
		s.skip(it)
	}
	s.restoreSkipped(now)
	s.considerPreemption(now)
}

// nextWaiting returns the request to grant next: one of a class whose share is due, or else one of the
// workspace with the least service in the highest tier, down to the lowest tier that has a slot. It parks
// flows that a limit blocks.
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

// candidate returns the request to grant next without regard to limits.
func (s *Scheduler) candidate(now time.Time, lowest int) (*item, admission.Reason) {
	if it := s.dueShare(now); it != nil {
		return it, admission.ReasonShare
	}
	for tier := range lowest + 1 {
		if it := s.bestInTier(now, &s.tiers[tier]); it != nil {
			return it, admission.ReasonNext
		}
	}
	return nil, ""
}

// bestInTier returns the next request of a tier, or nil. The position of a workspace in the heap may be out
// of date, because requests become late as time passes. It is corrected when the workspace reaches the front.
func (s *Scheduler) bestInTier(now time.Time, t *tierQueue) *item {
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

// grant assigns a waiting request with a predicted length a slot at an endpoint.
func (s *Scheduler) grant(now time.Time, it *item, e *endpoint, reason admission.Reason) {
	r := &it.request
	f := it.flow
	cached := s.prefixes.longestPrefix(r)
	it.uncachedTokens = e.uncachedTokens(r, cached)
	figures := admission.Figures{
		Waited:              now.Sub(r.Arrived),
		Ahead:               s.waitingAtOrAbove(r.Tier) - 1,
		WaitingBelow:        s.waiting - s.waitingAtOrAbove(r.Tier),
		PredictedFirstToken: e.predictFirstToken(now, r, cached),
		InFlight:            e.inFlight(),
		Limit:               e.limit,
		CachedTokens:        r.PromptTokens - it.uncachedTokens,
		AnswerTokens:        it.predictedTokens,
	}
	s.removeWaiting(it)
	s.chargeService(it, f)
	s.refreshWorkspace(now, f)
	s.limitOf(r).reserve(it.predictedTokens)
	it.fromShare = reason == admission.ReasonShare
	s.endpoints.assign(now, it, e)
	s.prefixes.record(r, e)
	it.expiresAt = now.Add(s.options.GrantTimeout)
	s.expiry.put(it)
	s.decisions = append(s.decisions, admission.Decision{
		Kind:     admission.Grant,
		ID:       r.ID,
		Owner:    r.Owner,
		Endpoint: e.ID,
		Reason:   reason,
		Until:    it.expiresAt,
		Figures:  figures,
	})
	s.chargeShare(now, it, reason)
}

// chargeService charges a grant to its workspace.
func (s *Scheduler) chargeService(it *item, f *flow) {
	t := &s.tiers[f.key.tier]
	t.virtualTime = max(t.virtualTime, f.workspace.attainedService)
	f.workspace.attainedService += s.work(it) / f.workspace.weight
}

// skip removes a request from its flow until the dispatch ends.
func (s *Scheduler) skip(it *item) {
	s.skipped = append(s.skipped, it)
	it.flow.remove(it)
	s.updateQueues(it.flow)
}

// restoreSkipped returns the skipped requests to their flows.
func (s *Scheduler) restoreSkipped(now time.Time) {
	for i, it := range s.skipped {
		it.flow.insert(now, it)
		s.refreshWorkspace(now, it.flow)
		s.skipped[i] = nil
	}
	s.skipped = s.skipped[:0]
}
