package capacity

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

var start = time.Unix(1000, 0)

// threeZones returns the settings of a service that may have up to 60 endpoints in each of three zones.
func threeZones() *settings.Scaling {
	return &settings.Scaling{Min: 1, Max: 60, Boot: 4 * time.Second, SpotPrice: 0.18, ZonePrices: map[string]float64{"a": 1, "b": 1.2, "c": 0.85}}
}

// testEndpoint is one endpoint at the provider.
type testEndpoint struct {
	place   Place
	readyAt time.Duration
	// terminatesAt is the time at which the endpoint terminates, once it is leaving.
	terminatesAt time.Duration
}

// provider simulates the provider of a service, in steps of the planning interval.
type provider struct {
	scaling   *settings.Scaling
	plan      *Plan
	now       time.Duration
	endpoints []*testEndpoint
	// spotUnavailableUntil holds the zones without spot endpoints, and until when. ordersToLose is the number of next
	// orders that are lost.
	spotUnavailableUntil map[string]time.Duration
	ordersToLose         int
	orders               []Order
	cost                 float64
	// minReady and maxReady are the lowest and highest number of ready endpoints at any time.
	minReady, maxReady int
}

func newProvider(scaling *settings.Scaling, regular int) *provider {
	p := &provider{scaling: scaling, plan: NewPlan(), spotUnavailableUntil: make(map[string]time.Duration), minReady: 1 << 30}
	for zone := range scaling.ZonePrices {
		for range regular {
			p.endpoints = append(p.endpoints, &testEndpoint{place: Place{zone, Regular}})
		}
	}
	return p
}

func (p *provider) fleet() Fleet {
	fleet := make(Fleet)
	for _, e := range p.endpoints {
		if e.readyAt > p.now {
			continue
		}
		count := fleet[e.place]
		if e.terminatesAt > 0 {
			count.Leaving++
		} else {
			count.Ready++
		}
		fleet[e.place] = count
	}
	return fleet
}

// staying returns the endpoints of a place that are not leaving, including those that boot.
func (p *provider) staying(place Place) []*testEndpoint {
	var staying []*testEndpoint
	for _, e := range p.endpoints {
		if e.place == place && e.terminatesAt == 0 {
			staying = append(staying, e)
		}
	}
	return staying
}

// acceptOrder carries out an order, or returns false if no such endpoints are available.
func (p *provider) acceptOrder(o Order) bool {
	staying := p.staying(o.Place)
	other := Place{o.Zone, Spot}
	if o.Kind == Spot {
		other.Kind = Regular
	}
	desired := min(o.Desired, p.scaling.Max-len(p.staying(other)))
	if o.Kind == Spot && desired > len(staying) && p.spotUnavailableUntil[o.Zone] > p.now {
		return false
	}
	for len(staying) < desired {
		e := &testEndpoint{place: o.Place, readyAt: p.now + p.scaling.Boot}
		p.endpoints, staying = append(p.endpoints, e), append(staying, e)
	}
	for _, e := range staying[max(desired, 0):] {
		e.terminatesAt = p.now + 3*time.Second
	}
	return true
}

// reclaim reclaims the spot endpoints of a zone. The zone has none available for a time, and neither have the others
// if all is set.
func (p *provider) reclaim(zone string, shortage time.Duration, all bool) {
	for _, e := range p.staying(Place{zone, Spot}) {
		e.terminatesAt = p.now + 2*time.Second
	}
	for z := range p.scaling.ZonePrices {
		if z == zone || all {
			p.spotUnavailableUntil[z] = p.now + shortage
		}
	}
}

