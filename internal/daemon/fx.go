package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/daemon/api"
	"oxbowslip.dev/oxbowslip/internal/daemon/change"
	"oxbowslip.dev/oxbowslip/internal/daemon/claims"
	"oxbowslip.dev/oxbowslip/internal/daemon/commit"
	"oxbowslip.dev/oxbowslip/internal/daemon/dispatch"
	"oxbowslip.dev/oxbowslip/internal/daemon/fleet"
	"oxbowslip.dev/oxbowslip/internal/daemon/httpclient"
	"oxbowslip.dev/oxbowslip/internal/daemon/membership"
	"oxbowslip.dev/oxbowslip/internal/daemon/poller"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/retrybudget"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Options returns the fx options that build and run a daemon.
func Options(config hostconfig.Host, log *logrus.Logger) fx.Option {
	return fx.Options(
		fx.Supply(config, log),
		fx.Provide(
			func() func() time.Time { return time.Now },
			func() func() float64 { return rand.Float64 },
			counters.New,
			explain.New,
			record.New,
			settings.NewHolder,
			dispatch.New,
			httpclient.New,
			func() *documentSource { return new(documentSource) },
			newIntake,
			newFleet,
			newPlatform,
			newFollower,
			newOwner,
			newClaims,
			commit.New,
			New,
		),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(config.Drain.Limit+stopMargin),
		fx.Invoke(func(lifecycle fx.Lifecycle, d *Daemon) {
			lifecycle.Append(fx.Hook{OnStart: d.Start, OnStop: d.Stop})
		}),
	)
}

// intakeParts are the dependencies of the accounts of connections.
type intakeParts struct {
	fx.In

	Config   hostconfig.Host
	Counters *counters.Counters
	Log      *logrus.Logger
	Clock    func() time.Time
}

func newIntake(p intakeParts) *intake.Accounts {
	limits := intake.Limits{HeadBytes: api.MaxHeaderBytes, HeadTime: api.HeaderTimeout, IdleTime: api.IdleTimeout}
	return intake.NewAccounts(intake.Parts{
		Memory: p.Config.MemoryBytes(), Descriptors: intake.Descriptors(p.Config.MaxDescriptors), ReadTime: p.Config.ReadTimeout, WriteTime: p.Config.WriteTimeout,
		CallerLimits: func() intake.Limits { return limits }, CountClosed: p.Counters.CountClosedConnection,
		Log: logging.Part(p.Log, "connections"), Clock: p.Clock,
	})
}

// fleetParts are the dependencies of the fleet.
type fleetParts struct {
	fx.In

	Config     hostconfig.Host
	Dispatcher *dispatch.Dispatcher
	Client     *tableclient.Client
	Intake     *intake.Accounts
	Log        *logrus.Logger
	Document   *documentSource
	Clock      func() time.Time
	Random     func() float64
}

func newFleet(p fleetParts) *fleet.Fleet {
	return fleet.New(fleet.Parts{
		Config: fleet.Config{
			Self:   membership.Host{Name: p.Config.Name, Address: p.Config.Peers, Zone: p.Config.Zone},
			Listen: p.Config.Peers, Key: p.Config.PeerKey, FirstPeers: p.Config.FirstPeers,
		},
		WrapListener: p.Intake.Peers.Wrap, Dispatcher: p.Dispatcher, Platform: p.Client, Log: logging.Part(p.Log, "fleet"), Settings: p.Document.document,
		OnRevision: p.Document.handlePeerRevision, Clock: p.Clock, Random: p.Random,
	})
}

func newPlatform(config hostconfig.Host, c *counters.Counters) *tableclient.Client {
	return tableclient.New(config.Platform.Address, config.Platform.Timeout, c.PlatformErrors.Inc)
}

// followerParts are the dependencies of the settings follower.
type followerParts struct {
	fx.In

	Config   hostconfig.Host
	Client   *tableclient.Client
	Holder   *settings.Holder
	Counters *counters.Counters
	Log      *logrus.Logger
	Document *documentSource
	Fleet    *fleet.Fleet
	Clock    func() time.Time
	Random   func() float64
}

func newFollower(p followerParts) *poller.Follower {
	follower := poller.New(poller.Parts{
		Client: p.Client, Holder: p.Holder, Counters: p.Counters, Log: logging.Part(p.Log, "settings"),
		Interval: p.Config.Platform.Poll, FetchFromPeers: p.Fleet.FetchSettings, Clock: p.Clock, Random: p.Random,
	})
	p.Document.follower.Store(follower)
	return follower
}

// documentSource gives peers access to the follower's settings. The fleet and the follower depend
// on each other, so the follower is stored here once it is built.
type documentSource struct {
	follower atomic.Pointer[poller.Follower]
}

func (s *documentSource) document() change.Document {
	if follower := s.follower.Load(); follower != nil {
		return follower.Document()
	}
	return change.Document{}
}

// ownerParts are the dependencies of the owner.
type ownerParts struct {
	fx.In

	Config     hostconfig.Host
	Dispatcher *dispatch.Dispatcher
	Holder     *settings.Holder
	Counters   *counters.Counters
	Explained  *explain.Ring
	Log        *logrus.Logger
	Clock      func() time.Time
	Random     func() float64
}

func newOwner(p ownerParts) *owner.Owner {
	endpoints := func(id string) (settings.Endpoint, bool) {
		e, ok := p.Holder.Current().Tree.Endpoints[id]
		return e, ok && e.State != settings.StateOut
	}
	return owner.New(owner.Parts{
		Host: p.Config.Name, Admitter: fleetAdmitter{p.Dispatcher}, Endpoints: endpoints, Budget: retrybudget.NewClass(),
		Counters: p.Counters, Explained: p.Explained, Log: logging.Part(p.Log, "request"), Clock: p.Clock, Random: p.Random,
	})
}

// fleetAdmitter implements owner.Admitter through the hosts that schedule the shards.
type fleetAdmitter struct{ dispatcher *dispatch.Dispatcher }

// Ask submits a request to the host that schedules the shard.
func (s fleetAdmitter) Ask(ctx context.Context, shardName string, r admission.Request) (owner.Ticket, admission.Decision, error) {
	return s.dispatcher.Ask(ctx, shardName, r)
}

func newClaims(config hostconfig.Host, client *tableclient.Client, log *logrus.Logger, clock func() time.Time) *claims.Table {
	return claims.New(config.Name, client, logging.Part(log, "claims"), clock)
}

func (s *documentSource) handlePeerRevision(revision uint64) {
	if follower := s.follower.Load(); follower != nil {
		follower.HandlePeerRevision(revision)
	}
}
