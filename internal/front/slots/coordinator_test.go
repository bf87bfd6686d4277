package slots

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

var (
	start = time.Unix(1000, 0)
	hostA = envelope.Sender{Host: "a", Incarnation: 1}
	hostB = envelope.Sender{Host: "b", Incarnation: 2}
)

// callTime is the time of a call in virtual time.
const callTime = 60 * time.Millisecond

// queue is a Coordinator in virtual time.
type queue struct {
	*Coordinator
	now       time.Time
	endpoints []Endpoint
	// replies holds the replies to each request, shortages what has begun or ended.
	replies   map[uint64][]Reply
	shortages []Shortage
	granted   []uint64
}

// newQueue returns a coordinator of a service with one endpoint that has a number of slots.
func newQueue(slots int) *queue {
	q := &queue{now: start, endpoints: []Endpoint{{Key: 1, Zone: "a", Slots: slots}}, replies: make(map[uint64][]Reply)}
	q.Coordinator = NewCoordinator(func(string) []Endpoint { return q.endpoints })
	return q
}

func (q *queue) record(out Outgoing) {
	for _, r := range out.Replies {
		q.replies[r.Reply.Number] = append(q.replies[r.Reply.Number], r.Reply)
		if r.Reply.Result == Granted {
			q.granted = append(q.granted, r.Reply.Number)
		}
	}
	q.shortages = append(q.shortages, out.Shortages...)
}

// ask sends a request of host A with the defaults of the tests, and returns the first reply.
func (q *queue) ask(number uint64, change func(*Request)) Reply {
	r := &Request{Number: number, Service: "plain", Workspace: "w", Key: keys.Content(number), UntilTarget: 300 * time.Millisecond, UntilLimit: 800 * time.Millisecond}
	if change != nil {
		change(r)
	}
	q.record(q.Ask(q.now, hostA, r))
	return q.replies[number][0]
}

// release ends the lease of a request of host A as answered.
func (q *queue) release(number uint64) {
	q.record(q.Release(q.now, hostA, &Release{Number: number, Outcome: Answered, Taken: callTime}))
}

// advance lets time pass in ticks.
func (q *queue) advance(span time.Duration) {
	for end := q.now.Add(span); q.now.Before(end); {
		q.now = q.now.Add(min(tickInterval, end.Sub(q.now)))
		q.record(q.Due(q.now))
	}
}

// filler is the number of the first request that takes a slot in fill.
const filler = 1 << 32

// fill has the coordinator learn the time of a call, and takes all slots. Half of the calls may be repeated, so that
// neither kind is short of grants.
func (q *queue) fill() {
	for i := range 20 {
		q.ask(filler-1, func(r *Request) { r.IsRepeatable = i%2 == 0 })
		q.release(filler - 1)
	}
	for i := range q.endpoints[0].Slots + spareLeases {
		q.ask(uint64(filler+i), nil)
	}
	q.granted = nil
}

// serve ends the calls that run, one after the other, until a number of waiting requests have been granted.
func (q *queue) serve(number int) {
	for i := 0; len(q.granted) < number; i++ {
		if i <= spareLeases {
			q.release(uint64(filler + i))
		} else {
			q.release(q.granted[i-spareLeases-1])
		}
	}
}

