package standin

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ServiceFaults are the faults that a service stand-in shows while they are
// set.
type ServiceFaults struct {
	// DropAfterReading runs a call and closes the connection unanswered.
	DropAfterReading bool
	// CutAnswer sends half of the answer.
	CutAnswer bool
	// Refuse answers 503 and says that the call was not started.
	Refuse bool
	// Delay comes before each answer.
	Delay time.Duration
}

// Service is a stand-in for a plain service. It counts executions by request
// ID and answers with what it was sent.
type Service struct {
	server  *http.Server
	address string

	mu         sync.Mutex
	executions map[string]int
	faults     ServiceFaults
}

// NewService returns a service that does not listen yet.
func NewService() *Service {
	return &Service{executions: make(map[string]int)}
}

// Start listens on an address; port 0 picks a free one.
func (s *Service) Start(address string) error {
	if s.address != "" {
		address = s.address
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("service stand-in: %w", err)
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.answer), ReadHeaderTimeout: headerTime}
	go serve(s.server, listener)
	return nil
}

// Address is where the service listens.
func (s *Service) Address() string { return s.address }

// Close ends the service.
func (s *Service) Close() { s.server.Close() }

// SetFaults replaces the faults that the service shows.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns how often each call ran, by request ID.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// begin counts an execution and returns the faults to show.
func (s *Service) begin(id string) ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Refuse {
		s.executions[id]++
	}
	return s.faults
}

// answer runs a call: it sends back the method, the path and the body.
func (s *Service) answer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults := s.begin(r.Header.Get("X-Request-Id"))
	if faults.Refuse {
		w.Header().Set("X-Ran", "no")
		http.Error(w, "not taking calls", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(faults.Delay)
	if faults.DropAfterReading {
		panic(http.ErrAbortHandler)
	}
	answer := r.Method + " " + r.URL.RequestURI() + "\n" + string(body)
	if size := r.URL.Query().Get("size"); size != "" {
		answer = strings.Repeat("x", atoi(size, 0))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if faults.CutAnswer {
		answer = answer[:len(answer)/2]
	}
	// A write that fails means that the caller is gone.
	_, _ = io.WriteString(w, answer)
}

func atoi(text string, fallback int) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return fallback
	}
	return n
}
