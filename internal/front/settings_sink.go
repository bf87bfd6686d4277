package front

import (
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// fromStore names the store as the source of news. What is from there is told to all at
// once. What a peer told is told on only by hosts that read the store themselves: they hear
// each other first now and then, and one of them may have lost its beat.
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

	// reading reports whether this host is one of those that read the store for all.
	reading func() bool
	// documents are handed to peers that lack them.
	documents documents
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
	s.inForce(revision.Tree)
	s.documents.keep(document, revision.Number)
	if from == fromStore || s.reading() {
		s.tell()
	}
	s.log.WithFields(logrus.Fields{
		"revision": revision.Number, "from": from, "routes": len(revision.Tree.Routes), "workspaces": len(revision.Tree.Workspaces),
		"bytes": len(document),
	}).Info("settings in force")
}

// tell lets the next beats carry the change. One that can't be packed is fetched.
func (s *settingsSink) tell() {
	if err := s.documents.tellPatch(); err != nil {
		s.log.WithError(err).Error("a change of the settings can't be packed, peers fetch it whole")
	}
	s.changed()
}

// hear takes a peer's change of the settings, if this host holds what it was made on.
func (s *settingsSink) hear(peer string, patch *gossip.SettingsPatch) {
	s.take(peer, patch.From, patch.Data)
}

// take puts a packed configuration in force. One that was made on another base than
// the one in force is left out; it is fetched whole if it is newer.
func (s *settingsSink) take(peer string, base uint64, packed []byte) {
	document, ok, err := s.documents.unpack(base, packed)
	if err != nil {
		s.counters.SettingsRejected.Inc()
		s.log.WithError(err).WithFields(logrus.Fields{"from": peer, "base": base}).Warn("a peer's configuration can't be unpacked")
		return
	}
	if ok {
		s.offer(document, peer)
	}
}

func newSettingsSink(deployment Deployment, holder *settings.Holder, c *counters.Counters, log *logrus.Logger, n *news,
	scheduler *placement.Scheduler, gate *readGate,
) *settingsSink {
	return &settingsSink{
		inForce: func(tree *settings.Tree) { scheduler.SetRanks(ranksOf(tree)) },
		decode:  deployment.Decode, holder: holder, counters: c, log: logging.Part(log, "settings"), changed: n.tell, reading: gate.reading,
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
