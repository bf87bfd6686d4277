package gossip

import (
	"context"
	"time"

	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// KeepRegistered registers this host if it is one of those that read the store, or
// hears no other, and contacts the hosts that have registered. It lists them again
// whenever it hears no other.
func (g *Gossip) KeepRegistered(done <-chan struct{}, registry Registry) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	if !lifetime.Sleep(ctx, settleTime) {
		return
	}
	lifetime.Every(done, registerInterval, g.random, func(context.Context) {
		alone := g.Hosts() == 1
		if !alone && (g.registered.Load() || !g.ShouldRead()) {
			return
		}
		if !g.registered.Load() {
			if err := registry.Register(ctx, g.config.Name, g.config.Address); err != nil {
				return // The registry counts it; the next round tries again.
			}
			g.registered.Store(true)
		}
		g.Contact(g.config.FirstPeers)
		if addresses, err := registry.List(ctx); err == nil {
			g.Contact(addresses)
			g.Changed()
		}
	})
}

// settleTime is how long a host waits for its first peers before it decides whether
// it is alone.
const settleTime = 400 * time.Millisecond

// registerInterval is the mean time between two tries to register.
const registerInterval = 2 * time.Second

// Registry is where hosts leave their addresses for those that start later.
type Registry interface {
	Register(ctx context.Context, name, address string) error
	Unregister(ctx context.Context, name string) error
	List(ctx context.Context) ([]string, error)
}
