// Package placement chooses the endpoint for a request on the host that owns the request, without asking another host,
// and decides whether the request is admitted. Only oxbowslip-front uses it; oxbowslipd uses the queue that all hosts
// share (package schedule).
//
// The package owns this host's view of the endpoints: the loads, ejections and prefixes of this host, the figures
// learned about engines, and the reports of peers. It relies on package directory for the endpoints of a service and on
// package engine for predictions. View and the rules (admit.go, affinity.go, cost.go, ejection.go, partition.go) do no
// I/O and take the time as a parameter; Placer adds the lock, the clock, the wait for a slot and the log.
package placement

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/precedence"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/ratelimit"
	"oxbowslip.dev/oxbowslip/internal/front/shares"
	"oxbowslip.dev/oxbowslip/internal/front/slots"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// grantValidity is how long a grant may stay unused. The owner normally uses it immediately, so the bound only matters
// if the host freezes in between.
const grantValidity = 100 * time.Millisecond

// reportsPerHolder is the number of reports to peers that list a new holder, since a datagram may be lost. At a loss of
// 1 datagram in 40, one holder in 64,000 goes unreported.
const reportsPerHolder = 3

// Parts are the dependencies of a Placer.
type Parts struct {
	Directory  *directory.Directory
	Rests      *pushback.Rests
	Rejections *pushback.Rejections
	Failures   *pushback.Failures
	Limiter    *ratelimit.Limiter
	Brittle    *pushback.Brittle
	// Shares keeps workspaces within their shares and limits; nil if that is off. Its Admit calls back into the placer while
	// it holds its own lock, so the placer must not call it while holding mu.
	Shares *shares.Exchange
	// Precedence holds back less urgent classes while hosts refuse a more urgent one; nil if that is off.
	Precedence *precedence.Exchange
	// Pace learns the speed of endpoints. If it is nil, all count as equally fast.
	Pace Pace
	// Slots asks for the slots of busy plain services. If it is nil, this host decides alone.
	Slots *slots.Client
	// HasIdle reports whether this host has an idle connection to an address. If it is nil, connections do not matter.
	HasIdle func(address string) bool
	// Finish is set if requests that can't end within their time limit are refused.
	Finish bool
	Log    *logrus.Entry
	Clock  func() time.Time
	// Random returns numbers in [0, 1).
	Random func() float64
	// Changed is called without any lock held after a change of this host's loads or ejections; it must not block.
	Changed func()
}

// Placer grants endpoints to the requests of this host. It implements owner.Admitter and is safe for concurrent use.
type Placer struct {
	parts Parts

	mu         sync.Mutex
	view       *View
	bounds     PriorityBounds
	targets    map[keys.Class]engine.Targets
	newHolders []newHolder
	// busy holds the services for whose slots this host asks, hasEngine the services with engines.
	busy      slots.Busy
	hasEngine map[string]bool
}

// newHolder is a holder that has yet to be listed in reportsLeft reports to peers.
type newHolder struct {
	holder      Holder
	reportsLeft int
}

// New returns a placer with no requests in flight.
func New(parts Parts) *Placer {
	view := NewView()
	view.random, view.rejections, view.failures, view.hasIdle = parts.Random, parts.Rejections, parts.Failures, parts.HasIdle
	if parts.Pace != nil {
		view.pace = parts.Pace
	}
	if parts.Finish {
		view.finish = newFinishRule()
	}
	return &Placer{parts: parts, view: view, busy: slots.NewBusy()}
}

