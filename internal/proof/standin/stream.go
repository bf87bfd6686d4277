package standin

import (
	"sync"
	"time"
)

// streamState is how a stream stands.
type streamState uint8

const (
	streamOpen streamState = iota
	streamWhole
	// streamLost: the engine lost it.
	streamLost
)

// stream is an answer as it grows. Its text is a function of the prompt, so
// that any reader can check it.
type stream struct {
	id   string
	text answerText

	mu      sync.Mutex
	tokens  int
	state   streamState
	changed chan struct{}
	// first is the first token that this engine generates, when it goes on
	// from a part of an answer.
	first   int
	endedAt time.Time
}

func newStream(id string, text answerText, first int) *stream {
	return &stream{id: id, text: text, tokens: first, first: first, changed: make(chan struct{})}
}

func (s *stream) advance(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = tokens
	s.signal()
}

func (s *stream) end(state streamState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == streamOpen {
		s.state = state
	}
	s.signal()
}

func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// look returns the state and a channel that is closed when it changes.
func (s *stream) look() (int, streamState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens, s.state, s.changed
}
