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

// ServiceFaults are the faults that a service injects while they are set.
type ServiceFaults struct {
	// DropAfterReading executes the call and aborts the connection without an answer.
	DropAfterReading bool
	// CutAnswer truncates answers to half their length.
	CutAnswer bool
	// Refuse answers 503 and reports that the call was not started.
	Refuse bool
	// Delay delays every answer.
	Delay time.Duration
}

// Service is a stand-in for a plain service. It echoes requests and counts executions by request ID.
type Service struct {
	server  *http.Server
	address string

	mu         sync.Mutex
	executions map[string]int
	faults     ServiceFaults
}

// NewService returns a service that is not started.
func NewService() *Service {
	return &Service{executions: make(map[string]int)}
}

// Start listens on an address. Port 0 selects a free port. Later calls reuse the address of the first one.
func (s *Service) Start(address string) error {
	if s.address != "" {
		address = s.address
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("service stand-in: %w", err)
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.answer), ReadHeaderTimeout: headerTimeout}
	go serve(s.server, listener)
	return nil
}

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.address }

// Close stops the service and closes its connections.
func (s *Service) Close() { s.server.Close() }

// SetFaults replaces the service's faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns how often each call was executed, by request ID.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// begin counts an execution and returns the faults to inject.
func (s *Service) begin(id string) ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Refuse {
		s.executions[id]++
	}
	return s.faults
}

// answer executes a call. The answer repeats its method, URI and body, or has the length given by the query's size.
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
	// The error is ignored: the caller may have closed the connection.
	_, _ = io.WriteString(w, answer)
}

func atoi(text string, fallback int) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return fallback
	}
	return n
}
