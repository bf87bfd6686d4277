package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Under overload the least urgent requests wait a little and are refused first. The rule: the less urgent
// a request, by its class and then by its workspace's tier, the smaller the part of an engine's slots up to
// which it is admitted; and it is not admitted where its answer would begin so late that callers give up.
// Requests of the most urgent classes and calls of plain services are always admitted: engines order those
// themselves by the priority they are sent.

const (
	// leastUrgentSlots is the part of an engine's slots up to which the least urgent requests of the lowest tier are
	// admitted. More urgent ones are admitted up to a part between it and all. It lies above one half because the users
	// price a refusal while half of the slots are free.
	leastUrgentSlots = 0.56
	// hopelessTargets is how many targets the first event may be predicted to take. Callers on the users'
	// platform give up a stream after four.
	hopelessTargets = 4
)

// PriorityBounds are the ends of the order of requests, by the settings in force.
type PriorityBounds struct {
	// LowestTier is the highest number of a tier that a request can have.
	LowestTier int
	// LeastUrgent is the highest number of an urgency within a tier.
	LeastUrgent int
}

// PriorityBoundsOf finds the ends of the order in a tree.
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

// isLeast reports whether a request is among the first to wait. Such a request waits for
// the endpoint that holds its prefix: processing the prefix elsewhere would take scarce
// capacity from the others.
func (b *PriorityBounds) isLeast(request *admission.Request) bool {
	return request.Tier >= b.LowestTier && request.Urgency >= b.LeastUrgent
}

// grade returns how little urgent a request is, from 0 to 1.
func (b *PriorityBounds) grade(request *admission.Request) float64 {
	return float64(b.rank(request)) / float64(max(b.LeastUrgent*(b.LowestTier+1)+b.LowestTier, 1))
}

// rank orders requests by the urgency of their class, then by the tier of their workspace; 0 is the first.
func (b *PriorityBounds) rank(request *admission.Request) int {
	return min(request.Urgency, b.LeastUrgent)*(b.LowestTier+1) + min(request.Tier, b.LowestTier)
}

// isBounded reports whether a request may be refused for lack of room.
func (b *PriorityBounds) isBounded(request *admission.Request) bool {
	return request.PromptTokens > 0 && b.LeastUrgent > 0 && request.Urgency > 0
}

// admits reports whether a request is admitted to an endpoint with a number of slots and of
// open requests. Zero slots means that their number is not known.
func (b *PriorityBounds) admits(request *admission.Request, slots, open int) bool {
	if !b.isBounded(request) || slots == 0 {
		return true
	}
	part := 1 - (1-leastUrgentSlots)*b.grade(request)
	return open < int(part*float64(slots))
}

// admitsChoice reports whether a request is admitted to the endpoint that was chosen for it.
func (b *PriorityBounds) admitsChoice(request *admission.Request, choice *Choice) bool {
	hopeless := request.FirstToken > 0 && choice.PredictedFirstEvent > hopelessTargets*request.FirstToken
	return b.admits(request, choice.Slots, choice.Load.Requests) && (!hopeless || !b.isBounded(request))
}

// admitting leaves out the endpoints that do not admit a request.
func (v *View) admitting(bounds *PriorityBounds, request *admission.Request, endpoints []*directory.Entry) []*directory.Entry {
	return keep(endpoints, func(e *directory.Entry) bool {
		return bounds.admits(request, e.Endpoint.MaxInFlight, v.loads.Total(e.ID).Requests)
	})
}

const (
	// waitPart bounds the wait for a slot to the latency target divided by it. The users credit a refusal only if it
	// comes within a quarter of the target, so a sixth leaves time for the way back.
	waitPart = 6
	// maxWait bounds the wait where the target is long.
	maxWait = 500 * time.Millisecond
	// slotPoll is the time between two looks for a slot: short against the wait, long against the cost of a look
	// (microseconds).
	slotPoll = 20 * time.Millisecond
)

// waitFor returns how long a request may wait for a slot before it is refused.
func waitFor(request *admission.Request) time.Duration {
	return min(max(request.FirstToken, request.WholeAnswer)/waitPart, maxWait)
}

// When a refused caller should come back: callers heed it only up to a third of the time that they have left.
const (
	// leastRoomRetry and mostRoomRetry bound the time after which there should be room.
	leastRoomRetry = 500 * time.Millisecond
	mostRoomRetry  = 4 * time.Second
	// roomRetrySpread is the part by which those refused together come back at different times.
	roomRetrySpread = 0.5
	// rejectedRetry is for a caller whose request was rejected by an endpoint that rejects all: it has a chance only
	// once that is over.
	rejectedRetry = time.Second
	// noEndpointRetry is about the time in which an endpoint's entry comes back or a host
	// learns of one.
	noEndpointRetry = 500 * time.Millisecond
)

// retryAfter returns when to come back after a refusal: when what waits at the endpoint that was chosen
// will be read, when the first endpoint has rested or has a permit left, and at once where there is none. Random is from 0 up to 1.
func retryAfter(now time.Time, reason admission.Reason, choice *Choice, random float64) time.Duration {
	switch reason {
	case admission.ReasonNoRoom:
	case admission.ReasonResting:
		return choice.AvailableAt.Sub(now)
	case admission.ReasonLimited:
		return spreadRetry(max(choice.AvailableAt.Sub(now), leastRoomRetry), random)
	default:
		return noEndpointRetry
	}
	return spreadRetry(min(max(choice.PredictedFirstEvent, leastRoomRetry), mostRoomRetry), random)
}

// spreadRetry makes a time longer at random, so that those refused together do not come back together. Random is from 0 up
// to 1.
func spreadRetry(after time.Duration, random float64) time.Duration {
	return time.Duration(float64(after) * (1 + roomRetrySpread*random))
}

// rejectedRetryAfter returns when to come back if the endpoint that was chosen rejects the request, which it is expected to
// do with a share of all: at once while it takes most, since the next may be taken.
func rejectedRetryAfter(share float64) time.Duration {
	return time.Duration(share * float64(rejectedRetry))
}
