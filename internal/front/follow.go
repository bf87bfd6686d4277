package front

import (
	"sync/atomic"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
)

// followers keep the settings and the directory up to date with the store.
type followers struct {
	settings  *follow.Follower[Document]
	endpoints *follow.Follower[directory.Change]
}

func newFollowers(deployment Deployment, sink *settingsSink, endpoints *endpointsSink, gate *readGate,
	clock func() time.Time, random func() float64,
) *followers {
	f := &followers{
		settings:  follow.New(deployment.Settings, sink, sink.log, random, clock, gate.open),
		endpoints: follow.New(deployment.Endpoints, endpoints, endpoints.log, random, clock, gate.open),
	}
	gate.followers.Store(f)
	return f
}

// readGate says whether this host reads the store, and whether it gets answers. Its
// parts need each other, so they are filled in last.
type readGate struct {
	gossip    atomic.Pointer[gossip.Gossip]
	followers atomic.Pointer[followers]
}

func (g *readGate) open() bool {
	shared := g.gossip.Load()
	return shared == nil || shared.ShouldRead()
}

func (g *readGate) reading() bool {
	f := g.followers.Load()
	return f != nil && f.healthy()
}

// healthy reports whether the host reads the store and gets answers.
func (f *followers) healthy() bool { return f.settings.Healthy() && f.endpoints.Healthy() }

func (f *followers) run(done <-chan struct{}) {
	go f.settings.Run(done)
	go f.endpoints.Run(done)
}
