package standin

import (
	"sync"
	"time"
)

// streamState is the state of a stream.
type streamState uint8

const (
	streamOpen streamState = iota
	streamComplete
	// streamLost means that the engine crashed.
	streamLost
)

// stream is an answer that is being generated. Its text depends only on the prompt, so any reader can check it.
type stream struct {
	id   string
	text answerText

	mu      sync.Mutex
	tokens  int
	state   streamState
	changed chan struct{}
	// partial is the number of tokens in the partial answer that the engine continues.
	partial int
	endedAt time.Time
}

func newStream(id string, text answerText, partial int) *stream {
	return &stream{id: id, text: text, tokens: partial, partial: partial, changed: make(chan struct{})}
}

func (s *stream) advance(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = tokens
	s.notify()
}

func (s *stream) end(state streamState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == streamOpen {
		s.state = state
	}
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot returns the number of tokens, the state and a channel that is closed when either changes.
func (s *stream) snapshot() (int, streamState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens, s.state, s.changed
}
