// Package front is one host of oxbowslip-front: the daemon for a deployment whose settings
// and endpoints come from a store that it does not own, and whose calls are routed by host
// name and path. It wires the parts together (fx.go), starts them, reloads the host's file and
// stops as planned.
//
// The packages below it serve this program only: relay (callers), placement (which endpoint),
// upstream (connections to endpoints), directory (endpoints), follow (the store), gossip and
// peersync (other hosts). What is particular to one deployment
// comes in as a Deployment; package platform has the one of the users.
package front

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/clock"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/front/capacity"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/leader"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/ratelimit"
	"oxbowslip.dev/oxbowslip/internal/front/relay"
	"oxbowslip.dev/oxbowslip/internal/front/reporter"
	"oxbowslip.dev/oxbowslip/internal/front/scaler"
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

// Provider takes what the leader reports and orders.
type Provider interface {
	reporter.Provider
	scaler.Provider
}

// Deployment is what a host needs to know of where it runs.
type Deployment struct {
	Dialect relay.Dialect
	// Settings is followed for configurations, Endpoints for the endpoints.
	Settings  follow.Source[settings.Raw]
	Endpoints follow.Source[directory.Change]
	// Poison is where verdicts on requests are kept.
	Poison poison.Store
	// Registry is where hosts find each other's addresses.
	Registry gossip.Registry
	// Lease is where the lease of the leader is kept, Inventory what it follows to order endpoints, and Provider
	// whom it calls. They are not used where the host's file has no provider.
	Lease     leader.Store
	Inventory follow.Source[capacity.Change]
	Provider  Provider
	// Decode turns a configuration into a revision of the settings.
	Decode func(settings.Raw) (*settings.Revision, error)
	// ReadyPath is where the balancer asks whether the host takes requests.
	ReadyPath string
	// MetricsPath is where the metrics are.
	MetricsPath string
}

// The limits of the listeners. Callers on the users' platform stay far within them.
const (
	// idleTimeout is how long a caller's connection may rest.
	idleTimeout = time.Minute
	// headerTimeout is how long a caller may take to send a request's head.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the head of a request in memory.
	maxHeaderBytes = 64 << 10
)

const (
	// expireInterval is the mean time between two rounds in which old state is dropped: idle connections, old loads of
	// peers, holders of prefixes.
	expireInterval = time.Second
	// heapPart is the part of the host's memory that the Go heap may take; the rest is for
	// stacks, buffers of the kernel and the program itself. Hosts peaked at 8 to 22 MB of 134
	// and 284 on the users' sites, so the limit has not been reached.
	heapPart = 0.6
	// stopMargin is the time after the drain's limit for honest answers to what was cut.
	stopMargin = 300 * time.Millisecond
	// unregisterTimeout bounds one try to remove the host's address.
	unregisterTimeout = time.Second
	// maxIsolation is how long a host that reaches neither the store nor a peer trusts its settings. A cut host gets no
	// callers anyway, and one that only lost the store goes on with what peers send.
	maxIsolation = 30 * time.Second
)

// unregisterBackoff is the time between two tries to remove the host's address.
var unregisterBackoff = backoff.Doubling{First: 100 * time.Millisecond, Longest: time.Second}

// Host is one running host.
type Host struct {
	parts Parts
	log   *logrus.Entry

	callers   *http.Server
	readiness *http.Server
	metrics   *http.Server
	operators *http.Server
	listeners *listen.Group
	bound     Addresses
	leaving   atomic.Bool
	// lastContact is when the host last read the store or knew a peer. The times are monotonic: the
	// time of day may jump.
	lastContact atomic.Pointer[time.Time]
	done        chan struct{}
}

// Parts are what a host is made of.
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
	Freshness  *freshness.State
	Placer     *placement.Placer
	Owner      *owner.Owner
	Client     *upstream.Client
	Gossip     *gossip.Gossip
	Relay      *relay.Server
	Followers  *followers
	Poison     *poison.Detector
	Signals    *pushback.Tracker
	Rests      *pushback.Rests
	Rejections *pushback.Rejections
	Failures   *pushback.Failures
	Limits     *pushback.Limits
	Limiter    *ratelimit.Limiter
	Leadership *leading
	Clock      func() time.Time
	Steady     *clock.Clock
}

