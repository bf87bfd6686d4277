package ratelimit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/pushback"
)

var (
	limited = pushback.Instance{ID: "a", Version: "v1"}
	start   = time.Unix(1000, 0)
)

// seesAll is the part that is withheld by a host that sees the whole fleet.
func seesAll() float64 { return 0 }

// notice returns a limit as a peer sends it.
func notice(perSecond float64) pushback.LimitNotice {
	return pushback.LimitNotice{Endpoint: limited, Limit: pushback.Limit{IsSet: true, PerSecond: perSecond}}
}

// fleet simulates hosts that ask a lender, in virtual time.
type fleet struct {
	now    time.Time
	random *rand.Rand
	lender *Lender
	notice pushback.LimitNotice
	// deniedUntil is the time until which each host does not ask.
	deniedUntil []time.Time
	// successors lend to the hosts that take the lender for unresponsive. Hosts are spread evenly over the lender and
	// its successors.
	successors []*Lender
	events     events
	// arrivals are the times at which requests reached the endpoint.
	arrivals []time.Time
}

// event is an action at a point in virtual time.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// oneWay is the latency of a message.
const oneWay = time.Millisecond

func newFleet(hosts int, perSecond float64) *fleet {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(uint64(hosts), math.Float64bits(perSecond))), deniedUntil: make([]time.Time, hosts), notice: notice(perSecond)}
	f.replaceLender()
	return f
}

// replaceLender has another host lend from now on, with an empty bucket.
func (f *fleet) replaceLender() {
	clock := func() time.Time { return f.now }
	f.lender = NewLender(pushback.NewLimits(clock), clock, seesAll)
}

func (f *fleet) schedule(span time.Duration, do func()) {
	heap.Push(&f.events, event{f.now.Add(span), do})
}

// generateRequests has requests arrive at a mean rate until a point in time, each at the host that pick returns.
func (f *fleet) generateRequests(perSecond float64, until time.Time, pick func() int) {
	f.schedule(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if f.now.After(until) {
			return
		}
		f.request(pick())
		f.generateRequests(perSecond, until, pick)
	})
}

// request has a host ask for a permit, unless it was denied one and may not ask again yet.
func (f *fleet) request(host int) {
	if f.now.Before(f.deniedUntil[host]) {
		return
	}
	f.schedule(oneWay, func() {
		lender, passedOver := f.lender, host%(len(f.successors)+1)
		if passedOver > 0 {
			lender = f.successors[passedOver-1]
		}
		reply, isReplied := lender.Ask(fmt.Sprint("host-", host), &Ask{Limit: f.notice}, passedOver)
		if !isReplied {
			panic("a request without a wait was queued")
		}
		f.schedule(oneWay, func() {
			if reply.IsGranted {
				f.arrivals = append(f.arrivals, f.now)
				return
			}
			f.deniedUntil[host] = f.now.Add(reply.Next + time.Duration(f.random.Float64()*float64(reply.Spread)))
		})
	})
}

func (f *fleet) run() {
	for f.events.Len() > 0 {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
}

// maxArrivals returns the largest number of requests that arrived within any 4 s.
func (f *fleet) maxArrivals() int {
	maxCount, first := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) >= 4*time.Second {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

// TestEndpointRateStaysWithinLimit offers three times as many requests as an endpoint takes. In any 4 s the endpoint
// must get at most what its limit allows, plus 2, and over the whole run at least four fifths of it. This must hold
// for any fleet size, for traffic that moves from one host to another, and while the lender changes twice.
func TestEndpointRateStaysWithinLimit(t *testing.T) {
	traffic := map[string]func(f *fleet, hosts int) int{
		"evenly at all hosts": func(f *fleet, hosts int) int { return f.random.IntN(hosts) },
		"at one host after the other": func(f *fleet, hosts int) int {
			return int(f.now.Sub(start)/(7*time.Second)) % hosts
		},
	}
	for name, pick := range traffic {
		for _, hosts := range []int{1, 3, 8, 78, 300} {
			for _, perSecond := range []float64{0.1, 0.5, 1, 1.3, 10, 100, 500} {
				t.Run(fmt.Sprintf("%s/%d hosts/%v a second", name, hosts, perSecond), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					f := newFleet(hosts, perSecond)
					span := time.Duration(max(20, 60/perSecond) * float64(time.Second))
					f.generateRequests(3*perSecond, start.Add(span), func() int { return pick(f, hosts) })
					f.schedule(span/3, f.replaceLender)
					f.schedule(2*span/3, f.replaceLender)
					f.run()
					bound := int(4*perSecond) + 2
					c.Check(f.maxArrivals() <= bound, qt.IsTrue, qt.Commentf("%d requests in 4 s, want at most %d", f.maxArrivals(), bound))
					used := float64(len(f.arrivals)) / (perSecond * span.Seconds())
					c.Check(used >= 0.8, qt.IsTrue, qt.Commentf("%.2f of the limit was used", used))
				})
			}
		}
	}
}

// TestConcurrentLendersStayWithinBound has some hosts take the lender for unresponsive while it lends to the others,
// and some of those its successor as well. Together the lenders must stay within the documented bound: 1.5 times the
// limit, plus 5.
func TestConcurrentLendersStayWithinBound(t *testing.T) {
	for _, lenders := range []int{2, 3, 5} {
		for _, hosts := range []int{8, 78} {
			for _, perSecond := range []float64{0.1, 1, 2.5, 12, 100, 500} {
				t.Run(fmt.Sprintf("%d of %d hosts/%v a second", lenders, hosts, perSecond), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					f := newFleet(hosts, perSecond)
					clock := func() time.Time { return f.now }
					for range lenders - 1 {
						f.successors = append(f.successors, NewLender(pushback.NewLimits(clock), clock, seesAll))
					}
					f.generateRequests(5*perSecond, start.Add(time.Duration(max(20, 60/perSecond)*float64(time.Second))), func() int { return f.random.IntN(hosts) })
					f.run()
					bound := int(1.5*4*perSecond) + 5
					c.Check(f.maxArrivals() <= bound, qt.IsTrue, qt.Commentf("%d requests in 4 s, want at most %d", f.maxArrivals(), bound))
				})
			}
		}
	}
}

