package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// Registry is where hosts leave their addresses for those that start later. Each error is
// counted by the implementation.
type Registry interface {
	Register(ctx context.Context, name, address string) error
	Unregister(ctx context.Context, name string) error
	List(ctx context.Context) ([]string, error)
}

const (
	// settleTime is how long a host waits for its first peers before it decides whether it is alone: a few heartbeats.
	settleTime = 400 * time.Millisecond
	// joinTime is how long no more peers have joined when a host takes its place in their order: it learns of
	// some with each heartbeat. A host that knows few peers takes itself for one of the first; in a
	// large fleet that starts together that costs thousands of calls (TestAFleetThatStartsTogether).
	joinTime = 700 * time.Millisecond
	// maxSettleTime is how long a host waits at most for that, where peers join all the time, and how long it
	// waits before it takes over from hosts that should read the store: their first held call and their
	// next heartbeat take 3.3 s. With 40 hosts that start together, 80 of which read once, there were up to
	// 158 calls when all twelve that may read began at once.
	maxSettleTime = 6 * time.Second
	// registerInterval is the mean time between two tries to register.
	registerInterval = 2 * time.Second
)

// KeepRegistered registers this host if it is one of those that read the store, or knows no
// other, and contacts the hosts that have registered. It lists them again whenever it knows
// no other. It runs until done is closed.
func (g *Gossip) KeepRegistered(done <-chan struct{}, registry Registry) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	if !lifetime.Sleep(ctx, settleTime) {
		return
	}
	lifetime.Every(done, registerInterval, g.parts.Random, func(context.Context) { g.register(ctx, registry) })
}

// registration is this host's row in the registry.
type registration struct {
	// calling is held during calls that change the row, so that they reach the registry in their order.
	calling sync.Mutex
	// isSent is set before the first call that makes the row: its answer may be lost. ended is set once the row must not
	// be made any more. Both belong to calling.
	isSent, ended bool
	// era is the newest era of the store that this host has registered in, or was to.
	era uint64
	// isThere is set once the registry has answered.
	isThere atomic.Bool
}

// enter notes the era of the store. One that was restored may have lost the row.
func (r *registration) enter(newest uint64) {
	r.calling.Lock()
	defer r.calling.Unlock()
	if newest > r.era {
		r.era = newest
		r.isThere.Store(false)
	}
}

// make makes the row, unless it is there or must not be.
func (r *registration) make(ctx context.Context, registry Registry, name, address string) error {
	r.calling.Lock()
	defer r.calling.Unlock()
	if r.isThere.Load() || r.ended {
		return nil
	}
	r.isSent = true
	if err := registry.Register(ctx, name, address); err != nil {
		return err
	}
	r.isThere.Store(true)
	return nil
}

// Unregister removes this host's address from the registry, and keeps it from being registered again. A registration that
// is under way is waited for. After an error the address may be there; it can be called again.
func (g *Gossip) Unregister(ctx context.Context, registry Registry) error {
	r := &g.registration
	r.calling.Lock()
	defer r.calling.Unlock()
	r.ended = true
	if !r.isSent {
		return nil
	}
	return registry.Unregister(ctx, g.parts.Config.Name)
}

// register does one round of KeepRegistered. After an error the next round tries again.
func (g *Gossip) register(ctx context.Context, registry Registry) {
	g.registration.enter(era.Of(g.parts.Host.Revisions().Directory))
	alone := g.Hosts() == 1
	if !alone && (g.registration.isThere.Load() || !g.MustReadStore()) {
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
