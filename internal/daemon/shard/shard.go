// Package shard runs the schedulers of the shards that this host of oxbowslipd schedules: it passes
// them the time, the owners' messages and timers, and their decisions to the owners. The decisions
// themselves are made in package schedule, which does no input or output.
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
	// Withdraw: the caller is gone.
	Withdraw
	// Started: the grant was used.
	Started
	// FirstToken: the first token came.
	FirstToken
	// Progress: more tokens came.
	Progress
	// Finished: the attempt ended.
	Finished
	// Adopt: a request that another scheduler granted goes on at Endpoint.
	Adopt
)

// Message is one message from a request's owner to the scheduler of its shard.
type Message struct {
	Kind Kind
	// ID is the request's. Request is set for Submit and Adopt only.
	ID      string
	Request admission.Request
	// Endpoint is set for Adopt only.
	Endpoint string
	// Tokens is the length of the answer so far, Result the end of the attempt.
	Tokens int
	Result admission.Result
}

// Deliver hands a decision to the host that owns the request. It must not
// block.
type Deliver func(shard string, decision admission.Decision)

// Clock returns the time.
type Clock func() time.Time

// Host holds the schedulers of this host.
type Host struct {
	clock   Clock
	options schedule.Options
	deliver Deliver

	mu     sync.Mutex
	shards map[string]*runner
	closed bool
}

// runner is one scheduler with its timer.
type runner struct {
	name string
	// mu guards the core. Decisions are handed over under it, so that an owner
	// gets them in the order in which they were taken.
	mu    sync.Mutex
	core  *schedule.Scheduler
	timer *time.Timer
	due   time.Time
}

// New returns a host without shards.
func New(clock Clock, options schedule.Options, deliver Deliver) *Host {
	return &Host{clock: clock, options: options, deliver: deliver, shards: make(map[string]*runner)}
}

// Close stops all timers. Messages that come later change nothing.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, r := range h.shards {
		r.timer.Stop()
	}
}

// Config is what the settings say of a shard.
type Config struct {
	Endpoints []schedule.Endpoint
	// MaxWaiting bounds the waiting requests; 0 means the built-in bound.
	MaxWaiting int
}

// Configure sets the endpoints and bounds of each shard. A shard that is not
// named loses its endpoints.
func (h *Host) Configure(shards map[string]Config) {
	for name, config := range shards {
		h.with(name, func(now time.Time, core *schedule.Scheduler) {
			core.SetMaxWaiting(config.MaxWaiting)
			core.SetEndpoints(now, config.Endpoints)
		})
	}
	for _, name := range h.Names() {
		if _, ok := shards[name]; !ok {
			h.with(name, func(now time.Time, core *schedule.Scheduler) {
				core.SetEndpoints(now, nil)
			})
		}
	}
}

// Names lists the shards, sorted.
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

// Apply passes one message to a shard's scheduler.
func (h *Host) Apply(shard string, m *Message) {
	h.with(shard, func(now time.Time, core *schedule.Scheduler) {
		apply(core, now, m)
	})
}

func apply(core *schedule.Scheduler, now time.Time, m *Message) {
	switch m.Kind {
	case Submit:
		core.Submit(now, m.Request)
	case Withdraw:
		core.Withdraw(now, m.ID)
	case Started:
		core.RecordStart(now, m.ID)
	case FirstToken:
		core.RecordFirstToken(now, m.ID)
	case Progress:
		core.RecordProgress(now, m.ID, m.Tokens)
	case Adopt:
		core.Adopt(now, m.Request, m.Endpoint, m.Tokens)
	case Finished:
		core.RecordEnd(now, m.ID, m.Result, m.Tokens)
	}
}

// Hold keeps a shard's scheduler from granting and shedding for a while, until
// the owners have announced their requests.
func (h *Host) Hold(shard string, d time.Duration) {
	h.with(shard, func(now time.Time, core *schedule.Scheduler) { core.Hold(now.Add(d)) })
}

// DropOwner drops all requests of a host that is gone.
func (h *Host) DropOwner(owner string) {
	for _, name := range h.Names() {
		h.with(name, func(now time.Time, core *schedule.Scheduler) { core.DropOwner(now, owner) })
	}
}

// Inspect reads a shard's scheduler under its lock.
func (h *Host) Inspect(shard string, read func(core *schedule.Scheduler)) {
	h.with(shard, func(_ time.Time, core *schedule.Scheduler) { read(core) })
}

// with runs f on a shard's core, delivers what it decided, and sets its timer.
func (h *Host) with(shard string, f func(time.Time, *schedule.Scheduler)) {
	r := h.runner(shard)
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := h.clock()
	f(now, r.core)
	h.settle(r, now)
}

func (h *Host) settle(r *runner, now time.Time) {
	for _, decision := range r.core.TakeDecisions() {
		h.deliver(r.name, decision)
	}
	next := r.core.NextTick(now)
	if r.due.After(now) && !next.Before(r.due) {
		return
	}
	r.due = next
	r.timer.Reset(next.Sub(now))
}

func (h *Host) runner(shard string) *runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	if r, ok := h.shards[shard]; ok {
		return r
	}
	r := &runner{name: shard, core: schedule.New(h.options)}
	r.timer = time.AfterFunc(time.Hour, func() { h.tick(r) })
	h.shards[shard] = r
	return r
}

func (h *Host) tick(r *runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := h.clock()
	r.due = time.Time{}
	r.core.Tick(now)
	h.settle(r, now)
}
