package schedule

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/backoff"
)

// The constants of ejection. The learned limit already takes load off a slow engine, so ejection mainly serves engines
// that stop sending tokens.
const (
	// slowFactor is the ratio of an engine's time between tokens to the median of the shard above which the
	// engine is ejected.
	slowFactor = 2.0
	// maxConsecutiveFailures is the number of consecutive failures after which an endpoint is ejected.
	maxConsecutiveFailures = 3
	// maxSlowShare and maxFailingShare are the fractions of a shard that may be ejected: maxSlowShare for
	// slow or unresponsive engines, maxFailingShare for failing endpoints. If more endpoints are bad, all
	// stay in use, since a fault that all share is not a fault of the endpoints.
	maxSlowShare    = 0.3
	maxFailingShare = 0.6
	// noTokensTimeout is how long an engine with running requests may send no token. It is far above any time
	// between tokens that a target allows.
	noTokensTimeout = 3 * time.Second
	// minEjection is the duration of the first ejection. Each further ejection without a success in between
	// lasts twice as long, up to maxEjection.
	minEjection = 2 * time.Second
	maxEjection = 30 * time.Second
)

// failureBackoff is how long an endpoint gets no request after a failure. Without it, an endpoint that fails
// immediately is the least loaded and attracts every request.
var failureBackoff = backoff.Doubling{First: 50 * time.Millisecond, Longest: 2 * time.Second}

// health describes whether an endpoint may get requests.
type health struct {
	ejected bool
	// probing is set while a readmitted endpoint gets one request at a time.
	probing bool
	// ejectedUntil is when the ejection ends. ejectionTime is the duration of the last ejection, or zero
	// after a success.
	ejectedUntil time.Time
	ejectionTime time.Duration
	// failures counts the failures since the last success or ejection.
	failures int
	reason   EjectReason
	// backoffUntil is when the endpoint may get requests again after a failure.
	backoffUntil time.Time
}

// EjectReason is why an endpoint is ejected.
type EjectReason string

// The reasons for an ejection.
const (
	EjectFailing      EjectReason = "failing"
	EjectSlow         EjectReason = "slow"
	EjectUnresponsive EjectReason = "silent"
)

// recordResult records how a request ended at the endpoint.
func (h *health) recordResult(now time.Time, result admission.Result) {
	switch result {
	case admission.Failed:
		h.failures++
		h.backoffUntil = now.Add(failureBackoff.Span(h.failures - 1))
	case admission.Answered:
		h.recordSuccess()
	}
}

// recordSuccess records that the endpoint sent tokens or an answer.
func (h *health) recordSuccess() {
	h.failures = 0
	h.backoffUntil = time.Time{}
	if h.probing {
		h.probing = false
		h.ejectionTime = 0
	}
}

// eject ejects an endpoint, for twice as long each consecutive time.
func (s *endpointSet) eject(now time.Time, e *endpoint, reason EjectReason) {
	if !e.isUsable() || !s.canEject(reason) {
		return
	}
	h := &e.health
	h.ejectionTime = min(max(2*h.ejectionTime, minEjection), maxEjection)
	h.ejected = true
	h.probing = false
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.reason = reason
	h.failures = 0
	s.updatePosition(e)
}

// canEject reports whether one more endpoint may be ejected for a reason.
func (s *endpointSet) canEject(reason EjectReason) bool {
	maxShare := maxSlowShare
	if reason == EjectFailing {
		maxShare = maxFailingShare
	}
	ejected := 1
	for _, e := range s.order {
		if e.health.ejected {
			ejected++
		}
	}
	return float64(ejected) <= max(1, maxShare*float64(len(s.order))) && len(s.order) > 1
}

// readmit readmits an endpoint for a probe, with the initial limit and the median time between tokens.
func (s *endpointSet) readmit(now time.Time, e *endpoint) {
	e.health.ejected = false
	e.health.probing = true
	e.lastActivity = now
	if e.Engine {
		e.limit = initialLimit
		e.slowStart = true
	}
	e.betweenTokens = s.medianBetween()
	s.updatePosition(e)
}

// tick readmits endpoints whose ejection has ended and ejects unresponsive engines.
func (s *endpointSet) tick(now time.Time) {
	for _, e := range s.order {
		if e.health.ejected && !now.Before(e.health.ejectedUntil) {
			s.readmit(now, e)
		}
		if e.isUnresponsive(now) {
			s.eject(now, e, EjectUnresponsive)
		}
	}
}

// isUnresponsive reports whether an engine with an answer in progress has sent no token for noTokensTimeout.
func (e *endpoint) isUnresponsive(now time.Time) bool {
	if !e.Engine || e.health.ejected || now.Sub(e.lastActivity) < noTokensTimeout {
		return false
	}
	for _, it := range e.running {
		if it.firstToken && now.Sub(it.measuredAt) >= noTokensTimeout {
			return true
		}
	}
	return false
}

// evaluateWindow adapts an engine's limit once its window of measurements is large enough, and ejects the
// engine if it is much slower than the others.
func (s *endpointSet) evaluateWindow(now time.Time, e *endpoint) {
	if e.windowSteps < minWindowSteps || now.Sub(e.windowStart) < minWindow {
		return
	}
	mean := e.window / time.Duration(e.windowSteps)
	e.betweenTokens += (mean - e.betweenTokens) / betweenSmoothing
	e.adaptLimit(mean)
	e.window, e.windowSteps = 0, 0
	e.windowStart = now
	if median := s.medianBetween(); float64(e.betweenTokens) > slowFactor*float64(median) {
		s.eject(now, e, EjectSlow)
	}
	s.updatePosition(e)
}

// medianBetween returns the median time between tokens of the usable engines.
func (s *endpointSet) medianBetween() time.Duration {
	s.scratch = s.scratch[:0]
	for _, e := range s.order {
		if e.isUsable() && e.Engine {
			s.scratch = append(s.scratch, e.betweenTokens)
		}
	}
	if len(s.scratch) == 0 {
		return initialBetweenTokens
	}
	slices.Sort(s.scratch)
	return s.scratch[len(s.scratch)/2]
}

// EndpointState is the state of an endpoint as the scheduler sees it.
type EndpointState struct {
	ID       string
	InFlight int
	Limit    float64
	// BetweenTokens is the mean time between tokens.
	BetweenTokens time.Duration
	// Ejected is why the endpoint is ejected, or empty if it is not.
	Ejected EjectReason
	// Probing is set while one request tests whether the endpoint works again.
	Probing bool
}

// Endpoints returns the state of each endpoint, in the order of the settings.
func (s *Scheduler) Endpoints() []EndpointState {
	states := make([]EndpointState, 0, len(s.endpoints.order))
	for _, e := range s.endpoints.order {
		state := EndpointState{ID: e.ID, InFlight: e.inFlight(), Limit: e.effectiveLimit(), BetweenTokens: e.betweenTokens, Probing: e.health.probing}
		if e.health.ejected {
			state.Ejected = e.health.reason
		}
		states = append(states, state)
	}
	return states
}
