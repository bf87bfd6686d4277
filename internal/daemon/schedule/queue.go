package schedule

import (
	"time"

	"github.com/tidwall/btree"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// item is a request in the scheduler, which is waiting in a flow or granted an endpoint.
type item struct {
	request  admission.Request
	sequence uint64

	// flow is set while the request waits.
	flow *flow
	// lateAt is when the target becomes unreachable. Zero means never.
	lateAt time.Time

	// expiresAt orders the expiry heap. It is when the request stops waiting, or when an unused grant becomes
	// void.
	expiresAt   time.Time
	expiryIndex int

	// endpoint and the fields below are set while the request is granted.
	endpoint        *endpoint
	endpointIndex   int
	predictedTokens int
	uncachedTokens  int
	started         bool
	sentAt          time.Time
	firstToken      bool
	preempting      bool
	// fromShare is set if the slot came from the class's guaranteed share.
	fromShare bool
	tokens    int
	// measuredAt and measuredTokens are the last measurement of progress.
	measuredAt     time.Time
	measuredTokens int
}

// workspaceQueue holds the flows of one workspace in one tier.
type workspaceQueue struct {
	name   string
	weight float64
	// attainedService is the work granted so far, divided by the weight.
	attainedService float64
	flows           []*flow
	count           int
	onTime          bool
	// deadline is the earliest time at which a request of the workspace becomes late.
	deadline time.Time
	index    int
}

// ready reports whether any flow has a request that no limit blocks.
func (w *workspaceQueue) ready() bool {
	for _, f := range w.flows {
		if f.len() > 0 && !f.parked {
			return true
		}
	}
	return false
}

// tierQueue holds the workspaces with waiting requests in one tier.
type tierQueue struct {
	workspaces map[string]*workspaceQueue
	order      []*workspaceQueue
	ready      indexedHeap[*workspaceQueue]
	count      int
	// virtualTime is the attained service that a workspace starts with when it begins to wait, so that it
	// gains nothing by being idle.
	virtualTime float64
}

func (t *tierQueue) init() {
	t.workspaces = make(map[string]*workspaceQueue)
	t.ready.index = func(w *workspaceQueue) *int { return &w.index }
	t.ready.less = func(a, b *workspaceQueue) bool {
		switch {
		case a.onTime != b.onTime:
			return a.onTime
		case a.attainedService != b.attainedService:
			return a.attainedService < b.attainedService
		case !a.deadline.Equal(b.deadline):
			return a.deadline.Before(b.deadline)
		}
		return a.name < b.name
	}
}

// workspace returns the queue of a workspace and creates it on first use.
func (t *tierQueue) workspace(name string) *workspaceQueue {
	w, ok := t.workspaces[name]
	if !ok {
		w = &workspaceQueue{name: name, weight: 1}
		t.workspaces[name] = w
		t.order = append(t.order, w)
	}
	return w
}

// update moves a workspace to its position among those that are ready, or removes it if it is not ready.
func (t *tierQueue) update(w *workspaceQueue) {
	if !w.ready() {
		t.ready.remove(w)
		return
	}
	if w.index == 0 {
		w.attainedService = max(w.attainedService, t.virtualTime)
	}
	t.ready.put(w)
}

type expiryHeap struct {
	indexedHeap[*item]
}

func (s *Scheduler) initQueues() {
	for t := range s.tiers {
		s.tiers[t].init()
	}
	s.expiry.index = func(it *item) *int { return &it.expiryIndex }
	s.expiry.less = func(a, b *item) bool {
		if !a.expiresAt.Equal(b.expiresAt) {
			return a.expiresAt.Before(b.expiresAt)
		}
		return a.sequence < b.sequence
	}
}

func (s *Scheduler) newItem(request admission.Request) *item {
	s.sequence++
	if request.Weight <= 0 {
		request.Weight = 1
	}
	return &item{request: request, sequence: s.sequence}
}

// enqueue adds an admitted request to its flow.
func (s *Scheduler) enqueue(now time.Time, it *item) {
	r := &it.request
	f := s.flowOf(r)
	it.flow = f
	it.lateAt = s.lateAt(r)
	f.insert(now, it)
	f.workspace.weight = r.Weight
	f.workspace.count++
	f.account.waiting++
	s.tiers[r.Tier].count++
	s.limitOf(r).waiting++
	s.waiting++
	s.items[r.ID] = it
	s.setWaitExpiry(it)
	s.refreshWorkspace(now, f)
}

// removeWaiting removes a request from its flow.
func (s *Scheduler) removeWaiting(it *item) {
	f := it.flow
	f.remove(it)
	f.workspace.count--
	f.account.waiting--
	s.tiers[f.key.tier].count--
	s.limitOf(&it.request).waiting--
	s.waiting--
	s.expiry.remove(it)
	it.flow = nil
	s.updateQueues(f)
}

// updateQueues updates the positions of a flow and its workspace after the flow's head or parking has
// changed.
func (s *Scheduler) updateQueues(f *flow) {
	s.tiers[f.key.tier].update(f.workspace)
	f.account.update(f)
}

// refreshWorkspace recomputes the position of a workspace after a change of one of its flows.
func (s *Scheduler) refreshWorkspace(now time.Time, f *flow) {
	w := f.workspace
	w.onTime, w.deadline = false, time.Time{}
	if best, onTime := w.pick(now); best != nil {
		w.onTime, w.deadline = onTime, best.deadline()
	}
	s.updateQueues(f)
}

// pick returns the workspace's next request and whether it is on time. Requests on time come before late
// ones, then the one with the earliest deadline comes first.
func (w *workspaceQueue) pick(now time.Time) (*item, bool) {
	var best *item
	bestOnTime := false
	for _, f := range w.flows {
		if f.len() == 0 || f.parked {
			continue
		}
		it, onTime := f.next(now)
		if best == nil || isMoreUrgent(it, onTime, best, bestOnTime) {
			best, bestOnTime = it, onTime
		}
	}
	return best, bestOnTime
}

func isMoreUrgent(a *item, aOnTime bool, b *item, bOnTime bool) bool {
	if aOnTime != bOnTime {
		return aOnTime
	}
	return a.deadline().Before(b.deadline())
}

// noTargetDeadline is the time after its arrival at which a request without a target should run. It only
// orders requests, behind all with a target of less than a minute.
const noTargetDeadline = time.Minute

// deadline returns the time by which a request should run.
func (it *item) deadline() time.Time {
	if it.lateAt.IsZero() {
		return it.request.Arrived.Add(noTargetDeadline)
	}
	return it.lateAt
}

// lateAt returns when the targets of a request become unreachable unless it has been granted: the target
// minus the minimum time that an engine needs.
func (s *Scheduler) lateAt(r *admission.Request) time.Time {
	if r.Retry {
		return time.Time{}
	}
	var at time.Time
	if r.FirstToken > 0 {
		at = r.Arrived.Add(r.FirstToken - s.endpoints.minFirstToken(r))
	}
	if r.WholeAnswer > 0 {
		work := s.endpoints.minFirstToken(r) + s.endpoints.minAnswerTime(s.predictLength(r))
		whole := r.Arrived.Add(r.WholeAnswer - work)
		if at.IsZero() || whole.Before(at) {
			at = whole
		}
	}
	return at
}

// setWaitExpiry schedules the end of the request's wait in the expiry heap.
func (s *Scheduler) setWaitExpiry(it *item) {
	r := &it.request
	it.expiresAt = time.Time{}
	if r.MaxWait > 0 {
		it.expiresAt = r.Arrived.Add(r.MaxWait)
	}
	if r.RefuseLate && !it.lateAt.IsZero() && (it.expiresAt.IsZero() || it.lateAt.Before(it.expiresAt)) {
		it.expiresAt = it.lateAt
	}
	if !it.expiresAt.IsZero() {
		s.expiry.put(it)
	}
}

func (s *Scheduler) flowOf(r *admission.Request) *flow {
	key := flowKey{r.Tier, r.Workspace, r.Class}
	if f, ok := s.flows[key]; ok {
		return f
	}
	w := s.tiers[r.Tier].workspace(r.Workspace)
	f := &flow{
		key:       key,
		workspace: w,
		account:   s.shares.account(r.Class),
		items:     btree.NewBTreeGOptions(byArrival, btree.Options{NoLocks: true}),
	}
	w.flows = append(w.flows, f)
	s.flows[key] = f
	return f
}
