package owner

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/httphead"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// retryBackoff is the back-off before a retry, with full jitter. It is short compared with the latency targets (150 ms
// and more), so that a retry can still meet them.
var retryBackoff = backoff.Doubling{First: 20 * time.Millisecond, Longest: 2 * time.Second}

// RetryDelay returns the delay before a retry, given the number of tries. Random is in [0, 1).
func RetryDelay(tries int, random float64) time.Duration {
	return backoff.Jitter(retryBackoff.Span(tries), 0, random)
}

// run is the state of one job.
type run struct {
	owner     *Owner
	job       *Job
	lifecycle *request.Lifecycle
	arrived   time.Time

	// ticket, endpointID, endpoint, fetchFrom and unprocessedTokens belong to the latest grant.
	ticket            Ticket
	endpointID        string
	endpoint          settings.Endpoint
	fetchFrom         string
	unprocessedTokens int

	// tokens is the length of the answer over all attempts that continue each other, and tokensBefore the part of it
	// that earlier attempts received.
	tokens       int
	tokensBefore int
	firstToken   time.Duration
	// reportedAt and reportedTokens describe the latest progress report to the ticket.
	reportedAt     time.Time
	reportedTokens int

	arrivals arrivals
	// waitsForBudget is set if the next try has to wait until the retry budget allows it, mayArrive if the endpoint may still
	// read the try before.
	waitsForBudget, mayArrive bool

	// connection is the open connection to the granted endpoint, if the grant is that of a successor.
	connection io.Closer

	retryAfter time.Duration
	detail     string

	// mu guards what PrepareSuccessor and RecordWait use while an attempt goes on: the lifecycle, job.Request,
	// job.CanContinue, tokens, successor and steps.
	mu        sync.Mutex
	successor *Successor
	steps     []explain.Step
}

func (r *run) loop(ctx context.Context) {
	action := request.ActAsk
	for {
		switch action {
		case request.ActAsk:
			action = r.ask(ctx)
		case request.ActSend:
			action = r.attempt(ctx, r.job.Attempt)
		case request.ActResume:
			r.owner.parts.Counters.CountRetry(r.lifecycle.Retry())
			action = r.attempt(ctx, r.job.Resume)
		default:
			r.release(admission.Cancelled)
			return
		}
	}
}

// ask gets a grant, after a back-off if this is a retry.
func (r *run) ask(ctx context.Context) request.Action {
	r.release(admission.Failed)
	if r.isPoison() {
		return request.ActFinish
	}
	if r.lifecycle.Tries() > 0 || r.job.Request.Retry {
		r.countRetry()
		if !r.backOff(ctx) {
			return r.endCancelled(ctx)
		}
	}
	if r.waitsForBudget && !r.waitForBudget(ctx) {
		if ctx.Err() != nil {
			return r.endCancelled(ctx)
		}
		r.lifecycle.Refuse(request.ReasonRetryBudget)
		return request.ActFinish
	}
	if !r.hold(ctx) {
		if ctx.Err() != nil {
			return r.endCancelled(ctx)
		}
		return request.ActFinish
	}
	r.job.Request.Received = r.tokens
	r.job.Request.HasBegun = r.hasBegun()
	ticket, decision, err := r.owner.parts.Admitter.Ask(ctx, r.job.Shard, r.job.Request)
	if err != nil {
		return r.endCancelled(ctx)
	}
	r.recordDecision(&decision)
	if decision.Kind == admission.Refuse {
		r.retryAfter = decision.RetryAfter
		r.detail = "the scheduler gave the request up"
		r.lifecycle.Refuse(request.Reason(decision.Reason))
		return request.ActFinish
	}
	r.ticket = ticket
	r.job.Request.Retry = true
	return r.checkGrant(&decision)
}

// isPoison reports whether the request must not be sent, and refuses it in that case.
func (r *run) isPoison() bool {
	if !r.job.isPoison() {
		return false
	}
	r.detail = "endpoints end when they run this request"
	r.lifecycle.Refuse(request.ReasonPoison)
	return true
}