// TestQueuedAsksAreServedByRank checks that the most urgent request gets the next permit, that requests of the same
// rank are served in order of arrival, and that a request is denied before its wait ends.
func TestQueuedAsksAreServedByRank(t *testing.T) {
	c := qt.New(t)
	now := start
	clock := func() time.Time { return now }
	limits := pushback.NewLimits(clock)
	lender := NewLender(limits, clock, seesAll)
	ask := func(number uint64, rank uint8, wait time.Duration) (Reply, bool) {
		return lender.Ask("host", &Ask{Number: number, Limit: notice(2), Rank: rank, Wait: wait}, 0)
	}
	for number, rank := range []uint8{5, 3, 3, 9} {
		_, isReplied := ask(uint64(number), rank, 2*time.Second)
		c.Assert(isReplied, qt.IsFalse)
	}
	_, isReplied := ask(7, 0, 10*time.Millisecond)
	c.Assert(isReplied, qt.IsFalse)
	reply, isReplied := ask(8, 0, 0)
	c.Check(isReplied, qt.IsTrue)
	c.Check(reply.IsGranted, qt.IsFalse)
	c.Check(reply.Next > 2*time.Second && reply.Next < 4*time.Second, qt.IsTrue, qt.Commentf("%s", reply.Next))

	var granted, denied []uint64
	for {
		replies, next, isWaiting := lender.Due()
		for _, r := range replies {
			if r.Reply.IsGranted {
				c.Check(r.Reply.Waited, qt.Equals, now.Sub(start))
				granted = append(granted, r.Reply.Number)
			} else {
				denied = append(denied, r.Reply.Number)
			}
		}
		if !isWaiting {
			break
		}
		c.Assert(next.After(now), qt.IsTrue)
		now = next
	}
	c.Check(granted, qt.DeepEquals, []uint64{1, 2, 0})
	c.Check(denied, qt.DeepEquals, []uint64{7, 3})
	c.Check(now.Sub(start) <= 2*time.Second, qt.IsTrue)

	// Buckets are dropped once the limit has expired.
	now = now.Add(time.Hour)
	limits.Expire()
	lender.Expire()
	c.Check(lender.buckets, qt.HasLen, 0)
}

// TestSeparatedLendersStayWithinLimit has the hosts of two sides of a partition ask lenders of their own, which do not know of
// each other: together they lend what the limit allows.
func TestSeparatedLendersStayWithinLimit(t *testing.T) {
	const perSecond, length = 5, time.Minute
	tests := map[string][]float64{"two halves": {0.5, 0.5}, "a quarter": {0.25, 0.75}, "a minority that has given up": {1, 0}, "nobody is missing": {0}}
	for name, withheld := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			granted := 0
			for _, part := range withheld {
				now := start
				clock := func() time.Time { return now }
				lender := NewLender(pushback.NewLimits(clock), clock, func() float64 { return part })
				for ; now.Before(start.Add(length)); now = now.Add(10 * time.Millisecond) {
					if reply, _ := lender.Ask("host", &Ask{Limit: notice(perSecond)}, 0); reply.IsGranted {
						granted++
					}
				}
			}
			// One request a side finds out whether the limit still holds, once in ten seconds.
			allowed := perSecond*length.Seconds() + 2
			c.Check(float64(granted) <= allowed, qt.IsTrue, qt.Commentf("%d permits", granted))
			c.Check(float64(granted) >= 0.9*allowed, qt.IsTrue, qt.Commentf("%d permits", granted))
		})
	}
}

// TestZeroLimitAllowsOccasionalRequests checks that an endpoint with a limit of 0 still gets an occasional request,
// which finds out whether the limit holds.
func TestZeroLimitAllowsOccasionalRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 0)
	f.generateRequests(50, start.Add(time.Minute), func() int { return f.random.IntN(8) })
	f.run()
	c.Check(len(f.arrivals) >= 4 && len(f.arrivals) <= 6, qt.IsTrue, qt.Commentf("%d requests in a minute", len(f.arrivals)))
}
