package gossip

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func announcement(host string, started int64, known ...string) *Announcement {
	return &Announcement{Host: host, Address: host + ":1", Zone: "z", Start: started, KnownAddresses: known}
}

func TestMembersApplyHeartbeat(t *testing.T) {
	type received struct {
		heartbeat Heartbeat
		isNew     bool
		ok        bool
	}
	tests := map[string]struct {
		heartbeats []received
		live       int
	}{
		"announced": {[]received{{Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1)}, true, true}, {Heartbeat{Incarnation: 1, Sequence: 2}, false, true}}, 1},
		"a heartbeat of an unknown sender is ignored": {[]received{{Heartbeat{Incarnation: 1, Sequence: 1}, false, false}}, 0},
		"the host's own announcement is ignored":      {[]received{{Heartbeat{Incarnation: 9, Sequence: 1, Announcement: announcement("self", 1)}, false, false}}, 0},
		"an outdated heartbeat is ignored": {[]received{
			{Heartbeat{Incarnation: 1, Sequence: 2, Announcement: announcement("a", 1)}, true, true},
			{Heartbeat{Incarnation: 1, Sequence: 1}, false, false},
		}, 1},
		"a new incarnation replaces the old one": {[]received{
			{Heartbeat{Incarnation: 1, Sequence: 50, Announcement: announcement("a", 1)}, true, true},
			{Heartbeat{Incarnation: 2, Sequence: 1, Announcement: announcement("a", 2)}, true, true},
			{Heartbeat{Incarnation: 1, Sequence: 51}, false, false},
			{Heartbeat{Incarnation: 1, Sequence: 52, Announcement: announcement("a", 1)}, false, false},
		}, 1},
		"leaving": {[]received{
			{Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1)}, true, true},
			{Heartbeat{Incarnation: 1, Sequence: 2, Leaving: true}, false, true},
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := NewMembers("self", "")
			for _, h := range test.heartbeats {
				_, isNew, ok := m.ApplyHeartbeat(start, &h.heartbeat)
				c.Check([]bool{isNew, ok}, qt.DeepEquals, []bool{h.isNew, h.ok})
			}
			c.Check(m.Count(), qt.Equals, test.live)
		})
	}
}

func TestUnresponsiveMembersExpire(t *testing.T) {
	c := qt.New(t)
	m := NewMembers("self", "")
	m.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1, "c:1")})
	m.ApplyHeartbeat(start.Add(900*time.Millisecond), &Heartbeat{Incarnation: 2, Sequence: 1, Announcement: announcement("b", 1)})
	c.Check(m.AnnouncementTargets(start.Add(time.Second)), qt.DeepEquals, []string{"c:1"})
	c.Check(m.Expire(start.Add(1100*time.Millisecond), time.Second), qt.DeepEquals, []string{"a"})
	c.Check(m.AnnouncementTargets(start.Add(1100*time.Millisecond)), qt.DeepEquals, []string{"a:1"}, qt.Commentf("the address of a lost member is tried again, because the member may return"))
	c.Check(m.AnnouncementTargets(start.Add(1200*time.Millisecond)), qt.HasLen, 0, qt.Commentf("each address was tried less than contactInterval ago"))
	c.Check(m.AnnouncementTargets(start.Add(time.Second+contactInterval)), qt.DeepEquals, []string{"c:1"})
	c.Check(m.Live(), qt.HasLen, 1)
	m.Expire(start.Add(contactTimeout+500*time.Millisecond), time.Hour)
	c.Check(m.AnnouncementTargets(start.Add(time.Hour)), qt.HasLen, 0, qt.Commentf("addresses that no host names expire"))
}

// TestOwnAddressIsNotAnnouncedTo guards against hosts that announce themselves to themselves, because peers include a
// host's own address in their announcements to it.
func TestOwnAddressIsNotAnnouncedTo(t *testing.T) {
	c := qt.New(t)
	g := New(Parts{Config: Config{Name: "self", Address: "self:1"}, Clock: func() time.Time { return start }, Random: rand.Float64})
	g.members.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1, "self:1", "c:1")})
	g.AddContacts([]string{"self:1", "d:1"})
	c.Check(g.members.AnnouncementTargets(start), qt.DeepEquals, []string{"c:1", "d:1"})
}

