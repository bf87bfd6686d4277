package engine

import (
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The split: which classes are long, and how many endpoints are kept for all others. While an engine
// reads a long prompt, each of its steps takes longer, and the streams beside it pause.
//
// The classes are cut in two by the length of their prompts, where the fewest requests are predicted to be
// late (predict.go); if that saves next to nothing, there is no cut. The number of endpoints for the short
// classes is the one with the fewest late requests, within what both sides have to read. All hosts decide
// from the same reports, and a decision stays for a while.

// Targets are those of a request class.
type Targets struct {
	// First and Pause are the targets for the first event and for pauses; 0 means none.
	First time.Duration
	Pause time.Duration
	// Urgency orders the requests that wait at an engine; 0 is the most urgent.
	Urgency int
}

// Fleet is what a split depends on beside what was learned.
type Fleet struct {
	// Endpoints is the number of endpoints that take new work, Slots how many requests each runs at
	// once; 0 means unknown.
	Endpoints int
	Slots     int
	// Hosts is the number of live hosts, this one included.
	Hosts   int
	Targets map[keys.Class]Targets
}

const (
	// leastGain is the part of the requests that a cut must save from being late to be made. Not
	// measured.
	leastGain = 0.01
	// cutTime is how long a cut stays at the least. Not measured.
	cutTime = 10 * time.Second
	// keptFactor is by how much the gain of the cut in force counts for more. Not measured.
	keptFactor = 2
	// mostReading is the part of the time that the endpoints of a side may read on average. Not measured.
	mostReading = 0.7
	// sizesTried is how many numbers of endpoints are compared at a time. Not measured.
	sizesTried = 12
	// sizeMargin is by how many endpoints the best number must differ from the one in force to
	// replace it, sizeMarginPart the same as a part of that number. Not measured.
	sizeMargin     = 0.75
	sizeMarginPart = 0.1
	// roundDown is the part of an endpoint that short classes do without. Not measured.
	roundDown = 0.3
	// shrinkAfter is how long the number must have been too large. Not measured.
	shrinkAfter = 5 * time.Second
)

// Short returns how many endpoints are kept for short classes.
func (s *Service) Short() int { return s.short }

// LongClasses returns how many classes are long.
func (s *Service) LongClasses() int { return len(s.long) }

// IsLong reports whether a class's prompts are to be kept away from those of short classes.
func (s *Service) IsLong(class keys.Class) bool { return s.long[class] }

// decideSplit decides the cut and the number of endpoints on each side. It reports whether that number has
// changed.
func (s *Service) decideSplit(now time.Time, fleet *Fleet) bool {
	loads := s.loads(now, fleet)
	cut := s.decideCut(now, loads, fleet)
	size, _ := s.bestSize(loads[:cut], loads[cut:], fleet)
	s.tightest = tightestPause(loads[cut:])
	s.met = s.chanceMet(loads[:cut], loads[cut:], float64(fleet.Endpoints)-size)
	before := s.short
	s.short = s.settle(now, size, fleet)
	return s.short != before
}

// decideCut decides which classes are long, and returns their number. A cut stays for a while: streams
// suffer and caches are lost when endpoints change sides.
func (s *Service) decideCut(now time.Time, loads []classLoad, fleet *Fleet) int {
	inForce := s.cutInForce(loads)
	if inForce > 0 && now.Sub(s.cutAt) < cutTime {
		return inForce
	}
	cut := s.bestCut(loads, fleet)
	if cut == inForce {
		return cut
	}
	s.cutAt = now
	s.long = make(map[keys.Class]bool, cut)
	for _, l := range loads[:cut] {
		s.long[l.class] = true
	}
	return cut
}

// cutInForce returns how many of the classes, from the first, are long by the cut in force.
func (s *Service) cutInForce(loads []classLoad) int {
	cut := 0
	for cut < len(loads) && s.long[loads[cut].class] {
		cut++
	}
	return cut
}

// bestCut returns how many of the classes should be long.
func (s *Service) bestCut(loads []classLoad, fleet *Fleet) int {
	requests := 0.0
	for _, l := range loads {
		requests += l.rate
	}
	mixed := s.late(loads, float64(fleet.Endpoints))
	best, gain := 0, leastGain*requests
	for cut := 1; cut < len(loads) && fleet.Endpoints >= 2; cut++ {
		_, late := s.bestSize(loads[:cut], loads[cut:], fleet)
		saved := mixed - late
		if s.isCut(loads[:cut]) {
			saved *= keptFactor
		}
		if saved > gain {
			best, gain = cut, saved
		}
	}
	return best
}

// bestSize returns how many endpoints the short classes should have, and the requests a ms that are late
// then.
func (s *Service) bestSize(long, short []classLoad, fleet *Fleet) (size, late float64) {
	endpoints := float64(fleet.Endpoints)
	if len(long) == 0 || fleet.Endpoints < 2 {
		return 0, 0
	}
	least, most := s.sizeBounds(long, short, endpoints)
	step := max((most-least)/sizesTried, 1)
	size, late = s.bestBetween(long, short, fleet, sizeRange{least, most, step})
	if step > 1 {
		size, late = s.bestBetween(long, short, fleet, sizeRange{max(size-step, least), min(size+step, most), max(step/sizesTried, 1)})
	}
	return size, late
}

// sizeRange is the numbers of endpoints to compare.
type sizeRange struct{ least, most, step float64 }

// bestBetween returns the best of a range of sizes, and the requests a ms that are late then.
func (s *Service) bestBetween(long, short []classLoad, fleet *Fleet, sizes sizeRange) (size, late float64) {
	endpoints := float64(fleet.Endpoints)
	late = math.Inf(1)
	for kept := sizes.least; kept <= sizes.most; kept += sizes.step {
		predicted := s.late(long, endpoints-kept) + s.late(short, kept) +
			overflow(long, endpoints-kept, fleet) + overflow(short, kept, fleet)
		if predicted < late {
			size, late = kept, predicted
		}
	}
	return size, late
}

// sizeBounds returns the least and the most endpoints that short classes should have, so that both sides
// can read what comes. If they can't, short classes come first: they need few.
func (s *Service) sizeBounds(long, short []classLoad, endpoints float64) (least, most float64) {
	least = max(s.busy(short, 1)/mostReading, 1)
	most = endpoints - max(s.busy(long, 1)/mostReading, 1)
	least = min(least, endpoints-1)
	return least, max(most, least)
}

// isCut reports whether the classes are the long ones already.
func (s *Service) isCut(loads []classLoad) bool {
	for _, l := range loads {
		if !s.long[l.class] {
			return false
		}
	}
	return len(loads) == len(s.long)
}

// settle returns the number of endpoints for the short classes if a size would be best: the one in force as
// long as it is about right. It falls only once it has been too large for a while, since streams that run
// at an endpoint suffer from the long prompts that are sent there next.
func (s *Service) settle(now time.Time, size float64, fleet *Fleet) int {
	inForce := float64(s.short)
	margin := max(sizeMargin, sizeMarginPart*inForce)
	if size > inForce-margin {
		s.neededAt = now
	}
	grows := size > inForce+margin || s.short == 0
	shrinks := now.Sub(s.neededAt) > shrinkAfter || size == 0 || s.short >= fleet.Endpoints
	if grows || shrinks {
		s.neededAt = now
		return int(math.Ceil(size - roundDown))
	}
	return s.short
}

// HarmTo returns the chance that the tightest of the short classes misses its target if a number of prompt
// tokens is read beside its streams.
func (s *Service) HarmTo(unread int) float64 { return s.merged.Harm(unread, s.tightest) }

// ShortMixed returns the chance that a short stream misses its target at an endpoint for long prompts that
// has a number of prompt tokens to read.
func (s *Service) ShortMixed(unread int) float64 { return max(s.met, s.HarmTo(unread)) }
