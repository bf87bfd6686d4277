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
	usableSlots = 0.5
	// leastGain is the part of the requests that a cut must save from being late to be made, keptGain
	// the part from which a cut that was made stays, so that it does not come and go. Not measured.
	leastGain = 0.01
	keptGain  = 0.002
	// keptFactor is by how much the gain of the cut in force counts for more. Not measured.
	keptFactor = 2
	// leastRequests is how many requests of a class must have come lately to judge it. Not measured.
	leastRequests = 0.5
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

// decideSplit decides the cut and the number of endpoints on each side. It reports whether the number has
// changed.
func (s *Service) decideSplit(now time.Time, fleet *Fleet) bool {
	loads := s.loads(now, fleet)
	endpoints := float64(fleet.Endpoints)
	cut := s.bestCut(loads, endpoints)
	s.long = make(map[keys.Class]bool, cut)
	for _, l := range loads[:cut] {
		s.long[l.class] = true
	}
	size := s.size(loads[:cut], loads[cut:], fleet)
	s.tightest = tightestPause(loads[cut:])
	s.met = s.chanceMet(loads[:cut], loads[cut:], endpoints-size)
	before := s.short
	s.short = s.settle(now, size, fleet)
	return s.short != before
}

// bestCut returns how many of the classes are long.
func (s *Service) bestCut(loads []classLoad, endpoints float64) int {
	requests := 0.0
	for _, l := range loads {
		requests += l.rate
	}
	mixed := s.late(loads, endpoints)
	best, gain := 0, leastGain*requests
	if len(s.long) > 0 {
		gain = keptGain * requests
	}
	for cut := 1; cut < len(loads) && endpoints >= 2; cut++ {
		kept := shareOf(loads[:cut], loads[cut:], endpoints)
		saved := mixed - s.late(loads[:cut], endpoints-kept) - s.late(loads[cut:], kept)
		if s.isCut(loads[:cut]) {
			saved *= keptFactor
		}
		if saved > gain {
			best, gain = cut, saved
		}
	}
	return best
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

// shareOf returns how many endpoints short classes get by their prompt tokens.
func shareOf(long, short []classLoad, endpoints float64) float64 {
	of := func(loads []classLoad) float64 {
		tokens := 0.0
		for _, l := range loads {
			tokens += l.rate * l.prompt
		}
		return tokens
	}
	part := of(short) / max(of(short)+of(long), 1e-9)
	return min(max(part*endpoints, 1), endpoints-1)
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
// are read at its endpoint while it lasts.
func (s *Service) latePause(victim *classLoad, loads []classLoad, endpoints float64) float64 {
	harmful := 0.0
	for _, l := range loads {
		harmful += l.rate * s.merged.meanHarm(l.prompt, victim.Pause)
	}
	lasts := victim.open / victim.rate
	return 1 - math.Exp(-harmful*lasts/max(endpoints, 1))
}

// mostBusy bounds the part of the time that an engine is taken to read, where queues would have no end.
const mostBusy = 0.95

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
	wait := square / (1 - before) / (1 - all)
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
		harmful += l.rate * s.merged.meanHarm(l.unread, s.tightest)
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

// size returns how many endpoints the short classes should have, 0 without a cut.
func (s *Service) size(long, short []classLoad, fleet *Fleet) float64 {
	endpoints := float64(fleet.Endpoints)
	if len(long) == 0 || endpoints < 2 {
		return 0
	}
	share := shareOf(long, short, endpoints)
	needShort := max(share, slotsFor(short, fleet))
	needLong := max(endpoints-share, slotsFor(long, fleet))
	return min(max(needShort/(needShort+needLong)*endpoints, 1), endpoints-1)
}

// slotsFor returns how many endpoints have the slots for some classes.
func slotsFor(loads []classLoad, fleet *Fleet) float64 {
	if fleet.Slots == 0 {
		return 0
	}
	open := 0.0
	for _, l := range loads {
		open += l.open
	}
	return open / (float64(fleet.Slots) * usableSlots)
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
