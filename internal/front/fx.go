package front

import (
	"cmp"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"oxbowslip.dev/oxbowslip/internal/clock"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/peersync"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/front/poison"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/ratelimit"
	"oxbowslip.dev/oxbowslip/internal/front/relay"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/front/usage"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/retrybudget"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Options returns the constructors of a host's parts for fx.
func Options(config hostconfig.Host, deployment Deployment, steady *clock.Clock, c *counters.Counters, log *logrus.Logger) fx.Option {
	return fx.Options(
		fx.Supply(config, deployment, steady, c, log),
		fx.Provide(
			func(c *clock.Clock) func() time.Time { return c.Now },
			func() func() float64 { return randomNumber },
			func() *late { return new(late) },
			func() gossip.Network { return gossip.IPNetwork{} },
			explain.New,
			record.New,
			settings.NewHolder,
			directory.New,
			newFreshness,
			newClient,
			newPlacer,
			newSettingsSink,
			newEndpointsSink,
			newGossip,
			newBudget,
			newOwner,
			newPoison,
			newPushback,
			pushback.NewRests,
			pushback.NewRejections,
			pushback.NewFailures,
			pushback.NewLimits,
			ratelimit.NewLender,
			newLimiter,
			newRelay,
			newFollowers,
			newUsageClock,
			newMeter,
			newLeading,
			New,
		),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(config.Drain.Limit+config.Drain.Notice+2*stopMargin),
		fx.Invoke(func(lifecycle fx.Lifecycle, h *Host) {
			lifecycle.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
		}),
	)
}

// randomNumber returns a number from 0 up to 1.
func randomNumber() float64 { return rand.Float64() }

// late holds the parts that others need before they can be made: gossip reports the state of
// placement, settings and endpoints, which notify it when that has changed; and whether this
// host reads the store depends on gossip, which reports it to peers. They are set while the host
// is wired, before anything runs.
type late struct {
	gossip    atomic.Pointer[gossip.Gossip]
	sync      atomic.Pointer[peersync.Sync]
	followers atomic.Pointer[followers]
}

// revisionChanged lets gossip know that peers should have a newer revision at once.
func (l *late) revisionChanged() {
	if g := l.gossip.Load(); g != nil {
		g.RequestUrgentHeartbeat()
	}
}

// confirm lets gossip know that the store has answered.
func (l *late) confirm() {
	if g := l.gossip.Load(); g != nil {
		g.RequestConfirmation()
	}
}

// loadChanged lets gossip know of loads that differ much from what peers know.
func (l *late) loadChanged() {
	g, s := l.gossip.Load(), l.sync.Load()
	if g != nil && s != nil && s.WorthReporting() {
		g.RequestHeartbeat()
	}
}

// readsStore reports whether this host reads the store for others and gets answers.
func (l *late) readsStore() bool {
	f := l.followers.Load()
	return f != nil && f.read()
}

const (
	// keepIdle is how long a connection to an endpoint rests if the endpoint does not say. The users' servers close
	// idle connections after some seconds.
	keepIdle = 3 * time.Second
	// deadPeer is how long an endpoint's machine may leave sent bytes unacknowledged: a machine without power or behind
	// a cut resets nothing. The shortest target of a call on the users' sites is 150 ms, the shortest deadline a
	// second.
	deadPeer = time.Second
)

func newClient(deployment Deployment, clock func() time.Time) *upstream.Client {
	return upstream.New(upstream.Config{AnswerID: deployment.Dialect.AnswerID, KeepIdle: keepIdle, DeadPeer: deadPeer}, clock)
}

// placerParts are what places requests is made of.
type placerParts struct {
	fx.In

	Directory  *directory.Directory
	Rests      *pushback.Rests
	Rejections *pushback.Rejections
	Failures   *pushback.Failures
	Limiter    *ratelimit.Limiter
	Log        *logrus.Logger
	Clock      func() time.Time
	Random     func() float64
	Late       *late
}

func newPlacer(p placerParts) *placement.Placer {
	placer := placement.New(p.Directory, p.Rests, p.Rejections, p.Failures, p.Limiter, logging.Part(p.Log, "endpoints"), p.Clock, p.Random, p.Late.loadChanged)
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

// settingsParts are what the sink of the settings is made of.
type settingsParts struct {
	fx.In

	Deployment Deployment
	Holder     *settings.Holder
	Freshness  *freshness.State
	Placer     *placement.Placer
	Counters   *counters.Counters
	Log        *logrus.Logger
	Late       *late
}

func newSettingsSink(p settingsParts) *peersync.Settings {
	return peersync.NewSettings(peersync.SettingsParts{
		Decode: p.Deployment.Decode, Holder: p.Holder, Counters: p.Counters, Log: logging.Part(p.Log, "settings"),
		InForce:     p.Placer.SetSettings,
		NotifyPeers: p.Late.revisionChanged, ReadsStore: p.Late.readsStore,
		Age: func() time.Duration { return p.Freshness.Age(freshness.Settings) }, After: afterFunc,
	})
}

func newEndpointsSink(d *directory.Directory, log *logrus.Logger, l *late) *peersync.Endpoints {
	return peersync.NewEndpoints(peersync.EndpointsParts{
		Directory: d, Log: logging.Part(log, "endpoints"), NotifyPeers: l.revisionChanged, After: afterFunc,
	})
}

// afterFunc runs a function after a time. It can't be stopped: what runs is harmless once the
// host has ended.
func afterFunc(wait time.Duration, run func()) { time.AfterFunc(wait, run) }

// gossipParts are what gossip and its host are made of.
type gossipParts struct {
	fx.In

	Config    hostconfig.Host
	Placer    *placement.Placer
	Limiter   *ratelimit.Limiter
	Holder    *settings.Holder
	Directory *directory.Directory
	Settings  *peersync.Settings
	Endpoints *peersync.Endpoints
	Freshness *freshness.State
	Network   gossip.Network
	Counters  *counters.Counters
	Log       *logrus.Logger
	Clock     func() time.Time
	Random    func() float64
	Late      *late
}

func newGossip(p gossipParts) *gossip.Gossip {
	sync := peersync.New(peersync.Parts{
		Host: p.Config.Name, Zone: p.Config.Zone,
		Placer: p.Placer, Holder: p.Holder, Directory: p.Directory, Settings: p.Settings, Endpoints: p.Endpoints,
		Freshness: p.Freshness, ReadsStore: p.Late.readsStore, Log: logging.Part(p.Log, "endpoints"), Clock: p.Clock,
	})
	g := gossip.New(gossip.Parts{
		Config: gossip.Config{
			Name: p.Config.Name, Zone: p.Config.Zone, Address: p.Config.Peers, FirstPeers: p.Config.FirstPeers,
			Fleet: fleetOf(p.Config),
		},
		Host: sync, Network: p.Network, Log: logging.Part(p.Log, "peers"), Clock: p.Clock, Random: p.Random, CountSent: p.Counters.CountPeerBytes,
	})
	g.Handle(envelope.KindPermitRequest, p.Limiter.HandleAsk)
	g.Handle(envelope.KindPermitReply, p.Limiter.HandleReply)
	p.Late.gossip.Store(g)
	p.Late.sync.Store(sync)
	return g
}

// fleetOf returns what distinguishes a fleet from others: its name, or where its settings come from.
func fleetOf(config hostconfig.Host) uint64 {
	return xxhash.Sum64String(cmp.Or(config.Fleet, config.Platform.Address))
}

func newBudget(config hostconfig.Host, g *gossip.Gossip, clock func() time.Time) *retrybudget.Fleet {
	limits := retrybudget.Limits{Ratio: config.Retries.Ratio, Slack: config.Retries.Slack, Window: config.Retries.Window}
	return retrybudget.NewFleet(limits, g.Hosts, clock)
}

// ownerParts are what the owner is made of.
type ownerParts struct {
	fx.In

	Config    hostconfig.Host
	Placer    *placement.Placer
	Directory *directory.Directory
	Rests     *pushback.Rests
	Budget    *retrybudget.Fleet
	Counters  *counters.Counters
	Explained *explain.Ring
	Clock     func() time.Time
	Random    func() float64
}

func newOwner(p ownerParts) *owner.Owner {
	// An endpoint that leaves or rests must not be sent what was granted before it said so.
	takesWork := func(id string) (settings.Endpoint, bool) {
		endpoint, ok := p.Directory.Endpoint(id)
		return endpoint, ok && !p.Rests.IsResting(pushback.Instance{ID: id, Version: endpoint.Version})
	}
	return owner.New(owner.Parts{
		Host: p.Config.Name, Admitter: p.Placer, Endpoints: takesWork, Budget: p.Budget, Counters: p.Counters,
		Explained: p.Explained, Clock: p.Clock, Random: p.Random,
	})
}

// poisonParts are what finds poison requests is made of.
type poisonParts struct {
	fx.In

	Deployment Deployment
	Gossip     *gossip.Gossip
	Client     *upstream.Client
	Freshness  *freshness.State
	Log        *logrus.Logger
	Clock      func() time.Time
	Random     func() float64
}

func newPoison(p poisonParts) *poison.Detector {
	storeTime := func() freshness.StoreTime {
		now, known := p.Freshness.StoreTime(p.Clock())
		if !known {
			return 0
		}
		return now
	}
	detector := poison.New(poison.Parts{
		Peers: p.Gossip, Prober: p.Client, Store: p.Deployment.Poison, StoreTime: storeTime, Era: p.Freshness.Era, Log: logging.Part(p.Log, "poison"), Clock: p.Clock, Random: p.Random,
	})
	p.Gossip.Handle(envelope.KindPoison, detector.HandleReport)
	return detector
}

// pushbackParts are what takes what endpoints say of themselves is made of.
type pushbackParts struct {
	fx.In

	Directory  *directory.Directory
	Rests      *pushback.Rests
	Rejections *pushback.Rejections
	Failures   *pushback.Failures
	Limits     *pushback.Limits
	Gossip     *gossip.Gossip
	Log        *logrus.Logger
	Clock      func() time.Time
	Random     func() float64
}

func newPushback(p pushbackParts) *pushback.Tracker {
	tracker := pushback.New(pushback.Parts{
		Directory: p.Directory, Rests: p.Rests, Rejections: p.Rejections, Failures: p.Failures, Limits: p.Limits, Peers: p.Gossip,
		Log: logging.Part(p.Log, "endpoints"), Clock: p.Clock, Random: p.Random,
	})
	p.Gossip.Handle(envelope.KindLeaving, func(from envelope.Sender, body []byte) { tracker.HandleLeaving(from.Host, body) })
	p.Gossip.Handle(envelope.KindRejections, func(from envelope.Sender, body []byte) { tracker.HandleRejections(from.Host, body) })
	p.Gossip.Handle(envelope.KindFailures, func(from envelope.Sender, body []byte) { tracker.HandleFailures(from.Host, body) })
	p.Gossip.Handle(envelope.KindLimits, func(from envelope.Sender, body []byte) { tracker.HandleLimits(from.Host, body) })
	p.Gossip.OnJoin(tracker.HandleJoin)
	return tracker
}

// latePeers are the hosts that lend permits. They are known once the host is wired.
type latePeers struct{ *late }

// Senders returns the live hosts, this one first.
func (l latePeers) Senders() []envelope.Sender { return l.gossip.Load().Senders() }

// IsSettled reports whether this host knows its peers.
func (l latePeers) IsSettled() bool { return l.gossip.Load().IsSettled() }

// SendTo sends a message to a host.
func (l latePeers) SendTo(host string, kind envelope.Kind, message any) {
	l.gossip.Load().SendTo(host, kind, message)
}

// limiterParts are what keeps to the limits of endpoints is made of.
type limiterParts struct {
	fx.In

	Limits   *pushback.Limits
	Lender   *ratelimit.Lender
	Late     *late
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

// relayParts are what the callers' server is made of.
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
	Signals    *pushback.Tracker
	Counters   *counters.Counters
	Log        *logrus.Logger
	Steady     *clock.Clock
	Random     func() float64
}

func newRelay(p relayParts) *relay.Server {
	return relay.New(relay.Parts{
		Host: p.Config.Name, Zone: p.Config.Zone, Settings: p.Holder, Freshness: p.Freshness, Owner: p.Owner, Client: p.Client, Health: p.Placer, Meter: p.Meter, Poison: p.Poison, Signals: p.Signals,
		Dialect: p.Deployment.Dialect, Counters: p.Counters, Log: logging.Part(p.Log, "request"), Clock: p.Steady, Random: p.Random,
		Timeouts: httprelay.Timeouts{Read: p.Config.ReadTimeout, Write: p.Config.WriteTimeout},
	})
}