func TestOutdatedReportsAreIgnored(t *testing.T) {
	c := qt.New(t)
	m := NewMembers("self", "")
	m.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1)})
	name, accepted := m.ApplyReport(&Report{Incarnation: 1, Sequence: 2})
	c.Check(name, qt.Equals, "a")
	c.Check(accepted, qt.IsTrue)
	_, accepted = m.ApplyReport(&Report{Incarnation: 1, Sequence: 1})
	c.Check(accepted, qt.IsFalse, qt.Commentf("an outdated report"))
	_, accepted = m.ApplyReport(&Report{Incarnation: 2, Sequence: 3})
	c.Check(accepted, qt.IsFalse, qt.Commentf("a report of an unknown host"))
}

func TestEngineReportsReachPeers(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	a.with(func() bool { a.observed = []EngineReport{{Service: 5}}; return true })
	eventually(c, "b has the report of a", func() bool {
		a.gossip.RequestHeartbeat()
		return b.with(func() bool { return len(b.reported["a"]) == 1 })
	})
	c.Check(b.with(func() bool { return b.reported["a"][0].Service == 5 }), qt.IsTrue)
}

// node is a Host that records the calls that it receives.
type node struct {
	gossip *Gossip
	done   chan struct{}

	mu       sync.Mutex
	state    State
	own      SyncRequest
	received map[string]*Heartbeat
	observed []EngineReport
	reported map[string][]EngineReport
	lost     []string
	applied  []string
	// confirmations are sent by this host, confirmed were last received from a peer.
	confirmations []TopicConfirmation
	confirmed     []TopicConfirmation
	mustAsk       bool
	// work is this host's work, contributed the work of the hosts of its zone. zoneSums counts the zone sums of peers,
	// fleetSums the sums over all hosts; counted is this host's work in the last one.
	work        Work
	contributed map[string]*Contribution
	zoneSums    map[string]int
	fleetSums   int
	counted     *Work
	// announcements counts the announcements sent.
	announcements atomic.Int32
}

// count counts the announcements among the sent messages.
func (n *node) count(kind counters.PeerTraffic, _ int) {
	if kind == counters.PeerAnnouncements {
		n.announcements.Add(1)
	}
}

func (n *node) State(direct bool) State {
	n.mu.Lock()
	defer n.mu.Unlock()
	state := n.state
	if !direct {
		state.Loads, state.Holders = nil, nil
	}
	return state
}

func (n *node) IsBusy() bool { return true }

func (n *node) Work() Work {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.work
}

func (n *node) HandleContribution(host string, contribution *Contribution) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contributed[host] = contribution
}

func (n *node) HandleZoneSum(peer, _ string, _ bool, _ *ZoneSum) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zoneSums[peer]++
}

func (n *node) Sums() ([]ZoneSum, []FleetSum) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := FleetSum{Parts: 1, Decider: "d"}
	for _, c := range n.contributed {
		sum.Counted = append(sum.Counted, c.Incarnation)
		sum.Sequences = append(sum.Sequences, c.Sequence)
	}
	return []ZoneSum{{Parts: 1}}, []FleetSum{sum}
}

func (n *node) HandleFleetSum(_ *FleetSum, counted *Work) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleetSums++
	n.counted = counted
}

func (n *node) Revisions() SyncRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.own
}

func (n *node) HandleHeartbeat(peer string, heartbeat *Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received[peer] = heartbeat
}

func (n *node) EngineReports() []EngineReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.observed
}

func (n *node) HandleReport(peer string, observed []EngineReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reported[peer] = observed
}

func (n *node) Confirmations() []TopicConfirmation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.confirmations
}

func (n *node) MustAsk(freshness.Topic, int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mustAsk
}

func (n *node) HandleConfirmations(topics []TopicConfirmation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmed = topics
}

func (n *node) HandlePeerLoss(peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = append(n.lost, peer)
}

func (n *node) Respond(want SyncRequest) SyncResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	var response SyncResponse
	if n.own.Settings > want.Settings {
		response.Settings = []byte("settings")
	}
	if n.own.Directory > want.Directory {
		response.Snapshot = &DirectorySnapshot{Revision: n.own.Directory}
	}
	return response
}

