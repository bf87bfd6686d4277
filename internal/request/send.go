package request

import "github.com/ansel1/merry/v2"

// How sending a request to an endpoint can fail. The clients of both programs return these;
// test with errors.Is. The difference decides what the caller may be told: only after
// ErrNotSent has the request certainly not run.
var (
	// ErrNotSent: no connection was made, so that no byte was written.
	ErrNotSent = merry.Sentinel("endpoint not reached")
	// ErrBroken: the request may have reached the endpoint, and no whole answer came.
	ErrBroken = merry.Sentinel("call broken")
)
