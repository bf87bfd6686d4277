package gossip

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

// sizes are the numbers of hosts of the fleets that the rules for large fleets are tested with.
var sizes = []int{150, 985, 2000}

// largeFleet is a fleet in five availability zones, in which every host knows all others.
type largeFleet struct {
	records []Record
	views   map[string]*Members
}

func newLargeFleet(hosts int) *largeFleet {
	f := &largeFleet{records: make([]Record, hosts), views: make(map[string]*Members)}
	for n := range f.records {
		f.records[n] = Record{
			Host: fmt.Sprint("host-", n), Address: fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250+1), Zone: fmt.Sprint("zone-", n%5),
			Incarnation: uint32(n + 1), Start: 1, LinkMbit: 20,
		}
	}
	return f
}

// view returns the view of the host at an address.
func (f *largeFleet) view(address string) *Members {
	if m, ok := f.views[address]; ok {
		return m
	}
	own := f.records[slices.IndexFunc(f.records, func(r Record) bool { return r.Address == address })]
	m := NewMembers(own.Host, own.Zone)
	m.SetOwn(own.Address, own.Incarnation, own.Start, own.LinkMbit)
	for i := range f.records {
		m.ApplyRecord(start, &f.records[i])
	}
	f.views[address] = m
	return m
}

// viewOf returns the view of the host with a number.
func (f *largeFleet) viewOf(n int) *Members { return f.view(f.records[n].Address) }

// spread passes a message of the first host on and returns how many copies each other host receives, and the most that a
// host sends. Hosts for which isDown is true do not pass it on.
func (f *largeFleet) spread(copies int, isDown func(address string) bool) (received map[string]int, mostSent int) {
	random := rand.New(rand.NewPCG(1, 2)).Float64
	type passed struct {
		host string
		by   []uint64
		hops []hop
	}
	origin := f.viewOf(0)
	received = make(map[string]int)
	sent := make(map[string]int)
	var open []passed
	for range copies {
		open = append(open, passed{origin.own.Address, []uint64{origin.own.rank}, origin.firstHops(random)})
	}
	for len(open) > 0 {
		p := open[0]
		open = open[1:]
		sent[p.host] += len(p.hops)
		mostSent = max(mostSent, sent[p.host])
		for _, h := range p.hops {
			received[h.address]++
			if h.from <= h.to && !isDown(h.address) {
				m := f.view(h.address)
				open = append(open, passed{h.address, append(slices.Clone(p.by), m.own.rank), m.nextHops(h.from, h.to, p.by, random)})
			}
		}
	}
	return received, mostSent
}

// TestRelayReachesEachHostOnce checks that one copy of a message reaches every host exactly once, and what the busiest host
// sends at any size.
func TestRelayReachesEachHostOnce(t *testing.T) {
	for _, hosts := range sizes {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := qt.New(t)
			received, mostSent := newLargeFleet(hosts).spread(1, func(string) bool { return false })
			c.Check(received, qt.HasLen, hosts-1)
			for address, copies := range received {
				c.Assert(copies, qt.Equals, 1, qt.Commentf("%s", address))
			}
			c.Check(mostSent <= relayFanOut+5, qt.IsTrue, qt.Commentf("%d datagrams", mostSent))
		})
	}
}

// TestRelayWithDeadHosts has a sixth of the hosts pass nothing on before they are noticed. Copies take different ways, so
// that few hosts miss both.
func TestRelayWithDeadHosts(t *testing.T) {
	const hosts = 985
	f := newLargeFleet(hosts)
	dead := make(map[string]bool)
	for n := 1; n < hosts; n += 6 {
		dead[f.records[n].Address] = true
	}
	received, _ := f.spread(urgentCopies, func(address string) bool { return dead[address] })
	missed := hosts - 1 - len(received)
	qt.Check(t, missed <= hosts/5, qt.IsTrue, qt.Commentf("%d hosts miss the message", missed))
}

// TestEveryHostIsWatched checks that each host is watched by as many hosts as it sends heartbeats to, at any size.
func TestEveryHostIsWatched(t *testing.T) {
	for _, hosts := range sizes {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := qt.New(t)
			f := newLargeFleet(hosts)
			for n := 0; n < hosts; n += hosts / 15 {
				m := f.viewOf(n)
				c.Check(m.Watchers(), qt.HasLen, watchers)
				for _, address := range m.Watchers() {
					isWatched := slices.ContainsFunc(f.view(address).watched(), func(member *Member) bool { return member.Name == m.self })
					c.Check(isWatched, qt.IsTrue)
				}
			}
		})
	}
}

