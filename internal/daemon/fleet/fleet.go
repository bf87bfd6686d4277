// Package fleet connects the hosts of oxbowslipd: it sends each request to the host that schedules
// its shard, moves the requests when that host changes, and schedules the shards assigned to this
// host. oxbowslip-front has no schedulers (package placement).
//
// It owns the links to other hosts and the assignment of shards, which is derived from the
// platform's list of hosts and the state of this host's links (package membership).
package fleet

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/change"
	"oxbowslip.dev/oxbowslip/internal/daemon/dispatch"
	"oxbowslip.dev/oxbowslip/internal/daemon/membership"
	"oxbowslip.dev/oxbowslip/internal/daemon/peer"
	"oxbowslip.dev/oxbowslip/internal/daemon/schedule"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// takeoverHold is how long a host that takes over a shard waits before its first grant. Until the
// other owners have announced their requests, it can't count those already running. The hold covers
// a round trip and the first two back-offs of a link (100 and 200 ms).
const takeoverHold = 600 * time.Millisecond

// hostListInterval is the mean time between two reads of the platform's list of hosts. The list
// lags in any case, and links report a failed host sooner.
const hostListInterval = 2 * time.Second

// repeatInterval is the mean time between two resubmissions of the waiting requests.
const repeatInterval = time.Second

// Config is a host's identity in the fleet and how it reaches its peers.
type Config struct {
	Self membership.Host
	// Listen is the address for links from peers. If it is empty, the host runs alone.
	Listen string
	Key    string
	// FirstPeers are the addresses of peers to ask for settings before the platform's list has been
	// read.
	FirstPeers []string
}

// Fleet is this host's membership in the fleet.
type Fleet struct {
	parts    Parts
	server   *peer.Server
	listener net.Listener
	shards   *shard.Host

	// reassignMu serializes the reassignments of shards.
	reassignMu sync.Mutex

	mu    sync.Mutex
	view  *membership.View
	links map[string]*peer.Link
	// schedulers maps each shard to the host that its requests are sent to.
	schedulers map[string]string
	// configuredShards are the shards named by the settings.
	configuredShards []string
	takeovers        int
	closed           bool
}

// Parts are the dependencies of a Fleet.
type Parts struct {
	Config Config
	// WrapListener returns the listener that replaces the one for peers.
	WrapListener func(net.Listener) net.Listener
	Dispatcher   *dispatch.Dispatcher
	Platform     *tableclient.Client
	Log          *logrus.Entry
	// Options configure this host's schedulers.
	Options schedule.Options
	// Settings returns the settings in force. OnRevision receives a peer's revision of them.
	Settings   func() change.Document
	OnRevision func(revision uint64)
	Clock      func() time.Time
	// Random returns numbers in [0, 1).
	Random func() float64
}

// New returns a fleet that is not listening yet.
func New(parts Parts) *Fleet {
	f := &Fleet{
		parts: parts, view: membership.New(parts.Config.Self), links: make(map[string]*peer.Link), schedulers: make(map[string]string),
	}
	f.shards = shard.New(parts.Clock, parts.Options, f.deliver)
	f.server = peer.NewServer(peer.ServerParts{
		Self: parts.Config.Self.Name, Key: parts.Config.Key, Clock: parts.Clock, Apply: f.shards.Apply, DropOwner: f.shards.DropOwner,
		Settings: parts.Settings, OnRevision: parts.OnRevision,
	})
	parts.Dispatcher.Connect(f)
	return f
}

// maxPeersAsked bounds the peers that a host asks for settings at a time. Without it, an outage of
// the platform would make every host ask all others.
const maxPeersAsked = 3

// FetchSettings asks up to maxPeersAsked random peers for settings newer than a revision. It
// returns the newest document, and whether any peer answered.
func (f *Fleet) FetchSettings(ctx context.Context, newer uint64) (change.Document, bool) {
	var newest change.Document
	answered := false
	for _, address := range f.randomAddresses() {
		document, err := peer.FetchSettings(ctx, f.parts.Config.Self.Name, address, f.parts.Config.Key, newer)
		if err != nil {
			continue // Another peer may answer; the result reports whether any did.
		}
		answered = true
		if document.Revision > newest.Revision {
			newest = document
		}
	}
	return newest, answered
}

func (f *Fleet) randomAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	addresses := append([]string(nil), f.parts.Config.FirstPeers...)
	for _, h := range f.view.Hosts() {
		if h.Name != f.parts.Config.Self.Name {
			addresses = append(addresses, h.Address)
		}
	}
	for i := len(addresses) - 1; i > 0; i-- {
		j := int(f.parts.Random() * float64(i+1))
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:min(maxPeersAsked, len(addresses))]
}

// Shards returns this host's schedulers.
func (f *Fleet) Shards() *shard.Host { return f.shards }

// Start listens for links from peers.
func (f *Fleet) Start() error {
	if f.parts.Config.Listen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", f.parts.Config.Listen)
	if err != nil {
		return merry.Prepend(err, "listen for peers")
	}
	f.listener = listener
	f.server.Serve(f.parts.WrapListener(listener))
	return nil
}

