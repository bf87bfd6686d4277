package slots

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// maxWaiting bounds the requests that wait for a service, at some 300 B each.
	maxWaiting = 1024
	// callTimeHalfLife is the half-life of the weight of an observed call.
	callTimeHalfLife = 2 * time.Second
	// minGroupShare is the smallest share of the grants that a group is expected to get. The last group of the first rank
	// is served before the others while it has got less: enough calls that may not be repeated would shut it out.
	minGroupShare = 0.05
	// loadDeviations is the number of standard deviations by which the loads that hosts report have to exceed the leases
	// to count. They are up to a second old, several times as long as a call: without leases that end between them,
	// they are a sample of a count that varies by its square root. If they counted in full, slots would stay empty
	// whenever a sample is high.
	loadDeviations = 2.0
	// spareLeases is the number of leases of an endpoint beyond its slots. A lease is held some milliseconds longer than
	// the slot, on the ways between coordinator, host and endpoint, in which the slot would stay empty.
	spareLeases = 1
	// callTimeMargin is the time that a request needs to end, in multiples of the mean: calls vary, and one that is cut
	// off at its time limit has taken a slot in vain.
	callTimeMargin = 1.5
	// maxLeaseCalls is the time after which a lease ends without a release, in multiples of the mean time of a call, and
	// minLeaseTime the shortest such time. Releases may be lost, and time limits may be far longer than calls.
	maxLeaseCalls = 10
	minLeaseTime  = time.Second
	// refreshInterval is the time after which the endpoints of a service are read again.
	refreshInterval = 20 * time.Millisecond
	// rejectionPause is how long an endpoint that has rejected a request gets no further one: the load that fills it
	// comes from hosts that decide alone.
	rejectionPause = 100 * time.Millisecond
	// shortageEnd is how long no request may have waited until a shortage of slots is over.
	shortageEnd = 2 * time.Second
	// maxNamedWorkspaces is the number of workspaces that a shortage names.
	maxNamedWorkspaces = 3
)

// service is the state of a service that this host coordinates.
type service struct {
	name        string
	endpoints   []Endpoint
	refreshedAt time.Time
	// slots is the number of leases that all endpoints may have.
	slots int
	// leased is the number of leases of each endpoint, pausedUntil the end of the pause after a rejection.
	leased      map[keys.Endpoint]int
	pausedUntil map[keys.Endpoint]time.Time
	// waiting holds the waiting requests in order.
	waiting []*request
	flows   map[string]*flow
	// totalWeight is the sum of the weights of all flows, grants the grants within grantMemory.
	totalWeight float64
	grants      []grant
	grantsOf    map[group]int
	// virtual is the virtual time of fair queueing in each group: the start tag of the request granted last.
	virtual map[group]float64
	// callTime is the mean time that calls take.
	callTime meanTime
	returns  returns
	shortage Shortage
	// shortUntil is when the shortage ends unless a request waits; zero without a shortage.
	shortUntil time.Time
}

// meanTime is a mean whose terms lose half of their weight in callTimeHalfLife.
type meanTime struct {
	sum, count float64
	at         time.Time
}

func (m *meanTime) add(now time.Time, took time.Duration) {
	factor := math.Exp2(-float64(now.Sub(m.at)) / float64(callTimeHalfLife))
	m.sum, m.count, m.at = m.sum*factor+float64(took), m.count*factor+1, now
}

// value returns the mean, or 0 without observations.
func (m *meanTime) value() float64 {
	if m.count == 0 {
		return 0
	}
	return m.sum / m.count
}

// Shortage describes a service that has too few slots, from the first request that waits to the last.
type Shortage struct {
	Service string
	// IsOver is set at the end. Longest is the longest wait, Waited the number of requests that waited, and Workspaces
	// those whose requests waited most in total.
	IsOver     bool
	Longest    time.Duration
	Waited     int
	Workspaces []string
	waits      map[string]time.Duration
}

func newService(name string) *service {
	return &service{
		name: name, leased: make(map[keys.Endpoint]int), pausedUntil: make(map[keys.Endpoint]time.Time), flows: make(map[string]*flow),
		virtual: make(map[group]float64), grantsOf: make(map[group]int),
	}
}

// refresh reads the endpoints again if refreshInterval has passed.
func (s *service) refresh(now time.Time, read func(service string) []Endpoint) {
	if now.Sub(s.refreshedAt) < refreshInterval {
		return
	}
	s.endpoints, s.refreshedAt, s.slots = read(s.name), now, 0
	for i := range s.endpoints {
		s.slots += s.endpoints[i].Slots + spareLeases
	}
	maps.DeleteFunc(s.pausedUntil, func(_ keys.Endpoint, until time.Time) bool { return now.After(until) })
}

// taken returns the number of taken slots of an endpoint: its leases or, if there are clearly more, the open requests
// that hosts report, since hosts that decide alone have no leases.
func (s *service) taken(e *Endpoint) int {
	open := float64(e.Open)
	return max(s.leased[e.Key], int(open-loadDeviations*math.Sqrt(open)))
}