// SetSettings applies the parts of the settings that placement uses.
func (p *Placer) SetSettings(tree *settings.Tree) {
	if p.parts.Shares != nil {
		p.parts.Shares.SetSettings(tree)
	}
	bounds, targets, hasEngine := PriorityBoundsOf(tree), targetsOf(tree), make(map[string]bool)
	for name, service := range tree.Services {
		hasEngine[name] = service.Engine != nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds, p.targets, p.hasEngine = bounds, targets, hasEngine
	p.view.finish.setSettings(bounds, tree)
}

// Ask returns a grant as soon as an endpoint of the service admits the request. It refuses immediately if the service
// has no endpoint or the workspace is over its share, and after a short wait if no endpoint admits the request. It
// blocks for little longer than grantWait. The error is that of ctx.
func (p *Placer) Ask(ctx context.Context, service string, request admission.Request) (owner.Ticket, admission.Decision, error) {
	if p.parts.Shares != nil && request.PromptTokens > 0 {
		return p.askWithinShare(ctx, service, request)
	}
	return p.ask(ctx, service, request)
}

// ask is Ask without regard to shares.
func (p *Placer) ask(ctx context.Context, service string, request admission.Request) (owner.Ticket, admission.Decision, error) {
	asked := p.parts.Clock()
	if ticket, decision, err := p.askQueue(ctx, service, &request, asked); ticket != nil || decision.Kind == admission.Refuse || err != nil {
		return ticket, decision, err
	}
	p.recordAsk(service, &request)
	until := asked.Add(grantWait(asked, &request))
	for {
		p.allowAvoided(&request, asked)
		choice, reason := p.choose(service, &request, p.parts.Clock().Before(until))
		if reason == "" && choice.IsLimited && !p.acquirePermit(ctx, service, &request, &choice, until) {
			if ctx.Err() != nil {
				return nil, admission.Decision{}, ctx.Err()
			}
			// The endpoint has no permit left; another endpoint may have one.
			continue
		}
		now := p.parts.Clock()
		if reason == "" {
			p.parts.Changed()
			return p.newTicket(service, &request, &choice), p.grant(&request, &choice, now.Sub(asked), now), nil
		}
		if isFinal(reason, &request) || !now.Before(until) || choice.AvailableAt.After(until) {
			p.recordRefusal(now, service, &request, reason, &choice)
			return nil, p.refusal(service, &request, reason, &choice, now.Sub(asked)), nil
		}
		if !lifetime.Sleep(ctx, pollInterval(&request, now.Sub(asked))) {
			return nil, admission.Decision{}, ctx.Err()
		}
	}
}

// isFinal reports whether a wait does not change a refusal, as it is not for lack of capacity. A stream that has begun
// waits for the return of an endpoint.
func isFinal(reason admission.Reason, request *admission.Request) bool {
	return !request.HasBegun && isForEndpoints(reason)
}

// isForEndpoints reports whether a refusal is for lack of endpoints.
func isForEndpoints(reason admission.Reason) bool {
	return reason == admission.ReasonNoEndpoint || reason == admission.ReasonNoVersion
}

// eligible returns the endpoints at which a request may run: those that it does not rule out, of the version that began
// its stream. The list is not modified.
func eligible(endpoints []*directory.Entry, request *admission.Request) []*directory.Entry {
	return withVersion(notRuledOut(endpoints, request), request)
}

// notRuledOut returns the endpoints that a request does not rule out.
func notRuledOut(endpoints []*directory.Entry, request *admission.Request) []*directory.Entry {
	if len(request.Only) == 0 && len(request.Excluded) == 0 {
		return endpoints
	}
	return filter(endpoints, func(e *directory.Entry) bool {
		return !slices.Contains(request.Excluded, e.ID) && (len(request.Only) == 0 || slices.Contains(request.Only, e.ID))
	})
}

// withVersion returns the endpoints of the version that began a request's stream, or all for a request that begins one.
func withVersion(endpoints []*directory.Entry, request *admission.Request) []*directory.Entry {
	if request.SoftwareVersion == 0 {
		return endpoints
	}
	return filter(endpoints, func(e *directory.Entry) bool {
		return versionOf(e) == keys.Version(request.SoftwareVersion)
	})
}

// acquirePermit gets a permit for a chosen endpoint and counts the request there. It waits for the permit only if no
// other endpoint is left, and no longer than until.
func (p *Placer) acquirePermit(ctx context.Context, service string, request *admission.Request, choice *Choice, until time.Time) bool {
	wait := time.Duration(0)
	if !choice.AvailableAt.IsZero() {
		wait = until.Sub(p.parts.Clock())
	}
	permit, ok := p.parts.Limiter.Acquire(ctx, choice.instance(), p.rank(request), wait)
	if !ok {
		return false
	}
	choice.permit = permit
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordGrant(p.parts.Clock(), service, request, choice)
	return true
}

// rank orders requests that wait for a permit, as PriorityBounds.rank does; 0 is the most urgent.
func (p *Placer) rank(request *admission.Request) uint8 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return uint8(min(p.bounds.rank(request), math.MaxUint8))
}

