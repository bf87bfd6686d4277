package owner

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// The reasons why an attempt has no successor.
var (
	errLastTry      = merry.Sentinel("the request may not be sent again")
	errNoBudget     = merry.Sentinel("the retry budget is used up")
	errNotGranted   = merry.Sentinel("no endpoint was granted")
	errNotBetter    = merry.Sentinel("the granted endpoint is not known to be better")
	errHeld         = merry.Sentinel("another copy of the request is tried first")
	errNotConnected = merry.Sentinel("the granted endpoint can't be connected to")
)

// maxSuccessorWait bounds the wait for the endpoint of a successor, whose retry is counted during the wait.
const maxSuccessorWait = 500 * time.Millisecond

// Successor is the next try of a request whose attempt goes on. The retry is counted, the endpoint granted and the
// connection to it open, so that nothing is left that could fail once the attempt is ended in its favour.
type Successor struct {
	run        *run
	ticket     Ticket
	decision   admission.Decision
	endpoint   settings.Endpoint
	connection io.Closer
	discarded  sync.Once
}

// EndpointFilter limits the endpoints of a successor.
type EndpointFilter struct {
	// Excluded lists endpoints that are not to be chosen. Only, if not empty, lists the only ones that may be. The endpoint of
	// the attempt is chosen only if no other is left.
	Excluded, Only []string
	// Accept is asked for the endpoint that is granted.
	Accept func(endpoint string) bool
}

// PrepareSuccessor prepares the next try. It blocks while it asks for an endpoint and connects, and returns soon after ctx
// ends. Unlike the other methods it may be called from another goroutine than that of the request, one at a time, until
// the attempt returns. The successor must be passed to Leave or discarded.
func (a *Attempt) PrepareSuccessor(ctx context.Context, filter *EndpointFilter) (*Successor, error) {
	r := a.run
	ask, ok := r.successorRequest(filter)
	if !ok {
		return nil, merry.Wrap(errLastTry)
	}
	if !r.owner.parts.Budget.Reserve(r.job.budgetGroup(), r.endpointID, ask.HasBegun) {
		return nil, merry.Wrap(errNoBudget)
	}
	s := &Successor{run: r}
	if err := s.prepare(ctx, ask, filter.Accept); err != nil {
		s.Discard()
		return nil, err
	}
	return s, nil
}

// successorRequest returns the request for the endpoint of the next try, and whether there may be one.
func (r *run) successorRequest(filter *EndpointFilter) (admission.Request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.job.Connect == nil || !r.lifecycle.CanLeave(r.leavingFacts()) {
		return admission.Request{}, false
	}
	ask := r.job.Request
	ask.Excluded = slices.Concat(ask.Avoid, filter.Excluded)
	ask.Avoid = slices.Concat(ask.Avoid, []string{r.endpointID})
	ask.Only, ask.Received, ask.Retry = filter.Only, r.tokens, true
	ask.HasBegun = r.hasBegun()
	ask.MaxWait = maxSuccessorWait
	return ask, true
}

// leavingFacts returns the facts for the end of an attempt that has a successor: its retry is counted already.
func (r *run) leavingFacts() request.Facts {
	facts := r.facts(false)
	facts.BudgetLeft = true
	return facts
}

func (s *Successor) prepare(ctx context.Context, ask admission.Request, accept func(endpoint string) bool) error {
	r := s.run
	if r.job.isHeld() {
		if _, ok := r.job.Hold(ctx, r.owner.parts.Clock().Add(maxSuccessorWait)); !ok {
			return merry.Wrap(errHeld)
		}
	}
	ticket, decision, err := r.owner.parts.Admitter.Ask(ctx, r.job.Shard, ask)
	if err != nil {
		return err
	}
	if decision.Kind == admission.Refuse {
		return merry.Wrap(errNotGranted, merry.AppendMessage(string(decision.Reason)))
	}
	s.ticket, s.decision = ticket, decision
	endpoint, takesWork := r.owner.parts.Endpoints(decision.Endpoint)
	if !takesWork || !accept(decision.Endpoint) {
		return merry.Wrap(errNotBetter)
	}
	s.endpoint = endpoint
	connection, err := r.job.Connect(ctx, decision.Endpoint, endpoint)
	if err != nil {
		return merry.Wrap(errNotConnected, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	s.connection = connection
	return nil
}

// maySend reports whether the request may still be sent to the endpoint.
func (s *Successor) maySend() bool {
	_, takesWork := s.run.owner.parts.Endpoints(s.decision.Endpoint)
	return takesWork && !s.run.job.isPoison() && !s.run.job.isHeld() && s.ticket.MaySend()
}

// Discard gives back what the successor holds. It has no effect on later calls.
func (s *Successor) Discard() {
	s.discarded.Do(func() {
		if s.connection != nil {
			s.connection.Close()
		}
		if s.ticket != nil {
			s.ticket.Finished(admission.Unused, 0)
		}
		s.run.owner.parts.Budget.Release(s.run.job.budgetGroup())
	})
}

// Leave makes the request go on at a successor as soon as the attempt returns without a complete answer. The caller ends
// the attempt afterwards. It reports false if the request may no longer be sent there; the successor is discarded then.
func (a *Attempt) Leave(s *Successor) bool {
	if !s.maySend() {
		s.Discard()
		return false
	}
	r := a.run
	r.mu.Lock()
	defer r.mu.Unlock()
	r.successor = s
	return true
}

// dropSuccessor discards the successor, if there is one.
func (r *run) dropSuccessor() {
	if s := r.takeSuccessor(); s != nil {
		s.Discard()
	}
}

func (r *run) takeSuccessor() *Successor {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.successor
	r.successor = nil
	return s
}

// goOn takes the action that follows from the end of an attempt. If the request is to be sent again and has a successor,
// it is sent there.
func (r *run) goOn(action request.Action) request.Action {
	s := r.takeSuccessor()
	if s == nil {
		return action
	}
	if action != request.ActAsk {
		s.Discard()
		return action
	}
	r.arrivals.held++
	retry := r.lifecycle.Retry()
	r.owner.parts.Counters.CountRetry(retry)
	r.recordStep("retry", string(retry), nil)
	r.recordDecision(&s.decision)
	r.ticket, r.job.Request.Retry = s.ticket, true
	r.connection = s.connection
	return r.useGrant(&s.decision, s.endpoint)
}

// RecordWait records in the request's steps why an attempt goes on although its endpoint is silent. It may be called
// from the same goroutine as PrepareSuccessor.
func (a *Attempt) RecordWait(reason error) {
	a.run.recordStep("waits", reason.Error(), nil)
}
