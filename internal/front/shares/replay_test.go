package shares

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

const (
	numWorkspaces = 24
	// usualRate is the number of requests a second of one workspace in calm times, meanWork their mean work.
	usualRate = 290. / numWorkspaces
	meanWork  = 9200
	// Some workspaces send burstFactor times their usual load from burstFrom to burstUntil. The results are those from
	// measureFrom on.
	burstFactor = 7.5
	// shortDemand is the demand at a service that is short by a third of its capacity.
	shortDemand = 4. / 3
	burstFrom   = 3 * time.Second
	burstUntil  = 24 * time.Second
	measureFrom = 14 * time.Second
	step        = 10 * time.Millisecond
	// callerPatience is how long callers wait for an answer; they follow a Retry-After up to a third of it, once.
	callerPatience = 8 * time.Second
)

// tree returns settings with the service "llm", a class of the most urgent and one of the least urgent requests.
func tree() *settings.Tree {
	least := 2
	t := &settings.Tree{
		Root:       settings.Root{Classes: map[string]settings.Class{"urgent": {}, "least": {Values: settings.Values{Urgency: &least}}}},
		Workspaces: map[string]settings.Workspace{"big": {}},
	}
	for _, class := range []string{"urgent", "least"} {
		t.Routes = append(t.Routes, settings.HostRoute{Class: class, Targets: []settings.Target{{Service: "llm", Weight: 1}}})
	}
	return t
}

func newLedger() *Ledger {
	l := NewLedger()
	l.SetSettings(tree())
	return l
}

// newAsk returns a request of the least urgent class.
func newAsk(workspace string, unread int) *Ask {
	return &Ask{Service: "llm", Unread: unread, Request: &admission.Request{Workspace: workspace, Class: "least", Urgency: 2}}
}

// replay is a fleet of hosts in virtual time. Its service is a queue that refuses requests while its backlog is over two
// seconds, and has room for them in time while it is under half a second as of the last loads that hosts have received.
type replay struct {
	hosts int
	// demand is the work asked for while some workspaces burst, relative to the capacity.
	demand float64
	// bursting is the number of bursting workspaces, idle the number of those that send nothing.
	bursting, idle int
	// weights are the weights of the workspaces that have one.
	weights map[int]float64
	// outage is a time in which the service has half of its capacity.
	outage func(at time.Duration) bool
	// off switches the part off.
	off bool

	random   *rand.Rand
	capacity float64
	// backlog is the work that the service has yet to do, seen the same as far as hosts know.
	backlog, seen float64
	ledgers       []*Ledger
	// sendAt is when each host sends its next message, or 0.
	sendAt  []time.Duration
	inbox   []delivery
	returns []caller

	// asked and granted are the work of each workspace. Excess is what the bursting ones got beyond their shares since
	// the first refusal, in seconds of what they ask for, and peakExcess its maximum within five seconds.
	asked, granted     [numWorkspaces]float64
	excess, peakExcess float64
	firstRefusal       time.Duration
	// idleTime is the time in which the service had nothing to do.
	idleTime time.Duration
	// overShare is the number of requests refused for shares.
	overShare int
	// followed is the number of callers that followed a Retry-After, served those of them that got an endpoint.
	followed, served int
}

// delivery is a message that arrives in the next step.
type delivery struct {
	from, to int
	message  *Counts
}

// caller is a caller that comes back.
type caller struct {
	at        time.Duration
	workspace int
}

// rate returns the number of requests a second of a workspace.
func (r *replay) rate(workspace int, at time.Duration) float64 {
	switch {
	case workspace >= numWorkspaces-r.idle:
		return 0
	case workspace < r.bursting && at >= burstFrom && at < burstUntil:
		return burstFactor * usualRate
	}
	return usualRate
}

// share returns the fair share of a bursting workspace of weight 1, in work a second.
func (r *replay) share() float64 {
	var demands []demand
	for w := range numWorkspaces {
		demands = append(demands, demand{asked: r.rate(w, burstFrom) * meanWork, weight: max(r.weights[w], 1)})
	}
	return fairLevel(r.capacity, demands)
}

