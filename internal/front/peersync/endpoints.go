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

// maxDeltaChanges bounds a change of the directory that is sent with heartbeats; peers fetch a larger one. 64
// entries fit in a datagram.
const maxDeltaChanges = 64

// maxLoggedChanges is the number of changes up to which each has its own log line.
const maxLoggedChanges = 8

// maxBulkChanges and maxBulkBytes bound the changes that are sent to all hosts of a large fleet in one datagram. A change
// takes some 25 B. maxPendingChanges bounds the answers of the store whose changes wait to be sent.
const (
	maxBulkChanges    = 500
	maxBulkBytes      = 12 << 10
	maxPendingChanges = 16
)

// pendingChanges are the changes after a revision up to another one.
type pendingChanges struct {
	from, to uint64
	changes  []directory.Change
}

// maxCachedResponses bounds the cached responses for peers, some KB each.
const maxCachedResponses = 16

// Endpoints keeps the directory up to date, from the store or from peers. It implements follow.Sink.
type Endpoints struct {
	parts EndpointsParts

	mu sync.Mutex
	// delta is the newest change, heartbeatsLeft the number of further heartbeats that carry it.
	delta          *gossip.DirectoryDelta
	heartbeatsLeft int
	// pending are the changes since the last heartbeat, one after the other.
	pending []pendingChanges
	// compressedEntries are all entries as of the change compressedAt, compressed for peers.
	compressedEntries []byte
	compressedAt      uint64
	// responses caches the compressed changes after some revisions up to the change responsesAt.
	responses   map[uint64]gossip.ChangesResponse
	responsesAt uint64
}

// EndpointsParts are the dependencies of Endpoints.
type EndpointsParts struct {
	Directory *directory.Directory
	Log       *logrus.Entry
	// NotifyPeers is called when a change must reach peers immediately.
	NotifyPeers func()
	// After runs a function after a delay.
	After func(wait time.Duration, run func())
}

// NewEndpoints returns a sink for a directory.
func NewEndpoints(parts EndpointsParts) *Endpoints {
	return &Endpoints{parts: parts, responses: make(map[uint64]gossip.ChangesResponse)}
}

// Replace replaces the directory with the whole table of the store.
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
	s.scheduleChecks(snapshot.Revision)
}

// Apply applies changes from the store.
func (s *Endpoints) Apply(batch follow.Batch[directory.Change]) {
	from := s.parts.Directory.Changed()
	if !s.parts.Directory.Apply(batch.Revision, batch.Items) {
		return
	}
	if len(batch.Items) > 0 {
		s.scheduleDelta(from, batch.Revision, batch.Items)
		s.parts.NotifyPeers()
	}
	s.finishApply(batch.Revision, fromStore, batch.Items)
}

// finishApply logs changes that were applied, and schedules the checks that they need.
func (s *Endpoints) finishApply(revision uint64, from string, changes []directory.Change) {
	if len(changes) > maxLoggedChanges {
		leaving := 0
		for i := range changes {
			if changes[i].Gone || changes[i].Entry.Endpoint.State == settings.StateOut {
				leaving++
			}
		}
		era.Log(s.parts.Log, revision).WithFields(logrus.Fields{"from": from, "changes": len(changes), "leaving_or_gone": leaving}).Info("endpoints changed")
		changes = nil
	}
	for _, change := range changes {
		era.Log(s.parts.Log, revision).WithFields(logrus.Fields{
			"from": from, "endpoint": change.Entry.ID, "gone": change.Gone, "state": change.Entry.Endpoint.State,
			"service": change.Entry.Endpoint.Service, "address": change.Entry.Endpoint.Address,
		}).Info("endpoint changed")
	}
	s.scheduleChecks(revision)
}

// scheduleDelta adds changes to the next heartbeats, if they are few enough.
func (s *Endpoints) scheduleDelta(from, to uint64, changes []directory.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedulePending(from, to, changes)
	s.delta, s.heartbeatsLeft = nil, 0
	if len(changes) > maxDeltaChanges {
		return
	}
	s.delta, s.heartbeatsLeft = &gossip.DirectoryDelta{From: from, To: to, Changes: messagesOf(changes)}, heartbeatsPerChange
}

// schedulePending adds changes to those that are still to be sent to all hosts of a large fleet. The lock is held.
func (s *Endpoints) schedulePending(from, to uint64, changes []directory.Change) {
	if last := len(s.pending) - 1; last >= 0 && s.pending[last].to != from {
		s.pending = nil
	}
	s.pending = append(s.pending, pendingChanges{from: from, to: to, changes: changes})
	if len(s.pending) > maxPendingChanges {
		s.pending = nil
	}
}

// nextBulk returns the changes since the last call, for all hosts of a large fleet. Successive changes share a message as
// long as it fits a datagram; a change that does not fit one is left out, and fetched.
func (s *Endpoints) nextBulk() []*gossip.ChangesResponse {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	var bulk []*gossip.ChangesResponse
	for len(pending) > 0 {
		joined := 1
		messages := messagesOf(pending[0].changes)
		for joined < len(pending) && len(messages)+len(pending[joined].changes) <= maxBulkChanges {
			messages = append(messages, messagesOf(pending[joined].changes)...)
			joined++
		}
		entries, err := compressChanges(messages)
		if err != nil {
			s.parts.Log.WithError(err).Error("changes of endpoints can't be compressed for peers, they have to fetch them")
		} else if len(entries) <= maxBulkBytes {
			bulk = append(bulk, &gossip.ChangesResponse{IsKnown: true, From: pending[0].from, To: pending[joined-1].to, Entries: entries})
		}
		pending = pending[joined:]
	}
	return bulk
}

