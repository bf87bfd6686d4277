package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// Registry stores the addresses of hosts, so that hosts that start later can contact them. The implementation counts
// each error.
type Registry interface {
	Register(ctx context.Context, name, address string) error
	Unregister(ctx context.Context, name string) error
	List(ctx context.Context) ([]string, error)
}

const (
	// firstPeersWait is how long a host waits for its first peers, a few heartbeats, before it decides whether it is
	// alone.
	firstPeersWait = 400 * time.Millisecond
	// joinQuietTime is how long no peer must have joined before a host relies on its place in the order: it learns of
	// more peers with each heartbeat. A host that has seen few peers takes itself for a reader; in a large fleet that
	// starts together, this costs thousands of calls to the store (TestFleetStartCausesFewStoreCalls).
	joinQuietTime = 700 * time.Millisecond
	// maxSettleTime bounds that wait where peers keep joining. It is also how long a host waits before it takes over
	// from readers of the store: their first held call and their next heartbeat take 3.3 s. Without this wait, a fleet
	// of 40 hosts that start together made up to 158 calls, 80 of them the hosts' first reads of both tables, because
	// all twelve possible readers began at once.
	maxSettleTime = 6 * time.Second
	// registerInterval is the mean time between two attempts to register.
	registerInterval = 2 * time.Second
)

// KeepRegistered registers this host if it reads the store or has no peers, and contacts the hosts that have
// registered. It lists them again whenever it has no peers. It runs until done is closed.
func (g *Gossip) KeepRegistered(done <-chan struct{}, registry Registry) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	if !lifetime.Sleep(ctx, firstPeersWait) {
		return
	}
	lifetime.Every(done, registerInterval, g.parts.Random, func(context.Context) { g.register(ctx, registry) })
}

// registration is this host's row in the registry.
type registration struct {
	// callMu is held during calls that change the row, so that they reach the registry in order.
	callMu sync.Mutex
	// wasAttempted is set before the first call that creates the row, because its answer may be lost. isClosed is set
	// once the row must not be created again. Both are guarded by callMu.
	wasAttempted, isClosed bool
	// era is the newest era of the store in which this host has registered or has to register.
	era uint64
	// isRegistered is set once the registry has confirmed the row.
	isRegistered atomic.Bool
}

// noteEra records the era of the store. A store that was restored from a backup may have lost the row.
func (r *registration) noteEra(newest uint64) {
	r.callMu.Lock()
	defer r.callMu.Unlock()
	if newest > r.era {
		r.era = newest
		r.isRegistered.Store(false)
	}
}

// make creates the row, unless it exists or must not be created again.
func (r *registration) make(ctx context.Context, registry Registry, name, address string) error {
	r.callMu.Lock()
	defer r.callMu.Unlock()
	if r.isRegistered.Load() || r.isClosed {
		return nil
	}
	r.wasAttempted = true
	if err := registry.Register(ctx, name, address); err != nil {
		return err
	}
	r.isRegistered.Store(true)
	return nil
}

// Unregister removes this host's address from the registry and prevents further registration. It waits for a
// registration in progress. After an error the address may still be registered; Unregister can be called again.
func (g *Gossip) Unregister(ctx context.Context, registry Registry) error {
	r := &g.registration
	r.callMu.Lock()
	defer r.callMu.Unlock()
	r.isClosed = true
	if !r.wasAttempted {
		return nil
	}
	return registry.Unregister(ctx, g.parts.Config.Name)
}

// register runs one round of KeepRegistered. After an error the next round tries again.
func (g *Gossip) register(ctx context.Context, registry Registry) {
	g.registration.noteEra(era.Of(g.parts.Host.Revisions().Directory))
	alone := g.Hosts() == 1
	if !alone && (g.registration.isRegistered.Load() || !g.MustReadStore()) {
		return
	}
	if err := g.registration.make(ctx, registry, g.parts.Config.Name, g.address); err != nil {
		return
	}
	g.AddContacts(g.parts.Config.FirstPeers)
	addresses, err := registry.List(ctx)
	if err != nil {
		return
	}
	g.AddContacts(addresses)
	g.RequestHeartbeat()
}