// run simulates a span of time in which a number of endpoints is needed.
func (p *provider) run(span time.Duration, need int) {
	const step = 200 * time.Millisecond
	for until := p.now + span; p.now < until; p.now += step {
		staying := p.endpoints[:0]
		for _, e := range p.endpoints {
			if e.terminatesAt == 0 || e.terminatesAt > p.now {
				staying = append(staying, e)
				price := p.scaling.ZonePrices[e.place.Zone]
				if e.place.Kind == Spot {
					price *= p.scaling.SpotPrice
				}
				p.cost += price * step.Seconds()
			}
		}
		p.endpoints = staying
		fleet := p.fleet()
		ready := fleet.Ready(Regular) + fleet.Ready(Spot)
		p.minReady, p.maxReady = min(p.minReady, ready), max(p.maxReady, ready)
		now := start.Add(p.now)
		for _, o := range p.plan.DueOrders(now, p.scaling, fleet, p.plan.ComputeDesired(now, p.scaling, fleet, need)) {
			p.orders = append(p.orders, o)
			if p.ordersToLose > 0 {
				p.ordersToLose--
				continue
			}
			p.plan.RecordOrder(now, o, !p.acceptOrder(o))
		}
	}
}

// TestPlan checks the fleet and the number of orders under faults of the provider and changes of the need.
func TestPlan(t *testing.T) {
	regularOnly := threeZones()
	regularOnly.SpotPrice = 0
	oneZone := threeZones()
	oneZone.ZonePrices = map[string]float64{"a": 1}
	tests := map[string]struct {
		scaling *settings.Scaling
		play    func(p *provider)
		// spot and regular are the numbers of ready endpoints at the end. minReady is the lowest permitted number of
		// ready endpoints at any time, maxOrders the highest permitted number of orders.
		spot, regular, minReady, maxOrders int
	}{
		"spot endpoints replace regular ones": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
		}, 135, 0, 45, 15},
		"a zone is reclaimed, no zone has spot endpoints available": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
			p.minReady = 1 << 30
			p.reclaim("b", 10*time.Second, true)
			p.run(20*time.Second, 90)
		}, 135, 0, 90, 25},
		"a zone is reclaimed while the need grows": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
			p.minReady = 1 << 30
			p.run(time.Second, 110)
			p.reclaim("b", 10*time.Second, true)
			p.run(20*time.Second, 110)
		}, 165, 0, 90, 35},
		"two zones are reclaimed, one after the other": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
			p.minReady = 1 << 30
			p.reclaim("b", 8*time.Second, false)
			p.run(3*time.Second, 90)
			p.reclaim("c", 8*time.Second, false)
			p.run(30*time.Second, 90)
		}, 135, 0, 45, 40},
		"no zone has spot endpoints available for long": {threeZones(), func(p *provider) {
			for zone := range p.scaling.ZonePrices {
				p.spotUnavailableUntil[zone] = time.Hour
			}
			p.run(time.Minute, 90)
		}, 0, 90, 90, 100},
		"one zone has no spot endpoints available for long": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
			p.minReady = 1 << 30
			p.reclaim("a", time.Hour, false)
			p.run(time.Minute, 120)
		}, 120, 0, 90, 100},
		"regular endpoints only": {regularOnly, func(p *provider) {
			p.run(30*time.Second, 60)
		}, 0, 60, 60, 3},
		"no spot endpoints in a single zone": {oneZone, func(p *provider) {
			p.run(30*time.Second, 40)
		}, 0, 40, 30, 1},
		"orders are lost": {threeZones(), func(p *provider) {
			p.ordersToLose = 7
			p.run(40*time.Second, 90)
		}, 135, 0, 45, 25},
		"the need shrinks": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
			p.run(30*time.Second, 20)
		}, 30, 0, 30, 20},
		"the need exceeds the limits": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 1000)
		}, 180, 0, 0, 20},
		"a need of one endpoint": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 1)
		}, 3, 0, 1, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newProvider(test.scaling, 30)
			test.play(p)
			fleet := p.fleet()
			c.Check(fleet.Ready(Spot), qt.Equals, test.spot, qt.Commentf("%v", fleet))
			c.Check(fleet.Ready(Regular), qt.Equals, test.regular, qt.Commentf("%v", fleet))
			c.Check(p.minReady >= test.minReady, qt.IsTrue, qt.Commentf("only %d endpoints ready at some time", p.minReady))
			c.Check(len(p.orders) <= test.maxOrders, qt.IsTrue, qt.Commentf("%d orders: %v", len(p.orders), p.orders))
		})
	}
}

