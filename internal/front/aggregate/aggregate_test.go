package aggregate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

var wholePart = placement.Part{Of: 1}

// load returns work with a number of requests at one endpoint.
func load(requests int) Work {
	return Work{Loads: map[keys.Endpoint]placement.Load{7: {Requests: requests, Tokens: 10 * requests}}}
}

// TestSumsCountEachHostOnce adds up the work of hosts and other zones, with lost, reordered and repeated messages,
// and with hosts that restart, leave or fail.
func TestSumsCountEachHostOnce(t *testing.T) {
	id := func(incarnation uint32, sequence uint64) MessageID {
		return MessageID{Incarnation: incarnation, Sequence: sequence}
	}
	tests := map[string]struct {
		send func(a *Aggregator)
		// after is the time from sending until the sum is computed.
		after    time.Duration
		requests int
		hosts    int
		// ofZone is the number of hosts in this zone.
		ofZone int
	}{
		"two hosts": {func(a *Aggregator) {
			a.SetHost(start, "a", id(1, 1), load(2))
			a.SetHost(start, "b", id(2, 1), load(3))
		}, 0, 5, 2, 2},
		"a newer message replaces": {func(a *Aggregator) {
			a.SetHost(start, "a", id(1, 1), load(2))
			a.SetHost(start, "a", id(1, 2), load(4))
		}, 0, 4, 1, 1},
		"a message that arrives out of order": {func(a *Aggregator) {
			a.SetHost(start, "a", id(1, 2), load(4))
			a.SetHost(start, "a", id(1, 1), load(2))
		}, 0, 4, 1, 1},
		"a host that restarted": {func(a *Aggregator) {
			a.SetHost(start, "a", id(1, 9), load(4))
			a.SetHost(start, "a", id(2, 1), load(1))
		}, 0, 1, 1, 1},
		"a host that stopped responding": {func(a *Aggregator) {
			a.SetHost(start, "a", id(1, 1), load(2))
		}, WorkTimeout + 1, 0, 0, 0},
		"a host that left": {func(a *Aggregator) {
			a.SetHost(start, "a", id(1, 1), load(2))
			a.DropHost("a")
		}, 0, 0, 0, 0},
		"another zone": {func(a *Aggregator) {
			a.SetHost(start, "a", id(1, 1), load(2))
			a.SetZone(start, "far", "x", wholePart, 3, load(6))
		}, 0, 8, 4, 1},
		"two aggregators of another zone: the sum over more hosts": {func(a *Aggregator) {
			a.SetZone(start, "far", "x", wholePart, 3, load(6))
			a.SetZone(start, "far", "y", wholePart, 2, load(4))
		}, 0, 6, 3, 0},
		"two sums over as many hosts: the newer": {func(a *Aggregator) {
			a.SetZone(start, "far", "x", wholePart, 3, load(6))
			a.SetZone(start.Add(1), "far", "y", wholePart, 3, load(7))
		}, 1, 7, 3, 0},
		"an aggregator that was killed": {func(a *Aggregator) {
			a.SetZone(start, "far", "x", wholePart, 3, load(6))
			a.DropHost("x")
		}, 0, 0, 0, 0},
		"a zone that was isolated": {func(a *Aggregator) {
			a.SetZone(start, "far", "x", wholePart, 3, load(6))
		}, WorkTimeout + 1, 0, 0, 0},
		"a sum in parts": {func(a *Aggregator) {
			a.SetZone(start, "far", "x", placement.Part{Number: 0, Of: 2}, 3, load(6))
			a.SetZone(start, "far", "x", placement.Part{Number: 1, Of: 2}, 3, Work{Loads: map[keys.Endpoint]placement.Load{8: {Requests: 1}}})
		}, 0, 7, 3, 0},
		"a sum that arrives in fewer parts than before": {func(a *Aggregator) {
			a.SetZone(start, "far", "x", placement.Part{Number: 1, Of: 2}, 3, load(6))
			a.SetZone(start, "far", "x", wholePart, 3, load(6))
		}, 0, 6, 3, 0},
		"two aggregators with sums in different parts": {func(a *Aggregator) {
			a.SetZone(start, "far", "x", placement.Part{Number: 1, Of: 2}, 2, load(6))
			a.SetZone(start, "far", "y", wholePart, 3, load(6))
		}, 0, 6, 3, 0},
		"an invalid part number": {func(a *Aggregator) {
			a.SetZone(start, "far", "x", placement.Part{Number: 2, Of: 2}, 3, load(6))
		}, 0, 0, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := New()
			test.send(a)
			sums := a.Sums(start.Add(test.after))
			requests := 0
			for _, l := range sums.Fleet.Loads {
				requests += l.Requests
			}
			c.Check(requests, qt.Equals, test.requests)
			c.Check(sums.Hosts, qt.Equals, test.hosts)
			c.Check(sums.Counted, qt.HasLen, test.ofZone)
		})
	}
}

