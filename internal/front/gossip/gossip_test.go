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

func TestMembers(t *testing.T) {
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
		"a heartbeat without an announcement does not count": {[]received{{Heartbeat{Incarnation: 1, Sequence: 1}, false, false}}, 0},
		"an echo does not count":                             {[]received{{Heartbeat{Incarnation: 9, Sequence: 1, Announcement: announcement("self", 1)}, false, false}}, 0},
		"a late heartbeat does not count": {[]received{
			{Heartbeat{Incarnation: 1, Sequence: 2, Announcement: announcement("a", 1)}, true, true},
			{Heartbeat{Incarnation: 1, Sequence: 1}, false, false},
		}, 1},
		"a new incarnation replaces the old": {[]received{
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

func TestSilentMembersExpire(t *testing.T) {
	c := qt.New(t)
	m := NewMembers("self", "")
	m.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1, "c:1")})
	m.ApplyHeartbeat(start.Add(900*time.Millisecond), &Heartbeat{Incarnation: 2, Sequence: 1, Announcement: announcement("b", 1)})
	c.Check(m.AnnouncementTargets(start.Add(time.Second)), qt.DeepEquals, []string{"c:1"})
	c.Check(m.Expire(start.Add(1100*time.Millisecond), time.Second), qt.DeepEquals, []string{"a"})
	c.Check(m.AnnouncementTargets(start.Add(1100*time.Millisecond)), qt.DeepEquals, []string{"a:1"}, qt.Commentf("it is tried again: it may come back"))
	c.Check(m.AnnouncementTargets(start.Add(1200*time.Millisecond)), qt.HasLen, 0, qt.Commentf("each address has been tried just now"))
	c.Check(m.AnnouncementTargets(start.Add(time.Second+contactInterval)), qt.DeepEquals, []string{"c:1"})
	c.Check(m.Live(), qt.HasLen, 1)
	m.Expire(start.Add(contactTimeout+500*time.Millisecond), time.Hour)
	c.Check(m.AnnouncementTargets(start.Add(time.Hour)), qt.HasLen, 0, qt.Commentf("addresses that nobody names are forgotten"))
}

// TestAHostIsNoContactOfItself has peers name a host's own address, as they do in their announcements to it.
func TestAHostIsNoContactOfItself(t *testing.T) {
	c := qt.New(t)
	g := New(Parts{Config: Config{Name: "self", Address: "self:1"}, Clock: func() time.Time { return start }, Random: rand.Float64})
	g.members.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1, "self:1", "c:1")})
	g.AddContacts([]string{"self:1", "d:1"})
	c.Check(g.members.AnnouncementTargets(start), qt.DeepEquals, []string{"c:1", "d:1"})
}

func TestReportsOfMembersCount(t *testing.T) {
	c := qt.New(t)
	m := NewMembers("self", "")
	m.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1)})
	name, counts := m.ApplyReport(&Report{Incarnation: 1, Sequence: 2})
	c.Check(name, qt.Equals, "a")
	c.Check(counts, qt.IsTrue)
	_, counts = m.ApplyReport(&Report{Incarnation: 1, Sequence: 1})
	c.Check(counts, qt.IsFalse, qt.Commentf("an older one came late"))
	_, counts = m.ApplyReport(&Report{Incarnation: 2, Sequence: 3})
	c.Check(counts, qt.IsFalse, qt.Commentf("of an unknown host"))
}

func TestHostsReportWhatTheyObserved(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	a.look(func() bool { a.observed = []EngineReport{{Service: 5}}; return true })
	eventually(c, "b has the report of a", func() bool {
		a.gossip.RequestHeartbeat()
		return b.look(func() bool { return len(b.reported["a"]) == 1 })
	})
	c.Check(b.look(func() bool { return b.reported["a"][0].Service == 5 }), qt.IsTrue)
}

// node is a host that records what it receives.
type node struct {
	gossip *Gossip
	done   chan struct{}

	mu       sync.Mutex
	state    State
	has      SyncRequest
	received map[string]*Heartbeat
	observed []EngineReport
	reported map[string][]EngineReport
	lost     []string
	taken    []string
	// confirmations are those of this host, confirmed those of the last peer.
	confirmations []TopicConfirmation
	confirmed     []TopicConfirmation
	mustAsk       bool
	// work is this host's, contributed that of the hosts of its zone; zoneSums counts the sums of peers, fleetSums
	// those over all hosts, the last of which counts counted.
	work        Work
	contributed map[string]*Contribution
	zoneSums    map[string]int
	fleetSums   int
	counted     *Work
	// announcements counts what was sent.
	announcements atomic.Int32
}

