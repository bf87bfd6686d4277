package schedule

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// admit checks whether there is room for a new request, and makes room where the rules allow it. A request
// that was admitted before always has room.
func (s *Scheduler) admit(now time.Time, it *item) (admission.Reason, bool) {
	r := &it.request
	if s.configured && s.endpoints.count() == 0 {
		return admission.ReasonNoEndpoint, false
	}
	if r.Retry {
		return "", true
	}
	if r.MaxWaiting > 0 && s.limitOf(r).waiting >= r.MaxWaiting {
		return admission.ReasonWorkspaceRoom, false
	}
	if s.waiting < s.options.MaxWaiting {
		return "", true
	}
	if now.Before(s.heldUntil) && r.Tier < Tiers-1 {
		// Owners that have not announced their requests yet may have requests of lower tiers, which are shed first.
		return "", true
	}
	if s.makeRoom(now, r) {
		return "", true
	}
	return admission.ReasonNoRoom, false
}

// makeRoom makes room for a new request. It refuses a waiting request of the lowest tier below the new one's.
// If there is none, it repays a slot that is owed to the tier, or refuses a request of the same tier, from a
// workspace that has more waiting requests by weight than the new one's. It never refuses a request of a
// higher tier.
func (s *Scheduler) makeRoom(now time.Time, r *admission.Request) bool {
	for tier := Tiers - 1; tier > r.Tier; tier-- {
		if w := s.tiers[tier].largest(); w != nil {
			s.shed(now, w)
			return true
		}
	}
	if head := s.nextOfTier(now, r.Tier); head != nil && s.repaySlot(now, head) {
		return true
	}
	w := s.tiers[r.Tier].largest()
	if w == nil || w.load() <= s.loadWith(r) {
		return false
	}
	s.shed(now, w)
	return true
}

// load returns the number of the workspace's waiting requests divided by its weight.
func (w *workspaceQueue) load() float64 {
	return float64(w.count) / w.weight
}

// loadWith returns the load that the workspace of a request has with that request.
func (s *Scheduler) loadWith(r *admission.Request) float64 {
	count := 1
	if w, ok := s.tiers[r.Tier].workspaces[r.Workspace]; ok {
		count += w.count
	}
	return float64(count) / r.Weight
}

// largest returns the workspace with the highest load, or nil.
func (t *tierQueue) largest() *workspaceQueue {
	var largest *workspaceQueue
	for _, w := range t.order {
		if w.count > 0 && (largest == nil || w.load() > largest.load()) {
			largest = w
		}
	}
	return largest
}

// shed refuses the newest waiting request of a workspace, because that request has waited least.
func (s *Scheduler) shed(now time.Time, w *workspaceQueue) {
	var newest *item
	for _, f := range w.flows {
		if it, ok := f.items.Max(); ok && (newest == nil || byArrival(newest, it)) {
			newest = it
		}
	}
	s.removeWaiting(newest)
	s.refuse(now, newest, admission.ReasonNoRoom)
}

// nextOfTier returns the next request of the first workspace that is ready in a tier, or nil.
func (s *Scheduler) nextOfTier(now time.Time, tier int) *item {
	w, ok := s.tiers[tier].ready.first()
	if !ok {
		return nil
	}
	it, _ := w.pick(now)
	return it
}
