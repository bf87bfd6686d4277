// Package gossip exchanges state between the hosts of oxbowslip-front: the live hosts, the work that each host has
// in flight at endpoints, ejected endpoints, and the newest revisions of the settings and of the directory.
//
// It owns the member list, the UDP socket for heartbeats and the TCP listener for syncs. Heartbeats are small
// datagrams; a host that lacks a newer revision fetches it from a peer that reported it (fetch.go, sync.go). The
// contents of a heartbeat and their handling are up to Host. There is no consensus: every host decides alone from the
// state that it last received. oxbowslipd instead forwards requests to the host that schedules a shard (package
// daemon/peer).
package gossip

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcserver"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/announce"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// State is the content of this host's next heartbeat.
type State struct {
	Settings   uint64
	Directory  uint64
	Loads      []EndpointLoad
	Ejections  []Ejection
	Holders    []Holder
	ReadsStore bool
	Delta      *DirectoryDelta
	Patch      *SettingsPatch
	// Changes are the changes of the directory since the last heartbeat, instead of Delta in a large fleet.
	Changes []*ChangesResponse
}

// Host provides the state that Gossip sends, and handles the messages that Gossip receives. Its methods may be called
// concurrently and must not block.
type Host interface {
	// State returns the content of the next heartbeat. It includes loads and holders if direct is set, as in a fleet
	// without aggregators.
	State(direct bool) State
	// IsBusy reports whether so many endpoints have work that their loads have to be known soon.
	IsBusy() bool
	// Work returns this host's work for its aggregators.
	Work() Work
	// HandleContribution handles the work of a host of this zone, which may be this host.
	HandleContribution(host string, contribution *Contribution)
	// Sums returns the parts of the sum over this zone and the parts of the sum over all hosts.
	Sums() ([]ZoneSum, []FleetSum)
	// HandleZoneSum handles a peer's sum over its cell, a part of its zone or the whole. IsOwn is set if this host is in
	// the same cell.
	HandleZoneSum(peer, cell string, isOwn bool, sum *ZoneSum)
	// HandleFleetSum handles a sum over all hosts, made by a peer or by this host. Counted is the work of this host
	// that the sum includes, or nil.
	HandleFleetSum(sum *FleetSum, counted *Work)
	// Revisions returns the revisions up to which this host has all changes.
	Revisions() SyncRequest
	// HandleHeartbeat handles a peer's heartbeat without an announcement.
	HandleHeartbeat(peer string, heartbeat *Heartbeat)
	// EngineReports returns the content of the next report.
	EngineReports() []EngineReport
	// HandleReport handles a peer's report.
	HandleReport(peer string, engines []EngineReport)
	// Confirmations returns the confirmations that this host can send, by topic.
	Confirmations() []TopicConfirmation
	// HandleConfirmations handles a peer's confirmations.
	HandleConfirmations(topics []TopicConfirmation)
	// MustAsk reports whether this host has to poll peers for a topic because its state has not been confirmed for too
	// long. Before is the number of live hosts with a lower rank.
	MustAsk(topic freshness.Topic, before int) bool
	// HandlePeerLoss is called when a peer has left or timed out.
	HandlePeerLoss(peer string)
	// Respond returns the settings and the directory if they are newer than a peer's revisions.
	Respond(request SyncRequest) SyncResponse
	// Changes returns the changes of the directory after a peer's revision. ApplyChanges applies a peer's changes; it
	// reports false if it can't, such as for lack of an entry that they change, and a snapshot has to be fetched.
	Changes(request ChangesRequest) ChangesResponse
	ApplyChanges(peer string, response ChangesResponse) bool
	// Apply applies a peer's response. Peer is the member's state from before the call.
	Apply(peer Member, response SyncResponse)
}

// Config identifies this host to its peers.
type Config struct {
	Name string
	Zone string
	// Address is the TCP and UDP address at which peers reach this host. Port 0 picks a free port.
	Address string
	// FirstPeers are the addresses of the hosts to contact first; they may be stale.
	FirstPeers []string
	// Fleet identifies the fleet; it is equal at all hosts of a fleet.
	Fleet uint64
	// LinkMbit is the bandwidth of this host's link in Mbit/s, or 0 if it is unknown. Hosts with faster links are
	// preferred for tasks that carry more messages.
	LinkMbit uint32
}

