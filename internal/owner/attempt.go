package owner

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// The intervals at which the progress of an answer is reported, whichever ends first. The time bounds the age of a
// report on a slow answer.
const (
	progressTokens   = 16
	progressInterval = 250 * time.Millisecond
)

// The states of an attempt. Delivery and preemption exclude each other; the first one wins.
const (
	attemptOpen int32 = iota
	attemptDelivered
	attemptPreempted
)

// Attempt is one try at an endpoint. Its methods are called by the job's Attempt and Resume functions, from a single
// goroutine.
type Attempt struct {
	run *run
	// Number counts the tries, starting at 1.
	Number     int
	EndpointID string
	Endpoint   settings.Endpoint
	// FetchFrom is the address of an endpoint from which this one can copy a shared part of the prompt, or empty.
	FetchFrom string
	// UnprocessedTokens is the number of prompt tokens, including those of the request, that the endpoint has to
	// process before the answer begins; 0 if unknown.
	UnprocessedTokens int
	// Connection is the open connection to the endpoint that Job.Connect has returned, or nil.
	Connection io.Closer
	state      atomic.Int32
}

// watchPreemption cancels the attempt when it is preempted, unless a part of the answer has been delivered or the
// request may not be repeated.
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

// MaySend reports whether the request may still be sent and its endpoint still takes new work. It is called after the
// connection is established, which may take a while, and before RecordSend.
func (a *Attempt) MaySend() bool {
	_, takesWork := a.run.owner.parts.Endpoints(a.EndpointID)
	return takesWork && !a.run.job.isPoison() && !a.run.job.isHeld() && a.run.ticket.MaySend()
}

// RecordSend is called once the connection is established: from then on bytes may reach the endpoint.
func (a *Attempt) RecordSend() {
	a.run.apply(request.EventSent)
	a.run.arrivals.sent(a.EndpointID, a.run.owner.parts.Clock())
	a.run.ticket.Started()
	a.run.recordStep("sent", "", nil)
}

// RecordAnswer is called when the endpoint has begun to answer.
func (a *Attempt) RecordAnswer() { a.run.arrivals.answered() }

// StartDelivery is called before a part of the answer is sent to the caller. It reports false if the attempt was
// preempted, in which case nothing may be sent to the caller.
func (a *Attempt) StartDelivery() bool {
	if a.state.Load() != attemptDelivered && !a.state.CompareAndSwap(attemptOpen, attemptDelivered) {
		return false
	}
	a.run.apply(request.EventDelivered)
	return true
}

// apply applies an event during an attempt.
func (r *run) apply(event request.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lifecycle.Apply(event, request.Facts{})
}

// SetVersion records the software version that writes the answer, and whether another endpoint can continue it.
func (a *Attempt) SetVersion(version uint32, canContinue bool) {
	r := a.run
	r.mu.Lock()
	defer r.mu.Unlock()
	r.job.Request.SoftwareVersion, r.job.CanContinue = version, canContinue
}

// RecordTokens is called with the number of tokens received so far, over all attempts that continue each other. If the
// endpoint does not report tokens, events count as tokens.
func (a *Attempt) RecordTokens(tokens int) {
	r := a.run
	now := r.owner.parts.Clock()
	if tokens > r.tokens {
		r.owner.parts.Counters.Tokens.Add(tokens - r.tokens)
	}
	r.setTokens(tokens)
	if r.firstToken == 0 {
		r.firstToken = now.Sub(r.arrived)
	}
	if r.reportedAt.IsZero() {
		r.ticket.FirstToken()
		r.recordProgress(now, tokens)
		return
	}
	if tokens-r.reportedTokens >= progressTokens || now.Sub(r.reportedAt) >= progressInterval {
		r.ticket.Progress(tokens - r.tokensBefore)
		r.recordProgress(now, tokens)
	}
}

func (r *run) setTokens(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = tokens
}

func (r *run) recordProgress(now time.Time, tokens int) {
	r.reportedAt = now
	r.reportedTokens = tokens
}
