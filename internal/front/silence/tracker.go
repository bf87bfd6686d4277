// Package silence finds out which endpoints have stopped sending, and decides when a call leaves such an endpoint. It
// serves oxbowslip-front.
//
// The package owns this host's record of what endpoints have sent to it and which calls wait for them (tracker.go). The
// rules (rules.go) do no I/O and take what a host knows as a parameter. Package relay applies them to its calls.
package silence

import (
	"sync"
	"time"
)

// State is what this host knows of an endpoint.
type State uint8

// The states.
const (
	// Unknown: no call waits for the endpoint, or not for long enough.
	Unknown State = iota
	// Alive: the endpoint has sent something recently.
	Alive
	// Silent: calls wait for the endpoint and it has sent nothing for a while on any connection, or calls have left it for
	// that and it has sent nothing since.
	Silent
)

// Survey holds the IDs of the endpoints of a service whose state this host knows.
type Survey struct {
	Alive, Silent []string
}

// Tracker records what endpoints send to this host. It is safe for concurrent use.
type Tracker struct {
	clock func() time.Time

	mu       sync.Mutex
	services map[string]map[string]*endpoint
	// trials holds when the last trial of each service began.
	trials map[string]time.Time
}

// endpoint is an endpoint to which this host has sent calls.
type endpoint struct {
	// open counts the calls that wait for the endpoint, openSince is when the first of them was sent.
	open      int
	openSince time.Time
	// receivedAt is when the endpoint last sent something for any call, leftAt when a call last left it for its silence.
	receivedAt time.Time
	leftAt     time.Time
}

// New returns a tracker without endpoints.
func New(clock func() time.Time) *Tracker {
	return &Tracker{clock: clock, services: make(map[string]map[string]*endpoint), trials: make(map[string]time.Time)}
}

// Call is a call that waits for an endpoint.
type Call struct {
	tracker  *Tracker
	endpoint *endpoint
}

// Begin records a call that is sent to an endpoint of a service. End must be called.
func (t *Tracker) Begin(service, id string) *Call {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoints, ok := t.services[service]
	if !ok {
		endpoints = make(map[string]*endpoint)
		t.services[service] = endpoints
	}
	e, ok := endpoints[id]
	if !ok {
		e = new(endpoint)
		endpoints[id] = e
	}
	if e.open == 0 {
		e.openSince = now
	}
	e.open++
	return &Call{tracker: t, endpoint: e}
}

// RecordData records that the endpoint has sent something for the call.
func (c *Call) RecordData() {
	now := c.tracker.clock()
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.endpoint.receivedAt = now
}

// RecordLeft records that the call leaves the endpoint, which counts as silent until it sends something or keepTime is over.
func (c *Call) RecordLeft() {
	now := c.tracker.clock()
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.endpoint.leftAt = now
}

// End records that the call no longer waits.
func (c *Call) End() {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.endpoint.open--
}

// state returns the state of an endpoint. An endpoint that has sent nothing for the quiet time is no longer alive.
func (e *endpoint) state(now time.Time, quiet time.Duration) State {
	waitingSince := e.openSince
	if e.receivedAt.After(waitingSince) {
		waitingSince = e.receivedAt
	}
	wasLeft := e.leftAt.After(e.receivedAt) && now.Sub(e.leftAt) < keepTime
	switch {
	case now.Sub(e.receivedAt) < quiet:
		return Alive
	case wasLeft, e.open > 0 && now.Sub(waitingSince) >= quiet:
		return Silent
	}
	return Unknown
}

// State returns the state of an endpoint.
func (t *Tracker) State(service, id string, quiet time.Duration) State {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.services[service][id]
	if !ok {
		return Unknown
	}
	return e.state(now, quiet)
}

// Survey returns the endpoints of a service whose state is known.
func (t *Tracker) Survey(service string, quiet time.Duration) Survey {
	var s Survey
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.services[service] {
		switch e.state(now, quiet) {
		case Alive:
			s.Alive = append(s.Alive, id)
		case Silent:
			s.Silent = append(s.Silent, id)
		}
	}
	return s
}

// keepTime is how long an endpoint without open calls is kept after it has last sent something or was left.
const keepTime = 10 * time.Second

// Expire drops the endpoints that this host no longer calls. It is called about once a second.
func (t *Tracker) Expire() {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, endpoints := range t.services {
		for id, e := range endpoints {
			if e.open == 0 && now.Sub(e.receivedAt) >= keepTime && now.Sub(e.leftAt) >= keepTime {
				delete(endpoints, id)
			}
		}
		if len(endpoints) == 0 {
			delete(t.services, service)
			delete(t.trials, service)
		}
	}
}

// IsTrialDue reports whether BeginTrial allows a trial.
func (t *Tracker) IsTrialDue(service string, quiet time.Duration) bool {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isTrialDue(now, service, quiet)
}

func (t *Tracker) isTrialDue(now time.Time, service string, quiet time.Duration) bool {
	return now.Sub(t.trials[service]) >= quiet
}

// BeginTrial reports whether a call may go to an endpoint of a service of which nothing is known. It allows one call in
// each quiet time, after which the state of the endpoint is known.
func (t *Tracker) BeginTrial(service string, quiet time.Duration) bool {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isTrialDue(now, service, quiet) {
		return false
	}
	t.trials[service] = now
	return true
}
