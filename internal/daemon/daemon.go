// Package daemon wires the parts of one host and takes them through start and
// planned stop.
package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
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
	"oxbowslip.dev/oxbowslip/internal/daemon/schedule"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/listen"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/retrybudget"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/version"
)

// Daemon is one running host.
type Daemon struct {
	config    hostconfig.Host
	log       *logrus.Entry
	holder    *settings.Holder
	follower  *poller.Follower
	owner     *owner.Owner
	fleet     *fleet.Fleet
	shards    *shard.Host
	client    *httpclient.Client
	platform  *tableclient.Client
	counters  *counters.Counters
	claims    *claims.Table
	callers   *http.Server
	operators *http.Server
	listeners *listen.Group

	callersAddress   string
	operatorsAddress string
	draining         atomic.Bool
	cutShort         chan struct{}
	cutShortOnce     sync.Once
	cut              atomic.Int64
	// configured is the revision that the schedulers know.
	configured atomic.Uint64
	done       chan struct{}
	ended      chan struct{}
}

// Options returns the parts of a daemon to fx.
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

// stopMargin is the time left to end honestly after the drain's limit.
const stopMargin = 10 * time.Second

func newFleet(config hostconfig.Host, d *dispatch.Dispatcher, client *tableclient.Client, log *logrus.Logger,
	document *documentSource, clock func() time.Time, random func() float64,
) *fleet.Fleet {
	return fleet.New(fleet.Config{
		Self:   membership.Host{Name: config.Name, Address: config.Peers, Zone: config.Zone},
		Listen: config.Peers,
		Key:    config.PeerKey, FirstPeers: config.FirstPeers,
	}, d, client, logging.Part(log, "fleet"), schedule.Options{}, document.get, document.newer, clock, random)
}

func newPlatform(config hostconfig.Host, c *counters.Counters) *tableclient.Client {
	return tableclient.New(config.Platform.Address, config.Platform.Timeout, c.PlatformErrors.Inc)
}

func newFollower(config hostconfig.Host, client *tableclient.Client, holder *settings.Holder, c *counters.Counters,
	log *logrus.Logger, document *documentSource, f *fleet.Fleet, clock func() time.Time, random func() float64,
) *poller.Follower {
	follower := poller.New(client, holder, c, logging.Part(log, "settings"), config.Platform.Poll, random, f.Settings, clock)
	document.follower.Store(follower)
	return follower
}

// documentSource lets peers read the settings that the follower has. The fleet
// and the follower need each other, so one is filled in later.
type documentSource struct {
	follower atomic.Pointer[poller.Follower]
}

func (s *documentSource) get() change.Document {
	if follower := s.follower.Load(); follower != nil {
		return follower.Document()
	}
	return change.Document{}
}

func newOwner(config hostconfig.Host, d *dispatch.Dispatcher, s *settings.Holder, c *counters.Counters, ring *explain.Ring,
	clock func() time.Time, random func() float64,
) *owner.Owner {
	endpoints := func(id string) (settings.Endpoint, bool) {
		e, ok := s.Current().Tree.Endpoints[id]
		return e, ok && e.State != settings.StateOut
	}
	return owner.New(owner.Parts{
		Host: config.Name, Admitter: sharedQueue{d}, Endpoints: endpoints, Budget: retrybudget.NewClass(), Counters: c,
		Explained: ring, Clock: clock, Random: random,
	})
}

// sharedQueue asks the host that schedules a shard. It implements owner.Admitter.
type sharedQueue struct{ dispatcher *dispatch.Dispatcher }

// Ask submits a request to the host that schedules its shard.
func (s sharedQueue) Ask(ctx context.Context, shardName string, r admission.Request) (owner.Ticket, admission.Decision, error) {
	return s.dispatcher.Ask(ctx, shardName, r)
}

func newClaims(config hostconfig.Host, client *tableclient.Client, log *logrus.Logger, clock func() time.Time) *claims.Table {
	return claims.New(config.Name, client, logging.Part(log, "claims"), clock)
}

func (s *documentSource) newer(revision uint64) {
	if follower := s.follower.Load(); follower != nil {
		follower.Nudge(revision)
	}
}