// pick returns the endpoint with the smallest taken share that has a free slot for a request, preferably in the zone
// of its host.
func (s *service) pick(now time.Time, r *request) (best *Endpoint) {
	var lowest float64
	for i := range s.endpoints {
		e := &s.endpoints[i]
		taken := s.taken(e)
		if taken >= e.Slots+spareLeases || now.Before(s.pausedUntil[e.Key]) || slices.Contains(r.avoid, e.Key) {
			continue
		}
		share := float64(taken) / float64(e.Slots)
		if best == nil || share < lowest || (share == lowest && e.Zone == r.zone && best.Zone != r.zone) {
			best, lowest = e, share
		}
	}
	return best
}

// canServe reports whether a request can use any of the endpoints.
func (s *service) canServe(r *request) bool {
	return slices.ContainsFunc(s.endpoints, func(e Endpoint) bool { return e.Slots > 0 && !slices.Contains(r.avoid, e.Key) })
}

// next returns the first request in order that can be granted, and its endpoint.
func (s *service) next(now time.Time) (*request, *Endpoint) {
	if !slices.ContainsFunc(s.endpoints, func(e Endpoint) bool { return s.taken(&e) < e.Slots+spareLeases }) {
		return nil, nil
	}
	from, to := s.lastGroup()
	// A workspace that is short goes before others of its rank, never before a more urgent rank.
	for _, r := range s.waiting[:to] {
		if !s.isShort(r.flow, 0) {
			continue
		}
		if e := s.pick(now, r); e != nil {
			return r, e
		}
	}
	if from < to && s.isGroupShort(s.waiting[from].group, 0) {
		if r, e := s.firstUsable(now, s.waiting[from:to]); r != nil {
			return r, e
		}
	}
	return s.firstUsable(now, s.waiting)
}

// firstUsable returns the first of several requests for which an endpoint has a free slot, and that endpoint.
func (s *service) firstUsable(now time.Time, requests []*request) (*request, *Endpoint) {
	for _, r := range requests {
		if e := s.pick(now, r); e != nil {
			return r, e
		}
	}
	return nil, nil
}

// lastGroup returns the part of the queue that holds the last group that waits in the first rank; to is the end of that
// rank.
func (s *service) lastGroup() (from, to int) {
	if len(s.waiting) == 0 {
		return 0, 0
	}
	to = s.beforeRank(int(s.waiting[0].rank) + 1)
	from, _ = slices.BinarySearchFunc(s.waiting, s.waiting[to-1].group, func(w *request, g group) int { return cmp.Compare(w.group, g) })
	return from, to
}

// wait returns the time until a number of waiting requests have been granted.
func (s *service) wait(number int) time.Duration {
	return time.Duration(float64(number) / float64(max(s.slots, 1)) * s.callTime.value())
}

// endTime returns the time that a granted request needs to end.
func (s *service) endTime() time.Duration { return time.Duration(callTimeMargin * s.callTime.value()) }

// expectedWait returns the time until a number of requests ahead of one have been granted, given the share of the recent
// grants that went to requests that go before its group: as many will arrive and go before it.
func (s *service) expectedWait(ahead int, g group) time.Duration {
	before := 0
	for other, number := range s.grantsOf {
		if other < g {
			before += number
		}
	}
	left := 1 - float64(before)/float64(max(len(s.grants), 1))
	return time.Duration(float64(s.wait(ahead)) / max(left, minGroupShare))
}

// place returns the index at which a request begins to wait.
func (s *service) place(r *request) int {
	at, _ := slices.BinarySearchFunc(s.waiting, r, compareOrder)
	return at
}

// freeAtOnce returns the endpoint of a new request that need not wait: no other waits, and a slot is free.
func (s *service) freeAtOnce(now time.Time, r *request) *Endpoint {
	if len(s.waiting) > 0 {
		return nil
	}
	return s.pick(now, r)
}

// beforeRank returns the number of waiting requests of more urgent ranks.
func (s *service) beforeRank(rank int) int {
	number, _ := slices.BinarySearchFunc(s.waiting, rank, func(w *request, rank int) int { return cmp.Compare(int(w.rank), rank) })
	return number
}

// admit decides on a new request: it begins to wait, or is refused at once because too many wait or because it would
// not end within its time limit. The limit does not count for one that gets a free slot at once: refused calls yield no
// times, so a high mean would stay and shut a service that has become faster.
func (s *service) admit(now time.Time, r *request, isFree bool) Result {
	f := r.flow
	if len(s.waiting) >= maxWaiting {
		return NoRoom
	}
	r.start = max(s.virtual[r.group], f.finish[r.group])
	at := s.place(r)
	s.waiting = slices.Insert(s.waiting, at, r)
	ahead, g := at, r.group
	if s.isShort(f, f.waiting) {
		ahead, g = s.beforeRank(int(r.rank)), groupOfShort(r.rank)
	} else if from, to := s.lastGroup(); from <= at && at < to && s.isGroupShort(r.group, to-from-1) {
		ahead, g = to-from-1, groupOfShort(r.rank)
	}
	expected := s.expectedWait(ahead, g)
	if !isFree && now.Add(expected+s.endTime()).After(r.limit) {
		s.waiting = slices.Delete(s.waiting, at, at+1)
		return TooLate
	}
	f.finish[r.group] = r.start + 1/f.weight
	f.waiting++
	s.sortFlow(at)
	return Queued
}

