// Package retries counts the retries that arrive at endpoints as the users' limit of retries counts them. It owns nothing
// and relies on package retrybudget for the limits. Tests of models, of stand-ins and of real processes use it.
package retries

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/retrybudget"
)

// Arrival is a request that an endpoint has read.
type Arrival struct {
	ID string
	At time.Time
}

// Repeats returns the times of the arrivals beyond the first of each request, in order.
func Repeats(arrivals []Arrival) []time.Time {
	var repeats []time.Time
	arrived := make(map[string]bool)
	for _, a := range slices.SortedFunc(slices.Values(arrivals), func(a, b Arrival) int { return a.At.Compare(b.At) }) {
		if arrived[a.ID] {
			repeats = append(repeats, a.At)
		}
		arrived[a.ID] = true
	}
	return repeats
}

// Worst returns the retries and the allowed retries of the window that exceeds the limits most. Sent holds the times at
// which callers sent requests, repeats those of the arrivals beyond the first, both in order. The requests count that were
// sent in the window, in the one before it or in the one half a window before it, whichever are most.
func Worst(limits retrybudget.Limits, sent, repeats []time.Time) (retries int, allowed float64) {
	count := func(times []time.Time, from time.Time) int {
		place := func(at time.Time) int {
			n, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
			return n
		}
		return place(from.Add(limits.Window)) - place(from)
	}
	for _, from := range repeats {
		requests := max(count(sent, from), count(sent, from.Add(-limits.Window)), count(sent, from.Add(-limits.Window/2)))
		limit := limits.Ratio*float64(requests) + limits.Slack
		if n := count(repeats, from); allowed == 0 || float64(n)/limit > float64(retries)/allowed {
			retries, allowed = n, limit
		}
	}
	return retries, allowed
}
