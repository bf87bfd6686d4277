package front

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
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
	Freshness  *freshness.State
	Log        *logrus.Logger
	Clock      func() time.Time
	Random     func() float64
	Late       *late
}

// answered returns what notes an answer for a topic.
func (p *followerParts) answered(topic freshness.Topic) func(freshness.Answer) {
	return func(answer freshness.Answer) { p.Freshness.Answered(topic, answer) }
}

func newFollowers(p followerParts) *followers {
	f := &followers{
		settings: follow.New(follow.Parts[settings.Raw]{
			Source: p.Deployment.Settings, Sink: p.Settings, Log: logging.Part(p.Log, "settings"), Clock: p.Clock, Random: p.Random,
			Open: p.Late.shouldReadStore, Answered: p.answered(freshness.Settings),
		}),
		endpoints: follow.New(follow.Parts[directory.Change]{
			Source: p.Deployment.Endpoints, Sink: p.Endpoints, Log: logging.Part(p.Log, "endpoints"), Clock: p.Clock, Random: p.Random,
			Open: p.Late.shouldReadStore, Answered: p.answered(freshness.Endpoints),
		}),
	}
	p.Late.followers.Store(f)
	return f
}

// healthy reports whether the host reads the store and gets answers.
func (f *followers) healthy() bool { return f.settings.Healthy() && f.endpoints.Healthy() }

// run starts both followers; they end when done is closed.
func (f *followers) run(done <-chan struct{}) {
	go f.settings.Run(done)
	go f.endpoints.Run(done)
}