func (r *replay) run() *replay {
	r.random = rand.New(rand.NewPCG(1, uint64(r.hosts)))
	for range r.hosts {
		r.ledgers = append(r.ledgers, newLedger())
	}
	r.sendAt = make([]time.Duration, r.hosts)
	for w := range numWorkspaces {
		r.capacity += r.rate(w, burstFrom) * meanWork / r.demand
	}
	share := r.share() * float64(r.bursting)
	for at := time.Duration(0); at < burstUntil; at += step {
		for _, d := range r.inbox {
			r.ledgers[d.to].Add(start.Add(at), fmt.Sprint(d.from), d.message)
		}
		r.inbox = r.inbox[:0]
		if at%(400*time.Millisecond) == 0 {
			r.seen = r.backlog
		}
		r.arrive(at)
		speed := r.capacity
		if r.outage != nil && r.outage(at) {
			speed /= 2
		}
		r.backlog = max(r.backlog-speed*step.Seconds(), 0)
		if r.backlog == 0 && at >= measureFrom {
			r.idleTime += step
		}
		if r.firstRefusal > 0 {
			r.excess -= share * step.Seconds()
			if at < r.firstRefusal+5*time.Second {
				r.peakExcess = max(r.peakExcess, r.excess/(burstFactor*usualRate*meanWork*float64(r.bursting)))
			}
		}
		for h := range r.ledgers {
			if !r.off {
				r.send(at, h)
			}
		}
	}
	return r
}

// arrive has the callers of one step arrive, in random order.
func (r *replay) arrive(at time.Duration) {
	waiting := r.returns
	r.returns = nil
	for _, c := range waiting {
		if c.at > at {
			r.returns = append(r.returns, c)
		} else if r.followed++; r.request(at, c.workspace, false) {
			r.served++
		}
	}
	total := 0.0
	for w := range numWorkspaces {
		total += r.rate(w, at)
	}
	for left := 1 - r.random.ExpFloat64()/(total*step.Seconds()); left > 0; left -= r.random.ExpFloat64() / (total * step.Seconds()) {
		w, pick := 0, r.random.Float64()*total
		for ; pick > r.rate(w, at); w++ {
			pick -= r.rate(w, at)
		}
		r.request(at, w, true)
	}
}

// request has a random host handle a request, and reports whether it got an endpoint.
func (r *replay) request(at time.Duration, workspace int, mayReturn bool) bool {
	l, now := r.ledgers[r.random.IntN(r.hosts)], start.Add(at)
	ask := newAsk(fmt.Sprint(workspace), int(meanWork*(0.5+r.random.Float64())))
	ask.Request.Weight = r.weights[workspace]
	ask.HasRoom = func() bool { return r.seen < r.capacity/2 }
	if at >= measureFrom && mayReturn {
		r.asked[workspace] += ask.work()
	}
	if !r.off {
		if v := l.Decide(now, r.hosts, ask, r.random.Float64()); v.IsRefused {
			r.overShare++
			if mayReturn && v.RetryAfter <= callerPatience/3 {
				r.returns = append(r.returns, caller{at + v.RetryAfter, workspace})
			}
			return false
		}
	}
	if r.backlog > 2*r.capacity {
		l.RecordRefusal(now, ask, admission.ReasonNoRoom)
		if r.firstRefusal == 0 {
			r.firstRefusal = at
		}
		return false
	}
	r.backlog += ask.work()
	l.RecordGrant(now, ask)
	if at >= measureFrom {
		r.granted[workspace] += ask.work()
	}
	if workspace < r.bursting && r.firstRefusal > 0 {
		r.excess += ask.work()
	}
	return true
}

// send has a host send its counts as Exchange.Run does. One datagram in 40 is lost.
func (r *replay) send(at time.Duration, h int) {
	l, now := r.ledgers[h], start.Add(at)
	if wait, ok := l.HasReport(now, r.hosts); ok && r.sendAt[h] == 0 {
		r.sendAt[h] = at + time.Duration(r.random.Float64()*float64(wait))
	}
	if r.sendAt[h] == 0 || at < r.sendAt[h] {
		return
	}
	r.sendAt[h] = 0
	message := l.Report(now)
	if message == nil {
		return
	}
	r.sendAt[h] = at + interval(r.hosts)
	for to := range r.ledgers {
		if to != h && r.random.IntN(40) > 0 {
			r.inbox = append(r.inbox, delivery{h, to, message})
		}
	}
}

// idleShare returns the part of the time in which the service had nothing to do.
func (r *replay) idleShare() float64 {
	return r.idleTime.Seconds() / (burstUntil - measureFrom).Seconds()
}

