// Package pushback evaluates what endpoints of oxbowslip-front report about themselves in their answers: that they
// are leaving, that they want no requests for a time (a rest), that they rejected or failed a request, and how many
// requests a second they take.
//
// It owns the rests that endpoints have asked this host for, the shares of requests that endpoints reject and fail at
// all hosts, the limits that they have named, and the updates to send to peers. It relies on package relay for the
// answers, on package directory to keep new work from leaving endpoints, and on its owner to reach peers. Package
// placement calls it before a grant, package owner before a send.
package pushback

import (
	"math"
	"strconv"
	"strings"
	"time"

	"oxbowslip.dev/oxbowslip/internal/counters"
)

// maxRest bounds the rest that one answer asks for, so that a faulty answer can't exclude its endpoint for longer.
// Endpoints in production ask for 3 s.
const maxRest = time.Minute

// Signal is what the head of an answer reports about its endpoint.
type Signal struct {
	// Leaving is set if the endpoint is leaving.
	Leaving bool
	// Rejected is set if the endpoint rejected the request because of its load.
	Rejected bool
	// Failed is set if the endpoint failed the request for another reason.
	Failed bool
	// Rest is how long the endpoint wants no requests from this host, or 0.
	Rest time.Duration
	// Limit is the number of requests a second that the endpoint takes from all hosts, if the answer names one.
	Limit Limit
	// MaxRejections is how many requests the endpoint can reject in a second without crashing, if it says that it is
	// brittle.
	MaxRejections Limit
	// MalformedLimit is the text of a limit that could not be parsed, or empty.
	MalformedLimit string
}

// Kinds returns the counters that the signal increments.
func (s Signal) Kinds() []counters.Signal {
	var kinds []counters.Signal
	if s.Leaving {
		kinds = append(kinds, counters.SignalLeaving)
	}
	if s.Rejected {
		kinds = append(kinds, counters.SignalRejected)
	}
	if s.Failed {
		kinds = append(kinds, counters.SignalFailed)
	}
	if s.Rest > 0 {
		kinds = append(kinds, counters.SignalRest)
	}
	if s.Limit.IsSet {
		kinds = append(kinds, counters.SignalLimit)
	}
	if s.MaxRejections.IsSet {
		kinds = append(kinds, counters.SignalBrittle)
	}
	if s.MalformedLimit != "" {
		kinds = append(kinds, counters.SignalMalformedLimit)
	}
	return kinds
}

// ParseRest parses a rest in seconds, which may have a fraction, and caps it at maxRest. It returns 0 for any other
// text: empty, a date, a negative or non-finite number.
func ParseRest(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second))
}
