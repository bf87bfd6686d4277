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

// Settings puts configurations in force, from the store or from peers. It implements follow.Sink.
type Settings struct {
	parts SettingsParts
	// documents holds the configuration in force for peers that lack it.
	documents documents

	// mu is held while a configuration is compared with the one in force and replaces it.
	mu            sync.Mutex
	knownVersions versionHashes
	// version is the Version of the configuration in force. readInEra is the era of the store when this host read
	// that configuration there, or 0 if it came from a peer.
	version   uint64
	readInEra uint64
}

// rewriteGrace is how long a restored store may hold an older configuration that no host has seen before it counts
// as written after the restore. Operators write their configuration again right after a restore.
const rewriteGrace = time.Second

// SettingsParts are the dependencies of Settings.
type SettingsParts struct {
	// Decode decodes a configuration into a revision of the settings tree.
	Decode   func(settings.Raw) (*settings.Revision, error)
	Holder   *settings.Holder
	Counters *counters.Counters
	Log      *logrus.Entry
	// InForce is called with each tree that comes into force.
	InForce func(*settings.Tree)
	// NotifyPeers is called when a newer configuration is in force that must reach peers immediately.
	NotifyPeers func()
	// ReadsStore reports whether this host reads the store and gets answers.
	ReadsStore func() bool
	// Age returns the time since the settings were last confirmed to be complete.
	Age func() time.Duration
	// After runs a function after a delay.
	After func(time.Duration, func())
}

// NewSettings returns a sink without a configuration in force.
func NewSettings(parts SettingsParts) *Settings { return &Settings{parts: parts} }

// Replace puts the newest configuration of the whole table in force.
func (s *Settings) Replace(batch follow.Batch[settings.Raw]) { s.applyNewest(batch, false) }

// Apply puts the newest configuration in force that was written since the last read of the store.
func (s *Settings) Apply(batch follow.Batch[settings.Raw]) { s.applyNewest(batch, true) }

// applyNewest puts the newest configuration of a batch in force. A configuration that cannot be decoded is skipped
// in favour of the one before it. Intermediate configurations never come into force: the patch for peers must lead
// from the configuration that they have to the newest, also if several arrived together. The flag isNew is set if
// the batch was written since the last read of the store.
func (s *Settings) applyNewest(batch follow.Batch[settings.Raw], isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNewest := true
	for _, document := range slices.Backward(batch.Items) {
		revision, ok := s.decode(document, fromStore)
		if !ok {
			continue
		}
		if isNewest {
			s.offerFromStore(document, revision, era.Of(batch.Revision), isNew)
		}
		isNewest = false
		s.knownVersions.record(revision.Number, document)
	}
}

// offerFromStore puts a configuration from the store in force if it is newer than the current one. After a restore,
// the configuration may be from before the restore or written since, under any Version. The lock is held.
func (s *Settings) offerFromStore(document settings.Raw, revision *settings.Revision, storeEra uint64, isNew bool) {
	version := revision.Number
	writtenIn := era.Of(s.parts.Holder.Number())
	if storeEra > writtenIn {
		switch {
		case isNew, s.knownVersions.conflicts(version, document):
			writtenIn = storeEra
		case version < s.version && !s.knownVersions.has(version):
			s.scheduleOffer(document, storeEra)
		}
	}
	revision.Number = revisionNumber(writtenIn, version)
	if !s.offer(document, revision, version, fromStore) && !s.documents.isNewest(document) {
		s.parts.Log.WithFields(logrus.Fields{"revision": s.parts.Holder.Number(), "store_revision": revision.Number}).Warn("the store has an older configuration, keeping the one in force")
		return
	}
	s.readInEra = storeEra
}

// scheduleOffer puts a configuration of a restored store in force after rewriteGrace, unless another one has been
// written in the store's era by then. No host has seen this configuration before the restore.
func (s *Settings) scheduleOffer(document settings.Raw, storeEra uint64) {
	s.parts.After(rewriteGrace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if era.Of(s.parts.Holder.Number()) >= storeEra {
			return
		}
		if revision, ok := s.decode(document, fromStore); ok {
			s.offerFromStore(document, revision, storeEra, true)
		}
	})
}