// choose picks an endpoint, or returns the reason for a refusal. It counts the request at the endpoint, unless the
// request needs a permit first. MayAsk is set if there is time left to ask for a permit.
func (p *Placer) choose(service string, request *admission.Request, mayAsk bool) (Choice, admission.Reason) {
	now := p.parts.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.begun.claim(now, service, request)
	if p.view.finish != nil {
		// A load that is no longer valid must not refuse a request.
		p.view.loads.expire(now)
	}
	from, candidates, free, reason := p.candidatesFrom(now, service, request, mayAsk)
	if reason != "" {
		return Choice{AvailableAt: free}, reason
	}
	if request.PromptTokens > 0 {
		p.decideSplit(now, service, from.endpoints)
	}
	choice, ok := p.view.chooseFrom(now, request, from, candidates)
	if !ok || !p.bounds.admitsChoice(request, &choice) {
		return choice, admission.ReasonNoRoom
	}
	if !p.view.finish.admits(now, service, request, &choice) {
		choice.AvailableAt = p.view.finish.blockedUntil(service, request.Urgency)
		return choice, admission.ReasonTooLate
	}
	if p.isHeld(service, request) {
		choice.AvailableAt = now.Add(classOrderTime)
		return choice, admission.ReasonTooLate
	}
	choice.AvailableAt = free
	// A limit applies to the whole fleet: if each host enforced it alone, n hosts would send n times as much.
	if choice.IsLimited = p.parts.Limiter.IsLimited(choice.instance()); !choice.IsLimited {
		p.recordGrant(now, service, request, &choice)
	}
	return choice, ""
}

// candidates returns the endpoints that may be chosen, or the reason for a refusal. If all endpoints rest or have no
// permit left, free is the time at which the first becomes available, and a returned candidate is one to wait for. The
// lock is held.
func (p *Placer) candidates(now time.Time, request *admission.Request, endpoints []*directory.Entry, mayAsk bool) (candidates []*directory.Entry, free time.Time, reason admission.Reason) {
	// A resting endpoint gets no requests even if no other is left: it would reject them.
	usable, rested := p.parts.Rests.Usable(endpoints)
	if len(usable) == 0 {
		return nil, rested, admission.ReasonResting
	}
	if usable = p.withSlots(usable); len(usable) == 0 {
		return nil, time.Time{}, admission.ReasonNoRoom
	}
	open, denied := p.parts.Limiter.Usable(usable, mayAsk)
	// An ejected endpoint is tried before a request is refused: it may have been ejected for a brief slowdown.
	if len(open) == 0 {
		if !mayAsk || denied.Next.Sub(now) > slotWait(request) {
			return nil, denied.Next, admission.ReasonLimited
		}
		return []*directory.Entry{denied.Endpoint}, denied.Next, ""
	}
	if request.HasBegun && mayAsk && !p.view.hasHealthy(now, request, open) {
		// An endpoint that only breaks calls is not worth a wait: it may complete the stream as well as later.
		if open = p.view.servingOn(request, open); len(open) == 0 {
			return nil, time.Time{}, admission.ReasonNoEndpoint
		}
	}
	candidates = p.view.begun.withoutClaimed(now, request, p.view.candidates(now, request, open))
	if !p.bounds.isLeastUrgent(request) {
		candidates = p.view.withRoom(&p.bounds, request, candidates)
	}
	return candidates, time.Time{}, ""
}

// brittleSlotShare is the share of the slots of a brittle endpoint that is used: requests of other hosts may be on their
// way to it.
const brittleSlotShare = 0.9

// withSlots returns the endpoints without the brittle ones whose slots are taken: a request that waits there may be
// rejected. The list is not modified. The lock is held.
func (p *Placer) withSlots(endpoints []*directory.Entry) []*directory.Entry {
	if !p.parts.Brittle.Any() {
		return endpoints
	}
	return filter(endpoints, func(e *directory.Entry) bool {
		slots := float64(e.Endpoint.MaxInFlight) * brittleSlotShare
		isBrittle := p.parts.Brittle.Has(pushback.Instance{ID: e.ID, Version: e.Endpoint.Version})
		return !isBrittle || slots == 0 || float64(p.view.loads.Total(e.ID).Requests) < slots
	})
}

// recordGrant counts a request at the endpoint chosen for it. The lock is held.
func (p *Placer) recordGrant(now time.Time, service string, request *admission.Request, choice *Choice) {
	p.parts.Rests.RecordGrant(choice.Endpoint, choice.Version)
	p.view.loads.Begin(choice.Endpoint, choice.Tokens)
	if request.PromptTokens > 0 {
		p.view.engines.get(keys.OfService(service)).RecordArrival(now, engine.Arrival{
			Class: keys.OfClass(request.Class), Prompt: request.PromptTokens, Unread: choice.Tokens, Answer: request.AnswerTokens,
		})
	}
	if choice.Prefix != 0 {
		p.recordOwnHolder(now, Holder{Prefix: choice.Prefix, Endpoint: keys.OfEndpoint(choice.Endpoint)})
	}
}

