// Package owner takes one request through its life on the host that accepted
// it: it asks for grants, makes the attempts, decides on retries by the rules of
// package request, and reports to the scheduler.
package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// The causes that end an attempt's context.
var (
	// ErrStopped: the host stops and can wait no longer.
	ErrStopped = merry.Sentinel("host stops")
	// ErrPreempted: the scheduler took the endpoint back.
	ErrPreempted = merry.Sentinel("preempted")
	// ErrStalled: the endpoint sent nothing for too long.
	ErrStalled = merry.Sentinel("endpoint stalled")
	// ErrTimeLimit: the request's time is over.
	ErrTimeLimit = merry.Sentinel("time limit reached")
	// ErrSlowCaller: the caller did not read what was ready.
	ErrSlowCaller = merry.Sentinel("caller does not read")
)

// Job is one request and how to attempt it.
type Job struct {
	Request admission.Request
	Shard   string
	Rules   request.Rules
	// RetryBudget is the class's retries as a fraction of its first tries.
	RetryBudget float64
	// BudgetGroup names the retry budget; empty means the class.
	BudgetGroup string
	// Deadline is when no retry begins any more; zero means never.
	Deadline time.Time
	// CanContinue says that a broken answer can be gone on with elsewhere.
	CanContinue bool
	// Attempt sends the request to the granted endpoint and relays the answer.
	Attempt func(ctx context.Context, a *Attempt) Result
	// Resume takes up a broken stream at the same endpoint; nil if it can't.
	Resume func(ctx context.Context, a *Attempt) Result
}

func (j *Job) budgetGroup() string {
	if j.BudgetGroup != "" {
		return j.BudgetGroup
	}
	return j.Request.Class
}

// Result is how an attempt ended.
type Result struct {
	// Event is EventWhole, EventBroken, EventNotStarted, EventWrongAnswer,
	// EventDialFailed or EventCallerGone.
	Event request.Event
	// CanResume says that the endpoint keeps the stream.
	CanResume bool
	// Err is the cause, for logs and explanations.
	Err error
}

// End is how a job ended.
type End struct {
	Outcome request.Outcome
	// Refusal is set unless the request was answered or its caller is gone.
	Refusal  *request.Refusal
	Endpoint string
	Tokens   int
	// FirstToken is the time from arrival to the first token, or 0.
	FirstToken time.Duration
	Tries      int
	Sends      int
	// Steps are the decisions on the way, the earliest first.
	Steps []explain.Step
}

// Owner runs the jobs of this host.
type Owner struct {
	host      string
	scheduler Scheduler
	endpoints Endpoints
	counters  *counters.Counters
	ring      *explain.Ring
	budgets   Budget
	clock     func() time.Time
	random    func() float64

	mu      sync.Mutex
	open    int
	idle    chan struct{}
	stopped chan struct{}
}

// Scheduler grants endpoints to requests.
type Scheduler interface {
	// Ask submits a request and waits for the decision. It fails only when ctx
	// ends; the request is withdrawn then. A granted ticket must be finished.
	Ask(ctx context.Context, shard string, request admission.Request) (Ticket, admission.Decision, error)
}

// Ticket is the standing of one granted request with its scheduler.
type Ticket interface {
	// Preempted is closed when the scheduler takes the endpoint back.
	Preempted() <-chan struct{}
	// Started says that the grant is used.
	Started()
	// FirstToken says that the first token came.
	FirstToken()
	// Progress says how many tokens came so far.
	Progress(tokens int)
	// Finished ends the attempt and gives the place back.
	Finished(result admission.Result, tokens int)
}

// Endpoints gives the newest knowledge of an endpoint, and whether it may
// receive work.
type Endpoints func(id string) (settings.Endpoint, bool)

// Budget bounds retries. Group is a class or a service, as the budget sees fit.
type Budget interface {
	// FirstTry adds what one first try earns; fraction is the retries allowed for
	// each first try.
	FirstTry(group string, fraction float64)
	// Has reports whether the group may retry once more.
	Has(group string) bool
	// Spend takes one retry.
	Spend(group string)
}

// New makes an owner. Random gives numbers from 0 up to 1.
func New(host string, scheduler Scheduler, endpoints Endpoints, budget Budget, c *counters.Counters, ring *explain.Ring,
	clock func() time.Time, random func() float64,
) *Owner {
	return &Owner{
		host:      host,
		scheduler: scheduler,
		endpoints: endpoints,
		counters:  c,
		ring:      ring,
		budgets:   budget,
		clock:     clock,
		random:    random,
		idle:      make(chan struct{}, 1),
		stopped:   make(chan struct{}),
	}
}

// Open counts the jobs under way.
func (o *Owner) Open() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.open
}

// Drain waits until no job is open. If ctx ends first, the rest are told that
// the host stops, and Drain waits for them.
func (o *Owner) Drain(ctx context.Context) int {
	for o.Open() > 0 {
		select {
		case <-o.idle:
		case <-ctx.Done():
			rest := o.Open()
			o.stop()
			for o.Open() > 0 {
				<-o.idle
			}
			return rest
		}
	}
	return 0
}