// TestEngineObservationsAreAddedUp checks that traffic is added up, and that figures are averaged with their sample
// counts as weights.
func TestEngineObservationsAreAddedUp(t *testing.T) {
	c := qt.New(t)
	report := func(rate, samples, requests float64) Work {
		return Work{Engines: placement.EngineReports{1: {
			Figures: engine.Figures{ReadRate: engine.Figure{Value: rate, Samples: samples}},
			Traffic: engine.Traffic{2: {Requests: requests}},
		}}}
	}
	a := New()
	a.SetHost(start, "a", MessageID{Incarnation: 1, Sequence: 1}, report(20, 10, 3))
	a.SetHost(start, "b", MessageID{Incarnation: 2, Sequence: 1}, report(20, 30, 4))
	a.SetZone(start, "far", "x", wholePart, 1, report(-1, 100, 5))
	sum := a.Sums(start).Fleet
	c.Check(sum.Engines[1].Traffic[2].Requests, qt.Equals, 12.0)
	c.Check(sum.Engines[1].Figures.ReadRate.Samples, qt.Equals, 40.0)
	c.Check(sum.Engines[1].Figures.ReadRate.Value > 19.99 && sum.Engines[1].Figures.ReadRate.Value < 20.01, qt.IsTrue)
}

// TestWorkOfStoppedHostExpiresInTime adds up how long the work of a host that has crashed may count anywhere: at the
// aggregator of its zone, at that of another zone, and at a host there.
func TestWorkOfStoppedHostExpiresInTime(t *testing.T) {
	const promise = 6 * time.Second
	qt.Check(t, WorkTimeout+WorkTimeout+engine.SumTimeout <= promise, qt.IsTrue)
}

func TestChoice(t *testing.T) {
	ranked := []string{"a", "b", "c", "self"}
	tests := map[string]struct {
		ranked []string
		// unresponsive are aggregators that send no sums.
		unresponsive    map[string]bool
		primary, backup string
	}{
		"the first two":                     {ranked, nil, "a", "b"},
		"the first is unresponsive":         {ranked, map[string]bool{"a": true}, "b", "c"},
		"two are unresponsive":              {ranked, map[string]bool{"a": true, "b": true}, "c", "self"},
		"the only host":                     {[]string{"self"}, nil, "self", ""},
		"this host comes first":             {[]string{"self", "a"}, map[string]bool{"a": true}, "self", "a"},
		"all others are unresponsive":       {[]string{"a", "b", "self"}, map[string]bool{"a": true, "b": true}, "self", ""},
		"one other, which is unresponsive":  {[]string{"a", "self"}, map[string]bool{"a": true}, "self", ""},
		"no hosts known, not even this one": {nil, nil, "self", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var choice Choice
			var primary, backup string
			// Within this time three unresponsive aggregators can be passed over in turn, before the first is tried
			// again.
			for now := start; now.Before(start.Add(avoidTime / 2)); now = now.Add(Interval) {
				if primary, backup = choice.Pick(now, "self", test.ranked, Interval); !test.unresponsive[primary] {
					choice.RecordSum(now, primary)
				}
			}
			c.Check(primary, qt.Equals, test.primary)
			c.Check(backup, qt.Equals, test.backup)
		})
	}
}

// TestHoldersAreSentOnce queues holders that several hosts report, more than fit into a message.
func TestHoldersAreSentOnce(t *testing.T) {
	c := qt.New(t)
	q := newHolderQueue()
	for range 3 {
		for n := range maxHolders + 50 {
			q.add(start, []placement.Holder{{Prefix: keys.Prefix(n), Endpoint: 1}})
		}
	}
	c.Check(q.next(start), qt.HasLen, maxHolders)
	c.Check(q.next(start), qt.HasLen, 50)
	c.Check(q.next(start), qt.HasLen, 0)
	q.add(start.Add(holderResendInterval), []placement.Holder{{Prefix: 1, Endpoint: 1}})
	c.Check(q.next(start.Add(holderResendInterval)), qt.HasLen, 1, qt.Commentf("it was last added holderResendInterval ago"))
	c.Check(q.addedAt, qt.HasLen, 1, qt.Commentf("the others have expired"))
}