// decideSplit updates the number of endpoints reserved for short prompts, if an update is due. The lock is held.
func (p *Placer) decideSplit(now time.Time, service string, endpoints []*directory.Entry) {
	engines := p.view.engines.get(keys.OfService(service))
	fleet := engine.Fleet{
		Endpoints: len(endpoints), Slots: endpoints[0].Endpoint.MaxInFlight, Hosts: p.view.Hosts(), Targets: p.targets,
	}
	if engines.Refresh(now, &fleet) {
		p.logSplit(service, engines)
	}
}

// logSplit logs a changed split.
func (p *Placer) logSplit(service string, engines *engine.Service) {
	f := engines.Figures()
	p.parts.Log.WithFields(logrus.Fields{
		"service": service, "short": engines.ShortEndpoints(), "long_classes": engines.LongClasses(), "endpoints": len(p.parts.Directory.Serving(service)),
		"read_rate": f.ReadRate.Value, "event_ms": f.EventTime.Value, "event_read": f.EventRead.Value,
		"samples": f.ReadRate.Samples,
	}).Info("endpoints kept for short prompts")
}

// recordOwnHolder records an endpoint to which this host sends a prefix, and queues a new holder for reports to peers.
// The lock is held.
func (p *Placer) recordOwnHolder(now time.Time, h Holder) {
	if p.view.holders.Record(now, h) {
		p.newHolders = append(p.newHolders, newHolder{holder: h, reportsLeft: reportsPerHolder})
	}
}

func (p *Placer) grant(request *admission.Request, choice *Choice, waited time.Duration, now time.Time) admission.Decision {
	var fetchFrom string
	if source, known := p.parts.Directory.Lookup(choice.FetchFrom); known {
		fetchFrom = source.Address
	}
	return admission.Decision{
		Kind: admission.Grant, ID: request.ID, Owner: request.Owner, Endpoint: choice.Endpoint, FetchFrom: fetchFrom,
		Reason: admission.ReasonPlaced, RetryAfter: rejectionRetryAfter(choice.RejectionShare), Until: now.Add(grantValidity), UnprocessedTokens: choice.Load.Tokens + choice.Tokens,
		Figures: admission.Figures{
			Waited: waited, InFlight: choice.Load.Requests, Ahead: choice.Load.Tokens, CachedTokens: choice.Cached, PredictedFirstToken: choice.PredictedFirstEvent,
			PredictedEnd: choice.PredictedEnd,
		},
	}
}

func (p *Placer) refusal(service string, request *admission.Request, reason admission.Reason, choice *Choice, waited time.Duration) admission.Decision {
	now, random := p.parts.Clock(), p.parts.Random()
	after := retryAfter(now, reason, choice, random)
	if reason == admission.ReasonTooLate {
		after = max(p.lateRetryAfter(now, service, request, random), choice.AvailableAt.Sub(now))
	}
	return admission.Decision{
		Kind: admission.Refuse, ID: request.ID, Reason: reason, RetryAfter: after, Figures: admission.Figures{
			Waited: waited, InFlight: choice.Load.Requests, Ahead: choice.Load.Tokens, PredictedFirstToken: choice.PredictedFirstEvent,
			PredictedEnd: choice.PredictedEnd,
		},
	}
}

// lateRetryAfter returns when to retry after a refusal because no endpoint could end the request in time. Random is in
// [0, 1).
func (p *Placer) lateRetryAfter(now time.Time, service string, request *admission.Request, random float64) time.Duration {
	index := p.parts.Directory.Index(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	from, listed := p.view.listed(index, service, request)
	usable, _ := p.parts.Rests.Usable(listed)
	return p.view.lateRetryAfter(now, request, from, usable, random)
}

// recordRefusal counts a request that was refused for lack of room, or because all endpoints rest or are limited.
func (p *Placer) recordRefusal(now time.Time, service string, request *admission.Request, reason admission.Reason, choice *Choice) {
	if isForEndpoints(reason) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if lacksCapacity(request, reason, choice) {
		p.view.finish.recordRefusal(now, service, request)
		if p.parts.Precedence != nil {
			p.parts.Precedence.RecordRefusal(service, request.Urgency)
		}
	}
	p.view.engines.get(keys.OfService(service)).RecordRefusal(now, engine.Arrival{
		Class: keys.OfClass(request.Class), Prompt: request.PromptTokens, Unread: request.PromptTokens, Answer: request.AnswerTokens,
	})
}

// HoldersToReport returns the holders to list in the next report to peers.
func (p *Placer) HoldersToReport() []Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	var holders []Holder
	left := p.newHolders[:0]
	for _, n := range p.newHolders {
		holders = append(holders, n.holder)
		if n.reportsLeft--; n.reportsLeft > 0 {
			left = append(left, n)
		}
	}
	p.newHolders = left
	return holders
}

