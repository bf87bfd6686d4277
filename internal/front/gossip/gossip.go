// Package gossip lets the hosts of oxbowslip-front share what each knows: which
// hosts are there, the work that each has in flight at the endpoints, endpoints that failed,
// and the newest revisions of the settings and of the directory.
//
// It owns the list of members, the UDP socket for heartbeats and the TCP listener for syncs.
// Heartbeats are small datagrams; a host that lacks a newer revision asks the peer that
// reported it (sync.go). What a heartbeat carries and what is done with it is up to Host.
// Nothing is agreed on: every host decides alone from what it last received. oxbowslipd
// instead sends requests to the host that schedules a shard (package daemon/peer).
package gossip

import (
	"context"
	"math"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcserver"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// State is what this host's next heartbeat carries.
type State struct {
	Settings   uint64
	Directory  uint64
	Loads      []EndpointLoad
	Ejections  []Ejection
	Holders    []Holder
	ReadsStore bool
	Delta      *DirectoryDelta
	Patch      *SettingsPatch
}

// Host is the host that gossip exchanges messages for. Its methods may be called concurrently
// and must not block.
type Host interface {
	// State returns what the next heartbeat carries. Direct is set if that includes loads and holders, as in
	// a fleet without aggregators.
	State(direct bool) State
	// Work returns this host's work for its aggregators.
	Work() Work
	// HandleContribution handles the work of a host of this host's zone, or its own.
	HandleContribution(host string, contribution *Contribution)
	// Sums returns the parts of the sum over this host's zone, and those of the sum over all hosts.
	Sums() ([]ZoneSum, []FleetSum)
	// HandleZoneSum handles a sum over a zone that a peer sent.
	HandleZoneSum(peer, zone string, sum *ZoneSum)
	// HandleFleetSum handles a sum over all hosts that a peer or this host made. Counted is the work of this host
	// that the sum counts, or nil.
	HandleFleetSum(sum *FleetSum, counted *Work)
	// Revisions returns the revisions up to which this host knows all changes.
	Revisions() SyncRequest
	// HandleHeartbeat handles a peer's heartbeat that has no announcement.
	HandleHeartbeat(peer string, heartbeat *Heartbeat)
	// EngineReports returns what the next report carries.
	EngineReports() []EngineReport
	// HandleReport handles a peer's report.
	HandleReport(peer string, engines []EngineReport)
	// Confirmations returns what this host can confirm to others.
	Confirmations() []TopicConfirmation
	// HandleConfirmations handles a peer's confirmations.
	HandleConfirmations(topics []TopicConfirmation)
	// MustAsk reports whether a host with a number of hosts before it has to ask others about a topic,
	// because nobody has confirmed for too long what this host knows.
	MustAsk(topic freshness.Topic, before int) bool
	// HandlePeerLoss is called when a peer left or fell silent.
	HandlePeerLoss(peer string)
	// Respond returns what is newer than a peer's revisions.
	Respond(request SyncRequest) SyncResponse
	// Changes returns what has changed in the directory after a peer's revision, ApplyChanges puts a peer's in force. It
	// reports false if this host lacks what they change.
	Changes(request ChangesRequest) ChangesResponse
	ApplyChanges(peer string, response ChangesResponse) bool
	// Apply puts the response of a peer in force, as it was known before.
	Apply(peer Member, response SyncResponse)
}

// Config is who this host is among its peers.
type Config struct {
	Name string
	Zone string
	// Address is where peers reach this host, by TCP and UDP. Port 0 picks a free one.
	Address string
	// FirstPeers are addresses of hosts to contact first; they may be stale.
	FirstPeers []string
	// Fleet is the same at all hosts of a fleet, and another one at those of other fleets.
	Fleet uint64
}

// Parts are what a Gossip works with.
type Parts struct {
	Config  Config
	Host    Host
	Network Network
	Log     *logrus.Entry
	Clock   func() time.Time
	// Random returns numbers from 0 up to 1.
	Random func() float64
	// CountSent counts the bytes that go to peers.
	CountSent func(kind counters.PeerTraffic, bytes int)
}

// Gossip is this host's part in the exchange. Its methods are safe for concurrent use.
type Gossip struct {
	parts Parts
	// address is where peers reach this host: that of the configuration, with the port that was
	// picked.
	address string
	// started is when this host started, start the same in ns since 1970, which peers are told.
	started     time.Time
	start       int64
	incarnation uint32

	// joinedAt is when the last peer joined, or this host started.
	joinedAt time.Time

	registration registration

	// handlers and joined are not changed once this host listens.
	handlers map[envelope.Kind]envelope.Handler
	joined   func(envelope.Sender)
	packets  net.PacketConn
	listener net.Listener
	// changed, urgent and confirm wake Run; see Changed, RequestUrgentHeartbeat and Confirm.
	changed chan struct{}
	urgent  chan struct{}
	confirm chan struct{}
	cancel  context.CancelFunc

	mu       sync.Mutex
	members  *Members
	sequence uint64
	// envelopes counts those that were sent.
	envelopes uint64
	// last is what the last heartbeat carried, without its lists.
	last State
	// askAt is when some member is asked next for hosts that this one does not know.
	askAt time.Time
	// reportAt is when the next report is due, reports counts them.
	reportAt time.Time
	reports  uint64
	leaving  bool
	// fetching is which topics are being fetched.
	fetching [freshness.NumTopics]bool
	shares   shares
}

// New returns a host's part that does not listen yet.
func New(parts Parts) *Gossip {
	now := parts.Clock()
	g := &Gossip{
		parts: parts, address: parts.Config.Address, started: now, joinedAt: now, start: now.UnixNano(),
		incarnation: uint32(parts.Random() * math.MaxUint32),
		changed:     make(chan struct{}, 1), urgent: make(chan struct{}, 1), confirm: make(chan struct{}, 1),
		members: NewMembers(parts.Config.Name, parts.Config.Zone), handlers: make(map[envelope.Kind]envelope.Handler), joined: func(envelope.Sender) {},
	}
	g.members.address = g.address
	g.Handle(envelope.KindConfirmation, g.confirmedInEra)
	g.AddContacts(parts.Config.FirstPeers)
	return g
}

// AddContacts adds addresses where peers may be.
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

// IsSettled reports whether this host knows its peers: it has run for a while, and either no more have joined
// lately or that has taken too long.
func (g *Gossip) IsSettled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	return now.Sub(g.joinedAt) >= joinTime || now.Sub(g.started) >= maxSettleTime
}

