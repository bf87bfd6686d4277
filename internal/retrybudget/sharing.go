package retrybudget

import (
	"math"
	"time"
)

// missingHostTimeout is how long hosts that are no longer seen still count in the division of the slack. It is longer
// than usual network faults between hosts. Without it, eight hosts that lose sight of each other would each take the
// slack of the fleet (TestIsolatedHostsShareSlack).
const missingHostTimeout = time.Minute

// Place is the place of a host in an order that all hosts of the fleet share.
type Place struct {
	// Before is the number of live hosts before this one, Hosts the number of all live hosts.
	Before, Hosts int
	// IsKnown is set once this host can tell how many hosts there are. Until then it takes no part of the slack.
	IsKnown bool
}

// sharing is this host's part of the slack.
type sharing struct {
	place Place
	// missingSince is the time since which fewer hosts have been seen, or zero.
	missingSince time.Duration
	// hasPart is set while this host takes its part, since a time.
	hasPart bool
	since   time.Duration
}

// update updates the hosts that share the slack. Hosts that are no longer seen keep their share for missingHostTimeout: they
// may be running without seeing this host either.
func (s *sharing) update(now time.Duration, place Place) {
	switch {
	case place.Hosts >= s.place.Hosts || !s.place.IsKnown:
		s.place, s.missingSince = place, 0
	case s.missingSince == 0:
		s.missingSince = now
	case now-s.missingSince >= missingHostTimeout:
		s.place, s.missingSince = place, 0
	}
	if s.place.IsKnown && !s.hasPart {
		s.since = now
	}
	s.hasPart = s.place.IsKnown
}

// of returns this host's part of a slack.
func (s *sharing) of(slack float64) float64 {
	if !s.hasPart {
		return 0
	}
	return slack / float64(max(s.place.Hosts, 1))
}

// goldenRatio is the fractional part of the golden ratio. Its multiples modulo 1 are spread evenly over [0, 1).
const goldenRatio = 0.6180339887498949

// rounding returns a number in [0, 1) that is added to a number of retries before it is rounded down. The numbers of any
// successive places are spread evenly, so that of n hosts with 0.3 retries each, 0.3 n may send one. If every host rounded
// down, a fleet with more hosts than retries could send none.
func (p Place) rounding() float64 {
	_, fraction := math.Modf(goldenRatio * (float64(p.Before) + 0.5))
	return fraction
}
