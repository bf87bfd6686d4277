package gossip

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// addRemoteZoneMembers adds members of another zone to a host's view, so that it uses aggregators. No host listens at
// their addresses.
func (n *node) addRemoteZoneMembers() {
	g := n.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range minMembersToAggregate {
		a := announcement(fmt.Sprintf("far-%d", i), 1)
		a.Zone, a.Address = "far", "127.0.0.1:9"
		g.members.ApplyHeartbeat(time.Now(), &Heartbeat{Incarnation: uint32(i + 1), Sequence: 1, Announcement: a})
	}
}

// TestLargeFleetSharesWorkThroughAggregators starts three hosts in a zone. Each must receive sums that include its own
// work, and must keep receiving them after the aggregator leaves.
func TestLargeFleetSharesWorkThroughAggregators(t *testing.T) {
	c := qt.New(t)
	hosts := map[string]*node{"a": startNode(c, "a")}
	hosts["b"] = startNode(c, "b", hosts["a"].gossip.Address())
	hosts["d"] = startNode(c, "d", hosts["a"].gossip.Address())
	for name, n := range hosts {
		eventually(c, "three hosts", func() bool { return n.gossip.Hosts() == 3 })
		n.with(func() bool {
			n.work = Work{Endpoints: []keys.Endpoint{5}, Requests: []int{len(name)}, Tokens: []int{1}}
			return true
		})
		n.addRemoteZoneMembers()
	}
	counted := func(n *node) func() bool {
		return func() bool {
			return n.with(func() bool { return n.counted != nil && len(n.counted.Endpoints) == 1 })
		}
	}
	for _, n := range hosts {
		eventually(c, "the sum includes this host", counted(n))
	}
	primary := func(n *node) string {
		n.gossip.mu.Lock()
		defer n.gossip.mu.Unlock()
		return n.gossip.sharing.choice.Primary()
	}
	first := primary(hosts["a"])
	hosts[first].stop()
	hosts[first].gossip.Leave()
	for name, n := range hosts {
		if name == first {
			continue
		}
		eventually(c, "another aggregator is picked", func() bool { return primary(n) != first })
		previous := 0
		n.with(func() bool { previous = n.fleetSums; return true })
		eventually(c, "the new aggregator's sums arrive", func() bool { return n.with(func() bool { return n.fleetSums > previous+1 }) })
	}
}

// TestMessagesOfOtherZonesAndUnknownHostsAreIgnored checks that contributions of other zones and messages of unknown
// hosts are dropped.
func TestMessagesOfOtherZonesAndUnknownHostsAreIgnored(t *testing.T) {
	tests := map[string]struct {
		message  any
		accepted bool
	}{
		"contribution of an unknown host": {&Contribution{Incarnation: 99, WantsSums: true}, false},
		"contribution of another zone":    {&Contribution{Incarnation: 2, WantsSums: true}, false},
		"contribution of this zone":       {&Contribution{Incarnation: 1, WantsSums: true}, true},
		"fleet sum of an unknown host":    {&FleetSum{Incarnation: 99, Parts: 1}, false},
		"fleet sum of an aggregator":      {&FleetSum{Incarnation: 1, Parts: 1}, true},
		"zone sum of an unknown host":     {&ZoneSum{Incarnation: 99, Parts: 1}, false},
		"zone sum of an aggregator":       {&ZoneSum{Incarnation: 2, Parts: 1}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			host := &node{contributed: make(map[string]*Contribution), zoneSums: make(map[string]int)}
			g := New(Parts{
				Config: Config{Name: "self", Zone: "z"}, Host: host, Log: logrus.NewEntry(log), Clock: time.Now,
				Random: rand.Float64, CountSent: func(counters.PeerTraffic, int) {}, CountRefused: func(counters.RefusedPeerMessage) {},
			})
			remote := announcement("b", 1)
			remote.Zone = "far"
			g.members.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1)})
			g.members.ApplyHeartbeat(start, &Heartbeat{Incarnation: 2, Sequence: 1, Announcement: remote})
			data, err := cbor.Marshal(test.message)
			c.Assert(err, qt.IsNil)
			g.HandleDatagram(data, "127.0.0.1:9")
			c.Check(len(host.contributed)+len(host.zoneSums)+host.fleetSums > 0, qt.Equals, test.accepted)
		})
	}
}