// count is called with each send.
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

func (n *node) HandleZoneSum(peer, _ string, _ *ZoneSum) {
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
	return n.has
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
	if n.has.Settings > want.Settings {
		response.Settings = []byte("settings")
	}
	if n.has.Directory > want.Directory {
		response.Snapshot = &DirectorySnapshot{Revision: n.has.Directory}
	}
	return response
}

func (n *node) Changes(ChangesRequest) ChangesResponse    { return ChangesResponse{} }
func (n *node) ApplyChanges(string, ChangesResponse) bool { return false }

func (n *node) Apply(_ Member, response SyncResponse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(response.Settings) > 0 {
		n.taken = append(n.taken, string(response.Settings))
		n.has.Settings = 7
	}
	if response.Snapshot != nil {
		n.has.Directory = response.Snapshot.Revision
	}
}

func (n *node) look(f func() bool) bool {
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
		Clock: time.Now, Random: rand.Float64, CountSent: n.count,
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
			c.Fatalf("never reached: %s", what)
		}
	}
}

func TestHostsFindEachOtherAndShare(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	d := startNode(c, "d", b.gossip.Address())
	for _, n := range []*node{a, b, d} {
		eventually(c, "three hosts", func() bool { return n.gossip.Hosts() == 3 })
	}
	a.mu.Lock()
	a.state = State{Loads: []EndpointLoad{{Endpoint: 5, Requests: 2, Tokens: 9}}, Settings: 7, Directory: 8}
	a.has = SyncRequest{Settings: 7, Directory: 8}
	a.mu.Unlock()
	a.gossip.RequestHeartbeat()
	for _, n := range []*node{b, d} {
		eventually(c, "the load is received", func() bool {
			return n.look(func() bool {
				return n.received["a"] != nil && len(n.received["a"].Loads) == 1 && n.received["a"].Loads[0].Tokens == 9
			})
		})
		eventually(c, "newer revisions are fetched", func() bool {
			return n.look(func() bool { return len(n.taken) > 0 && n.taken[0] == "settings" && n.has.Directory == 8 })
		})
	}
	a.stop()
	a.gossip.Leave()
	eventually(c, "a left", func() bool { return b.gossip.Hosts() == 2 && d.gossip.Hosts() == 2 })
	// The member is dropped before its host is notified, so that is waited for too.
	eventually(c, "b is notified", func() bool { return b.look(func() bool { return slices.Contains(b.lost, "a") }) })
}

func TestReaders(t *testing.T) {
	tests := map[string]struct {
		hosts int
		// failing is how many of the first hosts get no answers.
		failing int
		want    int
	}{
		"fewer than needed: each for itself": {3, 0, 3},
		"a small fleet: a few for all":       {8, 0, freshness.Readers},
		"a large one: a few for all":         {40, 0, freshness.Readers},
		"others take over":                   {40, 2, freshness.Readers + 2},
		"a store that is down for all":       {40, 40, maxReaderRank},
		"a huge one has no more readers":     {380, 0, freshness.Readers},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			names := make([]string, 0, test.hosts)
			for n := range test.hosts {
				names = append(names, fmt.Sprintf("host-%d", n))
			}
			slices.SortFunc(names, func(a, b string) int { return cmp.Compare(Rank(a), Rank(b)) })
			// Each host in its order sees which of those before it read.
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

// TestConfirmations checks that a confirmation reaches all members, and that one who lacks what the sender has
// fetches it without waiting for a heartbeat.
func TestConfirmations(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	eventually(c, "both hosts", func() bool { return a.gossip.Hosts() == 2 && b.gossip.Hosts() == 2 })
	a.look(func() bool {
		a.has = SyncRequest{Settings: 7, Directory: 8}
		a.confirmations = []TopicConfirmation{{Newest: 7, Revision: 9, AsOf: 70_000}, {Newest: 8, Revision: 9, AsOf: 70_001}}
		return true
	})
	a.gossip.RequestConfirmation()
	eventually(c, "b has the confirmation of a", func() bool { return b.look(func() bool { return len(b.confirmed) == 2 }) })
	c.Check(b.look(func() bool { return b.confirmed[1].AsOf == 70_001 }), qt.IsTrue)
	eventually(c, "b has fetched what a has", func() bool {
		return b.look(func() bool { return b.has == SyncRequest{Settings: 7, Directory: 8} })
	})
}

// TestPolls is a host that no heartbeat with the newer revisions has reached.
func TestPolls(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	eventually(c, "both hosts", func() bool { return a.gossip.Hosts() == 2 && b.gossip.Hosts() == 2 })
	a.look(func() bool {
		a.has = SyncRequest{Settings: 7, Directory: 8}
		return true
	})
	b.look(func() bool {
		b.mustAsk = true
		return true
	})
	eventually(c, "b has what a has", func() bool {
		return b.look(func() bool { return b.has == SyncRequest{Settings: 7, Directory: 8} })
	})
}

func TestConfirmationsOfUnknownHostsAreLeftOut(t *testing.T) {
	c := qt.New(t)
	m := NewMembers("self", "")
	_, known := m.ApplyConfirmation(&Confirmation{Incarnation: 1})
	c.Check(known, qt.IsFalse)
	m.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Settings: 3, Directory: 4, Announcement: announcement("a", 1)})
	member, known := m.ApplyConfirmation(&Confirmation{Incarnation: 1, Topics: []TopicConfirmation{{Newest: 5}, {Newest: 2}, {Newest: 99}}})
	c.Check(known, qt.IsTrue)
	c.Check(member.Settings, qt.Equals, uint64(5))
	c.Check(member.Directory, qt.Equals, uint64(4), qt.Commentf("a late one takes nothing back"))
}

