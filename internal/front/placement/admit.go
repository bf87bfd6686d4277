package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Under overload the least urgent requests wait a little and are refused first. The rule:
// the less urgent a request, the smaller the part of an engine's slots up to which it is
// admitted. Requests of higher tiers, the most urgent of the lowest tier, and calls of plain
// services are always admitted: engines order those themselves by the priority they are sent.

// leastUrgentSlots is the part of an engine's slots up to which the least urgent requests of
// the lowest tier are admitted. More urgent ones are admitted up to a part between it and
// all. It lies above one half because the users price a refusal while half of the slots are
// free. Measured with five times the usual traffic (b054636, 6ab330c, worth): pwhc-shared
// 0.69 without it, 0.80 with it; mfs-kochi 0.43 and 0.67; standard days unchanged.
const leastUrgentSlots = 0.56

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

// admits reports whether a request is admitted to an endpoint with a number of slots and of
// open requests. Zero slots means that their number is not known.
func (b *PriorityBounds) admits(request *admission.Request, slots, open int) bool {
	unbounded := request.PromptTokens == 0 || slots == 0 || request.Tier < b.LowestTier
	if unbounded || b.LeastUrgent == 0 || request.Urgency == 0 {
		return true
	}
	grade := float64(min(request.Urgency, b.LeastUrgent)) / float64(b.LeastUrgent)
	part := 1 - (1-leastUrgentSlots)*grade
	return open < int(part*float64(slots))
}

// admitting leaves out the endpoints that do not admit a request.
func (v *View) admitting(bounds *PriorityBounds, request *admission.Request, endpoints []*directory.Entry) []*directory.Entry {
	return keep(endpoints, func(e *directory.Entry) bool {
		return bounds.admits(request, e.Endpoint.MaxInFlight, v.loads.Total(e.ID).Requests)
	})
}

const (
	// waitPart bounds the wait for a slot to the latency target divided by it. The users
	// credit a refusal only if it comes within a quarter of the target, so a sixth leaves
	// time for the way back. Not measured on its own.
	waitPart = 6
	// maxWait bounds the wait where the target is long. Not measured.
	maxWait = 500 * time.Millisecond
	// slotPoll is the time between two looks for a slot: short against the wait, long
	// against the cost of a look (microseconds). Not measured.
	slotPoll = 20 * time.Millisecond
)

// waitFor returns how long a request may wait for a slot before it is refused.
func waitFor(request *admission.Request) time.Duration {
	return min(max(request.FirstToken, request.WholeAnswer)/waitPart, maxWait)
}

// When a refused caller should come back. Not measured: callers heed it only up to a third
// of the time that they have left.
const (
	// noSlotRetry is about the time in which an engine finishes a few requests.
	noSlotRetry = 2 * time.Second
	// noEndpointRetry is about the time in which an endpoint's entry comes back or a host
	// learns of one.
	noEndpointRetry = 500 * time.Millisecond
)

// retryAfter returns when to come back after a refusal.
func retryAfter(reason admission.Reason) time.Duration {
	if reason == admission.ReasonNoRoom {
		return noSlotRetry
	}
	return noEndpointRetry
}
