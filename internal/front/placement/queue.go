package placement

import (
	"context"
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/slots"
	"oxbowslip.dev/oxbowslip/internal/owner"
)

// Calls of a busy plain service wait in one queue for all hosts (package slots). A grant of the queue is checked by this
// host, which may know more of the endpoint than the coordinator.

// maxQueueAsks is the number of slots that a request asks for if this host can't use the endpoint of the first one.
const maxQueueAsks = 2

// askQueue asks the coordinator of a busy plain service for a slot. It returns no ticket and the zero decision if this
// host has to decide alone.
func (p *Placer) askQueue(ctx context.Context, service string, request *admission.Request, asked time.Time) (owner.Ticket, admission.Decision, error) {
	var unusable []keys.Endpoint
	for range maxQueueAsks {
		q, ok := p.slotRequest(service, request)
		if !ok {
			break
		}
		q.Avoid = append(q.Avoid, unusable...)
		answer, err := p.parts.Slots.Acquire(ctx, q)
		now := p.parts.Clock()
		switch {
		case err != nil:
			return nil, admission.Decision{}, err
		case answer.Result == slots.Alone:
			return nil, admission.Decision{}, nil
		case answer.Result != slots.Granted:
			return nil, queueRefusal(request, &answer, now.Sub(asked)), nil
		}
		if choice, ok := p.takeSlot(ctx, service, request, answer.Endpoint); ok {
			p.parts.Changed()
			t := p.newTicket(service, request, &choice)
			t.lease = answer.Lease
			return t, p.grant(request, &choice, now.Sub(asked), now), nil
		}
		answer.Lease.Release(slots.Unused)
		unusable = append(unusable, answer.Endpoint)
	}
	return nil, admission.Decision{}, nil
}

// slotRequest returns the question to the coordinator of a service. It returns false if this host decides alone: the
// service is not busy, has engines or endpoints that do not state their slots, or all its endpoints rest or are limited.
func (p *Placer) slotRequest(service string, request *admission.Request) (*slots.Request, bool) {
	if p.parts.Slots == nil || request.PromptTokens > 0 || request.Deadline.IsZero() {
		return nil, false
	}
	now := p.parts.Clock()
	endpoints := p.parts.Directory.Serving(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasEngine[service] || !p.isBusy(now, service, endpoints) {
		return nil, false
	}
	usable := eligible(endpoints, request)
	if len(usable) == 0 {
		return nil, false
	}
	candidates, free, reason := p.candidates(now, request, usable, true)
	if reason != "" || !free.IsZero() {
		return nil, false
	}
	q := &slots.Request{
		Service: service, Workspace: request.Workspace, Weight: float32(request.Weight), Rank: uint8(min(p.bounds.rank(request), math.MaxUint8)),
		IsRepeatable: request.Repeatable, Key: keys.Content(request.ContentKey), Zone: request.Zone,
		UntilTarget: request.Arrived.Add(max(request.FirstToken, request.WholeAnswer)).Sub(now), UntilLimit: request.Deadline.Sub(now),
	}
	for _, e := range endpoints {
		if !slices.Contains(candidates, e) {
			q.Avoid = append(q.Avoid, keys.OfEndpoint(e.ID))
		}
	}
	return q, true
}

// isBusy reports whether this host asks for slots of a service. The lock is held.
func (p *Placer) isBusy(now time.Time, service string, endpoints []*directory.Entry) bool {
	taken, total := 0, 0
	var rejectedAt time.Time
	for _, e := range endpoints {
		if e.Endpoint.MaxInFlight == 0 {
			return false
		}
		total += e.Endpoint.MaxInFlight
		taken += p.view.loads.Total(e.ID).Requests
		if at := p.view.rejections.LastAt(keys.OfEndpoint(e.ID)); at.After(rejectedAt) {
			rejectedAt = at
		}
	}
	return len(endpoints) > 0 && p.busy.IsBusy(now, service, taken, total, rejectedAt)
}

// takeSlot counts a request at the endpoint that the coordinator has granted. It returns false if this host can't use
// the endpoint.
func (p *Placer) takeSlot(ctx context.Context, service string, request *admission.Request, granted keys.Endpoint) (Choice, bool) {
	now := p.parts.Clock()
	endpoints := p.parts.Directory.Serving(service)
	p.mu.Lock()
	candidates, free, reason := p.candidates(now, request, eligible(endpoints, request), true)
	candidates = filter(candidates, func(e *directory.Entry) bool { return keys.OfEndpoint(e.ID) == granted })
	if reason != "" || !free.IsZero() || len(candidates) == 0 {
		p.mu.Unlock()
		return Choice{}, false
	}
	choice, _ := p.view.Choose(now, service, request, endpoints, candidates, nil)
	choice.IsLimited = p.parts.Limiter.IsLimited(choice.instance())
	if !choice.IsLimited {
		p.recordGrant(now, service, request, &choice)
	}
	p.mu.Unlock()
	// acquirePermit changes the choice, and Go leaves open whether a variable beside a call is read before or after it.
	ok := !choice.IsLimited || p.acquirePermit(ctx, service, request, &choice, now)
	return choice, ok
}

// queueRefusal is the refusal of a request by the coordinator.
func queueRefusal(request *admission.Request, answer *slots.Answer, waited time.Duration) admission.Decision {
	reason := admission.ReasonTooLate
	if answer.Result == slots.NoRoom {
		reason = admission.ReasonNoRoom
	}
	return admission.Decision{
		Kind: admission.Refuse, ID: request.ID, Reason: reason, RetryAfter: answer.RetryAfter, Figures: admission.Figures{Waited: waited},
	}
}

// SlotEndpoints returns the endpoints of a service that take new work, with the loads of all hosts, for the coordinator
// of the service. Ejected ones are left out as long as there are others.
func (p *Placer) SlotEndpoints(service string) []slots.Endpoint {
	now := p.parts.Clock()
	serving := p.parts.Directory.Serving(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	healthy := filter(serving, func(e *directory.Entry) bool { return !p.view.ejections.isEjected(now, e.ID) })
	if len(healthy) == 0 {
		healthy = serving
	}
	endpoints := make([]slots.Endpoint, 0, len(healthy))
	for _, e := range healthy {
		if e.Endpoint.MaxInFlight == 0 {
			continue
		}
		endpoints = append(endpoints, slots.Endpoint{
			Key: keys.OfEndpoint(e.ID), Zone: e.Endpoint.Zone, Slots: e.Endpoint.MaxInFlight, Open: p.view.loads.Total(e.ID).Requests,
		})
	}
	return endpoints
}
