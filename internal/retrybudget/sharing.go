package retrybudget

import (
	"math"
	"time"
)

// Place is the place of a host in an order that all hosts of the fleet share.
type Place struct {
	// Before is the number of live hosts before this one, Hosts the number of all live hosts.
	Before, Hosts int
	// Missing is the number of hosts that may be running without being seen, Withheld the part of the slack that is theirs.
	Missing  int
	Withheld float64
	// IsKnown is set once this host can tell how many hosts there are. Until then it takes no part of the slack.
	IsKnown bool
}

// maxUpdateGap is the time between two updates above which this host was suspended. The rest of the fleet may have divided
// its part.
const maxUpdateGap = 5 * time.Second

// sharing is this host's part of the slack.
type sharing struct {
	place Place
	// hasPart is set while this host takes its part, since a time.
	hasPart bool
	since   time.Duration
	// updatedAt is when this was last updated.
	updatedAt time.Duration
}

// update updates the part. Now is the time since the start of the host.
func (s *sharing) update(now time.Duration, place Place) {
	hadPart := s.hasPart && now-s.updatedAt <= maxUpdateGap
	s.place, s.updatedAt = place, now
	s.hasPart = place.IsKnown && place.Withheld < 1
	if s.hasPart && !hadPart {
		s.since = now
	}
}

// of returns this host's part of a slack.
func (s *sharing) of(slack float64) float64 {
	if !s.hasPart {
		return 0
	}
	return slack * (1 - s.place.Withheld) / float64(max(s.place.Hosts, 1))
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
