package front

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"storj.io/drpc"

	"oxbowslip.dev/oxbowslip/internal/bodies"
	"oxbowslip.dev/oxbowslip/internal/clock"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/front/copies"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/origin"
	"oxbowslip.dev/oxbowslip/internal/front/pace"
	"oxbowslip.dev/oxbowslip/internal/front/peersync"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
	"oxbowslip.dev/oxbowslip/internal/front/precedence"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/ratelimit"
	"oxbowslip.dev/oxbowslip/internal/front/relay"
	"oxbowslip.dev/oxbowslip/internal/front/shares"
	"oxbowslip.dev/oxbowslip/internal/front/silence"
	"oxbowslip.dev/oxbowslip/internal/front/slots"
	"oxbowslip.dev/oxbowslip/internal/front/tunnel"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/front/usage"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/retrybudget"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Options returns the fx options that construct a host and its components.
func Options(config hostconfig.Host, deployment Deployment, steady *clock.Clock, c *counters.Counters, log *logrus.Logger) fx.Option {
	return fx.Options(
		fx.Supply(config, deployment, steady, c, log),
		fx.Provide(
			func(c *clock.Clock) func() time.Time { return c.Now },
			func() func() float64 { return randomNumber },
			func() *lateParts { return new(lateParts) },
			newIntake,
			func(a *intake.Accounts) gossip.Network { return gossip.IPNetwork{Wrap: a.Peers.Wrap} },
			explain.New,
			record.New,
			settings.NewHolder,
			directory.New,
			newFreshness,
			newDirectDialer,
			newTunnelDialer,
			newTunnelServer,
			newUpstreamClient,
			newPlacer,
			newSettingsSink,
			newEndpointsSink,
			newGossip,
			newRetryBudget,
			newOwner,
			newPoisonDetector,
			newCopies,
			newPushbackTracker,
			pushback.NewRests,
			pushback.NewRejections,
			pushback.NewFailures,
			pushback.NewLimits,
			pushback.NewBrittle,
			newLender,
			newLimiter,
			newShares,
			newPrecedence,
			newPace,
			newSlots,
			newOrigins,
			silence.New,
			newRelay,
			newFollowers,
			newUsageClock,
			newMeter,
			newLeadership,
			New,
		),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(config.Drain.Limit+config.Drain.Notice+2*stopMargin),
		fx.Invoke(func(lifecycle fx.Lifecycle, h *Host) {
			lifecycle.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
		}),
	)
}

// randomNumber returns a random number in [0, 1).
func randomNumber() float64 { return rand.Float64() }

// lateParts holds components that others refer to before they are constructed, which breaks four cycles: gossip
// reports the state of placement, settings and endpoints, which notify gossip of changes; gossip determines whether this
// host reads the store, and reports to peers whether it does; placement asks for slots, which are granted by the
// loads that placement knows; and placement prefers endpoints to which the client has a connection, which reports lost
// paths to placement. The fields are set while the host is wired, before any component runs.
type lateParts struct {
	placer    atomic.Pointer[placement.Placer]
	gossip    atomic.Pointer[gossip.Gossip]
	sync      atomic.Pointer[peersync.Sync]
	followers atomic.Pointer[followers]
	client    atomic.Pointer[upstream.Client]
	origins   atomic.Pointer[origin.Registry]
}

// onRevisionChange requests an urgent heartbeat, so that peers receive a new revision without delay.
func (l *lateParts) onRevisionChange() {
	if g := l.gossip.Load(); g != nil {
		g.RequestUrgentHeartbeat()
	}
}

// requestConfirmation requests a confirmation to peers after the store has answered.
func (l *lateParts) requestConfirmation() {
	if g := l.gossip.Load(); g != nil {
		g.RequestConfirmation()
	}
}

// onLoadChange requests a heartbeat if this host's load differs enough from the load that peers last received.
func (l *lateParts) onLoadChange() {
	g, s := l.gossip.Load(), l.sync.Load()
	if g != nil && s != nil && s.WorthReporting() {
		g.RequestHeartbeat()
	}
}

// isReadingStore reports whether this host reads the store for its peers and gets answers.
func (l *lateParts) isReadingStore() bool {
	f := l.followers.Load()
	return f != nil && f.isReading()
}

