// Package front runs one host of oxbowslip-front, the daemon for a deployment whose settings and endpoints come from a
// store that the daemon does not own, and whose requests are routed by host name and path. The package wires the
// components together (fx.go), starts them, reloads the host's settings file and stops the host gracefully.
//
// The packages below it serve this program only: relay (callers), placement (choice of endpoints), upstream (connections
// to endpoints), directory (registry of endpoints), follow (reading the store), gossip and peersync (other hosts). A
// Deployment provides all that is specific to a deployment; package platform implements it for the users' platform.
package front

import (
	"context"
	"net"
	"net/http"
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
	"oxbowslip.dev/oxbowslip/internal/front/copies"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/leader"
	"oxbowslip.dev/oxbowslip/internal/front/origin"
	"oxbowslip.dev/oxbowslip/internal/front/pace"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
	"oxbowslip.dev/oxbowslip/internal/front/precedence"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/ratelimit"
	"oxbowslip.dev/oxbowslip/internal/front/relay"
	"oxbowslip.dev/oxbowslip/internal/front/reporter"
	"oxbowslip.dev/oxbowslip/internal/front/scaler"
	"oxbowslip.dev/oxbowslip/internal/front/shares"
	"oxbowslip.dev/oxbowslip/internal/front/silence"
	"oxbowslip.dev/oxbowslip/internal/front/slots"
	"oxbowslip.dev/oxbowslip/internal/front/tunnel"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/listen"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/retrybudget"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Provider is the provider of cloud machines, to which the leader reports usage and sends orders.
type Provider interface {
	reporter.Provider
	scaler.Provider
}

// Deployment connects a host to the platform that it runs on.
type Deployment struct {
	Dialect relay.Dialect
	// Settings and Endpoints are the sources that the host follows for settings and for endpoints.
	Settings  follow.Source[settings.Raw]
	Endpoints follow.Source[directory.Change]
	// Origins stores the software versions that began streams.
	Origins origin.Store
	// Poison stores the verdicts on poison requests.
	Poison poison.Store
	// Registry stores the addresses at which hosts reach each other.
	Registry gossip.Registry
	// Lease stores the leader's lease, Inventory is the source that the leader follows to order endpoints, and Provider
	// handles its calls. They are unused if the host's settings file names no provider.
	Lease     leader.Store
	Inventory follow.Source[capacity.Change]
	Provider  Provider
	// Decode decodes a configuration into a revision of the settings.
	Decode func(settings.Raw) (*settings.Revision, error)
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
	// MetricsPath is the path at which metrics are served.
	MetricsPath string
}

// The limits of callers' connections where the settings say nothing else.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
)

const (
	// expireInterval is the mean time between two removals of expired state: idle connections, outdated loads of peers,
	// holders of prefixes.
	expireInterval = time.Second
	// stopMargin is the time left after the drain's limit to answer the callers of aborted requests.
	stopMargin = 300 * time.Millisecond
	// unregisterTimeout bounds one attempt to remove the host's address from the registry.
	unregisterTimeout = time.Second
	// maxIsolation is how long a host that reaches neither the store nor a peer trusts its settings. An isolated host
	// gets no requests anyway, and a host that lost only the store receives updates from its peers.
	maxIsolation = 30 * time.Second
)

// unregisterBackoff is the back-off between two attempts to remove the host's address.
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
	overload  *listen.Overload
	bound     Addresses
	leaving   atomic.Bool
	// lastContact is when the host was last in contact with the store or a peer. It is a monotonic time, since the time
	// of day may jump.
	lastContact atomic.Pointer[time.Time]
	done        chan struct{}
}

// Parts are the dependencies of a Host.
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
	Paths      *tunnel.Dialer
	Tunnels    *tunnel.Server
	Gossip     *gossip.Gossip
	Relay      *relay.Server
	Followers  *followers
	Poison     *poison.Detector
	Copies     *copies.Gate
	Signals    *pushback.Tracker
	Rests      *pushback.Rests
	Rejections *pushback.Rejections
	Failures   *pushback.Failures
	Limits     *pushback.Limits
	Brittle    *pushback.Brittle
	Limiter    *ratelimit.Limiter
	Shares     *shares.Exchange
	Precedence *precedence.Exchange
	// Pace is nil unless the host's file selects it.
	Pace *pace.Exchanger
	// Slots is nil if the host's file does not select the queue for slots.
	Slots      *slots.Client
	Origins    *origin.Registry
	Silence    *silence.Tracker
	Retries    *retrybudget.Fleet
	Leadership *leadership
	Intake     *intake.Accounts
	Clock      func() time.Time
	Steady     *clock.Clock
}

