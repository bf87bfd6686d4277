// Package router wires the parts of one host that relays calls by route, for a
// deployment whose settings and endpoints come from a store, and takes them through
// start and planned stop.
package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/directory"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/follow"
	"oxbowslip.dev/oxbowslip/internal/gossip"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/placement"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/relay"
	"oxbowslip.dev/oxbowslip/internal/retrybudget"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/upstream"
)

// Document is a configuration as the deployment writes it.
type Document []byte

// Deployment is what a router needs to know of where it runs.
type Deployment struct {
	Dialect relay.Dialect
	// Settings is followed for configurations, Endpoints for the endpoints.
	Settings  follow.Source[Document]
	Endpoints follow.Source[directory.Change]
	// Registry is where hosts find each other's addresses.
	Registry gossip.Registry
	// Decode turns a configuration into a revision of the settings.
	Decode func(Document) (*settings.Revision, error)
	// ReadyPath is where the balancer asks whether the host takes requests.
	ReadyPath string
	// MetricsPath is where the metrics are.
	MetricsPath string
}

const (
	// keepIdle is how long a connection rests if its endpoint does not say.
	keepIdle = 3 * time.Second
	// deadPeer is how long a machine may leave sent bytes unacknowledged.
	deadPeer = time.Second
	// sweepInterval is the mean time between two sweeps of idle connections.
	sweepInterval = time.Second
	// idleTimeout is how long a caller's connection may rest.
	idleTimeout    = time.Minute
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// memoryPart is the part of the host's memory that the heap may take.
	memoryPart = 0.6
	// stopMargin is the time left to end honestly after the drain's limit.
	stopMargin = 300 * time.Millisecond
)

// Router is one running host.
type Router struct {
	config     hostconfig.Host
	deployment Deployment
	log        *logrus.Entry
	counters   *counters.Counters
	owner      *owner.Owner
	client     *upstream.Client
	settings   *settings.Holder
	directory  *directory.Directory
	scheduler  *placement.Scheduler
	follow     *followers
	gossip     *gossip.Gossip

	callers   *http.Server
	readiness *http.Server
	metrics   *http.Server
	operators *http.Server
	leaving   atomic.Bool
	done      chan struct{}
}

