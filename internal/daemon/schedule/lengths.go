package schedule

import (
	"oxbowslip.dev/oxbowslip/internal/admission"
)

// The constants of the predicted length of an answer.
const (
	// initialLength is the first estimate, in tokens.
	initialLength = 256
	// lengthQuantile is the quantile that is estimated. A high quantile keeps an engine's cache memory from
	// running full.
	lengthQuantile = 0.8
	// lengthStep is the relative step of one observation. About 30 answers change the estimate by a factor of
	// ten.
	lengthStep = 0.1
)

// lengthEstimate estimates a quantile of the answer lengths of one workspace and class in constant space.
// Each observation multiplies the estimate by a fixed factor, up or down. The ratio of the two factors makes
// the estimate settle at the quantile.
type lengthEstimate struct {
	estimate float64
}

func (l *lengthEstimate) observe(tokens int) {
	if float64(tokens) > l.estimate {
		l.estimate *= 1 + lengthStep*lengthQuantile
	} else {
		l.estimate *= 1 - lengthStep*(1-lengthQuantile)
	}
	l.estimate = max(l.estimate, 1)
}

// predictLength estimates the length, in tokens, of an answer that has not begun.
func (s *Scheduler) predictLength(r *admission.Request) int {
	estimate := initialLength
	if l, ok := s.lengths[limitKey{r.Workspace, r.Class}]; ok {
		estimate = int(l.estimate)
	}
	if r.MaxTokens > 0 {
		estimate = min(estimate, r.MaxTokens)
	}
	return estimate
}

func (s *Scheduler) recordLength(it *item, result admission.Result) {
	if result != admission.Answered || it.tokens == 0 {
		return
	}
	key := limitKey{it.request.Workspace, it.request.Class}
	l, ok := s.lengths[key]
	if !ok {
		l = &lengthEstimate{estimate: initialLength}
		s.lengths[key] = l
	}
	l.observe(it.tokens)
}