// Parts are the dependencies of a Gossip.
type Parts struct {
	Config  Config
	Host    Host
	Network Network
	Log     *logrus.Entry
	Clock   func() time.Time
	// Random returns a random number in [0, 1).
	Random func() float64
	// CountSent counts the bytes that are sent to peers.
	CountSent func(kind counters.PeerTraffic, bytes int)
	// CountRefused counts messages of peers that are refused.
	CountRefused func(reason counters.RefusedPeerMessage)
}

// Gossip exchanges state with peers. Its methods are safe for concurrent use.
type Gossip struct {
	parts Parts
	// address is the address at which peers reach this host: that of the configuration, with the port picked by Start.
	address string
	// started is when this host started, startNanos the same in Unix nanoseconds, as sent in announcements.
	started     time.Time
	startNanos  int64
	incarnation uint32

	// joinedAt is when the last peer joined, or when this host started if no peer has joined.
	joinedAt time.Time
	// hasMetPeer is set once a peer has joined.
	hasMetPeer bool

	// startDraw is a random number in [0, 1) that is drawn at the start, see MustReadFirst. announcedHosts is the largest
	// number of hosts that a peer has announced.
	startDraw      float64
	announcedHosts int

	registration registration

	// handlers, streams and onJoin do not change after Start.
	handlers map[envelope.Kind]envelope.Handler
	streams  map[string]StreamHandler
	onJoin   func(envelope.Sender)
	packets  net.PacketConn
	listener net.Listener
	// These wake Run; see RequestHeartbeat, RequestUrgentHeartbeat and RequestConfirmation.
	heartbeatWanted    chan struct{}
	urgentWanted       chan struct{}
	confirmationWanted chan struct{}
	cancel             context.CancelFunc

	mu         sync.Mutex
	members    *Members
	membership membership
	relays     relayState
	sequence   uint64
	// envelopes counts the envelopes sent.
	envelopes uint64
	// lastState is the state in the last heartbeat, without its lists.
	lastState State
	// nextQueryAt is when a member is asked next for hosts that this host does not know.
	nextQueryAt time.Time
	// nextReportAt is when the next report is due; reports counts the reports sent.
	nextReportAt time.Time
	reports      uint64
	leaving      bool
	// fetching is set for the topics that are being fetched.
	fetching [freshness.NumTopics]bool
	sharing  workSharing
	// pushed identifies the updates that were last sent to all hosts of a large fleet.
	pushed pushedUpdates
	// stats counts what this host exchanges with peers.
	stats stats
	// refusedLoggedAt is when a refused message was last logged.
	refusedLoggedAt time.Time
}

// New returns a Gossip that does not listen yet.
func New(parts Parts) *Gossip {
	now := parts.Clock()
	g := &Gossip{
		parts: parts, address: parts.Config.Address, started: now, joinedAt: now, startNanos: now.UnixNano(),
		incarnation:     uint32(parts.Random() * math.MaxUint32),
		startDraw:       parts.Random(),
		heartbeatWanted: make(chan struct{}, 1), urgentWanted: make(chan struct{}, 1), confirmationWanted: make(chan struct{}, 1),
		members: NewMembers(parts.Config.Name, parts.Config.Zone), handlers: make(map[envelope.Kind]envelope.Handler), streams: make(map[string]StreamHandler), onJoin: func(envelope.Sender) {},
	}
	g.membership = membership{
		records: announce.New[Record](0), lost: announce.New[LostRecord](lostRepeats), wanted: make(chan struct{}, 1),
	}
	g.members.SetOwn(g.address, g.incarnation, g.startNanos, parts.Config.LinkMbit)
	g.Handle(envelope.KindConfirmation, g.handleRestoredConfirmation)
	g.Handle(envelope.KindChanges, g.handleChanges)
	g.Handle(envelope.KindFleetSize, g.handleFleetSize)
	g.streams[rpcMembers] = g.answerMembers
	g.AddContacts(parts.Config.FirstPeers)
	return g
}