// TestOrder has requests wait for one slot after the other, and checks the order in which they are granted.
func TestOrder(t *testing.T) {
	type change = func(*Request)
	repeatable := func(r *Request) { r.IsRepeatable, r.UntilLimit = true, time.Hour }
	of := func(workspace string, weight float32) change {
		return func(r *Request) { r.Workspace, r.Weight = workspace, weight }
	}
	target := func(span time.Duration) change { return func(r *Request) { r.UntilTarget = span } }
	rank := func(rank uint8) change { return func(r *Request) { r.Rank = rank } }
	tests := map[string]struct {
		asks []change
		want []uint64
	}{
		"arrival":                 {[]change{nil, nil, nil}, []uint64{0, 1, 2}},
		"rank goes before target": {[]change{rank(2), rank(0), rank(1)}, []uint64{1, 2, 0}},
		"rank goes before what may not be repeated": {
			[]change{rank(1), func(r *Request) { r.IsRepeatable = true }}, []uint64{1, 0},
		},
		"what may not be repeated goes before fairness": {
			[]change{repeatable, nil, nil, repeatable}, []uint64{1, 2, 0, 3},
		},
		"the least time left among equals": {
			[]change{of("x", 1), of("y", 1), func(r *Request) { r.Workspace, r.UntilTarget = "z", 100*time.Millisecond }},
			[]uint64{2, 0, 1},
		},
		"the least time left within a workspace": {
			[]change{target(200 * time.Millisecond), target(100 * time.Millisecond), target(150 * time.Millisecond)}, []uint64{1, 2, 0},
		},
		"workspaces take turns": {
			[]change{of("x", 1), of("x", 1), of("x", 1), of("y", 1), of("y", 1)}, []uint64{0, 3, 1, 4, 2},
		},
		"a workspace with twice the weight gets twice as much": {
			[]change{of("x", 2), of("x", 2), of("x", 2), of("x", 2), of("y", 1), of("y", 1)}, []uint64{0, 4, 1, 2, 5, 3},
		},
		"unused capacity goes to the others": {[]change{of("x", 1), of("x", 1), of("x", 1)}, []uint64{0, 1, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := newQueue(1)
			q.fill()
			for i, ask := range test.asks {
				qt.Assert(t, q.ask(uint64(i), ask).Result, qt.Equals, Queued)
			}
			q.serve(len(test.want))
			qt.Check(t, q.granted, qt.DeepEquals, test.want)
		})
	}
}

// TestShortWorkspaceGoesFirst has one workspace take all slots. Requests of another workspace go before others of their
// rank, also before those that may not be repeated, until that workspace has half of its equal share of the grants.
// Less urgent requests wait until no more urgent one does, also those of a workspace without any grant, which goes first
// among them.
func TestShortWorkspaceGoesFirst(t *testing.T) {
	c := qt.New(t)
	q := newQueue(1)
	q.fill()
	for number := range uint64(12) {
		q.ask(100+number, func(r *Request) { r.UntilLimit = time.Hour })
	}
	ask := func(number uint64, workspace string, rank uint8) {
		reply := q.ask(number, func(r *Request) {
			r.Workspace, r.Rank, r.IsRepeatable, r.UntilLimit = workspace, rank, true, time.Hour
		})
		c.Assert(reply.Result, qt.Equals, Queued)
	}
	ask(1, "w", 5)
	ask(2, "third", 5)
	for number := range uint64(6) {
		ask(10+number, "other", 0)
	}
	q.serve(20)
	// Half of the equal share of three workspaces is a sixth of the grants, the 22 before this load included.
	c.Check(q.granted[:8], qt.DeepEquals, []uint64{10, 11, 12, 13, 14, 100, 101, 102})
	c.Check(q.granted[18:], qt.DeepEquals, []uint64{2, 1})
}

// TestRepeatableCallsAreServed guards against calls that may be repeated but are never served: those that may not be
// repeated come at twice the rate that the service ends calls.
func TestRepeatableCallsAreServed(t *testing.T) {
	c := qt.New(t)
	q := newQueue(1)
	q.fill()
	const rounds = 400
	isRepeatable := func(number uint64) bool { return number%3 == 0 }
	for round := range uint64(rounds) {
		for number := 3 * round; number < 3*round+3; number++ {
			q.ask(number, func(r *Request) { r.IsRepeatable = isRepeatable(number) })
		}
		q.advance(callTime / (1 + spareLeases))
		q.serve(int(round) + 1)
	}
	repeatable := 0
	for _, number := range q.granted {
		if isRepeatable(number) {
			repeatable++
		}
	}
	c.Check(len(q.granted), qt.Equals, rounds)
	c.Check(repeatable >= rounds/25 && repeatable <= rounds/10, qt.IsTrue, qt.Commentf("%d of %d", repeatable, rounds))
}

