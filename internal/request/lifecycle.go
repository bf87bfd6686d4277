package request

// Event is something that happened to a request.
type Event uint8

// The events.
const (
	// EventGranted: an endpoint was granted.
	EventGranted Event = iota
	// EventGrantVoid: the grant was not used in time, or the endpoint is known to be leaving.
	// Nothing was sent.
	EventGrantVoid
	// EventWithheld: the endpoint was reached, and is known by then to take no new work. Nothing was sent.
	EventWithheld
	// EventDialFailed: the endpoint could not be reached. Nothing was sent.
	EventDialFailed
	// EventSent: a connection is there, so bytes may be written from now on.
	EventSent
	// EventNotStarted: the endpoint said that it did not start the request.
	EventNotStarted
	// EventDelivered: a part of the answer went to the caller.
	EventDelivered
	// EventBroken: the attempt ended without a whole answer.
	EventBroken
	// EventWrongAnswer: the endpoint sent an answer to another request.
	EventWrongAnswer
	// EventWhole: the whole answer was seen.
	EventWhole
	// EventPreempted: a request of a higher tier needs the endpoint.
	EventPreempted
	// EventCallerGone: the caller went away.
	EventCallerGone
)

// Action is what the owner has to do next.
type Action uint8

// The actions.
const (
	// ActNothing: nothing changes.
	ActNothing Action = iota
	// ActAsk: ask for an endpoint.
	ActAsk
	// ActSend: send the request to the granted endpoint.
	ActSend
	// ActResume: take up the broken stream at the same engine.
	ActResume
	// ActFinish: the request has ended; see Lifecycle.Outcome.
	ActFinish
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeOpen Outcome = iota
	OutcomeAnswered
	// OutcomeRefused: nothing of an answer went to the caller.
	OutcomeRefused
	// OutcomeBroken: a part went to the caller, and it was told that the
	// answer is not whole.
	OutcomeBroken
	OutcomeCallerGone
)

// Rules are the limits on what may be done for one request.
type Rules struct {
	// Repeatable allows more than one execution.
	Repeatable bool
	// MaxTries bounds the endpoints that the request is sent to.
	MaxTries int
	// MaxDials bounds the endpoints that turn out to be unreachable without counting against
	// MaxTries; 0 means that each of them counts.
	MaxDials int
	// ResendNotStarted allows another endpoint for a request that may not be repeated, after
	// every endpoint that got it said that it did not start it.
	ResendNotStarted bool
	// MaxResumes bounds how often a stream is resumed at its engine.
	MaxResumes int
}

// Facts is what the owner knows at the time of an event.
type Facts struct {
	// CanResume: the broken attempt was a stream that its engine can resume.
	CanResume bool
	// CanContinue: another endpoint can continue after what was delivered.
	CanContinue bool
	// Expired: the request's deadline has passed, so that it is not tried again.
	Expired bool
	// BudgetLeft: the retry budget allows one more try.
	BudgetLeft bool
}

// Lifecycle is the state of one request on the host that owns it. It holds the rule of
// retrying: whether a request may be sent again, why, and what its caller may be told when it
// ends without an answer. It is not safe for concurrent use. Use NewLifecycle.
type Lifecycle struct {
	rules   Rules
	outcome Outcome
	reason  Reason
	retry   RetryReason
	// tries counts the grants that were used, dials those whose endpoint was unreachable,
	// resumes the resumed streams, sends the times that an endpoint may have run it.
	tries   int
	dials   int
	resumes int
	sends   int
	// inFlight is set while an endpoint may be running it; unsure once an attempt ended
	// without knowing whether it ran.
	inFlight bool
	unsure   bool
	// delivered is set once a part of an answer went to the caller.
	delivered bool
}

// NewLifecycle returns the state of a request that waits for its first grant.
func NewLifecycle(rules Rules) *Lifecycle {
	return &Lifecycle{rules: rules}
}

