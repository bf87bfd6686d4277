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

// EngineFaults are the faults that an engine injects while they are set.
type EngineFaults struct {
	// Slow multiplies the duration of every step; 0 means 1.
	Slow float64 `json:"slow,omitzero"`
	// Stall stops all steps.
	Stall bool `json:"stall,omitzero"`
	// DropAfterReading closes the connection after reading the request, and still runs it.
	DropAfterReading bool `json:"drop_after_reading,omitzero"`
	// Refuse answers 503 and reports that the request was not started.
	Refuse bool `json:"refuse,omitzero"`
	// BreakAfter aborts the connection of each stream after this many tokens. The stream continues and can be resumed.
	BreakAfter int `json:"break_after,omitzero"`
	// CutAnswer truncates non-streaming answers.
	CutAnswer bool `json:"cut_answer,omitzero"`
	// WrongID answers with the ID of another request.
	WrongID bool `json:"wrong_id,omitzero"`
}

// EngineConfig configures an engine.
type EngineConfig struct {
	Name  string
	Model string
	Speed emulator.Config
	// StreamRetention is how long a completed stream can be resumed.
	StreamRetention time.Duration
	// CanContinue is set if the engine accepts requests to continue a partial answer.
	CanContinue bool
}

const (
	defaultStreamRetention = 30 * time.Second
)

// Engine is a stand-in for a model engine. It runs an emulator.Engine in real time.
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
	lastStart  time.Time
	wake       chan struct{}
	done       chan struct{}
	stopped    chan struct{}
}

// NewEngine returns an engine that is not started.
func NewEngine(config EngineConfig) *Engine {
	if config.Speed.MaxRunning == 0 {
		config.Speed = emulator.DefaultConfig
	}
	if config.StreamRetention == 0 {
		config.StreamRetention = defaultStreamRetention
	}
	return &Engine{
		config:     config,
		model:      emulator.New(config.Speed),
		streams:    make(map[string]*stream),
		executions: make(map[string]int),
		wake:       make(chan struct{}, 1),
	}
}

// Start listens on an address. Port 0 selects a free port. Later calls reuse the address of the first one.
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
	e.server = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	e.crashed = false
	e.done = make(chan struct{})
	e.stopped = make(chan struct{})
	go serve(e.server, listener)
	go e.run(e.done, e.stopped)
	return nil
}

const headerTimeout = 10 * time.Second

// serve runs a server until it is closed. The error of Serve is ignored, as it only reports the close.
func serve(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

// Address returns the address that the engine listens on.
func (e *Engine) Address() string { return e.address }

// Crash closes the engine's connections and drops its requests. Start restarts it without requests. Crash has no effect
// on a crashed engine.
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

// SetFaults replaces the engine's faults.
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
	e.wakeModel()
}

// Executions returns how often each request was started, by request ID.
func (e *Engine) Executions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.executions)
}

// LastStart returns the time at which the engine last started a request.
func (e *Engine) LastStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastStart
}

// Generated returns the number of answer tokens generated so far.
func (e *Engine) Generated() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.AnswerTokensGenerated
}

func (e *Engine) wakeModel() {
	lifetime.Wake(e.wake)
}

// run advances the model in real time until done is closed.
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

// idleWait is how long an idle engine sleeps unless it is woken.
const idleWait = 250 * time.Millisecond

func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, event := range e.model.Step(now) {
		e.deliver(now, event)
	}
	e.expireStreams(now)
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
		s.end(streamComplete)
	}
}

func (e *Engine) expireStreams(now time.Time) {
	for id, s := range e.streams {
		if !s.endedAt.IsZero() && now.Sub(s.endedAt) > e.config.StreamRetention {
			delete(e.streams, id)
		}
	}
}