// TestConfirmationsOfHostsThatKnowNoEras guards against trust in a host that confirms an era which it has not read.
func TestConfirmationsOfHostsThatKnowNoEras(t *testing.T) {
	c := qt.New(t)
	restored, err := era.Revision(1, 4)
	c.Assert(err, qt.IsNil)
	host := &node{has: SyncRequest{Settings: 3, Directory: 3}}
	g := New(Parts{Config: Config{Name: "a"}, Host: host, Clock: time.Now, Random: func() float64 { return 0.5 }})
	g.members.ApplyHeartbeat(time.Now(), &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("b", 1)})
	topics := []TopicConfirmation{{Newest: 3, Revision: restored}, {Newest: 3, Revision: 5}}
	g.confirmed(&Confirmation{Incarnation: 1, Topics: topics})
	c.Check(host.confirmed, qt.HasLen, 0)
	body, err := cbor.Marshal(topics)
	c.Assert(err, qt.IsNil)
	g.opened(&Envelope{Incarnation: 1, Kind: envelope.KindConfirmation, Body: body})
	c.Check(host.confirmed, qt.DeepEquals, topics)
}

// TestARevisionDoesNotWaitForItsTurn is the sweep at 300 hosts: heartbeats came 2.4 s apart,
// and a change of the configuration was in force after 5 s (CONFIG, DENIED).
func TestARevisionDoesNotWaitForItsTurn(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Parts{
		Config: Config{Name: "a"}, Host: &node{}, Log: logrus.NewEntry(log), Clock: time.Now,
		Random: func() float64 { return 0.5 }, CountSent: func(counters.PeerTraffic, int) {},
	})
	for n := range 300 {
		g.members.ApplyHeartbeat(time.Now(), &Heartbeat{Incarnation: uint32(n + 1), Sequence: 1, Announcement: announcement(fmt.Sprintf("host-%d", n), 1)})
	}
	// Its turn would come in some seconds, and with a change only then.
	g.RequestHeartbeat()
	g.RequestUrgentHeartbeat()
	begun := make(chan bool)
	go func() { begun <- g.waitForNext(make(chan struct{})) }()
	c.Check(<-begun, qt.IsTrue)
	c.Check(g.changed, qt.HasLen, 1, qt.Commentf("the change of loads still waits for its turn"))
}

func TestHeartbeatsOfALargeFleetCarryNoLoads(t *testing.T) {
	for name, hosts := range map[string]int{"small": 100, "large": 300} {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			host := &node{}
			g := New(Parts{
				Config: Config{Name: "a"}, Host: host, Log: logrus.NewEntry(log), Clock: time.Now,
				Random: func() float64 { return 0.5 }, CountSent: func(counters.PeerTraffic, int) {},
			})
			for n := range hosts {
				g.members.ApplyHeartbeat(time.Now(), &Heartbeat{Incarnation: uint32(n + 1), Sequence: 1, Announcement: announcement(fmt.Sprintf("host-%d", n), 1)})
			}
			host.state = State{Settings: 3, Loads: []EndpointLoad{{Endpoint: 1}}}
			sent := g.newHeartbeat(g.parts.Host.State(!g.UsesAggregators()))
			qt.Check(t, len(sent.Loads) > 0, qt.Equals, hosts < fullHeartbeats)
			qt.Check(t, sent.Settings, qt.Equals, uint64(3))
			qt.Check(t, g.nextReport() != nil, qt.Equals, hosts < fullHeartbeats)
		})
	}
}