// TestRequestsAreRefusedAtOnce checks that a request is refused on arrival if it could not end within its time limit,
// or if too many wait, and that a waiting one is refused once it can't end any more.
func TestRequestsAreRefusedAtOnce(t *testing.T) {
	limit := func(span time.Duration) func(*Request) { return func(r *Request) { r.UntilLimit = span } }
	tests := map[string]struct {
		waiting int
		ask     func(*Request)
		want    Result
	}{
		"enough time":                        {0, limit(100 * time.Millisecond), Queued},
		"too little time for a call":         {0, limit(80 * time.Millisecond), TooLate},
		"10 requests ahead of two leases":    {10, limit(400 * time.Millisecond), Queued},
		"time for fewer requests ahead":      {10, limit(380 * time.Millisecond), TooLate},
		"the requests ahead are less urgent": {10, func(r *Request) { r.Rank, r.UntilLimit = 0, 100*time.Millisecond }, Queued},
		"of a workspace short of grants":     {10, func(r *Request) { r.Workspace, r.UntilLimit = "other", 100*time.Millisecond }, Queued},
		"of a workspace short of grants, the requests ahead are more urgent": {
			10, func(r *Request) { r.Workspace, r.Rank, r.UntilLimit = "other", 1, 380*time.Millisecond }, TooLate,
		},
		"too many wait": {maxWaiting, func(r *Request) { r.UntilLimit = time.Hour }, NoRoom},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := newQueue(1)
			q.fill()
			isUrgent := name == "the requests ahead are less urgent"
			for number := range test.waiting {
				q.ask(uint64(10_000+number), func(r *Request) {
					r.UntilLimit = time.Hour
					if isUrgent {
						r.Rank = 1
					}
				})
			}
			reply := q.ask(1, test.ask)
			c.Check(reply.Result, qt.Equals, test.want)
			c.Check(reply.Waited, qt.Equals, time.Duration(0))
			if test.want != Queued {
				c.Check(reply.After >= minReturn, qt.IsTrue)
			}
		})
	}
	c := qt.New(t)
	q := newQueue(1)
	q.fill()
	q.ask(1, limit(200*time.Millisecond))
	q.ask(2, limit(700*time.Millisecond))
	q.advance(150 * time.Millisecond)
	last := q.replies[1][len(q.replies[1])-1]
	c.Check(last.Result, qt.Equals, TooLate)
	c.Check(last.Waited <= 120*time.Millisecond, qt.IsTrue, qt.Commentf("there is no time left for a call from 110 ms on, refused after %s", last.Waited))
	c.Check(q.Waiting(), qt.Equals, 1)
}

// TestFreeSlotIsGrantedAfterSlowCalls guards against a service that stays shut: after calls as long as the time limit,
// requests were refused although all slots were free, and no faster call could lower the mean.
func TestFreeSlotIsGrantedAfterSlowCalls(t *testing.T) {
	c := qt.New(t)
	q := newQueue(1)
	c.Assert(q.ask(1, nil).Result, qt.Equals, Granted)
	q.record(q.Release(q.now, hostA, &Release{Number: 1, Outcome: Answered, Taken: 750 * time.Millisecond}))
	for number := range uint64(1 + spareLeases) {
		c.Assert(q.ask(10+number, nil).Result, qt.Equals, Granted)
	}
	c.Check(q.ask(20, nil).Result, qt.Equals, TooLate, qt.Commentf("no slot is free"))
	q.now = q.now.Add(callTimeHalfLife)
	for number := range uint64(1 + spareLeases) {
		q.release(10 + number)
	}
	c.Check(q.ask(30, nil).Result, qt.Equals, Granted)
	c.Check(q.ask(31, nil).Result, qt.Equals, Granted)
	c.Check(q.ask(32, nil).Result, qt.Equals, Queued, qt.Commentf("the mean has followed the faster calls"))
}

