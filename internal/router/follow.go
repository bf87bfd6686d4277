package router

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/directory"
	"oxbowslip.dev/oxbowslip/internal/follow"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/placement"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// followers keep the settings and the directory up to date with the store.
type followers struct {
	settings  *follow.Follower[Document]
	endpoints *follow.Follower[directory.Change]
}

func newSettingsSink(deployment Deployment, holder *settings.Holder, c *counters.Counters, log *logrus.Logger, n *news,
	scheduler *placement.Scheduler,
) *settingsSink {
	return &settingsSink{
		inForce: func(tree *settings.Tree) { scheduler.SetRanks(ranksOf(tree)) },
		decode:  deployment.Decode, holder: holder, counters: c, log: logging.Part(log, "settings"), changed: n.tell,
	}
}

// ranksOf finds the ends of the order of requests in a tree.
func ranksOf(tree *settings.Tree) placement.Ranks {
	var ranks placement.Ranks
	for _, workspace := range tree.Workspaces {
		if tier := workspace.Values.Tier; tier != nil {
			ranks.LowestTier = max(ranks.LowestTier, *tier)
		}
	}
	for _, class := range tree.Root.Classes {
		if urgency := class.Values.Urgency; urgency != nil {
			ranks.LeastUrgent = max(ranks.LeastUrgent, *urgency)
		}
		if tier := class.Values.Tier; tier != nil && len(tree.Workspaces) == 0 {
			ranks.LowestTier = max(ranks.LowestTier, *tier)
		}
	}
	return ranks
}

func newFollowers(deployment Deployment, sink *settingsSink, d *directory.Directory, n *news,
	log *logrus.Logger, clock func() time.Time, random func() float64,
) *followers {
	endpointsLog := logging.Part(log, "endpoints")
	endpoints := &endpointsSink{directory: d, log: endpointsLog, changed: n.tell}
	return &followers{
		settings:  follow.New(deployment.Settings, sink, sink.log, random, clock),
		endpoints: follow.New(deployment.Endpoints, endpoints, endpointsLog, random, clock),
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
	// inForce takes each tree that comes into force.
	inForce func(*settings.Tree)
	// changed is called when something newer is in force.
	changed func()

	mu sync.Mutex
	// newest is the configuration in force, as the deployment wrote it.
	newest         Document
	newestRevision uint64
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
	if !s.holder.Offer(revision) {
		return
	}
	s.keep(document, revision.Number)
	s.inForce(revision.Tree)
	s.changed()
	s.log.WithFields(logrus.Fields{
		"revision": revision.Number, "from": from, "routes": len(revision.Tree.Routes), "workspaces": len(revision.Tree.Workspaces),
	}).Info("settings in force")
}

// keep remembers the document of a revision, for peers that lack it.
func (s *settingsSink) keep(document Document, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.newestRevision {
		s.newest, s.newestRevision = document, revision
	}
}

// document gives the configuration in force, with its revision.
func (s *settingsSink) document() (Document, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest, s.newestRevision
}

// endpointsSink keeps the directory.
type endpointsSink struct {
	directory *directory.Directory
	log       *logrus.Entry
	changed   func()
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
	if len(batch.Items) > 0 {
		s.changed()
	}
	for _, change := range batch.Items {
		s.log.WithFields(logrus.Fields{
			"revision": batch.Revision, "endpoint": change.Entry.ID, "gone": change.Gone, "state": change.Entry.Endpoint.State,
			"service": change.Entry.Endpoint.Service, "address": change.Entry.Endpoint.Address,
		}).Info("endpoint changed")
	}
}