// TestOutOfOrderFleetSumsAreIgnored checks that an older sum that arrives late does not replace a newer one.
func TestOutOfOrderFleetSumsAreIgnored(t *testing.T) {
	c := qt.New(t)
	host := &node{}
	g := New(Parts{Config: Config{Name: "self", Zone: "z"}, Host: host, Clock: time.Now, Random: rand.Float64})
	g.members.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1)})
	for _, sequence := range []uint64{2, 1, 2, 3} {
		g.handleFleetSum(&FleetSum{Incarnation: 1, Sequence: sequence, Parts: 2})
	}
	c.Check(host.fleetSums, qt.Equals, 3, qt.Commentf("the parts of a sum share a sequence number"))
}

// TestHostsSettleWhenNoPeersJoin checks when a host relies on its place in the order of hosts.
func TestHostsSettleWhenNoPeersJoin(t *testing.T) {
	c := qt.New(t)
	now := start
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Parts{Config: Config{Name: "self", Zone: "z"}, Host: &node{received: make(map[string]*Heartbeat)}, Log: logrus.NewEntry(log), Clock: func() time.Time { return now }, Random: rand.Float64})
	join := func(incarnation uint32) {
		g.handleHeartbeat(&Heartbeat{Incarnation: incarnation, Sequence: 1, Announcement: announcement(fmt.Sprint(incarnation), 1)}, "127.0.0.1:9")
	}
	join(1)
	now = now.Add(joinQuietTime - time.Millisecond)
	c.Check(g.IsSettled(), qt.IsFalse)
	join(2)
	now = now.Add(joinQuietTime - time.Millisecond)
	c.Check(g.IsSettled(), qt.IsFalse, qt.Commentf("a peer has joined since"))
	now = now.Add(time.Millisecond)
	c.Check(g.IsSettled(), qt.IsTrue)
	join(3)
	c.Check(g.IsSettled(), qt.IsFalse)
	now = start.Add(maxSettleTime)
	c.Check(g.IsSettled(), qt.IsTrue, qt.Commentf("peers keep joining"))
}

// TestShareBytes bounds the size of fleet sums: with 320 endpoints and all holders, a sum must fit a datagram.
func TestShareBytes(t *testing.T) {
	c := qt.New(t)
	size := func(endpoints, holders, hosts int) int {
		sum := FleetSum{Incarnation: 4_000_000_000, Sequence: 70_000, Parts: 1}
		for n := range endpoints {
			sum.Work.Endpoints = append(sum.Work.Endpoints, keys.OfEndpoint(fmt.Sprint(n)))
			sum.Work.Requests = append(sum.Work.Requests, 20)
			sum.Work.Tokens = append(sum.Work.Tokens, 200)
		}
		for n := range holders {
			sum.Work.Holders = append(sum.Work.Holders, Holder{Prefix: keys.Prefix(4e9 - float64(n)), Endpoint: keys.OfEndpoint("e")})
		}
		for range hosts {
			sum.Counted = append(sum.Counted, 4_000_000_000)
			sum.Sequences = append(sum.Sequences, 70_000)
		}
		data, err := cbor.Marshal(&sum)
		c.Assert(err, qt.IsNil)
		return len(data)
	}
	empty := size(0, 0, 0)
	t.Logf("empty %d B, per endpoint %d B, per holder %d B, per host of the zone %d B", empty,
		(size(100, 0, 0)-empty)/100, (size(0, 100, 0)-empty)/100, (size(0, 0, 100)-empty)/100)
	c.Check(size(320, 400, 60) < 8192, qt.IsTrue)
	c.Check(size(1000, 400, 60) < maxDatagram, qt.IsTrue, qt.Commentf("a full part"))
}