// TestEndpointOfGrant checks which endpoint a request gets.
func TestEndpointOfGrant(t *testing.T) {
	three := []Endpoint{{Key: 1, Zone: "a", Slots: 4}, {Key: 2, Zone: "b", Slots: 4}, {Key: 3, Zone: "a", Slots: 8}}
	tests := map[string]struct {
		leases    map[keys.Endpoint]int
		open      int
		zone      string
		avoid     []keys.Endpoint
		want      keys.Endpoint
		wantReply Result
	}{
		"the smallest share of taken slots":    {map[keys.Endpoint]int{1: 2, 2: 2, 3: 3}, 0, "b", nil, 3, Granted},
		"ties go to the zone of the host":      {nil, 0, "b", nil, 2, Granted},
		"what failed the request is left out":  {map[keys.Endpoint]int{1: 3, 3: 8}, 0, "b", []keys.Endpoint{2}, 1, Granted},
		"nothing is left":                      {nil, 0, "b", []keys.Endpoint{1, 2, 3}, 0, Alone},
		"all endpoints left are full":          {map[keys.Endpoint]int{1: 5, 3: 9}, 0, "b", []keys.Endpoint{2}, 0, Queued},
		"load that may be old does not count":  {map[keys.Endpoint]int{1: 2, 3: 5}, 5, "b", []keys.Endpoint{3}, 2, Granted},
		"load of hosts that decide alone":      {map[keys.Endpoint]int{1: 2, 3: 5}, 14, "b", []keys.Endpoint{3}, 1, Granted},
		"load of hosts that decide alone, all": {map[keys.Endpoint]int{1: 5, 3: 9}, 14, "b", nil, 0, Queued},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := newQueue(1)
			q.endpoints = three
			number := uint64(100)
			for endpoint, leases := range test.leases {
				for range leases {
					number++
					q.ask(number, func(r *Request) {
						for _, e := range three {
							if e.Key != endpoint {
								r.Avoid = append(r.Avoid, e.Key)
							}
						}
					})
				}
			}
			q.endpoints = slices.Clone(three)
			q.endpoints[1].Open = test.open
			q.now = q.now.Add(refreshInterval)
			reply := q.ask(1, func(r *Request) { r.Zone, r.Avoid = test.zone, test.avoid })
			c.Check(reply.Result, qt.Equals, test.wantReply)
			c.Check(reply.Endpoint, qt.Equals, test.want)
		})
	}
}

// TestRejectingEndpointIsPaused checks that an endpoint that has rejected a request gets no further one at once: hosts
// that decide alone fill it.
func TestRejectingEndpointIsPaused(t *testing.T) {
	c := qt.New(t)
	q := newQueue(1)
	c.Assert(q.ask(1, nil).Result, qt.Equals, Granted)
	q.record(q.Release(q.now, hostA, &Release{Number: 1, Outcome: Rejected}))
	c.Check(q.ask(2, nil).Result, qt.Equals, Queued)
	q.advance(rejectionPause)
	c.Check(q.granted, qt.DeepEquals, []uint64{1, 2})
}

// TestLeasesEnd covers leases and waits that nobody releases: of a host that is lost, and of a release that is lost. The
// requests of other hosts must get the slots, and a late or repeated release must not free a slot twice.
func TestLeasesEnd(t *testing.T) {
	tests := map[string]struct {
		limit time.Duration
		end   func(q *queue)
	}{
		"the host is lost": {time.Hour, func(q *queue) { q.record(q.Expire(q.now, []envelope.Sender{hostB})) }},
		"the host has started again": {time.Hour, func(q *queue) {
			q.record(q.Expire(q.now, []envelope.Sender{hostB, {Host: "a", Incarnation: 3}}))
		}},
		"the release is lost, until the time limit":       {300 * time.Millisecond, func(q *queue) { q.advance(300 * time.Millisecond) }},
		"the release is lost, long before the time limit": {time.Hour, func(q *queue) { q.advance(minLeaseTime * 3 / 2) }},
		"the caller has left, the releases arrive":        {time.Hour, func(q *queue) { q.release(filler); q.release(filler); q.release(filler + 1) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := newQueue(1)
			q.fill()
			for _, r := range q.requests {
				r.limit = q.now.Add(test.limit)
			}
			ask := func(host envelope.Sender, number uint64) {
				q.record(q.Ask(q.now, host, &Request{Number: number, Service: "plain", Workspace: host.Host, UntilLimit: time.Hour}))
			}
			ask(hostA, 1)
			for number := range uint64(3) {
				ask(hostB, 10+number)
			}
			if name != "the host is lost" && name != "the host has started again" {
				q.record(q.Release(q.now, hostA, &Release{Number: 1, Outcome: Unused}))
			}
			c.Assert(q.granted, qt.HasLen, 0)
			test.end(q)
			c.Check(q.granted, qt.DeepEquals, []uint64{10, 11})
			c.Check(q.Waiting(), qt.Equals, 1)
		})
	}
}

