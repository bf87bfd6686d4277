// Package schedule decides, for one shard, which request runs where and when, which waits and which
// is refused. A shard is the set of endpoints that serve the same model, or the same plain service.
// oxbowslipd uses it, with one scheduler a shard for the whole fleet; oxbowslip-front has no queue and
// decides on each host (package placement).
//
// It owns the waiting requests and the open grants of the shard, and what it has learned of endpoints
// and of the lengths of answers. It does no input or output: each call takes the time as a parameter,
// and decisions are collected until Take. The same calls in the same order always give the same
// decisions, on which replays rely.
package schedule

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// Tiers is the number of service tiers. Tier 0 is the highest.
const Tiers = 4

// Endpoint is what the scheduler knows of an endpoint.
type Endpoint struct {
	ID   string
	Zone string
	// MaxInFlight bounds the requests at a time; 0 means that only the learned
	// limit counts.
	MaxInFlight int
	// CacheTokens is the engine's cache memory in tokens; 0 means unknown.
	CacheTokens int
	// Engine is set if the endpoint generates tokens; the limit of a plain
	// service is not learned.
	Engine bool
}

// Scheduler holds the waiting list and the open grants of one shard.
type Scheduler struct {
	options   Options
	endpoints endpointSet
	tiers     [Tiers]tierQueue
	items     map[string]*item
	expiry    expiryHeap
	flows     map[flowKey]*flow
	limits    map[limitKey]*limit
	lengths   map[limitKey]*length
	shares    shareBook
	prefixes  *prefixTable
	pace      pace
	decisions []admission.Decision
	waiting   int
	sequence  uint64
	aside     []*item
	held      []*limit
	// configured is set if the endpoints were set once. Until then requests
	// wait: their owners may have newer settings than this host.
	configured bool
	heldUntil  time.Time
	// Steps counts the elementary steps of all decisions, for benchmarks.
	Steps uint64
}

// New returns the scheduler of one shard.
func New(options Options) *Scheduler {
	s := &Scheduler{
		options:  options.withDefaults(),
		items:    make(map[string]*item),
		flows:    make(map[flowKey]*flow),
		limits:   make(map[limitKey]*limit),
		lengths:  make(map[limitKey]*length),
		prefixes: newPrefixTable(),
	}
	s.endpoints = newEndpointSet(s.options)
	s.shares.classes = make(map[string]*shareAccount)
	s.initQueues()
	return s
}

// TakeDecisions returns the decisions since the last Take. The slice is valid until the
// next call of any method.
func (s *Scheduler) TakeDecisions() []admission.Decision {
	taken := s.decisions
	s.decisions = s.decisions[:0]
	return taken
}

// NumWaiting counts the requests that wait.
func (s *Scheduler) NumWaiting() int { return s.waiting }

// NumRunning counts the open grants.
func (s *Scheduler) NumRunning() int { return len(s.items) - s.waiting }

// SetEndpoints replaces the endpoints of the shard. One that is gone gets no
// new grants; its open grants run out.
func (s *Scheduler) SetEndpoints(now time.Time, endpoints []Endpoint) {
	s.configured = true
	s.endpoints.set(now, endpoints)
	s.dispatch(now)
}

// SetMaxWaiting bounds the waiting requests of the shard; 0 means the built-in
// bound. Requests that wait already stay.
func (s *Scheduler) SetMaxWaiting(n int) {
	s.options.MaxWaiting = n
	s.options = s.options.withDefaults()
}

// Submit adds a new request, or one that comes back for a retry.
func (s *Scheduler) Submit(now time.Time, request admission.Request) {
	if _, ok := s.items[request.ID]; ok {
		return
	}
	request.Tier = min(max(request.Tier, 0), Tiers-1)
	it := s.newItem(request)
	if reason, ok := s.admit(now, it); !ok {
		s.refuse(now, it, reason)
		return
	}
	s.enqueue(now, it)
	s.dispatch(now)
}

// Adopt adds a request that another scheduler granted and that goes on at an
// endpoint. It gets a slot there even if none is free.
func (s *Scheduler) Adopt(now time.Time, request admission.Request, endpointID string, tokens int) {
	if _, ok := s.items[request.ID]; ok {
		return
	}
	e, ok := s.endpoints.byID[endpointID]
	if !ok {
		return // Its endpoint is out or unknown here; there is no load to count.
	}
	request.Tier = min(max(request.Tier, 0), Tiers-1)
	it := s.newItem(request)
	it.predicted = max(s.predictLength(&request), tokens)
	it.started, it.sentAt = true, now
	it.tokens = tokens
	if tokens > 0 {
		it.firstToken, it.measuredAt, it.measuredTokens = true, now, tokens
	}
	s.items[request.ID] = it
	s.limitOf(&request).use(it.predicted)
	s.endpoints.take(now, it, e)
}

// Hold keeps the scheduler from granting, preempting and, but for the lowest
// tier, shedding until a time: it has just taken the shard over and does not
// know yet what runs.
func (s *Scheduler) Hold(until time.Time) { s.heldUntil = until }

