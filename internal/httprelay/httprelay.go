// Package httprelay holds the code for relaying HTTP that both programs share: it reads a body within limits, copies
// headers, buffers an answer until it is complete, and aborts an attempt whose endpoint stalls. Limits and deadlines
// come from its callers.
package httprelay

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Timeouts bound how long a slow caller may delay a request.
type Timeouts struct {
	// Read bounds the time in which a caller sends its body, Write the time in which it reads the data sent to it.
	Read  time.Duration
	Write time.Duration
}

// HeldAnswer is a complete answer of an endpoint. Answers are buffered until they are complete so that a broken one is
// not forwarded.
type HeldAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Send sends the answer to the caller.
func (a *HeldAnswer) Send(w http.ResponseWriter) {
	CopyHeader(w.Header(), a.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	// A failed write means that the caller has closed the connection.
	_, _ = w.Write(a.Body)
}

// IsTimeout reports whether an error of a read or write is a timeout.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
