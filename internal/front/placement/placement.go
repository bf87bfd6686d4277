// Package placement chooses the endpoint for a request on the host that owns the request,
// at once and without asking another host, and decides whether the request is admitted at
// all. Only oxbowslip-front uses it; oxbowslipd asks the queue that all hosts share
// (package schedule).
//
// It owns what this host knows of the endpoints: the loads, ejections and prefixes of this
// host, what is learned of engines, and what its peers report of theirs. It relies on package
// directory for the endpoints of a service, and on package engine for predictions. View and the rules (admit.go, affinity.go, cost.go,
// ejection.go, partition.go) do no input or output and take the time as a
// parameter; Placer adds the lock, the clock, the wait for a slot and the log.
package placement

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/ratelimit"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// grantValidity is how long a grant may stay unused. The owner uses it at once, so it only covers a host that freezes
// in between.
const grantValidity = 100 * time.Millisecond

// holderReports is in how many reports to peers a new holder is listed, since a datagram may be lost. With 1 in 40
// lost, as on a bad day of mfs-kochi, one holder in 64,000 goes unreported.
const holderReports = 3

// Placer grants endpoints to the requests of this host. It implements owner.Admitter and is
// safe for concurrent use.
type Placer struct {
	directory *directory.Directory
	rests     *pushback.Rests
	limiter   *ratelimit.Limiter
	log       *logrus.Entry
	clock     func() time.Time
	// random returns numbers from 0 up to 1.
	random func() float64
	// changed is called when this host's loads or ejections have changed.
	changed func()

	mu         sync.Mutex
	view       *View
	bounds     PriorityBounds
	targets    map[keys.Class]engine.Targets
	newHolders []newHolder
}

// newHolder is a holder that is still to be reported a number of times.
type newHolder struct {
	holder  Holder
	reports int
}

// New returns a placer that has sent nothing. Changed is called, outside of any lock, when
// this host's loads or ejections have changed; it must not block.
func New(d *directory.Directory, rests *pushback.Rests, rejections *pushback.Rejections, failures *pushback.Failures, limiter *ratelimit.Limiter, log *logrus.Entry, clock func() time.Time, random func() float64, changed func()) *Placer {
	view := NewView()
	view.random, view.rejections, view.failures = random, rejections, failures
	return &Placer{directory: d, rests: rests, limiter: limiter, log: log, clock: clock, random: random, changed: changed, view: view}
}

// SetSettings takes what placement needs of the settings in force.
func (p *Placer) SetSettings(tree *settings.Tree) {
	bounds, targets := PriorityBoundsOf(tree), targetsOf(tree)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds, p.targets = bounds, targets
}

// Ask returns a grant as soon as an endpoint of the service admits the request, or a
// refusal: at once if the service has no endpoint, and after a short wait if none admits it.
// It blocks for little longer than waitFor; the error is that of ctx.
func (p *Placer) Ask(ctx context.Context, service string, request admission.Request) (owner.Ticket, admission.Decision, error) {
	asked := p.clock()
	until := asked.Add(waitFor(&request))
	for {
		choice, reason := p.choose(service, &request, p.clock().Before(until))
		if reason == "" && choice.IsLimited && !p.acquire(ctx, service, &request, &choice, until) {
			if ctx.Err() != nil {
				return nil, admission.Decision{}, ctx.Err()
			}
			// The endpoint has no permit left for now: another may be free.
			continue
		}
		now := p.clock()
		if reason == "" {
			p.changed()
			return p.newTicket(service, &request, &choice), p.grant(&request, &choice, now.Sub(asked), now), nil
		}
		if reason == admission.ReasonNoEndpoint || !now.Before(until) || choice.AvailableAt.After(until) {
			p.refused(now, service, &request, reason)
			return nil, p.refusal(&request, reason, &choice, now.Sub(asked)), nil
		}
		if !lifetime.Sleep(ctx, slotPoll) {
			return nil, admission.Decision{}, ctx.Err()
		}
	}
}

// acquire gets a permit for an endpoint that was chosen and counts the request there. It waits for one only if no other
// endpoint is left, until a time at most.
func (p *Placer) acquire(ctx context.Context, service string, request *admission.Request, choice *Choice, until time.Time) bool {
	wait := time.Duration(0)
	if !choice.AvailableAt.IsZero() {
		wait = until.Sub(p.clock())
	}
	permit, ok := p.limiter.Acquire(ctx, choice.instance(), p.rank(request), wait)
	if !ok {
		return false
	}
	choice.permit = permit
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begin(p.clock(), service, request, choice)
	return true
}

// rank orders requests that wait for a permit, as PriorityBounds does; 0 is the most urgent.
func (p *Placer) rank(request *admission.Request) uint8 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return uint8(min(p.bounds.rank(request), math.MaxUint8))
}

