// Package daemon is one host of oxbowslipd, the daemon with an interface of its own for language
// models and plain services, settings that operators change through it, and one queue a shard for
// the whole fleet. It wires the parts together (fx.go), starts them and stops as
// planned. The packages below it serve this program only; oxbowslip-front is package front.
package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/daemon/api"
	"oxbowslip.dev/oxbowslip/internal/daemon/claims"
	"oxbowslip.dev/oxbowslip/internal/daemon/commit"
	"oxbowslip.dev/oxbowslip/internal/daemon/fleet"
	"oxbowslip.dev/oxbowslip/internal/daemon/httpclient"
	"oxbowslip.dev/oxbowslip/internal/daemon/poller"
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
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Daemon is one running host.
type Daemon struct {
	parts     Parts
	log       *logrus.Entry
	shards    *shard.Host
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

// stopMargin is the time left to end honestly after the drain's limit.
const stopMargin = 10 * time.Second

// Parts are what a daemon is made of.
type Parts struct {
	fx.In

	Config    hostconfig.Host
	Log       *logrus.Logger
	Holder    *settings.Holder
	Follower  *poller.Follower
	Owner     *owner.Owner
	Fleet     *fleet.Fleet
	Client    *httpclient.Client
	Platform  *tableclient.Client
	Counters  *counters.Counters
	Explained *explain.Ring
	Recorded  *record.Ring
	Claims    *claims.Table
	Committer *commit.Committer
	Clock     func() time.Time
}

// New returns a daemon that has not started.
func New(p Parts) *Daemon {
	d := &Daemon{
		parts: p, log: logging.Part(p.Log, "daemon"), shards: p.Fleet.Shards(),
		cutShort: make(chan struct{}), done: make(chan struct{}), ended: make(chan struct{}),
	}
	d.callers = api.New(api.Parts{
		Host: p.Config.Name, Zone: p.Config.Zone, Settings: p.Holder, Owner: p.Owner, Client: p.Client, Counters: p.Counters,
		Claims: p.Claims, Recorded: p.Recorded, Clock: p.Clock,
		Timeouts: httprelay.Timeouts{Read: p.Config.ReadTimeout, Write: p.Config.WriteTimeout}, CheckReady: d.notReady,
	}).HTTP()
	d.callers.Handler = lifetime.CloseConnectionsWhen(&d.draining, d.callers.Handler)
	d.operators = operator.New(operator.Parts{
		Keys: p.Config.OperatorKeys, Counters: p.Counters, Explained: p.Explained, Recorded: p.Recorded, Settings: p.Holder,
		Changes: changes{committer: p.Committer, follower: p.Follower, client: p.Platform, log: d.log},
		Tree:    d.tree, Status: d.Status,
	}).HTTP()
	d.listeners = listen.New(d.log)
	p.Counters.Gauge("oxbowslip_open_requests", func() float64 { return float64(p.Owner.OpenJobs()) })
	p.Counters.Gauge("oxbowslip_takeovers", func() float64 { return float64(p.Fleet.Takeovers()) })
	p.Counters.Gauge("oxbowslip_settings_revision", func() float64 { return float64(d.parts.Holder.Number()) })
	return d
}

// Start listens and begins to follow the settings. It does not wait for them:
// until they are there, the host is not ready.
func (d *Daemon) Start(context.Context) error {
	var err error
	if d.callersAddress, err = d.listeners.Start(d.callers, d.parts.Config.Callers, "callers"); err != nil {
		return err
	}
	if d.operatorsAddress, err = d.listeners.Start(d.operators, d.parts.Config.Operators, "operators"); err != nil {
		d.listeners.Close()
		return err
	}
	if err := d.parts.Fleet.Start(); err != nil {
		d.listeners.Close()
		return err
	}
	go d.parts.Fleet.Run(d.done)
	go d.parts.Follower.Run(d.done)
	go d.parts.Claims.Run(d.done)
	go d.followEndpoints()
	d.log.WithFields(logrus.Fields{
		"host": d.parts.Config.Name, "callers": d.callersAddress, "operators": d.operatorsAddress,
	}).Info("started")
	return nil
}

// CallersAddress is where callers reach the host.
func (d *Daemon) CallersAddress() string { return d.callersAddress }

// PeersAddress is where peers reach the host, or empty.
func (d *Daemon) PeersAddress() string { return d.parts.Fleet.PeersAddress() }

// Takeovers counts the shards that came to this host from another.
func (d *Daemon) Takeovers() int { return d.parts.Fleet.Takeovers() }

// Schedulers returns the host that schedules each shard, as this host sees it.
func (d *Daemon) Schedulers() map[string]string { return d.parts.Fleet.Schedulers() }

// OperatorsAddress is where operators reach the host.
func (d *Daemon) OperatorsAddress() string { return d.operatorsAddress }

// Open counts the requests under way.
func (d *Daemon) Open() int { return d.parts.Owner.OpenJobs() }

// Revision is the number of the settings in force, or 0.
func (d *Daemon) Revision() uint64 { return d.parts.Holder.Number() }

// Counters returns the daemon's metrics.
func (d *Daemon) Counters() *counters.Counters { return d.parts.Counters }

// Ready reports whether the host takes requests and says so to the balancer.
func (d *Daemon) Ready() bool { return d.Status().Ready }

// Stop ends the host as planned: readiness fails first, then, after the notice,
// no connection is accepted, and what is in flight ends. When ctx or the limit
// ends first, the rest get an honest error.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.parts.Config.Drain.Limit)
	defer cancel()
	go func() {
		select {
		case <-d.cutShort:
			cancel()
		case <-ctx.Done():
		}
	}()
	d.draining.Store(true)
	d.parts.Fleet.Leave()
	d.log.WithField("open", d.parts.Owner.OpenJobs()).Info("draining")
	select {
	case <-time.After(d.parts.Config.Drain.Notice):
	case <-ctx.Done():
	}
	cut := lifetime.DrainServer(ctx, d.callers, d.parts.Owner.Drain, stopMargin/2)
	d.cut.Store(int64(cut))
	d.log.WithField("cut", cut).Info("stopped")
	d.close()
	return nil
}

// AbortDrain ends the wait of a planned stop: what is still in flight is told that
// the host stops.
func (d *Daemon) AbortDrain() { d.cutShortOnce.Do(func() { close(d.cutShort) }) }

// NumAborted counts the requests that a stop did not let finish.
func (d *Daemon) NumAborted() int { return int(d.cut.Load()) }

// Kill ends the host at once, as a crash would: no one is notified.
func (d *Daemon) Kill() {
	d.callers.Close()
	d.close()
}

func (d *Daemon) close() {
	close(d.done)
	<-d.ended
	d.listeners.Close()
	d.parts.Fleet.Close()
	d.parts.Client.Close()
	d.parts.Platform.Close()
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
