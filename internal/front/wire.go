package front

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/front/relay"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/retrybudget"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Options gives the parts of a router to fx.
func Options(config hostconfig.Host, deployment Deployment, c *counters.Counters, log *logrus.Logger) fx.Option {
	return fx.Options(
		fx.Supply(config, deployment, c, log),
		fx.Provide(
			func() func() time.Time { return time.Now },
			func() func() float64 { return rand.Float64 },
			explain.New,
			record.New,
			settings.NewHolder,
			directory.New,
			newClient,
			func() *news { return new(news) },
			func() *loadNews { return new(loadNews) },
			newPlacement,
			newSettingsSink,
			newEndpointsSink,
			func() *readGate { return new(readGate) },
			newGossip,
			newBudget,
			newOwner,
			newRelay,
			newFollowers,
			New,
		),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(config.Drain.Limit+config.Drain.Notice+2*stopMargin),
		fx.Invoke(func(lifecycle fx.Lifecycle, r *Router) {
			lifecycle.Append(fx.Hook{OnStart: r.Start, OnStop: r.Stop})
		}),
	)
}

func newClient(deployment Deployment, clock func() time.Time) *upstream.Client {
	return upstream.New(upstream.Config{AnswerID: deployment.Dialect.AnswerID, KeepIdle: keepIdle, DeadPeer: deadPeer}, clock)
}

// news tells gossip that this host's state is worth a beat. The parts that tell
// and gossip need each other, so it is filled in last.
type news struct{ listener atomic.Pointer[func()] }

func (n *news) tell() {
	if listener := n.listener.Load(); listener != nil {
		(*listener)()
	}
}

func newPlacement(d *directory.Directory, log *logrus.Logger, clock func() time.Time, n *loadNews) *placement.Scheduler {
	return placement.New(d, logging.Part(log, "endpoints"), clock, n.tell)
}

// loadNews is news of loads, of which only some are worth a beat.
type loadNews struct{ news }

func newBudget(config hostconfig.Host, g *gossip.Gossip, clock func() time.Time) *retrybudget.Fleet {
	limits := retrybudget.Limits{Ratio: config.Retries.Ratio, Slack: config.Retries.Slack, Window: config.Retries.Window}
	return retrybudget.NewFleet(limits, g.Hosts, clock)
}

func newGossip(config hostconfig.Host, scheduler *placement.Scheduler, holder *settings.Holder, d *directory.Directory,
	sink *settingsSink, endpoints *endpointsSink, gate *readGate, n *news, l *loadNews, c *counters.Counters, log *logrus.Logger, clock func() time.Time, random func() float64,
) *gossip.Gossip {
	shared := &sharing{
		scheduler: scheduler, settings: holder, directory: d, sink: sink, endpoints: endpoints, gate: gate, log: logging.Part(log, "endpoints"), clock: clock,
	}
	g := gossip.New(gossip.Config{
		Name: config.Name, Zone: config.Zone, Address: config.Peers, FirstPeers: config.FirstPeers,
	}, shared, logging.Part(log, "peers"), clock, random, c.SentToPeers)
	gate.gossip.Store(g)
	changed := g.ChangedRevision
	n.listener.Store(&changed)
	loadChanged := func() {
		if shared.worthTelling() {
			g.Changed()
		}
	}
	l.listener.Store(&loadChanged)
	return g
}

func newOwner(config hostconfig.Host, scheduler *placement.Scheduler, d *directory.Directory, budget *retrybudget.Fleet,
	c *counters.Counters, ring *explain.Ring, clock func() time.Time, random func() float64,
) *owner.Owner {
	return owner.New(config.Name, scheduler, d.Endpoint, budget, c, ring, clock, random)
}

func newRelay(config hostconfig.Host, deployment Deployment, holder *settings.Holder, o *owner.Owner, client *upstream.Client,
	scheduler *placement.Scheduler, c *counters.Counters, log *logrus.Logger, clock func() time.Time, random func() float64,
) *relay.Server {
	return relay.New(relay.Parts{
		Host: config.Name, Zone: config.Zone, Settings: holder, Owner: o, Client: client, Health: scheduler,
		Dialect: deployment.Dialect, Counters: c, Log: logging.Part(log, "request"), Clock: clock, Random: random,
		Timeouts: httprelay.Timeouts{Read: config.ReadTimeout, Write: config.WriteTimeout},
	})
}