// A request that has not begun waits in Hold for a part of its latency target at most, and for minHold at least.
const (
	holdTargetDivisor = 4
	minHold           = 50 * time.Millisecond
)

// hold waits until the request may be sent. It refuses the request and reports false if that takes too long, or if ctx ends.
func (r *run) hold(ctx context.Context) bool {
	if !r.job.isHeld() {
		return true
	}
	now := r.owner.parts.Clock()
	until := r.begunLimit(now)
	if !r.hasBegun() {
		until = now.Add(max(max(r.job.Request.FirstToken, r.job.Request.WholeAnswer)/holdTargetDivisor, minHold))
	}
	retryAfter, ok := r.job.Hold(ctx, until)
	if ok {
		r.recordStep("held", "", nil)
		return true
	}
	if ctx.Err() == nil && !r.isPoison() {
		r.retryAfter = retryAfter
		r.detail = "endpoints have ended under this request, and another copy of it is tried first"
		r.lifecycle.Refuse(request.ReasonSuspect)
	}
	return false
}

// countRetry counts a retry by its reason.
func (r *run) countRetry() {
	retry := r.lifecycle.Retry()
	r.owner.parts.Counters.CountRetry(retry)
	r.recordStep("retry", string(retry), nil)
}

// backOff waits before a retry, and reports false if ctx ended.
func (r *run) backOff(ctx context.Context) bool {
	return lifetime.Sleep(ctx, max(RetryDelay(r.lifecycle.Tries(), r.owner.parts.Random()), r.crashDelay()))
}

// checkGrant checks a grant against the latest directory entry of its endpoint, which may have been taken out of
// service since the decision.
func (r *run) checkGrant(decision *admission.Decision) request.Action {
	if r.isPoison() {
		r.release(admission.Unused)
		return request.ActFinish
	}
	if r.job.isHeld() {
		r.release(admission.Unused)
		return r.lifecycle.Apply(request.EventGrantVoid, r.facts(false))
	}
	e, ok := r.owner.parts.Endpoints(decision.Endpoint)
	if !ok || !decision.Usable(r.owner.parts.Clock()) {
		r.release(admission.Unused)
		// The host that decided may not have received that update yet and would grant the endpoint again.
		r.job.Request.Avoid = append(r.job.Request.Avoid, decision.Endpoint)
		return r.lifecycle.Apply(request.EventGrantVoid, r.facts(false))
	}
	return r.useGrant(decision, e)
}

// useGrant makes the granted endpoint that of the next attempt.
func (r *run) useGrant(decision *admission.Decision, e settings.Endpoint) request.Action {
	r.endpointID, r.endpoint, r.fetchFrom = decision.Endpoint, e, decision.FetchFrom
	r.retryAfter = decision.RetryAfter
	r.unprocessedTokens = decision.UnprocessedTokens
	r.tokensBefore = r.tokens
	r.reportedAt = time.Time{}
	return r.lifecycle.Apply(request.EventGranted, r.facts(false))
}

// attempt makes one try and returns the action that follows from its result.
func (r *run) attempt(ctx context.Context, try func(context.Context, *Attempt) Result) request.Action {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &Attempt{
		run: r, Number: r.lifecycle.Tries(), EndpointID: r.endpointID, Endpoint: r.endpoint, FetchFrom: r.fetchFrom,
		UnprocessedTokens: r.unprocessedTokens, Connection: r.connection,
	}
	r.connection = nil
	done := make(chan struct{})
	go a.watchPreemption(r.ticket.Preempted(), cancel, done)
	result := try(ctx, a)
	close(done)
	if result.MayArrive {
		r.arrivals.abandon()
	} else {
		r.arrivals.ended()
	}
	return r.goOn(r.endAttempt(ctx, result))
}

