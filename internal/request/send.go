package request

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Send is a try of a request that was sent to an endpoint.
type Send struct {
	Endpoint string
	At       time.Time
}

// The ways in which sending a request to an endpoint can fail. The clients of both programs return these errors; test
// for them with errors.Is. The difference determines what may be reported to the caller: a request has certainly not
// run only after ErrNotSent.
var (
	// ErrNotSent: no connection was made, so no byte was written.
	ErrNotSent = merry.Sentinel("endpoint not reached")
	// ErrBroken: the request may have reached the endpoint, and no complete answer arrived.
	ErrBroken = merry.Sentinel("call broken")
)
