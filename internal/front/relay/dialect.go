package relay

import (
	"net/http"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/pushback"
)

// Part is one part of a prompt. Equal parts of different prompts have equal IDs.
type Part struct {
	ID     string
	Tokens int
}

// Call is what a caller says about its request.
type Call struct {
	ID string
	// Key is the caller's key, or empty.
	Key string
	// MaxWait is how long the caller waits for the answer; 0 means that it does not say.
	MaxWait time.Duration
	Model   string
	// PromptTokens and MaxTokens are 0 if the caller does not say.
	PromptTokens int
	MaxTokens    int
	// Parts are the parts of the prompt in order.
	Parts []Part
}

// Send is what an endpoint receives with a call.
type Send struct {
	EndpointID string
	// Workspace is empty for a public call.
	Workspace string
	Tier      int
	// Urgency orders the classes inside a tier.
	Urgency int
	// FetchFrom is the address of another endpoint that should hold a part of the
	// prompt, or empty.
	FetchFrom string
	// TimeLeft is the time that remains for the call.
	TimeLeft time.Duration
}

// Dialect is how a deployment spells in headers what callers, hosts and endpoints say to each
// other. It is safe for concurrent use.
type Dialect interface {
	// ParseCall returns the call of a request. The text of the error goes to the caller.
	ParseCall(r *http.Request) (Call, error)
	// EndpointHeader returns the headers of a call for an endpoint, made from the caller's. What only a
	// host may say is in them only if the host says it.
	EndpointHeader(caller http.Header, send Send) http.Header
	// AnswerID returns the ID of the call that an endpoint's answer belongs to.
	AnswerID(header http.Header) string
	// IsNotStarted reports whether an endpoint says that it did not start a call.
	IsNotStarted(status int, header http.Header) bool
	// Signal returns what the head of an answer says of the endpoint that gave it.
	Signal(status int, header http.Header) pushback.Signal
	// IsOtherEndpoint reports whether the answer says that another endpoint has the address now.
	IsOtherEndpoint(status int) bool
}