func (n *node) Changes(ChangesRequest) ChangesResponse    { return ChangesResponse{} }
func (n *node) ApplyChanges(string, ChangesResponse) bool { return false }

func (n *node) Apply(_ Member, response SyncResponse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(response.Settings) > 0 {
		n.applied = append(n.applied, string(response.Settings))
		n.own.Settings = 7
	}
	if response.Snapshot != nil {
		n.own.Directory = response.Snapshot.Revision
	}
}

func (n *node) with(f func() bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return f()
}

func startNode(c *qt.C, name string, first ...string) *node {
	n := &node{contributed: make(map[string]*Contribution), zoneSums: make(map[string]int), received: make(map[string]*Heartbeat), reported: make(map[string][]EngineReport), done: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.gossip = New(Parts{
		Config: Config{Name: name, Address: "127.0.0.1:0", FirstPeers: first}, Host: n, Network: IPNetwork{}, Log: logrus.NewEntry(log),
		Clock: time.Now, Random: rand.Float64, CountSent: n.count, CountRefused: func(counters.RefusedPeerMessage) {},
	})
	c.Assert(n.gossip.Start(), qt.IsNil)
	ended := make(chan struct{})
	go func() {
		n.gossip.Run(n.done)
		close(ended)
	}()
	c.Cleanup(func() {
		n.stop()
		<-ended
		n.gossip.Close()
	})
	return n
}

func (n *node) stop() {
	select {
	case <-n.done:
	default:
		close(n.done)
	}
}

func eventually(c *qt.C, what string, reached func() bool) {
	for deadline := time.Now().Add(20 * time.Second); !reached(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.Fatalf("condition not met in time: %s", what)
		}
	}
}

func TestHostsDiscoverEachOtherAndSync(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	d := startNode(c, "d", b.gossip.Address())
	for _, n := range []*node{a, b, d} {
		eventually(c, "three hosts", func() bool { return n.gossip.Hosts() == 3 })
	}
	a.mu.Lock()
	a.state = State{Loads: []EndpointLoad{{Endpoint: 5, Requests: 2, Tokens: 9}}, Settings: 7, Directory: 8}
	a.own = SyncRequest{Settings: 7, Directory: 8}
	a.mu.Unlock()
	a.gossip.RequestHeartbeat()
	for _, n := range []*node{b, d} {
		eventually(c, "the load is received", func() bool {
			return n.with(func() bool {
				return n.received["a"] != nil && len(n.received["a"].Loads) == 1 && n.received["a"].Loads[0].Tokens == 9
			})
		})
		eventually(c, "newer revisions are fetched", func() bool {
			return n.with(func() bool { return len(n.applied) > 0 && n.applied[0] == "settings" && n.own.Directory == 8 })
		})
	}
	a.stop()
	a.gossip.Leave()
	eventually(c, "a has left", func() bool { return b.gossip.Hosts() == 2 && d.gossip.Hosts() == 2 })
	// Members drops a before Host is notified, so the notification is awaited separately.
	eventually(c, "b is notified", func() bool { return b.with(func() bool { return slices.Contains(b.lost, "a") }) })
}

func TestReaderSelection(t *testing.T) {
	tests := map[string]struct {
		hosts int
		// failing is the number of hosts, first in the order, that get no answers from the store.
		failing int
		want    int
	}{
		"fewer hosts than readers: all read":                    {3, 0, 3},
		"a small fleet":                                         {8, 0, freshness.Readers},
		"a large fleet":                                         {40, 0, freshness.Readers},
		"other hosts take over from failing readers":            {40, 2, freshness.Readers + 2},
		"the number of readers is bounded if the store is down": {40, 40, maxReaders},
		"a very large fleet has no more readers":                {380, 0, freshness.Readers},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			names := make([]string, 0, test.hosts)
			for n := range test.hosts {
				names = append(names, fmt.Sprintf("host-%d", n))
			}
			slices.SortFunc(names, func(a, b string) int { return cmp.Compare(Rank(a), Rank(b)) })
			// The hosts decide in their order; each knows which hosts before it read.
			reading := make(map[string]bool)
			should, answered := 0, 0
			for i, self := range names {
				m := NewMembers(self, "")
				for j, other := range names {
					if other != self {
						m.ApplyHeartbeat(start, &Heartbeat{Incarnation: uint32(j + 1), Sequence: 1, Announcement: announcement(other, 1), ReadsStore: reading[other]})
					}
				}
				order := m.Order()
				c.Check(order.Before, qt.Equals, i)
				c.Check(order.Hosts, qt.Equals, test.hosts)
				c.Check(order.ReadersBefore, qt.Equals, answered)
				c.Check(order.Readers, qt.Equals, answered+1)
				if order.IsReader() {
					should++
					reading[self] = i >= test.failing
				}
				if reading[self] {
					answered++
				}
			}
			c.Check(should, qt.Equals, test.want)
		})
	}
}

