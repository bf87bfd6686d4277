package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Under overload the least urgent requests wait briefly and are refused first. The less urgent a request is, by its
// class and then by its workspace's tier, the smaller the share of an engine's slots up to which it is admitted. A
// request is not admitted either if its response would begin after callers abandon it. Requests of the most urgent
// classes and calls of services without prompts are always admitted: engines order them by the priority sent with them.
//
// A stream that has begun goes before all requests of its class that have not, and after those of the class above: its
// caller holds a part of the answer, and it may have fewer endpoints to go on at.

const (
	// leastUrgentShare is the share of an engine's slots up to which the least urgent requests of the lowest tier are
	// admitted; more urgent requests are admitted up to a share between it and 1. It is above one half: while half of
	// the slots are free, a request is served sooner than its caller could return.
	leastUrgentShare = 0.56
	// maxFirstEventTargets is the maximum predicted time to the first event, in multiples of its target. Callers
	// abandon a stream after four.
	maxFirstEventTargets = 4
)

// PriorityBounds holds the ends of the priority order of requests in the settings.
type PriorityBounds struct {
	// LowestTier is the highest tier number that a request can have.
	LowestTier int
	// LeastUrgent is the highest urgency number within a tier.
	LeastUrgent int
}

// PriorityBoundsOf returns the bounds of a settings tree.
func PriorityBoundsOf(tree *settings.Tree) PriorityBounds {
	var bounds PriorityBounds
	for _, workspace := range tree.Workspaces {
		if tier := workspace.Values.Tier; tier != nil {
			bounds.LowestTier = max(bounds.LowestTier, *tier)
		}
	}
	for _, class := range tree.Root.Classes {
		if urgency := class.Values.Urgency; urgency != nil {
			bounds.LeastUrgent = max(bounds.LeastUrgent, *urgency)
		}
		if tier := class.Values.Tier; tier != nil && len(tree.Workspaces) == 0 {
			bounds.LowestTier = max(bounds.LowestTier, *tier)
		}
	}
	return bounds
}

// isLeastUrgent reports whether a request is among the first to wait. Such a request waits for the endpoint that holds
// its prefix: processing the prefix elsewhere would take scarce capacity from other requests.
func (b *PriorityBounds) isLeastUrgent(request *admission.Request) bool {
	return !request.HasBegun && request.Tier >= b.LowestTier && request.Urgency >= b.LeastUrgent
}

// relativeRank returns the rank of a request relative to the last rank: 0 is the most urgent, 1 the least.
func (b *PriorityBounds) relativeRank(request *admission.Request) float64 {
	return float64(b.rank(request)) / float64(max(b.LeastUrgent*(b.LowestTier+1)+b.LowestTier, 1))
}

// rank orders requests by the urgency of their class, then by the tier of their workspace; 0 is the most urgent.
func (b *PriorityBounds) rank(request *admission.Request) int {
	first := min(request.Urgency, b.LeastUrgent) * (b.LowestTier + 1)
	if request.HasBegun {
		return max(first-1, 0)
	}
	return first + min(request.Tier, b.LowestTier)
}

// isSheddable reports whether a request may be refused for lack of room.
func (b *PriorityBounds) isSheddable(request *admission.Request) bool {
	return request.PromptTokens > 0 && b.LeastUrgent > 0 && effectiveUrgency(request) > 0
}

// effectiveUrgency returns the urgency of the class with which a request competes for room.
func effectiveUrgency(request *admission.Request) int {
	if request.HasBegun {
		return max(request.Urgency-1, 0)
	}
	return request.Urgency
}

// admits reports whether a request is admitted to an endpoint with a number of slots and of open requests. Zero slots
// means that the number of slots is unknown.
func (b *PriorityBounds) admits(request *admission.Request, slots, open int) bool {
	if !b.isSheddable(request) || slots == 0 {
		return true
	}
	part := 1 - (1-leastUrgentShare)*b.relativeRank(request)
	return open < int(part*float64(slots))
}

// admitsChoice reports whether a request is admitted to the endpoint chosen for it.
func (b *PriorityBounds) admitsChoice(request *admission.Request, choice *Choice) bool {
	tooLate := !request.HasBegun && request.FirstToken > 0 && choice.PredictedFirstEvent > maxFirstEventTargets*request.FirstToken
	return b.admits(request, choice.Slots, choice.Load.Requests) && (!tooLate || !b.isSheddable(request))
}

// withRoom returns the endpoints that admit a request.
func (v *View) withRoom(bounds *PriorityBounds, request *admission.Request, endpoints []*directory.Entry) []*directory.Entry {
	return filter(endpoints, func(e *directory.Entry) bool {
		return bounds.admits(request, e.Endpoint.MaxInFlight, v.loads.Total(e.ID).Requests)
	})
}

const (
	// slotWaitDivisor divides the latency target to bound the wait for a slot. A caller that is refused after a sixth of
	// its target has most of it left for a return.
	slotWaitDivisor = 6
	// maxSlotWait bounds the wait if the target is long.
	maxSlotWait = 500 * time.Millisecond
	// slotPollInterval is the time between two checks for a free slot: short compared with the wait, long compared with
	// the cost of a check (microseconds).
	slotPollInterval = 20 * time.Millisecond
)

// slotWait returns how long a request may wait for a slot before it is refused.
func slotWait(request *admission.Request) time.Duration {
	return min(max(request.FirstToken, request.WholeAnswer)/slotWaitDivisor, maxSlotWait)
}

// Bounds of the Retry-After of a refusal. Callers follow it only up to a third of the time that they have left.
const (
	// minRoomRetry and maxRoomRetry bound the time until room is expected.
	minRoomRetry = 500 * time.Millisecond
	maxRoomRetry = 4 * time.Second
	// roomRetrySpread is the share by which the retry times of requests refused together vary.
	roomRetrySpread = 0.5
	// rejectionRetry is for a caller whose request was rejected by an endpoint that rejects every request: a retry can
	// only succeed after that ends.
	rejectionRetry = time.Second
	// noEndpointRetry is about the time until an endpoint's entry returns or the host receives a new one.
	noEndpointRetry = 500 * time.Millisecond
)

// retryAfter returns when to retry after a refusal: after the prompts waiting at the chosen endpoint are processed,
// after the first endpoint has rested or has a permit left, or after noEndpointRetry if there is no endpoint. Random is
// in [0, 1).
func retryAfter(now time.Time, reason admission.Reason, choice *Choice, random float64) time.Duration {
	switch reason {
	case admission.ReasonNoRoom:
	case admission.ReasonResting:
		return choice.AvailableAt.Sub(now)
	case admission.ReasonLimited:
		return spreadRetry(max(choice.AvailableAt.Sub(now), minRoomRetry), random)
	default:
		return noEndpointRetry
	}
	return spreadRetry(min(max(choice.PredictedFirstEvent, minRoomRetry), maxRoomRetry), random)
}

// spreadRetry adds a random time, so that callers refused together don't retry together. Random is in [0, 1).
func spreadRetry(after time.Duration, random float64) time.Duration {
	return time.Duration(float64(after) * (1 + roomRetrySpread*random))
}

// rejectionRetryAfter returns when to retry if the chosen endpoint rejects the request, given the share of requests
// that it is expected to reject. It is short if the endpoint accepts most requests, since the next one is likely to be
// accepted.
func rejectionRetryAfter(share float64) time.Duration {
	return time.Duration(share * float64(rejectionRetry))
}
