package admission

import "time"

// Kind is the kind of a decision. Its values are sent between hosts.
type Kind uint8

// The kinds of decision.
const (
	// Grant: the request may run at Endpoint, if it is sent before Until.
	Grant Kind = iota
	// Refuse: the request gets no endpoint.
	Refuse
	// Preempt: the request has to release its endpoint and ask again.
	Preempt
)

// String returns the name of the kind in explanations and logs.
func (k Kind) String() string {
	return [...]string{"grant", "refuse", "preempt"}[k]
}

// Reason is the reason for a decision. Its values appear in logs, explanations and messages between hosts.
type Reason string

// The reasons for a grant.
const (
	// ReasonNext: the request was next by tier and order of arrival.
	ReasonNext Reason = "tier"
	// ReasonPlaced: placement found an endpoint with room at the lowest cost. It is written as "tier" because recorded
	// logs and their readers know no other reason for this grant; the tier only determines whether there is room.
	ReasonPlaced Reason = "tier"
	// ReasonShare: the class's guaranteed share put the request ahead of higher tiers.
	ReasonShare Reason = "share"
	// ReasonGiveBack: the request got back a slot that a share had taken from its tier.
	ReasonGiveBack Reason = "share_given_back"
)

// The reasons for a refusal.
const (
	// ReasonNoRoom: no endpoint has a free slot for a request of this urgency.
	ReasonNoRoom Reason = "no_room"
	// ReasonWorkspaceRoom: the workspace has reached its limit for the class, or is over its share of a service that is
	// short of capacity.
	ReasonWorkspaceRoom Reason = "workspace_room"
	// ReasonTooLate: the target or the time limit can't be met, and a late answer is of no use.
	ReasonTooLate Reason = "too_late"
	// ReasonMaxWait: the request has waited for as long as its class allows.
	ReasonMaxWait Reason = "max_wait"
	// ReasonNoEndpoint: no endpoint takes new work.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonNoVersion: no endpoint of the software version that the request needs takes new work.
	ReasonNoVersion Reason = "no_version"
	// ReasonResting: all endpoints that take new work have asked this host to send none for a while.
	ReasonResting Reason = "endpoints_resting"
	// ReasonLimited: every endpoint that takes new work has a limit and no permit left for the request.
	ReasonLimited Reason = "endpoints_limited"
)

// ReasonHigherTier is the reason for a preemption: a request of a higher tier needs the endpoint.
const ReasonHigherTier Reason = "higher_tier"

// Figures holds the numbers behind a decision, for logs and explanations.
type Figures struct {
	// Waited is the time for which the request has waited.
	Waited time.Duration `json:",omitzero"`
	// Ahead is the work ahead of the request. In the shared queue it is the number of waiting requests of the same and
	// higher tiers; for placement it is the number of prompt tokens that the endpoint has not processed yet.
	Ahead int `json:"WaitingAhead,omitzero"`
	// WaitingBelow is the number of waiting requests of lower tiers.
	WaitingBelow int `json:",omitzero"`
	// PredictedFirstToken is the expected time from the decision to the first token.
	PredictedFirstToken time.Duration `json:",omitzero"`
	// PredictedEnd is the expected time from the decision to the end of the answer. It is not sent between hosts.
	PredictedEnd time.Duration `cbor:"-" json:",omitzero"`
	// InFlight is the number of open requests of the endpoint, and Limit its bound.
	InFlight int     `json:",omitzero"`
	Limit    float64 `json:",omitzero"`
	// CachedTokens is the number of prompt tokens that the endpoint is expected to have in its cache.
	CachedTokens int `json:",omitzero"`
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int `json:",omitzero"`
	// WorkAsked is the work a second that the workspace asks for at the service, and WorkShare its fair share, in prompt
	// tokens. They are set if the workspace is over its share, and not sent between hosts.
	WorkAsked float64 `json:",omitzero" cbor:"-"`
	WorkShare float64 `json:",omitzero" cbor:"-"`
}

// Decision is the response to a request for an endpoint.
type Decision struct {
	Kind     Kind
	ID       string
	Owner    string
	Endpoint string
	// FetchFrom is the address of another endpoint that is expected to hold a shared part of the prompt, or empty.
	FetchFrom string
	Reason    Reason
	// Until is the time at which an unused grant becomes void.
	Until time.Time
	// RetryAfter is the time after which a refused caller should retry. It is also set for a grant, in case the granted
	// endpoint rejects the request.
	RetryAfter time.Duration
	Figures    Figures
	// UnprocessedTokens is the number of prompt tokens, including those of the request, that the endpoint has to
	// process before the first token of the answer; 0 if unknown. It is not sent between hosts.
	UnprocessedTokens int `cbor:"-" json:"-"`
}

// Usable reports whether a grant may still be used.
func (d *Decision) Usable(now time.Time) bool { return now.Before(d.Until) }

// Result is the result of a granted request. Its values are sent between hosts.
type Result uint8

// The results.
const (
	// Answered: the complete answer arrived.
	Answered Result = iota
	// Unused: the grant was not used; nothing was sent.
	Unused
	// Failed: the endpoint could not be reached or broke the call.
	Failed
	// Cancelled: the caller disconnected or the owner abandoned the request.
	Cancelled
	// Preempted: the owner withdrew the request.
	Preempted
)