// TestTheSettingsDoNotWaitForTheDirectory is the sweep at 300 hosts once more: the
// settings were fetched with a directory of 3,000 entries, and behind it (CONFIG).
func TestTheSettingsDoNotWaitForTheDirectory(t *testing.T) {
	c := qt.New(t)
	peer := &node{has: SyncRequest{Settings: 7, Directory: 8}}
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
	g := New(Parts{Config: Config{Name: "a"}, Host: peer, Log: logrus.NewEntry(log), Clock: time.Now, Random: func() float64 { return 0.5 }, CountSent: func(counters.PeerTraffic, int) {}})
	c.Check(g.beginFetch(freshness.Endpoints), qt.IsTrue)
	c.Check(g.beginFetch(freshness.Endpoints), qt.IsFalse)
	c.Check(g.beginFetch(freshness.Settings), qt.IsTrue)
	g.endFetch(freshness.Endpoints)
	c.Check(g.beginFetch(freshness.Endpoints), qt.IsTrue)
}

// TestNewsThatComeWhileAHostFetchesAreNotMissed has a host learn that one peer is ahead while it is about to fetch from another.
func TestNewsThatComeWhileAHostFetchesAreNotMissed(t *testing.T) {
	tests := map[string]struct {
		// had is what the host has once it begins to fetch what the first peer, at 10, has.
		had uint64
	}{
		"what the first peer has has come by itself": {10},
		"the first peer is asked":                    {5},
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
				n.has = SyncRequest{Settings: 1, Directory: revision}
				n.state = State{Settings: 1, Directory: revision}
				n.mu.Unlock()
				n.gossip.RequestHeartbeat()
			}
			var known Member
			eventually(c, "the host knows who is ahead", func() bool {
				member, ok := host.gossip.pick(func(m *Member) bool { return m.Name == "second" && m.Directory == 20 })
				first, okFirst := host.gossip.pick(func(m *Member) bool { return m.Name == "first" && m.Directory == 10 })
				known = first
				return ok && okFirst && member.Directory == 20
			})
			host.gossip.sync(freshness.Endpoints, known, host.Revisions())
			c.Check(host.Revisions().Directory, qt.Equals, uint64(20))
		})
	}
}

// TestOnlyUnknownHostsAreAnnouncedTo is a fleet of 297 hosts: nine tenths of what hosts sent
// each other were announcements, sent to all whenever one host was new.
func TestOnlyUnknownHostsAreAnnouncedTo(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	eventually(c, "both hosts", func() bool { return a.gossip.Hosts() == 2 && b.gossip.Hosts() == 2 })
	sent := b.announcements.Load()
	late := startNode(c, "late", a.gossip.Address())
	for _, n := range []*node{a, b, late} {
		eventually(c, "three hosts", func() bool { return n.gossip.Hosts() == 3 })
	}
	// b introduces itself to the new host: by itself or asked, and at most both.
	c.Check(b.announcements.Load()-sent <= 2, qt.IsTrue, qt.Commentf("%d announcements", b.announcements.Load()-sent))
}

// TestAnUnknownSenderIsAsked is the loss of an announcement: without it, the heartbeats of its
// sender would never count.
func TestAnUnknownSenderIsAsked(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a")
	b := startNode(c, "b", a.gossip.Address())
	eventually(c, "both hosts", func() bool { return a.gossip.Hosts() == 2 && b.gossip.Hosts() == 2 })
	a.gossip.mu.Lock()
	a.gossip.members.drop("b")
	delete(a.gossip.members.contacts, b.gossip.Address())
	a.gossip.mu.Unlock()
	eventually(c, "b is known again", func() bool { return a.gossip.Hosts() == 2 })
}

func TestUnknownSenders(t *testing.T) {
	tests := map[string]struct {
		prepare func(m *Members)
		want    []string
	}{
		"an unknown address": {func(m *Members) { m.AddUnknownSender(start, "x:1") }, []string{"x:1"}},
		"a member's address, with another life": {func(m *Members) {
			m.ApplyHeartbeat(start, &Heartbeat{Incarnation: 1, Sequence: 1, Announcement: announcement("a", 1)})
			m.AddUnknownSender(start, "a:1")
		}, []string{"a:1"}},
		"asked a moment ago": {func(m *Members) {
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
