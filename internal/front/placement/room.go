package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
)

// Ranks are the ends of the order of requests, from the settings in force.
type Ranks struct {
	// LowestTier is the highest number of a tier that a request can have.
	LowestTier int
	// LeastUrgent is the highest number of an urgency inside a tier.
	LeastUrgent int
}

// leastRoom is the part of an engine's places up to which it takes the least urgent
// requests of the lowest tier. More urgent ones may take more, the most urgent all:
// so under overload the least urgent are the first to wait and to be refused. It
// lies above one half: as long as half of the places are free, nobody is refused.
const leastRoom = 0.56

// isLeast reports whether a request is among the first to wait. Such a request waits
// for the endpoint that holds its prefix: to read the prefix elsewhere would take
// from the others what is scarce.
func (r *Ranks) isLeast(request *admission.Request) bool {
	return request.Tier >= r.LowestTier && request.Urgency >= r.LeastUrgent
}

// hasRoom reports whether an endpoint with a number of places and of open requests
// has room for a request. Zero places means that the number is not known.
func (r *Ranks) hasRoom(request *admission.Request, places, open int) bool {
	unbounded := request.PromptTokens == 0 || places == 0 || request.Tier < r.LowestTier
	if unbounded || r.LeastUrgent == 0 || request.Urgency == 0 {
		return true
	}
	grade := float64(min(request.Urgency, r.LeastUrgent)) / float64(r.LeastUrgent)
	part := 1 - (1-leastRoom)*grade
	return open < int(part*float64(places))
}

// withRoom leaves out the endpoints that have no room for a request.
func (b *Board) withRoom(ranks *Ranks, request *admission.Request, endpoints []*directory.Entry) []*directory.Entry {
	return keep(endpoints, func(e *directory.Entry) bool {
		return ranks.hasRoom(request, e.Endpoint.MaxInFlight, b.Total(e.ID).Requests)
	})
}

// How long a request waits for room: a part of its target, since a request that is
// refused late is worth less than one that is refused early.
const (
	waitPart    = 6
	longestWait = 500 * time.Millisecond
	// roomCheck is the time between two looks for room.
	roomCheck = 20 * time.Millisecond
)

func waitFor(request *admission.Request) time.Duration {
	return min(max(request.FirstToken, request.WholeAnswer)/waitPart, longestWait)
}
