// Package fleet joins the hosts of oxbowslipd into one: it sends each request to the host that
// schedules its shard, moves the requests when that changes, and schedules the shards that fall to
// this host. oxbowslip-front has no schedulers (package placement).
//
// It owns the links to other hosts and the assignment of shards, which follows from the platform's
// list of hosts and what this host sees of them (package membership).
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

// takeoverHold is how long a host that takes over a shard waits for the other owners before it grants: until then it
// does not know what they have running. A round trip and the first back-offs of a link (100 and 200 ms) fit in it.
const takeoverHold = 600 * time.Millisecond

// listInterval is the mean time between two reads of the platform's list. The list lags by itself, and links report a
// dead host sooner.
const listInterval = 2 * time.Second

// repeatInterval is the mean time between two repeats of what waits.
const repeatInterval = time.Second

// Config is who a host is among its peers.
type Config struct {
	Self membership.Host
	// Listen is where peers connect; empty means that the host is alone.
	Listen string
	Key    string
	// FirstPeers are addresses to ask before the platform's list is known.
	FirstPeers []string
}

// Fleet is one host's part in the fleet.
type Fleet struct {
	parts    Parts
	server   *peer.Server
	listener net.Listener
	shards   *shard.Host

	// moving keeps two moves of shards apart.
	moving sync.Mutex

	mu    sync.Mutex
	view  *membership.View
	links map[string]*peer.Link
	// schedulers is the host that each shard's requests go to now.
	schedulers map[string]string
	// expected are the shards of the settings.
	expected  []string
	takeovers int
	closed    bool
}

// Parts are what a fleet works with.
type Parts struct {
	Config     Config
	Dispatcher *dispatch.Dispatcher
	Platform   *tableclient.Client
	Log        *logrus.Entry
	// Options are those of this host's schedulers.
	Options schedule.Options
	// Settings returns the settings in force, Newer is called with a peer's revision of them.
	Settings   func() change.Document
	OnRevision func(revision uint64)
	Clock      func() time.Time
	// Random returns numbers from 0 up to 1.
	Random func() float64
}

// New returns a host's part of the fleet that does not listen yet.
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

// maxAsked bounds the peers that are asked for settings at a time, so that a platform that is away does not make every
// host ask every other.
const maxAsked = 3

// FetchSettings asks a few peers, picked at random, for settings newer than a
// revision. It returns the newest, and whether any peer answered.
func (f *Fleet) FetchSettings(ctx context.Context, newer uint64) (change.Document, bool) {
	var newest change.Document
	answered := false
	for _, address := range f.someAddresses() {
		document, err := peer.FetchSettings(ctx, f.parts.Config.Self.Name, address, f.parts.Config.Key, newer)
		if err != nil {
			continue // The next may answer; with none, the caller knows.
		}
		answered = true
		if document.Revision > newest.Revision {
			newest = document
		}
	}
	return newest, answered
}

func (f *Fleet) someAddresses() []string {
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
	return addresses[:min(maxAsked, len(addresses))]
}

// Shards returns the schedulers of this host.
func (f *Fleet) Shards() *shard.Host { return f.shards }

// Start listens for peers.
func (f *Fleet) Start() error {
	if f.parts.Config.Listen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", f.parts.Config.Listen)
	if err != nil {
		return merry.Prepend(err, "listen for peers")
	}
	f.listener = listener
	f.server.Serve(listener)
	return nil
}

// PeersAddress is where peers reach the host, or empty.
func (f *Fleet) PeersAddress() string {
	if f.listener == nil {
		return ""
	}
	return f.listener.Addr().String()
}

// Run reads the platform's list of hosts until done is closed. While the
// platform is away, the last list stays.
func (f *Fleet) Run(done <-chan struct{}) {
	go lifetime.Every(done, repeatInterval, f.parts.Random, func(context.Context) { f.parts.Dispatcher.ResubmitWaiting() })
	lifetime.Every(done, listInterval, f.parts.Random, f.readList)
}

func (f *Fleet) readList(ctx context.Context) {
	if f.parts.Config.Listen == "" {
		return
	}
	list, err := f.parts.Platform.Hosts(ctx)
	if err != nil {
		return // The client counts it.
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

// SetShards replaces the shards of the settings. Those that fall to this host are
// taken up before their first request, which then need not wait for the hold.
func (f *Fleet) SetShards(shards []string) {
	f.mu.Lock()
	f.expected = shards
	f.takeUp()
	f.mu.Unlock()
}

// takeUp assigns the expected shards that fall to this host. The lock is held.
func (f *Fleet) takeUp() {
	for _, shardName := range f.expected {
		if _, ok := f.schedulers[shardName]; ok {
			continue
		}
		if host := f.view.Scheduler(shardName); host.Name == f.parts.Config.Self.Name {
			f.assign(shardName, host)
		}
	}
}

// Leave hands this host's shards over: it schedules no more.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.view.MarkLeaving(f.parts.Config.Self.Name)
	f.mu.Unlock()
	f.server.AnnounceLeaving()
	f.reassign()
}

// Close ends all links and schedulers.
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

// Takeovers counts the shards that came to this host from another.
func (f *Fleet) Takeovers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.takeovers
}

// Schedulers returns the host that each known shard's requests go to.
func (f *Fleet) Schedulers() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.schedulers)
}

// Scheduler returns the host that a shard's requests go to.
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

// Send hands a message to a host's scheduler.
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

// deliver hands a scheduler's decision to the request's owner.
func (f *Fleet) deliver(shardName string, d admission.Decision) {
	if d.Owner == f.parts.Config.Self.Name || d.Owner == "" {
		f.parts.Dispatcher.Deliver(f.parts.Config.Self.Name, shardName, d)
		return
	}
	f.server.Deliver(shardName, d)
}

// assign notes a shard's scheduler, and opens a link to it. The lock is held.
func (f *Fleet) assign(shardName string, host membership.Host) {
	before, known := f.schedulers[shardName]
	f.schedulers[shardName] = host.Name
	if host.Name != f.parts.Config.Self.Name {
		f.link(host)
		return
	}
	if known && before != host.Name {
		f.takeovers++
		f.parts.Log.WithField("shard", shardName).Info("took over")
	}
	if f.view.NumOthers() > 0 {
		f.shards.Hold(shardName, takeoverHold)
	}
}

// reassign moves the shards whose scheduler has changed, with their requests,
// and ends links that nothing needs.
func (f *Fleet) reassign() {
	f.moving.Lock()
	defer f.moving.Unlock()
	f.mu.Lock()
	var moved []string
	for shardName, before := range f.schedulers {
		host := f.view.Scheduler(shardName)
		if host.Name != before {
			f.assign(shardName, host)
			moved = append(moved, shardName)
		}
	}
	f.takeUp()
	idle := f.idleLinks()
	f.mu.Unlock()
	for _, shardName := range moved {
		f.parts.Dispatcher.MoveShard(shardName)
	}
	for _, link := range idle {
		// In the background: a link's own goroutine may have called.
		go link.Close()
	}
}