// offerFromPeer puts a peer's configuration in force if it is newer than the current one. The parameter announced is
// the number that the peer announced for it. The lock is held.
func (s *Settings) offerFromPeer(peer string, document settings.Raw, announced uint64) {
	revision, ok := s.decode(document, peer)
	if !ok {
		return
	}
	version := revision.Number
	s.knownVersions.record(version, document)
	// The peer may have put another configuration in force since its announcement.
	if era.Number(announced) == version {
		revision.Number = announced
	}
	if s.predatesLocalRead(revision.Number, version) {
		s.renumber(era.Of(revision.Number))
		return
	}
	if s.offer(document, revision, version, peer) {
		s.readInEra = 0
	}
}

// predatesLocalRead reports whether a peer's configuration was written before the current one although its number is
// of a later era. This host read the current one in that era or a later one, without knowing in which era it was
// written.
func (s *Settings) predatesLocalRead(number, version uint64) bool {
	writtenIn := era.Of(number)
	return writtenIn > era.Of(s.parts.Holder.Number()) && writtenIn <= s.readInEra && version < s.version
}

// renumber records that the configuration in force was written in an era.
func (s *Settings) renumber(writtenIn uint64) {
	revision := *s.parts.Holder.Current()
	revision.Number = revisionNumber(writtenIn, s.version)
	s.offer(s.documents.current(), &revision, s.version, fromStore)
}

// decode decodes a configuration into a revision with its Version as the number. It returns false if that fails.
func (s *Settings) decode(document settings.Raw, from string) (*settings.Revision, bool) {
	revision, err := s.parts.Decode(document)
	if err != nil {
		s.parts.Counters.SettingsRejected.Inc()
		s.parts.Log.WithError(err).WithField("from", from).Warn("a configuration can't be decoded, the last one stays in force")
	}
	return revision, err == nil
}

// offer puts a configuration in force if it is newer than the current one, and reports whether it was. The lock is
// held.
func (s *Settings) offer(document settings.Raw, revision *settings.Revision, version uint64, from string) bool {
	p := &s.parts
	age := p.Age()
	if !p.Holder.SetIfNewer(revision) {
		return false
	}
	s.version = version
	p.InForce(revision.Tree)
	s.documents.setNewest(document, revision.Number)
	if s.shouldForward(from) {
		s.announceChange()
	}
	p.Log.WithFields(logrus.Fields{
		"revision": revision.Number, "from": from, "routes": len(revision.Tree.Routes), "workspaces": len(revision.Tree.Workspaces),
		"bytes": len(document), "waited_ms": age.Milliseconds(),
	}).Info("settings in force")
	return true
}

// shouldForward reports whether this host sends a change on immediately. It does for changes from the store. For a
// peer's change it does only if it reads the store itself: readers may get a change from each other first, and the
// other's heartbeat may have been lost. If all hosts forwarded changes, the traffic would grow with the square of
// the fleet.
func (s *Settings) shouldForward(from string) bool {
	return from == fromStore || s.parts.ReadsStore()
}

// announceChange adds the change to the next heartbeats. Peers fetch a change that cannot be compressed.
func (s *Settings) announceChange() {
	if err := s.documents.schedulePatch(); err != nil {
		s.parts.Log.WithError(err).Error("a change of the settings can't be compressed, peers fetch it whole")
	}
	s.parts.NotifyPeers()
}

// applyPatch applies a peer's change of the settings.
func (s *Settings) applyPatch(peer string, patch *gossip.SettingsPatch) {
	s.applyCompressed(peer, patch.From, patch.Data, patch.To)
}

// applyCompressed puts a peer's configuration in force, under the number that the peer announced. A configuration
// that was compressed against another revision than the one in force is ignored; it is fetched whole if it is newer.
func (s *Settings) applyCompressed(peer string, base uint64, data []byte, announced uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	document, ok, err := s.documents.decompress(base, data)
	if err != nil {
		s.parts.Counters.SettingsRejected.Inc()
		s.parts.Log.WithError(err).WithFields(logrus.Fields{"from": peer, "base": base}).Warn("a peer's configuration can't be decompressed, it is ignored")
		return
	}
	if ok {
		s.offerFromPeer(peer, document, announced)
	}
}