// MustReadStore reports whether this host is to read the store for all: its place among its peers says so, and it knows
// that place. One that would only take over from others waits until it has run for long enough to know whether they
// read.
func (g *Gossip) MustReadStore() bool {
	if !g.IsSettled() {
		return false
	}
	order := g.Order()
	return order.IsReader() && (order.Before < freshness.Readers || g.parts.Clock().Sub(g.started) >= maxSettleTime)
}

// Order returns this host's place where not all hosts are to do the same.
func (g *Gossip) Order() Order {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Order()
}

// RequestHeartbeat asks for a heartbeat as soon as the pace allows. It does not block.
func (g *Gossip) RequestHeartbeat() {
	lifetime.Wake(g.changed)
}

// RequestUrgentHeartbeat asks for a heartbeat at once: this host has read a newer revision from the
// store. It does not block.
func (g *Gossip) RequestUrgentHeartbeat() {
	lifetime.Wake(g.urgent)
}

// Start listens for peers.
func (g *Gossip) Start() error {
	listener, err := g.parts.Network.Listen(g.address)
	if err != nil {
		return merry.Prependf(err, "listen for peers on %s", g.address)
	}
	g.address = listener.Addr().String()
	g.members.address = g.address
	packets, err := g.parts.Network.ListenPacket(g.address)
	if err != nil {
		listener.Close()
		return merry.Prependf(err, "listen for heartbeats on %s", g.address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.listener, g.packets, g.cancel = listener, packets, cancel
	// Serve ends when ctx is cancelled, and its error says only that.
	go func() { _ = drpcserver.New(newSyncHandler(g.parts.Host, g.parts.CountSent)).Serve(ctx, listener) }()
	go g.receive()
	return nil
}

// Address returns where peers reach this host.
func (g *Gossip) Address() string { return g.address }

// Run sends heartbeats and confirmations, and polls members where it must, until done is closed.
func (g *Gossip) Run(done <-chan struct{}) {
	var others sync.WaitGroup
	defer others.Wait()
	others.Go(func() { g.sendConfirmations(done) })
	others.Go(func() { g.pollWhenOld(done) })
	others.Go(func() { g.share(done) })
	for {
		g.heartbeat()
		if !g.waitForNext(done) {
			return
		}
		g.expire()
	}
}

// waitForNext waits until the next heartbeat is due, and reports false if done was closed.
func (g *Gossip) waitForNext(done <-chan struct{}) bool {
	next := time.NewTimer(pace(g.Hosts()))
	defer next.Stop()
	select {
	case <-next.C:
	case <-g.urgent:
		return true
	case <-done:
		return false
	}
	idle := time.NewTimer(backoff.Spread(idleInterval, idleSpread, g.parts.Random()))
	defer idle.Stop()
	select {
	case <-g.changed:
	case <-g.urgent:
	case <-idle.C:
	case <-done:
		return false
	}
	return true
}

// expire drops silent members.
func (g *Gossip) expire() {
	g.mu.Lock()
	limit := silenceAllowed(g.members.Count())
	lost := g.members.Expire(g.parts.Clock(), limit)
	hosts := g.members.Count() + 1
	g.mu.Unlock()
	for _, name := range lost {
		g.parts.Host.HandlePeerLoss(name)
		g.parts.Log.WithFields(logrus.Fields{"peer": name, "hosts": hosts, "silent_ms": limit.Milliseconds()}).Warn("peer lost")
	}
}

// Leave informs all members that this host leaves. No heartbeat follows.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.leaving = true
	heartbeat := g.newHeartbeat(State{})
	members := g.addresses()
	g.mu.Unlock()
	g.send(heartbeat, members)
}

// Close ends the exchange.
func (g *Gossip) Close() {
	if g.cancel == nil {
		return
	}
	g.cancel()
	g.packets.Close()
	g.listener.Close()
}
