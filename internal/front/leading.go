package front

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"oxbowslip.dev/oxbowslip/internal/clock"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/capacity"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/leader"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/front/reporter"
	"oxbowslip.dev/oxbowslip/internal/front/scaler"
	"oxbowslip.dev/oxbowslip/internal/front/usage"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// leadership is this host's part in the election of a leader, and the tasks that it runs for the fleet while it leads.
// It is nil if no provider is configured.
type leadership struct {
	leader   *leader.Leader
	reporter *reporter.Reporter
	// inventory keeps the scaler's inventory in sync with the store while this host leads.
	inventory *follow.Follower[capacity.Change]
}

// leadershipParts are the dependencies of leadership.
type leadershipParts struct {
	fx.In

	Config     hostconfig.Host
	Deployment Deployment
	Gossip     *gossip.Gossip
	Settings   *settings.Holder
	Placer     *placement.Placer
	Directory  *directory.Directory
	Counters   *counters.Counters
	Freshness  *freshness.State
	Usage      *usage.Clock
	Meter      *usage.Meter
	Log        *logrus.Logger
	Clock      func() time.Time
	Random     func() float64
}

func newUsageClock(config hostconfig.Host, state *freshness.State, steady *clock.Clock) *usage.Clock {
	return usage.NewClock(config.Provider.UsageWindow, state.StoreTime, steady.TimeOfDay)
}

// newMeter returns the meter that counts this host's requests, or nil if usage is not reported.
func newMeter(config hostconfig.Host, clock *usage.Clock) *usage.Meter {
	if !config.Provider.HasTask(hostconfig.TaskUsage) {
		return nil
	}
	return usage.NewMeter(clock)
}

func newLeadership(p leadershipParts) *leadership {
	provider := &p.Config.Provider
	if provider.Address == "" {
		return nil
	}
	l := new(leadership)
	parts := leader.Parts{
		Host: p.Config.Name, Start: p.Clock().UnixNano(), Duration: provider.Lease, Store: p.Deployment.Lease, Peers: leaderPeers{p.Gossip},
		Log: logging.Part(p.Log, "leader"), Clock: p.Clock, Random: p.Random, StoreTime: p.Freshness.StoreTime,
		OnAnnouncement: func(leader.Announcement) {},
	}
	if provider.HasTask(hostconfig.TaskUsage) {
		l.reporter = reporter.New(reporter.Parts{
			Meter: p.Meter, UsageClock: p.Usage, DueAfter: provider.UsageDue, Provider: p.Deployment.Provider, Peers: p.Gossip,
			Leader: func() string { return l.leader.Holder() }, Log: logging.Part(p.Log, "usage"), Clock: p.Clock, Random: p.Random,
		})
		parts.Tasks = append(parts.Tasks, l.reporter)
		parts.OnAnnouncement = l.reporter.HandleAnnouncement
		p.Gossip.Handle(envelope.KindUsage, l.reporter.HandleCounts)
		p.Gossip.Handle(envelope.KindFixedReports, l.reporter.HandleFixedReports)
		p.Gossip.Handle(envelope.KindFixedReportsRequest, l.reporter.HandleFixedReportsRequest)
	}
	if provider.HasTask(hostconfig.TaskAutoscale) {
		inventory := capacity.NewInventory(p.Directory.IsLeaving)
		l.inventory = p.followInventory(inventory, l)
		parts.Tasks = append(parts.Tasks, scaler.New(scaler.Parts{
			Inventory: inventory, Settings: p.Settings, Provider: p.Deployment.Provider, Load: p.Placer.Load,
			FirstPart: provider.FirstPart, Log: logging.Part(p.Log, "capacity"), Clock: p.Clock,
		}))
	}
	l.leader = leader.New(parts)
	p.Gossip.Handle(envelope.KindLeader, l.handleAnnouncement(logging.Part(p.Log, "leader")))
	return l
}

// maxInventoryHold bounds the time for which the store holds a call that waits for changes of the inventory.
const maxInventoryHold = 2 * time.Second

// followInventory returns a follower that keeps an inventory in sync with the store while this host leads.
func (p *leadershipParts) followInventory(inventory *capacity.Inventory, l *leadership) *follow.Follower[capacity.Change] {
	return follow.New(follow.Parts[capacity.Change]{
		Source: p.Deployment.Inventory, Sink: inventory, Log: logging.Part(p.Log, "capacity"), Clock: p.Clock, Random: p.Random,
		Duty: func() follow.Duty {
			leads := l.leader.Leads()
			return follow.Duty{Call: leads, Reads: leads, Hold: maxInventoryHold}
		},
		Position: inventory.Revision, CountCall: p.Counters.CountStoreCall, OnAnswer: func(freshness.Answer) {},
	})
}

// handleAnnouncement returns the handler of peers' announcements.
func (l *leadership) handleAnnouncement(log *logrus.Entry) envelope.Handler {
	return func(from envelope.Sender, body []byte) {
		var a leader.Announcement
		if err := cbor.Unmarshal(body, &a); err != nil {
			log.WithError(err).WithField("peer", from.Host).Warn("a peer's announcement can't be decoded and is ignored")
			return
		}
		l.leader.HandleAnnouncement(from.Host, a)
	}
}

// start starts the election and the leader's tasks, which stop when done is closed.
func (l *leadership) start(done <-chan struct{}) {
	if l == nil {
		return
	}
	go l.leader.Run(done)
	if l.reporter != nil {
		go l.reporter.Run(done)
	}
	if l.inventory != nil {
		go l.inventory.Run(done)
	}
}

// state returns the leader's state as this host knows it.
func (l *leadership) state() *operator.Leader {
	if l == nil {
		return nil
	}
	s := l.leader.State()
	return &operator.Leader{Host: s.Holder, Token: s.Token, Left: s.Left, Reported: s.Reported, Leads: s.Leads}
}

// isLeader reports whether this host is the leader.
func (l *leadership) isLeader() bool { return l != nil && l.leader.Leads() }

// resign ends the leadership of this host for good, so that another host can lead.
func (l *leadership) resign() {
	if l != nil {
		l.leader.Resign()
	}
}

// leaderPeers adapts gossip to leader.Peers.
type leaderPeers struct{ gossip *gossip.Gossip }

// Announce sends an announcement to all hosts.
func (p leaderPeers) Announce(a leader.Announcement) { p.gossip.Broadcast(envelope.KindLeader, a) }

// IsSettled reports whether this host knows its peers.
func (p leaderPeers) IsSettled() bool { return p.gossip.IsSettled() }

// HostsBefore returns the number of live hosts that come before this one in the order of hosts.
func (p leaderPeers) HostsBefore() int { return p.gossip.Order().Before }
