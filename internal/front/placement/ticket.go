package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/ratelimit"
	"oxbowslip.dev/oxbowslip/internal/front/slots"
)

// ticket is a granted request. It implements owner.Ticket.
type ticket struct {
	placer  *Placer
	service keys.Service
	class   keys.Class
	// hasPrompt is set if the request has a prompt.
	hasPrompt bool
	endpoint  string
	version   string
	// permit is needed if the endpoint has a limit.
	permit ratelimit.Permit
	// lease is the slot that the coordinator of a busy plain service has granted, or nil.
	lease *slots.Lease
	// unprocessedTokens is the number of the request's prompt tokens that the endpoint has not processed, and
	// tokensAhead the number of tokens of other prompts that it had to process first when the request was granted.
	unprocessedTokens int
	tokensAhead       int
	startedAt         time.Time
	// learnsPace is set if the request yields observations of the endpoint's speed. predictedRead is the time to the
	// first event that was predicted at the grant for an endpoint of slowness 1.
	learnsPace    bool
	predictedRead time.Duration
	// events is the number of events up to the last observation, eventAt its time, and eventLoad the load of the endpoint
	// then. eventAt is zero before the first event.
	events    int
	eventAt   time.Time
	eventLoad Load
}

func (p *Placer) newTicket(service string, request *admission.Request, choice *Choice) *ticket {
	return &ticket{
		placer: p, service: keys.OfService(service), class: keys.OfClass(request.Class), hasPrompt: request.PromptTokens > 0,
		endpoint: choice.Endpoint, version: choice.Version, permit: choice.permit, unprocessedTokens: choice.Tokens, tokensAhead: choice.Load.Tokens,
		learnsPace: p.parts.Pace != nil && request.PromptTokens > 0, predictedRead: choice.predictedRead,
	}
}

// Preempted returns nil: a placer never preempts a request.
func (t *ticket) Preempted() <-chan struct{} { return nil }

// MaySend reports whether the endpoint's limit, if there is one, still allows the request: the endpoint may have
// announced a limit since the grant, or the permit may have expired while the connection was made.
func (t *ticket) MaySend() bool {
	return t.placer.parts.Limiter.MaySend(pushback.Instance{ID: t.endpoint, Version: t.version}, t.permit)
}

// Started records the time at which the request is sent. The request was counted at the grant.
func (t *ticket) Started() { t.startedAt = t.placer.parts.Clock() }

// FirstToken records that the whole prompt was processed.
func (t *ticket) FirstToken() {
	p := t.placer
	p.mu.Lock()
	if t.tokensAhead == 0 {
		p.view.engines.get(t.service).RecordFirstEvent(t.unprocessedTokens, p.parts.Clock().Sub(t.startedAt))
	}
	p.view.loads.Processed(t.endpoint, t.unprocessedTokens)
	t.unprocessedTokens = 0
	t.recordFirstEvent()
	p.mu.Unlock()
	p.parts.Changed()
}

// Progress records how fast the endpoint generates the answer. Loads don't change: they consist of prompts and open
// requests. Events is the number of events so far.
func (t *ticket) Progress(events int) { t.recordEvents(events) }

// Finished releases the slot. The end of a complete stream comes with its last event.
func (t *ticket) Finished(result admission.Result, events int) {
	if result == admission.Answered {
		t.recordEvents(events)
	}
	p := t.placer
	if t.lease != nil {
		t.lease.Release(t.outcome(result))
	}
	p.mu.Lock()
	p.view.loads.End(t.endpoint, t.unprocessedTokens)
	if t.hasPrompt {
		p.view.engines.get(t.service).RecordEnd(t.class)
	}
	t.unprocessedTokens = 0
	p.mu.Unlock()
	p.parts.Changed()
}

// outcome returns what became of the ticket's lease.
func (t *ticket) outcome(result admission.Result) slots.Outcome {
	switch {
	case result == admission.Answered:
		return slots.Answered
	case t.startedAt.IsZero():
		return slots.Unused
	case !t.placer.view.rejections.LastAt(keys.OfEndpoint(t.endpoint)).Before(t.startedAt):
		// The result does not state why the request has failed, but the endpoint's answer was counted before.
		return slots.Rejected
	}
	return slots.Failed
}
