// Package httprelay is what the callers' interfaces of both programs do alike when they
// relay HTTP: read a body within its limits, copy headers, hold an answer until it is
// whole, and end an attempt whose endpoint stays silent. It decides nothing about
// requests; limits and deadlines come from its callers.
package httprelay

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Timeouts bound how long a caller may hold up a request.
type Timeouts struct {
	// Read bounds the time for sending a body, Write the time for reading what is ready.
	Read  time.Duration
	Write time.Duration
}

// HeldAnswer is an endpoint's answer that is passed on only once all of it has arrived, so
// that a broken one can be told from a whole one.
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
	// A failed write means that the caller is gone; nobody is left to be told.
	_, _ = w.Write(a.Body)
}

// IsTimeout reports whether a read or write failed because its deadline passed.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
