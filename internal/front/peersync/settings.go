package peersync

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Settings puts configurations in force, from the store or from peers. It implements
// follow.Sink.
type Settings struct {
	parts SettingsParts
	// documents are for peers that lack them.
	documents documents
}

// SettingsParts are what Settings works with.
type SettingsParts struct {
	// Decode turns a configuration into a revision of the tree.
	Decode   func(settings.Raw) (*settings.Revision, error)
	Holder   *settings.Holder
	Counters *counters.Counters
	Log      *logrus.Entry
	// InForce is called with each tree that comes into force.
	InForce func(*settings.Tree)
	// Changed is called when something newer is in force that peers should have at once.
	Changed func()
	// ReadsStore reports whether this host reads the store and gets answers.
	ReadsStore func() bool
	// Age returns how long ago the settings were last known to be complete.
	Age func() time.Duration
}

// NewSettings returns a sink with no configuration in force.
func NewSettings(parts SettingsParts) *Settings { return &Settings{parts: parts} }

// Replace puts the newest configuration of the whole table in force.
func (s *Settings) Replace(batch follow.Batch[settings.Raw]) { s.Apply(batch) }

// Apply puts the newest configuration in force that the store brought. One that can't be decoded is
// left out, and the one before it counts. Those in between never come into force: a change that is sent
// to peers leads from what they have to the newest, also when several came at once.
func (s *Settings) Apply(batch follow.Batch[settings.Raw]) {
	for _, document := range slices.Backward(batch.Items) {
		if s.offer(document, fromStore) {
			return
		}
	}
}

// offer puts a configuration in force if it is newer than the one that is. It reports whether it could be
// decoded.
func (s *Settings) offer(document settings.Raw, from string) bool {
	p := &s.parts
	revision, err := p.Decode(document)
	if err != nil {
		p.Counters.SettingsRejected.Inc()
		p.Log.WithError(err).WithField("from", from).Warn("a configuration can't be decoded, the last one stays in force")
		return false
	}
	age := p.Age()
	if !p.Holder.Offer(revision) {
		if from == fromStore && !s.documents.isNewest(document) {
			p.Log.WithFields(logrus.Fields{"revision": p.Holder.Number(), "store_revision": revision.Number}).Warn("the store has an older configuration, the one in force stays")
		}
		return true
	}
	p.InForce(revision.Tree)
	s.documents.keep(document, revision.Number)
	if s.forwards(from) {
		s.sendChange()
	}
	p.Log.WithFields(logrus.Fields{
		"revision": revision.Number, "from": from, "routes": len(revision.Tree.Routes), "workspaces": len(revision.Tree.Workspaces),
		"bytes": len(document), "waited_ms": age.Milliseconds(),
	}).Info("settings in force")
	return true
}

// forwards reports whether this host sends a change on at once. What the store brought it
// does. What a peer sent it does only if it reads the store itself: readers sometimes learn of
// a change from each other first, and the heartbeat of the other may have been lost; if all
// hosts sent it on, the bytes would grow with the square of the fleet.
func (s *Settings) forwards(from string) bool {
	return from == fromStore || s.parts.ReadsStore()
}

// sendChange lets the next heartbeats carry the change. Peers fetch one that can't be
// compressed.
func (s *Settings) sendChange() {
	if err := s.documents.sendPatch(); err != nil {
		s.parts.Log.WithError(err).Error("a change of the settings can't be compressed, peers fetch it whole")
	}
	s.parts.Changed()
}

// applyPatch applies a peer's change of the settings.
func (s *Settings) applyPatch(peer string, patch *gossip.SettingsPatch) {
	s.applyCompressed(peer, patch.From, patch.Data)
}

// applyCompressed puts a peer's configuration in force. One that was compressed against
// another revision than the one in force is left out; it is fetched whole if it is newer.
func (s *Settings) applyCompressed(peer string, base uint64, data []byte) {
	document, ok, err := s.documents.decompress(base, data)
	if err != nil {
		s.parts.Counters.SettingsRejected.Inc()
		s.parts.Log.WithError(err).WithFields(logrus.Fields{"from": peer, "base": base}).Warn("a peer's configuration can't be decompressed")
		return
	}
	if ok {
		s.offer(document, peer)
	}
}
