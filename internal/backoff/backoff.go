// Package backoff computes delays before failed operations are retried, and spreads operations that all hosts repeat.
// Both programs use it, for retries of requests, ejections of endpoints, calls to the store and heartbeats. It does no
// I/O and has no clock.
package backoff

import "time"

// maxDoublings bounds the shift, which would overflow otherwise.
const maxDoublings = 16

// Doubling is a delay that doubles with each consecutive failure, up to a maximum.
type Doubling struct {
	First   time.Duration
	Longest time.Duration
}

// Span returns the delay after a number of doublings; Span(0) is First.
func (d Doubling) Span(doublings int) time.Duration {
	return min(d.First<<min(doublings, maxDoublings), d.Longest)
}

// Jitter returns a random part of a span, at least the given fraction of it, so that hosts that failed together don't
// retry together. Random is in [0, 1).
func Jitter(span time.Duration, minPart, random float64) time.Duration {
	return time.Duration((minPart + (1-minPart)*random) * float64(span))
}

// Spread returns a random time around a mean, from an interval whose width is the given part of the mean, so that hosts
// that started together don't act together: a part of 1 means 0.5 to 1.5 times the mean. Random is in [0, 1).
func Spread(mean time.Duration, part, random float64) time.Duration {
	return time.Duration((1 - part/2 + part*random) * float64(mean))
}