// TestQueuedRequestsGetRepliesInTime checks that the coordinator sends a further reply before each announced time, so
// that hosts notice soon that it is gone.
func TestQueuedRequestsGetRepliesInTime(t *testing.T) {
	c := qt.New(t)
	q := newQueue(1)
	q.fill()
	q.ask(1, func(r *Request) { r.UntilLimit = 2 * time.Second })
	for ; q.now.Sub(start) < 800*time.Millisecond; q.advance(tickInterval) {
		last := q.replies[1][len(q.replies[1])-1]
		c.Assert(last.Result, qt.Equals, Queued)
		c.Assert(q.now.Sub(start) < last.Waited+last.After, qt.IsTrue)
	}
	c.Check(len(q.replies[1]) < 40, qt.IsTrue, qt.Commentf("%d replies", len(q.replies[1])))
}

// TestShortageIsReported checks what is logged of a shortage.
func TestShortageIsReported(t *testing.T) {
	c := qt.New(t)
	q := newQueue(1)
	q.fill()
	for number, workspace := range []string{"w1", "w2", "w2", "w3", "w4"} {
		q.ask(uint64(number), func(r *Request) { r.Workspace = workspace })
	}
	c.Assert(q.shortages, qt.HasLen, 1)
	q.advance(100 * time.Millisecond)
	q.serve(5)
	c.Assert(q.Waiting(), qt.Equals, 0)
	c.Check(q.IsActive(), qt.IsTrue)
	q.advance(shortageEnd)
	c.Assert(q.shortages, qt.HasLen, 2)
	over := q.shortages[1]
	c.Check(over.IsOver, qt.IsTrue)
	c.Check(over.Waited, qt.Equals, 5)
	c.Check(over.Workspaces, qt.HasLen, maxNamedWorkspaces)
	c.Check(over.Workspaces[0], qt.Equals, "w2")
	c.Check(over.Longest >= 100*time.Millisecond && over.Longest < 200*time.Millisecond, qt.IsTrue)
	c.Check(q.IsActive(), qt.IsFalse)
	q.now = q.now.Add(2 * serviceTimeout)
	q.Expire(q.now, []envelope.Sender{hostA})
	c.Check(q.services, qt.HasLen, 0)
}

// TestReturns covers callers that are refused and return: at the promised time they go before newcomers, earlier or much
// later they do not, and a promise holds once.
func TestReturns(t *testing.T) {
	tests := map[string]struct {
		// after is the time from the promised time to the return.
		after time.Duration
		again bool
		want  []uint64
	}{
		"at the promised time":             {0, false, []uint64{3, 2}},
		"a second later":                   {time.Second, false, []uint64{3, 2}},
		"too late":                         {returnGrace + time.Millisecond, false, []uint64{2, 3}},
		"early":                            {-time.Millisecond, false, []uint64{2, 3}},
		"at the promised time, but before": {0, true, []uint64{2, 3}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := newQueue(1)
			q.fill()
			refused := q.ask(1, func(r *Request) { r.UntilLimit = 50 * time.Millisecond })
			c.Assert(refused.Result, qt.Equals, TooLate)
			c.Check(refused.After, qt.Equals, minReturn)
			q.now = q.now.Add(refused.After + test.after)
			for _, r := range q.requests {
				r.grantedAt, r.limit = q.now, q.now.Add(time.Hour)
			}
			if test.again {
				q.ask(9, func(r *Request) { r.Key, r.UntilLimit = 1, 50*time.Millisecond })
			}
			q.ask(2, nil)
			q.ask(3, func(r *Request) { r.Key = 1 })
			q.serve(len(test.want))
			c.Check(q.granted, qt.DeepEquals, test.want)
		})
	}
}

