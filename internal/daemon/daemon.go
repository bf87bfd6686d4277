// Package daemon runs one host of oxbowslipd, the daemon with its own interface for language models
// and plain services, settings that operators change through it, and a queue per shard for the
// whole fleet. It wires the components together (fx.go), starts them, and stops them gracefully.
// Its subpackages serve this program only; the counterpart for oxbowslip-front is package front.
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

	"oxbowslip.dev/oxbowslip/internal/bodies"
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
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/listen"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Daemon is a running host.
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
	abortDrain       chan struct{}
	abortDrainOnce   sync.Once
	numAborted       atomic.Int64
	// configuredRevision is the revision of the settings that the schedulers use.
	configuredRevision atomic.Uint64
	done               chan struct{}
	ended              chan struct{}
}

// expireInterval is the mean time between two searches for connections that take too long.
const expireInterval = time.Second

// stopMargin is the time after the drain's limit in which the remaining requests end with an error.
const stopMargin = 10 * time.Second

// Parts are the dependencies of a Daemon.
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
	Intake    *intake.Accounts
	Clock     func() time.Time
}

// New returns a daemon that has not been started.
func New(p Parts) *Daemon {
	d := &Daemon{
		parts: p, log: logging.Part(p.Log, "daemon"), shards: p.Fleet.Shards(),
		abortDrain: make(chan struct{}), done: make(chan struct{}), ended: make(chan struct{}),
	}
	d.callers = api.New(api.Parts{
		Host: p.Config.Name, Zone: p.Config.Zone, Settings: p.Holder, Owner: p.Owner, Client: p.Client, Counters: p.Counters,
		Claims: p.Claims, Recorded: p.Recorded, Clock: p.Clock,
		Timeouts: httprelay.Timeouts{Read: p.Config.ReadTimeout, Write: p.Config.WriteTimeout}, CheckReady: d.checkReady,
		Bodies: bodies.New(p.Config.BodyBytes(), p.Intake.Callers.Charge),
	}).HTTP()
	d.callers.Handler = lifetime.CloseConnectionsWhen(&d.draining, d.callers.Handler)
	d.operators = operator.New(operator.Parts{
		Keys: p.Config.OperatorKeys, Counters: p.Counters, Explained: p.Explained, Recorded: p.Recorded, Settings: p.Holder,
		Changes: changes{committer: p.Committer, follower: p.Follower, client: p.Platform, log: d.log},
		Tree:    d.tree, Status: d.Status,
	}).HTTP()
	d.listeners = listen.New(d.log)
	p.Counters.RegisterAccounts(p.Intake)
	p.Counters.Gauge("oxbowslip_open_requests", func() float64 { return float64(p.Owner.OpenJobs()) })
	p.Counters.Gauge("oxbowslip_takeovers", func() float64 { return float64(p.Fleet.Takeovers()) })
	p.Counters.Gauge("oxbowslip_settings_revision", func() float64 { return float64(d.parts.Holder.Number()) })
	return d
}

// Start listens and starts following the settings. It doesn't wait for settings; the host is not
// ready until it has them.
func (d *Daemon) Start(context.Context) error {
	lifetime.LimitHeap(d.parts.Config.MemoryBytes())
	var err error
	if d.callersAddress, err = d.listeners.Start(d.callers, d.parts.Config.Callers, d.parts.Intake.Callers); err != nil {
		return err
	}
	if d.operatorsAddress, err = d.listeners.Start(d.operators, d.parts.Config.Operators, d.parts.Intake.Operators); err != nil {
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
	go d.configureShards()
	go lifetime.Every(d.done, expireInterval, rand.Float64, func(context.Context) { d.parts.Intake.Expire() })
	d.log.WithFields(logrus.Fields{
		"host": d.parts.Config.Name, "callers": d.callersAddress, "operators": d.operatorsAddress,
	}).Info("started")
	return nil
}

// CallersAddress returns the address for callers.
func (d *Daemon) CallersAddress() string { return d.callersAddress }

// PeersAddress returns the address for peers, or "".
func (d *Daemon) PeersAddress() string { return d.parts.Fleet.PeersAddress() }

// Takeovers returns the number of shards that this host took over from another.
func (d *Daemon) Takeovers() int { return d.parts.Fleet.Takeovers() }

// Schedulers returns the host that schedules each shard, as assigned by this host.
func (d *Daemon) Schedulers() map[string]string { return d.parts.Fleet.Schedulers() }

// OperatorsAddress returns the address for operators.
func (d *Daemon) OperatorsAddress() string { return d.operatorsAddress }

// Open returns the number of requests in progress.
func (d *Daemon) Open() int { return d.parts.Owner.OpenJobs() }

// Revision returns the number of the settings in force, or 0.
func (d *Daemon) Revision() uint64 { return d.parts.Holder.Number() }

// Counters returns the daemon's metrics.
func (d *Daemon) Counters() *counters.Counters { return d.parts.Counters }

// Ready reports whether the host accepts requests, as it reports it to the load balancer.
func (d *Daemon) Ready() bool { return d.Status().Ready }

// Stop stops the host gracefully. Readiness fails first; after the notice period no connections are
// accepted, and requests in flight may finish. When ctx or the drain's limit expires, the remaining
// requests end with an error.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.parts.Config.Drain.Limit)
	defer cancel()
	go func() {
		select {
		case <-d.abortDrain:
			cancel()
		case <-ctx.Done():
		}
	}()
	d.draining.Store(true)
	d.parts.Fleet.Leave()
	d.log.WithField("open", d.parts.Owner.OpenJobs()).Info("host is draining, no new connections after the notice period")
	select {
	case <-time.After(d.parts.Config.Drain.Notice):
	case <-ctx.Done():
	}
	aborted := lifetime.DrainServer(ctx, d.callers, d.parts.Owner.Drain, stopMargin/2)
	d.numAborted.Store(int64(aborted))
	d.log.WithField("cut", aborted).Info("host has stopped")
	d.close()
	return nil
}

// AbortDrain ends the wait of a graceful stop. Requests still in flight end with an error that
// reports the stop.
func (d *Daemon) AbortDrain() { d.abortDrainOnce.Do(func() { close(d.abortDrain) }) }

// NumAborted returns the number of requests that a stop did not let finish.
func (d *Daemon) NumAborted() int { return int(d.numAborted.Load()) }

// Kill ends the host abruptly, as a crash would: no peer is notified.
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

// Launch builds and starts a daemon. Stopping the returned fx.App stops it.
func Launch(ctx context.Context, config hostconfig.Host, log *logrus.Logger) (*Daemon, *fx.App, error) {
	var d *Daemon
	app := fx.New(Options(config, log), fx.Populate(&d))
	if err := app.Start(ctx); err != nil {
		return nil, nil, merry.Wrap(err)
	}
	return d, app, nil
}