// New returns a daemon that has not started.
func New(config hostconfig.Host, log *logrus.Logger, holder *settings.Holder, follower *poller.Follower, o *owner.Owner,
	f *fleet.Fleet, client *httpclient.Client, platformClient *tableclient.Client, c *counters.Counters, ring *explain.Ring,
	table *claims.Table, committer *commit.Committer, recorded *record.Ring,
	clock func() time.Time,
) *Daemon {
	d := &Daemon{
		config: config, log: logging.Part(log, "daemon"), holder: holder, follower: follower, owner: o, fleet: f, shards: f.Shards(),
		client: client, platform: platformClient, counters: c, claims: table, cutShort: make(chan struct{}), done: make(chan struct{}), ended: make(chan struct{}),
	}
	d.callers = api.New(config.Name, config.Zone, holder, o, client, c, table, recorded, logging.Part(log, "api"), clock,
		httprelay.Timeouts{Read: config.ReadTimeout, Write: config.WriteTimeout}, d.notReady).HTTP()
	d.callers.Handler = lifetime.CloseWhen(&d.draining, d.callers.Handler)
	d.operators = operator.New(operator.Parts{
		Keys: config.OperatorKeys, Counters: c, Explained: ring, Recorded: recorded, Settings: holder,
		Changes: changes{committer: committer, follower: follower, client: platformClient, log: d.log},
		Tree:    d.tree, Status: d.Status,
	}).HTTP()
	d.listeners = listen.New(d.log)
	c.Gauge("oxbowslip_open_requests", func() float64 { return float64(o.Open()) })
	c.Gauge("oxbowslip_takeovers", func() float64 { return float64(f.Takeovers()) })
	c.Gauge("oxbowslip_settings_revision", func() float64 { return float64(d.holder.Number()) })
	return d
}

// tree returns the tree in force as operators see it.
func (d *Daemon) tree() operator.SettingsAnswer {
	document := d.follower.Document()
	return operator.SettingsAnswer{Revision: document.Revision, Tree: document.Data}
}

// Start listens and begins to follow the settings. It does not wait for them:
// until they are there, the host is not ready.
func (d *Daemon) Start(context.Context) error {
	var err error
	if d.callersAddress, err = d.listeners.Start(d.callers, d.config.Callers, "callers"); err != nil {
		return err
	}
	if d.operatorsAddress, err = d.listeners.Start(d.operators, d.config.Operators, "operators"); err != nil {
		d.listeners.Close()
		return err
	}
	if err := d.fleet.Start(); err != nil {
		d.listeners.Close()
		return err
	}
	go d.fleet.Run(d.done)
	go d.follower.Run(d.done)
	go d.claims.Run(d.done)
	go d.followEndpoints()
	d.log.WithFields(logrus.Fields{
		"host": d.config.Name, "callers": d.callersAddress, "operators": d.operatorsAddress,
	}).Info("started")
	return nil
}

// CallersAddress is where callers reach the host.
func (d *Daemon) CallersAddress() string { return d.callersAddress }

// PeersAddress is where peers reach the host, or empty.
func (d *Daemon) PeersAddress() string { return d.fleet.PeersAddress() }

// Takeovers counts the shards that came to this host from another.
func (d *Daemon) Takeovers() int { return d.fleet.Takeovers() }

// Schedulers returns the host that schedules each shard, as this host sees it.
func (d *Daemon) Schedulers() map[string]string { return d.fleet.Schedulers() }

// OperatorsAddress is where operators reach the host.
func (d *Daemon) OperatorsAddress() string { return d.operatorsAddress }

// Open counts the requests under way.
func (d *Daemon) Open() int { return d.owner.Open() }

// Revision is the number of the settings in force, or 0.
func (d *Daemon) Revision() uint64 { return d.holder.Number() }

// Counters returns the daemon's metrics.
func (d *Daemon) Counters() *counters.Counters { return d.counters }

// Ready reports whether the host takes requests and says so to the balancer.
func (d *Daemon) Ready() bool { return d.Status().Ready }

// Stop ends the host as planned: readiness fails first, then, after the notice,
// no connection is accepted, and what is in flight ends. When ctx or the limit
// ends first, the rest get an honest error.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.config.Drain.Limit)
	defer cancel()
	go func() {
		select {
		case <-d.cutShort:
			cancel()
		case <-ctx.Done():
		}
	}()
	d.draining.Store(true)
	d.fleet.Leave()
	d.log.WithField("open", d.owner.Open()).Info("draining")
	select {
	case <-time.After(d.config.Drain.Notice):
	case <-ctx.Done():
	}
	cut := lifetime.Finish(ctx, d.callers, d.owner.Drain, stopMargin/2)
	d.cut.Store(int64(cut))
	d.log.WithField("cut", cut).Info("stopped")
	d.close()
	return nil
}

