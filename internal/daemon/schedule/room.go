package schedule

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// admit checks whether there is room for a new request, and makes room for it
// where the rules allow. A request that was admitted before always has room.
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
		// Lower tiers of owners that have announced nothing yet may have to go first.
		return "", true
	}
	if s.makeRoom(now, r) {
		return "", true
	}
	return admission.ReasonNoRoom, false
}

// makeRoom refuses a waiting request for a new one: one of the lowest tier
// below, or, if none waits, one of a workspace of the same tier that has more
// requests waiting than the new one's. It never refuses a higher tier's.
func (s *Scheduler) makeRoom(now time.Time, r *admission.Request) bool {
	for tier := Tiers - 1; tier > r.Tier; tier-- {
		if w := s.tiers[tier].largest(); w != nil {
			s.shed(now, w)
			return true
		}
	}
	if head := s.oldestOf(now, r.Tier); head != nil && s.giveBack(now, head) {
		return true
	}
	w := s.tiers[r.Tier].largest()
	if w == nil || w.load() <= s.loadWith(r) {
		return false
	}
	s.shed(now, w)
	return true
}

// load is a workspace's waiting requests by its weight.
func (w *workspaceQueue) load() float64 {
	return float64(w.count) / w.weight
}

// loadWith is the load of a request's workspace with that request.
func (s *Scheduler) loadWith(r *admission.Request) float64 {
	count := 1
	if w, ok := s.tiers[r.Tier].workspaces[r.Workspace]; ok {
		count += w.count
	}
	return float64(count) / r.Weight
}

// largest returns the workspace with the most waiting requests by its weight.
func (t *tierQueue) largest() *workspaceQueue {
	var largest *workspaceQueue
	for _, w := range t.order {
		if w.count > 0 && (largest == nil || w.load() > largest.load()) {
			largest = w
		}
	}
	return largest
}

// shed refuses the newest waiting request of a workspace, which has lost the
// least by waiting.
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

func (s *Scheduler) oldestOf(now time.Time, tier int) *item {
	w, ok := s.tiers[tier].ready.first()
	if !ok {
		return nil
	}
	it, _ := w.pick(now)
	return it
}
