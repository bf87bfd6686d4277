// Package dispatch is the owner's side of scheduling: it asks the scheduler of
// a shard for grants, waits for its decisions, and tells it how the granted
// requests go on.
package dispatch

import (
	"context"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/schedule"
	"oxbowslip.dev/oxbowslip/internal/shard"
)

// Send hands a message to the scheduler of a shard.
type Send func(shard string, m *shard.Message)

// Dispatcher holds the open requests of this host.
type Dispatcher struct {
	mu      sync.Mutex
	send    Send
	tickets map[string]*Ticket
}

// New makes a dispatcher without requests. Connect it before use.
func New() *Dispatcher {
	return &Dispatcher{tickets: make(map[string]*Ticket)}
}

// Connect sets the way to the schedulers.
func (d *Dispatcher) Connect(send Send) { d.send = send }

// Open counts the requests that wait or run.
func (d *Dispatcher) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.tickets)
}

// Deliver hands a scheduler's decision to the request that it is for. A
// decision for a request that is gone is dropped; its owner has withdrawn it.
func (d *Dispatcher) Deliver(_ string, decision schedule.Decision) {
	d.mu.Lock()
	t, ok := d.tickets[decision.ID]
	d.mu.Unlock()
	if !ok {
		return
	}
	if decision.Kind == schedule.Preempt {
		t.preempt()
		return
	}
	select {
	case t.decisions <- decision:
	default:
	}
}

// Ticket is one request's standing with the scheduler.
type Ticket struct {
	dispatcher *Dispatcher
	shard      string
	request    schedule.Request
	decisions  chan schedule.Decision

	mu        sync.Mutex
	preempted chan struct{}
}

// Ask submits a request and waits for the decision. It fails only when ctx
// ends; the request is withdrawn then. A granted ticket must be finished.
func (d *Dispatcher) Ask(ctx context.Context, shardName string, request schedule.Request) (*Ticket, schedule.Decision, error) {
	t := &Ticket{
		dispatcher: d,
		shard:      shardName,
		request:    request,
		decisions:  make(chan schedule.Decision, 1),
		preempted:  make(chan struct{}),
	}
	d.mu.Lock()
	d.tickets[request.ID] = t
	d.mu.Unlock()
	d.send(shardName, &shard.Message{Kind: shard.Submit, ID: request.ID, Request: request})
	select {
	case decision := <-t.decisions:
		if decision.Kind == schedule.Refuse {
			d.forget(request.ID)
		}
		return t, decision, nil
	case <-ctx.Done():
		t.tell(shard.Message{Kind: shard.Withdraw})
		d.forget(request.ID)
		return nil, schedule.Decision{}, ctx.Err()
	}
}

func (d *Dispatcher) forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.tickets, id)
}

// Preempted is closed when the scheduler takes the endpoint back.
func (t *Ticket) Preempted() <-chan struct{} { return t.preempted }

// Started says that the grant is used.
func (t *Ticket) Started() { t.tell(shard.Message{Kind: shard.Started}) }

// FirstToken says that the first token came.
func (t *Ticket) FirstToken() { t.tell(shard.Message{Kind: shard.FirstToken}) }

// Progress says how many tokens came so far.
func (t *Ticket) Progress(tokens int) {
	t.tell(shard.Message{Kind: shard.Progress, Tokens: tokens})
}

// Finished ends the attempt and gives the place back.
func (t *Ticket) Finished(result schedule.Result, tokens int) {
	t.dispatcher.forget(t.request.ID)
	t.tell(shard.Message{Kind: shard.Finished, Result: result, Tokens: tokens})
}

func (t *Ticket) tell(m shard.Message) {
	m.ID = t.request.ID
	t.dispatcher.send(t.shard, &m)
}

func (t *Ticket) preempt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.preempted:
	default:
		close(t.preempted)
	}
}

// Usable reports whether a grant may still be used.
func Usable(decision schedule.Decision, now time.Time) bool {
	return now.Before(decision.Until)
}
