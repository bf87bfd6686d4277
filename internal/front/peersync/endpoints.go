package peersync

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/pack"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// maxDelta is the number of endpoints up to which a change of the directory goes with a heartbeat; a larger one is
// fetched. 64 entries fit a datagram.
const maxDelta = 64

// mostResponses bounds the responses that are kept for peers, some KB each.
const mostResponses = 16

// Endpoints keeps the directory up to date, from the store or from peers. It implements
// follow.Sink.
type Endpoints struct {
	parts EndpointsParts

	mu sync.Mutex
	// delta is the newest change, heartbeats in how many more heartbeats it is sent.
	delta      *gossip.DirectoryDelta
	heartbeats int
	// entries are all entries as of the change entriesOf, compressed for peers.
	entries   []byte
	entriesOf uint64
	// responses are the changes after some revisions up to the change responsesOf, compressed for peers.
	responses   map[uint64]gossip.ChangesResponse
	responsesOf uint64
}

// EndpointsParts are what Endpoints works with.
type EndpointsParts struct {
	Directory *directory.Directory
	Log       *logrus.Entry
	// NotifyPeers is called when a change should reach peers at once.
	NotifyPeers func()
	// After runs a function once a time has passed.
	After func(wait time.Duration, run func())
}

// NewEndpoints returns a sink for a directory.
func NewEndpoints(parts EndpointsParts) *Endpoints {
	return &Endpoints{parts: parts, responses: make(map[uint64]gossip.ChangesResponse)}
}

// Replace replaces the whole table of the store.
func (s *Endpoints) Replace(batch follow.Batch[directory.Change]) {
	snapshot := directory.Snapshot{Revision: batch.Revision, Changed: batch.Changed}
	for _, change := range batch.Items {
		if !change.Gone {
			snapshot.Entries = append(snapshot.Entries, change.Entry)
		}
	}
	s.replace(snapshot, fromStore)
}

func (s *Endpoints) replace(snapshot directory.Snapshot, from string) {
	if !s.parts.Directory.Replace(snapshot) {
		return
	}
	era.Log(s.parts.Log, snapshot.Revision).WithFields(logrus.Fields{"from": from, "endpoints": len(snapshot.Entries)}).Info("endpoints read")
	s.watch(snapshot.Revision)
}

// Apply applies changes that the store brought.
func (s *Endpoints) Apply(batch follow.Batch[directory.Change]) {
	from := s.parts.Directory.Changed()
	if !s.parts.Directory.Apply(batch.Revision, batch.Items) {
		return
	}
	if len(batch.Items) > 0 {
		s.sendDelta(from, batch.Revision, batch.Items)
		s.parts.NotifyPeers()
	}
	s.applied(batch.Revision, fromStore, batch.Items)
}

// applied logs changes that were applied, and watches what lapsed with them.
func (s *Endpoints) applied(revision uint64, from string, changes []directory.Change) {
	for _, change := range changes {
		era.Log(s.parts.Log, revision).WithFields(logrus.Fields{
			"from": from, "endpoint": change.Entry.ID, "gone": change.Gone, "state": change.Entry.Endpoint.State,
			"service": change.Entry.Endpoint.Service, "address": change.Entry.Endpoint.Address,
		}).Info("endpoint changed")
	}
	s.watch(revision)
}

// sendDelta lets the next heartbeats carry changes, if they are few enough.
func (s *Endpoints) sendDelta(from, to uint64, changes []directory.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delta, s.heartbeats = nil, 0
	if len(changes) > maxDelta {
		return
	}
	s.delta, s.heartbeats = &gossip.DirectoryDelta{From: from, To: to}, heartbeatsPerChange
	for i := range changes {
		s.delta.Changes = append(s.delta.Changes, toMessage(&changes[i]))
	}
}

// nextDelta returns the change for the next heartbeat, or nil.
func (s *Endpoints) nextDelta() *gossip.DirectoryDelta {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeats == 0 {
		return nil
	}
	s.heartbeats--
	return s.delta
}

