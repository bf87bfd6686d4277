// Package schedule decides for one shard when and where each request runs, which requests wait and which are
// refused. A shard is the set of endpoints that serve the same model or the same plain service. It is used by
// oxbowslipd, which has one scheduler per shard for the whole fleet. In oxbowslip-front, which has no queue,
// each host decides by itself (package placement).
//
// A Scheduler owns the waiting requests and the open grants of the shard, and the estimates for endpoints and
// answer lengths. It does no I/O: each call takes the time as a parameter, and decisions are collected until
// TakeDecisions. The same calls in the same order always produce the same decisions. Replays rely on this.
package schedule

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// Tiers is the number of service tiers. Tier 0 is the highest.
const Tiers = 4

// Endpoint describes an endpoint to the scheduler.
type Endpoint struct {
	ID   string
	Zone string
	// MaxInFlight bounds the concurrent requests. With 0, only the learned limit applies.
	MaxInFlight int
	// CacheTokens is the engine's cache memory in tokens. 0 means unknown.
	CacheTokens int
	// Engine is set if the endpoint generates tokens. The limit of a plain service is not learned.
	Engine bool
}

// Scheduler holds the waiting requests and the open grants of one shard.
type Scheduler struct {
	options      Options
	endpoints    endpointSet
	tiers        [Tiers]tierQueue
	items        map[string]*item
	expiry       expiryHeap
	flows        map[flowKey]*flow
	limits       map[limitKey]*limit
	lengths      map[limitKey]*lengthEstimate
	shares       shareTable
	prefixes     *prefixTable
	pace         pace
	decisions    []admission.Decision
	waiting      int
	sequence     uint64
	skipped      []*item
	parkedLimits []*limit
	// configured is set once the endpoints have been set. Until then requests wait, because their owners may
	// have newer settings than this host.
	configured bool
	heldUntil  time.Time
	// Steps counts the elementary steps of all decisions. Tests and benchmarks use it.
	Steps uint64
}

// New returns the scheduler of one shard.
func New(options Options) *Scheduler {
	s := &Scheduler{
		options:  options.withDefaults(),
		items:    make(map[string]*item),
		flows:    make(map[flowKey]*flow),
		limits:   make(map[limitKey]*limit),
		lengths:  make(map[limitKey]*lengthEstimate),
		prefixes: newPrefixTable(),
	}
	s.endpoints = newEndpointSet(s.options)
	s.shares.classes = make(map[string]*shareAccount)
	s.initQueues()
	return s
}

// TakeDecisions returns the decisions since the last call. The slice is valid until the next call of any
// method.
func (s *Scheduler) TakeDecisions() []admission.Decision {
	taken := s.decisions
	s.decisions = s.decisions[:0]
	return taken
}

// NumWaiting returns the number of waiting requests.
func (s *Scheduler) NumWaiting() int { return s.waiting }

// NumRunning returns the number of open grants.
func (s *Scheduler) NumRunning() int { return len(s.items) - s.waiting }

// SetEndpoints replaces the endpoints of the shard. A removed endpoint gets no new grants, and its open
// grants continue.
func (s *Scheduler) SetEndpoints(now time.Time, endpoints []Endpoint) {
	s.configured = true
	s.endpoints.replace(now, endpoints)
	s.dispatch(now)
}

// SetMaxWaiting bounds the waiting requests of the shard. 0 means the default. Requests that are already
// waiting stay.
func (s *Scheduler) SetMaxWaiting(n int) {
	s.options.MaxWaiting = n
	s.options = s.options.withDefaults()
}

// Submit adds a new request or a retry.
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

// Adopt adds a request that another scheduler granted and that is still running at an endpoint. The request
// gets a slot there even if none is free.
func (s *Scheduler) Adopt(now time.Time, request admission.Request, endpointID string, tokens int) {
	if _, ok := s.items[request.ID]; ok {
		return
	}
	e, ok := s.endpoints.byID[endpointID]
	if !ok {
		return // The endpoint is out of service or unknown here, so there is no load to count.
	}
	request.Tier = min(max(request.Tier, 0), Tiers-1)
	it := s.newItem(request)
	it.predictedTokens = max(s.predictLength(&request), tokens)
	it.started, it.sentAt = true, now
	it.tokens = tokens
	if tokens > 0 {
		it.firstToken, it.measuredAt, it.measuredTokens = true, now, tokens
	}
	s.items[request.ID] = it
	s.limitOf(&request).reserve(it.predictedTokens)
	s.endpoints.assign(now, it, e)
}

