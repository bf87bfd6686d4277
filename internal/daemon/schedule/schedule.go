// Package schedule decides, for one shard, which request runs where and when,
// which waits and which is refused. A shard is the set of endpoints that serve
// the same model, or the same plain service.
//
// The package does no input or output. Each call takes the time as a
// parameter; decisions are collected and taken with Take. The same calls in the
// same order always give the same decisions.
package schedule

import (
	"slices"
	"time"
)

// Tiers is the number of service tiers. Tier 0 is the highest.
const Tiers = 4

// Request is what the scheduler knows of a request.
type Request struct {
	_ struct{} `cbor:",toarray"` // Its form between hosts has no field names.

	// ID is unique in the fleet. Owner is the host that accepted the request.
	ID    string
	Owner string
	// Workspace and Class name the limits, the lengths learned and the shares.
	Workspace string
	Class     string
	Tier      int
	// Urgency orders the classes inside a tier; 0 is the most urgent.
	Urgency int
	Arrived time.Time
	// FirstToken, BetweenTokens and WholeAnswer are targets; 0 means none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	WholeAnswer   time.Duration
	// RefuseLate says that an answer that misses the target is not wanted.
	RefuseLate bool
	// MaxWait bounds the time before the request is granted; 0 means no bound.
	MaxWait time.Duration
	// Repeatable allows the request to be preempted.
	Repeatable bool
	// Share is the fraction of the work that the class gets at least while it
	// waits.
	Share float64
	// Weight divides the capacity of a tier among workspaces; 0 means 1.
	Weight float64
	// MaxInFlight, MaxWaiting and TokensPerMinute are limits of the workspace
	// for the class; 0 means none.
	MaxInFlight     int
	MaxWaiting      int
	TokensPerMinute int
	// PromptTokens is an estimate. MaxTokens bounds the answer; 0 means
	// unknown.
	PromptTokens int
	MaxTokens    int
	// Prefix is the hash of each leading part of the prompt, the shortest
	// first, with the workspace as a part of each hash.
	Prefix []uint64
	// PrefixTokens is the tokens up to the end of each part in Prefix, if known.
	PrefixTokens []int
	// Zone is the owner's availability zone.
	Zone string
	// Avoid names endpoints that have failed the request.
	Avoid []string
	// Retry says that the request was granted before.
	Retry bool
}

// Endpoint is what the scheduler is told of an endpoint.
type Endpoint struct {
	ID   string
	Zone string
	// MaxInFlight bounds the requests at a time; 0 means that only the learned
	// limit counts.
	MaxInFlight int
	// CacheTokens is the engine's cache memory in tokens; 0 means unknown.
	CacheTokens int
	// Engine says that the endpoint generates tokens; the limit of a plain
	// service is not learned.
	Engine bool
}

// Kind is what a decision does.
type Kind uint8

// The kinds of decision.
const (
	// Grant: the request may run at Endpoint, if it is sent before Until.
	Grant Kind = iota
	// Refuse: the request is given up.
	Refuse
	// Preempt: the request is to be taken from its endpoint and submitted
	// again.
	Preempt
)

// String names the kind in explanations.
func (k Kind) String() string {
	return [...]string{"grant", "refuse", "preempt"}[k]
}

// Reason says why a decision was taken.
type Reason string

// The reasons for decisions.
const (
	// Grants.
	ReasonTier     Reason = "tier"
	ReasonShare    Reason = "share"
	ReasonGiveBack Reason = "share_given_back"
	// Refusals.
	ReasonNoRoom        Reason = "no_room"
	ReasonWorkspaceRoom Reason = "workspace_room"
	ReasonTooLate       Reason = "too_late"
	ReasonMaxWait       Reason = "max_wait"
	ReasonNoEndpoint    Reason = "no_endpoint"
	// Preemption.
	ReasonHigherTier Reason = "higher_tier"
)

// Figures are the numbers that a decision was taken on.
type Figures struct {
	// Waited is how long the request had waited.
	Waited time.Duration `json:",omitzero"`
	// WaitingAhead counts the waiting requests of the same and higher tiers.
	WaitingAhead int `json:",omitzero"`
	// WaitingBelow counts the waiting requests of lower tiers.
	WaitingBelow int `json:",omitzero"`
	// PredictedFirstToken is the time to the first token from now.
	PredictedFirstToken time.Duration `json:",omitzero"`
	// InFlight and Limit are those of the endpoint.
	InFlight int     `json:",omitzero"`
	Limit    float64 `json:",omitzero"`
	// CachedTokens is the part of the prompt expected in the endpoint's cache.
	CachedTokens int `json:",omitzero"`
	// AnswerTokens is the predicted length of the answer.
	AnswerTokens int `json:",omitzero"`
}

// Decision is one result of the scheduler.
type Decision struct {
	Kind     Kind
	ID       string
	Owner    string
	Endpoint string
	// FetchFrom is the address of another endpoint that should hold a shared part
	// of the prompt, or empty.
	FetchFrom string
	Reason    Reason
	// Until is when an unused grant becomes void.
	Until time.Time
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	Figures    Figures
}

// Usable reports whether a grant may still be used.
func (d *Decision) Usable(now time.Time) bool { return now.Before(d.Until) }

// Result is how a granted request ended.
type Result uint8

// The results.
const (
	// Answered: the whole answer came.
	Answered Result = iota
	// Unused: the grant was not used; nothing was sent.
	Unused
	// Failed: the endpoint could not be reached or broke off.
	Failed
	// Cancelled: the caller went away or the owner gave up.
	Cancelled
	// Preempted: the owner took the request back.
	Preempted
)

