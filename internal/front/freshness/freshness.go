// Package freshness tracks the age of this host's settings and directory of endpoints: the point in time up to which
// the store has confirmed that they are complete. From the age it decides when the host must call the store itself.
//
// It owns the newest confirmation of each topic and an estimate of the store's clock. Times in confirmations are
// readings of that clock, which all hosts share. A confirmation therefore means the same if it arrives late, out of
// order or twice, and a message that waited in a socket while its host was suspended does not appear newer than it
// is. The package does no I/O: package follow reports the store's answers, and package peersync the confirmations of
// peers.
package freshness

import (
	"fmt"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/era"
)

// Topic is a table of the store that hosts follow.
type Topic int

const (
	Settings Topic = iota
	Endpoints
	NumTopics
)

// String returns the topic's name in logs and metrics.
func (t Topic) String() string {
	switch t {
	case Settings:
		return "settings"
	case Endpoints:
		return "endpoints"
	}
	return fmt.Sprintf("topic %d", int(t))
}

// StoreTime is a reading of the store's monotonic clock: the time since a starting point that the store chooses.
// Readings from different eras are not comparable, because another machine may run the store after a restore.
type StoreTime time.Duration

// Answer describes an answer of the store to a call of this host. It confirms that the state in force at this host
// after the answer was complete up to Revision at the time At.
type Answer struct {
	Revision uint64
	// At is the store's clock at the time of the answer.
	At StoreTime
	// Sent and Received are readings of this host's monotonic clock before and after the call.
	Sent     time.Time
	Received time.Time
}

// Confirmation states that a host's copy of a topic was complete at a point in time.
type Confirmation struct {
	// Newest identifies the state in force at the host: the number of its settings, or the newest change of its
	// directory. A host with the same or a later state is as complete.
	Newest uint64
	// Revision is the revision of the store up to which that state is complete.
	Revision uint64
	AsOf     StoreTime
}

// Parts are the dependencies of a State.
type Parts struct {
	Clock func() time.Time
	// KnownRevision returns the state of a topic at this host, to compare with Confirmation.Newest: the number of
	// its settings, or the revision up to which its directory is complete.
	KnownRevision func(Topic) uint64
	// Newest returns the value of Newest in this host's own confirmations.
	Newest func(Topic) uint64
}

// State tracks the age of this host's copy of each topic. It is safe for concurrent use.
type State struct {
	parts   Parts
	started time.Time

	mu sync.Mutex
	// era is the newest era seen, store estimates the store's clock in that era.
	era    uint64
	store  storeClock
	topics [NumTopics]topicState
}

// topicState holds the confirmations of a topic.
type topicState struct {
	// isConfirmed is set once the topic has been confirmed.
	isConfirmed bool
	// revision and asOf are the revision and the point in time up to which this host's copy is complete.
	revision uint64
	asOf     StoreTime
	// pending is the newest confirmation from a peer with a later state than this host's.
	pending Confirmation
	// staleAge is the topic's age at staleAt, the time at which an era later than that of its revision was first
	// seen.
	staleAge time.Duration
	staleAt  time.Time
}

// New returns a State without confirmations.
func New(parts Parts) *State {
	now := parts.Clock()
	return &State{parts: parts, started: now, store: storeClock{epoch: now}}
}

// RecordAnswer records an answer of the store to this host's call for a topic. The host must have put in force what
// the answer contained. An answer from an earlier era is ignored.
func (s *State) RecordAnswer(topic Topic, answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enterEra(era.Of(answer.Revision))
	if era.Of(answer.Revision) < s.era {
		return
	}
	s.store.addRoundTrip(answer)
	s.topics[topic].advance(answer.Revision, answer.At)
}

// enterEra switches to an era if it is newer. Readings of the store's clock then start anew, and the topics keep
// aging from their age at this time, because their confirmations are from an earlier era. The lock is held.
func (s *State) enterEra(newest uint64) {
	if newest <= s.era {
		return
	}
	now := s.parts.Clock()
	for topic := range NumTopics {
		t := &s.topics[topic]
		t.staleAge, t.staleAt = s.ageOf(t, now), now
	}
	s.era, s.store = newest, storeClock{epoch: s.store.epoch}
}

// RecordConfirmation records a confirmation that has just arrived from a peer. If the peer has a later state, it
// takes effect once this host has reached that state.
func (s *State) RecordConfirmation(topic Topic, c Confirmation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enterEra(era.Of(c.Revision))
	if era.Of(c.Revision) < s.era {
		return
	}
	s.store.addSample(c.AsOf, s.parts.Clock())
	t := &s.topics[topic]
	switch {
	case s.parts.KnownRevision(topic) >= c.Newest:
		t.advance(c.Revision, c.AsOf)
	case era.Of(c.Revision) > era.Of(t.pending.Revision) || c.AsOf > t.pending.AsOf:
		t.pending = c
	}
}

// applyPending applies the pending confirmation if this host has reached its state. The lock is held.
func (s *State) applyPending(topic Topic) {
	t := &s.topics[topic]
	if t.pending.AsOf > 0 && s.parts.KnownRevision(topic) >= t.pending.Newest {
		t.advance(t.pending.Revision, t.pending.AsOf)
		t.pending = Confirmation{}
	}
}

// advance records that this host's copy is complete up to a revision at a point in time.
func (t *topicState) advance(revision uint64, asOf StoreTime) {
	if era.Of(revision) < era.Of(t.revision) {
		return
	}
	if !t.isConfirmed || era.Of(revision) > era.Of(t.revision) || asOf > t.asOf {
		t.asOf, t.isConfirmed = asOf, true
	}
	t.revision = max(t.revision, revision)
}

// OwnConfirmation returns the confirmation of a topic that this host can send to others, or false if there is none.
func (s *State) OwnConfirmation(topic Topic) (Confirmation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &s.topics[topic]
	return Confirmation{Newest: s.parts.Newest(topic), Revision: t.revision, AsOf: t.asOf}, t.isConfirmed
}

// Revision returns the revision of the store up to which a topic is complete, or 0.
func (s *State) Revision(topic Topic) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyPending(topic)
	return s.topics[topic].revision
}

// UnknownAge is the age of a topic that has not been confirmed since the host started.
const UnknownAge time.Duration = -time.Millisecond

// Age returns the time since a topic was last confirmed to be complete, or UnknownAge.
func (s *State) Age(topic Topic) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyPending(topic)
	return s.ageOf(&s.topics[topic], s.parts.Clock())
}

// ageOf returns the age of a topic at a time. The lock is held.
func (s *State) ageOf(t *topicState, now time.Time) time.Duration {
	switch {
	case !t.isConfirmed:
		return UnknownAge
	case era.Of(t.revision) < s.era:
		return t.staleAge + now.Sub(t.staleAt)
	}
	return max(time.Duration(s.store.now(now)-t.asOf), 0)
}

// Era returns the newest era seen.
func (s *State) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// StoreTime returns a lower bound of the store's clock at a time of this host, or false if there is no recent
// reading.
func (s *State) StoreTime(at time.Time) (StoreTime, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.now(at), s.store.bestOffset().isKnown
}

// unconfirmedFor returns how long a topic has not been confirmed: since its last confirmation or the
// host's start.
func (s *State) unconfirmedFor(topic Topic) time.Duration {
	if age := s.Age(topic); age != UnknownAge {
		return age
	}
	return s.parts.Clock().Sub(s.started)
}