// choose picks an endpoint, or returns the reason why there is none. It counts the request there, unless that needs a permit
// first. MayAsk is set if there is time left to ask for one.
func (p *Placer) choose(service string, request *admission.Request, mayAsk bool) (Choice, admission.Reason) {
	now := p.clock()
	endpoints := p.directory.Serving(service)
	if len(endpoints) == 0 {
		return Choice{}, admission.ReasonNoEndpoint
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates, free, reason := p.candidates(now, request, endpoints, mayAsk)
	if reason != "" {
		return Choice{AvailableAt: free}, reason
	}
	if request.PromptTokens > 0 {
		p.decideSplit(now, service, endpoints)
	}
	choice, ok := p.view.Choose(now, service, request, endpoints, candidates, p.directory.Leaving(service))
	if !ok || !p.bounds.admitsChoice(request, &choice) {
		return choice, admission.ReasonNoRoom
	}
	choice.AvailableAt = free
	// A limit is the fleet's: what each host keeps to alone adds up to as many times of it as there are hosts.
	if choice.IsLimited = p.limiter.IsLimited(choice.instance()); !choice.IsLimited {
		p.begin(now, service, request, &choice)
	}
	return choice, ""
}

// candidates returns those of the endpoints that may be chosen, or the reason why there is none. Free is when the first may
// be if all others rest or have no permit left; a candidate is one to wait for then. The lock is held.
func (p *Placer) candidates(now time.Time, request *admission.Request, endpoints []*directory.Entry, mayAsk bool) (candidates []*directory.Entry, free time.Time, reason admission.Reason) {
	// An endpoint that wants no requests gets none, also where no other is left: it would only reject them.
	usable, rested := p.rests.Usable(endpoints)
	if len(usable) == 0 {
		return nil, rested, admission.ReasonResting
	}
	open, denied := p.limiter.Usable(usable, mayAsk)
	// An ejected endpoint is tried before a request is refused: it may be ejected for a moment's slowness.
	if len(open) == 0 {
		if !mayAsk || denied.Next.Sub(now) > waitFor(request) {
			return nil, denied.Next, admission.ReasonLimited
		}
		return []*directory.Entry{denied.Endpoint}, denied.Next, ""
	}
	candidates = p.view.candidates(now, request, open)
	if !p.bounds.isLeast(request) {
		candidates = p.view.admitting(&p.bounds, request, candidates)
	}
	return candidates, time.Time{}, ""
}

// begin counts a request at the endpoint that was chosen for it. The lock is held.
func (p *Placer) begin(now time.Time, service string, request *admission.Request, choice *Choice) {
	p.rests.RecordGrant(choice.Endpoint, choice.Version)
	p.view.loads.Begin(choice.Endpoint, choice.Tokens)
	if request.PromptTokens > 0 {
		p.view.engines.get(keys.OfService(service)).RecordArrival(now, engine.Arrival{
			Class: keys.OfClass(request.Class), Prompt: request.PromptTokens, Unread: choice.Tokens,
		})
	}
	if choice.Prefix != 0 {
		p.noteOwnHolder(now, Holder{Prefix: choice.Prefix, Endpoint: keys.OfEndpoint(choice.Endpoint)})
	}
}

// decideSplit decides how many endpoints of a service are kept for short prompts, if that is due. The
// lock is held.
func (p *Placer) decideSplit(now time.Time, service string, endpoints []*directory.Entry) {
	engines := p.view.engines.get(keys.OfService(service))
	fleet := engine.Fleet{
		Endpoints: len(endpoints), Slots: endpoints[0].Endpoint.MaxInFlight, Hosts: p.view.Hosts(), Targets: p.targets,
	}
	if engines.Refresh(now, &fleet) {
		p.logSplit(service, engines)
	}
}

// logSplit logs a split that has changed.
func (p *Placer) logSplit(service string, engines *engine.Service) {
	f := engines.Figures()
	p.log.WithFields(logrus.Fields{
		"service": service, "short": engines.ShortEndpoints(), "long_classes": engines.LongClasses(), "endpoints": len(p.directory.Serving(service)),
		"read_rate": f.ReadRate.Value, "event_ms": f.EventTime.Value, "event_read": f.EventRead.Value,
		"samples": f.ReadRate.Samples,
	}).Info("endpoints kept for short prompts")
}

// noteOwnHolder notes a prefix that an endpoint is sent, to be reported to peers if it is
// new. The lock is held.
func (p *Placer) noteOwnHolder(now time.Time, h Holder) {
	if p.view.holders.Record(now, h) {
		p.newHolders = append(p.newHolders, newHolder{holder: h, reports: holderReports})
	}
}

func (p *Placer) grant(request *admission.Request, choice *Choice, waited time.Duration, now time.Time) admission.Decision {
	var fetchFrom string
	if source, known := p.directory.Lookup(choice.FetchFrom); known {
		fetchFrom = source.Address
	}
	return admission.Decision{
		Kind: admission.Grant, ID: request.ID, Owner: request.Owner, Endpoint: choice.Endpoint, FetchFrom: fetchFrom,
		Reason: admission.ReasonPlaced, RetryAfter: rejectedRetryAfter(choice.RejectionShare), Until: now.Add(grantValidity), UnprocessedTokens: choice.Load.Tokens + choice.Tokens,
		Figures: admission.Figures{
			Waited: waited, InFlight: choice.Load.Requests, Ahead: choice.Load.Tokens, CachedTokens: choice.Cached, PredictedFirstToken: choice.PredictedFirstEvent,
		},
	}
}

func (p *Placer) refusal(request *admission.Request, reason admission.Reason, choice *Choice, waited time.Duration) admission.Decision {
	return admission.Decision{
		Kind: admission.Refuse, ID: request.ID, Reason: reason, RetryAfter: retryAfter(p.clock(), reason, choice, p.random()), Figures: admission.Figures{
			Waited: waited, InFlight: choice.Load.Requests, Ahead: choice.Load.Tokens, PredictedFirstToken: choice.PredictedFirstEvent,
		},
	}
}

// refused counts a request that found no room, or endpoints that rest.
func (p *Placer) refused(now time.Time, service string, request *admission.Request, reason admission.Reason) {
	if reason == admission.ReasonNoEndpoint {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.engines.get(keys.OfService(service)).RecordRefusal(now, engine.Arrival{
		Class: keys.OfClass(request.Class), Prompt: request.PromptTokens, Unread: request.PromptTokens,
	})
}

// HoldersToReport returns the holders for the next report to peers.
func (p *Placer) HoldersToReport() []Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	var holders []Holder
	left := p.newHolders[:0]
	for _, n := range p.newHolders {
		holders = append(holders, n.holder)
		if n.reports--; n.reports > 0 {
			left = append(left, n)
		}
	}
	p.newHolders = left
	return holders
}

// Snapshot returns a copy of the requests and unprocessed prompt tokens that this host has
// in flight at each endpoint, and the endpoints it has ejected with the end of each ejection.
func (p *Placer) Snapshot() (loads map[string]Load, ejected map[string]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.loads.Own(), p.view.ejections.Ejected(p.clock())
}

// EngineReports returns what this host has observed of engines, for peers.
func (p *Placer) EngineReports() EngineReports {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	observed := make(EngineReports, len(p.view.engines))
	for service, s := range p.view.engines {
		observed[service] = s.Report(now)
	}
	return observed
}

// SetPeerEngineReports replaces what a peer has observed of engines.
func (p *Placer) SetPeerEngineReports(peer string, observed EngineReports) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.engines.setPeer(peer, observed)
}

