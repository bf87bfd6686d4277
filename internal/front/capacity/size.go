package capacity

import (
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

const (
	// maxReadingFraction is the highest mean fraction of the time that endpoints may spend on reading prompts, even
	// if one zone loses its spot endpoints.
	maxReadingFraction = 0.67
	// More endpoints are ordered once more than growFactor times the estimate has been needed throughout growTime.
	// While prefixes are read for the first time, the load is higher for some seconds than ever after.
	growTime   = 2 * time.Second
	growFactor = 1.25
	// Fewer endpoints are ordered once less than shrinkFactor of the estimate has been needed throughout shrinkTime.
	// A removed endpoint loses about ten cached prefixes, which costs as much as a minute of a spot endpoint on the
	// users' platform.
	shrinkTime   = 90 * time.Second
	shrinkFactor = 0.7
)

// NeedEstimate estimates the number of endpoints that a service needs. The zero value is an unknown need.
type NeedEstimate struct {
	// Need is the estimated number, or 0 if it is not known yet.
	Need int
	// samples are the numbers needed within the last shrinkTime, oldest first.
	samples []sample
}

// sample is the number of endpoints needed at a time.
type sample struct {
	at   time.Time
	need int
}

// InitialNeed returns the number of endpoints to assume as needed while nothing is known of the traffic: those that
// remain of a fraction of the highest number of spot endpoints when one zone loses its spot endpoints. It returns 0
// where spot endpoints are not worth their price, so that the fleet stays as it is.
func InitialNeed(scaling *settings.Scaling, zones int, fraction float64) int {
	return min(spotPerZone(scaling, zones, math.MaxInt32), int(fraction*float64(scaling.Max))) * (zones - 1)
}

// Observe adds the current load of all hosts, and returns the estimated number of endpoints.
func (s *NeedEstimate) Observe(now time.Time, load engine.Load) int {
	s.samples = append(s.samples, sample{at: now, need: ceilDiv(int(load.BusyEngines*100), int(maxReadingFraction*100))})
	for len(s.samples) > 0 && now.Sub(s.samples[0].at) > shrinkTime {
		s.samples = s.samples[1:]
	}
	minNeed, maxNeed := s.samples[len(s.samples)-1].need, 0
	for _, sample := range s.samples {
		if now.Sub(sample.at) <= growTime {
			minNeed = min(minNeed, sample.need)
		}
		maxNeed = max(maxNeed, sample.need)
	}
	known := now.Sub(s.samples[0].at)
	switch {
	case known >= growTime && float64(minNeed) > growFactor*float64(s.Need):
		s.Need = minNeed
	case known >= shrinkTime-growTime && float64(maxNeed) < shrinkFactor*float64(s.Need):
		s.Need = max(maxNeed, 1)
	}
	return s.Need
}