// applyDelta applies a peer's changes, if this host knows all that came before them.
func (s *Endpoints) applyDelta(peer string, delta *gossip.DirectoryDelta) {
	if s.parts.Directory.Revision() < delta.From {
		return
	}
	changes := make([]directory.Change, 0, len(delta.Changes))
	for i := range delta.Changes {
		changes = append(changes, fromMessage(&delta.Changes[i]))
	}
	if s.parts.Directory.Apply(delta.To, changes) {
		s.applied(delta.To, peer, changes)
	}
}

// has reports whether the directory has a change that a host lacks which knows all up to a revision. A host that
// polls its peers would otherwise get the whole directory from each that the store has answered since.
func (s *Endpoints) has(revision uint64) bool {
	if revision == 0 {
		return s.parts.Directory.Revision() > 0
	}
	return s.parts.Directory.Changed() > revision
}

// changes returns what has changed after a peer's revision. Many peers ask for the same at the same time, so that it is kept
// until the next change.
func (s *Endpoints) changes(revision uint64) (gossip.ChangesResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if changed := s.parts.Directory.Changed(); s.responsesOf != changed || len(s.responses) >= mostResponses {
		s.responses, s.responsesOf = make(map[uint64]gossip.ChangesResponse), changed
	}
	if response, ok := s.responses[revision]; ok {
		return response, nil
	}
	response, err := s.compressSince(revision)
	if err == nil {
		s.responses[revision] = response
	}
	return response, err
}

// compressSince compresses what has changed after a revision.
func (s *Endpoints) compressSince(revision uint64) (gossip.ChangesResponse, error) {
	updates, to, ok := s.parts.Directory.Since(revision)
	if !ok {
		return gossip.ChangesResponse{}, nil
	}
	var entries, states []gossip.EndpointChange
	for i := range updates {
		change := toMessage(&updates[i].Change)
		if updates[i].OnlyState {
			states = append(states, gossip.EndpointChange{ID: change.ID, Leaving: change.Leaving})
			continue
		}
		entries = append(entries, change)
	}
	response := gossip.ChangesResponse{IsKnown: true, From: revision, To: to}
	var err error
	if response.Entries, err = compressChanges(entries); err != nil {
		return gossip.ChangesResponse{}, err
	}
	if response.States, err = compressChanges(states); err != nil {
		return gossip.ChangesResponse{}, err
	}
	return response, nil
}

// applyChanges applies what has changed, if this host knows all that came before. It reports false if it lacks what is
// changed.
func (s *Endpoints) applyChanges(peer string, response *gossip.ChangesResponse) bool {
	entries, err := decompressChanges(response.Entries)
	if err == nil {
		var states []directory.Change
		states, err = decompressChanges(response.States)
		if err == nil {
			return s.update(peer, response, entries, states)
		}
	}
	s.parts.Log.WithError(err).WithField("from", peer).Warn("a peer's changes can't be decompressed")
	return false
}

// update applies entries that have changed, and states of entries.
func (s *Endpoints) update(peer string, response *gossip.ChangesResponse, entries, states []directory.Change) bool {
	known := s.parts.Directory.Revision()
	if known < response.From {
		return false
	}
	if known >= response.To {
		return true
	}
	updates := make([]directory.Update, 0, len(entries)+len(states))
	for _, change := range entries {
		updates = append(updates, directory.Update{Change: change})
	}
	for _, change := range states {
		updates = append(updates, directory.Update{Change: change, OnlyState: true})
	}
	if !s.parts.Directory.Update(response.To, updates) {
		return s.parts.Directory.Revision() >= response.To
	}
	era.Log(s.parts.Log, response.To).WithFields(logrus.Fields{"from": peer, "entries": len(entries), "states": len(states)}).Info("changes of endpoints read")
	s.watch(response.To)
	return true
}

// snapshot returns the whole directory for a peer. Compressing it is expensive, so that the
// result is kept until the next change.
func (s *Endpoints) snapshot() (*gossip.DirectorySnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.parts.Directory.Snapshot()
	if s.entries == nil || s.entriesOf != snapshot.Changed {
		entries, err := compressEntries(snapshot.Entries)
		if err != nil {
			return nil, err
		}
		s.entries, s.entriesOf = entries, snapshot.Changed
	}
	return &gossip.DirectorySnapshot{Revision: snapshot.Revision, Changed: snapshot.Changed, Entries: s.entries}, nil
}

