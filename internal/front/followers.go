package front

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/peersync"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// followers keep the settings and the directory up to date with the store.
type followers struct {
	settings  *follow.Follower[settings.Raw]
	endpoints *follow.Follower[directory.Change]
}

// followerParts are what the followers are made of.
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
	Late       *late
}

// answered returns what notes an answer for a topic and confirms it to peers.
func (p *followerParts) answered(topic freshness.Topic) func(freshness.Answer) {
	return func(answer freshness.Answer) {
		p.Freshness.RecordAnswer(topic, answer)
		p.Late.confirm()
	}
}

// duty returns what decides about this host's calls for a topic.
func (p *followerParts) duty(topic freshness.Topic) func() follow.Duty {
	return func() follow.Duty { return dutyOf(topic, p.Late.gossip.Load(), p.Freshness) }
}

// dutyOf returns what a host is to do about a topic now. One that has just started reads once, and then learns
// of its peers first: all hosts of a fleet may have started together. One that reads for all calls the store over and
// over; any other one calls it when nobody has confirmed for too long what it knows. A host that does not know its
// place among its peers yet waits for that as long as the last of them.
func dutyOf(topic freshness.Topic, g *gossip.Gossip, state *freshness.State) follow.Duty {
	order := g.Order()
	if g.MustReadStore() {
		return follow.Duty{Call: true, Reads: true, Hold: state.Hold(order.ReadersBefore, order.Readers)}
	}
	before := order.Before
	if !g.IsSettled() {
		if state.Age(topic) == freshness.UnknownAge {
			return follow.Duty{Call: true}
		}
		before = order.Hosts
	}
	return follow.Duty{Call: state.MustAsk(topic, before), Retry: freshness.AskRetry(order.Hosts)}
}

func newFollowers(p followerParts) *followers {
	f := &followers{
		settings: follow.New(follow.Parts[settings.Raw]{
			Source: p.Deployment.Settings, Sink: p.Settings, Log: logging.Part(p.Log, "settings"), Clock: p.Clock, Random: p.Random,
			Duty: p.duty(freshness.Settings), OnAnswer: p.answered(freshness.Settings),
			Position: func() uint64 { return p.Freshness.Revision(freshness.Settings) }, CountCall: p.Counters.CountStoreCall,
		}),
		endpoints: follow.New(follow.Parts[directory.Change]{
			Source: p.Deployment.Endpoints, Sink: p.Endpoints, Log: logging.Part(p.Log, "endpoints"), Clock: p.Clock, Random: p.Random,
			Duty: p.duty(freshness.Endpoints), OnAnswer: p.answered(freshness.Endpoints),
			CountCall: p.Counters.CountStoreCall,
			// A change that came from a peer may be ahead of what is confirmed.
			Position: func() uint64 { return max(p.Freshness.Revision(freshness.Endpoints), p.Directory.Revision()) },
		}),
	}
	p.Late.followers.Store(f)
	return f
}

// read reports whether the host reads the store for others and gets answers.
func (f *followers) read() bool { return f.settings.IsReading() && f.endpoints.IsReading() }

// run starts both followers; they end when done is closed.
func (f *followers) run(done <-chan struct{}) {
	go f.settings.Run(done)
	go f.endpoints.Run(done)
}