func (o *Owner) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case <-o.stopped:
	default:
		close(o.stopped)
	}
}

func (o *Owner) enter() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open++
}

func (o *Owner) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open--
	if o.open > 0 {
		return
	}
	select {
	case o.idle <- struct{}{}:
	default:
	}
}

// Run takes a job to its end. Ctx is the caller's: when it ends, the caller is
// gone.
func (o *Owner) Run(ctx context.Context, job *Job) End {
	o.enter()
	defer o.leave()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer o.cancelOnStop(cancel)()

	r := &run{owner: o, job: job, life: request.NewLife(job.Rules), arrived: job.Request.Arrived}
	o.budgets.FirstTry(job.budgetGroup(), job.RetryBudget)
	o.ring.Begin(explain.Record{
		ID: job.Request.ID, Host: o.host, Workspace: job.Request.Workspace,
		Class: job.Request.Class, Shard: job.Shard, Tier: job.Request.Tier,
	})
	r.loop(ctx)
	return r.end()
}

// cancelOnStop ends the job when the host can wait no longer. The function that
// it gives ends the watch.
func (o *Owner) cancelOnStop(cancel context.CancelCauseFunc) func() {
	done := make(chan struct{})
	go func() {
		select {
		case <-o.stopped:
			cancel(ErrStopped)
		case <-done:
		}
	}()
	return func() { close(done) }
}

// run is the state of one job.
type run struct {
	owner   *Owner
	job     *Job
	life    *request.Life
	arrived time.Time

	ticket      Ticket
	endpointID  string
	endpoint    settings.Endpoint
	fetchFrom   string
	unprocessed int
	tokens      int
	// base is the tokens that earlier attempts brought, which this one goes on
	// from.
	base       int
	firstToken time.Duration
	lastTold   time.Time
	toldTokens int
	retryAfter time.Duration
	detail     string
	steps      []explain.Step
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
			r.owner.counters.Retried(r.life.Retry())
			action = r.attempt(ctx, r.job.Resume)
		default:
			r.release(admission.Cancelled)
			return
		}
	}
}

// ask gets a grant, after a back-off if this is a retry.
func (r *run) ask(ctx context.Context) request.Action {
	o := r.owner
	r.release(admission.Failed)
	if r.life.Tries() > 0 || r.job.Request.Retry {
		o.counters.Retried(r.life.Retry())
		if retry := r.life.Retry(); retry != request.RetryPreempted && retry != request.RetryGrantVoid {
			o.budgets.Spend(r.job.budgetGroup())
		}
		r.step("retry", string(r.life.Retry()), nil)
		if !r.backOff(ctx) {
			return r.gone(ctx)
		}
	}
	ticket, decision, err := o.scheduler.Ask(ctx, r.job.Shard, r.job.Request)
	if err != nil {
		return r.gone(ctx)
	}
	r.note(explain.Step{
		At: o.clock(), What: decision.Kind.String(), Endpoint: decision.Endpoint,
		Reason: string(decision.Reason), Figures: &decision.Figures,
	})
	if decision.Kind == admission.Refuse {
		r.retryAfter = decision.RetryAfter
		r.detail = "the scheduler gave the request up"
		r.life.Refuse(request.Reason(decision.Reason))
		return request.ActFinish
	}
	r.ticket = ticket
	r.job.Request.Retry = true
	return r.accept(decision)
}

// accept checks a grant against the newest settings: the endpoint may have been
// ordered out since it was decided.
func (r *run) accept(decision admission.Decision) request.Action {
	o := r.owner
	e, ok := o.endpoints(decision.Endpoint)
	if !ok || !decision.Usable(o.clock()) {
		r.release(admission.Unused)
		// The scheduler may not have the order yet.
		r.job.Request.Avoid = append(r.job.Request.Avoid, decision.Endpoint)
		return r.life.Apply(request.EventGrantVoid, r.facts(false))
	}
	r.endpointID, r.endpoint, r.fetchFrom = decision.Endpoint, e, decision.FetchFrom
	r.unprocessed = decision.UnprocessedTokens
	r.base = r.tokens
	r.lastTold = time.Time{}
	return r.life.Apply(request.EventGranted, r.facts(false))
}

// attempt makes one try and turns its result into the next action.
func (r *run) attempt(ctx context.Context, try func(context.Context, *Attempt) Result) request.Action {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &Attempt{run: r, Number: r.life.Tries(), EndpointID: r.endpointID, Endpoint: r.endpoint, FetchFrom: r.fetchFrom, UnprocessedTokens: r.unprocessed}
	done := make(chan struct{})
	go a.watch(r.ticket.Preempted(), cancel, done)
	result := try(ctx, a)
	close(done)
	cause := context.Cause(ctx)
	event := result.Event
	switch {
	case event == request.EventWhole:
	case errors.Is(cause, ErrPreempted):
		event = request.EventPreempted
	case errors.Is(cause, ErrStopped):
		r.waste(counters.WasteStopped)
		return r.gone(ctx)
	case errors.Is(cause, ErrTimeLimit):
		r.waste(counters.WasteTimeLimit)
		return r.gone(ctx)
	case errors.Is(cause, ErrSlowCaller), errors.Is(result.Err, ErrSlowCaller):
		r.detail = "the caller did not read its answer"
		r.waste(counters.WasteCallerGone)
		r.life.Refuse(request.ReasonSlowCaller)
		return request.ActFinish
	case errors.Is(cause, context.Canceled) || event == request.EventCallerGone:
		r.waste(counters.WasteCallerGone)
		return r.gone(ctx)
	}
	return r.after(event, result)
}