// endAttempt returns the action that follows from the result of an attempt. Ctx is the context of the attempt.
func (r *run) endAttempt(ctx context.Context, result Result) request.Action {
	cause := context.Cause(ctx)
	event := result.Event
	switch {
	case event == request.EventWhole:
	case errors.Is(cause, ErrPreempted):
		event = request.EventPreempted
	case errors.Is(cause, ErrStopped):
		r.countWaste(counters.WasteStopped)
		return r.endCancelled(ctx)
	case errors.Is(cause, ErrTimeLimit):
		r.countWaste(counters.WasteTimeLimit)
		return r.endCancelled(ctx)
	case errors.Is(cause, ErrSlowCaller), errors.Is(result.Err, ErrSlowCaller):
		r.detail = "the caller did not read its answer"
		r.countWaste(counters.WasteCallerGone)
		r.lifecycle.Refuse(request.ReasonSlowCaller)
		return request.ActFinish
	case errors.Is(cause, context.Canceled) || event == request.EventCallerGone:
		r.countWaste(counters.WasteCallerGone)
		return r.endCancelled(ctx)
	}
	return r.afterAttempt(event, result)
}

// afterAttempt records the end of an attempt and applies it to the lifecycle.
func (r *run) afterAttempt(event request.Event, result Result) request.Action {
	reason := ""
	if result.Err != nil {
		reason = result.Err.Error()
		reason = reason[:min(len(reason), maxStepReasonBytes)]
		r.reportInvalidAnswer(result.Err)
	}
	r.recordStep(eventNames[event], reason, nil)
	if event == request.EventWhole {
		r.release(admission.Answered)
		return r.lifecycle.Apply(event, r.facts(false))
	}
	action := r.applyFailure(event, &result)
	if action == request.ActResume {
		return action
	}
	r.abandonAttempt(event, action)
	return action
}

const (
	// maxStepReasonBytes bounds the reasons of steps: errors of net/http quote what an endpoint has sent.
	maxStepReasonBytes = 512
	// maxLoggedIDBytes bounds the IDs in lines about invalid answers, which callers choose.
	maxLoggedIDBytes = 256
)

// reportInvalidAnswer logs and counts an attempt whose endpoint has sent what is no answer, or no whole one.
func (r *run) reportInvalidAnswer(err error) {
	var invalid *httphead.InvalidError
	if !errors.As(err, &invalid) {
		return
	}
	parts, id := &r.owner.parts, r.job.Request.ID
	parts.Counters.CountInvalidAnswer(invalid.Reason)
	parts.Log.WithFields(logrus.Fields{
		"id": id[:min(len(id), maxLoggedIDBytes)], "endpoint": r.endpointID, "reason": invalid.Reason, "detail": invalid.Detail,
	}).Warn("the endpoint's answer is invalid, its call is broken")
}

// applyFailure applies the end of an attempt that failed. The retry that follows is counted in the same step, since other
// requests may fail at the same moment.
func (r *run) applyFailure(event request.Event, result *Result) request.Action {
	facts := r.facts(result.CanResume && r.job.Resume != nil)
	facts.EndpointEnded = result.EndpointEnded && r.hasBegun()
	hasReserved := !facts.BudgetLeft && r.arrivals.reserve(r.endpointID, result.MayArrive, r.hasBegun())
	mayWait := !facts.BudgetLeft && !hasReserved && r.hasBegun()
	facts.BudgetLeft = facts.BudgetLeft || hasReserved || mayWait
	action := r.lifecycle.Apply(event, facts)
	spends := action == request.ActAsk && r.lifecycle.Retry().SpendsBudget()
	if hasReserved && !spends {
		r.arrivals.release()
	}
	r.waitsForBudget, r.mayArrive = mayWait && spends, result.MayArrive
	return action
}

