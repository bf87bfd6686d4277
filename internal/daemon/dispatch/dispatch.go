// Package dispatch is the owner's side of scheduling in oxbowslipd: it asks the scheduler of a shard
// for grants, waits for its decisions, reports how the granted requests go on, and announces them to
// the next scheduler when the shard moves. It owns the requests of this host that are open with a
// scheduler; package fleet is the way there.
package dispatch

import (
	"context"
	"sync"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
)

// Router is the way to the schedulers.
type Router interface {
	// Scheduler returns the host that schedules a shard now.
	Scheduler(shard string) string
	// Send hands a message to a host's scheduler. It must not block, and may
	// lose the message if the host can't be reached.
	Send(host, shard string, m *shard.Message)
}

// Dispatcher holds the open requests of this host.
type Dispatcher struct {
	router Router

	mu      sync.Mutex
	tickets map[string]*Ticket
}

// New returns a dispatcher without requests. Connect it before use.
func New() *Dispatcher {
	return &Dispatcher{tickets: make(map[string]*Ticket)}
}

// Connect sets the way to the schedulers.
func (d *Dispatcher) Connect(router Router) { d.router = router }

// Ticket is one request's standing with its scheduler.
type Ticket struct {
	dispatcher *Dispatcher
	shard      string
	request    admission.Request
	decisions  chan admission.Decision
	preempted  chan struct{}

	// The rest is guarded by the dispatcher's lock.

	// scheduler is the host that has the request.
	scheduler string
	// endpoint is set once the request is granted.
	endpoint string
	// repeated is set if the request has waited through a call of Repeat.
	repeated bool
	tokens   int
}

// Ask submits a request and waits for the decision. It fails only when ctx
// ends; the request is withdrawn then. A granted ticket must be finished.
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
	// The ticket is there before its scheduler is looked up, so that a move of
	// the shard in between finds it.
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
			d.forget(request.ID)
		}
		return t, decision, nil
	case <-ctx.Done():
		d.forget(request.ID)
		t.send(shard.Message{Kind: shard.Withdraw})
		return nil, admission.Decision{}, ctx.Err()
	}
}

// Deliver hands a scheduler's decision to the request that it is for. A decision
// of a scheduler that does not have the request any more is dropped: its grant
// becomes void by itself.
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

// MoveShard hands over the requests of a shard to its new scheduler.
func (d *Dispatcher) MoveShard(shardName string) {
	to := d.router.Scheduler(shardName)
	for _, t := range d.pick(func(t *Ticket) bool { return t.shard == shardName && t.scheduler != to }) {
		from, open := d.hand(t, to)
		if !open {
			continue
		}
		d.router.Send(from, shardName, &shard.Message{Kind: shard.Withdraw, ID: t.request.ID})
		d.announce(t, to)
	}
}

// hand passes a ticket that is still open to another scheduler, and reports which
// had it. One that has ended stays with its scheduler: its end is still to be reported there.
func (d *Dispatcher) hand(t *Ticket, to string) (from string, open bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, open = t.scheduler, d.isOpen(t)
	if open {
		t.scheduler = to
	}
	return from, open
}

// isOpen reports whether a ticket has not ended. The lock is held.
func (d *Dispatcher) isOpen(t *Ticket) bool { return d.tickets[t.request.ID] == t }

// AnnounceTo submits to a scheduler all requests that are its own, after its link
// was opened. What it knows already it ignores.
func (d *Dispatcher) AnnounceTo(host string) {
	for _, t := range d.pick(func(t *Ticket) bool { return t.scheduler == host }) {
		d.announce(t, host)
	}
}

// announce submits one request to a scheduler. The request may end meanwhile, and
// its end may be reported before the announcement, so it is withdrawn then: an
// announcement that comes last would hold a slot for good.
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

// ResubmitWaiting submits again what has waited through the last call, at the scheduler
// that has the shard now. A scheduler ignores what it knows. So a request gets
// its decision even if a message was lost, or a grant was void before it came:
// the scheduler has forgotten the request then.
func (d *Dispatcher) ResubmitWaiting() {
	for _, t := range d.pick(func(t *Ticket) bool { return t.endpoint == "" }) {
		d.repeat(t, d.router.Scheduler(t.shard))
	}
}

// repeat submits a ticket again if it has waited since the last call.
func (d *Dispatcher) repeat(t *Ticket, to string) {
	d.mu.Lock()
	due := t.repeated && t.endpoint == "" && d.isOpen(t)
	t.repeated = true
	if due {
		t.scheduler = to
	}
	d.mu.Unlock()
	if due {
		d.announce(t, to)
	}
}

func (d *Dispatcher) pick(match func(t *Ticket) bool) []*Ticket {
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

// announcement is the message to a scheduler that does not know the request. The
// dispatcher's lock is held.
func (t *Ticket) announcement() *shard.Message {
	if t.endpoint == "" {
		return &shard.Message{Kind: shard.Submit, ID: t.request.ID, Request: t.request}
	}
	return &shard.Message{
		Kind: shard.Adopt, ID: t.request.ID, Request: t.request, Endpoint: t.endpoint, Tokens: t.tokens,
	}
}

func (d *Dispatcher) forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.tickets, id)
}

// Preempted is closed when the scheduler preempts the attempt.
func (t *Ticket) Preempted() <-chan struct{} { return t.preempted }

// MaySend reports true: a grant that its scheduler takes back is preempted.
func (t *Ticket) MaySend() bool { return true }

// Started reports that the grant is used.
func (t *Ticket) Started() { t.send(shard.Message{Kind: shard.Started}) }

// FirstToken reports that the first token came.
func (t *Ticket) FirstToken() { t.send(shard.Message{Kind: shard.FirstToken, Tokens: 1}) }

// Progress is how many tokens came so far.
func (t *Ticket) Progress(tokens int) {
	t.send(shard.Message{Kind: shard.Progress, Tokens: tokens})
}

// Finished ends the attempt and frees its slot.
func (t *Ticket) Finished(result admission.Result, tokens int) {
	t.dispatcher.forget(t.request.ID)
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

// preempt is called with the dispatcher's lock held.
func (t *Ticket) preempt() {
	select {
	case <-t.preempted:
	default:
		close(t.preempted)
	}
}