// Options switch single mechanisms off, to measure what each is worth, and set
// the constants of the policy.
type Options struct {
	// MaxWaiting bounds the waiting requests of the shard.
	MaxWaiting int
	// GrantTime is how long a grant may stay unused.
	GrantTime time.Duration
	// PrefillAhead bounds the prefill work queued at an engine.
	PrefillAhead time.Duration
	// ZoneCost is the time that a request to another zone is taken to lose.
	ZoneCost time.Duration

	NoShares     bool
	NoPreemption bool
	NoPrefix     bool
	NoEjection   bool
	NoFairness   bool
	NoLateLane   bool
	NoLengths    bool
	// FixedLimit replaces the learned limit of engines; 0 means learned.
	FixedLimit int
}

// The built-in options.
const (
	defaultMaxWaiting   = 4096
	defaultGrantTime    = 2 * time.Second
	defaultPrefillAhead = 250 * time.Millisecond
	defaultZoneCost     = time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.MaxWaiting == 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	if o.GrantTime == 0 {
		o.GrantTime = defaultGrantTime
	}
	if o.PrefillAhead == 0 {
		o.PrefillAhead = defaultPrefillAhead
	}
	if o.ZoneCost == 0 {
		o.ZoneCost = defaultZoneCost
	}
	return o
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
	decisions []Decision
	waiting   int
	sequence  uint64
	aside     []*item
	held      []*limit
	// configured says that the endpoints were set once. Until then requests
	// wait: their owners may have newer settings than this host.
	configured bool
	heldUntil  time.Time
	// Steps counts the elementary steps of all decisions, for benchmarks.
	Steps uint64
}

// New makes the scheduler of one shard.
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

// Take gives the decisions since the last Take. The slice is valid until the
// next call of any method.
func (s *Scheduler) Take() []Decision {
	taken := s.decisions
	s.decisions = s.decisions[:0]
	return taken
}

// Waiting counts the requests that wait.
func (s *Scheduler) Waiting() int { return s.waiting }

// WaitingIn counts the requests of a tier that wait.
func (s *Scheduler) WaitingIn(tier int) int { return s.tiers[tier].count }

// Running counts the open grants.
func (s *Scheduler) Running() int { return len(s.items) - s.waiting }

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

// Submit takes a new request, or one that comes back for a retry.
func (s *Scheduler) Submit(now time.Time, request Request) {
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

// Adopt takes a request that another scheduler granted and that goes on at an
// endpoint. It takes a place there even if none is free.
func (s *Scheduler) Adopt(now time.Time, request Request, endpointID string, tokens int) {
	if _, ok := s.items[request.ID]; ok {
		return
	}
	e, ok := s.endpoints.byID[endpointID]
	if !ok {
		return // Its endpoint is out or unknown here; nothing is to be booked.
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

// Withdraw takes back a request that waits or runs: its caller is gone.
func (s *Scheduler) Withdraw(now time.Time, id string) {
	it, ok := s.items[id]
	if !ok {
		return
	}
	if it.endpoint != nil {
		s.Finished(now, id, Cancelled, it.tokens)
		return
	}
	s.removeWaiting(it)
	delete(s.items, id)
}

// Started says that the owner has used a grant.
func (s *Scheduler) Started(now time.Time, id string) {
	it, ok := s.items[id]
	if !ok || it.endpoint == nil || it.started {
		return
	}
	it.started = true
	it.sentAt = now
	s.expiry.remove(it)
}

// FirstToken says that the first token of a request has come.
func (s *Scheduler) FirstToken(now time.Time, id string) {
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

// Progress says how many tokens of the answer have come so far.
func (s *Scheduler) Progress(now time.Time, id string, tokens int) {
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

// Finished says that a granted request has ended at its endpoint, and with how
// many tokens.
func (s *Scheduler) Finished(now time.Time, id string, result Result, tokens int) {
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
// Next tells when it is due.
func (s *Scheduler) Tick(now time.Time) {
	for s.expiry.Len() > 0 && !s.expiry.elements[0].due.After(now) {
		s.expire(now, s.expiry.elements[0])
	}
	s.refillLimits(now)
	s.endpoints.tick(now)
	s.dispatch(now)
}

// tickInterval is how often Tick runs at least while anything waits.
const tickInterval = 100 * time.Millisecond

// Next tells when Tick is due next. It is never in the past.
func (s *Scheduler) Next(now time.Time) time.Time {
	next := now.Add(tickInterval)
	if s.waiting == 0 {
		next = now.Add(10 * tickInterval)
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

// release ends an open grant and frees its place.
func (s *Scheduler) release(now time.Time, it *item, result Result) {
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
		s.release(now, it, Unused)
		return
	}
	s.Steps++
	reason := ReasonMaxWait
	if it.request.MaxWait == 0 || now.Sub(it.request.Arrived) < it.request.MaxWait {
		reason = ReasonTooLate
	}
	if s.giveBack(now, it) {
		return
	}
	s.removeWaiting(it)
	s.refuse(now, it, reason)
}

func (s *Scheduler) refuse(now time.Time, it *item, reason Reason) {
	delete(s.items, it.request.ID)
	r := &it.request
	s.decisions = append(s.decisions, Decision{
		Kind:       Refuse,
		ID:         r.ID,
		Owner:      r.Owner,
		Reason:     reason,
		RetryAfter: s.retryAfter(r.Tier),
		Figures: Figures{
			Waited:       now.Sub(r.Arrived),
			WaitingAhead: s.waitingAtOrAbove(r.Tier),
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