// after books the end of an attempt.
func (r *run) after(event request.Event, result Result) request.Action {
	reason := ""
	if result.Err != nil {
		reason = result.Err.Error()
	}
	r.step(eventNames[event], reason, nil)
	if event == request.EventWhole {
		r.release(admission.Answered)
		return r.life.Apply(event, r.facts(false))
	}
	action := r.life.Apply(event, r.facts(result.CanResume && r.job.Resume != nil))
	if action == request.ActResume {
		return action
	}
	r.job.Request.Avoid = append(r.job.Request.Avoid, r.endpointID)
	cause := counters.WasteBroken
	outcome := admission.Failed
	if event == request.EventPreempted {
		cause, outcome = counters.WastePreempted, admission.Preempted
		r.job.Request.Avoid = nil
	}
	r.detail = "the endpoint failed"
	if !r.life.Delivered() || action == request.ActFinish {
		r.waste(cause)
	}
	r.release(outcome)
	if !r.life.Delivered() {
		r.tokens = 0
	}
	return action
}

var eventNames = map[request.Event]string{
	request.EventDialFailed:  "dial failed",
	request.EventNotStarted:  "not started",
	request.EventBroken:      "broken",
	request.EventWrongAnswer: "wrong answer",
	request.EventWhole:       "answered",
	request.EventPreempted:   "preempted",
}

// gone ends the job after its context ended.
func (r *run) gone(ctx context.Context) request.Action {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrStopped):
		r.detail = "the host stops"
		r.life.Refuse(request.ReasonStopped)
	case errors.Is(cause, ErrTimeLimit):
		r.detail = "the request's time is over"
		r.life.Refuse(request.ReasonTimeLimit)
	default:
		return r.life.Apply(request.EventCallerGone, request.Facts{})
	}
	return request.ActFinish
}

func (r *run) release(result admission.Result) {
	if r.ticket == nil {
		return
	}
	r.ticket.Finished(result, r.tokens-r.base)
	r.ticket = nil
}

// waste counts the tokens generated so far as of no use.
func (r *run) waste(cause counters.Waste) {
	r.owner.counters.Wasted(cause, r.tokens)
}

func (r *run) facts(canResume bool) request.Facts {
	deadline := r.job.Deadline
	return request.Facts{
		CanResume:   canResume,
		CanContinue: r.job.CanContinue,
		Expired:     !deadline.IsZero() && r.owner.clock().After(deadline),
		BudgetLeft:  r.owner.budgets.Has(r.job.budgetGroup()),
	}
}

func (r *run) step(what, reason string, figures *admission.Figures) {
	r.note(explain.Step{
		At: r.owner.clock(), What: what, Endpoint: r.endpointID, Reason: reason, Figures: figures,
	})
}

func (r *run) note(step explain.Step) {
	r.owner.ring.Add(r.job.Request.ID, step)
	r.steps = append(r.steps, step)
}

// retryBackoff is the wait before a retry, with full jitter.
var retryBackoff = backoff.Doubling{First: 20 * time.Millisecond, Longest: 2 * time.Second}

// backOff waits before a retry, and reports false if ctx ended.
func (r *run) backOff(ctx context.Context) bool {
	return lifetime.Sleep(ctx, backoff.Jitter(retryBackoff.Span(r.life.Tries()), 0, r.owner.random()))
}

func (r *run) end() End {
	end := End{
		Outcome:    r.life.Outcome(),
		Endpoint:   r.endpointID,
		Tokens:     r.tokens,
		FirstToken: r.firstToken,
		Tries:      r.life.Tries(),
		Sends:      r.life.Sends(),
	}
	if !r.job.Rules.Repeatable && r.life.Sends() > 1 {
		r.owner.counters.Resends.Inc()
	}
	switch end.Outcome {
	case request.OutcomeRefused, request.OutcomeBroken:
		end.Refusal = &request.Refusal{
			Reason: r.life.Reason(), Ran: r.life.Ran(), Detail: r.detail, RetryAfter: r.retryAfter,
		}
		r.owner.counters.Refused(r.life.Reason())
		r.step("refused", string(r.life.Reason()), nil)
	case request.OutcomeCallerGone:
		r.owner.counters.Refused(request.ReasonCallerGone)
		r.step("caller gone", "", nil)
	}
	end.Steps = r.steps
	return end
}
