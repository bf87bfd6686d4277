package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/ratelimit"
)

// ticket is one granted request. It implements owner.Ticket.
type ticket struct {
	placer  *Placer
	service keys.Service
	class   keys.Class
	// prompt is set if the request has a prompt.
	prompt   bool
	endpoint string
	version  string
	// permit is needed if the endpoint has named a limit.
	permit ratelimit.Permit
	// unprocessed is the part of the prompt, in tokens, that the endpoint has not processed, behind
	// those of other prompts that it had to process when the request was granted.
	unprocessed int
	behind      int
	startedAt   time.Time
}

func (p *Placer) newTicket(service string, request *admission.Request, choice *Choice) *ticket {
	return &ticket{
		placer: p, service: keys.OfService(service), class: keys.OfClass(request.Class), prompt: request.PromptTokens > 0,
		endpoint: choice.Endpoint, version: choice.Version, permit: choice.permit, unprocessed: choice.Tokens, behind: choice.Load.Tokens,
	}
}

// Preempted returns nil: a placer takes no endpoint back.
func (t *ticket) Preempted() <-chan struct{} { return nil }

// MaySend reports whether the endpoint's limit, if it has named one, allows the request now: it may have done so since the
// grant, or making a connection may have taken longer than the permit is good for.
func (t *ticket) MaySend() bool {
	return t.placer.limiter.MaySend(pushback.Instance{ID: t.endpoint, Version: t.version}, t.permit)
}

// Started notes when the request is sent. It was counted when it was granted.
func (t *ticket) Started() { t.startedAt = t.placer.clock() }

// FirstToken notes that the whole prompt was processed.
func (t *ticket) FirstToken() {
	p := t.placer
	p.mu.Lock()
	if t.behind == 0 {
		p.view.engines.get(t.service).RecordFirstEvent(t.unprocessed, p.clock().Sub(t.startedAt))
	}
	p.view.loads.Processed(t.endpoint, t.unprocessed)
	t.unprocessed = 0
	p.mu.Unlock()
	p.changed()
}

// Progress does nothing: only prompts and open requests count as load.
func (t *ticket) Progress(int) {}

// Finished frees the slot.
func (t *ticket) Finished(admission.Result, int) {
	p := t.placer
	p.mu.Lock()
	p.view.loads.End(t.endpoint, t.unprocessed)
	if t.prompt {
		p.view.engines.get(t.service).RecordEnd(t.class)
	}
	t.unprocessed = 0
	p.mu.Unlock()
	p.changed()
}
