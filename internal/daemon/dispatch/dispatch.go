// Package dispatch is the owner's side of scheduling in oxbowslipd. It asks the scheduler of a shard for
// grants, waits for its decisions, reports the progress of granted requests, and announces them to the next
// scheduler when the shard moves. It owns the requests of this host that are open at a scheduler, and relies
// on package fleet to exchange messages with the schedulers.
package dispatch

import (
	"context"
	"sync"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
)

// Router finds the schedulers and sends messages to them.
type Router interface {
	// Scheduler returns the host that currently schedules a shard.
	Scheduler(shard string) string
	// Send sends a message to the scheduler of a shard on a host. It must not block, and may lose the message
	// if the host is unreachable.
	Send(host, shard string, m *shard.Message)
}

// Dispatcher holds the open requests of this host.
type Dispatcher struct {
	router Router

	mu      sync.Mutex
	tickets map[string]*Ticket
}

// New returns a dispatcher without requests. Connect must be called before use.
func New() *Dispatcher {
	return &Dispatcher{tickets: make(map[string]*Ticket)}
}

// Connect sets the router to the schedulers.
func (d *Dispatcher) Connect(router Router) { d.router = router }

// Ticket is the state of one request at its scheduler.
type Ticket struct {
	dispatcher *Dispatcher
	shard      string
	request    admission.Request
	decisions  chan admission.Decision
	preempted  chan struct{}

	// The dispatcher's lock guards the fields below.

	// scheduler is the host that has the request.
	scheduler string
	// endpoint is set once the request is granted.
	endpoint string
	// waitedForRound is set if the request was waiting during an earlier call of ResubmitWaiting.
	waitedForRound bool
	tokens         int
}

// Ask submits a request and waits for the decision. It fails only when ctx ends, and then withdraws the
// request. The caller must call Finished on a granted ticket.
func (d *Dispatcher) Ask(ctx context.Context, shardName string, request admission.Request) (*Ticket, admission.Decision, error) {
	t := &Ticket{
		dispatcher: d,
		shard:      shardName,
		request:    request,
		decisions:  make(chan admission.Decision, 1),
		preempted:  make(chan struct{}),
	}
	d.mu.Lock()
	d.tickets[request.ID] = t
	d.mu.Unlock()
	// The ticket is stored before its scheduler is looked up, so that a move of the shard in between finds
	// it.
	scheduler := d.router.Scheduler(shardName)
	d.mu.Lock()
	if t.scheduler == "" {
		t.scheduler = scheduler
	}
	d.mu.Unlock()
	t.send(shard.Message{Kind: shard.Submit, Request: request})
	select {
	case decision := <-t.decisions:
		if decision.Kind == admission.Refuse {
			d.remove(request.ID)
		}
		return t, decision, nil
	case <-ctx.Done():
		d.remove(request.ID)
		t.send(shard.Message{Kind: shard.Withdraw})
		return nil, admission.Decision{}, ctx.Err()
	}
}

// Deliver passes a scheduler's decision to its request. It drops the decision of a scheduler that no longer
// has the request: the grant expires at that scheduler.
func (d *Dispatcher) Deliver(host, _ string, decision admission.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.tickets[decision.ID]
	if !ok || t.scheduler != host {
		return
	}
	if decision.Kind == admission.Preempt {
		t.preempt()
		return
	}
	if t.endpoint != "" {
		return
	}
	t.endpoint = decision.Endpoint
	select {
	case t.decisions <- decision:
	default:
	}
}

// MoveShard moves the requests of a shard to its new scheduler.
func (d *Dispatcher) MoveShard(shardName string) {
	to := d.router.Scheduler(shardName)
	for _, t := range d.ticketsWhere(func(t *Ticket) bool { return t.shard == shardName && t.scheduler != to }) {
		from, open := d.reassign(t, to)
		if !open {
			continue
		}
		d.router.Send(from, shardName, &shard.Message{Kind: shard.Withdraw, ID: t.request.ID})
		d.announce(t, to)
	}
}

// reassign moves an open ticket to another scheduler, and returns the previous one and whether the ticket is
// open. A ticket that has ended keeps its scheduler, because its end is still to be reported there.
func (d *Dispatcher) reassign(t *Ticket, to string) (from string, open bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, open = t.scheduler, d.isOpen(t)
	if open {
		t.scheduler = to
	}
	return from, open
}

