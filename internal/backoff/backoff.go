// Package backoff computes how long to wait before something that failed is tried again, and
// how to spread what all hosts repeat. Both programs use it, for retries of requests, ejections
// of endpoints, calls to the store and heartbeats. It does no input or output and has no clock.
package backoff

import "time"

// maxDoublings bounds the shift, which would overflow otherwise.
const maxDoublings = 16

// Doubling is a span that doubles with each failure in a row, up to a longest.
type Doubling struct {
	First   time.Duration
	Longest time.Duration
}

// Span returns the span after it was doubled a number of times; Span(0) is First.
func (d Doubling) Span(doublings int) time.Duration {
	return min(d.First<<min(doublings, maxDoublings), d.Longest)
}

// Jitter returns a random part of a span, at least a given fraction of it, so that hosts
// that failed together do not try again together. Random is a number from 0 up to 1.
func Jitter(span time.Duration, least, random float64) time.Duration {
	return time.Duration((least + (1-least)*random) * float64(span))
}

// Spread returns a random time around a mean, from an interval that is the given part of the
// mean wide, so that hosts that started together do not act together: 1 means half to one and
// a half of the mean. Random is a number from 0 up to 1.
func Spread(mean time.Duration, part, random float64) time.Duration {
	return time.Duration((1 - part/2 + part*random) * float64(mean))
}
