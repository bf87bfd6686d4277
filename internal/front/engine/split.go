package engine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The split determines which classes are long, and how many endpoints are reserved for all other classes. While an
// engine processes a long prompt, each of its steps takes longer, and the streams beside it pause.
//
// The classes, ordered by the length of their prompts, are cut in two where the fewest requests are predicted to be
// late (predict.go); if that saves next to nothing, there is no cut. The number of endpoints for the short classes is
// the one with the fewest late requests, within the bounds set by the load of both sides. All hosts decide from the
// same reports, and a decision stays in force for a while.

// Targets holds the latency targets of a request class.
type Targets struct {
	// First and Pause are the targets for the first event and for pauses; 0 means none.
	First time.Duration
	Pause time.Duration
	// Urgency orders the requests that wait at an engine; 0 is the most urgent.
	Urgency int
}

// Fleet holds the inputs of a split other than the learned figures.
type Fleet struct {
	// Endpoints is the number of endpoints that take new work, and Slots the number of requests that each runs
	// concurrently; 0 means unknown.
	Endpoints int
	Slots     int
	// Hosts is the number of live hosts, this one included.
	Hosts   int
	Targets map[keys.Class]Targets
}

const (
	// minCutGain is the minimum share of the requests that a cut must save from being late.
	minCutGain = 0.01
	// minCutTime is the minimum time for which a cut stays in force. A cut decided from traffic of a shorter time stays
	// only for that time: a wrong cut from the first second of a fleet's traffic would otherwise leave short prompts
	// beside long ones for ten seconds.
	minCutTime = 10 * time.Second
	// currentCutFactor is the factor by which the gain of the cut in force is multiplied.
	currentCutFactor = 2
	// maxSideUtilization is the maximum mean utilization of the endpoints of a side.
	maxSideUtilization = 0.7
	// equalLateShare is the difference in late requests, as a share of all requests, up to which two numbers of
	// endpoints count as equally good.
	equalLateShare = 0.005
	// maxSizeSteps is the number of intervals into which a range of endpoint numbers is divided for a comparison.
	maxSizeSteps = 12
	// sizeMargin is the number of endpoints, and sizeMarginShare the share of the number in force, by which the best
	// number must differ from the one in force to replace it.
	sizeMargin      = 0.75
	sizeMarginShare = 0.1
	// roundDownMargin is the fraction of an endpoint below which the number of endpoints for short classes is rounded
	// down.
	roundDownMargin = 0.3
	// shrinkDelay is how long the number must have been too large before it is reduced.
	shrinkDelay = 5 * time.Second
)

// ShortEndpoints returns the number of endpoints reserved for short classes.
func (s *Service) ShortEndpoints() int { return s.short }

// LongClasses returns the number of long classes.
func (s *Service) LongClasses() int { return len(s.long) }

// IsLong reports whether the prompts of a class are kept away from the short classes.
func (s *Service) IsLong(class keys.Class) bool { return s.long[class] }

// decideSplit decides the cut and the number of endpoints on each side. It reports whether that number has changed.
func (s *Service) decideSplit(now time.Time, fleet *Fleet) bool {
	loads := s.loads(now, fleet)
	s.countArrivals(loads)
	before := s.short
	if now.Before(s.adoptedUntil) {
		s.predictMisses(loads, s.cutInForce(loads), float64(s.short), fleet)
		return false
	}
	cut := s.decideCut(now, loads, fleet)
	size, _ := s.bestSize(loads[:cut], loads[cut:], fleet)
	s.predictMisses(loads, cut, size, fleet)
	s.short = s.stableSize(now, size, fleet)
	return s.short != before
}

// countArrivals sums the rates of the long classes, and those of the short classes.
func (s *Service) countArrivals(loads []classLoad) {
	s.arrivals = make(map[bool]float64)
	for _, l := range loads {
		s.arrivals[s.long[l.class]] += l.rate
	}
}

// Arrivals returns the requests per ms at all hosts, either of the long classes or of the short ones.
func (s *Service) Arrivals(long bool) float64 { return s.arrivals[long] }

