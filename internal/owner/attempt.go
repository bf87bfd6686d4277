package owner

import (
	"context"
	"sync/atomic"
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// How often the scheduler is told of an answer's progress.
const (
	progressTokens = 16
	progressTime   = 250 * time.Millisecond
)

// The states of an attempt. What comes first, a delivery or a preemption,
// excludes the other.
const (
	stateOpen int32 = iota
	stateDelivered
	statePreempted
)

// Attempt is one try at an endpoint. Its methods are called by the job's
// Attempt and Resume functions, from one goroutine.
type Attempt struct {
	run *run
	// Number counts the tries from 1.
	Number     int
	EndpointID string
	Endpoint   settings.Endpoint
	// FetchFrom is the address of an endpoint from which this one can copy a shared
	// part of the prompt, or empty.
	FetchFrom string
	// UnprocessedTokens is the number of prompt tokens, the request's own included, that
	// the endpoint had to process before the answer begins; 0 if unknown.
	UnprocessedTokens int
	state             atomic.Int32
}

// watch cancels the attempt when the scheduler takes the endpoint back, unless
// something was delivered already or the request may not be repeated.
func (a *Attempt) watch(preempted <-chan struct{}, cancel context.CancelCauseFunc, done <-chan struct{}) {
	select {
	case <-preempted:
	case <-done:
		return
	}
	if a.run.job.Rules.Repeatable && a.state.CompareAndSwap(stateOpen, statePreempted) {
		cancel(ErrPreempted)
	}
}

// Sent says that bytes may be written to the endpoint from now on.
func (a *Attempt) Sent() {
	a.run.life.Apply(request.EventSent, request.Facts{})
	a.run.ticket.Started()
	a.run.step("sent", "", nil)
}

// Deliver is called before a part of the answer goes to the caller. It reports
// false if the attempt was preempted, and then nothing may go.
func (a *Attempt) Deliver() bool {
	if a.state.Load() != stateDelivered && !a.state.CompareAndSwap(stateOpen, stateDelivered) {
		return false
	}
	a.run.life.Apply(request.EventDelivered, request.Facts{})
	return true
}

// Delivered reports whether a part of an answer went to the caller, in this
// attempt or an earlier one.
func (a *Attempt) Delivered() bool { return a.run.life.Delivered() }

// Tokens says how many tokens of the answer have come so far, over all
// attempts that continue each other.
func (a *Attempt) Tokens(tokens int) {
	r := a.run
	now := r.owner.clock()
	if tokens > r.tokens {
		r.owner.counters.Tokens.Add(tokens - r.tokens)
	}
	r.tokens = tokens
	if r.firstToken == 0 {
		r.firstToken = now.Sub(r.arrived)
	}
	if r.lastTold.IsZero() {
		r.ticket.FirstToken()
		r.told(now, tokens)
		return
	}
	if tokens-r.toldTokens >= progressTokens || now.Sub(r.lastTold) >= progressTime {
		r.ticket.Progress(tokens - r.base)
		r.told(now, tokens)
	}
}

func (r *run) told(now time.Time, tokens int) {
	r.lastTold = now
	r.toldTokens = tokens
}
