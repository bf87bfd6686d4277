package engine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Predictions of how many requests miss their targets if some classes share a number of endpoints: their streams pause
// while prompts are processed there, their first events wait for the prompts ahead of them, or they find no slot.

const (
	// usableSlotShare is the share of the slots that streams may occupy on average: bursts need the rest.
	usableSlotShare = 0.65
	// minClassRequests is the minimum number of recent requests of a class for a prediction.
	minClassRequests = 3
)

// classLoad is the load of one class on all endpoints, as the input of a prediction.
type classLoad struct {
	class keys.Class
	Targets
	// rate is in requests per ms; prompt and unread are the mean numbers of prompt tokens per request.
	rate, prompt, unread float64
	// open is the number of open requests.
	open float64
}

// loads returns the load of each class, in descending order of prompt length.
func (s *Service) loads(now time.Time, fleet *Fleet) []classLoad {
	var loads []classLoad
	for class, d := range s.allTraffic(now, fleet.Hosts) {
		if d.Requests < minClassRequests {
			continue
		}
		loads = append(loads, classLoad{
			class: class, Targets: fleet.Targets[class], rate: d.Requests / milliseconds(trafficTimeConstant),
			prompt: d.Prompt / d.Requests, unread: d.Unread / d.Requests, open: d.Open,
		})
	}
	slices.SortFunc(loads, func(a, b classLoad) int {
		return cmp.Or(-cmp.Compare(a.prompt, b.prompt), cmp.Compare(a.class, b.class))
	})
	return loads
}

// totalRate returns the sum of the classes' rates, in requests per ms.
func totalRate(loads []classLoad) float64 {
	rate := 0.0
	for _, l := range loads {
		rate += l.rate
	}
	return rate
}

// lateRate predicts the rate of late requests, per ms, if classes share a number of endpoints.
func (s *Service) lateRate(loads []classLoad, endpoints float64) float64 {
	late := 0.0
	for i := range loads {
		l := &loads[i]
		late += l.rate * max(s.pauseMissProb(l, loads, endpoints), s.firstEventMissProb(l, loads, endpoints))
	}
	return late
}

// pauseMissProb returns the probability that a stream of a class pauses too long because of the prompts processed at
// its endpoint while it runs. The higher the utilization, the more prompts are processed together.
func (s *Service) pauseMissProb(affected *classLoad, loads []classLoad, endpoints float64) float64 {
	idle := 1 - min(s.utilization(loads, endpoints), maxUtilization)
	harmful := 0.0
	for _, l := range loads {
		harmful += l.rate * s.merged.meanMissProb(l.unread, 1/idle, affected.Pause)
	}
	return 1 - math.Exp(-harmful*affected.open/affected.rate/max(endpoints, 1))
}

// utilization returns the share of the time in which endpoints process prompts.
func (s *Service) utilization(loads []classLoad, endpoints float64) float64 {
	unread := 0.0
	for _, l := range loads {
		unread += l.rate * l.unread
	}
	return unread / s.merged.ReadRate.Value / max(endpoints, 1)
}

// maxUtilization bounds the utilization of an engine in predictions, since queues would grow without bound.
const maxUtilization = 0.95

// queueChoices is the number of endpoints of which each request is assumed to get the better one. Two is conservative,
// since the compared endpoints differ in more than their queues. At 73 % utilization of 320 engines this predicts that
// 2 % of the longest requests have a late first event, which matches the observed share; a model of randomly filled
// queues predicts 49 %.
const queueChoices = 2

// firstEventMissProb returns the probability that the first event of a class's request is late. If each request goes to
// the better of c = queueChoices endpoints, a queue holds at least n requests with probability utilization^((c^n - 1) /
// (c - 1)). More urgent and equally urgent requests are processed first.
func (s *Service) firstEventMissProb(waiting *classLoad, loads []classLoad, endpoints float64) float64 {
	if waiting.First == 0 {
		return 0
	}
	var busy, square float64
	for _, l := range loads {
		if l.Urgency > waiting.Urgency {
			continue
		}
		read := l.unread / s.merged.ReadRate.Value
		part := l.rate / max(endpoints, 1) * read
		busy += part
		square += part * read
	}
	if square <= 0 {
		return 0
	}
	// The probability of finding a request in process is proportional to the request's length.
	read := square / busy
	slack := max(milliseconds(waiting.First)-waiting.unread/s.merged.ReadRate.Value, 0)
	longer := (math.Pow(queueChoices, slack/read) - 1) / (queueChoices - 1)
	return math.Pow(min(busy, maxUtilization), max(longer, 1))
}

// minPauseTarget returns the lowest target for pauses, or 0.
func minPauseTarget(loads []classLoad) time.Duration {
	var lowest time.Duration
	for _, l := range loads {
		if l.Pause > 0 && (lowest == 0 || l.Pause < lowest) {
			lowest = l.Pause
		}
	}
	return lowest
}

// longPromptMissProb returns the probability that a stream of the short classes misses its target if it runs at one
// of the endpoints for long prompts.
func (s *Service) longPromptMissProb(long, short []classLoad, endpoints float64) float64 {
	rate := totalRate(short)
	if rate == 0 {
		return 0
	}
	var harmful, open float64
	for _, l := range long {
		harmful += l.rate * s.merged.meanMissProb(l.unread, 1, s.minPause)
	}
	for _, l := range short {
		open += l.open
	}
	return 1 - math.Exp(-harmful*open/rate/max(endpoints, 1))
}

// overflowRate predicts the rate of requests, per ms, that find no slot at a number of endpoints.
func overflowRate(loads []classLoad, endpoints float64, fleet *Fleet) float64 {
	if fleet.Slots == 0 {
		return 0
	}
	open := 0.0
	for _, l := range loads {
		open += l.open
	}
	return totalRate(loads) * max(1-endpoints*float64(fleet.Slots)*usableSlotShare/max(open, 1), 0)
}