// predictMisses predicts the effect of a split on the short classes.
func (s *Service) predictMisses(loads []classLoad, cut int, size float64, fleet *Fleet) {
	s.minPause = minPauseTarget(loads[cut:])
	s.mixedMiss = s.longPromptMissProb(loads[:cut], loads[cut:], float64(fleet.Endpoints)-size)
}

// Split is the division of a service's endpoints.
type Split struct {
	// Short is the number of endpoints reserved for short classes.
	Short int
	// Long holds the long classes, in ascending order.
	Long []keys.Class
}

// Split returns the split in force.
func (s *Service) Split() Split {
	return Split{Short: s.short, Long: slices.Sorted(maps.Keys(s.long))}
}

// Adopt puts a split in force that another host has decided for the fleet, for SumTimeout. A host that decides by
// itself afterwards starts from it. It reports whether the number of endpoints has changed.
func (s *Service) Adopt(now time.Time, split Split) bool {
	changed := s.short != split.Short
	s.short, s.adoptedUntil, s.lastNeededAt = split.Short, now.Add(SumTimeout), now
	if !slices.Equal(split.Long, s.Split().Long) {
		s.cutFixedUntil = now.Add(minCutTime)
		s.long = make(map[keys.Class]bool, len(split.Long))
		for _, class := range split.Long {
			s.long[class] = true
		}
	}
	return changed
}

// decideCut decides which classes are long, and returns their number. A cut stays in force for a while: if endpoints
// change sides, streams suffer and cached prefixes are lost.
func (s *Service) decideCut(now time.Time, loads []classLoad, fleet *Fleet) int {
	inForce := s.cutInForce(loads)
	if inForce > 0 && now.Before(s.cutFixedUntil) {
		return inForce
	}
	cut := s.bestCut(loads, fleet)
	if cut == inForce {
		return cut
	}
	s.cutFixedUntil = now.Add(min(minCutTime, now.Sub(s.sent.since)))
	s.long = make(map[keys.Class]bool, cut)
	for _, l := range loads[:cut] {
		s.long[l.class] = true
	}
	return cut
}

// cutInForce returns how many of the classes, counted from the first, are long by the cut in force.
func (s *Service) cutInForce(loads []classLoad) int {
	cut := 0
	for cut < len(loads) && s.long[loads[cut].class] {
		cut++
	}
	return cut
}

// bestCut returns how many of the classes should be long.
func (s *Service) bestCut(loads []classLoad, fleet *Fleet) int {
	mixed := s.lateRate(loads, float64(fleet.Endpoints)) + overflowRate(loads, float64(fleet.Endpoints), fleet)
	best, gain := 0, minCutGain*totalRate(loads)
	for cut := 1; cut < len(loads) && fleet.Endpoints >= 2; cut++ {
		_, late := s.bestSize(loads[:cut], loads[cut:], fleet)
		saved := mixed - late
		if s.isCutInForce(loads[:cut]) {
			saved *= currentCutFactor
		}
		if saved > gain {
			best, gain = cut, saved
		}
	}
	return best
}

// bestSize returns the best number of endpoints for the short classes, and the rate of late requests, per ms, with that
// number. If several numbers are about equally good, it returns the middle of their range, which leaves both sides room
// for bursts.
func (s *Service) bestSize(long, short []classLoad, fleet *Fleet) (size, late float64) {
	endpoints := float64(fleet.Endpoints)
	if len(long) == 0 || fleet.Endpoints < 2 {
		return 0, 0
	}
	minSize, maxSize := s.sizeBounds(long, short, endpoints)
	step := max((maxSize-minSize)/maxSizeSteps, 1)
	sizes := s.lateRateBySize(long, short, fleet, sizeRange{minSize, maxSize, step})
	best := slices.MinFunc(sizes, func(a, b sizeLate) int { return cmp.Compare(a.late, b.late) })
	if step > 1 {
		around := sizeRange{max(best.size-step, minSize), min(best.size+step, maxSize), max(step/maxSizeSteps, 1)}
		sizes = append(sizes, s.lateRateBySize(long, short, fleet, around)...)
		best = slices.MinFunc(sizes, func(a, b sizeLate) int { return cmp.Compare(a.late, b.late) })
	}
	lateLimit := best.late + equalLateShare*(totalRate(long)+totalRate(short))
	first, last := best.size, best.size
	for _, other := range sizes {
		if other.late <= lateLimit {
			first, last = min(first, other.size), max(last, other.size)
		}
	}
	return (first + last) / 2, best.late
}