// New returns a host that is not started.
func New(p Parts) *Host {
	h := &Host{parts: p, log: logging.Part(p.Log, "host"), done: make(chan struct{})}
	h.listeners = listen.New(h.log)
	h.overload = listen.NewOverload(h.log)
	h.recordContact()
	// The accounts of connections bound their times and heads, by the settings in force.
	h.callers = &http.Server{Handler: lifetime.CloseConnectionsWhen(&h.leaving, p.Relay)}
	h.readiness = &http.Server{Handler: h.readinessHandler()}
	h.metrics = &http.Server{Handler: h.metricsHandler()}
	h.operators = operator.New(operator.Parts{
		Keys: p.Config.OperatorKeys, Counters: p.Counters, Explained: p.Explained, Recorded: p.Recorded, Settings: p.Settings,
		Changes: storeChanges{}, Tree: h.tree, Status: h.Status, LiftPoison: h.liftVerdict,
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

// Problem returns the reason why the host does not accept requests, or an empty string.
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

// expire removes expired state and records whether the host is in contact with the store or a peer.
func (h *Host) expire(context.Context) {
	h.parts.Steady.DetectSuspension()
	h.parts.Client.CloseExpired()
	h.parts.Paths.Expire()
	h.parts.Placer.Expire()
	h.parts.Rests.Expire()
	h.parts.Rejections.Expire()
	h.parts.Failures.Expire()
	h.parts.Limits.Expire()
	h.parts.Brittle.Expire()
	h.parts.Limiter.Expire()
	h.parts.Origins.Expire()
	h.parts.Copies.Expire()
	h.parts.Silence.Expire()
	h.parts.Retries.Update()
	h.parts.Intake.Expire()
	if h.parts.Shares != nil {
		h.parts.Shares.Expire()
	}
	if h.parts.Precedence != nil {
		h.parts.Precedence.Expire()
	}
	if h.parts.Slots != nil {
		h.parts.Slots.Expire()
	}
	if h.parts.Followers.isReading() || h.parts.Gossip.Hosts() > 1 {
		h.recordContact()
	}
}

// recordContact records that the host is in contact with the store or a peer.
func (h *Host) recordContact() {
	now := h.parts.Clock()
	h.lastContact.Store(&now)
}

// Addresses are the addresses of a host's listeners. The address of a listener that is not open is empty.
type Addresses struct {
	Callers   string
	Readiness string
	Metrics   string
	Operators string
	Peers     string
}

// Addresses returns the addresses of the host's listeners after Start. A port that is 0 in the settings file is
// replaced by the chosen port.
func (h *Host) Addresses() Addresses {
	bound := h.bound
	bound.Peers = h.parts.Gossip.Address()
	return bound
}

// Start opens the listeners and starts to follow the store. It does not wait for the store: the host is not ready until
// it has settings and endpoints.
func (h *Host) Start(context.Context) error {
	lifetime.LimitHeap(h.parts.Config.MemoryBytes())
	if err := h.listen(); err != nil {
		return err
	}
	if err := h.parts.Gossip.Start(); err != nil {
		return err
	}
	go h.parts.Gossip.Run(h.done)
	go h.parts.Gossip.KeepRegistered(h.done, h.parts.Deployment.Registry)
	h.parts.Followers.start(h.done)
	go h.overload.Run(h.done)
	go h.parts.Poison.Run(h.done)
	go h.parts.Signals.Run(h.done)
	go h.parts.Limiter.Run(h.done)
	go h.parts.Origins.Run(h.done)
	if h.parts.Shares != nil {
		go h.parts.Shares.Run(h.done)
	}
	if h.parts.Precedence != nil {
		go h.parts.Precedence.Run(h.done)
	}
	if h.parts.Pace != nil {
		go h.parts.Pace.Run(h.done)
	}
	if h.parts.Slots != nil {
		go h.parts.Slots.Run(h.done)
	}
	h.parts.Leadership.start(h.done)
	go lifetime.Every(h.done, expireInterval, randomNumber, h.expire)
	h.log.WithFields(logrus.Fields{
		"host": h.parts.Config.Name, "zone": h.parts.Config.Zone, "callers": h.bound.Callers, "readiness": h.bound.Readiness,
		"peers": h.parts.Gossip.Address(), "store": h.parts.Config.Platform.Address,
		"first_peers": h.parts.Config.FirstPeers, "memory_mb": h.parts.Config.MemoryMB,
	}).Info("started")
	return nil
}

// listen opens the listeners that the host's settings file names.
func (h *Host) listen() error {
	accounts := h.parts.Intake
	for _, l := range []struct {
		server  *http.Server
		address string
		account *intake.Account
		bound   *string
		wrap    func(net.Listener) net.Listener
	}{
		{h.callers, h.parts.Config.Callers, accounts.Callers, &h.bound.Callers, h.overload.Wrap},
		{h.readiness, h.parts.Config.Readiness, accounts.Readiness, &h.bound.Readiness, listen.Unchanged},
		{h.metrics, h.parts.Config.Metrics, accounts.Metrics, &h.bound.Metrics, listen.Unchanged},
		{h.operators, h.parts.Config.Operators, accounts.Operators, &h.bound.Operators, listen.Unchanged},
	} {
		var err error
		if *l.bound, err = h.listeners.StartWrapped(l.server, l.address, l.account, l.wrap); err != nil {
			return err
		}
	}
	return nil
}

// Reload applies a new version of the host's settings file. Only the addresses of the first peers can change while the
// host runs.
func (h *Host) Reload(config hostconfig.Host) {
	h.parts.Gossip.AddContacts(config.FirstPeers)
	h.log.WithFields(logrus.Fields{"first_peers": config.FirstPeers, "store": config.Platform.Address}).Info("settings file read again")
}

// Stop stops the host gracefully and blocks until that is done. Readiness fails first. After the notice the host
// accepts no connections and finishes the requests in flight. Requests that are still in flight at the drain's limit
// are aborted and answered with an error.
func (h *Host) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.parts.Config.Drain.Limit)
	defer cancel()
	h.leaving.Store(true)
	h.log.WithField("open", h.parts.Owner.OpenJobs()).Info("the host drains before it stops")
	unregistered := make(chan struct{})
	go func() {
		defer close(unregistered)
		h.unregister(ctx)
	}()
	h.parts.Leadership.resign()
	h.parts.Tunnels.Leave()
	// If ctx ends during the notice, DrainServer aborts the requests in flight immediately.
	lifetime.Sleep(ctx, h.parts.Config.Drain.Notice)
	cut := lifetime.DrainServer(ctx, h.callers, h.parts.Owner.Drain, stopMargin)
	cutTunnels := h.parts.Tunnels.Drain(ctx)
	h.parts.Origins.Flush()
	h.parts.Gossip.Leave()
	select {
	case <-unregistered:
	case <-time.After(stopMargin):
	}
	h.close()
	h.log.WithFields(logrus.Fields{"cut": cut, "tunnels_cut": cutTunnels}).Info("the host has stopped")
	return nil
}

// unregister removes this host's address from the registry and retries until ctx ends, since the store may be
// unavailable for a while. If the row stays, every host that starts sends to the address for ten minutes.
func (h *Host) unregister(ctx context.Context) {
	for tries := 0; ; tries++ {
		err := h.unregisterOnce(ctx)
		if err == nil {
			return
		}
		if !lifetime.Sleep(ctx, backoff.Jitter(unregisterBackoff.Span(tries), 0.5, randomNumber())) {
			h.log.WithError(err).Warn("the host's address was not removed from the registry before the drain's limit, it may stay registered")
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

// EndpointCount returns the number of endpoints in the directory that take new requests.
func (h *Host) EndpointCount() int { return h.parts.Directory.CountServing() }