const (
	// endpointIdleTimeout is how long an idle connection to an endpoint is kept if the endpoint states no keep-alive
	// timeout. The users' servers close idle connections after some seconds.
	endpointIdleTimeout = 3 * time.Second
)

func newDirectDialer() upstream.Dialer { return upstream.DirectDialer{} }

// tunnelParts are the dependencies of the dialer that connects through peers where this host's own path is lost.
type tunnelParts struct {
	fx.In

	Config hostconfig.Host
	Direct upstream.Dialer
	Late   *lateParts
	Log    *logrus.Logger
	Clock  func() time.Time
	Random func() float64
}

func newTunnelDialer(p tunnelParts) *tunnel.Dialer {
	return tunnel.New(tunnel.Parts{
		Direct: p.Direct, Peers: latePeers{p.Late}, Zone: p.Config.Zone,
		PathLost: func(endpoint string) { p.Late.placer.Load().RecordSuccess(endpoint) },
		Log:      logging.Part(p.Log, "endpoints"), Clock: p.Clock, Random: p.Random,
	})
}

func newTunnelServer(direct upstream.Dialer, dialer *tunnel.Dialer, d *directory.Directory, c *counters.Counters) *tunnel.Server {
	return tunnel.NewServer(tunnel.ServerParts{
		Direct: direct, HasLostPath: dialer.HasLostPath, Endpoint: d.Lookup,
		CountSent: func(bytes int) { c.CountPeerBytes(counters.PeerTunnels, bytes) },
	})
}

func newUpstreamClient(deployment Deployment, dialer *tunnel.Dialer, clock func() time.Time, late *lateParts) *upstream.Client {
	client := upstream.New(upstream.Config{AnswerID: deployment.Dialect.AnswerID, KeepIdle: endpointIdleTimeout, Dialer: dialer}, clock)
	late.client.Store(client)
	return client
}

// placerParts are the dependencies of the placer.
type placerParts struct {
	fx.In

	Config     hostconfig.Host
	Directory  *directory.Directory
	Rests      *pushback.Rests
	Rejections *pushback.Rejections
	Failures   *pushback.Failures
	Limiter    *ratelimit.Limiter
	Brittle    *pushback.Brittle
	Shares     *shares.Exchange
	Precedence *precedence.Exchange
	// Pace is nil unless the host's file selects it.
	Pace   *pace.Exchanger
	Slots  *slots.Client
	Log    *logrus.Logger
	Clock  func() time.Time
	Random func() float64
	Late   *lateParts
}

func newPlacer(p placerParts) *placement.Placer {
	parts := placement.Parts{
		Directory: p.Directory, Rests: p.Rests, Rejections: p.Rejections, Failures: p.Failures, Limiter: p.Limiter, Brittle: p.Brittle, Shares: p.Shares, Precedence: p.Precedence, Slots: p.Slots,
		Finish: p.Config.Overload.Finish, Log: logging.Part(p.Log, "endpoints"), Clock: p.Clock, Random: p.Random, Changed: p.Late.onLoadChange,
	}
	if p.Pace != nil {
		parts.Pace = p.Pace
	}
	parts.HasIdle = func(address string) bool {
		client := p.Late.client.Load()
		return client != nil && client.HasIdle(address)
	}
	placer := placement.New(parts)
	p.Late.placer.Store(placer)
	p.Directory.OnRestart(placer.ResetEndpoint)
	return placer
}

func newFreshness(holder *settings.Holder, d *directory.Directory, clock func() time.Time) *freshness.State {
	return freshness.New(freshness.Parts{
		Clock: clock,
		KnownRevision: func(topic freshness.Topic) uint64 {
			if topic == freshness.Settings {
				return holder.Number()
			}
			return d.Revision()
		},
		Newest: func(topic freshness.Topic) uint64 {
			if topic == freshness.Settings {
				return holder.Number()
			}
			return d.Changed()
		},
	})
}

// settingsSinkParts are the dependencies of the sink of settings.
type settingsSinkParts struct {
	fx.In

	Deployment Deployment
	Holder     *settings.Holder
	Freshness  *freshness.State
	Placer     *placement.Placer
	Counters   *counters.Counters
	Log        *logrus.Logger
	Late       *lateParts
}