// TestConfirmationsReachMembersAndStartFetches checks that a confirmation reaches all members, and that a member with
// an older revision fetches the newer one without waiting for a heartbeat.
func TestConfirmationsReachMembersAndStartFetches(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	eventually(c, "both hosts", func() bool { return a.gossip.Hosts() == 2 && b.gossip.Hosts() == 2 })
	a.with(func() bool {
		a.own = SyncRequest{Settings: 7, Directory: 8}
		a.confirmations = []TopicConfirmation{{Newest: 7, Revision: 9, AsOf: 70_000}, {Newest: 8, Revision: 9, AsOf: 70_001}}
		return true
	})
	a.gossip.RequestConfirmation()
	eventually(c, "b has the confirmation of a", func() bool { return b.with(func() bool { return len(b.confirmed) == 2 }) })
	c.Check(b.with(func() bool { return b.confirmed[1].AsOf == 70_001 }), qt.IsTrue)
	eventually(c, "b has fetched the revisions of a", func() bool {
		return b.with(func() bool { return b.own == SyncRequest{Settings: 7, Directory: 8} })
	})
}

// TestStaleHostPollsPeers checks that a host fetches newer revisions by polling if no heartbeat with them reaches it.
func TestStaleHostPollsPeers(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	eventually(c, "both hosts", func() bool { return a.gossip.Hosts() == 2 && b.gossip.Hosts() == 2 })
	a.with(func() bool {
		a.own = SyncRequest{Settings: 7, Directory: 8}
		return true
	})
	b.with(func() bool {
		b.mustAsk = true
		return true
	})
	eventually(c, "b has the revisions of a", func() bool {
		return b.with(func() bool { return b.own == SyncRequest{Settings: 7, Directory: 8} })
	})
}

func TestConfirmationsOfUnknownHostsAreIgnored(t *testing.T) {
	c := qt.New(t)
	m := NewMembers("self", "")
	_, known := m.ApplyConfirmation(&Confirmation{Incarnation: 1}, true)
	c.Check(known, qt.IsFalse)
	m.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Settings: 3, Directory: 4, Announcement: announcement("a", 1)})
	member, known := m.ApplyConfirmation(&Confirmation{Incarnation: 1, Topics: []TopicConfirmation{{Newest: 5}, {Newest: 2}, {Newest: 99}}}, true)
	c.Check(known, qt.IsTrue)
	c.Check(member.Settings, qt.Equals, uint64(5))
	c.Check(member.Directory, qt.Equals, uint64(4), qt.Commentf("an older revision does not replace a newer one"))
}

// TestConfirmationsFromHostsWithoutErasAreIgnored guards against confirmations of a later era by hosts whose version
// has no eras and which have not read that era from the store.
func TestConfirmationsFromHostsWithoutErasAreIgnored(t *testing.T) {
	c := qt.New(t)
	restored, err := era.Revision(1, 4)
	c.Assert(err, qt.IsNil)
	host := &node{own: SyncRequest{Settings: 3, Directory: 3}}
	g := New(Parts{Config: Config{Name: "a"}, Host: host, Clock: time.Now, Random: func() float64 { return 0.5 }})
	g.members.ApplyHeartbeat(time.Now(), &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("b", 1)})
	topics := []TopicConfirmation{{Newest: 3, Revision: restored}, {Newest: 3, Revision: 5}}
	g.handleConfirmation(&Confirmation{Incarnation: 1, Topics: topics})
	c.Check(host.confirmed, qt.HasLen, 0)
	body, err := cbor.Marshal(topics)
	c.Assert(err, qt.IsNil)
	g.handleEnvelope(&Envelope{Incarnation: 1, Kind: envelope.KindConfirmation, Body: body}, "127.0.0.1:9")
	c.Check(host.confirmed, qt.DeepEquals, topics)
}

