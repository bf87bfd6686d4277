// Package front wires the parts of one host that relays calls by route, for a
// deployment whose settings and endpoints come from a store, and takes them through
// start and planned stop.
package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/front/relay"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/listen"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/settings"
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
	listeners *listen.Group
	bound     Addresses
	clock     func() time.Time
	leaving   atomic.Bool
	// contact is when the host last heard the store or a peer, in ns.
	contact atomic.Int64
	done    chan struct{}
}

// Parts are what a router is made of.
type Parts struct {
	fx.In

	Config     hostconfig.Host
	Deployment Deployment
	Log        *logrus.Logger
	Counters   *counters.Counters
	Explained  *explain.Ring
	Recorded   *record.Ring
	Settings   *settings.Holder
	Directory  *directory.Directory
	Scheduler  *placement.Scheduler
	Owner      *owner.Owner
	Client     *upstream.Client
	Gossip     *gossip.Gossip
	Relay      *relay.Server
	Clock      func() time.Time
}

// New makes a router that has not started.
func New(p Parts, f *followers) *Router {
	r := &Router{
		config: p.Config, deployment: p.Deployment, log: logging.Part(p.Log, "host"), counters: p.Counters, owner: p.Owner,
		client: p.Client, settings: p.Settings, directory: p.Directory, scheduler: p.Scheduler, follow: f, gossip: p.Gossip,
		clock: p.Clock, done: make(chan struct{}),
	}
	r.listeners = listen.New(r.log)
	r.contact.Store(p.Clock().UnixNano())
	r.callers = &http.Server{
		Handler: lifetime.CloseWhen(&r.leaving, p.Relay), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	r.readiness = &http.Server{Handler: r.readinessHandler(), ReadHeaderTimeout: headerTimeout}
	r.metrics = &http.Server{Handler: r.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	r.operators = operator.New(operator.Parts{
		Keys: p.Config.OperatorKeys, Counters: p.Counters, Explained: p.Explained, Recorded: p.Recorded, Settings: p.Settings,
		Changes: storeChanges{}, Tree: r.tree, Status: r.Status,
	}).HTTP()
	r.gauges()
	return r
}

func (r *Router) gauges() {
	for name, read := range map[string]func() float64{
		"oxbowslip_settings_revision":         func() float64 { return float64(r.settings.Number()) },
		"oxbowslip_directory_revision":        func() float64 { return float64(r.directory.Revision()) },
		"oxbowslip_endpoints":                 func() float64 { return float64(r.directory.CountServing()) },
		"oxbowslip_hosts":                     func() float64 { return float64(r.gossip.Hosts()) },
		"oxbowslip_open_requests":             func() float64 { return float64(r.owner.Open()) },
		"oxbowslip_upstream_connections_made": func() float64 { return float64(r.client.Dials()) },
	} {
		r.counters.Gauge(name, read)
	}
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
	case r.clock().UnixNano()-r.contact.Load() > int64(cutOffTime):
		return "cut off from the store and from all peers: the settings may be old"
	}
	return ""
}

// cutOffTime is how long a host that hears neither the store nor a peer trusts its
// settings.
const cutOffTime = 30 * time.Second

// sweep does what is due now and then.
func (r *Router) sweep(context.Context) {
	r.client.Sweep()
	r.scheduler.Sweep()
	if r.follow.healthy() || r.gossip.Hosts() > 1 {
		r.contact.Store(r.clock().UnixNano())
	}
}

// Addresses are where a host listens. One that it does not listen on is empty.
type Addresses struct {
	Callers   string
	Readiness string
	Metrics   string
	Operators string
	Peers     string
}

// Addresses tells where the host listens, after Start. A port 0 in its file was
// replaced by the one that was picked.
func (r *Router) Addresses() Addresses {
	bound := r.bound
	bound.Peers = r.gossip.Address()
	return bound
}

// Start listens and begins to follow the store. It does not wait for the store:
// until its settings are there, the host is not ready.
func (r *Router) Start(context.Context) error {
	if r.config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(r.config.MemoryMB) * (1 << 20)))
	}
	if err := r.listen(); err != nil {
		return err
	}
	if err := r.gossip.Start(); err != nil {
		return err
	}
	go r.gossip.Run(r.done)
	go r.gossip.KeepRegistered(r.done, r.deployment.Registry)
	r.follow.run(r.done)
	go lifetime.Every(r.done, sweepInterval, rand.Float64, r.sweep)
	r.log.WithFields(logrus.Fields{
		"host": r.config.Name, "zone": r.config.Zone, "callers": r.bound.Callers, "readiness": r.bound.Readiness,
		"peers": r.gossip.Address(), "store": r.config.Platform.Address,
		"first_peers": r.config.FirstPeers, "memory_mb": r.config.MemoryMB,
	}).Info("started")
	return nil
}

// listen opens the listeners that the host's file names.
func (r *Router) listen() error {
	for _, l := range []struct {
		server  *http.Server
		address string
		what    string
		bound   *string
	}{
		{r.callers, r.config.Callers, "callers", &r.bound.Callers},
		{r.readiness, r.config.Readiness, "readiness", &r.bound.Readiness},
		{r.metrics, r.config.Metrics, "metrics", &r.bound.Metrics},
		{r.operators, r.config.Operators, "operators", &r.bound.Operators},
	} {
		var err error
		if *l.bound, err = r.listeners.Start(l.server, l.address, l.what); err != nil {
			return err
		}
	}
	return nil
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
	r.listeners.Close()
	r.client.Close()
}

// Endpoints counts the endpoints that take new work, as far as this host knows.
func (r *Router) Endpoints() int { return r.directory.CountServing() }