func newSettingsSink(p settingsSinkParts) *peersync.Settings {
	return peersync.NewSettings(peersync.SettingsParts{
		Decode: p.Deployment.Decode, Holder: p.Holder, Counters: p.Counters, Log: logging.Part(p.Log, "settings"),
		InForce:     p.Placer.SetSettings,
		NotifyPeers: p.Late.onRevisionChange, ReadsStore: p.Late.isReadingStore,
		Age: func() time.Duration { return p.Freshness.Age(freshness.Settings) }, After: afterFunc,
	})
}

func newEndpointsSink(d *directory.Directory, log *logrus.Logger, l *lateParts) *peersync.Endpoints {
	return peersync.NewEndpoints(peersync.EndpointsParts{
		Directory: d, Log: logging.Part(log, "endpoints"), NotifyPeers: l.onRevisionChange, After: afterFunc,
	})
}

// afterFunc calls run after a delay. The timer can't be stopped; calls after the host has stopped do no harm.
func afterFunc(wait time.Duration, run func()) { time.AfterFunc(wait, run) }

// gossipParts are the dependencies of gossip and of the peersync.Sync that it notifies.
type gossipParts struct {
	fx.In

	Config     hostconfig.Host
	Placer     *placement.Placer
	Limiter    *ratelimit.Limiter
	Shares     *shares.Exchange
	Precedence *precedence.Exchange
	Pace       *pace.Exchanger
	Slots      *slots.Client
	Holder     *settings.Holder
	Directory  *directory.Directory
	Settings   *peersync.Settings
	Endpoints  *peersync.Endpoints
	Freshness  *freshness.State
	Network    gossip.Network
	Tunnels    *tunnel.Server
	Counters   *counters.Counters
	Log        *logrus.Logger
	Clock      func() time.Time
	Random     func() float64
	Late       *lateParts
}

func newGossip(p gossipParts) *gossip.Gossip {
	sync := peersync.New(peersync.Parts{
		Host: p.Config.Name, Zone: p.Config.Zone,
		Placer: p.Placer, Holder: p.Holder, Directory: p.Directory, Settings: p.Settings, Endpoints: p.Endpoints,
		Freshness: p.Freshness, ReadsStore: p.Late.isReadingStore, Log: logging.Part(p.Log, "endpoints"), Clock: p.Clock,
	})
	g := gossip.New(gossip.Parts{
		Config: gossip.Config{
			Name: p.Config.Name, Zone: p.Config.Zone, Address: p.Config.Peers, FirstPeers: p.Config.FirstPeers,
			Fleet: fleetID(p.Config), LinkMbit: uint32(p.Config.LinkMbit),
		},
		Host: sync, Network: p.Network, Log: logging.Part(p.Log, "peers"), Clock: p.Clock, Random: p.Random, CountSent: p.Counters.CountPeerBytes,
		CountRefused: p.Counters.CountPeerRefused,
	})
	g.Handle(envelope.KindPermitRequest, p.Limiter.HandleAsk)
	g.Handle(envelope.KindPermitReply, p.Limiter.HandleReply)
	if p.Shares != nil {
		g.Handle(envelope.KindShares, func(from envelope.Sender, body []byte) { p.Shares.HandleCounts(from.Host, body) })
	}
	if p.Precedence != nil {
		g.Handle(envelope.KindClassCounts, func(from envelope.Sender, body []byte) { p.Precedence.HandleCounts(from.Host, body) })
	}
	if p.Pace != nil {
		g.Handle(envelope.KindPace, p.Pace.HandleMessage)
	}
	if p.Slots != nil {
		g.Handle(envelope.KindSlotRequest, p.Slots.HandleRequest)
		g.Handle(envelope.KindSlotReply, p.Slots.HandleReply)
		g.Handle(envelope.KindSlotRelease, p.Slots.HandleRelease)
	}
	g.ServeStream(tunnel.RPC, p.Tunnels.Handle)
	p.Late.gossip.Store(g)
	p.Late.sync.Store(sync)
	return g
}

