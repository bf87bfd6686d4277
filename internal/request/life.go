package request

// Event is something that happened to a request.
type Event uint8

// The events of a request's life.
const (
	// EventGranted: the scheduler granted an endpoint.
	EventGranted Event = iota
	// EventGrantVoid: the grant could not be used in time, or the endpoint is
	// known to be leaving. Nothing was sent.
	EventGrantVoid
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
	// EventPreempted: the scheduler took the endpoint back for a higher tier.
	EventPreempted
	// EventCallerGone: the caller went away.
	EventCallerGone
)

// Action is what the owner does next.
type Action uint8

// The actions.
const (
	// ActNothing: go on with what is under way.
	ActNothing Action = iota
	// ActAsk: ask the scheduler for a grant.
	ActAsk
	// ActSend: send the request to the granted endpoint.
	ActSend
	// ActResume: take up the broken stream at the same engine.
	ActResume
	// ActFinish: the request has ended; see Life.Outcome.
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
	// MaxTries bounds the times the request is sent or tried to be sent.
	MaxTries int
	// MaxDials bounds the failed dials that do not count against MaxTries; 0
	// means that all of them count.
	MaxDials int
	// ResendNotStarted allows another endpoint for a request that may not be
	// repeated, after each endpoint that got it said that it did not start it.
	ResendNotStarted bool
	// MaxResumes bounds the times a stream is taken up at its engine.
	MaxResumes int
}

// Facts is what the owner knows at the time of an event.
type Facts struct {
	// CanResume: the broken attempt was a stream that its engine can resume.
	CanResume bool
	// CanContinue: engines of the shard can go on from the delivered text.
	CanContinue bool
	// Expired: the request's deadline has passed, so that it is not tried
	// again.
	Expired bool
	// BudgetLeft: the class's retry budget allows one more try.
	BudgetLeft bool
}

// Life is the state of one request. The zero value is not ready; use NewLife.
type Life struct {
	rules     Rules
	outcome   Outcome
	reason    Reason
	retry     RetryReason
	tries     int
	dials     int
	resumes   int
	sends     int
	inFlight  bool
	unsure    bool
	delivered bool
}

// NewLife starts the life of a request that waits for its first grant.
func NewLife(rules Rules) *Life {
	return &Life{rules: rules}
}

// Apply takes an event and says what to do next. Events after the end change
// nothing.
func (l *Life) Apply(event Event, facts Facts) Action {
	if l.outcome != OutcomeOpen {
		return ActFinish
	}
	switch event {
	case EventGranted:
		return l.granted()
	case EventGrantVoid:
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

// Refuse ends the request for a reason that lies outside its attempts: the
// scheduler gave it up, or the host stops. It does nothing after the end.
func (l *Life) Refuse(reason Reason) {
	if l.outcome == OutcomeOpen {
		l.refuse(reason)
	}
}

// Outcome tells how the request ended, or OutcomeOpen.
func (l *Life) Outcome() Outcome { return l.outcome }

// Reason tells why the request was refused or broken off.
func (l *Life) Reason() Reason { return l.reason }

// Retry tells why the last ActAsk or ActResume is a retry.
func (l *Life) Retry() RetryReason { return l.retry }

// Sends counts the times the request may have been run by an endpoint.
func (l *Life) Sends() int { return l.sends }

// Tries counts the grants that were used, with or without a send.
func (l *Life) Tries() int { return l.tries }

// Delivered tells whether a part of an answer went to the caller.
func (l *Life) Delivered() bool { return l.delivered }

// Ran tells what can honestly be said about a request without an answer.
func (l *Life) Ran() Ran {
	if l.unsure || l.inFlight {
		return RanUnknown
	}
	return RanNo
}

func (l *Life) granted() Action {
	if l.Ran() == RanUnknown && !l.rules.Repeatable {
		// This can't come: nothing asks again for such a request once it was
		// sent. It is checked here because it is the promise itself.
		return l.refuse(ReasonInternal)
	}
	l.tries++
	return ActSend
}

// forgiveDial gives a try back that reached no endpoint.
func (l *Life) forgiveDial() {
	if l.dials < l.rules.MaxDials {
		l.dials++
		l.tries--
	}
}

func (l *Life) notStarted(facts Facts) Action {
	l.sends--
	if !l.rules.Repeatable && !l.rules.ResendNotStarted {
		return l.refuse(ReasonNotStarted)
	}
	return l.again(RetryNotStarted, ReasonNotStarted, facts)
}

func (l *Life) broken(facts Facts) Action {
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

func (l *Life) preempted(facts Facts) Action {
	if !l.rules.Repeatable || (l.delivered && !facts.CanContinue) {
		return ActNothing
	}
	l.unsure = l.unsure || l.inFlight
	l.inFlight = false
	l.retry = RetryPreempted
	l.tries--
	return ActAsk
}

// failed ends an attempt that may have run.
func (l *Life) failed(retry RetryReason, reason Reason, facts Facts) Action {
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

// again asks for another grant if tries, time and budget allow it.
func (l *Life) again(retry RetryReason, reason Reason, facts Facts) Action {
	switch {
	case l.tries >= l.rules.MaxTries, facts.Expired:
		return l.refuse(reason)
	case !facts.BudgetLeft && retry != RetryGrantVoid:
		// A void grant is no try: nothing was sent, and no endpoint failed.
		return l.refuse(ReasonRetryBudget)
	}
	l.retry = retry
	return ActAsk
}

func (l *Life) refuse(reason Reason) Action {
	l.reason = reason
	l.outcome = OutcomeRefused
	if l.delivered {
		l.outcome = OutcomeBroken
	}
	return ActFinish
}
