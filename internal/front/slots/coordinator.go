package slots

import (
	"slices"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

const (
	// replyMargin is the time by which a reply may follow later than predicted before the next one is due, which only
	// names a later time.
	replyMargin = 50 * time.Millisecond
	// replyDivisor bounds the time until the next reply, as a divisor of the time left until the request's limit. A host
	// whose grant is lost or whose coordinator has died notices only then, and needs the rest to decide alone.
	replyDivisor = 3
	// tickInterval is the time between two calls of Due while requests wait.
	tickInterval = 10 * time.Millisecond
	// serviceTimeout is how long a service without requests is kept, longer than any of its promises and means count.
	serviceTimeout = 30 * time.Second
)

// Coordinator grants the slots of the services that this host coordinates. It does no I/O and takes the time as a
// parameter. It is safe for concurrent use.
type Coordinator struct {
	// endpoints returns the endpoints of a service that take new work.
	endpoints func(service string) []Endpoint

	mu       sync.Mutex
	services map[string]*service
	// requests holds all requests that wait or hold a lease.
	requests map[requestID]*request
	sequence uint64
	// outgoing are the replies and shortages since the last call that returned them.
	outgoing Outgoing
}

// Outgoing is what a Coordinator has decided.
type Outgoing struct {
	Replies []AddressedReply
	// Shortages are those that have begun or ended.
	Shortages []Shortage
}

// AddressedReply is a reply with its recipient.
type AddressedReply struct {
	Host  envelope.Sender
	Reply Reply
}

// NewCoordinator returns a coordinator without requests.
func NewCoordinator(endpoints func(service string) []Endpoint) *Coordinator {
	return &Coordinator{endpoints: endpoints, services: make(map[string]*service), requests: make(map[requestID]*request)}
}

// Ask handles a request of a host.
func (c *Coordinator) Ask(now time.Time, host envelope.Sender, q *Request) Outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[q.Service]
	if !ok {
		s = newService(q.Service)
		c.services[q.Service] = s
	}
	s.refresh(now, c.endpoints)
	c.sequence++
	r := &request{
		id: requestID{host, q.Number}, service: s, workspace: q.Workspace, rank: q.Rank, key: q.Key, zone: q.Zone, avoid: q.Avoid,
		sequence: c.sequence, arrivedAt: now, target: now.Add(q.UntilTarget), limit: now.Add(q.UntilLimit),
	}
	if _, isRepeated := c.requests[r.id]; isRepeated {
		return Outgoing{}
	}
	if !s.canServe(r) {
		c.reply(r, Reply{Result: Alone})
		return c.take()
	}
	s.forgetGrants(now)
	r.group = groupOf(q.Rank, s.returns.take(now, q.Key), q.IsRepeatable)
	r.flow = s.flowOf(now, q.Workspace, float64(q.Weight))
	free := s.freeAtOnce(now, r)
	if result := s.admit(now, r, free != nil); result != Queued {
		c.refuse(now, r, result)
		return c.take()
	}
	c.requests[r.id] = r
	if free != nil {
		c.grant(now, r, free)
		return c.take()
	}
	c.serve(now, s)
	return c.take()
}

// Release handles the end of a lease, or of the wait of a request whose caller has left.
func (c *Coordinator) Release(now time.Time, host envelope.Sender, release *Release) Outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.requests[requestID{host, release.Number}]
	if !ok {
		return Outgoing{}
	}
	s := r.service
	switch {
	case !r.isLeased:
	case release.Outcome == Answered:
		s.callTime.add(now, release.Taken)
	case release.Outcome == Rejected:
		s.pausedUntil[r.endpoint] = now.Add(rejectionPause)
	}
	c.drop(now, r)
	c.serve(now, s)
	return c.take()
}

// Due ends leases without a release, and returns the decisions that depend on the time. While IsActive, it is called
// every tickInterval.
func (c *Coordinator) Due(now time.Time) Outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.service.hasEnded(now, r) {
			// If calls have become slower, the mean has to follow although their leases end before them.
			r.service.callTime.add(now, now.Sub(r.grantedAt))
			c.drop(now, r)
		}
	}
	for _, s := range c.services {
		if len(s.waiting) > 0 {
			s.refresh(now, c.endpoints)
			c.serve(now, s)
		}
		if over, ok := s.endShortage(now); ok {
			c.outgoing.Shortages = append(c.outgoing.Shortages, over)
		}
	}
	return c.take()
}