// fleetID returns the ID of a fleet, a hash of its name, or of its store's address if it has no name.
func fleetID(config hostconfig.Host) uint64 {
	return xxhash.Sum64String(cmp.Or(config.Fleet, config.Platform.Address))
}

func newRetryBudget(config hostconfig.Host, g *gossip.Gossip, log *logrus.Logger, clock func() time.Time) *retrybudget.Fleet {
	limits := retrybudget.Limits{Ratio: config.Retries.Ratio, Slack: config.Retries.Slack, Window: config.Retries.Window}
	place := func() retrybudget.Place {
		order := g.Order()
		withheld, missing := g.Withheld()
		return retrybudget.Place{Before: order.Before, Hosts: order.Hosts, Missing: missing, Withheld: withheld, IsKnown: g.KnowsFleet()}
	}
	retries := logging.Part(log, "retries")
	return retrybudget.NewFleet(limits, place, clock, func(u retrybudget.Usage) {
		retries.WithFields(logrus.Fields{
			"service": u.Service, "first_tries": u.FirstTries, "retries": u.Retries, "recent": u.Recent, "unsettled": u.Unsettled, "left": u.Left,
			"hosts": u.Hosts, "missing": u.Missing, "has_part": u.HasPart, "uptime_ms": u.Uptime.Milliseconds(),
		}).Warn("retry budget of the service is used up, calls are not sent again")
	})
}

// ownerParts are the dependencies of the owner.
type ownerParts struct {
	fx.In

	Config    hostconfig.Host
	Placer    *placement.Placer
	Directory *directory.Directory
	Rests     *pushback.Rests
	Budget    *retrybudget.Fleet
	Counters  *counters.Counters
	Explained *explain.Ring
	Log       *logrus.Logger
	Clock     func() time.Time
	Random    func() float64
}

func newOwner(p ownerParts) *owner.Owner {
	// A request that was granted before its endpoint reported that it leaves or rests must not be sent to it.
	takesWork := func(id string) (settings.Endpoint, bool) {
		endpoint, ok := p.Directory.Endpoint(id)
		return endpoint, ok && !p.Rests.IsResting(pushback.Instance{ID: id, Version: endpoint.Version})
	}
	return owner.New(owner.Parts{
		Host: p.Config.Name, Admitter: p.Placer, Endpoints: takesWork, Budget: p.Budget, Counters: p.Counters,
		Explained: p.Explained, Log: logging.Part(p.Log, "request"), Clock: p.Clock, Random: p.Random,
	})
}

// poisonDetectorParts are the dependencies of the detector of poison requests.
type poisonDetectorParts struct {
	fx.In

	Deployment Deployment
	Gossip     *gossip.Gossip
	Client     *upstream.Client
	Directory  *directory.Directory
	Freshness  *freshness.State
	Counters   *counters.Counters
	Log        *logrus.Logger
	Clock      func() time.Time
	Random     func() float64
}

// storeTimeOf returns the function that returns the time of the store's clock, or 0 while it is unknown.
func storeTimeOf(state *freshness.State, clock func() time.Time) func() freshness.StoreTime {
	return func() freshness.StoreTime {
		now, known := state.StoreTime(clock())
		if !known {
			return 0
		}
		return now
	}
}

// presenceIn returns the function that reports what a directory has of an endpoint at an address.
func presenceIn(d *directory.Directory) func(endpoint, address string) poison.Presence {
	return func(endpoint, address string) poison.Presence {
		if _, isKnown := d.Lookup(endpoint); isKnown {
			return poison.Listed
		}
		if d.HasAddress(address) {
			return poison.Replaced
		}
		return poison.Gone
	}
}

func newPoisonDetector(p poisonDetectorParts) *poison.Detector {
	detector := poison.New(poison.Parts{
		Peers: p.Gossip, Prober: p.Client, Store: p.Deployment.Poison, Version: p.Directory.VersionOfKey, Presence: presenceIn(p.Directory), StoreTime: storeTimeOf(p.Freshness, p.Clock), Era: p.Freshness.Era, Log: logging.Part(p.Log, "poison"), Clock: p.Clock, Random: p.Random, CountRefused: p.Counters.CountPeerRefused,
	})
	p.Gossip.Handle(envelope.KindPoison, detector.HandleReport)
	p.Gossip.Handle(envelope.KindPoisonTrials, detector.HandleTrials)
	p.Gossip.Handle(envelope.KindPoisonEnds, detector.HandleEnds)
	return detector
}

