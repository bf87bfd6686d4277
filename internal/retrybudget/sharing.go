package retrybudget

import (
	"math"
	"time"
)

// Place is the place of a host in an order that all hosts of the fleet share.
type Place struct {
	// Before is the number of live hosts before this one, Hosts the number of all live hosts.
	Before, Hosts int
	// Missing is the number of hosts that are no longer seen and may be running, without seeing this host either.
	Missing int
	// IsKnown is set once this host can tell how many hosts there are. Until then it takes no part of the slack.
	IsKnown bool
}

// isMinority reports whether this host sees less than half of the hosts. The others may have stopped to count it.
func (p Place) isMinority() bool { return p.Hosts < p.Missing }

const (
	// noticeTime is how much later than the rest of the fleet a host may notice that they have lost each other.
	noticeTime = 10 * time.Second
	// maxUpdateGap is the time between two updates above which this host was suspended. The rest of the fleet may have
	// counted it as missing.
	maxUpdateGap = 5 * time.Second
)

// minorityTimeout is how long a host that sees less than half of the hosts keeps its part of the slack. The others divide
// that part after MissingTimeout, when this host has sent nothing of it for a window.
func (l *Limits) minorityTimeout() time.Duration {
	return max(l.MissingTimeout-l.Window-noticeTime, 0)
}

// sharing is this host's part of the slack.
type sharing struct {
	place Place
	// inMinority is set while this host sees less than half of the hosts, since minoritySince.
	inMinority    bool
	minoritySince time.Duration
	// hasPart is set while this host takes its part, since a time.
	hasPart bool
	since   time.Duration
	// updatedAt is when this was last updated.
	updatedAt time.Duration
}

// update updates the part. Now is the time since the start of the host. A host without a part gets none while it is in a
// minority.
func (s *sharing) update(now time.Duration, place Place, limits *Limits) {
	if now-s.updatedAt > maxUpdateGap {
		s.hasPart = false
	}
	s.place, s.updatedAt = place, now
	if place.isMinority() && !s.inMinority {
		s.minoritySince = now
	}
	s.inMinority = place.isMinority()
	maySpend := !s.inMinority || s.hasPart && now-s.minoritySince < limits.minorityTimeout()
	hadPart := s.hasPart
	s.hasPart = place.IsKnown && maySpend
	if s.hasPart && !hadPart {
		s.since = now
	}
}

// of returns this host's part of a slack.
func (s *sharing) of(slack float64) float64 {
	if !s.hasPart {
		return 0
	}
	return slack / float64(max(s.place.Hosts+s.place.Missing, 1))
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