// TestNewRevisionSkipsHeartbeatPace guards against late changes of the settings in a large fleet: at 300 hosts the pace
// is 2.4 s, and with it a change took 5 s to reach all hosts.
func TestNewRevisionSkipsHeartbeatPace(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Parts{
		Config: Config{Name: "a"}, Host: &node{}, Log: logrus.NewEntry(log), Clock: time.Now,
		Random: func() float64 { return 0.5 }, CountSent: func(counters.PeerTraffic, int) {}, CountRefused: func(counters.RefusedPeerMessage) {},
	})
	for n := range 300 {
		g.members.ApplyHeartbeat(time.Now(), &Heartbeat{Incarnation: uint32(n + 1), Sequence: 1, Announcement: announcement(fmt.Sprintf("host-%d", n), 1)})
	}
	// Without the urgent request, the heartbeat would wait for the pace of some seconds.
	g.RequestHeartbeat()
	g.RequestUrgentHeartbeat()
	begun := make(chan bool)
	go func() { begun <- g.waitForNext(make(chan struct{})) }()
	c.Check(<-begun, qt.IsTrue)
	c.Check(g.heartbeatWanted, qt.HasLen, 1, qt.Commentf("the change of loads still waits for the pace"))
}

func TestLargeFleetHeartbeatsCarryNoLoads(t *testing.T) {
	for name, hosts := range map[string]int{"small": 100, "large": 300} {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			host := &node{}
			g := New(Parts{
				Config: Config{Name: "a"}, Host: host, Log: logrus.NewEntry(log), Clock: time.Now,
				Random: func() float64 { return 0.5 }, CountSent: func(counters.PeerTraffic, int) {}, CountRefused: func(counters.RefusedPeerMessage) {},
			})
			for n := range hosts {
				g.members.ApplyHeartbeat(time.Now(), &Heartbeat{Incarnation: uint32(n + 1), Sequence: 1, Announcement: announcement(fmt.Sprintf("host-%d", n), 1)})
			}
			host.state = State{Settings: 3, Loads: []EndpointLoad{{Endpoint: 1}}}
			sent := g.newHeartbeat(g.parts.Host.State(!g.UsesAggregators()))
			qt.Check(t, len(sent.Loads) > 0, qt.Equals, hosts < minMembersToAggregate)
			qt.Check(t, sent.Settings, qt.Equals, uint64(3))
			qt.Check(t, g.nextReport() != nil, qt.Equals, hosts < minMembersToAggregate)
		})
	}
}

// TestSettingsAndDirectoryAreFetchedSeparately guards against settings that arrive late because they are fetched
// together with, or after, a large directory (3,000 entries at 300 hosts).
func TestSettingsAndDirectoryAreFetchedSeparately(t *testing.T) {
	c := qt.New(t)
	peer := &node{own: SyncRequest{Settings: 7, Directory: 8}}
	own := SyncRequest{Settings: 3, Directory: 4}
	member := &Member{Settings: 7, Directory: 8}
	for _, test := range []struct {
		topic               freshness.Topic
		settings, directory bool
	}{{freshness.Settings, true, false}, {freshness.Endpoints, false, true}} {
		c.Check(isBehind(test.topic, own, member), qt.IsTrue)
		response := peer.Respond(requestFor(test.topic, own))
		c.Check(len(response.Settings) > 0, qt.Equals, test.settings)
		c.Check(response.Snapshot != nil, qt.Equals, test.directory)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Parts{Config: Config{Name: "a"}, Host: peer, Log: logrus.NewEntry(log), Clock: time.Now, Random: func() float64 { return 0.5 }, CountSent: func(counters.PeerTraffic, int) {}, CountRefused: func(counters.RefusedPeerMessage) {}})
	c.Check(g.beginFetch(freshness.Endpoints), qt.IsTrue)
	c.Check(g.beginFetch(freshness.Endpoints), qt.IsFalse)
	c.Check(g.beginFetch(freshness.Settings), qt.IsTrue)
	g.endFetch(freshness.Endpoints)
	c.Check(g.beginFetch(freshness.Endpoints), qt.IsTrue)
}

