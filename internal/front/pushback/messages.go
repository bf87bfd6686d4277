package pushback

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Instance is one start of an endpoint.
type Instance struct {
	_ struct{} `cbor:",toarray"`

	ID string
	// Version is that of the endpoint's entry.
	Version string
}

// Leaving is a message to peers: endpoints that have said that they leave.
type Leaving struct {
	_ struct{} `cbor:",toarray"`

	Endpoints []Instance
}

// Limited is a message to peers: limits that endpoints have named, or name no more.
type Limited struct {
	_ struct{} `cbor:",toarray"`

	Notices []LimitNotice
}

// LimitNotice is the limit of an endpoint as a host knows it.
type LimitNotice struct {
	_ struct{} `cbor:",toarray"`

	Endpoint Instance
	Limit    Limit
	// Age is how long before the message the request was sent whose answer said so.
	Age time.Duration
}

// Rejected is a message to peers: what endpoints have rejected and taken at the sender since its last message. What one
// endpoint has taken is in it only while it has rejected something lately.
type Rejected struct {
	_ struct{} `cbor:",toarray"`

	Endpoints []RejectedCount
}

// Failed is a message to peers: what endpoints have failed and answered at the sender since its last message. What is
// answered is in it only while requests of that class have failed there lately.
type Failed struct {
	_ struct{} `cbor:",toarray"`

	Counts []FailedCount
}

// FailedCount is what one endpoint has failed and answered of a class, in requests.
type FailedCount struct {
	_ struct{} `cbor:",toarray"`

	Work     EndpointClass
	Failed   uint
	Answered uint
}

// RejectedCount is what one endpoint has rejected and taken, in requests.
type RejectedCount struct {
	_ struct{} `cbor:",toarray"`

	Endpoint keys.Endpoint
	Rejected uint
	Taken    uint
}
