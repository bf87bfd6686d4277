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

// threeZones is a service that may have up to 60 endpoints in each of three zones.
func threeZones() *settings.Scaling {
	return &settings.Scaling{Min: 1, Max: 60, Boot: 4 * time.Second, SpotPrice: 0.18, ZonePrices: map[string]float64{"a": 1, "b": 1.2, "c": 0.85}}
}

// unit is one endpoint at the provider.
type unit struct {
	place   Place
	readyAt time.Duration
	// goesAt is when it goes, once it leaves.
	goesAt time.Duration
}

// provider plays the provider of a service, in steps of planning.
type provider struct {
	scaling *settings.Scaling
	plan    *Plan
	now     time.Duration
	units   []*unit
	// dry are the zones without spot endpoints until a time; refuses and loses are what becomes of the next orders.
	dry    map[string]time.Duration
	loses  int
	orders []Order
	spent  float64
	// least is the fewest that were ready at a time, most the most.
	least, most int
}

func newProvider(scaling *settings.Scaling, regular int) *provider {
	p := &provider{scaling: scaling, plan: NewPlan(), dry: make(map[string]time.Duration), least: 1 << 30}
	for zone := range scaling.ZonePrices {
		for range regular {
			p.units = append(p.units, &unit{place: Place{zone, Regular}})
		}
	}
	return p
}

func (p *provider) fleet() Fleet {
	fleet := make(Fleet)
	for _, u := range p.units {
		if u.readyAt > p.now {
			continue
		}
		count := fleet[u.place]
		if u.goesAt > 0 {
			count.Leaving++
		} else {
			count.Ready++
		}
		fleet[u.place] = count
	}
	return fleet
}

// kept returns the endpoints of a place that do not leave, those that boot included.
func (p *provider) kept(place Place) []*unit {
	var kept []*unit
	for _, u := range p.units {
		if u.place == place && u.goesAt == 0 {
			kept = append(kept, u)
		}
	}
	return kept
}

// take takes an order, and reports false if there are none to be had.
func (p *provider) take(o Order) bool {
	kept := p.kept(o.Place)
	other := Place{o.Zone, Spot}
	if o.Kind == Spot {
		other.Kind = Regular
	}
	desired := min(o.Desired, p.scaling.Max-len(p.kept(other)))
	if o.Kind == Spot && desired > len(kept) && p.dry[o.Zone] > p.now {
		return false
	}
	for len(kept) < desired {
		u := &unit{place: o.Place, readyAt: p.now + p.scaling.Boot}
		p.units, kept = append(p.units, u), append(kept, u)
	}
	for _, u := range kept[max(desired, 0):] {
		u.goesAt = p.now + 3*time.Second
	}
	return true
}

// reclaim takes the spot endpoints of a zone away, and has none for a time; anywhere if all is set.
func (p *provider) reclaim(zone string, dry time.Duration, all bool) {
	for _, u := range p.kept(Place{zone, Spot}) {
		u.goesAt = p.now + 2*time.Second
	}
	for z := range p.scaling.ZonePrices {
		if z == zone || all {
			p.dry[z] = p.now + dry
		}
	}
}

// run plays a time with a number of endpoints needed.
func (p *provider) run(span time.Duration, need int) {
	const step = 200 * time.Millisecond
	for until := p.now + span; p.now < until; p.now += step {
		kept := p.units[:0]
		for _, u := range p.units {
			if u.goesAt == 0 || u.goesAt > p.now {
				kept = append(kept, u)
				price := p.scaling.ZonePrices[u.place.Zone]
				if u.place.Kind == Spot {
					price *= p.scaling.SpotPrice
				}
				p.spent += price * step.Seconds()
			}
		}
		p.units = kept
		fleet := p.fleet()
		ready := fleet.Ready(Regular) + fleet.Ready(Spot)
		p.least, p.most = min(p.least, ready), max(p.most, ready)
		now := start.Add(p.now)
		for _, o := range p.plan.DueOrders(now, p.scaling, fleet, p.plan.ComputeDesired(now, p.scaling, fleet, need)) {
			p.orders = append(p.orders, o)
			if p.loses > 0 {
				p.loses--
				continue
			}
			p.plan.RecordOrder(now, o, !p.take(o))
		}
	}
}