// kept returns the part of the work asked for that workspaces got.
func (r *replay) kept(from, until int) float64 {
	var asked, granted float64
	for w := from; w < until; w++ {
		asked += r.asked[w]
		granted += r.granted[w]
	}
	return granted / asked
}

// TestBurstingWorkspaces guards against workspaces that cost the others their service: without the part, the others keep
// three quarters of what they ask for. With it they keep nine tenths, the service stays busy, and the bursting ones have
// what is left to them. What they get beyond it until their shares apply is bounded by one exchange of counts.
func TestBurstingWorkspaces(t *testing.T) {
	var followed, served atomic.Int64
	t.Run("fleets", func(t *testing.T) {
		for _, hosts := range []int{8, 78, 300} {
			for _, bursting := range []int{1, 2} {
				t.Run(fmt.Sprintf("%d hosts, %d bursting", hosts, bursting), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					r := (&replay{hosts: hosts, bursting: bursting, demand: shortDemand}).run()
					off := (&replay{hosts: hosts, bursting: bursting, demand: shortDemand, off: true}).run()
					others, offOthers := r.kept(bursting, numWorkspaces), off.kept(bursting, numWorkspaces)
					burst, fair := r.kept(0, bursting), r.share()/(burstFactor*usualRate*meanWork)
					t.Logf("others keep %.3f (off %.3f), the bursting ones %.3f of %.3f; %.2f s beyond the share, idle %.3f", others, offOthers, burst, fair, r.peakExcess, r.idleShare())
					c.Check(offOthers < 0.8, qt.IsTrue)
					c.Check(others >= 0.9, qt.IsTrue)
					c.Check(burst >= 0.8*fair && burst <= 1.25*fair, qt.IsTrue)
					c.Check(r.idleShare() <= 0.01, qt.IsTrue)
					// A service refuses too much some tenths of a second before its hosts notice it.
					c.Check(r.peakExcess <= interval(hosts).Seconds()+0.5, qt.IsTrue)
					followed.Add(int64(r.followed))
					served.Add(int64(r.served))
				})
			}
		}
	})
	// Callers that follow a Retry-After get more than a bursting workspace gets at its first try.
	qt.Check(t, 2*served.Load() >= followed.Load() && followed.Load() > 100, qt.IsTrue, qt.Commentf("%d of %d", served.Load(), followed.Load()))
}

// TestSharesFollowTheWork checks what the fair shares depend on.
func TestSharesFollowTheWork(t *testing.T) {
	tests := map[string]struct {
		replay replay
		check  func(c *qt.C, r *replay)
	}{
		"nobody is refused for shares while there is room": {
			replay{bursting: 1, demand: 0.9}, func(c *qt.C, r *replay) { c.Check(r.overShare, qt.Equals, 0) },
		},
		"nobody is refused for shares while a fiftieth is refused": {
			replay{bursting: 1, demand: 1.02}, func(c *qt.C, r *replay) { c.Check(r.overShare, qt.Equals, 0) },
		},
		"bursting workspaces get what idle ones leave": {
			replay{bursting: 1, demand: shortDemand, idle: numWorkspaces / 2}, func(c *qt.C, r *replay) {
				fair := r.share() / (burstFactor * usualRate * meanWork)
				c.Check(fair > 0.35 && r.kept(0, 1) >= 0.8*fair, qt.IsTrue, qt.Commentf("%v of %v", r.kept(0, 1), fair))
				c.Check(r.kept(1, numWorkspaces/2) > 0.9, qt.IsTrue, qt.Commentf("%v", r.kept(1, numWorkspaces/2)))
			},
		},
		"a workspace of three times the weight gets three times as much": {
			replay{bursting: 2, demand: shortDemand, weights: map[int]float64{0: 3}}, func(c *qt.C, r *replay) {
				ratio := r.granted[0] / r.granted[1]
				c.Check(ratio > 2.4 && ratio < 3.6, qt.IsTrue, qt.Commentf("%v", ratio))
			},
		},
		"capacity that was away is used again": {
			replay{bursting: 2, demand: shortDemand, outage: func(at time.Duration) bool {
				return at >= measureFrom && at < measureFrom+3*time.Second
			}}, func(c *qt.C, r *replay) { c.Check(r.idleShare() <= 0.01, qt.IsTrue, qt.Commentf("%v", r.idleShare())) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.replay.hosts = 8
			test.check(qt.New(t), test.replay.run())
		})
	}
}