// sizeRange is a range of endpoint numbers to compare.
type sizeRange struct{ minSize, maxSize, step float64 }

// sizeLate is the rate of late requests, per ms, with a number of endpoints.
type sizeLate struct{ size, late float64 }

// lateRateBySize predicts the rate of late requests, per ms, for each of a range of sizes.
func (s *Service) lateRateBySize(long, short []classLoad, fleet *Fleet, sizes sizeRange) []sizeLate {
	endpoints := float64(fleet.Endpoints)
	var late []sizeLate
	for kept := sizes.minSize; kept <= sizes.maxSize; kept += sizes.step {
		late = append(late, sizeLate{size: kept, late: s.lateRate(long, endpoints-kept) + s.lateRate(short, kept) +
			overflowRate(long, endpoints-kept, fleet) + overflowRate(short, kept, fleet)})
	}
	return late
}

// sizeBounds returns the bounds on the number of endpoints for short classes within which both sides can process their
// prompts. If there is no such number, short classes take precedence: the upper bound is then twice their minimum, or
// half of all endpoints if that is less, but never below the minimum. They need few endpoints, and streams pause at
// endpoints that are always busy.
func (s *Service) sizeBounds(long, short []classLoad, endpoints float64) (minSize, maxSize float64) {
	minSize = max(s.utilization(short, 1)/maxSideUtilization, 1)
	maxSize = endpoints - max(s.utilization(long, 1)/maxSideUtilization, 1)
	minSize = min(minSize, endpoints-1)
	return minSize, max(maxSize, min(2*minSize, endpoints/2), minSize)
}

// isCutInForce reports whether the classes are exactly the long ones of the cut in force.
func (s *Service) isCutInForce(loads []classLoad) bool {
	for _, l := range loads {
		if !s.long[l.class] {
			return false
		}
	}
	return len(loads) == len(s.long)
}

// stableSize returns the number of endpoints for the short classes, given the best size. It keeps the number in force
// while that is about right. The number is reduced only after it has been too large for a while, since streams running
// at an endpoint suffer from the long prompts sent there next.
func (s *Service) stableSize(now time.Time, size float64, fleet *Fleet) int {
	inForce := float64(s.short)
	margin := max(sizeMargin, sizeMarginShare*inForce)
	if size > inForce-margin {
		s.lastNeededAt = now
	}
	grows := size > inForce+margin || s.short == 0
	shrinks := now.Sub(s.lastNeededAt) > shrinkDelay || size == 0 || s.short >= fleet.Endpoints
	if grows || shrinks {
		s.lastNeededAt = now
		return int(math.Ceil(size - roundDownMargin))
	}
	return s.short
}

// ShortMissProb returns the probability that the short class with the lowest pause target misses it while a number of
// prompt tokens is processed beside its streams. Slowness is the factor by which the endpoint's pauses are longer than
// at the mean endpoint.
func (s *Service) ShortMissProb(unread int, slowness float64) float64 {
	return s.merged.MissProb(unread, time.Duration(float64(s.minPause)/slowness))
}

// MixedMissProb returns the probability that a short stream misses its target at an endpoint for long prompts with a
// number of unprocessed prompt tokens, and a slowness as in ShortMissProb.
func (s *Service) MixedMissProb(unread int, slowness float64) float64 {
	return max(s.mixedMiss, s.ShortMissProb(unread, slowness))
}
