package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
)

// Lanes keep prompts apart that harm each other. While an engine reads a long prompt,
// each of its steps takes longer, and the streams beside it pause for as long as an
// event's steps take together: the deeper the prompt, the longer. The lanes of a
// service follow from a hash of its endpoints' IDs, so hosts need no word to find the
// same. Hosts that differ for a while send a prefix where it was sent before, so that
// costs little.
const (
	// deepPrefix is the length of a shared prefix from which it is deep, deepPart the
	// part of the endpoints where deep prefixes belong.
	deepPrefix = 14000
	deepPart   = 0.45
	// shortPart is the part of the endpoints that is kept from long prefixes while
	// streams of short prompts pause too long.
	shortPart = 0.25
	// laneCost is what a short prompt takes on itself, in prompt tokens, to run apart
	// from long ones.
	laneCost = 5000
)

// lane says which prompts an endpoint is for.
type lane int

const (
	laneShallow lane = iota
	laneDeep
	laneShort
)

// lanesOf gives the lane of each endpoint of a service.
func lanesOf(endpoints []*directory.Entry, shortLane bool) map[string]lane {
	ordered := slices.Clone(endpoints)
	slices.SortFunc(ordered, func(a, b *directory.Entry) int {
		return cmp.Compare(mix(xxhash.Sum64String(a.ID)), mix(xxhash.Sum64String(b.ID)))
	})
	deep := int(float64(len(ordered)) * deepPart)
	short := 0
	if shortLane && len(ordered) > 2 {
		short = int(math.Ceil(float64(len(ordered)) * shortPart))
	}
	lanes := make(map[string]lane, len(ordered))
	for i, e := range ordered {
		switch {
		case i < deep:
			lanes[e.ID] = laneDeep
		case i >= len(ordered)-short:
			lanes[e.ID] = laneShort
		default:
			lanes[e.ID] = laneShallow
		}
	}
	return lanes
}

// laneMemory is the lanes of a service as they were found last.
type laneMemory struct {
	// endpoints is the list that they were found for. A directory makes a new list
	// for each of its revisions.
	endpoints []*directory.Entry
	shortLane bool
	lanes     map[string]lane
}

// lanesFor gives the lanes of a service, anew only if its endpoints have changed.
func (b *Board) lanesFor(service string, endpoints []*directory.Entry, shortLane bool) map[string]lane {
	memory := b.lanes[service]
	same := len(memory.endpoints) == len(endpoints) && len(endpoints) > 0 && &memory.endpoints[0] == &endpoints[0]
	if !same || memory.shortLane != shortLane {
		memory = laneMemory{endpoints: endpoints, shortLane: shortLane, lanes: lanesOf(endpoints, shortLane)}
		b.lanes[service] = memory
	}
	return memory.lanes
}

// inLane gives the candidates of a lane, or all if there are none.
func inLane(wanted lane, lanes map[string]lane, candidates []*directory.Entry) []*directory.Entry {
	in := keep(candidates, func(e *directory.Entry) bool { return lanes[e.ID] == wanted })
	if len(in) == 0 {
		return candidates
	}
	return in
}