// New returns a host that has not started.
func New(p Parts) *Host {
	h := &Host{parts: p, log: logging.Part(p.Log, "host"), done: make(chan struct{})}
	h.listeners = listen.New(h.log)
	h.inContact()
	h.callers = &http.Server{
		Handler: lifetime.CloseConnectionsWhen(&h.leaving, p.Relay), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	h.readiness = &http.Server{Handler: h.readinessHandler(), ReadHeaderTimeout: headerTimeout}
	h.metrics = &http.Server{Handler: h.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	h.operators = operator.New(operator.Parts{
		Keys: p.Config.OperatorKeys, Counters: p.Counters, Explained: p.Explained, Recorded: p.Recorded, Settings: p.Settings,
		Changes: storeChanges{}, Tree: h.tree, Status: h.Status, LiftPoison: h.lift,
	}).HTTP()
	h.registerGauges()
	return h
}

func (h *Host) readinessHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(h.parts.Deployment.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if h.Problem() != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}

func (h *Host) metricsHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(h.parts.Deployment.MetricsPath, func(w http.ResponseWriter, _ *http.Request) { h.parts.Counters.Write(w) })
	return router
}

// Problem returns why the host does not take requests, or an empty text.
func (h *Host) Problem() string {
	switch {
	case h.leaving.Load():
		return "the host is leaving"
	case h.parts.Settings.Current() == nil:
		return "no settings yet"
	case h.parts.Directory.Revision() == 0:
		return "no endpoints yet"
	case h.parts.Clock().Sub(*h.lastContact.Load()) > maxIsolation:
		return "cut off from the store and from all peers: the settings may be old"
	}
	return ""
}

// expire drops old state, and notes whether the host is in contact with anyone.
func (h *Host) expire(context.Context) {
	h.parts.Steady.DetectSuspension()
	h.parts.Client.CloseExpired()
	h.parts.Placer.Expire()
	h.parts.Rests.Expire()
	h.parts.Rejections.Expire()
	h.parts.Failures.Expire()
	h.parts.Limits.Expire()
	h.parts.Limiter.Expire()
	if h.parts.Followers.read() || h.parts.Gossip.Hosts() > 1 {
		h.inContact()
	}
}

// inContact notes that the host is in contact with the store or a peer.
func (h *Host) inContact() {
	now := h.parts.Clock()
	h.lastContact.Store(&now)
}

// Addresses are where a host listens. One that it does not listen on is empty.
type Addresses struct {
	Callers   string
	Readiness string
	Metrics   string
	Operators string
	Peers     string
}

// Addresses returns where the host listens, after Start, with the ports that were picked for
// those that are 0 in its file.
func (h *Host) Addresses() Addresses {
	bound := h.bound
	bound.Peers = h.parts.Gossip.Address()
	return bound
}

// Start listens and begins to follow the store. It does not wait for the store: until there
// are settings and endpoints, the host is not ready.
func (h *Host) Start(context.Context) error {
	if h.parts.Config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(h.parts.Config.MemoryMB) * (1 << 20)))
	}
	if err := h.listen(); err != nil {
		return err
	}
	if err := h.parts.Gossip.Start(); err != nil {
		return err
	}
	go h.parts.Gossip.Run(h.done)
	go h.parts.Gossip.KeepRegistered(h.done, h.parts.Deployment.Registry)
	h.parts.Followers.run(h.done)
	go h.parts.Poison.Run(h.done)
	go h.parts.Signals.Run(h.done)
	go h.parts.Limiter.Run(h.done)
	h.parts.Leadership.run(h.done)
	go lifetime.Every(h.done, expireInterval, randomNumber, h.expire)
	h.log.WithFields(logrus.Fields{
		"host": h.parts.Config.Name, "zone": h.parts.Config.Zone, "callers": h.bound.Callers, "readiness": h.bound.Readiness,
		"peers": h.parts.Gossip.Address(), "store": h.parts.Config.Platform.Address,
		"first_peers": h.parts.Config.FirstPeers, "memory_mb": h.parts.Config.MemoryMB,
	}).Info("started")
	return nil
}

// listen opens the listeners that the host's file names.
func (h *Host) listen() error {
	for _, l := range []struct {
		server  *http.Server
		address string
		what    string
		bound   *string
	}{
		{h.callers, h.parts.Config.Callers, "callers", &h.bound.Callers},
		{h.readiness, h.parts.Config.Readiness, "readiness", &h.bound.Readiness},
		{h.metrics, h.parts.Config.Metrics, "metrics", &h.bound.Metrics},
		{h.operators, h.parts.Config.Operators, "operators", &h.bound.Operators},
	} {
		var err error
		if *l.bound, err = h.listeners.Start(l.server, l.address, l.what); err != nil {
			return err
		}
	}
	return nil
}

// Reload applies the host's file as it was read again. Only the addresses of first peers can
// change while the host runs.
func (h *Host) Reload(config hostconfig.Host) {
	h.parts.Gossip.AddContacts(config.FirstPeers)
	h.log.WithFields(logrus.Fields{"first_peers": config.FirstPeers, "store": config.Platform.Address}).Info("settings file read again")
}

// Stop ends the host as planned: readiness fails first; after the notice no connection is
// accepted, and what is in flight ends. Once the drain's limit has passed, the rest get an
// honest error. It blocks until then.
func (h *Host) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.parts.Config.Drain.Limit)
	defer cancel()
	h.leaving.Store(true)
	h.log.WithField("open", h.parts.Owner.OpenJobs()).Info("leaving")
	unregistered := make(chan struct{})
	go func() {
		defer close(unregistered)
		h.unregister(ctx)
	}()
	h.parts.Leadership.resign()
	// When ctx ends first, Finish cuts the rest at once.
	lifetime.Sleep(ctx, h.parts.Config.Drain.Notice)
	cut := lifetime.DrainServer(ctx, h.callers, h.parts.Owner.Drain, stopMargin)
	h.parts.Gossip.Leave()
	select {
	case <-unregistered:
	case <-time.After(stopMargin):
	}
	h.close()
	h.log.WithField("cut", cut).Info("stopped")
	return nil
}

// unregister removes this host's address from the registry, and tries again until ctx ends: the store may be away for a
// while, and a row that stays has every host that starts send to it for ten minutes.
func (h *Host) unregister(ctx context.Context) {
	for tries := 0; ; tries++ {
		err := h.unregisterOnce(ctx)
		if err == nil {
			return
		}
		if !lifetime.Sleep(ctx, backoff.Jitter(unregisterBackoff.Span(tries), 0.5, randomNumber())) {
			h.log.WithError(err).Warn("the host's address may stay registered")
			return
		}
	}
}

func (h *Host) unregisterOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, unregisterTimeout)
	defer cancel()
	return h.parts.Gossip.Unregister(ctx, h.parts.Deployment.Registry)
}

func (h *Host) close() {
	close(h.done)
	h.parts.Gossip.Close()
	h.listeners.Close()
	h.parts.Client.Close()
}

// EndpointCount returns the number of endpoints that take new work, as far as this host knows.
func (h *Host) EndpointCount() int { return h.parts.Directory.CountServing() }
