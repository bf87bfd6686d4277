package engine

import (
	"cmp"
	"maps"
	"math"
	"slices"
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
	// leastGain is the part of the requests that a cut must save from being late to be made.
	leastGain = 0.01
	// cutTime is how long a cut stays at the least; one that was decided from traffic of a shorter time stays for that
	// time only. A fleet that had just started kept short prompts among others for ten seconds, by what it knew after
	// one.
	cutTime = 10 * time.Second
	// keptFactor is by how much the gain of the cut in force counts for more.
	keptFactor = 2
	// mostReading is the part of the time that the endpoints of a side may read on average.
	mostReading = 0.7
	// flatPart is by how much of the requests two numbers of endpoints may differ in those that are late and still be
	// as good.
	flatPart = 0.005
	// sizesTried is how many numbers of endpoints are compared at a time.
	sizesTried = 12
	// sizeMargin is by how many endpoints the best number must differ from the one in force to replace it,
	// sizeMarginPart the same as a part of that number.
	sizeMargin     = 0.75
	sizeMarginPart = 0.1
	// roundDown is the part of an endpoint that short classes do without.
	roundDown = 0.3
	// shrinkAfter is how long the number must have been too large.
	shrinkAfter = 5 * time.Second
)

// ShortEndpoints returns how many endpoints are kept for short classes.
func (s *Service) ShortEndpoints() int { return s.short }

// LongClasses returns how many classes are long.
func (s *Service) LongClasses() int { return len(s.long) }

// IsLong reports whether a class's prompts are to be kept away from those of short classes.
func (s *Service) IsLong(class keys.Class) bool { return s.long[class] }

// decideSplit decides the cut and the number of endpoints on each side. It reports whether that number has
// changed.
func (s *Service) decideSplit(now time.Time, fleet *Fleet) bool {
	loads := s.loads(now, fleet)
	s.countArrivals(loads)
	before := s.short
	if now.Before(s.adoptedUntil) {
		s.judge(loads, s.cutInForce(loads), float64(s.short), fleet)
		return false
	}
	cut := s.decideCut(now, loads, fleet)
	size, _ := s.bestSize(loads[:cut], loads[cut:], fleet)
	s.judge(loads, cut, size, fleet)
	s.short = s.settle(now, size, fleet)
	return s.short != before
}

// countArrivals adds up the rates of the long classes, and of all others.
func (s *Service) countArrivals(loads []classLoad) {
	s.arrivals = make(map[bool]float64)
	for _, l := range loads {
		s.arrivals[s.long[l.class]] += l.rate
	}
}

// Arrivals returns how many requests of the long classes, or of all others, come to all hosts in a ms.
func (s *Service) Arrivals(long bool) float64 { return s.arrivals[long] }

// judge predicts what a split means for the short classes.
func (s *Service) judge(loads []classLoad, cut int, size float64, fleet *Fleet) {
	s.tightest = tightestPause(loads[cut:])
	s.met = s.chanceMet(loads[:cut], loads[cut:], float64(fleet.Endpoints)-size)
}

// Split is how the endpoints of a service are divided.
type Split struct {
	// Short is how many endpoints are kept for short classes.
	Short int
	// Long are the classes that are kept away from them, in ascending order.
	Long []keys.Class
}

// Split returns the split in force.
func (s *Service) Split() Split {
	return Split{Short: s.short, Long: slices.Sorted(maps.Keys(s.long))}
}

// Adopt puts a split in force that another host has decided for all, for SumTimeout. A host that decides by
// itself after that goes on from it. It reports whether the number of endpoints has changed.
func (s *Service) Adopt(now time.Time, split Split) bool {
	changed := s.short != split.Short
	s.short, s.adoptedUntil, s.neededAt = split.Short, now.Add(SumTimeout), now
	if !slices.Equal(split.Long, s.Split().Long) {
		s.cutUntil = now.Add(cutTime)
		s.long = make(map[keys.Class]bool, len(split.Long))
		for _, class := range split.Long {
			s.long[class] = true
		}
	}
	return changed
}