// TestUpdatesDuringFetchAreNotMissed checks that a host that learns of a newer revision while it fetches from another
// peer fetches that revision too.
func TestUpdatesDuringFetchAreNotMissed(t *testing.T) {
	tests := map[string]struct {
		// had is the host's revision when it begins to fetch from the first peer, which has revision 10.
		had uint64
	}{
		"the first peer's revision has arrived otherwise": {10},
		"the first peer is asked":                         {5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			first, second := startNode(c, "first"), startNode(c, "second")
			host := startNode(c, "host", first.gossip.Address(), second.gossip.Address())
			c.Assert(host.gossip.beginFetch(freshness.Endpoints), qt.IsTrue)
			has := map[*node]uint64{first: 10, second: 20, host: test.had}
			for n, revision := range has {
				n.mu.Lock()
				n.own = SyncRequest{Settings: 1, Directory: revision}
				n.state = State{Settings: 1, Directory: revision}
				n.mu.Unlock()
				n.gossip.RequestHeartbeat()
			}
			var known Member
			eventually(c, "the host has received the revisions of both peers", func() bool {
				member, ok := host.gossip.pick(func(m *Member) bool { return m.Name == "second" && m.Directory == 20 })
				first, okFirst := host.gossip.pick(func(m *Member) bool { return m.Name == "first" && m.Directory == 10 })
				known = first
				return ok && okFirst && member.Directory == 20
			})
			host.gossip.syncTopic(freshness.Endpoints, known, host.Revisions())
			c.Check(host.Revisions().Directory, qt.Equals, uint64(20))
		})
	}
}

// TestAnnouncementsGoOnlyToUnknownHosts guards against announcements to all hosts whenever a host joins. In a fleet of
// 297 hosts they made up nine tenths of the traffic between hosts.
func TestAnnouncementsGoOnlyToUnknownHosts(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	eventually(c, "both hosts", func() bool { return a.gossip.Hosts() == 2 && b.gossip.Hosts() == 2 })
	sent := b.announcements.Load()
	late := startNode(c, "late", a.gossip.Address())
	for _, n := range []*node{a, b, late} {
		eventually(c, "three hosts", func() bool { return n.gossip.Hosts() == 3 })
	}
	// b announces itself to the new host by its own decision, on request, or both.
	c.Check(b.announcements.Load()-sent <= 2, qt.IsTrue, qt.Commentf("%d announcements", b.announcements.Load()-sent))
}

// TestUnknownSenderIsAskedToAnnounceItself guards against the loss of an announcement, after which the sender's
// heartbeats would never be used.
func TestUnknownSenderIsAskedToAnnounceItself(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	eventually(c, "both hosts", func() bool { return a.gossip.Hosts() == 2 && b.gossip.Hosts() == 2 })
	a.gossip.mu.Lock()
	a.gossip.members.drop("b")
	delete(a.gossip.members.contacts, b.gossip.Address())
	a.gossip.mu.Unlock()
	eventually(c, "b is a member again", func() bool { return a.gossip.Hosts() == 2 })
}

func TestUnknownSendersAreAnnouncementTargets(t *testing.T) {
	tests := map[string]struct {
		prepare func(m *Members)
		want    []string
	}{
		"an unknown address is a target": {func(m *Members) { m.AddUnknownSender(start, "x:1") }, []string{"x:1"}},
		"a member's address with another incarnation is a target": {func(m *Members) {
			m.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1)})
			m.AddUnknownSender(start, "a:1")
		}, []string{"a:1"}},
		"an address that was tried recently is no target": {func(m *Members) {
			m.AddUnknownSender(start, "x:1")
			m.AnnouncementTargets(start)
			m.AddUnknownSender(start, "x:1")
		}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := NewMembers("self", "")
			test.prepare(m)
			qt.Check(t, m.AnnouncementTargets(start.Add(time.Second)), qt.DeepEquals, test.want)
		})
	}
}
