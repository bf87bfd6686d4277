package engine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The split: which classes are long, and how many endpoints are kept for all others. While an engine
// reads a long prompt, each of its steps takes longer, and the streams beside it pause.
//
// The classes are cut in two by the length of their prompts, where the fewest requests are predicted to be
// late; if that saves next to nothing, there is no cut. Each side gets endpoints in proportion to its
// prompt tokens, and slots for the streams that it has open. All hosts decide from the same reports.

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
	// usableSlots is the part of the slots that streams may take on average: bursts need the rest.
	// Not measured.
	usableSlots = 0.65
	// leastGain is the part of the requests that a cut must save from being late to be made. Not
	// measured.
	leastGain = 0.01
	// cutTime is how long a cut stays at the least. Not measured.
	cutTime = 10 * time.Second
	// keptFactor is by how much the gain of the cut in force counts for more. Not measured.
	keptFactor = 2
	// leastRequests is how many requests of a class must have come lately to judge it. Not measured.
	leastRequests = 3
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

// classLoad is the load of one class on all endpoints, for a prediction.
type classLoad struct {
	class keys.Class
	Targets
	// rate is in requests a ms, prompt and unread are the mean prompt tokens of one.
	rate, prompt, unread float64
	// open is the number of open requests.
	open float64
}

// loads returns the load of each class, those with the longest prompts first.
func (s *Service) loads(now time.Time, fleet *Fleet) []classLoad {
	var loads []classLoad
	for class, d := range s.allTraffic(now, fleet.Hosts) {
		if d.Requests < leastRequests {
			continue
		}
		loads = append(loads, classLoad{
			class: class, Targets: fleet.Targets[class], rate: d.Requests / milliseconds(trafficTime),
			prompt: d.Prompt / d.Requests, unread: d.Unread / d.Requests, open: d.Open,
		})
	}
	slices.SortFunc(loads, func(a, b classLoad) int {
		return cmp.Or(-cmp.Compare(a.prompt, b.prompt), cmp.Compare(a.class, b.class))
	})
	return loads
}

// decideSplit decides the cut and the number of endpoints on each side. It reports whether either has
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

// overflow predicts the requests a ms that find no slot at a number of endpoints.
func overflow(loads []classLoad, endpoints float64, fleet *Fleet) float64 {
	if fleet.Slots == 0 {
		return 0
	}
	var open, rate float64
	for _, l := range loads {
		open += l.open
		rate += l.rate
	}
	return rate * max(1-endpoints*float64(fleet.Slots)*usableSlots/max(open, 1), 0)
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

// late predicts the requests a ms that are late if classes share a number of endpoints.
func (s *Service) late(loads []classLoad, endpoints float64) float64 {
	late := 0.0
	for i := range loads {
		l := &loads[i]
		late += l.rate * max(s.latePause(l, loads, endpoints), s.lateFirst(l, loads, endpoints))
	}
	return late
}

// latePause returns the chance that a stream of a class pauses too long: it meets the harmful prompts that
// are read at its endpoint while it lasts. The busier the endpoint, the more prompts are read at a time.
func (s *Service) latePause(victim *classLoad, loads []classLoad, endpoints float64) float64 {
	idle := 1 - min(s.busy(loads, endpoints), mostBusy)
	harmful := 0.0
	for _, l := range loads {
		harmful += l.rate * s.merged.meanHarm(l.unread, 1/idle, victim.Pause)
	}
	return 1 - math.Exp(-harmful*victim.open/victim.rate/max(endpoints, 1))
}

// busy returns the part of the time that endpoints are busy reading.
func (s *Service) busy(loads []classLoad, endpoints float64) float64 {
	unread := 0.0
	for _, l := range loads {
		unread += l.rate * l.unread
	}
	return unread / s.merged.ReadRate.Value / max(endpoints, 1)
}

// mostBusy bounds the part of the time that an engine is taken to read, where queues would have no end.
const mostBusy = 0.95

// burstiness is by how much longer requests wait than if they came one by one. Measured (mean worth of six
// days on omed-mty, pwhc-shared, mfs-kochi): 1 gave .737, .831, .848, 2 gave .743, .829, .845, 4 gave .741,
// .831, .854.
const burstiness = 3

// lateFirst returns the chance that the first event of a class's request comes late: that of a queue in
// which more urgent prompts are read first, with an exponential wait.
func (s *Service) lateFirst(waiting *classLoad, loads []classLoad, endpoints float64) float64 {
	if waiting.First == 0 {
		return 0
	}
	var before, all, square float64
	for _, l := range loads {
		read := l.unread / s.merged.ReadRate.Value
		busy := l.rate / max(endpoints, 1) * read
		all += busy
		square += busy * read
		if l.Urgency < waiting.Urgency {
			before += busy
		}
	}
	before, all = min(before, mostBusy), min(all, mostBusy)
	wait := burstiness * square / (1 - before) / (1 - all)
	if wait <= 0 {
		return 0
	}
	own := waiting.unread / s.merged.ReadRate.Value
	return all * math.Exp(-max(milliseconds(waiting.First)-own, 0)/wait)
}

// tightestPause returns the least target for pauses, or 0.
func tightestPause(loads []classLoad) time.Duration {
	var least time.Duration
	for _, l := range loads {
		if l.Pause > 0 && (least == 0 || l.Pause < least) {
			least = l.Pause
		}
	}
	return least
}

// chanceMet returns the chance that a stream of the short classes misses its target if it runs at one of
// the endpoints for long ones.
func (s *Service) chanceMet(long, short []classLoad, endpoints float64) float64 {
	var harmful, rate, open float64
	for _, l := range long {
		harmful += l.rate * s.merged.meanHarm(l.unread, 1, s.tightest)
	}
	for _, l := range short {
		rate += l.rate
		open += l.open
	}
	if rate == 0 {
		return 0
	}
	return 1 - math.Exp(-harmful*open/rate/max(endpoints, 1))
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