// decideCut decides which classes are long, and returns their number. A cut stays for a while: streams
// suffer and caches are lost when endpoints change sides.
func (s *Service) decideCut(now time.Time, loads []classLoad, fleet *Fleet) int {
	inForce := s.cutInForce(loads)
	if inForce > 0 && now.Before(s.cutUntil) {
		return inForce
	}
	cut := s.bestCut(loads, fleet)
	if cut == inForce {
		return cut
	}
	s.cutUntil = now.Add(min(cutTime, now.Sub(s.sent.since)))
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
	mixed := s.late(loads, float64(fleet.Endpoints)) + overflow(loads, float64(fleet.Endpoints), fleet)
	best, gain := 0, leastGain*rateOf(loads)
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
// then. Where several numbers are about as good, it is the one in their middle: each side then has room for
// bursts.
func (s *Service) bestSize(long, short []classLoad, fleet *Fleet) (size, late float64) {
	endpoints := float64(fleet.Endpoints)
	if len(long) == 0 || fleet.Endpoints < 2 {
		return 0, 0
	}
	least, most := s.sizeBounds(long, short, endpoints)
	step := max((most-least)/sizesTried, 1)
	sizes := s.lateBySize(long, short, fleet, sizeRange{least, most, step})
	best := slices.MinFunc(sizes, func(a, b sizeLate) int { return cmp.Compare(a.late, b.late) })
	if step > 1 {
		around := sizeRange{max(best.size-step, least), min(best.size+step, most), max(step/sizesTried, 1)}
		sizes = append(sizes, s.lateBySize(long, short, fleet, around)...)
		best = slices.MinFunc(sizes, func(a, b sizeLate) int { return cmp.Compare(a.late, b.late) })
	}
	asGood := best.late + flatPart*(rateOf(long)+rateOf(short))
	first, last := best.size, best.size
	for _, other := range sizes {
		if other.late <= asGood {
			first, last = min(first, other.size), max(last, other.size)
		}
	}
	return (first + last) / 2, best.late
}

// sizeRange is the numbers of endpoints to compare.
type sizeRange struct{ least, most, step float64 }

// sizeLate is the requests a ms that are late with a number of endpoints.
type sizeLate struct{ size, late float64 }

// lateBySize predicts the requests a ms that are late with each of a range of sizes.
func (s *Service) lateBySize(long, short []classLoad, fleet *Fleet, sizes sizeRange) []sizeLate {
	endpoints := float64(fleet.Endpoints)
	var late []sizeLate
	for kept := sizes.least; kept <= sizes.most; kept += sizes.step {
		late = append(late, sizeLate{size: kept, late: s.late(long, endpoints-kept) + s.late(short, kept) +
			overflow(long, endpoints-kept, fleet) + overflow(short, kept, fleet)})
	}
	return late
}

// sizeBounds returns the least and the most endpoints that short classes should have, so that both sides
// can read what comes. If they can't, short classes come first, with up to twice of what they need at the least:
// they need few, and streams pause at endpoints that are busy all the time.
func (s *Service) sizeBounds(long, short []classLoad, endpoints float64) (least, most float64) {
	least = max(s.busy(short, 1)/mostReading, 1)
	most = endpoints - max(s.busy(long, 1)/mostReading, 1)
	least = min(least, endpoints-1)
	return least, max(most, min(2*least, endpoints/2), least)
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

// ShortMissProb returns the chance that the tightest of the short classes misses its target if a number of prompt
// tokens is read beside its streams.
func (s *Service) ShortMissProb(unread int) float64 { return s.merged.MissProb(unread, s.tightest) }

// MixedMissProb returns the chance that a short stream misses its target at an endpoint for long prompts that
// has a number of prompt tokens to read.
func (s *Service) MixedMissProb(unread int) float64 { return max(s.met, s.ShortMissProb(unread)) }
