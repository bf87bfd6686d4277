// Package capacity decides how many endpoints of a service to order, in which zones and of which kind. Regular
// endpoints stay until they are ordered away. Spot endpoints cost a part of that, and may be taken away all at once
// in a zone, after which there may be none to be had for a while.
//
// It owns the rules, and what was ordered and refused. It does no input or output and takes the time as a
// parameter; package scaler, a task of the leader, feeds it and sends the orders.
package capacity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Kind is a kind of endpoint.
type Kind string

// The kinds.
const (
	Regular Kind = "regular"
	Spot    Kind = "spot"
)

// Place is where endpoints of a kind are ordered.
type Place struct {
	Zone string
	Kind Kind
}

// Count is the endpoints of a place.
type Count struct {
	// Ready take new work, Leaving do not any more.
	Ready   int
	Leaving int
}

// Fleet is what is there of a service.
type Fleet map[Place]Count

// Ready returns the endpoints of a kind that take new work.
func (f Fleet) Ready(kind Kind) int {
	ready := 0
	for place, count := range f {
		if place.Kind == kind {
			ready += count.Ready
		}
	}
	return ready
}

// DesiredCounts is how many endpoints there should be.
type DesiredCounts map[Place]int

// Order is one for the provider.
type Order struct {
	Place
	Desired int
}

// sent is the last order for a place.
type sent struct {
	desired int
	at      time.Time
	// refusedAt is since when there have been none to be had, or zero.
	refusedAt time.Time
}

// Plan is what is ordered of one service. It is not safe for concurrent use.
type Plan struct {
	sent map[Place]sent
}

// NewPlan returns a plan that has ordered nothing.
func NewPlan() *Plan { return &Plan{sent: make(map[Place]sent)} }

// dryTime is how long there may be no spot endpoints in a zone before regular ones take their place. Each costs as much
// as five or six spot ones and boots as long; spells without any lasted for 8.6 to 11 s on the users' days.
const dryTime = 15 * time.Second

// ComputeDesired returns how many endpoints there should be if a number of them is needed, whichever zone loses its spot
// endpoints: those of one zone more than needed are cheaper than regular ones, unless there are hardly any zones.
// Regular ones stay until the spot ones are there, as far as the bounds of a zone have room for both, and come
// where there are no spot ones for long.
func (p *Plan) ComputeDesired(now time.Time, scaling *settings.Scaling, fleet Fleet, need int) DesiredCounts {
	zones := zonesOf(scaling, fleet)
	spot := spotInZone(scaling, len(zones), need)
	lacking := max(min(need, scaling.Max*len(zones))-fleet.Ready(Spot), 0)
	wanted := make(DesiredCounts)
	for i, zone := range zones {
		regular := min(ceilDiv(lacking, len(zones)-i), scaling.Max)
		lacking -= regular
		wanted[Place{zone, Spot}], wanted[Place{zone, Regular}] = p.inZone(now, scaling, fleet, zone, spot, regular)
	}
	return wanted
}

// inZone returns what should be in one zone, where so many spot endpoints would be best and so many regular ones
// are lacking without them.
func (p *Plan) inZone(now time.Time, scaling *settings.Scaling, fleet Fleet, zone string, spot, lacking int) (spotWanted, regular int) {
	last := p.sent[Place{zone, Spot}]
	ready := fleet[Place{zone, Regular}].Ready
	switch {
	case spot == 0:
		regular = lacking
	case !last.refusedAt.IsZero() && now.Sub(last.refusedAt) >= dryTime:
		// What is ordered of both must have room for both.
		regular = lacking
		spot = max(scaling.Max-regular, 1)
	case last.desired == 0 && fleet[Place{zone, Spot}].Ready == 0:
		// Regular ones don't make room before the provider has taken an order.
		regular = ready
		spot = min(spot, max(scaling.Max-ready, 1))
	case !last.refusedAt.IsZero():
		regular = ready
	default:
		regular = min(lacking, scaling.Max-spot)
	}
	regular = max(regular, scaling.Min-spot)
	return spot, regular
}

// spotInZone returns how many spot endpoints there should be in each of some zones.
func spotInZone(scaling *settings.Scaling, zones, need int) int {
	if scaling.SpotPrice <= 0 || zones < 2 || scaling.SpotPrice*float64(zones)/float64(zones-1) >= 1 {
		return 0
	}
	return min(ceilDiv(need, zones-1), scaling.Max)
}

// zonesOf returns the zones in which a service can have endpoints, the cheapest first.
func zonesOf(scaling *settings.Scaling, fleet Fleet) []string {
	all := make(map[string]bool)
	for zone := range scaling.ZonePrices {
		all[zone] = true
	}
	for place := range fleet {
		all[place.Zone] = true
	}
	return slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(scaling.ZonePrices[a], scaling.ZonePrices[b]), cmp.Compare(a, b))
	})
}

func ceilDiv(a, b int) int { return int(math.Ceil(float64(a) / float64(max(b, 1)))) }

const (
	// repeatAfter is how long after an order, beside the time to boot, endpoints that are not there are ordered again:
	// an order may be lost, or endpoints taken away.
	repeatAfter = 2 * time.Second
	// refusedAfter is when an order is repeated that was refused.
	refusedAfter = 2 * time.Second
)

// DueOrders returns the orders that are to be sent now: what has changed, and what was not fulfilled. What makes room
// goes first.
func (p *Plan) DueOrders(now time.Time, scaling *settings.Scaling, fleet Fleet, wanted DesiredCounts) []Order {
	var orders []Order
	for place, desired := range wanted {
		if p.isDue(now, scaling, fleet, Order{place, desired}) {
			orders = append(orders, Order{place, desired})
		}
	}
	grows := func(o Order) int { return max(o.Desired-fleet[o.Place].Ready, 0) }
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(grows(a), grows(b)), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Zone, b.Zone))
	})
	return orders
}

// isDue reports whether an order is to be sent.
func (p *Plan) isDue(now time.Time, scaling *settings.Scaling, fleet Fleet, o Order) bool {
	last, ordered := p.sent[o.Place]
	ready := fleet[o.Place].Ready
	switch {
	case !ordered:
		return ready != o.Desired
	case !last.refusedAt.IsZero():
		return o.Desired > ready && now.Sub(last.at) >= refusedAfter
	case last.desired != o.Desired:
		return true
	}
	return ready < o.Desired && now.Sub(last.at) >= scaling.Boot+repeatAfter
}

// RecordOrder notes an order that the provider has taken, or refused because there are none to be had.
func (p *Plan) RecordOrder(now time.Time, order Order, refused bool) {
	s := sent{desired: order.Desired, at: now}
	if refused {
		if s.refusedAt = p.sent[order.Place].refusedAt; s.refusedAt.IsZero() {
			s.refusedAt = now
		}
	}
	p.sent[order.Place] = s
}