// AddContacts adds addresses at which peers may listen.
func (g *Gossip) AddContacts(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range addresses {
		g.members.AddContact(g.parts.Clock(), address)
	}
}

// Hosts returns the number of live hosts, this one included.
func (g *Gossip) Hosts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Count() + 1
}

// IsSettled reports whether this host can rely on its member list: no peer has joined for joinQuietTime, or the host
// has run for maxSettleTime.
func (g *Gossip) IsSettled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	return now.Sub(g.joinedAt) >= joinQuietTime || now.Sub(g.started) >= maxSettleTime
}

// KnowsFleet reports whether this host can tell how many hosts there are: it is settled and has met a peer since its start,
// or knows of none that it could meet.
func (g *Gossip) KnowsFleet() bool {
	if !g.IsSettled() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasMetPeer || !g.members.HasContacts()
}

// MustReadStore reports whether this host has to read the store for its peers: it is settled, and its place in the
// order makes it a reader. A host that would take over from other readers first waits for maxSettleTime, by when it has
// received their heartbeats.
func (g *Gossip) MustReadStore() bool {
	if !g.IsSettled() {
		return false
	}
	order := g.Order()
	return order.IsReader() && (order.Before < freshness.Readers || g.parts.Clock().Sub(g.started) >= maxSettleTime)
}

// MustReadFirst reports whether this host, which has started without settings or endpoints, reads the store before it
// knows its place in the order of hosts. If all hosts of a fleet start together, the first maxReaders and freshness.Readers
// x ln(hosts / maxReaders) of the further ones are expected to: the more hosts a host finds, the less likely it reads the
// store. The others get the state from these.
func (g *Gossip) MustReadFirst() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	hosts := max(g.members.Count()+1, g.announcedHosts)
	if hosts == 1 {
		wait := time.Duration(g.startDraw * float64(firstPeersWait))
		return len(g.parts.Config.FirstPeers) == 0 || g.parts.Clock().Sub(g.started) >= wait
	}
	return hosts <= maxReaders || g.startDraw*float64(hosts) < freshness.Readers
}

// StorePatience returns how much longer a host waits for confirmations before it asks the store than before it asks
// peers. After a start of a large fleet its readers confirm nothing until they have settled.
func (g *Gossip) StorePatience() time.Duration {
	switch {
	case !g.UsesAggregators():
		return 0
	case g.parts.Clock().Sub(g.started) < maxSettleTime+largeFleetStorePatience:
		return maxSettleTime
	}
	return largeFleetStorePatience
}

// Order returns this host's place in the order of the live hosts.
func (g *Gossip) Order() Order {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Order()
}

// RequestHeartbeat requests a heartbeat as soon as the pace allows. It does not block.
func (g *Gossip) RequestHeartbeat() {
	lifetime.Wake(g.heartbeatWanted)
}

// RequestUrgentHeartbeat requests a heartbeat without waiting for the pace, as this host has read a newer revision
// from the store. It does not block.
func (g *Gossip) RequestUrgentHeartbeat() {
	lifetime.Wake(g.urgentWanted)
}