// TestSilentHostsAreReported checks when a watcher reports a silent host as lost, and when it does not because it can't
// tell.
func TestSilentHostsAreReported(t *testing.T) {
	tests := map[string]struct {
		// silent has the watched hosts send nothing, receives has another host send.
		silent, receives bool
		// gap is a time during which the watcher does not run, before the end.
		gap  time.Duration
		lost int
	}{
		"nobody is silent":             {silent: false, receives: true, lost: 0},
		"all watched hosts are silent": {silent: true, receives: true, lost: watchers},
		"the watcher is isolated":      {silent: true, receives: false, lost: 0},
		"the watcher was suspended":    {silent: true, receives: true, gap: 4 * time.Second, lost: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newLargeFleet(150).viewOf(0)
			lost := make(map[string]bool)
			for at := time.Duration(0); at < minMemberTimeout+watchers*watcherStep+2*watchInterval; at += watchInterval {
				if at >= time.Second && at < time.Second+test.gap {
					continue
				}
				now := start.Add(at)
				if test.receives {
					m.RecordReceived(now)
				}
				for _, member := range m.watched() {
					if !test.silent {
						member.lastSeen = now
					}
				}
				probe, reported := m.CheckWatched(now)
				c.Check(len(probe) == 0 || test.silent || at == 0, qt.IsTrue)
				for i := range reported {
					lost[reported[i].Host] = true
				}
			}
			c.Check(lost, qt.HasLen, test.lost)
		})
	}
}

// TestLosses applies reports of losses and Records in several orders.
func TestLosses(t *testing.T) {
	record := Record{Host: "a", Address: "10.0.0.1:1", Zone: "z", Incarnation: 1, Start: 5}
	refuted := record
	refuted.Generation = 1
	restarted := record
	restarted.Start, restarted.Incarnation = 6, 2
	loss := &LostRecord{Host: "a", Start: 5}
	tests := map[string]struct {
		apply func(m *Members) Change
		want  Change
		live  int
	}{
		"lost":                            {func(m *Members) Change { return m.ApplyLost(start, loss) }, Lost, 0},
		"an old Record does not return":   {func(m *Members) Change { m.ApplyLost(start, loss); return m.ApplyRecord(start, &record) }, Unchanged, 0},
		"a refutation returns":            {func(m *Members) Change { m.ApplyLost(start, loss); return m.ApplyRecord(start, &refuted) }, Joined, 1},
		"a new start returns":             {func(m *Members) Change { m.ApplyLost(start, loss); return m.ApplyRecord(start, &restarted) }, Joined, 1},
		"a refuted report is late":        {func(m *Members) Change { m.ApplyRecord(start, &refuted); return m.ApplyLost(start, loss) }, Unchanged, 1},
		"a report on a start yet to come": {func(m *Members) Change { return m.ApplyLost(start, &LostRecord{Host: "a", Start: 9}) }, Unchanged, 1},
		"a report on this host":           {func(m *Members) Change { return m.ApplyLost(start, &LostRecord{Host: "self", Start: 3}) }, Refuted, 1},
		"a wild report on this host": {func(m *Members) Change {
			return m.ApplyLost(start, &LostRecord{Host: "self", Start: 3, Generation: math.MaxUint32})
		}, Unchanged, 1},
		"a start in the far future": {func(m *Members) Change { return m.ApplyLost(start, &LostRecord{Host: "b", Start: math.MaxInt64}) }, Refused, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := NewMembers("self", "z")
			m.SetOwn("10.0.0.9:1", 9, 3, 0)
			m.ApplyRecord(start, &record)
			c.Check(test.apply(m), qt.Equals, test.want)
			c.Check(m.Count(), qt.Equals, test.live)
		})
	}
}

