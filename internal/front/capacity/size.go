package capacity

import (
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

const (
	// mostReading is the part of the time that endpoints may read prompts on average, whichever zone loses its
	// spot endpoints.
	mostReading = 0.67
	// growTime is how long more must have been needed to be ordered, and growPart how much more: while prefixes are
	// read for the first time, more is to be read for some seconds than ever after.
	growTime = 2 * time.Second
	growPart = 1.25
	// holdTime is how long less must have been needed, and shrinkPart how much less: an endpoint that goes takes along
	// some ten prefixes, which costs as much as a minute of a spot endpoint on the users' platform. Reckoned.
	holdTime   = 90 * time.Second
	shrinkPart = 0.7
)

// NeedEstimate follows how many endpoints of a service are needed. The zero value knows nothing.
type NeedEstimate struct {
	// Need is the number, 0 if it is not known yet.
	Need int
	// samples are what was needed lately, by time.
	samples []sample
}

// sample is what was needed at a time.
type sample struct {
	at   time.Time
	need int
}

// InitialNeed returns how many endpoints are taken to be needed as long as nothing is known of the traffic: as many as are
// left of a part of the most spot endpoints without those of one zone. It is 0 where spot endpoints are not worth
// it: what is there stays, then.
func InitialNeed(scaling *settings.Scaling, zones int, part float64) int {
	return min(spotInZone(scaling, zones, math.MaxInt32), int(part*float64(scaling.Max))) * (zones - 1)
}

// Observe takes the work of all hosts now, and returns how many endpoints are needed.
func (s *NeedEstimate) Observe(now time.Time, load engine.Load) int {
	s.samples = append(s.samples, sample{at: now, need: ceilDiv(int(load.BusyEngines*100), int(mostReading*100))})
	for len(s.samples) > 0 && now.Sub(s.samples[0].at) > holdTime {
		s.samples = s.samples[1:]
	}
	least, most := s.samples[len(s.samples)-1].need, 0
	for _, sample := range s.samples {
		if now.Sub(sample.at) <= growTime {
			least = min(least, sample.need)
		}
		most = max(most, sample.need)
	}
	known := now.Sub(s.samples[0].at)
	switch {
	case known >= growTime && float64(least) > growPart*float64(s.Need):
		s.Need = least
	case known >= holdTime-growTime && float64(most) < shrinkPart*float64(s.Need):
		s.Need = max(most, 1)
	}
	return s.Need
}
