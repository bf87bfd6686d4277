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

// limit counts the requests and tokens of a workspace for a class in the whole fleet.
type limit struct {
	inFlight int
	waiting  int
	// tokens is the remainder of the tokens per minute. It is negative if answers were longer than predicted.
	tokens     float64
	perMinute  int
	refilledAt time.Time
	// parked holds the flows that wait for the limit rather than for an endpoint.
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

// blocks reports whether a request must wait for the limits of its workspace.
func (l *limit) blocks(r *admission.Request) bool {
	if r.MaxInFlight > 0 && l.inFlight >= r.MaxInFlight {
		return true
	}
	return r.TokensPerMinute > 0 && l.tokens <= 0
}

// reserve takes a slot and the predicted tokens.
func (l *limit) reserve(tokens int) {
	l.inFlight++
	if l.perMinute > 0 {
		l.tokens -= float64(tokens)
	}
}

// refill adds the tokens for the elapsed time, up to those of one minute.
func (l *limit) refill(now time.Time) {
	if l.perMinute == 0 {
		return
	}
	l.tokens += float64(l.perMinute) * now.Sub(l.refilledAt).Minutes()
	l.tokens = min(l.tokens, float64(l.perMinute))
	l.refilledAt = now
}

// releaseLimit returns the slot of a request and the tokens that were predicted but not generated.
func (s *Scheduler) releaseLimit(now time.Time, it *item) {
	l := s.limitOf(&it.request)
	l.inFlight--
	if l.perMinute > 0 {
		l.tokens += float64(it.predictedTokens - it.tokens)
	}
	s.unpark(now, l)
}

// refillLimits refills the limits that have parked flows, and returns the flows that they no longer block to
// their tiers.
func (s *Scheduler) refillLimits(now time.Time) {
	for _, l := range s.parkedLimits {
		s.unpark(now, l)
	}
	s.parkedLimits = slices.DeleteFunc(s.parkedLimits, func(l *limit) bool { return len(l.parked) == 0 })
}

// park removes a flow from its tier until its limit allows another request.
func (s *Scheduler) park(f *flow, l *limit) {
	if f.parked {
		return
	}
	f.parked = true
	if len(l.parked) == 0 && !slices.Contains(s.parkedLimits, l) {
		s.parkedLimits = append(s.parkedLimits, l)
	}
	l.parked = append(l.parked, f)
	s.updateQueues(f)
}

// unpark returns the flows that a limit no longer blocks to their tiers.
func (s *Scheduler) unpark(now time.Time, l *limit) {
	l.refill(now)
	kept := l.parked[:0]
	for _, f := range l.parked {
		if f.len() > 0 && l.blocks(&f.head().request) {
			kept = append(kept, f)
			continue
		}
		f.parked = false
		s.updateQueues(f)
	}
	l.parked = kept
}
