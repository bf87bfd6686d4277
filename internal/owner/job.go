package owner

import (
	"context"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// Job is one request and how to attempt it.
type Job struct {
	Request admission.Request
	// Shard is the name of the endpoints that can serve it: a model or a service.
	Shard string
	Rules request.Rules
	// RetryBudget is the class's retries as a fraction of its first tries.
	RetryBudget float64
	// BudgetGroup is the name of the retry budget; empty means the class.
	BudgetGroup string
	// Deadline is when no retry begins any more; zero means never.
	Deadline time.Time
	// CanContinue is set if another endpoint can continue a broken answer.
	CanContinue bool
	// IsPoison reports whether the request must not be sent any more, because endpoints end when they run it; nil
	// means never. It is asked before an endpoint is, and again before each send.
	IsPoison func() bool
	// Attempt sends the request to the granted endpoint and relays the answer.
	Attempt func(ctx context.Context, a *Attempt) Result
	// Resume continues a broken stream at the same endpoint; nil if it can't.
	Resume func(ctx context.Context, a *Attempt) Result
}

func (j *Job) isPoison() bool { return j.IsPoison != nil && j.IsPoison() }

func (j *Job) budgetGroup() string {
	if j.BudgetGroup != "" {
		return j.BudgetGroup
	}
	return j.Request.Class
}

// Result is how an attempt ended.
type Result struct {
	// Event is EventWhole, EventBroken, EventNotStarted, EventWrongAnswer, EventDialFailed or
	// EventCallerGone.
	Event request.Event
	// CanResume is set if the endpoint keeps the stream.
	CanResume bool
	// Err is the cause, for logs and explanations.
	Err error
}

// End is how a job ended.
type End struct {
	Outcome request.Outcome
	// Refusal is set unless the request was answered or its caller is gone.
	Refusal *request.Refusal
	// Endpoint is the ID of the last endpoint that was granted.
	Endpoint string
	Tokens   int
	// FirstToken is the time from arrival to the first token, or 0.
	FirstToken time.Duration
	Tries      int
	Sends      int
	// Steps are the decisions on the way, the earliest first.
	Steps []explain.Step
}