// DropOwner drops all requests of a host that is gone. What it had running has
// ended with its connections.
func (s *Scheduler) DropOwner(now time.Time, owner string) {
	var ids []string
	for id, it := range s.items {
		if it.request.Owner == owner {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.Withdraw(now, id)
	}
}

// Withdraw removes a request that waits or runs: its caller is gone.
func (s *Scheduler) Withdraw(now time.Time, id string) {
	it, ok := s.items[id]
	if !ok {
		return
	}
	if it.endpoint != nil {
		s.RecordEnd(now, id, admission.Cancelled, it.tokens)
		return
	}
	s.removeWaiting(it)
	delete(s.items, id)
}

// RecordStart reports that the owner has used a grant.
func (s *Scheduler) RecordStart(now time.Time, id string) {
	it, ok := s.items[id]
	if !ok || it.endpoint == nil || it.started {
		return
	}
	it.started = true
	it.sentAt = now
	s.expiry.remove(it)
}

// RecordFirstToken reports that the first token of a request has come.
func (s *Scheduler) RecordFirstToken(now time.Time, id string) {
	it, ok := s.items[id]
	if !ok || it.endpoint == nil || it.firstToken {
		return
	}
	it.firstToken = true
	it.tokens = max(it.tokens, 1)
	it.measuredAt = now
	it.measuredTokens = it.tokens
	it.endpoint.firstToken(now, it)
	s.dispatch(now)
}

// RecordProgress is how many tokens of the answer have come so far.
func (s *Scheduler) RecordProgress(now time.Time, id string, tokens int) {
	it, ok := s.items[id]
	if !ok || it.endpoint == nil || !it.firstToken || tokens <= it.measuredTokens {
		return
	}
	it.tokens = tokens
	e := it.endpoint
	e.progress(now, it, tokens)
	s.endpoints.judge(now, e)
	s.dispatch(now)
}

// RecordEnd reports that a granted request has ended at its endpoint, and with how
// many tokens.
func (s *Scheduler) RecordEnd(now time.Time, id string, result admission.Result, tokens int) {
	it, ok := s.items[id]
	if !ok || it.endpoint == nil {
		return
	}
	it.tokens = max(it.tokens, tokens)
	s.learnLength(it, result)
	s.release(now, it, result)
	s.dispatch(now)
}

// Tick lets time pass: grants become void, requests become late, limits refill.
// Next returns when it is due.
func (s *Scheduler) Tick(now time.Time) {
	for s.expiry.Len() > 0 && !s.expiry.elements[0].due.After(now) {
		s.expire(now, s.expiry.elements[0])
	}
	s.refillLimits(now)
	s.endpoints.tick(now)
	s.dispatch(now)
}

// tickInterval is how often Tick runs at least while anything waits, idleTickInterval while nothing does: short against
// the ejections and waits, of a second and more, that a tick ends, and rare enough for a scan of the endpoints.
const (
	tickInterval     = 100 * time.Millisecond
	idleTickInterval = time.Second
)

// NextTick returns when Tick is due next. It is never in the past.
func (s *Scheduler) NextTick(now time.Time) time.Time {
	next := now.Add(tickInterval)
	if s.waiting == 0 {
		next = now.Add(idleTickInterval)
	}
	if s.expiry.Len() > 0 && s.expiry.elements[0].due.Before(next) {
		next = s.expiry.elements[0].due
	}
	if s.heldUntil.After(now) && s.heldUntil.Before(next) {
		next = s.heldUntil
	}
	// A request that comes back may be past its longest wait already.
	return latest(next, now)
}

// release ends an open grant and frees its slot.
func (s *Scheduler) release(now time.Time, it *item, result admission.Result) {
	s.expiry.remove(it)
	s.endpoints.release(now, it, result)
	s.releaseLimit(now, it)
	s.pace.finished(now)
	delete(s.items, it.request.ID)
}

// expire handles what became due for an item: an unused grant, or a request
// that has waited too long.
func (s *Scheduler) expire(now time.Time, it *item) {
	if it.endpoint != nil {
		s.release(now, it, admission.Unused)
		return
	}
	s.Steps++
	reason := admission.ReasonMaxWait
	if it.request.MaxWait == 0 || now.Sub(it.request.Arrived) < it.request.MaxWait {
		reason = admission.ReasonTooLate
	}
	if s.giveBack(now, it) {
		return
	}
	s.removeWaiting(it)
	s.refuse(now, it, reason)
}

func (s *Scheduler) refuse(now time.Time, it *item, reason admission.Reason) {
	delete(s.items, it.request.ID)
	r := &it.request
	s.decisions = append(s.decisions, admission.Decision{
		Kind:       admission.Refuse,
		ID:         r.ID,
		Owner:      r.Owner,
		Reason:     reason,
		RetryAfter: s.retryAfter(r.Tier),
		Figures: admission.Figures{
			Waited:       now.Sub(r.Arrived),
			Ahead:        s.waitingAtOrAbove(r.Tier),
			WaitingBelow: s.waiting - s.waitingAtOrAbove(r.Tier),
		},
	})
}

func (s *Scheduler) waitingAtOrAbove(tier int) int {
	n := 0
	for t := 0; t <= tier; t++ {
		n += s.tiers[t].count
	}
	return n
}