func messagesOf(changes []directory.Change) []gossip.EndpointChange {
	messages := make([]gossip.EndpointChange, 0, len(changes))
	for i := range changes {
		messages = append(messages, toMessage(&changes[i]))
	}
	return messages
}

// nextDelta returns the changes for the next heartbeat, or nil.
func (s *Endpoints) nextDelta() *gossip.DirectoryDelta {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = nil
	if s.heartbeatsLeft == 0 {
		return nil
	}
	s.heartbeatsLeft--
	return s.delta
}

// applyDelta applies a peer's changes, if this host has all changes before them.
func (s *Endpoints) applyDelta(peer string, delta *gossip.DirectoryDelta) {
	if s.parts.Directory.Revision() < delta.From {
		return
	}
	changes := make([]directory.Change, 0, len(delta.Changes))
	for i := range delta.Changes {
		changes = append(changes, fromMessage(&delta.Changes[i]))
	}
	if s.parts.Directory.Apply(delta.To, changes) {
		s.finishApply(delta.To, peer, changes)
	}
}

// hasNewerThan reports whether the directory has a change after a revision. It compares with the newest change
// rather than with the directory's revision: otherwise a host that polls its peers would get the whole directory
// from each one that the store has answered since.
func (s *Endpoints) hasNewerThan(revision uint64) bool {
	if revision == 0 {
		return s.parts.Directory.Revision() > 0
	}
	return s.parts.Directory.Changed() > revision
}

// changes returns the changes after a peer's revision. Many peers request the same changes at the same time, so that
// responses are cached until the next change.
func (s *Endpoints) changes(revision uint64) (gossip.ChangesResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if changed := s.parts.Directory.Changed(); s.responsesAt != changed || len(s.responses) >= maxCachedResponses {
		s.responses, s.responsesAt = make(map[uint64]gossip.ChangesResponse), changed
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

// compressSince compresses the changes after a revision.
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

// applyChanges applies a peer's changes. It returns false if this host lacks earlier changes or an entry of which only
// the state changes, or if the changes cannot be decompressed.
func (s *Endpoints) applyChanges(peer string, response *gossip.ChangesResponse) bool {
	if s.parts.Directory.Revision() >= response.To {
		return true
	}
	entries, err := decompressChanges(response.Entries)
	if err == nil {
		var states []directory.Change
		states, err = decompressChanges(response.States)
		if err == nil {
			return s.update(peer, response, entries, states)
		}
	}
	s.parts.Log.WithError(err).WithField("from", peer).Warn("a peer's changes can't be decompressed, a snapshot is fetched instead")
	return false
}

// update applies changes of entries, and changes of states alone.
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
	era.Log(s.parts.Log, response.To).WithFields(logrus.Fields{"from": peer, "entries": len(entries), "states": len(states)}).Info("endpoint changes read")
	s.scheduleChecks(response.To)
	return true
}

// snapshot returns the whole directory for a peer. The compressed entries are cached until the next change, because
// compression is expensive.
func (s *Endpoints) snapshot() (*gossip.DirectorySnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.parts.Directory.Snapshot()
	if s.compressedEntries == nil || s.compressedAt != snapshot.Changed {
		entries, err := compressEntries(snapshot.Entries)
		if err != nil {
			return nil, err
		}
		s.compressedEntries, s.compressedAt = entries, snapshot.Changed
	}
	return &gossip.DirectorySnapshot{Revision: snapshot.Revision, Changed: snapshot.Changed, Entries: s.compressedEntries}, nil
}

// applySnapshot applies a peer's whole directory, if it is newer.
func (s *Endpoints) applySnapshot(peer string, snapshot *gossip.DirectorySnapshot) {
	entries, err := decompressEntries(snapshot.Entries)
	if err != nil {
		s.parts.Log.WithError(err).WithField("from", peer).Warn("a peer's endpoints can't be decompressed, they are ignored")
		return
	}
	s.replace(directory.Snapshot{Revision: snapshot.Revision, Changed: snapshot.Changed, Entries: entries}, peer)
}

// scheduleChecks schedules the end of the grace periods of entries that lapsed or returned at a revision.
func (s *Endpoints) scheduleChecks(revision uint64) {
	s.scheduleLapseCheck(revision)
	s.scheduleReturnCheck(revision)
}

// scheduleReturnCheck allows new work, after the grace period, for endpoints whose entries a restore of the store
// has brought back and that still exist.
func (s *Endpoints) scheduleReturnCheck(revision uint64) {
	returned := s.parts.Directory.CountReturned(revision)
	if returned == 0 {
		return
	}
	log := era.Log(s.parts.Log, revision)
	log.WithField("doubted", returned).Warn("removed entries are back, they get no new work for the grace period")
	s.parts.After(directory.ReturnGrace, func() {
		if accepted := s.parts.Directory.AcceptReturned(revision); len(accepted) > 0 {
			log.WithField("endpoints", accepted).Info("returned entries outlasted the grace period, they get new work")
		}
	})
}

// scheduleLapseCheck removes the entries that lapsed at a revision, unless they are written again within the grace
// period. The directory may be at a later revision by then.
func (s *Endpoints) scheduleLapseCheck(revision uint64) {
	lapsed := s.parts.Directory.CountLapsed(revision)
	if lapsed == 0 {
		return
	}
	log := era.Log(s.parts.Log, revision)
	log.WithField("lapsed", lapsed).Warn("entries lapsed together, keeping them for the grace period")
	s.parts.After(directory.LapseGrace, func() {
		if dropped := s.parts.Directory.DropLapsed(revision); len(dropped) > 0 {
			log.WithField("endpoints", dropped).Warn("lapsed entries were not written again within the grace period, dropped")
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

// decompressChanges reverses compressChanges. No data stand for no changes.
func decompressChanges(compressed []byte) ([]directory.Change, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
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