// IsActive reports whether requests wait, or have waited within shortageEnd.
func (c *Coordinator) IsActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		if len(s.waiting) > 0 || !s.shortUntil.IsZero() {
			return true
		}
	}
	return false
}

// Waiting returns the number of waiting requests.
func (c *Coordinator) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := 0
	for _, s := range c.services {
		number += len(s.waiting)
	}
	return number
}

// Expire removes the requests of hosts that are no longer live, ended leases and services that nobody asks for. It is
// called about once a second.
func (c *Coordinator) Expire(now time.Time, live []envelope.Sender) Outgoing {
	c.mu.Lock()
	for _, r := range c.requests {
		if !slices.Contains(live, r.id.host) {
			c.drop(now, r)
		}
	}
	inUse := make(map[*service]bool)
	for _, r := range c.requests {
		inUse[r.service] = true
	}
	for name, s := range c.services {
		if !inUse[s] && s.shortUntil.IsZero() && now.Sub(s.refreshedAt) > serviceTimeout {
			delete(c.services, name)
		}
	}
	c.mu.Unlock()
	return c.Due(now)
}

// drop removes a request that waits or holds a lease.
func (c *Coordinator) drop(now time.Time, r *request) {
	delete(c.requests, r.id)
	if r.isLeased {
		if r.service.leased[r.endpoint]--; r.service.leased[r.endpoint] == 0 {
			delete(r.service.leased, r.endpoint)
		}
		return
	}
	r.service.abandon(now, r, false)
}

// serve refuses the waiting requests of a service that have become too late, grants free slots, and announces to the
// others until when they wait.
func (c *Coordinator) serve(now time.Time, s *service) {
	s.forgetGrants(now)
	for r := s.firstLate(now); r != nil; r = s.firstLate(now) {
		s.abandon(now, r, true)
		delete(c.requests, r.id)
		c.refuse(now, r, TooLate)
	}
	for r, e := s.next(now); r != nil; r, e = s.next(now) {
		c.grant(now, r, e)
	}
	if len(s.waiting) > 0 && s.recordShortage(now) {
		c.outgoing.Shortages = append(c.outgoing.Shortages, Shortage{Service: s.name})
	}
	for i, r := range s.waiting {
		if now.Add(2 * tickInterval).Before(r.replyBy) {
			continue
		}
		if r.replyBy.IsZero() {
			s.shortage.Waited++
		}
		r.replyBy = now.Add(min(s.expectedWait(i, r.group), r.limit.Sub(now)/replyDivisor) + replyMargin)
		c.reply(r, Reply{Result: Queued, Waited: now.Sub(r.arrivedAt), After: r.replyBy.Sub(now)})
	}
}

// grant grants a waiting request a slot of an endpoint.
func (c *Coordinator) grant(now time.Time, r *request, e *Endpoint) {
	r.service.leave(now, r, true)
	r.service.recordGrant(now, r)
	r.service.leased[e.Key]++
	r.endpoint, r.isLeased, r.grantedAt = e.Key, true, now
	c.reply(r, Reply{Result: Granted, Endpoint: e.Key, Waited: now.Sub(r.arrivedAt)})
}

// refuse refuses a request that does not wait.
func (c *Coordinator) refuse(now time.Time, r *request, result Result) {
	c.reply(r, Reply{Result: result, Waited: now.Sub(r.arrivedAt), After: r.service.bookReturn(now, r)})
}

// reply adds a reply to a request.
func (c *Coordinator) reply(r *request, reply Reply) {
	reply.Number = r.id.number
	c.outgoing.Replies = append(c.outgoing.Replies, AddressedReply{r.id.host, reply})
}

// take returns the replies and shortages that have not been returned yet.
func (c *Coordinator) take() Outgoing {
	taken := c.outgoing
	c.outgoing = Outgoing{}
	return taken
}