// isOpen reports whether a ticket has not ended. The dispatcher's lock must be held.
func (d *Dispatcher) isOpen(t *Ticket) bool { return d.tickets[t.request.ID] == t }

// AnnounceTo submits all requests of a scheduler to it after its link has been opened. The scheduler ignores
// those that it has already.
func (d *Dispatcher) AnnounceTo(host string) {
	for _, t := range d.ticketsWhere(func(t *Ticket) bool { return t.scheduler == host }) {
		d.announce(t, host)
	}
}

// announce submits one request to a scheduler. If the request has ended by then, announce withdraws it: the
// report of its end may have been sent before the announcement, which would then hold a slot forever.
func (d *Dispatcher) announce(t *Ticket, host string) {
	d.mu.Lock()
	open := d.isOpen(t) && t.scheduler == host
	announcement := t.announcement()
	d.mu.Unlock()
	if !open {
		return
	}
	d.router.Send(host, t.shard, announcement)
	d.mu.Lock()
	open = d.isOpen(t)
	d.mu.Unlock()
	if !open {
		d.router.Send(host, t.shard, &shard.Message{Kind: shard.Withdraw, ID: t.request.ID})
	}
}

// ResubmitWaiting submits the requests that have been waiting since the last call again, to the current
// scheduler of their shard. A scheduler ignores requests that it has already. A request thus gets its
// decision even if a message was lost, or if a grant expired before it arrived and the scheduler has removed
// the request.
func (d *Dispatcher) ResubmitWaiting() {
	for _, t := range d.ticketsWhere(func(t *Ticket) bool { return t.endpoint == "" }) {
		d.resubmit(t, d.router.Scheduler(t.shard))
	}
}

// resubmit submits a ticket again if it has been waiting since the last call.
func (d *Dispatcher) resubmit(t *Ticket, to string) {
	d.mu.Lock()
	due := t.waitedForRound && t.endpoint == "" && d.isOpen(t)
	t.waitedForRound = true
	if due {
		t.scheduler = to
	}
	d.mu.Unlock()
	if due {
		d.announce(t, to)
	}
}

func (d *Dispatcher) ticketsWhere(match func(t *Ticket) bool) []*Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	var picked []*Ticket
	for _, t := range d.tickets {
		if match(t) {
			picked = append(picked, t)
		}
	}
	return picked
}

// announcement returns the message that submits the request to a scheduler that does not have it. The
// dispatcher's lock must be held.
func (t *Ticket) announcement() *shard.Message {
	if t.endpoint == "" {
		return &shard.Message{Kind: shard.Submit, ID: t.request.ID, Request: t.request}
	}
	return &shard.Message{
		Kind: shard.Adopt, ID: t.request.ID, Request: t.request, Endpoint: t.endpoint, Tokens: t.tokens,
	}
}

func (d *Dispatcher) remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.tickets, id)
}

// Preempted returns a channel that is closed when the scheduler preempts the attempt.
func (t *Ticket) Preempted() <-chan struct{} { return t.preempted }

// MaySend always reports true, because a scheduler that revokes a grant preempts the attempt.
func (t *Ticket) MaySend() bool { return true }

// Started reports that the grant has been used.
func (t *Ticket) Started() { t.send(shard.Message{Kind: shard.Started}) }

// FirstToken reports that the first token has arrived.
func (t *Ticket) FirstToken() { t.send(shard.Message{Kind: shard.FirstToken, Tokens: 1}) }

// Progress reports the number of tokens that have arrived so far.
func (t *Ticket) Progress(tokens int) {
	t.send(shard.Message{Kind: shard.Progress, Tokens: tokens})
}

// Finished reports the end of the attempt, which frees its slot.
func (t *Ticket) Finished(result admission.Result, tokens int) {
	t.dispatcher.remove(t.request.ID)
	t.send(shard.Message{Kind: shard.Finished, Result: result, Tokens: tokens})
}

func (t *Ticket) send(m shard.Message) {
	m.ID = t.request.ID
	d := t.dispatcher
	d.mu.Lock()
	t.tokens = max(t.tokens, m.Tokens)
	host := t.scheduler
	d.mu.Unlock()
	d.router.Send(host, t.shard, &m)
}

// preempt closes the channel of Preempted. The dispatcher's lock must be held.
func (t *Ticket) preempt() {
	select {
	case <-t.preempted:
	default:
		close(t.preempted)
	}
}
