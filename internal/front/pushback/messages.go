package pushback

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Instance is one start of an endpoint.
type Instance struct {
	_ struct{} `cbor:",toarray"`

	ID string
	// Version is the version of the endpoint's directory entry.
	Version string
}

// Leaving is a message to peers: endpoints that have reported that they are leaving.
type Leaving struct {
	_ struct{} `cbor:",toarray"`

	Endpoints []Instance
}

// Limited is a message to peers: limits that endpoints have named or no longer name.
type Limited struct {
	_ struct{} `cbor:",toarray"`

	Notices []LimitNotice
}

// LimitNotice is the limit of an endpoint as the sender has recorded it.
type LimitNotice struct {
	_ struct{} `cbor:",toarray"`

	Endpoint Instance
	Limit    Limit
	// Age is the time since the request was sent whose answer named the limit.
	Age time.Duration
}

// Rejected is a message to peers: the requests that endpoints have rejected and taken at the sender since its last
// message. Requests taken by an endpoint are listed only while the sender has a recent rejection of it.
type Rejected struct {
	_ struct{} `cbor:",toarray"`

	Endpoints []RejectedCount
}

// Failed is a message to peers: the requests that endpoints have failed and answered at the sender since its last
// message. Answered requests are listed only while the sender has a recent failure of the same endpoint and class.
type Failed struct {
	_ struct{} `cbor:",toarray"`

	Counts []FailedCount
}

// FailedCount is the number of requests of a class that one endpoint has failed and answered.
type FailedCount struct {
	_ struct{} `cbor:",toarray"`

	Work     EndpointClass
	Failed   uint
	Answered uint
}

// RejectedCount is the number of requests that one endpoint has rejected and taken.
type RejectedCount struct {
	_ struct{} `cbor:",toarray"`

	Endpoint keys.Endpoint
	Rejected uint
	Taken    uint
}
