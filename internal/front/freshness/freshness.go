// Package freshness knows how old what this host believes may be: up to which moment the store has
// confirmed that the host's settings and its directory of endpoints are complete. From that it
// decides when a host must ask the store itself.
//
// It owns the newest confirmation of each topic and an estimate of the store's clock. Moments are
// readings of that clock, which all hosts share: a confirmation that arrives late, out of order or
// twice says the same as one that arrives at once, and what waited in a socket while its host was
// frozen does not look newer than it is. It does no input or output; package follow reports what the
// store answers, and package peersync what peers confirm.
package freshness

import (
	"fmt"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/era"
)

// Topic is one of the things that a host knows from the store.
type Topic int

// The topics.
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

// StoreTime is a reading of the store's steady clock: the time since a moment of the store's own. Those of different eras of
// the store are not compared: another machine may be the store then.
type StoreTime time.Duration

// Answer is what an answer of the store to a call of this host confirms: what the host has in force
// then is complete up to Revision, as of At.
type Answer struct {
	Revision uint64
	// At is the store's clock when it answered.
	At StoreTime
	// Sent and Received are this host's monotonic clock around the call.
	Sent     time.Time
	Received time.Time
}

// Confirmation says that a host knew a topic completely as of a moment.
type Confirmation struct {
	// Newest identifies what the host has in force: the number of its settings, or the newest change of
	// its directory. Any host that has the same or more is as complete.
	Newest uint64
	// Revision is the state of the store up to which that is complete.
	Revision uint64
	AsOf     StoreTime
}

// Parts are what a State works with.
type Parts struct {
	Clock func() time.Time
	// KnownRevision returns what this host has of a topic, to compare with Confirmation.Newest: the number of its
	// settings, or the revision up to which it knows the directory.
	KnownRevision func(Topic) uint64
	// Newest returns what the host's own confirmations carry as Newest.
	Newest func(Topic) uint64
}

// State is how old this host's knowledge may be. It is safe for concurrent use.
type State struct {
	parts   Parts
	started time.Time

	mu sync.Mutex
	// era is the newest era of the store that is known, store its clock.
	era    uint64
	store  storeClock
	topics [NumTopics]topicState
}

// topicState is up to when a topic is confirmed.
type topicState struct {
	// known is set once the topic has been confirmed at all.
	known bool
	// revision and asOf are up to where this host's knowledge is complete.
	revision uint64
	asOf     StoreTime
	// ahead is the newest confirmation of a peer that has more than this host.
	ahead Confirmation
	// staleAge is how old the topic was at staleAt, when a newer era than that of its revision became known.
	staleAge time.Duration
	staleAt  time.Time
}

// New returns a state in which nothing is confirmed.
func New(parts Parts) *State {
	now := parts.Clock()
	return &State{parts: parts, started: now, store: storeClock{epoch: now}}
}

// RecordAnswer notes that the store has answered this host's call for a topic, and that the host has
// put in force what the answer brought. An answer of an earlier era than is known counts for nothing.
func (s *State) RecordAnswer(topic Topic, answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(era.Of(answer.Revision))
	if era.Of(answer.Revision) < s.era {
		return
	}
	s.store.answered(answer)
	s.topics[topic].raise(answer.Revision, answer.At)
}

// enter notes an era of the store. In a newer one than is known, readings of its clock begin anew, and what is known of the
// topics is of before. The lock is held.
func (s *State) enter(newest uint64) {
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

// RecordConfirmation notes the confirmation of a peer, which arrived just now. What the host lacks of it is confirmed once
// the host has it.
func (s *State) RecordConfirmation(topic Topic, c Confirmation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(era.Of(c.Revision))
	if era.Of(c.Revision) < s.era {
		return
	}
	s.store.sample(c.AsOf, s.parts.Clock())
	t := &s.topics[topic]
	switch {
	case s.parts.KnownRevision(topic) >= c.Newest:
		t.raise(c.Revision, c.AsOf)
	case era.Of(c.Revision) > era.Of(t.ahead.Revision) || c.AsOf > t.ahead.AsOf:
		t.ahead = c
	}
}

// settle counts the confirmation of a peer that had more than this host, if the host has got it since. The lock
// is held.
func (s *State) settle(topic Topic) {
	t := &s.topics[topic]
	if t.ahead.AsOf > 0 && s.parts.KnownRevision(topic) >= t.ahead.Newest {
		t.raise(t.ahead.Revision, t.ahead.AsOf)
		t.ahead = Confirmation{}
	}
}

// raise notes that this host's knowledge is complete up to a revision, as of a moment.
func (t *topicState) raise(revision uint64, asOf StoreTime) {
	if era.Of(revision) < era.Of(t.revision) {
		return
	}
	if !t.known || era.Of(revision) > era.Of(t.revision) || asOf > t.asOf {
		t.asOf, t.known = asOf, true
	}
	t.revision = max(t.revision, revision)
}

// OwnConfirmation returns what this host can confirm to others of a topic, or false if it knows of no confirmation.
func (s *State) OwnConfirmation(topic Topic) (Confirmation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &s.topics[topic]
	return Confirmation{Newest: s.parts.Newest(topic), Revision: t.revision, AsOf: t.asOf}, t.known
}

// Revision returns the state of the store up to which a topic is known to be complete, or 0.
func (s *State) Revision(topic Topic) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(topic)
	return s.topics[topic].revision
}

// UnknownAge is the age of what the store has not confirmed since the host's start.
const UnknownAge time.Duration = -time.Millisecond

// Age returns how long ago a topic was last known to be complete, or Unknown.
func (s *State) Age(topic Topic) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(topic)
	return s.ageOf(&s.topics[topic], s.parts.Clock())
}

// ageOf returns the age of a topic at a time. The lock is held.
func (s *State) ageOf(t *topicState, now time.Time) time.Duration {
	switch {
	case !t.known:
		return UnknownAge
	case era.Of(t.revision) < s.era:
		return t.staleAge + now.Sub(t.staleAt)
	}
	return max(time.Duration(s.store.now(now)-t.asOf), 0)
}

// Era returns the newest era of the store that is known.
func (s *State) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// StoreTime returns the least that the store's clock shows at a time of this host, or false if nothing has said so
// lately.
func (s *State) StoreTime(at time.Time) (StoreTime, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.now(at), s.store.best().known
}

// unconfirmed returns how long a topic has not been confirmed: since its last confirmation or the
// host's start.
func (s *State) unconfirmed(topic Topic) time.Duration {
	if age := s.Age(topic); age != UnknownAge {
		return age
	}
	return s.parts.Clock().Sub(s.started)
}
