package peersync

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/era"
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

	// mu is held while a configuration is compared with the one in force and replaces it.
	mu    sync.Mutex
	known versions
	// version is the Version of the configuration in force, readIn the era in which the store had it when this host read it
	// there, or 0 if a peer brought it.
	version uint64
	readIn  uint64
}

// rewriteGrace is how long a restored store may have an older configuration that no host has seen, until it counts as one that
// was written since. Operators write theirs again at once.
const rewriteGrace = time.Second

// SettingsParts are what Settings works with.
type SettingsParts struct {
	// Decode turns a configuration into a revision of the tree.
	Decode   func(settings.Raw) (*settings.Revision, error)
	Holder   *settings.Holder
	Counters *counters.Counters
	Log      *logrus.Entry
	// InForce is called with each tree that comes into force.
	InForce func(*settings.Tree)
	// NotifyPeers is called when something newer is in force that peers should have at once.
	NotifyPeers func()
	// ReadsStore reports whether this host reads the store and gets answers.
	ReadsStore func() bool
	// Age returns how long ago the settings were last known to be complete.
	Age func() time.Duration
	// After runs a function after a time.
	After func(time.Duration, func())
}

// NewSettings returns a sink with no configuration in force.
func NewSettings(parts SettingsParts) *Settings { return &Settings{parts: parts} }

// Replace puts the newest configuration of the whole table in force.
func (s *Settings) Replace(batch follow.Batch[settings.Raw]) { s.read(batch, false) }

// Apply puts the newest configuration in force that was written since the store was read last.
func (s *Settings) Apply(batch follow.Batch[settings.Raw]) { s.read(batch, true) }

// read puts the newest configuration in force that the store brought. One that can't be decoded is left out, and the one before
// it counts. Those in between never come into force: a change that is sent to peers leads from what they have to the newest,
// also when several came at once. IsNew is set if they were written since the store was read last.
func (s *Settings) read(batch follow.Batch[settings.Raw], isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNewest := true
	for _, document := range slices.Backward(batch.Items) {
		revision, ok := s.decode(document, fromStore)
		if !ok {
			continue
		}
		if isNewest {
			s.offerRead(document, revision, era.Of(batch.Revision), isNew)
		}
		isNewest = false
		s.known.note(revision.Number, document)
	}
}

// offerRead puts a configuration in force that the store brought in an era, if it is newer than the one that is. A store that
// has come back from an older copy brings one of before or one that was written since, under any Version. The lock is held.
func (s *Settings) offerRead(document settings.Raw, revision *settings.Revision, storeEra uint64, isNew bool) {
	version := revision.Number
	writtenIn := era.Of(s.parts.Holder.Number())
	if storeEra > writtenIn {
		switch {
		case isNew, s.known.contradicts(version, document):
			writtenIn = storeEra
		case version < s.version && !s.known.has(version):
			s.offerLater(document, storeEra)
		}
	}
	revision.Number = numberOf(writtenIn, version)
	if !s.offer(document, revision, version, fromStore) && !s.documents.isNewest(document) {
		s.parts.Log.WithFields(logrus.Fields{"revision": s.parts.Holder.Number(), "store_revision": revision.Number}).Warn("the store has an older configuration, the one in force stays")
		return
	}
	s.readIn = storeEra
}

// offerLater puts a configuration in force that a restored store has if nothing was written in its era for a while: nobody knows
// of it from before.
func (s *Settings) offerLater(document settings.Raw, storeEra uint64) {
	s.parts.After(rewriteGrace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if era.Of(s.parts.Holder.Number()) >= storeEra {
			return
		}
		if revision, ok := s.decode(document, fromStore); ok {
			s.offerRead(document, revision, storeEra, true)
		}
	})
}

// offerFrom puts a peer's configuration in force if it is newer than the one that is. Announced is the number that the peer
// gave it. The lock is held.
func (s *Settings) offerFrom(peer string, document settings.Raw, announced uint64) {
	revision, ok := s.decode(document, peer)
	if !ok {
		return
	}
	version := revision.Number
	s.known.note(version, document)
	// The peer may have put another one in force since it announced that one.
	if era.Number(announced) == version {
		revision.Number = announced
	}
	if s.isOlderRead(revision.Number, version) {
		s.renumber(era.Of(revision.Number))
		return
	}
	if s.offer(document, revision, version, peer) {
		s.readIn = 0
	}
}

// isOlderRead reports whether a peer's configuration was written before the one in force, which this host read in the same era,
// or a later one, without knowing that it was written in it.
func (s *Settings) isOlderRead(number, version uint64) bool {
	writtenIn := era.Of(number)
	return writtenIn > era.Of(s.parts.Holder.Number()) && writtenIn <= s.readIn && version < s.version
}

// renumber notes that the configuration in force was written in an era.
func (s *Settings) renumber(writtenIn uint64) {
	revision := *s.parts.Holder.Current()
	revision.Number = numberOf(writtenIn, s.version)
	s.offer(s.documents.current(), &revision, s.version, fromStore)
}

// decode turns a configuration into a revision whose number is its Version. It reports false if it can't be decoded.
func (s *Settings) decode(document settings.Raw, from string) (*settings.Revision, bool) {
	revision, err := s.parts.Decode(document)
	if err != nil {
		s.parts.Counters.SettingsRejected.Inc()
		s.parts.Log.WithError(err).WithField("from", from).Warn("a configuration can't be decoded, the last one stays in force")
	}
	return revision, err == nil
}

// offer puts a configuration in force if it is newer than the one that is, and reports whether it was. The lock is held.
func (s *Settings) offer(document settings.Raw, revision *settings.Revision, version uint64, from string) bool {
	p := &s.parts
	age := p.Age()
	if !p.Holder.SetIfNewer(revision) {
		return false
	}
	s.version = version
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
	s.parts.NotifyPeers()
}

// applyPatch applies a peer's change of the settings.
func (s *Settings) applyPatch(peer string, patch *gossip.SettingsPatch) {
	s.applyCompressed(peer, patch.From, patch.Data, patch.To)
}

// applyCompressed puts a peer's configuration in force, which has the number that the peer announced. One that was compressed
// against another revision than the one in force is left out; it is fetched whole if it is newer.
func (s *Settings) applyCompressed(peer string, base uint64, data []byte, announced uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	document, ok, err := s.documents.decompress(base, data)
	if err != nil {
		s.parts.Counters.SettingsRejected.Inc()
		s.parts.Log.WithError(err).WithFields(logrus.Fields{"from": peer, "base": base}).Warn("a peer's configuration can't be decompressed")
		return
	}
	if ok {
		s.offerFrom(peer, document, announced)
	}
}