// CutShort ends the wait of a planned stop: what is still in flight is told that
// the host stops.
func (d *Daemon) CutShort() { d.cutShortOnce.Do(func() { close(d.cutShort) }) }

// Cut counts the requests that a stop did not let finish.
func (d *Daemon) Cut() int { return int(d.cut.Load()) }

// Kill ends the host at once, as a crash would: no one is told.
func (d *Daemon) Kill() {
	d.callers.Close()
	d.close()
}

func (d *Daemon) close() {
	close(d.done)
	<-d.ended
	d.listeners.Close()
	d.fleet.Close()
	d.client.Close()
	d.platform.Close()
}

// followEndpoints keeps the schedulers informed which endpoints are in.
func (d *Daemon) followEndpoints() {
	defer close(d.ended)
	for {
		changed := d.holder.Changed()
		if revision := d.holder.Current(); revision != nil {
			d.shards.Configure(shardConfigs(revision.Tree))
			d.fleet.Expect(d.shards.Names())
			d.configured.Store(revision.Number)
		}
		select {
		case <-changed:
		case <-d.done:
			return
		}
	}
}

// shardConfigs sorts the endpoints that are in by what they serve. Every model
// and service has a shard, so that a request for one without endpoints is
// refused and does not wait.
func shardConfigs(tree *settings.Tree) map[string]shard.Config {
	shards := make(map[string]shard.Config)
	for name, model := range tree.Models {
		shards[name] = shard.Config{MaxWaiting: model.MaxWaiting}
	}
	for name := range tree.Services {
		shards[api.ServicePrefix+name] = shard.Config{}
	}
	for _, name := range tree.EndpointNames() {
		e := tree.Endpoints[name]
		if e.State == settings.StateOut {
			continue
		}
		serves := e.Model
		if e.Service != "" {
			serves = api.ServicePrefix + e.Service
		}
		config := shards[serves]
		config.Endpoints = append(config.Endpoints, schedule.Endpoint{
			ID: name, Zone: e.Zone, MaxInFlight: e.MaxInFlight, CacheTokens: e.CacheTokens, Engine: e.Model != "",
		})
		shards[serves] = config
	}
	return shards
}

// notReady returns the refusal for a host without settings.
func (d *Daemon) notReady() *request.Refusal {
	if d.configured.Load() > 0 {
		return nil
	}
	return &request.Refusal{Reason: request.ReasonNotReady, Ran: request.RanNo, Detail: d.Problem()}
}

// Problem returns why the host is not ready, or is empty.
func (d *Daemon) Problem() string {
	switch {
	case d.draining.Load():
		return "the host is leaving"
	case d.holder.Current() == nil && d.follower.Problem() != nil:
		return "no settings yet: " + d.follower.Problem().Error()
	case d.configured.Load() == 0:
		return "no settings yet"
	case d.follower.Stale():
		return "cut off from the platform and from all peers: the settings may be old"
	}
	return ""
}

// Status returns the state of the host for operators.
func (d *Daemon) Status() operator.Status {
	problem := d.Problem()
	status := operator.Status{
		Host: d.config.Name, Zone: d.config.Zone, Version: version.Version, Revision: d.holder.Number(), Ready: problem == "",
		Problem: problem, Open: d.owner.Open(), Now: time.Now(), Schedulers: d.fleet.Schedulers(),
		Refusals: d.counters.RefusalsByReason(),
	}
	for _, name := range d.shards.Names() {
		d.shards.Inspect(name, func(core *schedule.Scheduler) {
			shard := operator.ShardStatus{Name: name, Waiting: core.Waiting(), Running: core.Running()}
			for _, e := range core.Endpoints() {
				shard.Endpoints = append(shard.Endpoints, operator.EndpointStatus{
					ID: e.ID, InFlight: e.InFlight, Limit: e.Limit, Between: e.Between, Ejected: string(e.Ejected), Probing: e.Probing,
				})
			}
			status.Shards = append(status.Shards, shard)
		})
	}
	return status
}

// Launch builds and starts a daemon. Stop the application to end it.
func Launch(ctx context.Context, config hostconfig.Host, log *logrus.Logger) (*Daemon, *fx.App, error) {
	var d *Daemon
	app := fx.New(Options(config, log), fx.Populate(&d))
	if err := app.Start(ctx); err != nil {
		return nil, nil, merry.Wrap(err)
	}
	return d, app, nil
}