// Options gives the parts of a router to fx.
func Options(config hostconfig.Host, deployment Deployment, log *logrus.Logger) fx.Option {
	return fx.Options(
		fx.Supply(config, deployment, log),
		fx.Provide(
			func() func() time.Time { return time.Now },
			func() func() float64 { return rand.Float64 },
			counters.New,
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

func newBudget(config hostconfig.Host, g *gossip.Gossip, clock func() time.Time) *retrybudget.Budget {
	limits := retrybudget.Limits{Ratio: config.Retries.Ratio, Slack: config.Retries.Slack, Window: config.Retries.Window}
	return retrybudget.New(limits, g.Hosts, clock)
}

func newGossip(config hostconfig.Host, scheduler *placement.Scheduler, holder *settings.Holder, d *directory.Directory,
	sink *settingsSink, endpoints *endpointsSink, gate *readGate, n *news, l *loadNews, log *logrus.Logger, clock func() time.Time, random func() float64,
) *gossip.Gossip {
	shared := &sharing{
		scheduler: scheduler, settings: holder, directory: d, sink: sink, endpoints: endpoints, gate: gate, log: logging.Part(log, "endpoints"), clock: clock,
	}
	g := gossip.New(gossip.Config{
		Name: config.Name, Zone: config.Zone, Address: config.Peers, FirstPeers: config.FirstPeers,
	}, shared, logging.Part(log, "peers"), clock, random)
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

func newOwner(config hostconfig.Host, scheduler *placement.Scheduler, d *directory.Directory, budget *retrybudget.Budget,
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
		Timeouts: relay.Timeouts{Read: config.ReadTimeout, Write: config.WriteTimeout},
	})
}

// New makes a router that has not started.
func New(config hostconfig.Host, deployment Deployment, log *logrus.Logger, c *counters.Counters, o *owner.Owner,
	client *upstream.Client, holder *settings.Holder, d *directory.Directory, scheduler *placement.Scheduler, f *followers, g *gossip.Gossip, server *relay.Server,
	ring *explain.Ring, recorded *record.Ring,
) *Router {
	r := &Router{
		config: config, deployment: deployment, log: logging.Part(log, "host"), counters: c, owner: o, client: client,
		settings: holder, directory: d, scheduler: scheduler, follow: f, gossip: g, done: make(chan struct{}),
	}
	r.callers = &http.Server{
		Handler: lifetime.CloseWhen(&r.leaving, server), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	r.readiness = &http.Server{Handler: r.readinessHandler(), ReadHeaderTimeout: headerTimeout}
	r.metrics = &http.Server{Handler: r.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	r.operators = operator.New(config.OperatorKeys, c, ring, r.operatorSettings(), recorded, r.Status).HTTP()
	c.Gauge("oxbowslip_settings_revision", func() float64 { return float64(r.revision()) })
	c.Gauge("oxbowslip_directory_revision", func() float64 { return float64(d.Revision()) })
	c.Gauge("oxbowslip_endpoints", func() float64 { return float64(d.CountServing()) })
	c.Gauge("oxbowslip_hosts", func() float64 { return float64(g.Hosts()) })
	c.Gauge("oxbowslip_open_requests", func() float64 { return float64(o.Open()) })
	c.Gauge("oxbowslip_upstream_connections_made", func() float64 { return float64(client.Dials()) })
	return r
}

func (r *Router) readinessHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(r.deployment.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if r.Problem() != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}

func (r *Router) metricsHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(r.deployment.MetricsPath, func(w http.ResponseWriter, _ *http.Request) { r.counters.Write(w) })
	return router
}

// Problem tells why the host does not take requests, or is empty.
func (r *Router) Problem() string {
	switch {
	case r.leaving.Load():
		return "the host is leaving"
	case r.settings.Current() == nil:
		return "no settings yet"
	case r.directory.Revision() == 0:
		return "no endpoints yet"
	}
	return ""
}

// Start listens and begins to follow the store. It does not wait for the store:
// until its settings are there, the host is not ready.
func (r *Router) Start(context.Context) error {
	if r.config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(r.config.MemoryMB) * (1 << 20)))
	}
	listens := []struct {
		server  *http.Server
		address string
		what    string
	}{
		{r.callers, r.config.Callers, "callers"},
		{r.readiness, r.config.Readiness, "readiness"},
		{r.metrics, r.config.Metrics, "metrics"},
		{r.operators, r.config.Operators, "operators"},
	}
	for _, l := range listens {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return merry.Prependf(err, "listen for %s on %s", l.what, l.address)
		}
		go r.serve(l.server, listener)
	}
	if err := r.gossip.Start(); err != nil {
		return err
	}
	go r.gossip.Run(r.done)
	go r.gossip.KeepRegistered(r.done, r.deployment.Registry)
	r.follow.run(r.done)
	go lifetime.Every(r.done, sweepInterval, rand.Float64, func(context.Context) {
		r.client.Sweep()
		r.scheduler.Sweep()
	})
	r.log.WithFields(logrus.Fields{
		"host": r.config.Name, "zone": r.config.Zone, "callers": r.config.Callers, "store": r.config.Platform.Address,
		"first_peers": r.config.FirstPeers, "memory_mb": r.config.MemoryMB,
	}).Info("started")
	return nil
}

func (r *Router) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		r.log.WithError(err).Error("listener failed")
	}
}

// Reload says that the host's file was read again.
func (r *Router) Reload(config hostconfig.Host) {
	r.gossip.Contact(config.FirstPeers)
	r.log.WithFields(logrus.Fields{"first_peers": config.FirstPeers, "store": config.Platform.Address}).Info("settings file read again")
}

// Stop ends the host as planned: readiness fails first; after the notice no
// connection is accepted, and what is in flight ends. When the limit ends first, the
// rest get an honest error.
func (r *Router) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.Drain.Limit)
	defer cancel()
	r.leaving.Store(true)
	r.log.WithField("open", r.owner.Open()).Info("leaving")
	go r.unregister()
	select {
	case <-time.After(r.config.Drain.Notice):
	case <-ctx.Done():
	}
	cut := lifetime.Finish(ctx, r.callers, r.owner.Drain, stopMargin)
	r.gossip.Leave()
	r.close()
	r.log.WithField("cut", cut).Info("stopped")
	return nil
}

// unregister takes this host's address away, for those that start later.
func (r *Router) unregister() {
	if !r.gossip.Registered() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin)
	defer cancel()
	if err := r.deployment.Registry.Unregister(ctx, r.config.Name); err != nil {
		r.log.WithError(err).Warn("the host's address stays registered")
	}
}

func (r *Router) close() {
	close(r.done)
	r.gossip.Close()
	r.callers.Close()
	r.readiness.Close()
	r.metrics.Close()
	r.operators.Close()
	r.client.Close()
}

// Endpoints counts the endpoints that take new work, as far as this host knows.
func (r *Router) Endpoints() int { return r.directory.CountServing() }