// PeersAddress returns the address on which peers reach the host, or "".
func (f *Fleet) PeersAddress() string {
	if f.listener == nil {
		return ""
	}
	return f.listener.Addr().String()
}

// Run refreshes the list of hosts and resubmits waiting requests until done is closed. While the
// platform is unavailable, the last list stays in use.
func (f *Fleet) Run(done <-chan struct{}) {
	go lifetime.Every(done, repeatInterval, f.parts.Random, func(context.Context) { f.parts.Dispatcher.ResubmitWaiting() })
	lifetime.Every(done, hostListInterval, f.parts.Random, f.refreshHosts)
}

func (f *Fleet) refreshHosts(ctx context.Context) {
	if f.parts.Config.Listen == "" {
		return
	}
	list, err := f.parts.Platform.Hosts(ctx)
	if err != nil {
		return // The client counts the error.
	}
	hosts := make([]membership.Host, 0, len(list))
	for _, h := range list {
		hosts = append(hosts, membership.Host{Name: h.Name, Address: h.Peers, Zone: h.Zone, Leaving: h.State == tableclient.HostLeaving})
	}
	f.mu.Lock()
	f.view.SetList(hosts)
	f.mu.Unlock()
	f.reassign()
}

// SetShards replaces the shards of the settings. Those assigned to this host are taken over before
// their first request, which then need not wait for takeoverHold.
func (f *Fleet) SetShards(shards []string) {
	f.mu.Lock()
	f.configuredShards = shards
	f.assignOwnShards()
	f.mu.Unlock()
}

// assignOwnShards takes over the configured shards that are assigned to this host and have no
// scheduler yet. The lock is held.
func (f *Fleet) assignOwnShards() {
	for _, shardName := range f.configuredShards {
		if _, ok := f.schedulers[shardName]; ok {
			continue
		}
		if host := f.view.Scheduler(shardName); host.Name == f.parts.Config.Self.Name {
			f.assign(shardName, host)
		}
	}
}

// Leave stops scheduling on this host and hands its shards over to other hosts.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.view.MarkLeaving(f.parts.Config.Self.Name)
	f.mu.Unlock()
	f.server.AnnounceLeaving()
	f.reassign()
}

// Close closes all links and schedulers.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	links := f.links
	f.links = make(map[string]*peer.Link)
	f.mu.Unlock()
	for _, link := range links {
		link.Close()
	}
	if f.listener != nil {
		f.server.Close()
	}
	f.shards.Close()
}

// Takeovers returns the number of shards that this host took over from another.
func (f *Fleet) Takeovers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.takeovers
}

// Schedulers returns the host that each known shard's requests are sent to.
func (f *Fleet) Schedulers() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.schedulers)
}

// Scheduler returns the host that a shard's requests are sent to, and assigns one if the shard is
// not known yet.
func (f *Fleet) Scheduler(shardName string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if host, ok := f.schedulers[shardName]; ok {
		return host
	}
	host := f.view.Scheduler(shardName)
	f.assign(shardName, host)
	return host.Name
}

// Send passes a message to the scheduler on a host. It is dropped if there is no link to the host.
func (f *Fleet) Send(host, shardName string, m *shard.Message) {
	if host == f.parts.Config.Self.Name {
		f.shards.Apply(shardName, m)
		return
	}
	f.mu.Lock()
	link := f.links[host]
	f.mu.Unlock()
	if link != nil {
		link.Send(shardName, m)
	}
}

// deliver passes a scheduler's decision to the owner of the request.
func (f *Fleet) deliver(shardName string, d admission.Decision) {
	if d.Owner == f.parts.Config.Self.Name || d.Owner == "" {
		f.parts.Dispatcher.Deliver(f.parts.Config.Self.Name, shardName, d)
		return
	}
	f.server.Deliver(shardName, d)
}

// assign records a shard's scheduler, and opens a link to it or prepares this host to schedule the
// shard. The lock is held.
func (f *Fleet) assign(shardName string, host membership.Host) {
	before, known := f.schedulers[shardName]
	f.schedulers[shardName] = host.Name
	if host.Name != f.parts.Config.Self.Name {
		f.openLink(host)
		return
	}
	if known && before != host.Name {
		f.takeovers++
		f.parts.Log.WithField("shard", shardName).Info("shard taken over from another host")
	}
	if f.view.NumOthers() > 0 {
		f.shards.Hold(shardName, takeoverHold)
	}
}

// reassign moves the shards whose scheduler has changed, with their requests, and closes links that
// are no longer needed.
func (f *Fleet) reassign() {
	f.reassignMu.Lock()
	defer f.reassignMu.Unlock()
	f.mu.Lock()
	var moved []string
	for shardName, before := range f.schedulers {
		host := f.view.Scheduler(shardName)
		if host.Name != before {
			f.assign(shardName, host)
			moved = append(moved, shardName)
		}
	}
	f.assignOwnShards()
	idle := f.idleLinks()
	f.mu.Unlock()
	for _, shardName := range moved {
		f.parts.Dispatcher.MoveShard(shardName)
	}
	for _, link := range idle {
		// Close waits for the link's goroutine, which may be the caller.
		go link.Close()
	}
}
