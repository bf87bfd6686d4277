package request

// Event is an event in the life of a request.
type Event uint8

// The events.
const (
	// EventGranted: an endpoint was granted.
	EventGranted Event = iota
	// EventGrantVoid: the grant was not used in time, or the endpoint is known to be leaving. Nothing was sent.
	EventGrantVoid
	// EventWithheld: the endpoint was reached, but is known by then to take no new work. Nothing was sent.
	EventWithheld
	// EventDialFailed: the endpoint could not be reached. Nothing was sent.
	EventDialFailed
	// EventSent: the connection is established, so bytes may be written from now on.
	EventSent
	// EventNotStarted: the endpoint reported that it did not start the request.
	EventNotStarted
	// EventDelivered: a part of the answer was sent to the caller.
	EventDelivered
	// EventBroken: the attempt ended without a complete answer.
	EventBroken
	// EventWrongAnswer: the endpoint sent the answer to another request.
	EventWrongAnswer
	// EventWhole: the answer is complete.
	EventWhole
	// EventPreempted: a request of a higher tier needs the endpoint.
	EventPreempted
	// EventCallerGone: the caller disconnected.
	EventCallerGone
)

// Action is the owner's next step.
type Action uint8

// The actions.
const (
	// ActNothing: no step is needed.
	ActNothing Action = iota
	// ActAsk: ask for an endpoint.
	ActAsk
	// ActSend: send the request to the granted endpoint.
	ActSend
	// ActResume: resume the interrupted stream at the same engine.
	ActResume
	// ActFinish: the request has ended; see Lifecycle.Outcome.
	ActFinish
)

// Outcome is the final state of a request.
type Outcome uint8

// The outcomes.
const (
	OutcomeOpen Outcome = iota
	OutcomeAnswered
	// OutcomeRefused: no part of an answer was sent to the caller.
	OutcomeRefused
	// OutcomeBroken: a part was sent to the caller, and the caller was informed that the answer is incomplete.
	OutcomeBroken
	OutcomeCallerGone
)

// Rules holds the limits on the handling of a request.
type Rules struct {
	// Repeatable allows more than one execution.
	Repeatable bool
	// MaxTries bounds the number of endpoints to which the request is sent.
	MaxTries int
	// MaxDials bounds the number of unreachable endpoints that do not count against MaxTries; 0 means that all of them
	// count.
	MaxDials int
	// ResendNotStarted allows another endpoint for a request that may not be repeated, if every endpoint that received
	// it reported that it did not start it.
	ResendNotStarted bool
	// MaxResumes bounds how often a stream is resumed at its engine.
	MaxResumes int
	// MaxEnded is the number of tries that do not count against MaxTries since their endpoint has ended.
	MaxEnded int
}

// Facts holds the owner's information at the time of an event.
type Facts struct {
	// CanResume: the failed attempt was a stream that its engine can resume.
	CanResume bool
	// CanContinue: another endpoint can continue the answer after the delivered part.
	CanContinue bool
	// EndpointEnded: the process of the endpoint has ended, so that it no longer runs the request.
	EndpointEnded bool
	// Expired: the request's deadline has passed, so that it is not tried again.
	Expired bool
	// BudgetLeft: the retry budget allows one more try.
	BudgetLeft bool
}

// Lifecycle is the state of a request on the host that owns it. It implements the rules of retrying: whether a request
// may be sent again, for which reason, and what may be reported to its caller if it ends without an answer. It is not
// safe for concurrent use. Use NewLifecycle.
type Lifecycle struct {
	rules   Rules
	outcome Outcome
	reason  Reason
	retry   RetryReason
	// tries counts the grants that were used, dials the tries whose endpoint was unreachable, ended those that do not count
	// since their endpoint has ended, resumes the resumed streams, and sends how often an endpoint may have run the request.
	tries   int
	dials   int
	ended   int
	resumes int
	sends   int
	// inFlight is set while an endpoint may be running the request; mayHaveRun is set once an attempt has ended without
	// certainty that it did not run.
	inFlight   bool
	mayHaveRun bool
	// delivered is set once a part of an answer was sent to the caller.
	delivered bool
}

// NewLifecycle returns the state of a request that waits for its first grant.
func NewLifecycle(rules Rules) *Lifecycle {
	return &Lifecycle{rules: rules}
}

// Apply handles an event and returns the next action. It has no effect after the end.
func (l *Lifecycle) Apply(event Event, facts Facts) Action {
	if l.outcome != OutcomeOpen {
		return ActFinish
	}
	switch event {
	case EventGranted:
		return l.handleGranted()
	case EventGrantVoid:
		return l.retryOrRefuse(RetryGrantVoid, ReasonNoEndpoint, facts)
	case EventWithheld:
		l.tries--
		return l.retryOrRefuse(RetryGrantVoid, ReasonNoEndpoint, facts)
	case EventDialFailed:
		l.uncountFailedDial()
		return l.retryOrRefuse(RetryDialFailed, ReasonEndpointFailed, facts)
	case EventSent:
		l.sends++
		l.inFlight = true
		return ActNothing
	case EventNotStarted:
		l.inFlight = false
		return l.handleNotStarted(facts)
	case EventDelivered:
		l.delivered = true
		return ActNothing
	case EventBroken:
		return l.handleBroken(facts)
	case EventWrongAnswer:
		return l.retryIfRepeatable(RetryWrongAnswer, ReasonWrongAnswer, facts)
	case EventWhole:
		l.outcome = OutcomeAnswered
		return ActFinish
	case EventPreempted:
		return l.handlePreempted(facts)
	case EventCallerGone:
		l.outcome = OutcomeCallerGone
		l.reason = ReasonCallerGone
		return ActFinish
	}
	return ActNothing
}