// TestRecordsThatLieAreRefused sends Records that describe no host, and more than a list may have.
func TestRecordsThatLieAreRefused(t *testing.T) {
	valid := Record{Host: "a", Address: "10.0.0.1:1", Zone: "z", Incarnation: 1, Start: 5}
	tests := map[string]func(r *Record){
		"no name":               func(r *Record) { r.Host = "" },
		"a long name":           func(r *Record) { r.Host = string(make([]byte, maxNameBytes+1)) },
		"a long zone":           func(r *Record) { r.Zone = string(make([]byte, maxNameBytes+1)) },
		"no address":            func(r *Record) { r.Address = "a:1" },
		"no port":               func(r *Record) { r.Address = "10.0.0.1:0" },
		"any address":           func(r *Record) { r.Address = "0.0.0.0:1" },
		"a group":               func(r *Record) { r.Address = "224.0.0.1:1" },
		"a start in the future": func(r *Record) { r.Start = math.MaxInt64 },
	}
	for name, lie := range tests {
		t.Run(name, func(t *testing.T) {
			m, r := NewMembers("self", "z"), valid
			lie(&r)
			qt.Check(t, m.ApplyRecord(start, &r), qt.Equals, Refused)
			qt.Check(t, m.Count(), qt.Equals, 0)
		})
	}
	c := qt.New(t)
	m := NewMembers("self", "z")
	for n := range maxMembers + 10 {
		r := valid
		r.Host, r.Incarnation = fmt.Sprint(n), uint32(n)
		m.ApplyRecord(start, &r)
		m.ApplyLost(start, &LostRecord{Host: fmt.Sprint("gone-", n), Start: 1})
	}
	c.Check(m.Count(), qt.Equals, maxMembers)
	c.Check(m.lost, qt.HasLen, maxLostMembers)
}

// TestDigests checks that views with the same Records have the same digest whatever the order, and that only the Records
// in buckets that differ are sent.
func TestDigests(t *testing.T) {
	c := qt.New(t)
	f := newLargeFleet(985)
	a, b := f.viewOf(0), f.viewOf(500)
	c.Check(a.digest, qt.Equals, b.digest)
	a.ApplyLost(start, &LostRecord{Host: "host-7", Start: 1})
	records, lost := b.RecordsIn(a.digest[:])
	c.Check(len(records) < 2*985/digestBuckets, qt.IsTrue, qt.Commentf("%d Records", len(records)))
	c.Check(lost, qt.HasLen, 0)
	_, lost = a.RecordsIn(b.digest[:])
	c.Check(lost, qt.HasLen, 1)
	records, _ = b.RecordsIn(nil)
	c.Check(records, qt.HasLen, 985)
}

// TestCells checks that the cells of a fleet have at most maxCellHosts hosts at any size, that all hosts compute the same
// ones, and that the host with the fastest link adds up the work.
func TestCells(t *testing.T) {
	for _, hosts := range sizes {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := qt.New(t)
			f := newLargeFleet(hosts)
			a, b := f.viewOf(0), f.viewOf(hosts/2)
			fast := Record{Host: "fast", Address: "10.9.0.1:1", Zone: "zone-0", Incarnation: math.MaxUint32, Start: 1, LinkMbit: 1000}
			largest := 0
			for _, m := range []*Members{a, b} {
				m.ApplyRecord(start, &fast)
				for cell, members := range m.indexed().cells {
					largest = max(largest, len(members))
					c.Check(members[0].Name == "fast" || m.cellOf(members[0]) == cell, qt.IsTrue)
				}
			}
			c.Check(largest <= maxCellHosts*4/3, qt.IsTrue, qt.Commentf("%d hosts", largest))
			cell := a.cellOf(a.live["fast"])
			c.Check(a.indexed().cells[cell][0].Name, qt.Equals, "fast")
			c.Check(b.cellOf(b.live["fast"]), qt.Equals, cell)
		})
	}
}

// TestRepeatedRelays checks which copies of a message are handled and passed on.
func TestRepeatedRelays(t *testing.T) {
	c := qt.New(t)
	var s relayState
	isFirst, mayPass := s.record(1, 5)
	c.Check([]bool{isFirst, mayPass}, qt.DeepEquals, []bool{true, true})
	for range maxCopies - 1 {
		isFirst, mayPass = s.record(1, 5)
		c.Check([]bool{isFirst, mayPass}, qt.DeepEquals, []bool{false, true})
	}
	_, mayPass = s.record(1, 5)
	c.Check(mayPass, qt.IsFalse, qt.Commentf("a host that is sent endless copies"))
	isFirst, _ = s.record(1, 4)
	c.Check(isFirst, qt.IsTrue, qt.Commentf("overtaken by the next message"))
	s.record(1, 5+relayWindow)
	isFirst, mayPass = s.record(1, 5)
	c.Check([]bool{isFirst, mayPass}, qt.DeepEquals, []bool{false, false}, qt.Commentf("an old message"))
	isFirst, _ = s.record(1, 6+relayWindow)
	c.Check(isFirst, qt.IsTrue)
	for origin := range uint32(2 * maxRelaySenders) {
		s.record(origin, 1)
	}
	c.Check(len(s.seen) <= maxRelaySenders, qt.IsTrue)
}

