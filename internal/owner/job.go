package owner

import (
	"context"
	"io"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Job is a request and the functions that attempt it.
type Job struct {
	Request admission.Request
	// Shard is the name of the group of endpoints that can serve the request: a model or a service.
	Shard string
	Rules request.Rules
	// RetryBudget is the class's allowed number of retries as a fraction of its first tries.
	RetryBudget float64
	// BudgetGroup is the name of the retry budget; empty means the name of the class.
	BudgetGroup string
	// Deadline is the time after which no retry begins; zero means never.
	Deadline time.Time
	// CanContinue is set if another endpoint can continue an interrupted answer.
	CanContinue bool
	// IsPoison reports whether the request must not be sent, because endpoints crash while running it; nil means never.
	// It is called before asking for an endpoint, and again before each send.
	IsPoison func() bool
	// IsHeld reports whether Hold has to be called before the request is sent, and once more if it turns true later: copies of
	// a request that has crashed endpoints are sent one at a time. Hold waits until the request may be sent, at most until a
	// time, and returns false and the time after which to retry if that takes longer. Nil means that nothing holds it.
	IsHeld func() bool
	Hold   func(ctx context.Context, until time.Time) (retryAfter time.Duration, ok bool)
	// Connect opens a connection to an endpoint for a successor of the present attempt, which is passed to Attempt or
	// closed; nil if attempts have none.
	Connect func(ctx context.Context, endpointID string, endpoint settings.Endpoint) (io.Closer, error)
	// Attempt sends the request to the granted endpoint and relays the answer.
	Attempt func(ctx context.Context, a *Attempt) Result
	// Resume continues an interrupted stream at the same endpoint; nil if it can't be resumed.
	Resume func(ctx context.Context, a *Attempt) Result
}

func (j *Job) isPoison() bool { return j.IsPoison != nil && j.IsPoison() }

func (j *Job) isHeld() bool { return j.IsHeld != nil && j.IsHeld() }

func (j *Job) budgetGroup() string {
	if j.BudgetGroup != "" {
		return j.BudgetGroup
	}
	return j.Request.Class
}

// Result is the result of an attempt.
type Result struct {
	// Event is EventWhole, EventBroken, EventNotStarted, EventWrongAnswer, EventDialFailed or
	// EventCallerGone.
	Event request.Event
	// CanResume is set if the endpoint keeps the stream for a resumption.
	CanResume bool
	// MayArrive is set if the attempt was given up and the endpoint may still read the request.
	MayArrive bool
	// EndpointEnded is set if the process of the endpoint is known to have ended.
	EndpointEnded bool
	// Err is the cause of a failure, for logs and explanations.
	Err error
}

// End is the result of a job.
type End struct {
	Outcome request.Outcome
	// Refusal is set unless the request was answered or its caller has disconnected.
	Refusal *request.Refusal
	// Endpoint is the ID of the endpoint granted last.
	Endpoint string
	Tokens   int
	// FirstToken is the time from arrival to the first token, or 0.
	FirstToken time.Duration
	Tries      int
	Sends      int
	// Steps holds the decisions on the request, the earliest first.
	Steps []explain.Step
}