// abandonAttempt ends the grant and adds the endpoint to those that further tries avoid. A preempted request may return
// to any endpoint.
func (r *run) abandonAttempt(event request.Event, next request.Action) {
	r.job.Request.Avoid = append(r.job.Request.Avoid, r.endpointID)
	cause, result := counters.WasteBroken, admission.Failed
	if event == request.EventPreempted {
		cause, result = counters.WastePreempted, admission.Preempted
		r.job.Request.Avoid = nil
	}
	r.detail = "the endpoint failed"
	if !r.lifecycle.Delivered() || next == request.ActFinish {
		r.countWaste(cause)
	}
	r.release(result)
	if !r.lifecycle.Delivered() {
		r.tokens = 0
	}
}

// eventNames holds the names of the steps in explanations and logs.
var eventNames = map[request.Event]string{
	request.EventDialFailed:  "dial failed",
	request.EventNotStarted:  "not started",
	request.EventWithheld:    "withheld",
	request.EventBroken:      "broken",
	request.EventWrongAnswer: "wrong answer",
	request.EventWhole:       "answered",
	request.EventPreempted:   "preempted",
}

// endCancelled ends the job after its context was cancelled.
func (r *run) endCancelled(ctx context.Context) request.Action {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrStopped):
		r.detail = "the host stops"
		r.lifecycle.Refuse(request.ReasonStopped)
	case errors.Is(cause, ErrTimeLimit):
		r.detail = "the request's time is over"
		r.lifecycle.Refuse(request.ReasonTimeLimit)
	default:
		return r.lifecycle.Apply(request.EventCallerGone, request.Facts{})
	}
	return request.ActFinish
}

// release ends the grant, if there is one.
func (r *run) release(result admission.Result) {
	if r.ticket == nil {
		return
	}
	r.ticket.Finished(result, r.tokens-r.tokensBefore)
	r.ticket = nil
}

// countWaste counts the tokens generated so far as wasted.
func (r *run) countWaste(cause counters.WasteCause) {
	r.owner.parts.Counters.CountWastedTokens(cause, r.tokens)
}

// facts returns what is known to this host. The budget has a retry left if it is that of a successor.
func (r *run) facts(canResume bool) request.Facts {
	deadline := r.job.Deadline
	return request.Facts{
		CanResume:   canResume,
		CanContinue: r.job.CanContinue,
		Expired:     !deadline.IsZero() && r.owner.parts.Clock().After(deadline),
		BudgetLeft:  r.successor != nil,
	}
}

func (r *run) recordDecision(decision *admission.Decision) {
	r.addStep(explain.Step{
		At: r.owner.parts.Clock(), What: decision.Kind.String(), Endpoint: decision.Endpoint,
		Reason: string(decision.Reason), Figures: &decision.Figures,
	})
}

func (r *run) recordStep(what, reason string, figures *admission.Figures) {
	r.addStep(explain.Step{
		At: r.owner.parts.Clock(), What: what, Endpoint: r.endpointID, Reason: reason, Figures: figures,
	})
}

func (r *run) addStep(step explain.Step) {
	r.owner.parts.Explained.Add(r.job.Request.ID, step)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, step)
}

func (r *run) end() End {
	end := End{
		Outcome:    r.lifecycle.Outcome(),
		Endpoint:   r.endpointID,
		Tokens:     r.tokens,
		FirstToken: r.firstToken,
		Tries:      r.lifecycle.Tries(),
		Sends:      r.lifecycle.Sends(),
	}
	if !r.job.Rules.Repeatable && r.lifecycle.Sends() > 1 {
		r.owner.parts.Counters.Resends.Inc()
	}
	switch end.Outcome {
	case request.OutcomeRefused, request.OutcomeBroken:
		end.Refusal = &request.Refusal{
			Reason: r.lifecycle.Reason(), Ran: r.lifecycle.Ran(), Detail: r.detail, RetryAfter: r.retryAfter,
		}
		r.owner.parts.Counters.CountRefusal(r.lifecycle.Reason())
		r.recordStep("refused", string(r.lifecycle.Reason()), nil)
	case request.OutcomeCallerGone:
		r.owner.parts.Counters.CountRefusal(request.ReasonCallerGone)
		r.recordStep("caller gone", "", nil)
	}
	end.Steps = r.steps
	return end
}