// SetPeer replaces the report of a peer.
func (p *Placer) SetPeer(peer string, report PeerReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.view.loads.SetPeer(now, peer, report.Loads)
	for _, h := range report.Holders {
		p.view.holders.Record(now, h)
	}
	for endpoint, until := range report.Ejected {
		if p.view.ejections.RecordPeerEjection(endpoint, until) {
			p.log.WithFields(logrus.Fields{"endpoint_key": endpoint, "from": peer, "until": until}).Info("endpoint ejected by a peer")
		}
	}
}

// Load returns the work of a service at all hosts lately.
func (p *Placer) Load(service string) engine.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.engines.get(keys.OfService(service)).Load(p.clock(), p.view.Hosts())
}

// DropPeer forgets the report of a peer that left.
func (p *Placer) DropPeer(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.loads.DropPeer(peer)
	p.view.engines.dropPeer(peer)
}

// Expire forgets what is too old to count. It is called about once a second.
func (p *Placer) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Expire(p.clock())
}

// RecordFailure counts a call that failed or stayed silent, which may eject the endpoint. Reached
// is set if the endpoint was reached and then broke the call.
func (p *Placer) RecordFailure(endpoint string, reached bool, cause error) {
	p.mu.Lock()
	ejection := p.view.ejections.Failed(p.clock(), endpoint, reached)
	p.mu.Unlock()
	if !ejection.IsNew {
		return
	}
	p.changed()
	p.log.WithError(cause).WithFields(logrus.Fields{
		"endpoint": endpoint, "until": ejection.Until, "reached": reached, "in_row": ejection.Consecutive,
	}).Warn("endpoint ejected")
}

// RecordSuccess counts a whole answer of an endpoint, which ends its ejection.
func (p *Placer) RecordSuccess(endpoint string) {
	p.mu.Lock()
	failed := p.view.ejections.Answered(endpoint)
	p.mu.Unlock()
	if failed {
		p.log.WithField("endpoint", endpoint).Info("endpoint answers again")
	}
}

// ResetEndpoint forgets what is believed of an endpoint that has started again under its ID: it holds nothing, and did not
// fail. The calls that it had break by themselves.
func (p *Placer) ResetEndpoint(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.holders.drop(keys.OfEndpoint(endpoint))
	p.view.ejections.drop(endpoint)
	p.view.rejections.Forget(keys.OfEndpoint(endpoint))
	p.view.failures.Forget(keys.OfEndpoint(endpoint))
}

// RecordStream observes a whole stream.
func (p *Placer) RecordStream(service string, stream engine.Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.engines.get(keys.OfService(service)).RecordStream(stream)
}

// UnprocessedTokens returns the prompt tokens that an endpoint has still to read for all hosts.
func (p *Placer) UnprocessedTokens(endpoint string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.loads.Total(endpoint).Tokens
}
