package owner

import (
	"context"
	"sync/atomic"
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// How often the progress of an answer is reported, whichever comes first. The time bounds how old a report of a slow
// answer gets.
const (
	progressTokens   = 16
	progressInterval = 250 * time.Millisecond
)

// The states of an attempt. Delivery and preemption exclude each other; the first wins.
const (
	attemptOpen int32 = iota
	attemptDelivered
	attemptPreempted
)

// Attempt is one try at an endpoint. Its methods are called by the job's Attempt and Resume
// functions, from one goroutine.
type Attempt struct {
	run *run
	// Number counts the tries from 1.
	Number     int
	EndpointID string
	Endpoint   settings.Endpoint
	// FetchFrom is the address of an endpoint from which this one can copy a shared part of the
	// prompt, or empty.
	FetchFrom string
	// UnprocessedTokens is the number of prompt tokens, the request's own included, that the
	// endpoint had to process before the answer begins; 0 if unknown.
	UnprocessedTokens int
	state             atomic.Int32
}

// watchPreemption cancels the attempt when it is preempted, unless something was delivered
// already or the request may not be repeated.
func (a *Attempt) watchPreemption(preempted <-chan struct{}, cancel context.CancelCauseFunc, done <-chan struct{}) {
	select {
	case <-preempted:
	case <-done:
		return
	}
	if a.run.job.Rules.Repeatable && a.state.CompareAndSwap(attemptOpen, attemptPreempted) {
		cancel(ErrPreempted)
	}
}

// MaySend reports whether the request may still be sent, and its endpoint still takes new work. It is asked once a
// connection is there, which may take a while, before Sent.
func (a *Attempt) MaySend() bool {
	_, takesWork := a.run.owner.parts.Endpoints(a.EndpointID)
	return takesWork && !a.run.job.isPoison() && a.run.ticket.MaySend()
}

// RecordSend is called once a connection is there: from now on bytes may reach the endpoint.
func (a *Attempt) RecordSend() {
	a.run.lifecycle.Apply(request.EventSent, request.Facts{})
	a.run.ticket.Started()
	a.run.step("sent", "", nil)
}

// StartDelivery is called before a part of the answer goes to the caller. It reports false if the
// attempt was preempted; nothing may go to the caller then.
func (a *Attempt) StartDelivery() bool {
	if a.state.Load() != attemptDelivered && !a.state.CompareAndSwap(attemptOpen, attemptDelivered) {
		return false
	}
	a.run.lifecycle.Apply(request.EventDelivered, request.Facts{})
	return true
}

// RecordTokens is called with the number of tokens of the answer so far, over all attempts that
// continue each other. Where the endpoint does not say, events count as tokens.
func (a *Attempt) RecordTokens(tokens int) {
	r := a.run
	now := r.owner.parts.Clock()
	if tokens > r.tokens {
		r.owner.parts.Counters.Tokens.Add(tokens - r.tokens)
	}
	r.tokens = tokens
	if r.firstToken == 0 {
		r.firstToken = now.Sub(r.arrived)
	}
	if r.reportedAt.IsZero() {
		r.ticket.FirstToken()
		r.reported(now, tokens)
		return
	}
	if tokens-r.reportedTokens >= progressTokens || now.Sub(r.reportedAt) >= progressInterval {
		r.ticket.Progress(tokens - r.base)
		r.reported(now, tokens)
	}
}

func (r *run) reported(now time.Time, tokens int) {
	r.reportedAt = now
	r.reportedTokens = tokens
}