// Hold stops the scheduler from granting and preempting, and from shedding except in the lowest tier, until a
// point in time. It is used after a takeover of the shard, while the running requests are not known yet.
func (s *Scheduler) Hold(until time.Time) { s.heldUntil = until }

// DropOwner removes all requests of a host that is gone. Its running requests have ended with its
// connections.
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

// Withdraw removes a waiting or running request whose caller is gone.
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

// RecordStart records that the owner has used a grant.
func (s *Scheduler) RecordStart(now time.Time, id string) {
	it, ok := s.items[id]
	if !ok || it.endpoint == nil || it.started {
		return
	}
	it.started = true
	it.sentAt = now
	s.expiry.remove(it)
}

// RecordFirstToken records that the first token of a request has arrived.
func (s *Scheduler) RecordFirstToken(now time.Time, id string) {
	it, ok := s.items[id]
	if !ok || it.endpoint == nil || it.firstToken {
		return
	}
	it.firstToken = true
	it.tokens = max(it.tokens, 1)
	it.measuredAt = now
	it.measuredTokens = it.tokens
	it.endpoint.recordFirstToken(now, it)
	s.dispatch(now)
}

// RecordProgress records the number of tokens of an answer that have arrived so far.
func (s *Scheduler) RecordProgress(now time.Time, id string, tokens int) {
	it, ok := s.items[id]
	if !ok || it.endpoint == nil || !it.firstToken || tokens <= it.measuredTokens {
		return
	}
	it.tokens = tokens
	e := it.endpoint
	e.recordProgress(now, it, tokens)
	s.endpoints.evaluateWindow(now, e)
	s.dispatch(now)
}

// RecordEnd records that a granted request has ended at its endpoint, and with how many tokens.
func (s *Scheduler) RecordEnd(now time.Time, id string, result admission.Result, tokens int) {
	it, ok := s.items[id]
	if !ok || it.endpoint == nil {
		return
	}
	it.tokens = max(it.tokens, tokens)
	s.recordLength(it, result)
	s.release(now, it, result)
	s.dispatch(now)
}

// Tick handles the passage of time: it voids unused grants, ends waits that are too long and refills limits.
// NextTick returns when it is due.
func (s *Scheduler) Tick(now time.Time) {
	for s.expiry.Len() > 0 && !s.expiry.elements[0].expiresAt.After(now) {
		s.expire(now, s.expiry.elements[0])
	}
	s.refillLimits(now)
	s.endpoints.tick(now)
	s.dispatch(now)
}

// tickInterval is the maximum time between two ticks while requests wait, and idleTickInterval while none wait. They are
// short compared with the ejections and waits of a second and more that a tick ends, and long enough for each tick to
// scan the endpoints.
const (
	tickInterval     = 100 * time.Millisecond
	idleTickInterval = time.Second
)

// NextTick returns when Tick is due next. The time is never in the past.
func (s *Scheduler) NextTick(now time.Time) time.Time {
	next := now.Add(tickInterval)
	if s.waiting == 0 {
		next = now.Add(idleTickInterval)
	}
	if s.expiry.Len() > 0 && s.expiry.elements[0].expiresAt.Before(next) {
		next = s.expiry.elements[0].expiresAt
	}
	if s.heldUntil.After(now) && s.heldUntil.Before(next) {
		next = s.heldUntil
	}
	// A retry may already have exceeded its maximum wait.
	return later(next, now)
}

// release ends an open grant and frees its slot.
func (s *Scheduler) release(now time.Time, it *item, result admission.Result) {
	s.expiry.remove(it)
	s.endpoints.unassign(now, it, result)
	s.releaseLimit(now, it)
	s.pace.recordCompletion(now)
	delete(s.items, it.request.ID)
}

// expire handles an item that has expired: an unused grant, or a request that has waited too long.
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
	if s.repaySlot(now, it) {
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
