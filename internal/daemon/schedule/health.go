package schedule

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/backoff"
)

// The constants of ejection. Ejection as a whole shows no gain in the replays (BENCHMARKS.md, "What
// each mechanism is worth"): the learned limit already takes load off a slow engine. It stays for
// engines that stop sending tokens.
const (
	// slowFactor is how many times the median time between tokens of its peers an engine's may be.
	slowFactor = 2.0
	// failuresInRow is how many failures in a row eject an endpoint.
	failuresInRow = 3
	// maxSlow and maxFailing are the fractions of a shard that may be ejected for
	// being slow or silent, and for failing. With more bad than that, all are
	// used: a fault that all share is not the endpoints' own.
	maxSlow    = 0.3
	maxFailing = 0.6
	// silentTime is how long an engine with running requests may send no token. It is far above
	// any time between tokens that a target allows.
	silentTime = 3 * time.Second
	// firstEjected is how long the first ejection lasts; each further one without a success in
	// between lasts twice as long, up to longEjected.
	firstEjected = 2 * time.Second
	longEjected  = 30 * time.Second
)

// failureBackoff is how long an endpoint gets nothing after a failure. Without it an
// endpoint that fails at once is the least loaded and draws every request.
var failureBackoff = backoff.Doubling{First: 50 * time.Millisecond, Longest: 2 * time.Second}

// health is whether an endpoint is fit to get work.
type health struct {
	ejected bool
	// probing is set if the endpoint is back with one request at a time.
	probing bool
	// until is when an ejection ends, period how long the last one was, zero after a success.
	until  time.Time
	period time.Duration
	// failures counts the failures since the last success or ejection.
	failures int
	reason   EjectReason
	// noWorkUntil is when the endpoint may get work again after a failure.
	noWorkUntil time.Time
}

// EjectReason is why an endpoint gets no work for a while.
type EjectReason string

// The reasons for an ejection.
const (
	EjectFailing      EjectReason = "failing"
	EjectSlow         EjectReason = "slow"
	EjectUnresponsive EjectReason = "silent"
)

// finished counts an end of a request at the endpoint.
func (h *health) finished(now time.Time, result admission.Result) {
	switch result {
	case admission.Failed:
		h.failures++
		h.noWorkUntil = now.Add(failureBackoff.Span(h.failures - 1))
	case admission.Answered:
		h.succeeded()
	}
}

// succeeded reports that the endpoint works: it brought tokens or an answer.
func (h *health) succeeded() {
	h.failures = 0
	h.noWorkUntil = time.Time{}
	if h.probing {
		h.probing = false
		h.period = 0
	}
}

// eject ejects an endpoint for a while, twice as long each time in a row.
func (s *endpointSet) eject(now time.Time, e *endpoint, reason EjectReason) {
	if !e.usable() || !s.mayEject(reason) {
		return
	}
	h := &e.health
	h.period = min(max(2*h.period, firstEjected), longEjected)
	h.ejected = true
	h.probing = false
	h.until = now.Add(h.period)
	h.reason = reason
	h.failures = 0
	s.place(e)
}

// mayEject reports whether one more endpoint may be ejected.
func (s *endpointSet) mayEject(reason EjectReason) bool {
	part := maxSlow
	if reason == EjectFailing {
		part = maxFailing
	}
	ejected := 1
	for _, e := range s.order {
		if e.health.ejected {
			ejected++
		}
	}
	return float64(ejected) <= max(1, part*float64(len(s.order))) && len(s.order) > 1
}

// readmit readmits an endpoint for a probe, with a limit that starts low.
func (s *endpointSet) readmit(now time.Time, e *endpoint) {
	e.health.ejected = false
	e.health.probing = true
	e.lastSign = now
	if e.Engine {
		e.limit = firstLimit
		e.slowStart = true
	}
	e.between = s.medianBetween()
	s.place(e)
}

// tick ends ejections and ejects engines that are silent.
func (s *endpointSet) tick(now time.Time) {
	for _, e := range s.order {
		if e.health.ejected && !now.Before(e.health.until) {
			s.readmit(now, e)
		}
		if e.silent(now) {
			s.eject(now, e, EjectUnresponsive)
		}
	}
}

// silent reports whether an engine owes tokens and has brought none for long.
func (e *endpoint) silent(now time.Time) bool {
	if !e.Engine || e.health.ejected || now.Sub(e.lastSign) < silentTime {
		return false
	}
	for _, it := range e.running {
		if it.firstToken && now.Sub(it.measuredAt) >= silentTime {
			return true
		}
	}
	return false
}

// judge moves an engine's limit and ejects it if it is much slower than its
// peers.
func (s *endpointSet) judge(now time.Time, e *endpoint) {
	if e.windowSteps < judgeSamples || now.Sub(e.judgedAt) < judgeTime {
		return
	}
	mean := e.window / time.Duration(e.windowSteps)
	e.between += (mean - e.between) / betweenSmoothing
	e.adapt(mean)
	e.window, e.windowSteps = 0, 0
	e.judgedAt = now
	if median := s.medianBetween(); float64(e.between) > slowFactor*float64(median) {
		s.eject(now, e, EjectSlow)
	}
	s.place(e)
}

// medianBetween is the median time between tokens of the usable engines.
func (s *endpointSet) medianBetween() time.Duration {
	s.scratch = s.scratch[:0]
	for _, e := range s.order {
		if e.usable() && e.Engine {
			s.scratch = append(s.scratch, e.between)
		}
	}
	if len(s.scratch) == 0 {
		return firstBetween
	}
	slices.Sort(s.scratch)
	return s.scratch[len(s.scratch)/2]
}

// EndpointState is what a scheduler has learned of an endpoint.
type EndpointState struct {
	ID       string
	InFlight int
	Limit    float64
	// BetweenTokens is the mean time between tokens.
	BetweenTokens time.Duration
	// Ejected is why the endpoint gets no work now, or empty.
	Ejected EjectReason
	// Probing is set while one request tests whether the endpoint works again.
	Probing bool
}

// Endpoints returns what was learned of each endpoint, in the order of the
// settings.
func (s *Scheduler) Endpoints() []EndpointState {
	states := make([]EndpointState, 0, len(s.endpoints.order))
	for _, e := range s.endpoints.order {
		state := EndpointState{ID: e.ID, InFlight: e.inFlight(), Limit: e.bound(), BetweenTokens: e.between, Probing: e.health.probing}
		if e.health.ejected {
			state.Ejected = e.health.reason
		}
		states = append(states, state)
	}
	return states
}
