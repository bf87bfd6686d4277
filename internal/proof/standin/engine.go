package standin

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/proof/emulator"
)

// EngineFaults are the faults that an engine stand-in shows while they are set.
type EngineFaults struct {
	// Slow makes every step take this many times as long; 0 means normal.
	Slow float64 `json:"slow,omitzero"`
	// Stall stops all steps.
	Stall bool `json:"stall,omitzero"`
	// DropAfterReading reads a request and closes the connection. The request
	// runs all the same.
	DropAfterReading bool `json:"drop_after_reading,omitzero"`
	// Refuse answers 503 and says that the request was not started.
	Refuse bool `json:"refuse,omitzero"`
	// BreakAfter cuts each stream's connection after so many tokens; the stream
	// itself goes on and can be resumed.
	BreakAfter int `json:"break_after,omitzero"`
	// CutAnswer sends only a part of a unary answer.
	CutAnswer bool `json:"cut_answer,omitzero"`
	// WrongID answers with another request's ID.
	WrongID bool `json:"wrong_id,omitzero"`
}

// EngineConfig is what an engine stand-in is.
type EngineConfig struct {
	Name  string
	Model string
	Speed emulator.Config
	// StreamRetention is how long an ended stream can be resumed.
	StreamRetention time.Duration
	// CanContinue is set if the engine goes on from a part of an answer.
	CanContinue bool
}

const (
	defaultKeepStreams = 30 * time.Second
)

// Engine is a stand-in for a model engine.
type Engine struct {
	config EngineConfig
	server *http.Server

	mu         sync.Mutex
	address    string
	crashed    bool
	model      *emulator.Engine
	faults     EngineFaults
	streams    map[string]*stream
	executions map[string]int
	lastBegun  time.Time
	wake       chan struct{}
	done       chan struct{}
	stopped    chan struct{}
}

// NewEngine returns an engine that does not listen yet.
func NewEngine(config EngineConfig) *Engine {
	if config.Speed.MaxRunning == 0 {
		config.Speed = emulator.DefaultConfig
	}
	if config.StreamRetention == 0 {
		config.StreamRetention = defaultKeepStreams
	}
	return &Engine{
		config:     config,
		model:      emulator.New(config.Speed),
		streams:    make(map[string]*stream),
		executions: make(map[string]int),
		wake:       make(chan struct{}, 1),
	}
}

// Start listens on an address; port 0 picks a free one, and a later Start
// takes the same again.
func (e *Engine) Start(address string) error {
	if e.address != "" {
		address = e.address
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("engine stand-in: %w", err)
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", e.chat).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", e.models).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodGet)
	router.HandleFunc("/standin/faults", e.setFaults).Methods(http.MethodPost)
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: router, ReadHeaderTimeout: headerTime}
	e.crashed = false
	e.done = make(chan struct{})
	e.stopped = make(chan struct{})
	go serve(e.server, listener)
	go e.run(e.done, e.stopped)
	return nil
}

const headerTime = 10 * time.Second

// serve ends when the server is closed, and then its error says just that.
func serve(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

// Address is where the engine listens.
func (e *Engine) Address() string { return e.address }

// Crash ends the engine at once: its connections break, and what it ran is
// lost. Start brings it back, empty. A crashed engine may be crashed again.
func (e *Engine) Crash() {
	if e.crashed {
		return
	}
	e.crashed = true
	close(e.done)
	<-e.stopped
	e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Crash()
	for id, s := range e.streams {
		s.end(streamLost)
		delete(e.streams, id)
	}
}

// SetFaults replaces the faults that the engine shows.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	slow := f.Slow
	if slow == 0 {
		slow = 1
	}
	e.model.SetSlow(slow)
	e.model.SetStalled(time.Now(), f.Stall)
	e.nudge()
}

// Executions returns how often each request was begun, by request ID.
func (e *Engine) Executions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.executions)
}

// LastStart returns when the engine last began a request.
func (e *Engine) LastStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastBegun
}

// Generated counts the tokens of all answers.
func (e *Engine) Generated() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.AnswerTokensGenerated
}

func (e *Engine) nudge() {
	lifetime.Wake(e.wake)
}

// run drives the model in real time.
func (e *Engine) run(done, stopped chan struct{}) {
	defer close(stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := e.step()
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-e.wake:
		case <-done:
			return
		}
	}
}

// idleWait is how long an engine with nothing to do sleeps, if nothing wakes
// it.
const idleWait = 250 * time.Millisecond

func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, event := range e.model.Step(now) {
		e.deliver(now, event)
	}
	e.forgetStreams(now)
	next, ok := e.model.Next()
	if !ok {
		return idleWait
	}
	return max(0, time.Until(next))
}

func (e *Engine) deliver(now time.Time, event emulator.Event) {
	s, ok := e.streams[event.ID]
	if !ok {
		return
	}
	switch event.Kind {
	case emulator.Token:
		s.advance(event.Tokens)
	case emulator.Last:
		s.advance(event.Tokens)
		s.endedAt = now
		s.end(streamWhole)
	}
}

func (e *Engine) forgetStreams(now time.Time) {
	for id, s := range e.streams {
		if !s.endedAt.IsZero() && now.Sub(s.endedAt) > e.config.StreamRetention {
			delete(e.streams, id)
		}
	}
}
