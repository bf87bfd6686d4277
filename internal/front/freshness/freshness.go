// Package freshness knows how old what this host believes may be: up to which moment the store has
// confirmed that the host's settings and its directory of endpoints are complete.
//
// It owns the newest confirmation of each topic and an estimate of the store's clock. Moments are
// readings of that clock, which all hosts share: a confirmation that arrives late, out of order or
// twice says the same as one that arrives at once, and what waited in a socket while its host was
// frozen does not look newer than it is. It does no input or output; package follow reports what the
// store answers.
package freshness

import (
	"fmt"
	"sync"
	"time"
)

// Topic is one of the things that a host knows from the store.
type Topic int

// The topics.
const (
	Settings Topic = iota
	Endpoints
	Topics
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

// StoreTime is a reading of the store's steady clock: the time since a moment of the store's own.
type StoreTime time.Duration

// Answer is when an answer of the store was made, sent for and received. What the host knows after
// it is complete as of At.
type Answer struct {
	// At is the store's clock when it answered.
	At StoreTime
	// Sent and Received are this host's monotonic clock around the call.
	Sent     time.Time
	Received time.Time
}

// State is how old this host's knowledge may be. It is safe for concurrent use.
type State struct {
	clock func() time.Time

	mu    sync.Mutex
	store storeClock
	// asOf is the moment up to which each topic is complete.
	asOf [Topics]StoreTime
	// confirmed is set once a topic has been confirmed at all.
	confirmed [Topics]bool
}

// New returns a state in which nothing is confirmed.
func New(clock func() time.Time) *State {
	return &State{clock: clock, store: storeClock{epoch: clock()}}
}

// Answered notes that the store has answered this host's call for a topic, and that the host has
// put in force what the answer brought.
func (s *State) Answered(topic Topic, answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.answered(answer)
	s.confirm(topic, answer.At)
}

// confirm raises the moment up to which a topic is complete. The lock is held.
func (s *State) confirm(topic Topic, asOf StoreTime) {
	if s.confirmed[topic] && asOf <= s.asOf[topic] {
		return
	}
	s.asOf[topic], s.confirmed[topic] = asOf, true
}

// Unknown is the age of what the store has not confirmed since the host's start.
const Unknown time.Duration = -time.Millisecond

// Age returns how long ago a topic was last known to be complete, or Unknown.
func (s *State) Age(topic Topic) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.confirmed[topic] {
		return Unknown
	}
	return max(time.Duration(s.store.now(s.clock())-s.asOf[topic]), 0)
}
