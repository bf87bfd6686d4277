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

	"oxbowslip.dev/oxbowslip/internal/counters"
)

const (
	// restInterval is the mean time between beats while nothing changes.
	restInterval = time.Second
	// pacePerMember spaces the beats that tell of changes: a host that has many
	// peers beats less often, so that what it sends does not grow with their number.
	pacePerMember = 8 * time.Millisecond
	shortestPace  = 80 * time.Millisecond
	// silence is how long a member may say nothing, silencePerMember the least for
	// each member of a fleet so large that its hosts beat rarely.
	silence          = 3500 * time.Millisecond
	silencePerMember = 30 * time.Millisecond
	// fullBeats is the number of hosts up to which beats tell of loads and reads. In
	// a larger fleet they would cost more than they are worth: each host has little
	// of the load of an endpoint, and the homes of prefixes need no word.
	fullBeats = 120
	// An introduction hands on addresses: many to a host that knows less than half as
	// many hosts, some to one that knows fewer, and a few to others.
	manyKnown = 64
	someKnown = 16
	fewKnown  = 4
	// askInterval is the mean time between two questions to some member for hosts that
	// this one does not know.
	askInterval = 3 * time.Second
	// catchUpGrace is how long a newer revision may take to come from the store
	// before a peer is asked.
	catchUpGrace = 200 * time.Millisecond
	fetchTimeout = 3 * time.Second
	maxDatagram  = 16 << 10
)

// State is this host's part of its beats.
type State struct {
	Settings  uint64
	Directory uint64
	Loads     []EndpointLoad
	Pauses    []EndpointPause
	Reads     []PrefixRead
	Reading   bool
	Delta     *DirectoryDelta
	Patch     *SettingsPatch
	Streams   []StreamCount
}

// Host is what gossip speaks for.
type Host interface {
	// State gives what the next beat tells.
	State() State
	// Revisions gives the revisions up to which this host knows all.
	Revisions() Want
	// Hear takes what a peer tells of its work.
	Hear(peer string, beat *Beat)
	// Lost says that a peer left or fell silent.
	Lost(peer string)
	// Newer gives what is newer than a peer's revisions.
	Newer(want Want) News
	// Take puts a peer's news in force.
	Take(peer string, news News)
}

// Config says who a host is among its peers.
type Config struct {
	Name string
	Zone string
	// Address is where peers reach the host, by TCP and UDP.
	Address    string
	FirstPeers []string
}

// Gossip is one host's part.
type Gossip struct {
	config Config
	host   Host
	log    *logrus.Entry
	clock  func() time.Time
	random func() float64
	// sent counts what goes to peers.
	sent  func(kind counters.PeerTraffic, bytes int)
	start int64
	life  uint32

	// registered says that this host's address is in the registry.
	registered atomic.Bool

	packets  net.PacketConn
	listener net.Listener
	changed  chan struct{}
	urgent   chan struct{}
	cancel   context.CancelFunc

	mu       sync.Mutex
	members  *Members
	sequence uint64
	// told is what the last beat said of this host, without its work.
	told State
	// askAt is when some member is asked next.
	askAt   time.Time
	leaving bool
	// catching says which topics are being fetched.
	catching [topics]bool
}

// New makes a host's part that does not listen yet.
func New(config Config, host Host, log *logrus.Entry, clock func() time.Time, random func() float64,
	sent func(kind counters.PeerTraffic, bytes int),
) *Gossip {
	g := &Gossip{
		config: config, host: host, log: log, clock: clock, random: random, sent: sent, start: clock().UnixNano(),
		life:    uint32(random() * math.MaxUint32),
		changed: make(chan struct{}, 1), urgent: make(chan struct{}, 1), members: NewMembers(config.Name),
	}
	g.Contact(config.FirstPeers)
	return g
}

// Contact notes addresses where peers may be.
func (g *Gossip) Contact(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range addresses {
		if address != g.config.Address {
			g.members.Contact(g.clock(), address)
		}
	}
}

// Hosts counts the live hosts, this one included.
func (g *Gossip) Hosts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Count() + 1
}

// ShouldRead reports whether this host is one of those that read the store for all.
func (g *Gossip) ShouldRead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.ShouldRead()
}

// Registered reports whether this host's address is in the registry.
func (g *Gossip) Registered() bool { return g.registered.Load() }

// Changed says that the host's state is worth a beat. It does not block.
func (g *Gossip) Changed() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// ChangedRevision says that this host has read a newer revision from the store. The
// next beat does not wait for its turn. It does not block.
func (g *Gossip) ChangedRevision() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// Start listens for peers.
func (g *Gossip) Start() error {
	listener, err := net.Listen("tcp", g.config.Address)
	if err != nil {
		return merry.Prependf(err, "listen for peers on %s", g.config.Address)
	}
	g.config.Address = listener.Addr().String()
	packets, err := net.ListenPacket("udp", g.config.Address)
	if err != nil {
		listener.Close()
		return merry.Prependf(err, "listen for beats on %s", g.config.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.listener, g.packets, g.cancel = listener, packets, cancel
	// It ends when ctx is cancelled; its error says just that.
	go func() { _ = drpcserver.New(newNewsHandler(g.host, g.sent)).Serve(ctx, listener) }()
	go g.receive()
	return nil
}

// Address is where peers reach the host.
func (g *Gossip) Address() string { return g.config.Address }

// Run sends beats until done is closed.
func (g *Gossip) Run(done <-chan struct{}) {
	for {
		g.beat()
		if !g.rest(done) {
			return
		}
		g.expire()
	}
}

// rest waits until the next beat is due, and reports false if done was closed.
func (g *Gossip) rest(done <-chan struct{}) bool {
	pace := time.NewTimer(max(time.Duration(g.Hosts())*pacePerMember, shortestPace))
	defer pace.Stop()
	select {
	case <-pace.C:
	case <-g.urgent:
		return true
	case <-done:
		return false
	}
	idle := time.NewTimer(time.Duration((0.75 + 0.5*g.random()) * float64(restInterval)))
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
	limit := max(silence, time.Duration(g.members.Count())*silencePerMember)
	gone := g.members.Expire(g.clock(), limit)
	hosts := g.members.Count() + 1
	g.mu.Unlock()
	for _, name := range gone {
		g.host.Lost(name)
		g.log.WithFields(logrus.Fields{"peer": name, "hosts": hosts, "silent_ms": limit.Milliseconds()}).Warn("peer lost")
	}
}

// Leave tells all members that this host leaves.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.leaving = true
	beat := g.newBeat(State{})
	members := g.addresses()
	g.mu.Unlock()
	g.send(beat, members)
}

// Close ends all links.
func (g *Gossip) Close() {
	if g.cancel == nil {
		return
	}
	g.cancel()
	g.packets.Close()
	g.listener.Close()
}