func newCopies(detector *poison.Detector, g *gossip.Gossip, c *counters.Counters, log *logrus.Logger, now func() time.Time, random func() float64) *copies.Gate {
	gate := copies.New(copies.Parts{Evidence: detector, Peers: g, CountRefused: c.CountPeerRefused, Log: logging.Part(log, "poison"), Clock: now, Random: random})
	g.Handle(envelope.KindCopyAsk, gate.HandleAsk)
	g.Handle(envelope.KindCopyReply, gate.HandleReply)
	g.Handle(envelope.KindCopyReturn, gate.HandleReturn)
	return gate
}

// pushbackTrackerParts are the dependencies of the tracker of pushback.
type pushbackTrackerParts struct {
	fx.In

	Directory  *directory.Directory
	Rests      *pushback.Rests
	Rejections *pushback.Rejections
	Failures   *pushback.Failures
	Limits     *pushback.Limits
	Brittle    *pushback.Brittle
	Poison     *poison.Detector
	Gossip     *gossip.Gossip
	Log        *logrus.Logger
	Clock      func() time.Time
	Random     func() float64
}

func newPushbackTracker(p pushbackTrackerParts) *pushback.Tracker {
	tracker := pushback.New(pushback.Parts{
		Directory: p.Directory, Rests: p.Rests, Rejections: p.Rejections, Failures: p.Failures, Limits: p.Limits, Brittle: p.Brittle, Peers: p.Gossip,
		Log: logging.Part(p.Log, "endpoints"), Clock: p.Clock, Random: p.Random,
	})
	p.Gossip.Handle(envelope.KindLeaving, func(from envelope.Sender, body []byte) { tracker.HandleLeaving(from.Host, body) })
	p.Gossip.Handle(envelope.KindRejections, func(from envelope.Sender, body []byte) { tracker.HandleRejections(from.Host, body) })
	p.Gossip.Handle(envelope.KindFailures, func(from envelope.Sender, body []byte) { tracker.HandleFailures(from.Host, body) })
	p.Gossip.Handle(envelope.KindLimits, func(from envelope.Sender, body []byte) { tracker.HandleLimits(from.Host, body) })
	p.Gossip.OnJoin(func(joined envelope.Sender) {
		tracker.HandleJoin(joined)
		p.Poison.HandleJoin(joined)
	})
	return tracker
}

// latePeers are the other hosts. It implements coordinator.Peers and the interfaces Peers of packages pace and shares, and
// is usable once the host is wired.
type latePeers struct{ *lateParts }

// Senders returns the live hosts, this host first.
func (l latePeers) Senders() []envelope.Sender { return l.gossip.Load().Senders() }

// IsSettled reports whether this host knows its peers.
func (l latePeers) IsSettled() bool { return l.gossip.Load().IsSettled() }

// Hosts returns the number of live hosts, this one included.
func (l latePeers) Hosts() int { return l.gossip.Load().Hosts() }

// Neighbors returns the peers with which this host shares what it observes of endpoints.
func (l latePeers) Neighbors() []envelope.Sender { return l.gossip.Load().Neighbors() }

// Broadcast sends a message to all peers.
func (l latePeers) Broadcast(kind envelope.Kind, message any) {
	l.gossip.Load().Broadcast(kind, message)
}

// SendTo sends a message to a host.
func (l latePeers) SendTo(host string, kind envelope.Kind, message any) {
	l.gossip.Load().SendTo(host, kind, message)
}

// Peers returns the live hosts without this one, as those that may connect to endpoints for it.
func (l latePeers) Peers() []tunnel.Peer {
	members := l.gossip.Load().Live()
	peers := make([]tunnel.Peer, 0, len(members))
	for i := range members {
		peers = append(peers, tunnel.Peer{Name: members[i].Name, Address: members[i].Address, Zone: members[i].Zone})
	}
	return peers
}

// OpenStream begins a call to the host at an address.
func (l latePeers) OpenStream(ctx context.Context, address, rpc string) (drpc.Stream, func(), error) {
	return l.gossip.Load().OpenStream(ctx, address, rpc)
}

