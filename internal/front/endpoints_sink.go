package front

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/pack"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// endpointsSink keeps the directory.
type endpointsSink struct {
	directory *directory.Directory
	log       *logrus.Entry
	changed   func()
	// after runs a function once a span has passed.
	after func(span time.Duration, run func())

	mu sync.Mutex
	// delta is the newest change, beats in how many more beats it is told.
	delta *gossip.DirectoryDelta
	beats int
	// entries are all entries as of a change, packed for peers.
	entries   []byte
	entriesOf uint64
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
		s.watchLapse(delta.To)
	}
}

// packed gives the whole directory for a peer.
func (s *endpointsSink) packed() (*gossip.DirectorySnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.directory.Snapshot()
	if s.entries == nil || s.entriesOf != snapshot.Changed {
		entries, err := packEntries(snapshot.Entries)
		if err != nil {
			return nil, err
		}
		s.entries, s.entriesOf = entries, snapshot.Changed
	}
	return &gossip.DirectorySnapshot{Revision: snapshot.Revision, Changed: snapshot.Changed, Entries: s.entries}, nil
}

// take takes the whole directory of a peer, if it is newer.
func (s *endpointsSink) take(peer string, packed *gossip.DirectorySnapshot) {
	entries, err := unpackEntries(packed.Entries)
	if err != nil {
		s.log.WithError(err).WithField("from", peer).Warn("a peer's endpoints can't be unpacked")
		return
	}
	if s.directory.Replace(directory.Snapshot{Revision: packed.Revision, Changed: packed.Changed, Entries: entries}) {
		s.log.WithFields(logrus.Fields{"revision": packed.Revision, "from": peer, "endpoints": len(entries)}).Info("endpoints read")
		s.watchLapse(packed.Revision)
	}
}

func packEntries(entries []directory.Entry) ([]byte, error) {
	changes := make([]gossip.EndpointChange, 0, len(entries))
	for i := range entries {
		changes = append(changes, toWire(&directory.Change{Entry: entries[i]}))
	}
	data, err := cbor.Marshal(changes)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return pack.Patch(nil, data)
}

func unpackEntries(packed []byte) ([]directory.Entry, error) {
	data, err := pack.Apply(nil, packed)
	if err != nil {
		return nil, err
	}
	var changes []gossip.EndpointChange
	if err := cbor.Unmarshal(data, &changes); err != nil {
		return nil, merry.Wrap(err)
	}
	entries := make([]directory.Entry, 0, len(changes))
	for i := range changes {
		entries = append(entries, fromWire(&changes[i]).Entry)
	}
	return entries, nil
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
		s.watchLapse(batch.Revision)
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
	s.watchLapse(batch.Revision)
}

// lapseGrace is how long entries are kept that lapsed while the store was away. The
// endpoints that live are back in about a second.
const lapseGrace = 1500 * time.Millisecond

// watchLapse takes the entries away after a while that lapsed at a revision, if there are
// any. The directory may have moved on since.
func (s *endpointsSink) watchLapse(revision uint64) {
	lapsed := s.directory.Lapsed(revision)
	if lapsed == 0 {
		return
	}
	s.log.WithFields(logrus.Fields{"lapsed": lapsed, "revision": revision}).Warn("entries lapsed together, they are kept for a while")
	s.after(lapseGrace, func() {
		if dropped := s.directory.DropLapsed(revision); len(dropped) > 0 {
			s.log.WithFields(logrus.Fields{"endpoints": dropped, "revision": revision}).Warn("lapsed entries have not come back")
		}
	})
}

func (s *endpointsSink) logChanges(revision uint64, from string, changes []directory.Change) {
	for _, change := range changes {
		s.log.WithFields(logrus.Fields{
			"revision": revision, "from": from, "endpoint": change.Entry.ID, "gone": change.Gone, "state": change.Entry.Endpoint.State,
			"service": change.Entry.Endpoint.Service, "address": change.Entry.Endpoint.Address,
		}).Info("endpoint changed")
	}
}

func newEndpointsSink(d *directory.Directory, n *news, log *logrus.Logger) *endpointsSink {
	return &endpointsSink{directory: d, log: logging.Part(log, "endpoints"), changed: n.tell, after: afterFunc}
}

// afterFunc runs a function after a span. It can't be stopped: what runs is harmless when
// the host has ended.
func afterFunc(span time.Duration, run func()) { time.AfterFunc(span, run) }
