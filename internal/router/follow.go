package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/directory"
	"oxbowslip.dev/oxbowslip/internal/follow"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// followers keep the settings and the directory up to date with the store.
type followers struct {
	settings  *follow.Follower[Document]
	endpoints *follow.Follower[directory.Change]
}

func newFollowers(deployment Deployment, holder *settings.Holder, d *directory.Directory, c *counters.Counters,
	log *logrus.Logger, clock func() time.Time, random func() float64,
) *followers {
	settingsLog := logging.Part(log, "settings")
	endpointsLog := logging.Part(log, "endpoints")
	return &followers{
		settings: follow.New(deployment.Settings,
			&settingsSink{decode: deployment.Decode, holder: holder, counters: c, log: settingsLog}, settingsLog, random, clock),
		endpoints: follow.New(deployment.Endpoints, &endpointsSink{directory: d, log: endpointsLog}, endpointsLog, random, clock),
	}
}

func (f *followers) run(done <-chan struct{}) {
	go f.settings.Run(done)
	go f.endpoints.Run(done)
}

// settingsSink puts configurations in force.
type settingsSink struct {
	decode   func(Document) (*settings.Revision, error)
	holder   *settings.Holder
	counters *counters.Counters
	log      *logrus.Entry
}

// Replace puts the newest configuration in force.
func (s *settingsSink) Replace(batch follow.Batch[Document]) { s.Apply(batch) }

// Apply puts configurations in force. One that can't be read is left out, and the
// last one stays.
func (s *settingsSink) Apply(batch follow.Batch[Document]) {
	for _, document := range batch.Items {
		s.offer(document, "store")
	}
}

func (s *settingsSink) offer(document Document, from string) {
	revision, err := s.decode(document)
	if err != nil {
		s.counters.SettingsRejected.Inc()
		s.log.WithError(err).Warn("a configuration can't be read, the last one stays in force")
		return
	}
	if s.holder.Offer(revision) {
		s.log.WithFields(logrus.Fields{
			"revision": revision.Number, "from": from, "routes": len(revision.Tree.Routes), "workspaces": len(revision.Tree.Workspaces),
		}).Info("settings in force")
	}
}

// endpointsSink keeps the directory.
type endpointsSink struct {
	directory *directory.Directory
	log       *logrus.Entry
}

// Replace takes the whole table.
func (s *endpointsSink) Replace(batch follow.Batch[directory.Change]) {
	snapshot := directory.Snapshot{Revision: batch.Revision}
	for _, change := range batch.Items {
		if !change.Gone {
			snapshot.Entries = append(snapshot.Entries, change.Entry)
		}
	}
	if s.directory.Replace(snapshot) {
		s.log.WithFields(logrus.Fields{"revision": batch.Revision, "endpoints": len(snapshot.Entries)}).Info("endpoints read")
	}
}

// Apply takes changes.
func (s *endpointsSink) Apply(batch follow.Batch[directory.Change]) {
	if !s.directory.Apply(batch.Revision, batch.Items) {
		return
	}
	for _, change := range batch.Items {
		s.log.WithFields(logrus.Fields{
			"revision": batch.Revision, "endpoint": change.Entry.ID, "gone": change.Gone, "state": change.Entry.Endpoint.State,
			"service": change.Entry.Endpoint.Service, "address": change.Entry.Endpoint.Address,
		}).Info("endpoint changed")
	}
}