func newLender(limits *pushback.Limits, clock func() time.Time, late *lateParts) *ratelimit.Lender {
	return ratelimit.NewLender(limits, clock, func() float64 {
		g := late.gossip.Load()
		withheld, _ := g.Withheld()
		return max(withheld, g.Side().UnseenShare())
	})
}

// limiterParts are the dependencies of the limiter, which enforces the limits of endpoints.
type limiterParts struct {
	fx.In

	Limits   *pushback.Limits
	Lender   *ratelimit.Lender
	Late     *lateParts
	Counters *counters.Counters
	Log      *logrus.Logger
	Clock    func() time.Time
	Random   func() float64
}

func newLimiter(p limiterParts) *ratelimit.Limiter {
	return ratelimit.New(ratelimit.Parts{
		Limits: p.Limits, Lender: p.Lender, Peers: latePeers{p.Late}, CountPermit: p.Counters.CountPermit,
		Log: logging.Part(p.Log, "limits"), Clock: p.Clock, Random: p.Random,
	})
}

// sharesParts are the dependencies of the exchange that keeps workspaces within their shares.
type sharesParts struct {
	fx.In

	Config hostconfig.Host
	Late   *lateParts
	Log    *logrus.Logger
	Clock  func() time.Time
	Random func() float64
}

// newShares returns nil unless the host's file selects shares.
func newShares(p sharesParts) *shares.Exchange {
	if !p.Config.Overload.Shares {
		return nil
	}
	return shares.New(shares.Parts{Peers: latePeers{p.Late}, Log: logging.Part(p.Log, "shares"), Clock: p.Clock, Random: p.Random})
}

// newPrecedence returns nil unless the host's file selects the rules on the ends of requests.
func newPrecedence(p sharesParts) *precedence.Exchange {
	if !p.Config.Overload.Finish {
		return nil
	}
	return precedence.New(precedence.Parts{Peers: latePeers{p.Late}, Log: logging.Part(p.Log, "shares"), Clock: p.Clock, Random: p.Random})
}

// paceParts are the dependencies of the exchanger of the endpoints' speed.
type paceParts struct {
	fx.In

	Config    hostconfig.Host
	Directory *directory.Directory
	Late      *lateParts
	Log       *logrus.Logger
	Clock     func() time.Time
	Random    func() float64
}

// newPace returns nil unless the host's file selects it.
func newPace(p paceParts) *pace.Exchanger {
	if !p.Config.Overload.Pace {
		return nil
	}
	return pace.New(pace.Parts{
		Peers: latePeers{p.Late}, Directory: p.Directory, Log: logging.Part(p.Log, "endpoints"), Clock: p.Clock, Random: p.Random,
	})
}

// slotsParts are the dependencies of the client for slots of busy plain services.
type slotsParts struct {
	fx.In

	Config   hostconfig.Host
	Late     *lateParts
	Counters *counters.Counters
	Log      *logrus.Logger
	Clock    func() time.Time
	Random   func() float64
}

// newSlots returns nil unless the host's file selects the queue for slots.
func newSlots(p slotsParts) *slots.Client {
	if !p.Config.Overload.Slots {
		return nil
	}
	endpoints := func(service string) []slots.Endpoint { return p.Late.placer.Load().SlotEndpoints(service) }
	return slots.New(slots.Parts{
		Coordinator: slots.NewCoordinator(endpoints), Peers: latePeers{p.Late}, Count: p.Counters.CountSlot,
		Log: logging.Part(p.Log, "slots"), Clock: p.Clock, Random: p.Random,
	})
}

// originsParts are the dependencies of the registry of the versions that began streams.
type originsParts struct {
	fx.In

	Deployment Deployment
	Directory  *directory.Directory
	Freshness  *freshness.State
	Gossip     *gossip.Gossip
	Late       *lateParts
	Counters   *counters.Counters
	Log        *logrus.Logger
	Clock      func() time.Time
	Random     func() float64
}

