package request

import "time"

// Reason is the reason for which a request was refused or its answer aborted. The set is closed, and each reason has
// a counter. The values appear in answers, logs and metrics.
type Reason string

// The reasons for a refusal.
const (
	ReasonNotReady       Reason = "not_ready"
	ReasonUnknownKey     Reason = "unknown_key"
	ReasonBadRequest     Reason = "bad_request"
	ReasonBodyTooLarge   Reason = "body_too_large"
	ReasonSlowCaller     Reason = "slow_caller"
	ReasonUnknownClass   Reason = "unknown_class"
	ReasonUnknownModel   Reason = "unknown_model"
	ReasonUnknownService Reason = "unknown_service"
	ReasonKeyUsed        Reason = "idempotency_key_used"
	ReasonClaimsAway     Reason = "claims_unavailable"
	ReasonNoRoom         Reason = "no_room"
	ReasonWorkspaceRoom  Reason = "workspace_room"
	ReasonTooLate        Reason = "too_late"
	ReasonMaxWait        Reason = "max_wait"
	ReasonTimeLimit      Reason = "time_limit"
	ReasonHeadTooLarge   Reason = "head_too_large"
	ReasonUnknownRoute   Reason = "unknown_route"
	ReasonNoEndpoint     Reason = "no_endpoint"
	ReasonResting        Reason = "endpoints_resting"
	ReasonLimited        Reason = "endpoints_limited"
	ReasonCallerGone     Reason = "caller_gone"
	ReasonNotStarted     Reason = "endpoint_not_started"
	ReasonEndpointFailed Reason = "endpoint_failed"
	ReasonAnswerBroken   Reason = "answer_broken"
	ReasonWrongAnswer    Reason = "wrong_answer"
	ReasonRetryBudget    Reason = "retry_budget"
	// ReasonNoMemory: the bodies of other calls take all memory that the host sets aside for bodies.
	ReasonNoMemory Reason = "no_memory"
	// ReasonPoison: endpoints crash while running the request.
	ReasonPoison Reason = "poison_request"
	// ReasonSuspect: endpoints have crashed under the request, and another copy of it is sent first.
	ReasonSuspect Reason = "suspect_request"
	// ReasonNoVersion: no endpoint of the software version that began the stream takes requests. ReasonUnknownVersion: it
	// is not known which version began the stream.
	ReasonNoVersion      Reason = "no_version"
	ReasonUnknownVersion Reason = "unknown_version"
	ReasonStopped        Reason = "stopped"
	ReasonInternal       Reason = "internal"
)

// Reasons lists all reasons, so that each counter exists before its first event.
var Reasons = []Reason{
	ReasonNotReady, ReasonUnknownKey, ReasonBadRequest,
	ReasonBodyTooLarge, ReasonSlowCaller, ReasonUnknownClass,
	ReasonUnknownModel, ReasonUnknownService, ReasonKeyUsed, ReasonClaimsAway,
	ReasonNoRoom, ReasonWorkspaceRoom, ReasonTooLate, ReasonMaxWait,
	ReasonNoEndpoint, ReasonCallerGone, ReasonNotStarted,
	ReasonEndpointFailed, ReasonAnswerBroken, ReasonWrongAnswer,
	ReasonRetryBudget, ReasonNoMemory, ReasonStopped, ReasonInternal, ReasonTimeLimit, ReasonHeadTooLarge, ReasonUnknownRoute, ReasonPoison, ReasonSuspect,
	ReasonResting, ReasonLimited, ReasonNoVersion, ReasonUnknownVersion,
}

// RetryReason is the reason for which a request was sent again, resumed or assigned another endpoint. The set is
// closed, and each reason has a counter.
type RetryReason string

// The reasons for a retry.
const (
	RetryDialFailed   RetryReason = "dial_failed"
	RetryNotStarted   RetryReason = "not_started"
	RetryBrokenAnswer RetryReason = "broken_answer"
	RetryWrongAnswer  RetryReason = "wrong_answer"
	RetryGrantVoid    RetryReason = "grant_void"
	RetryResume       RetryReason = "resume"
	RetryContinue     RetryReason = "continue"
	RetryPreempted    RetryReason = "preempted"
)

// RetryReasons lists all reasons for a retry.
var RetryReasons = []RetryReason{
	RetryDialFailed, RetryNotStarted, RetryBrokenAnswer, RetryWrongAnswer,
	RetryGrantVoid, RetryResume, RetryContinue, RetryPreempted,
}

// SpendsBudget reports whether a retry for this reason counts against the retry budget. A retry after a void grant or a
// failed dial does not, since nothing was sent. A retry after a preemption does not either: the fleet caused it, and a
// refusal would penalize the lower tier twice.
func (r RetryReason) SpendsBudget() bool {
	return r != RetryGrantVoid && r != RetryDialFailed && r != RetryPreempted
}

// Ran states whether a request without a complete answer was run, as reported to its caller.
type Ran string

// The values of Ran. RanNo is a guarantee: no byte of the request was written to an endpoint, or every endpoint that
// received it reported that it did not start it.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Refusal is the end of a request without a complete answer.
type Refusal struct {
	Reason Reason
	Ran    Ran
	// Detail is a sentence for the caller. It contains no contents of the request.
	Detail string
	// RetryAfter is the time after which to retry; 0 means that a retry won't help.
	RetryAfter time.Duration
}

// Refuse returns the refusal of a request that did not run.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Ran: RanNo, Detail: detail}
}

// Error returns the reason, whether the request ran, and the detail.
func (r *Refusal) Error() string {
	return string(r.Reason) + " (ran: " + string(r.Ran) + "): " + r.Detail
}
