// Package admission defines the types with which the owner of a request asks for an endpoint, and those of the
// decision: the endpoint, or the reason for a refusal.
//
// Both programs use it, each with its own rules: oxbowslip-front decides on the owner's host (package placement),
// oxbowslipd in the queue that all hosts share (package schedule). The package contains no rules and does no I/O.
package admission

import "time"

// Request holds the properties of a request on which a decision may be based. Hosts of oxbowslipd send it to each other
// as a CBOR array, so the order of the fields must not change.
type Request struct {
	_ struct{} `cbor:",toarray"`

	// ID is unique in the fleet. Owner is the name of the host that accepted the request.
	ID    string
	Owner string
	// Workspace and Class select limits, shares and learned answer lengths.
	Workspace string
	Class     string
	// Tier is the service level; 0 is the highest.
	Tier int
	// Urgency orders the classes within a tier; 0 is the most urgent.
	Urgency int
	// Arrived is the time at which the owner accepted the request, by the owner's clock.
	Arrived time.Time
	// FirstToken, BetweenTokens and WholeAnswer are latency targets; 0 means none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	WholeAnswer   time.Duration
	// MaxPause is the target for the time between two events of a stream; 0 means none. Only the owner's host uses it.
	MaxPause time.Duration `cbor:"-"`
	// Deadline is when the request's time limit expires, and CallerDeadline when its caller stops waiting; zero means
	// unknown. Only the owner's host uses them.
	Deadline       time.Time `cbor:"-"`
	CallerDeadline time.Time `cbor:"-"`
	// RefuseLate is set if an answer that misses its target is of no use to the caller.
	RefuseLate bool
	// MaxWait bounds the time until a grant; 0 means no bound.
	MaxWait time.Duration
	// Repeatable allows the request to be preempted and run again.
	Repeatable bool
	// Share is the fraction of the work guaranteed to the class while it has waiting requests.
	Share float64
	// Weight determines the workspace's share of its tier's capacity; 0 means 1.
	Weight float64
	// MaxInFlight, MaxWaiting and TokensPerMinute are the workspace's limits for the class; 0 means none.
	MaxInFlight     int
	MaxWaiting      int
	TokensPerMinute int
	// PromptTokens is an estimate. MaxTokens bounds the answer; 0 means unknown.
	PromptTokens int
	MaxTokens    int
	// AnswerTokens is the expected length of the answer; 0 means unknown. Received is the part of the answer that earlier
	// attempts have received and the next one continues, in the unit of owner.Attempt.RecordTokens. Only the owner's host
	// uses them.
	AnswerTokens int `cbor:"-"`
	Received     int `cbor:"-"`
	// HasBegun is set if the caller has received a part of the answer. Only the owner's host uses it.
	HasBegun bool `cbor:"-"`
	// SoftwareVersion is the key of the software version at which a stream that has begun must be resumed; 0 means any. Only
	// the owner's host uses it.
	SoftwareVersion uint32 `cbor:"-"`
	// Prefix holds the hash of each leading part of the prompt, the shortest first. Each hash includes the workspace or
	// the model.
	Prefix []uint64
	// PrefixTokens holds the number of tokens up to the end of each part in Prefix, if known.
	PrefixTokens []int
	// Zone is the owner's availability zone.
	Zone string
	// Avoid lists the IDs of endpoints that have failed the request.
	Avoid []string
	// Only, if not empty, lists the IDs of the only endpoints at which the request may run, Excluded those at which it may
	// not run even if no other is left. Only the owner's host uses them.
	Only     []string `cbor:"-"`
	Excluded []string `cbor:"-"`
	// Retry is set once the request has been granted an endpoint.
	Retry bool

	// ContentKey identifies the content of the request, by which a caller is recognized that returns; 0 means unknown.
	// Only the owner's host uses it.
	ContentKey uint64 `cbor:"-"`
}