// applySnapshot applies the whole directory of a peer, if it is newer.
func (s *Endpoints) applySnapshot(peer string, snapshot *gossip.DirectorySnapshot) {
	entries, err := decompressEntries(snapshot.Entries)
	if err != nil {
		s.parts.Log.WithError(err).WithField("from", peer).Warn("a peer's endpoints can't be decompressed")
		return
	}
	s.replace(directory.Snapshot{Revision: snapshot.Revision, Changed: snapshot.Changed, Entries: entries}, peer)
}

// watch ends what the directory does for a while only with entries that it got at a revision.
func (s *Endpoints) watch(revision uint64) {
	s.watchLapse(revision)
	s.watchReturned(revision)
}

// watchReturned has endpoints take new work whose entries an older copy of the store has brought back, if those last.
func (s *Endpoints) watchReturned(revision uint64) {
	doubted := s.parts.Directory.CountReturned(revision)
	if doubted == 0 {
		return
	}
	log := era.Log(s.parts.Log, revision)
	log.WithField("doubted", doubted).Warn("entries that had gone are back, they are not used for a while")
	s.parts.After(directory.ReturnGrace, func() {
		if trusted := s.parts.Directory.AcceptReturned(revision); len(trusted) > 0 {
			log.WithField("endpoints", trusted).Info("entries that had gone have lasted")
		}
	})
}

// watchLapse removes the entries that lapsed at a revision if they have not come back after a
// while. The directory may have moved on since.
func (s *Endpoints) watchLapse(revision uint64) {
	lapsed := s.parts.Directory.CountLapsed(revision)
	if lapsed == 0 {
		return
	}
	log := era.Log(s.parts.Log, revision)
	log.WithField("lapsed", lapsed).Warn("entries lapsed together, they are kept for a while")
	s.parts.After(directory.LapseGrace, func() {
		if dropped := s.parts.Directory.DropLapsed(revision); len(dropped) > 0 {
			log.WithField("endpoints", dropped).Warn("lapsed entries have not come back")
		}
	})
}

func toMessage(change *directory.Change) gossip.EndpointChange {
	e := &change.Entry.Endpoint
	return gossip.EndpointChange{
		ID: change.Entry.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, Version: e.Version,
		Slots: e.MaxInFlight, Leaving: e.State == settings.StateOut, Gone: change.Gone,
	}
}

func fromMessage(change *gossip.EndpointChange) directory.Change {
	state := settings.StateIn
	if change.Leaving {
		state = settings.StateOut
	}
	return directory.Change{Gone: change.Gone, Entry: directory.Entry{ID: change.ID, Endpoint: settings.Endpoint{
		Service: change.Service, Address: change.Address, Zone: change.Zone, Version: change.Version,
		MaxInFlight: change.Slots, State: state,
	}}}
}

func compressEntries(entries []directory.Entry) ([]byte, error) {
	changes := make([]gossip.EndpointChange, 0, len(entries))
	for i := range entries {
		changes = append(changes, toMessage(&directory.Change{Entry: entries[i]}))
	}
	return compressChanges(changes)
}

// compressChanges compresses changes for peers.
func compressChanges(changes []gossip.EndpointChange) ([]byte, error) {
	data, err := cbor.Marshal(changes)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return pack.Compress(nil, data)
}

func decompressEntries(compressed []byte) ([]directory.Entry, error) {
	changes, err := decompressChanges(compressed)
	if err != nil {
		return nil, err
	}
	entries := make([]directory.Entry, 0, len(changes))
	for i := range changes {
		entries = append(entries, changes[i].Entry)
	}
	return entries, nil
}

// decompressChanges returns the changes that compressChanges has compressed.
func decompressChanges(compressed []byte) ([]directory.Change, error) {
	data, err := pack.Decompress(nil, compressed)
	if err != nil {
		return nil, err
	}
	var messages []gossip.EndpointChange
	if err := cbor.Unmarshal(data, &messages); err != nil {
		return nil, merry.Wrap(err)
	}
	changes := make([]directory.Change, 0, len(messages))
	for i := range messages {
		changes = append(changes, fromMessage(&messages[i]))
	}
	return changes, nil
}