// Start listens for peers.
func (g *Gossip) Start() error {
	listener, err := g.parts.Network.Listen(g.address)
	if err != nil {
		return merry.Prependf(err, "listen for peers on %s", g.address)
	}
	g.address = listener.Addr().String()
	g.members.SetOwn(g.address, g.incarnation, g.startNanos, g.parts.Config.LinkMbit)
	packets, err := g.parts.Network.ListenPacket(g.address)
	if err != nil {
		listener.Close()
		return merry.Prependf(err, "listen for heartbeats on %s", g.address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.listener, g.packets, g.cancel = listener, packets, cancel
	calls := drpcserver.New(newCallHandler(g.parts.Host, g.streams, g.parts.CountSent))
	go intake.Serve(ctx, listener, func(ctx context.Context, conn net.Conn) {
		// The error is that of the peer or of its connection, and the peer has it as well.
		_ = calls.ServeOne(ctx, conn)
	})
	go g.receive()
	return nil
}

// stats are counts since the start of a host.
type stats struct {
	datagramsSent, datagramsReceived, lostMembers atomic.Int64
}

// Stats describes what a host exchanges with its peers.
type Stats struct {
	// DatagramsSent, DatagramsReceived and LostMembers are counts since the start.
	DatagramsSent, DatagramsReceived, LostMembers int64
	// Served is the number of hosts whose work this host adds up and to which it sends the sums.
	Served int
}

// Stats returns what this host exchanges with its peers.
func (g *Gossip) Stats() Stats {
	receivers, _ := g.sumTargets(false)
	return Stats{
		DatagramsSent: g.stats.datagramsSent.Load(), DatagramsReceived: g.stats.datagramsReceived.Load(),
		LostMembers: g.stats.lostMembers.Load(), Served: len(receivers),
	}
}

// Address returns the address at which peers reach this host.
func (g *Gossip) Address() string { return g.address }

// Run sends heartbeats, confirmations and shared work, and polls members for stale topics, until done is closed.
func (g *Gossip) Run(done <-chan struct{}) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { g.sendConfirmations(done) })
	loops.Go(func() { g.pollWhenStale(done) })
	loops.Go(func() { g.shareWork(done) })
	loops.Go(func() { g.maintainMembers(done) })
	for {
		g.broadcastHeartbeat()
		if !g.waitForNext(done) {
			return
		}
		g.expireMembers()
	}
}

// heartbeatPace returns the minimum time between two heartbeats. In a large fleet few hosts get each heartbeat.
func (g *Gossip) heartbeatPace() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members.IsLarge() {
		return pace(len(g.legacyAddresses()) + watchers)
	}
	return pace(g.members.Count() + 1)
}

// waitForNext waits until the next heartbeat is due. It reports false if done was closed.
func (g *Gossip) waitForNext(done <-chan struct{}) bool {
	next := time.NewTimer(g.heartbeatPace())
	defer next.Stop()
	select {
	case <-next.C:
	case <-g.urgentWanted:
		return true
	case <-done:
		return false
	}
	interval := idleInterval
	g.mu.Lock()
	if g.isAlone() {
		interval = aloneInterval
	}
	g.mu.Unlock()
	idle := time.NewTimer(backoff.Spread(interval, idleSpread, g.parts.Random()))
	defer idle.Stop()
	select {
	case <-g.heartbeatWanted:
	case <-g.urgentWanted:
	case <-idle.C:
	case <-done:
		return false
	}
	return true
}

// isAlone reports whether this host has just started and found no peer: its first peers may start just then as well. The
// lock is held.
func (g *Gossip) isAlone() bool {
	return g.members.Count() == 0 && g.parts.Clock().Sub(g.started) < maxSettleTime
}

// expireMembers drops the members that have timed out.
func (g *Gossip) expireMembers() {
	g.mu.Lock()
	limit := memberTimeout(g.members.Count())
	lost := g.members.Expire(g.parts.Clock(), limit)
	hosts := g.members.Count() + 1
	g.mu.Unlock()
	g.stats.lostMembers.Add(int64(len(lost)))
	for _, name := range lost {
		g.parts.Host.HandlePeerLoss(name)
		g.parts.Log.WithFields(logrus.Fields{"peer": name, "hosts": hosts, "silent_ms": limit.Milliseconds()}).Warn("peer lost")
	}
}

// Leave notifies all members that this host leaves. No heartbeats are sent afterwards.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.leaving = true
	heartbeat := g.newHeartbeat(State{})
	g.mu.Unlock()
	g.broadcast(counters.PeerHeartbeats, heartbeat, urgentCopies)
}

// Close closes the listener and the socket.
func (g *Gossip) Close() {
	if g.cancel == nil {
		return
	}
	g.cancel()
	g.packets.Close()
	g.listener.Close()
}