// Snapshot returns a copy of the requests and unprocessed prompt tokens that this host has in flight at each endpoint,
// and the endpoints that this host has ejected, with the end of each ejection.
func (p *Placer) Snapshot() (loads map[string]Load, ejected map[string]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.loads.Own(), p.view.ejections.Ejected(p.parts.Clock())
}

// EngineReports returns this host's observations of engines, for peers.
func (p *Placer) EngineReports() EngineReports {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.parts.Clock()
	observed := make(EngineReports, len(p.view.engines))
	for service, s := range p.view.engines {
		observed[service] = s.Report(now)
	}
	return observed
}

// SetPeerEngineReports replaces a peer's observations of engines.
func (p *Placer) SetPeerEngineReports(peer string, observed EngineReports) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.engines.setPeer(peer, observed)
}

// SetPeer replaces a peer's report.
func (p *Placer) SetPeer(peer string, report PeerReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.parts.Clock()
	p.view.loads.SetPeer(now, peer, report.Loads)
	for _, h := range report.Holders {
		p.view.holders.Record(now, h)
	}
	for endpoint, until := range report.Ejected {
		if p.view.ejections.RecordPeerEjection(endpoint, until) {
			p.parts.Log.WithFields(logrus.Fields{"endpoint_key": endpoint, "from": peer, "until": until}).Info("endpoint ejected by a peer")
		}
	}
}

// Load returns the recent load of a service over all hosts.
func (p *Placer) Load(service string) engine.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.engines.get(keys.OfService(service)).Load(p.parts.Clock(), p.view.Hosts())
}

// DropPeer removes the reports of a peer that left.
func (p *Placer) DropPeer(peer string) {
	if p.parts.Shares != nil {
		p.parts.Shares.DropPeer(peer)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.loads.DropPeer(peer)
	p.view.engines.dropPeer(peer)
}

// Expire removes entries that have expired. It is called about once a second.
func (p *Placer) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Expire(p.parts.Clock())
}

// RecordFailure counts a call that failed or got no response, which may eject the endpoint. Reached is set if the
// endpoint was reached before the call broke.
func (p *Placer) RecordFailure(endpoint string, reached bool, cause error) {
	p.mu.Lock()
	ejection := p.view.ejections.Failed(p.parts.Clock(), endpoint, reached)
	p.view.ejections.setServesOn(endpoint, reached && !errors.Is(cause, owner.ErrStalled))
	p.mu.Unlock()
	if !ejection.IsNew {
		return
	}
	p.parts.Changed()
	p.parts.Log.WithError(cause).WithFields(logrus.Fields{
		"endpoint": endpoint, "until": ejection.Until, "reached": reached, "in_row": ejection.Consecutive,
	}).Warn("endpoint ejected")
}

// RecordSuccess counts a complete response of an endpoint, which ends its ejection by this host.
func (p *Placer) RecordSuccess(endpoint string) {
	p.mu.Lock()
	failed := p.view.ejections.Answered(endpoint)
	p.mu.Unlock()
	if failed {
		p.parts.Log.WithField("endpoint", endpoint).Info("endpoint answers again, its failures and its ejection by this host are cleared")
	}
}

// ResetEndpoint discards the prefixes, ejections, rejections, failures and observations of speed recorded for an endpoint
// that has restarted under the same ID. Calls in flight to the previous instance fail by themselves.
func (p *Placer) ResetEndpoint(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.holders.dropEndpoint(keys.OfEndpoint(endpoint))
	p.view.ejections.reset(endpoint)
	p.view.rejections.Forget(keys.OfEndpoint(endpoint))
	p.view.failures.Forget(keys.OfEndpoint(endpoint))
	p.view.pace.Forget(keys.OfEndpoint(endpoint))
}

// RecordStream records the observations of a complete stream.
func (p *Placer) RecordStream(service string, stream engine.Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.engines.get(keys.OfService(service)).RecordStream(stream)
}

// UnprocessedTokens returns the prompt tokens of all hosts that an endpoint has not processed yet.
func (p *Placer) UnprocessedTokens(endpoint string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.loads.Total(endpoint).Tokens
}