// TestMalformedDatagramsAreRefused sends datagrams that no host sends.
func TestMalformedDatagramsAreRefused(t *testing.T) {
	envelopeOf := func(kind envelope.Kind, message any) any {
		body, err := cbor.Marshal(message)
		qt.Assert(t, err, qt.IsNil)
		return &Envelope{Incarnation: 1, Kind: kind, Body: body}
	}
	nested, err := cbor.Marshal(envelopeOf(envelope.KindRelay, &Relay{Origin: 1, Number: 2, From: 1}))
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct {
		message any
		reason  counters.RefusedPeerMessage
	}{
		"a text":                         {"text", counters.RefusedMalformed},
		"an unknown number of fields":    {[]int{1, 2, 3, 4, 5, 6}, counters.RefusedMalformed},
		"fields of other types":          {[]string{"a", "b"}, counters.RefusedMalformed},
		"impossible loads":               {&FleetSum{Incarnation: 1, Parts: 1, Work: Work{Requests: []int{maxRequests + 1}}}, counters.RefusedSum},
		"a thousand Records":             {envelopeOf(envelope.KindMembers, &MemberUpdates{Records: make([]Record, 1000)}), counters.RefusedMalformed},
		"a Record of no host":            {envelopeOf(envelope.KindMembers, &MemberUpdates{Records: make([]Record, 1)}), counters.RefusedMember},
		"a relayed message in another":   {envelopeOf(envelope.KindRelay, &Relay{Origin: 1, Number: 1, From: 1, Datagram: nested}), counters.RefusedMalformed},
		"a message relayed too often":    {envelopeOf(envelope.KindRelay, &Relay{Origin: 1, Number: 1, From: 1, By: make([]uint64, maxRelaySteps+1)}), counters.RefusedMalformed},
		"changes of an unknown base":     {envelopeOf(envelope.KindChanges, &ChangesResponse{}), counters.RefusedMalformed},
		"a size that is no number":       {envelopeOf(envelope.KindFleetSize, []string{"text"}), counters.RefusedMalformed},
		"an impossible size":             {envelopeOf(envelope.KindFleetSize, &FleetSize{Hosts: maxMembers + 1}), counters.RefusedMember},
		"a negative size":                {envelopeOf(envelope.KindFleetSize, &FleetSize{Hosts: -1}), counters.RefusedMember},
		"a digest that can't be decoded": {envelopeOf(envelope.KindMembersDigest, "text"), counters.RefusedMalformed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			var refused []counters.RefusedPeerMessage
			g := New(Parts{
				Config: Config{Name: "self", Zone: "z"}, Host: &node{}, Log: logrus.NewEntry(log), Clock: time.Now, Random: rand.Float64,
				CountSent:    func(counters.PeerTraffic, int) {},
				CountRefused: func(reason counters.RefusedPeerMessage) { refused = append(refused, reason) },
			})
			g.members.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1)})
			data, err := cbor.Marshal(test.message)
			c.Assert(err, qt.IsNil)
			g.HandleDatagram(data, "127.0.0.1:9")
			c.Check(refused, qt.DeepEquals, []counters.RefusedPeerMessage{test.reason})
			c.Check(g.Hosts(), qt.Equals, 2)
		})
	}
}

// TestShrunkFleetKeepsItsMembers loses more and more hosts of a large fleet. It stays large until less than half of the
// smallest large fleet is left, and then drops no member only because others watched it.
func TestShrunkFleetKeepsItsMembers(t *testing.T) {
	c := qt.New(t)
	const hosts, later = 150, time.Minute
	m := newLargeFleet(hosts).viewOf(0)
	for n := 1; n < hosts; n++ {
		left := m.Count()
		c.Check(m.IsLarge(), qt.Equals, left >= maxMembersOfShrunkFleet, qt.Commentf("%d members", left))
		m.Expire(start.Add(later), minMemberTimeout)
		c.Assert(m.Count(), qt.Equals, left)
		m.ApplyLost(start.Add(later), &LostRecord{Host: fmt.Sprint("host-", n), Start: 1})
	}
}
