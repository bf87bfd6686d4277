package schedule

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// limitKey identifies the limits of a workspace for a class.
type limitKey struct {
	workspace string
	class     string
}

// limit counts what a workspace uses of a class, over the whole fleet.
type limit struct {
	inFlight int
	waiting  int
	// tokens is what is left of the tokens a minute; it may be below zero when
	// answers were longer than predicted.
	tokens     float64
	perMinute  int
	refilledAt time.Time
	// parked are flows that wait for the limit and not for an endpoint.
	parked []*flow
}

func (s *Scheduler) limitOf(r *admission.Request) *limit {
	key := limitKey{r.Workspace, r.Class}
	l, ok := s.limits[key]
	if !ok {
		l = &limit{perMinute: r.TokensPerMinute, tokens: float64(r.TokensPerMinute), refilledAt: r.Arrived}
		s.limits[key] = l
	}
	l.perMinute = r.TokensPerMinute
	return l
}

// blocks reports whether a request must wait for its workspace's own limits.
func (l *limit) blocks(r *admission.Request) bool {
	if r.MaxInFlight > 0 && l.inFlight >= r.MaxInFlight {
		return true
	}
	return r.TokensPerMinute > 0 && l.tokens <= 0
}

// use counts a slot and the predicted tokens.
func (l *limit) use(tokens int) {
	l.inFlight++
	if l.perMinute > 0 {
		l.tokens -= float64(tokens)
	}
}

// refill adds the tokens for the time passed, up to a minute's.
func (l *limit) refill(now time.Time) {
	if l.perMinute == 0 {
		return
	}
	l.tokens += float64(l.perMinute) * now.Sub(l.refilledAt).Minutes()
	l.tokens = min(l.tokens, float64(l.perMinute))
	l.refilledAt = now
}

// releaseLimit returns back a place, and the tokens that were predicted but not
// generated.
func (s *Scheduler) releaseLimit(now time.Time, it *item) {
	l := s.limitOf(&it.request)
	l.inFlight--
	if l.perMinute > 0 {
		l.tokens += float64(it.predicted - it.tokens)
	}
	s.unpark(now, l)
}

func (s *Scheduler) refillLimits(now time.Time) {
	for _, l := range s.held {
		s.unpark(now, l)
	}
	s.held = slices.DeleteFunc(s.held, func(l *limit) bool { return len(l.parked) == 0 })
}

// park removes a flow from its tier until its limit allows more.
func (s *Scheduler) park(f *flow, l *limit) {
	if f.parked {
		return
	}
	f.parked = true
	if len(l.parked) == 0 && !slices.Contains(s.held, l) {
		s.held = append(s.held, l)
	}
	l.parked = append(l.parked, f)
	s.touch(f)
}

func (s *Scheduler) unpark(now time.Time, l *limit) {
	l.refill(now)
	kept := l.parked[:0]
	for _, f := range l.parked {
		if f.len() > 0 && l.blocks(&f.head().request) {
			kept = append(kept, f)
			continue
		}
		f.parked = false
		s.touch(f)
	}
	l.parked = kept
}
