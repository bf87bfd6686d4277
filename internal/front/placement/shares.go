package placement

import (
	"context"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/shares"
	"oxbowslip.dev/oxbowslip/internal/owner"
)

// askWithinShare is Ask for a request of a workspace that must stay within its share and limits. It reports how the
// request ends, so that its work is counted.
func (p *Placer) askWithinShare(ctx context.Context, service string, request admission.Request) (owner.Ticket, admission.Decision, error) {
	ask := p.newShareAsk(service, &request)
	if verdict := p.parts.Shares.Admit(ask); verdict.IsRefused {
		return nil, admission.Decision{
			Kind: admission.Refuse, ID: request.ID, Reason: admission.ReasonWorkspaceRoom, RetryAfter: verdict.RetryAfter,
			Figures: admission.Figures{WorkAsked: verdict.Asked, WorkShare: verdict.Share},
		}, nil
	}
	granted, decision, err := p.ask(ctx, service, request)
	switch {
	case err != nil:
		p.parts.Shares.Cancelled(ask)
		return nil, decision, err
	case decision.Kind == admission.Refuse:
		p.parts.Shares.Refused(ask, decision.Reason)
		return nil, decision, nil
	}
	p.parts.Shares.Granted(ask)
	return shareTicket{Ticket: granted, shares: p.parts.Shares, ask: ask}, decision, nil
}

// shareTicket is the ticket of a request whose work is counted.
type shareTicket struct {
	owner.Ticket
	shares *shares.Exchange
	ask    *shares.Ask
}

// Finished releases the slot and counts the end of the request.
func (t shareTicket) Finished(result admission.Result, tokens int) {
	t.Ticket.Finished(result, tokens)
	t.shares.Ended(t.ask)
}

func (p *Placer) newShareAsk(service string, request *admission.Request) *shares.Ask {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &shares.Ask{
		Service: service, Request: request, Tier: min(request.Tier, p.bounds.LowestTier), Unread: p.view.expectedUnread(request),
		HasRoom: func() bool { return p.hasRoom(service, request) },
	}
}

// expectedUnread returns the number of prompt tokens that an endpoint is expected to have to read, before one is chosen.
func (v *View) expectedUnread(request *admission.Request) int {
	prefix, tokens := sharedPrefix(request)
	if tokens < minSharedPrefix || len(v.holders[keys.Prefix(prefix)]) == 0 {
		return request.PromptTokens
	}
	return max(request.PromptTokens-tokens, 0)
}

// hasRoom reports whether the endpoint that a request would get now admits it, with the first event within the target.
// It is also true if no endpoint can be chosen, since ask then refuses the request with the reason for that.
func (p *Placer) hasRoom(service string, request *admission.Request) bool {
	now := p.parts.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	from, candidates, _, reason := p.candidatesFrom(now, service, request, false)
	if reason != "" {
		return true
	}
	choice, ok := p.view.chooseFrom(now, request, from, candidates)
	inTime := request.FirstToken == 0 || choice.PredictedFirstEvent <= request.FirstToken
	return ok && inTime && p.bounds.admitsChoice(request, &choice)
}