// TestReturnsAreSpread refuses far more requests than the service can serve. The promised times must not come before
// the queue is served, nor at more than half of the rate at which the service ends calls.
func TestReturnsAreSpread(t *testing.T) {
	c := qt.New(t)
	const slots = 19
	q := newQueue(slots)
	q.fill()
	rate := float64(slots+spareLeases) / callTime.Seconds()
	number := uint64(0)
	for q.ask(number, nil).Result == Queued {
		number++
	}
	drained := time.Duration(float64(q.Waiting()) / rate * float64(time.Second))
	var promised []time.Duration
	for range 600 {
		number++
		if after := q.ask(number, nil).After; after < maxReturn {
			promised = append(promised, after)
		}
	}
	slices.Sort(promised)
	c.Check(promised[0] >= drained, qt.IsTrue, qt.Commentf("%s, %s", promised[0], drained))
	c.Check(len(promised) > int(returnShare*rate), qt.IsTrue, qt.Commentf("%d", len(promised)))
	for i, from := range promised {
		within, _ := slices.BinarySearch(promised[i:], from+time.Second)
		c.Assert(within <= int(returnShare*rate)+1, qt.IsTrue, qt.Commentf("%d returns in a second", within))
	}
	urgent := q.ask(number+1, func(r *Request) { r.UntilLimit = callTime })
	c.Check(urgent.After >= promised[0], qt.IsTrue)
}

// TestPromisesAreBounded refuses more requests than there may be promises.
func TestPromisesAreBounded(t *testing.T) {
	var b returns
	for key := range keys.Content(2 * maxReturns) {
		b.book(start, key, 0, time.Microsecond)
	}
	qt.Check(t, len(b) <= maxReturns, qt.IsTrue)
	b.expire(start.Add(maxReturn + returnGrace + time.Millisecond))
	qt.Check(t, b, qt.HasLen, 0)
}

// TestBusy checks when hosts ask the coordinator.
func TestBusy(t *testing.T) {
	c := qt.New(t)
	b := NewBusy()
	c.Check(b.IsBusy(start, "s", 8, 18, time.Time{}), qt.IsFalse)
	c.Check(b.IsBusy(start, "s", 9, 18, time.Time{}), qt.IsTrue)
	c.Check(b.IsBusy(start, "other", 0, 18, time.Time{}), qt.IsFalse)
	c.Check(b.IsBusy(start.Add(busyHold-1), "s", 0, 18, time.Time{}), qt.IsTrue)
	c.Check(b.IsBusy(start.Add(busyHold), "s", 0, 18, time.Time{}), qt.IsFalse)
	rejected := start.Add(time.Minute)
	c.Check(b.IsBusy(rejected.Add(busyHold-1), "s", 0, 18, rejected), qt.IsTrue)
	c.Check(b.IsBusy(rejected.Add(3*busyHold), "s", 0, 18, rejected), qt.IsFalse)
}

// TestGoldenMessages pins the encoded forms, which hosts of other versions read.
func TestGoldenMessages(t *testing.T) {
	golden.Message(t, "request", &Request{
		Number: 1, Service: "plain", Workspace: "w", Weight: 1.5, Rank: 2, IsRepeatable: true, Key: 1 << 60, Zone: "a",
		UntilTarget: -time.Millisecond, UntilLimit: time.Second, Avoid: []keys.Endpoint{7},
	})
	golden.Message(t, "reply", &Reply{Number: 1, Result: Queued, Endpoint: 7, Waited: time.Millisecond, After: time.Second})
	golden.Message(t, "release", &Release{Number: 1, Outcome: Unused, Taken: time.Second})
}