// sortFlow orders the waiting requests of one workspace in one group by the least time left, given the index of the
// newest: they exchange their start tags.
func (s *service) sortFlow(newest int) {
	isOfFlow := func(r *request) bool {
		return r.flow == s.waiting[newest].flow && r.group == s.waiting[newest].group
	}
	previous := newest - 1
	for previous >= 0 && !isOfFlow(s.waiting[previous]) {
		previous--
	}
	if previous < 0 || !s.waiting[newest].target.Before(s.waiting[previous].target) {
		return
	}
	var own []*request
	var starts []float64
	for _, r := range s.waiting {
		if isOfFlow(r) {
			own, starts = append(own, r), append(starts, r.start)
		}
	}
	slices.SortStableFunc(own, func(a, b *request) int { return a.target.Compare(b.target) })
	for i, r := range own {
		r.start = starts[i]
	}
	slices.SortFunc(s.waiting, compareOrder)
}

// leave removes a request from the queue. HasWaited is set if the end of its wait is a decision.
func (s *service) leave(now time.Time, r *request, hasWaited bool) {
	i := s.place(r)
	s.waiting = slices.Delete(s.waiting, i, i+1)
	r.flow.waiting--
	if !hasWaited || r.replyBy.IsZero() {
		return
	}
	waited := now.Sub(r.arrivedAt)
	s.shortage.Longest = max(s.shortage.Longest, waited)
	s.shortage.waits[r.workspace] += waited
}

// abandon removes a request that is not granted from the queue. Its workspace's next request takes its turn.
func (s *service) abandon(now time.Time, r *request, hasWaited bool) {
	s.leave(now, r, hasWaited)
	r.flow.finish[r.group] -= 1 / r.flow.weight
}

// firstLate returns a waiting request that would not begin within its time limit, or has too little time left to end.
func (s *service) firstLate(now time.Time) *request {
	for _, f := range s.flows {
		f.passed = 0
	}
	from, to := s.lastGroup()
	for i, r := range s.waiting {
		wait := s.wait(i)
		if s.isShort(r.flow, r.flow.passed) {
			r.flow.passed++
			wait = s.wait(s.beforeRank(int(r.rank)))
		} else if from <= i && i < to && s.isGroupShort(r.group, i-from) {
			wait = s.wait(i - from)
		}
		if left := r.limit.Sub(now); left < s.endTime() || left < wait {
			return r
		}
	}
	return nil
}

// bookReturn promises the caller of a refused request a time to return at: not before its turn would have come behind
// the requests that wait in its rank and in more urgent ones, and at a rate that leaves slots for others.
func (s *service) bookReturn(now time.Time, r *request) time.Duration {
	ahead, _ := slices.BinarySearchFunc(s.waiting, groupOf(r.rank, false, true), func(w *request, last group) int {
		return cmp.Compare(w.group, last+1)
	})
	interval := max(time.Duration(float64(s.wait(1))/returnShare), time.Millisecond)
	return s.returns.book(now, r.key, s.expectedWait(ahead, r.group), interval)
}

// hasEnded reports whether a lease has ended although no release has arrived.
func (s *service) hasEnded(now time.Time, r *request) bool {
	longest := max(time.Duration(maxLeaseCalls*s.callTime.value()), minLeaseTime)
	isTooLong := s.callTime.count > 0 && now.Sub(r.grantedAt) > longest
	return r.isLeased && (isTooLong || !now.Before(r.limit))
}

// recordShortage records that requests wait, and reports whether a shortage begins.
func (s *service) recordShortage(now time.Time) (begins bool) {
	begins = s.shortUntil.IsZero()
	if begins {
		s.shortage = Shortage{Service: s.name, waits: make(map[string]time.Duration)}
	}
	s.shortUntil = now.Add(shortageEnd)
	return begins
}

// endShortage returns the shortage if it is over.
func (s *service) endShortage(now time.Time) (Shortage, bool) {
	if s.shortUntil.IsZero() || now.Before(s.shortUntil) {
		return Shortage{}, false
	}
	s.shortUntil = time.Time{}
	over := s.shortage
	over.IsOver = true
	for workspace := range over.waits {
		over.Workspaces = append(over.Workspaces, workspace)
	}
	slices.SortFunc(over.Workspaces, func(a, b string) int {
		return cmp.Or(cmp.Compare(over.waits[b], over.waits[a]), cmp.Compare(a, b))
	})
	over.Workspaces = over.Workspaces[:min(len(over.Workspaces), maxNamedWorkspaces)]
	return over, true
}