// TestSteadyNeedSendsNoOrders checks that no orders are sent while the need does not change.
func TestSteadyNeedSendsNoOrders(t *testing.T) {
	c := qt.New(t)
	p := newProvider(threeZones(), 30)
	p.run(time.Minute, 90)
	before := len(p.orders)
	p.run(10*time.Minute, 90)
	c.Check(p.orders[before:], qt.HasLen, 0)
}

// TestNeedEstimate checks the estimate while the load changes, in steps of a fifth of a second.
func TestNeedEstimate(t *testing.T) {
	type span struct {
		seconds int
		reading float64
	}
	tests := map[string]struct {
		first int
		spans []span
		want  int
	}{
		"steady":                                {90, []span{{60, 40}}, 90},
		"prefixes are read for the first time":  {90, []span{{1, 99}, {1, 78}, {2, 71}, {30, 62}}, 90},
		"the load doubles":                      {90, []span{{3, 130}}, 195},
		"a short peak is followed by less load": {90, []span{{10, 130}, {60, 30}}, 195},
		"much less load for long":               {90, []span{{200, 20}}, 30},
		"a little less load for long":           {90, []span{{200, 50}}, 90},
		"unknown need at first":                 {0, []span{{3, 67}}, 100},
		"no traffic yet":                        {90, []span{{20, 0}}, 90},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := NeedEstimate{Need: test.first}
			now := start
			for _, span := range test.spans {
				for range span.seconds * 5 {
					now = now.Add(200 * time.Millisecond)
					s.Observe(now, engine.Load{BusyEngines: span.reading})
				}
			}
			qt.Check(t, s.Need, qt.Equals, test.want)
		})
	}
}

func TestInitialNeed(t *testing.T) {
	c := qt.New(t)
	c.Check(InitialNeed(threeZones(), 3, 0.75), qt.Equals, 90)
	c.Check(InitialNeed(threeZones(), 3, 0), qt.Equals, 0)
	c.Check(InitialNeed(threeZones(), 1, 0.75), qt.Equals, 0)
	none := threeZones()
	none.SpotPrice = 0
	c.Check(InitialNeed(none, 3, 0.75), qt.Equals, 0)
}

func TestInventory(t *testing.T) {
	c := qt.New(t)
	leavingIDs := map[string]bool{}
	i := NewInventory(func(id string) bool { return leavingIDs[id] })
	entry := func(id string, spot, leaving bool) Change {
		return Change{Endpoint: Endpoint{ID: id, Service: "llm", Zone: "a", Spot: spot, Leaving: leaving}}
	}
	i.Replace(follow.Batch[Change]{Revision: 5, Items: []Change{entry("1", false, false), entry("2", true, false), {Endpoint: Endpoint{ID: "x", Service: "app"}}}})
	c.Check(fmt.Sprint(i.Fleet("llm")), qt.Equals, fmt.Sprint(Fleet{{"a", Regular}: {Ready: 1}, {"a", Spot}: {Ready: 1}}))
	leavingIDs["1"] = true
	c.Check(fmt.Sprint(i.Fleet("llm")), qt.Equals, fmt.Sprint(Fleet{{"a", Regular}: {Leaving: 1}, {"a", Spot}: {Ready: 1}}))
	i.Apply(follow.Batch[Change]{Revision: 6, Items: []Change{entry("2", true, true), {Endpoint: Endpoint{ID: "1"}, Gone: true}}})
	c.Check(fmt.Sprint(i.Fleet("llm")), qt.Equals, fmt.Sprint(Fleet{{"a", Spot}: {Leaving: 1}}))
	c.Check(i.Revision(), qt.Equals, uint64(6))
	i.Reset()
	c.Check(i.Revision(), qt.Equals, uint64(0))
	c.Check(i.Fleet("llm"), qt.HasLen, 0)
}
