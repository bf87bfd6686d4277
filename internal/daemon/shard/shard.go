// Package shard runs the schedulers of the shards that this host of oxbowslipd schedules. It passes the time
// and the messages of owners to them, sets their timers, and delivers their decisions to the owners. It owns
// the schedulers and their timers. Decisions are made in package schedule, which does no I/O.
package shard

import (
	"sort"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/schedule"
)

// Kind is the kind of a message from an owner to a scheduler.
type Kind uint8

// The kinds of message.
const (
	// Submit: a request asks for a grant.
	Submit Kind = iota
	// Withdraw: the caller of the request is gone.
	Withdraw
	// Started: the owner has used the grant.
	Started
	// FirstToken: the first token has arrived.
	FirstToken
	// Progress: more tokens have arrived.
	Progress
	// Finished: the attempt has ended.
	Finished
	// Adopt: a request that another scheduler granted is still running at Endpoint.
	Adopt
)

// Message is a message from the owner of a request to the scheduler of its shard.
type Message struct {
	Kind Kind
	// ID is the ID of the request. Request is set for Submit and Adopt only.
	ID      string
	Request admission.Request
	// Endpoint is set for Adopt only.
	Endpoint string
	// Tokens is the length of the answer so far, and Result is how the attempt ended.
	Tokens int
	Result admission.Result
}

// Deliver passes a decision to the host that owns the request. It must not block.
type Deliver func(shard string, decision admission.Decision)

// Clock returns the current time.
type Clock func() time.Time

// Host runs the schedulers of this host.
type Host struct {
	clock   Clock
	options schedule.Options
	deliver Deliver

	mu     sync.Mutex
	shards map[string]*runner
	closed bool
}

// runner is a scheduler with its timer.
type runner struct {
	name string
	// mu guards scheduler and dueAt. Decisions are delivered under it, so that an owner receives them in the
	// order in which they were made.
	mu        sync.Mutex
	scheduler *schedule.Scheduler
	timer     *time.Timer
	dueAt     time.Time
}

// New returns a host without shards.
func New(clock Clock, options schedule.Options, deliver Deliver) *Host {
	return &Host{clock: clock, options: options, deliver: deliver, shards: make(map[string]*runner)}
}

// Close stops all timers. Later messages have no effect.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, r := range h.shards {
		r.timer.Stop()
	}
}

// Config is the configuration of a shard.
type Config struct {
	Endpoints []schedule.Endpoint
	// MaxWaiting bounds the waiting requests. 0 means the default.
	MaxWaiting int
}

// Configure sets the endpoints and bounds of each shard. A shard that is not in the map loses its endpoints.
func (h *Host) Configure(shards map[string]Config) {
	for name, config := range shards {
		h.withScheduler(name, func(now time.Time, scheduler *schedule.Scheduler) {
			scheduler.SetMaxWaiting(config.MaxWaiting)
			scheduler.SetEndpoints(now, config.Endpoints)
		})
	}
	for _, name := range h.Names() {
		if _, ok := shards[name]; !ok {
			h.withScheduler(name, func(now time.Time, scheduler *schedule.Scheduler) {
				scheduler.SetEndpoints(now, nil)
			})
		}
	}
}

// Names returns the names of the shards in ascending order.
func (h *Host) Names() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.shards))
	for name := range h.shards {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Apply passes a message to a shard's scheduler.
func (h *Host) Apply(shard string, m *Message) {
	h.withScheduler(shard, func(now time.Time, scheduler *schedule.Scheduler) {
		apply(scheduler, now, m)
	})
}

func apply(scheduler *schedule.Scheduler, now time.Time, m *Message) {
	switch m.Kind {
	case Submit:
		scheduler.Submit(now, m.Request)
	case Withdraw:
		scheduler.Withdraw(now, m.ID)
	case Started:
		scheduler.RecordStart(now, m.ID)
	case FirstToken:
		scheduler.RecordFirstToken(now, m.ID)
	case Progress:
		scheduler.RecordProgress(now, m.ID, m.Tokens)
	case Adopt:
		scheduler.Adopt(now, m.Request, m.Endpoint, m.Tokens)
	case Finished:
		scheduler.RecordEnd(now, m.ID, m.Result, m.Tokens)
	}
}

// Hold stops a shard's scheduler from granting, preempting and, but for the lowest tier, shedding for a
// duration, in which the owners announce their requests.
func (h *Host) Hold(shard string, d time.Duration) {
	h.withScheduler(shard, func(now time.Time, scheduler *schedule.Scheduler) { scheduler.Hold(now.Add(d)) })
}

// DropOwner removes all requests of a host that is gone from the schedulers.
func (h *Host) DropOwner(owner string) {
	for _, name := range h.Names() {
		h.withScheduler(name, func(now time.Time, scheduler *schedule.Scheduler) { scheduler.DropOwner(now, owner) })
	}
}

// Inspect calls read with a shard's scheduler while its lock is held.
func (h *Host) Inspect(shard string, read func(scheduler *schedule.Scheduler)) {
	h.withScheduler(shard, func(_ time.Time, scheduler *schedule.Scheduler) { read(scheduler) })
}

// withScheduler calls f with a shard's scheduler, delivers the decisions and sets the timer.
func (h *Host) withScheduler(shard string, f func(time.Time, *schedule.Scheduler)) {
	r := h.runner(shard)
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := h.clock()
	f(now, r.scheduler)
	h.deliverDecisions(r, now)
}

// deliverDecisions delivers the new decisions of a scheduler and sets its timer.
func (h *Host) deliverDecisions(r *runner, now time.Time) {
	for _, decision := range r.scheduler.TakeDecisions() {
		h.deliver(r.name, decision)
	}
	next := r.scheduler.NextTick(now)
	if r.dueAt.After(now) && !next.Before(r.dueAt) {
		return
	}
	r.dueAt = next
	r.timer.Reset(next.Sub(now))
}

// runner returns the runner of a shard and creates it on first use. It returns nil once the host is closed.
func (h *Host) runner(shard string) *runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	if r, ok := h.shards[shard]; ok {
		return r
	}
	r := &runner{name: shard, scheduler: schedule.New(h.options)}
	r.timer = time.AfterFunc(time.Hour, func() { h.tick(r) })
	h.shards[shard] = r
	return r
}

func (h *Host) tick(r *runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := h.clock()
	r.dueAt = time.Time{}
	r.scheduler.Tick(now)
	h.deliverDecisions(r, now)
}