// TestPlans plays what a provider does and fails to do.
func TestPlans(t *testing.T) {
	regularOnly := threeZones()
	regularOnly.SpotPrice = 0
	oneZone := threeZones()
	oneZone.ZonePrices = map[string]float64{"a": 1}
	tests := map[string]struct {
		scaling *settings.Scaling
		play    func(p *provider)
		// spot and regular are what is ready at the end, least the fewest that were at any time, orders the most
		// orders that it may take.
		spot, regular, least, orders int
	}{
		"spot takes the place of regular": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
		}, 135, 0, 45, 15},
		"a zone is taken, none to be had anywhere": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
			p.least = 1 << 30
			p.reclaim("b", 10*time.Second, true)
			p.run(20*time.Second, 90)
		}, 135, 0, 90, 25},
		"a zone is taken while more is needed": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
			p.least = 1 << 30
			p.run(time.Second, 110)
			p.reclaim("b", 10*time.Second, true)
			p.run(20*time.Second, 110)
		}, 165, 0, 90, 35},
		"two zones are taken, one after the other": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
			p.least = 1 << 30
			p.reclaim("b", 8*time.Second, false)
			p.run(3*time.Second, 90)
			p.reclaim("c", 8*time.Second, false)
			p.run(30*time.Second, 90)
		}, 135, 0, 45, 40},
		"no spot to be had for long": {threeZones(), func(p *provider) {
			for zone := range p.scaling.ZonePrices {
				p.dry[zone] = time.Hour
			}
			p.run(time.Minute, 90)
		}, 0, 90, 90, 100},
		"a zone without spot for long": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
			p.least = 1 << 30
			p.reclaim("a", time.Hour, false)
			p.run(time.Minute, 120)
		}, 120, 0, 90, 100},
		"regular ones only": {regularOnly, func(p *provider) {
			p.run(30*time.Second, 60)
		}, 0, 60, 60, 3},
		"one zone: spot is no insurance": {oneZone, func(p *provider) {
			p.run(30*time.Second, 40)
		}, 0, 40, 30, 1},
		"orders are lost": {threeZones(), func(p *provider) {
			p.loses = 7
			p.run(40*time.Second, 90)
		}, 135, 0, 45, 25},
		"less is needed": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 90)
			p.run(30*time.Second, 20)
		}, 30, 0, 30, 20},
		"more than there may be": {threeZones(), func(p *provider) {
			p.run(30*time.Second, 1000)
		}, 180, 0, 0, 20},
		"next to nothing": {threeZones(), func(p *provider) {
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
			c.Check(p.least >= test.least, qt.IsTrue, qt.Commentf("only %d ready at a time", p.least))
			c.Check(len(p.orders) <= test.orders, qt.IsTrue, qt.Commentf("%d orders: %v", len(p.orders), p.orders))
		})
	}
}

// TestOrdersDoNotFlap has nothing change for long: nothing is ordered.
func TestOrdersDoNotFlap(t *testing.T) {
	c := qt.New(t)
	p := newProvider(threeZones(), 30)
	p.run(time.Minute, 90)
	before := len(p.orders)
	p.run(10*time.Minute, 90)
	c.Check(p.orders[before:], qt.HasLen, 0)
}

// TestSize follows what is needed while the traffic changes. Steps are a fifth of a second.
func TestSize(t *testing.T) {
	type span struct {
		seconds int
		reading float64
	}
	tests := map[string]struct {
		first int
		spans []span
		want  int
	}{
		"steady":                               {90, []span{{60, 40}}, 90},
		"prefixes are read for the first time": {90, []span{{1, 99}, {1, 78}, {2, 71}, {30, 62}}, 90},
		"much more":                            {90, []span{{3, 130}}, 195},
		"a wave is held":                       {90, []span{{10, 130}, {60, 30}}, 195},
		"less for long":                        {90, []span{{200, 20}}, 30},
		"a little less for long":               {90, []span{{200, 50}}, 90},
		"nothing is known at first":            {0, []span{{3, 67}}, 100},
		"no traffic yet":                       {90, []span{{20, 0}}, 90},
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

func TestFirst(t *testing.T) {
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
	said := map[string]bool{}
	i := NewInventory(func(id string) bool { return said[id] })
	entry := func(id string, spot, leaving bool) Change {
		return Change{Endpoint: Endpoint{ID: id, Service: "llm", Zone: "a", Spot: spot, Leaving: leaving}}
	}
	i.Replace(follow.Batch[Change]{Revision: 5, Items: []Change{entry("1", false, false), entry("2", true, false), {Endpoint: Endpoint{ID: "x", Service: "app"}}}})
	c.Check(fmt.Sprint(i.Fleet("llm")), qt.Equals, fmt.Sprint(Fleet{{"a", Regular}: {Ready: 1}, {"a", Spot}: {Ready: 1}}))
	said["1"] = true
	c.Check(fmt.Sprint(i.Fleet("llm")), qt.Equals, fmt.Sprint(Fleet{{"a", Regular}: {Leaving: 1}, {"a", Spot}: {Ready: 1}}))
	i.Apply(follow.Batch[Change]{Revision: 6, Items: []Change{entry("2", true, true), {Endpoint: Endpoint{ID: "1"}, Gone: true}}})
	c.Check(fmt.Sprint(i.Fleet("llm")), qt.Equals, fmt.Sprint(Fleet{{"a", Spot}: {Leaving: 1}}))
	c.Check(i.Revision(), qt.Equals, uint64(6))
	i.Reset()
	c.Check(i.Revision(), qt.Equals, uint64(0))
	c.Check(i.Fleet("llm"), qt.HasLen, 0)
}
