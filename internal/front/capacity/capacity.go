// Package capacity decides how many endpoints of a service to order, in which zones and of which kind. Regular
// endpoints stay until an order removes them. Spot endpoints cost a fraction of the price of regular ones, but the
// provider may reclaim all of a zone at the same time, after which it may have none available for a time.
//
// The package owns the rules and the state of the last orders. It does no I/O and takes the time as a parameter:
// package scaler, a task of the leader, passes in the state of the fleet and sends the orders.
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

// Place is a zone and kind for which endpoints are ordered.
type Place struct {
	Zone string
	Kind Kind
}

// Count is the number of endpoints of a place.
type Count struct {
	// Ready endpoints accept new requests. Leaving endpoints no longer do.
	Ready   int
	Leaving int
}

// Fleet is the current number of endpoints of a service, by place.
type Fleet map[Place]Count

// Ready returns the number of endpoints of a kind that accept new requests.
func (f Fleet) Ready(kind Kind) int {
	ready := 0
	for place, count := range f {
		if place.Kind == kind {
			ready += count.Ready
		}
	}
	return ready
}

// DesiredCounts is the desired number of endpoints, by place.
type DesiredCounts map[Place]int

// Order is an order to the provider: the desired number of endpoints of a place.
type Order struct {
	Place
	Desired int
}

// sentOrder is the last order for a place.
type sentOrder struct {
	desired int
	at      time.Time
	// unavailableSince is the time since which the provider has had no such endpoints available, or zero.
	unavailableSince time.Time
}

// Plan decides on the orders for one service. It is not safe for concurrent use.
type Plan struct {
	lastOrders map[Place]sentOrder
}

// NewPlan returns a plan without orders.
func NewPlan() *Plan { return &Plan{lastOrders: make(map[Place]sentOrder)} }

// spotShortageTime is how long a zone may have no spot endpoints available before regular ones replace them. A
// regular endpoint costs as much as five or six spot ones and takes as long to boot. On the users' platform,
// shortages lasted 8.6 to 11 s.
const spotShortageTime = 15 * time.Second

// ComputeDesired returns the desired number of endpoints such that the needed number remains ready when any one zone
// loses its spot endpoints. Spot endpoints are ordered in excess by the number in one zone, which is cheaper than
// regular endpoints unless there are hardly any zones. Regular endpoints stay until the spot ones are ready, as far
// as the limit of a zone has room for both, and replace spot ones that are unavailable for long.
func (p *Plan) ComputeDesired(now time.Time, scaling *settings.Scaling, fleet Fleet, need int) DesiredCounts {
	zones := zonesOf(scaling, fleet)
	spot := spotPerZone(scaling, len(zones), need)
	missing := max(min(need, scaling.Max*len(zones))-fleet.Ready(Spot), 0)
	desiredCounts := make(DesiredCounts)
	for i, zone := range zones {
		regular := min(ceilDiv(missing, len(zones)-i), scaling.Max)
		missing -= regular
		desiredCounts[Place{zone, Spot}], desiredCounts[Place{zone, Regular}] = p.desiredInZone(now, scaling, fleet, zone, spot, regular)
	}
	return desiredCounts
}

// desiredInZone returns the desired numbers of spot and regular endpoints in one zone, given the best number of spot
// endpoints there and the number of regular ones that are needed as long as the spot ones are missing.
func (p *Plan) desiredInZone(now time.Time, scaling *settings.Scaling, fleet Fleet, zone string, spot, missing int) (spotDesired, regular int) {
	last := p.lastOrders[Place{zone, Spot}]
	ready := fleet[Place{zone, Regular}].Ready
	switch {
	case spot == 0:
		regular = missing
	case !last.unavailableSince.IsZero() && now.Sub(last.unavailableSince) >= spotShortageTime:
		// The zone must have room for the orders of both kinds.
		regular = missing
		spot = max(scaling.Max-regular, 1)
	case last.desired == 0 && fleet[Place{zone, Spot}].Ready == 0:
		// Regular endpoints stay until the provider has accepted an order for spot ones.
		regular = ready
		spot = min(spot, max(scaling.Max-ready, 1))
	case !last.unavailableSince.IsZero():
		regular = ready
	default:
		regular = min(missing, scaling.Max-spot)
	}
	regular = max(regular, scaling.Min-spot)
	return spot, regular
}

// spotPerZone returns the best number of spot endpoints in each zone, given the number of zones and of endpoints
// needed, or 0 if spot endpoints are not worth their price.
func spotPerZone(scaling *settings.Scaling, zones, need int) int {
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
	// repeatDelay is added to the boot time before an order is repeated whose endpoints are missing: the order may be
	// lost, or its endpoints reclaimed.
	repeatDelay = 2 * time.Second
	// refusedRetryDelay is the time until an order is repeated for which the provider had no endpoints available.
	refusedRetryDelay = 2 * time.Second
)

// DueOrders returns the orders to send now: changed ones, and unfulfilled ones that are to be repeated. Orders that
// free room come first.
func (p *Plan) DueOrders(now time.Time, scaling *settings.Scaling, fleet Fleet, desiredCounts DesiredCounts) []Order {
	var orders []Order
	for place, desired := range desiredCounts {
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

// isDue reports whether an order is to be sent now.
func (p *Plan) isDue(now time.Time, scaling *settings.Scaling, fleet Fleet, o Order) bool {
	last, ordered := p.lastOrders[o.Place]
	ready := fleet[o.Place].Ready
	switch {
	case !ordered:
		return ready != o.Desired
	case !last.unavailableSince.IsZero():
		return o.Desired > ready && now.Sub(last.at) >= refusedRetryDelay
	case last.desired != o.Desired:
		return true
	}
	return ready < o.Desired && now.Sub(last.at) >= scaling.Boot+repeatDelay
}

// RecordOrder records an order that the provider has accepted, or refused because it has no such endpoints available.
func (p *Plan) RecordOrder(now time.Time, order Order, refused bool) {
	s := sentOrder{desired: order.Desired, at: now}
	if refused {
		if s.unavailableSince = p.lastOrders[order.Place].unavailableSince; s.unavailableSince.IsZero() {
			s.unavailableSince = now
		}
	}
	p.lastOrders[order.Place] = s
}
