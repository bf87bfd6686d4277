package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/directory"
	"oxbowslip.dev/oxbowslip/internal/follow"
	"oxbowslip.dev/oxbowslip/internal/gossip"
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

func newEndpointsSink(d *directory.Directory, n *news, log *logrus.Logger) *endpointsSink {
	return &endpointsSink{directory: d, log: logging.Part(log, "endpoints"), changed: n.tell}
}

func newFollowers(deployment Deployment, sink *settingsSink, endpoints *endpointsSink, gate *readGate,
	clock func() time.Time, random func() float64,
) *followers {
	f := &followers{
		settings:  follow.New(deployment.Settings, sink, sink.log, random, clock, gate.open),
		endpoints: follow.New(deployment.Endpoints, endpoints, endpoints.log, random, clock, gate.open),
	}
	gate.followers.Store(f)
	return f
}

// readGate says whether this host reads the store, and whether it gets answers. Its
// parts need each other, so they are filled in last.
type readGate struct {
	gossip    atomic.Pointer[gossip.Gossip]
	followers atomic.Pointer[followers]
}

func (g *readGate) open() bool {
	shared := g.gossip.Load()
	return shared == nil || shared.ShouldRead()
}

func (g *readGate) reading() bool {
	f := g.followers.Load()
	return f != nil && f.healthy()
}

// healthy reports whether the host reads the store and gets answers.
func (f *followers) healthy() bool { return f.settings.Healthy() && f.endpoints.Healthy() }

func (f *followers) run(done <-chan struct{}) {
	go f.settings.Run(done)
	go f.endpoints.Run(done)
}

// fromStore names the store as the source of news. Only news from there is told to all
// at once: a host that has it from a peer would only repeat it.
const fromStore = "store"

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
		s.offer(document, fromStore)
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
	if from == fromStore {
		s.changed()
	}
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

	mu sync.Mutex
	// delta is the newest change, beats in how many more beats it is told.
	delta *gossip.DirectoryDelta
	beats int
}

// beatsPerDelta is in how many beats a change is told, maxDelta the number of
// endpoints up to which it is.
const (
	beatsPerDelta = 3
	maxDelta      = 64
)

// nextDelta gives the change for the next beat, or nil.
func (s *endpointsSink) nextDelta() *gossip.DirectoryDelta {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beats == 0 {
		return nil
	}
	s.beats--
	return s.delta
}

func (s *endpointsSink) keepDelta(from, to uint64, changes []directory.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delta, s.beats = nil, 0
	if len(changes) > maxDelta {
		return
	}
	s.delta, s.beats = &gossip.DirectoryDelta{From: from, To: to}, beatsPerDelta
	for i := range changes {
		s.delta.Changes = append(s.delta.Changes, toWire(&changes[i]))
	}
}

func toWire(change *directory.Change) gossip.EndpointChange {
	e := &change.Entry.Endpoint
	return gossip.EndpointChange{
		ID: change.Entry.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, Version: e.Version,
		Places: e.MaxInFlight, Out: e.State == settings.StateOut, Gone: change.Gone,
	}
}

func fromWire(change *gossip.EndpointChange) directory.Change {
	state := settings.StateIn
	if change.Out {
		state = settings.StateOut
	}
	return directory.Change{Gone: change.Gone, Entry: directory.Entry{ID: change.ID, Endpoint: settings.Endpoint{
		Service: change.Service, Address: change.Address, Zone: change.Zone, Version: change.Version,
		MaxInFlight: change.Places, State: state,
	}}}
}

// hear takes a peer's change, if this host knows all that came before it.
func (s *endpointsSink) hear(peer string, delta *gossip.DirectoryDelta) {
	if s.directory.Revision() < delta.From {
		return
	}
	changes := make([]directory.Change, 0, len(delta.Changes))
	for i := range delta.Changes {
		changes = append(changes, fromWire(&delta.Changes[i]))
	}
	if s.directory.Apply(delta.To, changes) {
		s.logChanges(delta.To, peer, changes)
	}
}

// Replace takes the whole table.
func (s *endpointsSink) Replace(batch follow.Batch[directory.Change]) {
	snapshot := directory.Snapshot{Revision: batch.Revision, Changed: batch.Changed}
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
	from := s.directory.Changed()
	if !s.directory.Apply(batch.Revision, batch.Items) {
		return
	}
	if len(batch.Items) > 0 {
		s.keepDelta(from, batch.Revision, batch.Items)
		s.changed()
	}
	s.logChanges(batch.Revision, fromStore, batch.Items)
}

func (s *endpointsSink) logChanges(revision uint64, from string, changes []directory.Change) {
	for _, change := range changes {
		s.log.WithFields(logrus.Fields{
			"revision": revision, "from": from, "endpoint": change.Entry.ID, "gone": change.Gone, "state": change.Entry.Endpoint.State,
			"service": change.Entry.Endpoint.Service, "address": change.Entry.Endpoint.Address,
		}).Info("endpoint changed")
	}
}