// Refuse ends the request for a reason outside of its attempts: it got no endpoint, or the host stops. It has no effect
// after the end.
func (l *Lifecycle) Refuse(reason Reason) {
	if l.outcome == OutcomeOpen {
		l.refuse(reason)
	}
}

// Outcome returns the final state of the request, or OutcomeOpen.
func (l *Lifecycle) Outcome() Outcome { return l.outcome }

// Reason returns the reason for which the request was refused or its answer aborted.
func (l *Lifecycle) Reason() Reason { return l.reason }

// Retry returns the reason for the retry that the latest ActAsk or ActResume requests.
func (l *Lifecycle) Retry() RetryReason { return l.retry }

// Sends returns how often an endpoint may have run the request.
func (l *Lifecycle) Sends() int { return l.sends }

// Tries returns the number of grants that were used, with or without a send.
func (l *Lifecycle) Tries() int { return l.tries }

// CanLeave reports whether the request may be sent to another endpoint if its attempt is ended now. It does not consider
// the retry budget.
func (l *Lifecycle) CanLeave(facts Facts) bool {
	isOpen := l.outcome == OutcomeOpen && l.tries < l.rules.MaxTries && !facts.Expired
	return isOpen && l.rules.Repeatable && (!l.delivered || facts.CanContinue)
}

// Ended returns the number of tries that do not count since their endpoint has ended.
func (l *Lifecycle) Ended() int { return l.ended }

// Delivered reports whether a part of an answer was sent to the caller.
func (l *Lifecycle) Delivered() bool { return l.delivered }

// Ran returns RanNo only if it is certain that no endpoint has run the request.
func (l *Lifecycle) Ran() Ran {
	if l.mayHaveRun || l.inFlight {
		return RanUnknown
	}
	return RanNo
}

func (l *Lifecycle) handleGranted() Action {
	if l.Ran() == RanUnknown && !l.rules.Repeatable {
		// No further grant is requested for such a request after a send. The check remains because it enforces the
		// guarantee of RanNo.
		return l.refuse(ReasonInternal)
	}
	l.tries++
	return ActSend
}

// uncountFailedDial excludes a try that reached no endpoint from the count, up to MaxDials times.
func (l *Lifecycle) uncountFailedDial() {
	if l.dials < l.rules.MaxDials {
		l.dials++
		l.tries--
	}
}

func (l *Lifecycle) handleNotStarted(facts Facts) Action {
	l.sends--
	if !l.rules.Repeatable && !l.rules.ResendNotStarted {
		return l.refuse(ReasonNotStarted)
	}
	return l.retryOrRefuse(RetryNotStarted, ReasonNotStarted, facts)
}

func (l *Lifecycle) handleBroken(facts Facts) Action {
	if facts.EndpointEnded && l.ended < l.rules.MaxEnded {
		l.ended++
		l.tries--
	}
	if facts.CanResume && l.resumes < l.rules.MaxResumes {
		l.resumes++
		l.retry = RetryResume
		return ActResume
	}
	reason := ReasonEndpointFailed
	if l.delivered {
		reason = ReasonAnswerBroken
	}
	return l.retryIfRepeatable(RetryBrokenAnswer, reason, facts)
}

func (l *Lifecycle) handlePreempted(facts Facts) Action {
	if !l.rules.Repeatable || (l.delivered && !facts.CanContinue) {
		return ActNothing
	}
	l.mayHaveRun = l.mayHaveRun || l.inFlight
	l.inFlight = false
	l.retry = RetryPreempted
	l.tries--
	return ActAsk
}

// retryIfRepeatable ends an attempt that may have run. Only repeatable requests are tried again, and after a delivery
// only those that can be continued.
func (l *Lifecycle) retryIfRepeatable(retry RetryReason, reason Reason, facts Facts) Action {
	l.mayHaveRun = l.mayHaveRun || l.inFlight
	l.inFlight = false
	if !l.rules.Repeatable {
		return l.refuse(reason)
	}
	if l.delivered && !facts.CanContinue {
		return l.refuse(reason)
	}
	if l.delivered {
		retry = RetryContinue
	}
	return l.retryOrRefuse(retry, reason, facts)
}

// retryOrRefuse requests another grant if the tries, the deadline and the budget allow it, and refuses otherwise.
func (l *Lifecycle) retryOrRefuse(retry RetryReason, reason Reason, facts Facts) Action {
	switch {
	case l.tries >= l.rules.MaxTries, facts.Expired:
		return l.refuse(reason)
	case !facts.BudgetLeft && retry.SpendsBudget():
		return l.refuse(ReasonRetryBudget)
	}
	l.retry = retry
	return ActAsk
}

func (l *Lifecycle) refuse(reason Reason) Action {
	l.reason = reason
	l.outcome = OutcomeRefused
	if l.delivered {
		l.outcome = OutcomeBroken
	}
	return ActFinish
}
