package relay

import (
	"net/http"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/pushback"
)

// Part is a part of a prompt. Equal parts of different prompts have equal IDs.
type Part struct {
	ID     string
	Tokens int
}

// Call is a caller's request as described by its headers.
type Call struct {
	ID string
	// Key is the caller's key, or empty.
	Key string
	// MaxWait is how long the caller waits for the answer, or 0 if it does not state that.
	MaxWait time.Duration
	Model   string
	// PromptTokens and MaxTokens are 0 if the caller does not state them.
	PromptTokens int
	MaxTokens    int
	// LengthHint is the caller's estimate of the length of the answer in tokens; 0 means none.
	LengthHint int
	// Parts are the parts of the prompt, in order.
	Parts []Part
	// LastEventID is the ID of the last event that a caller that takes up a stream has received; empty for a new stream.
	// Resumes is the ID of the caller's request that brought the first event of that stream, or empty if unknown.
	LastEventID string
	Resumes     string
}

// expectedTokens returns the expected length of the answer in tokens, or 0 if nothing is known about it: the caller's
// estimate, or half of the maximum.
func (c *Call) expectedTokens() int {
	switch {
	case c.LengthHint > 0 && c.MaxTokens > 0:
		return min(c.LengthHint, c.MaxTokens)
	case c.LengthHint > 0:
		return c.LengthHint
	}
	return max(c.MaxTokens, 0) / 2
}

// Send is the data that this host adds to a call for an endpoint.
type Send struct {
	EndpointID string
	// Workspace is empty for a public call.
	Workspace string
	Tier      int
	// Urgency orders the classes within a tier.
	Urgency int
	// HasBegun is set if the caller has received a part of the answer.
	HasBegun bool
	// FetchFrom is the address of another endpoint that should have a part of the prompt cached, or empty.
	FetchFrom string
	// TimeLeft is the time until the call's deadline.
	TimeLeft time.Duration
}

// Dialect translates between the relay and the headers and statuses of a deployment's callers and endpoints. It is safe
// for concurrent use.
type Dialect interface {
	// ParseCall returns the call of a request. The text of the error is sent to the caller.
	ParseCall(r *http.Request) (Call, error)
	// EndpointHeader returns the headers of a call for an endpoint, made from the caller's headers. Headers that only a
	// host may set are never taken from the caller.
	EndpointHeader(caller http.Header, send Send) http.Header
	// AnswerID returns the ID of the call to which an endpoint's answer belongs.
	AnswerID(header http.Header) string
	// IsNotStarted reports whether an answer states that the endpoint did not start the call.
	IsNotStarted(status int, header http.Header) bool
	// Signal returns the state that an endpoint reports in the head of its answer.
	Signal(status int, header http.Header) pushback.Signal
	// IsOtherEndpoint reports whether an answer states that another endpoint has the address now.
	IsOtherEndpoint(status int) bool
}
