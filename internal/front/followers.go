package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/origin"
	"oxbowslip.dev/oxbowslip/internal/front/peersync"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// followers keep the settings and the directory in sync with the store.
type followers struct {
	settings  *follow.Follower[settings.Raw]
	endpoints *follow.Follower[directory.Change]
}

// followerParts are the dependencies of the followers.
type followerParts struct {
	fx.In

	Deployment Deployment
	Settings   *peersync.Settings
	Endpoints  *peersync.Endpoints
	Directory  *directory.Directory
	Freshness  *freshness.State
	Counters   *counters.Counters
	Log        *logrus.Logger
	Clock      func() time.Time
	Random     func() float64
	Late       *lateParts
}

// onAnswer returns a callback that records the store's answer for a topic and sends a confirmation to peers.
func (p *followerParts) onAnswer(topic freshness.Topic) func(freshness.Answer) {
	return func(answer freshness.Answer) {
		p.Freshness.RecordAnswer(topic, answer)
		p.Late.requestConfirmation()
	}
}

// dutyFunc returns the function that decides when this host calls the store for a topic.
func (p *followerParts) dutyFunc(topic freshness.Topic) func() follow.Duty {
	return func() follow.Duty { return currentDuty(topic, p.Late.gossip.Load(), p.Freshness) }
}

// currentDuty returns the current duty of a host for a topic. A reader calls the store continuously. Any other host
// calls it only if its state has not been confirmed for too long. Some of the hosts that have just started read the store
// once and then wait until their member lists are settled, since all hosts of a fleet may have started together. Until
// then a host does not know its place in the order of hosts and waits as long as the last of them.
func currentDuty(topic freshness.Topic, g *gossip.Gossip, state *freshness.State) follow.Duty {
	order := g.Order()
	if g.MustReadStore() {
		return follow.Duty{Call: true, Reads: true, Hold: state.Hold(order.ReadersBefore, order.Readers)}
	}
	before := order.Before
	if !g.IsSettled() {
		if state.Age(topic) == freshness.UnknownAge && g.MustReadFirst() {
			return follow.Duty{Call: true}
		}
		if order.Hosts == 1 {
			// A peer that answers now may make this host ready before the store has confirmed its state.
			return follow.Duty{CheckAfter: follow.FirstDutyCheckInterval}
		}
		before = order.Hosts
	}
	duty := follow.Duty{Call: state.MustAsk(topic, before, g.StorePatience()), Retry: freshness.AskRetry(order.Hosts)}
	if g.UsesAggregators() && g.IsSettled() {
		duty.CheckAfter = follow.RareDutyCheckInterval
	}
	return duty
}

func newFollowers(p followerParts) *followers {
	f := &followers{
		settings: follow.New(follow.Parts[settings.Raw]{
			Source: p.Deployment.Settings, Sink: p.Settings, Log: logging.Part(p.Log, "settings"), Clock: p.Clock, Random: p.Random,
			Duty: p.dutyFunc(freshness.Settings), OnAnswer: p.onAnswer(freshness.Settings),
			Position: func() uint64 { return p.Freshness.Revision(freshness.Settings) }, CountCall: p.Counters.CountStoreCall,
		}),
		endpoints: follow.New(follow.Parts[directory.Change]{
			Source: declaringSource{p.Deployment.Endpoints, p.Late}, Sink: p.Endpoints, Log: logging.Part(p.Log, "endpoints"), Clock: p.Clock, Random: p.Random,
			Duty: p.dutyFunc(freshness.Endpoints), OnAnswer: p.onAnswer(freshness.Endpoints),
			CountCall: p.Counters.CountStoreCall,
			// A change received from a peer may be newer than the confirmed revision.
			Position: func() uint64 { return max(p.Freshness.Revision(freshness.Endpoints), p.Directory.Revision()) },
		}),
	}
	p.Late.followers.Store(f)
	return f
}

// isReading reports whether the host reads the store for its peers and gets answers.
func (f *followers) isReading() bool { return f.settings.IsReading() && f.endpoints.IsReading() }

// start starts both followers. They stop when done is closed.
func (f *followers) start(done <-chan struct{}) {
	go f.settings.Run(done)
	go f.endpoints.Run(done)
}

// declaringSource is a source of endpoints that has new software versions stored before their first endpoints are used.
type declaringSource struct {
	follow.Source[directory.Change]
	late *lateParts
}

// Wait waits for changes, and then until the new versions among them are stored.
func (s declaringSource) Wait(ctx context.Context, after uint64, held time.Duration) (follow.Batch[directory.Change], error) {
	batch, err := s.Source.Wait(ctx, after, held)
	if origins := s.late.origins.Load(); err == nil && origins != nil {
		origins.Declare(ctx, versionsIn(batch.Items))
	}
	return batch, err
}

// versionsIn returns the software versions of the endpoints that changes add.
func versionsIn(changes []directory.Change) []origin.NamedVersion {
	var versions []origin.NamedVersion
	for i := range changes {
		if e := &changes[i].Entry.Endpoint; !changes[i].Gone {
			versions = append(versions, origin.NameVersion(e.Service, directory.SoftwareVersion(e.Version)))
		}
	}
	return versions
}