// Apply handles an event and returns what to do next. After the end it changes nothing.
func (l *Lifecycle) Apply(event Event, facts Facts) Action {
	if l.outcome != OutcomeOpen {
		return ActFinish
	}
	switch event {
	case EventGranted:
		return l.granted()
	case EventGrantVoid:
		return l.again(RetryGrantVoid, ReasonNoEndpoint, facts)
	case EventWithheld:
		l.tries--
		return l.again(RetryGrantVoid, ReasonNoEndpoint, facts)
	case EventDialFailed:
		l.forgiveDial()
		return l.again(RetryDialFailed, ReasonEndpointFailed, facts)
	case EventSent:
		l.sends++
		l.inFlight = true
		return ActNothing
	case EventNotStarted:
		l.inFlight = false
		return l.notStarted(facts)
	case EventDelivered:
		l.delivered = true
		return ActNothing
	case EventBroken:
		return l.broken(facts)
	case EventWrongAnswer:
		return l.failed(RetryWrongAnswer, ReasonWrongAnswer, facts)
	case EventWhole:
		l.outcome = OutcomeAnswered
		return ActFinish
	case EventPreempted:
		return l.preempted(facts)
	case EventCallerGone:
		l.outcome = OutcomeCallerGone
		l.reason = ReasonCallerGone
		return ActFinish
	}
	return ActNothing
}

// Refuse ends the request for a reason outside of its attempts: it got no endpoint, or the
// host stops. After the end it does nothing.
func (l *Lifecycle) Refuse(reason Reason) {
	if l.outcome == OutcomeOpen {
		l.refuse(reason)
	}
}

// Outcome returns how the request ended, or OutcomeOpen.
func (l *Lifecycle) Outcome() Outcome { return l.outcome }

// Reason returns why the request was refused or broken off.
func (l *Lifecycle) Reason() Reason { return l.reason }

// Retry returns why the last ActAsk or ActResume is a retry.
func (l *Lifecycle) Retry() RetryReason { return l.retry }

// Sends returns how often an endpoint may have run the request.
func (l *Lifecycle) Sends() int { return l.sends }

// Tries returns the number of grants that were used, with or without a send.
func (l *Lifecycle) Tries() int { return l.tries }

// Delivered reports whether a part of an answer went to the caller.
func (l *Lifecycle) Delivered() bool { return l.delivered }

// Ran returns what can honestly be said about a request without an answer.
func (l *Lifecycle) Ran() Ran {
	if l.unsure || l.inFlight {
		return RanUnknown
	}
	return RanNo
}

func (l *Lifecycle) granted() Action {
	if l.Ran() == RanUnknown && !l.rules.Repeatable {
		// Nothing asks again for such a request once it was sent. It is checked all the same,
		// because it is the promise itself.
		return l.refuse(ReasonInternal)
	}
	l.tries++
	return ActSend
}

// forgiveDial does not count a try that reached no endpoint, up to MaxDials.
func (l *Lifecycle) forgiveDial() {
	if l.dials < l.rules.MaxDials {
		l.dials++
		l.tries--
	}
}

func (l *Lifecycle) notStarted(facts Facts) Action {
	l.sends--
	if !l.rules.Repeatable && !l.rules.ResendNotStarted {
		return l.refuse(ReasonNotStarted)
	}
	return l.again(RetryNotStarted, ReasonNotStarted, facts)
}

func (l *Lifecycle) broken(facts Facts) Action {
	if facts.CanResume && l.resumes < l.rules.MaxResumes {
		l.resumes++
		l.retry = RetryResume
		return ActResume
	}
	reason := ReasonEndpointFailed
	if l.delivered {
		reason = ReasonAnswerBroken
	}
	return l.failed(RetryBrokenAnswer, reason, facts)
}

func (l *Lifecycle) preempted(facts Facts) Action {
	if !l.rules.Repeatable || (l.delivered && !facts.CanContinue) {
		return ActNothing
	}
	l.unsure = l.unsure || l.inFlight
	l.inFlight = false
	l.retry = RetryPreempted
	l.tries--
	return ActAsk
}

// failed ends an attempt that may have run. Only repeatable requests are tried again, and
// after a part of the answer went to the caller only those that can be continued.
func (l *Lifecycle) failed(retry RetryReason, reason Reason, facts Facts) Action {
	l.unsure = l.unsure || l.inFlight
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
	return l.again(retry, reason, facts)
}

// again asks for another grant if tries, time and budget allow it, and refuses otherwise.
func (l *Lifecycle) again(retry RetryReason, reason Reason, facts Facts) Action {
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