func newOrigins(p originsParts) *origin.Registry {
	registry := origin.New(origin.Parts{
		Peers: p.Gossip, Services: p.Directory.Services, Versions: p.Directory.Versions, PeerAge: p.Gossip.PeerAge,
		Store: p.Deployment.Origins, StoreTime: storeTimeOf(p.Freshness, p.Clock), Era: p.Freshness.Era,
		DirectoryAge: func() time.Duration { return p.Freshness.Age(freshness.Endpoints) },
		Count:        p.Counters.CountOrigin, Log: logging.Part(p.Log, "streams"), Clock: p.Clock, Random: p.Random,
	})
	p.Gossip.Handle(envelope.KindStreamOrigins, registry.HandleRecords)
	p.Gossip.Handle(envelope.KindStreamOriginQuestion, registry.HandleQuestion)
	p.Gossip.Handle(envelope.KindStreamOriginReply, registry.HandleReply)
	p.Late.origins.Store(registry)
	return registry
}

// intakeParts are the dependencies of the accounts of connections.
type intakeParts struct {
	fx.In

	Config   hostconfig.Host
	Holder   *settings.Holder
	Counters *counters.Counters
	Log      *logrus.Logger
	Clock    func() time.Time
}

// newIntake returns the accounts of the listeners. The limits of callers are those of the settings in force.
func newIntake(p intakeParts) *intake.Accounts {
	return intake.NewAccounts(intake.Parts{
		Memory: p.Config.MemoryBytes(), Descriptors: intake.Descriptors(p.Config.MaxDescriptors), ReadTime: p.Config.ReadTimeout, WriteTime: p.Config.WriteTimeout,
		CallerLimits: func() intake.Limits { return callerLimits(p.Holder.Current()) },
		CountClosed:  p.Counters.CountClosedConnection, Log: logging.Part(p.Log, "connections"), Clock: p.Clock,
	})
}

// callerLimits returns the limits of callers' connections in a revision of the settings, which is nil before the first.
func callerLimits(current *settings.Revision) intake.Limits {
	limits := intake.Limits{HeadBytes: defaultHeaderBytes, HeadTime: defaultHeaderTimeout, IdleTime: defaultIdleTimeout}
	if current == nil {
		return limits
	}
	set := &current.Tree.CallerLimits
	return intake.Limits{
		HeadBytes: cmp.Or(set.HeaderBytes, limits.HeadBytes), HeadTime: cmp.Or(set.HeaderTimeout, limits.HeadTime),
		IdleTime: cmp.Or(set.IdleTimeout, limits.IdleTime),
	}
}

// relayParts are the dependencies of the relay, which serves callers.
type relayParts struct {
	fx.In

	Config     hostconfig.Host
	Deployment Deployment
	Holder     *settings.Holder
	Freshness  *freshness.State
	Owner      *owner.Owner
	Client     *upstream.Client
	Placer     *placement.Placer
	Meter      *usage.Meter
	Poison     *poison.Detector
	Copies     *copies.Gate
	Signals    *pushback.Tracker
	Origins    *origin.Registry
	Silence    *silence.Tracker
	Directory  *directory.Directory
	Intake     *intake.Accounts
	Counters   *counters.Counters
	Log        *logrus.Logger
	Steady     *clock.Clock
	Random     func() float64
}

func newRelay(p relayParts) *relay.Server {
	return relay.New(relay.Parts{
		Host: p.Config.Name, Zone: p.Config.Zone, Settings: p.Holder, Freshness: p.Freshness, Owner: p.Owner, Client: p.Client, Health: p.Placer, Meter: p.Meter, Poison: p.Poison, Copies: p.Copies, Signals: p.Signals,
		Origins: p.Origins, Silence: p.Silence, SoftwareVersion: p.Directory.SoftwareVersion,
		Dialect: p.Deployment.Dialect, Counters: p.Counters, Log: logging.Part(p.Log, "request"), Clock: p.Steady, Random: p.Random,
		Timeouts: httprelay.Timeouts{Read: p.Config.ReadTimeout, Write: p.Config.WriteTimeout},
		// Requests and answers get half each.
		RequestBodies: bodies.New(p.Config.BodyBytes()/2, p.Intake.Callers.Charge), AnswerBodies: bodies.New(p.Config.BodyBytes()/2, p.Intake.Callers.Charge),
	})
}
