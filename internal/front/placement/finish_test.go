package placement

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// The replayed load: all hosts start, and for some seconds more long prompts arrive than the engines can read. Without
// the rule about one stream in eight runs until its time limit, as many as at the customer whose load this is.
const (
	burstHosts   = 70
	burstEngines = 90
	arrivalTime  = 16 * time.Second
	longTime     = 9 * time.Second
	// reportInterval is how often a host reports its loads to the others.
	reportInterval = 560 * time.Millisecond
	burstStride    = 7
)

// burstClass is a request class of the replay with the results of its requests.
type burstClass struct {
	// perSecond is the rate of the requests, burst its factor during the burst; prompt and events are medians.
	perSecond, burst, prompt, events float64
	limit, first, pause              time.Duration
	arrived, served, cut             int
}

// replay runs the hosts' placers against engines in virtual time.
type burstReplay struct {
	hosts   []*Placer
	classes []*burstClass
	mu      sync.Mutex
	random  *rand.Rand
	// readUntil holds the time at which each engine has read the prompts sent to it.
	readUntil map[string]time.Time
}

func (r *burstReplay) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// send queues a prompt at an engine, which reads 48 tokens a ms in order of arrival, and returns how long that takes.
func (r *burstReplay) send(engine string, tokens int) (wait time.Duration) {
	r.locked(func() {
		wait = max(time.Until(r.readUntil[engine]), 0) + time.Duration(tokens)*time.Millisecond/48
		r.readUntil[engine] = time.Now().Add(wait)
	})
	return wait
}

// gap returns how long the next event takes: 30 ms, and what is read in its steps.
func (r *burstReplay) gap(engine string) (gap time.Duration) {
	r.locked(func() { gap = 30*time.Millisecond + min(max(time.Until(r.readUntil[engine]), 0), 300*time.Millisecond) })
	return gap
}

// call sends a request, and again if it is refused and its caller has the time.
func (r *burstReplay) call(host *Placer, class *burstClass, request admission.Request, events int) {
	for attempt := range 2 {
		request.Arrived = time.Now()
		ticket, d, _ := host.Ask(context.Background(), "llm", request)
		if d.Kind == admission.Grant {
			r.stream(host, class, &request, ticket, d.Endpoint, events)
			return
		}
		if attempt > 0 || d.RetryAfter > time.Until(request.Deadline)/3 {
			return
		}
		time.Sleep(d.RetryAfter)
	}
}

// stream runs a request at an engine until its end or its time limit.
func (r *burstReplay) stream(host *Placer, class *burstClass, request *admission.Request, ticket owner.Ticket, engineID string, events int) {
	ticket.Started()
	time.Sleep(r.send(engineID, request.PromptTokens))
	ticket.FirstToken()
	seen := engine.Stream{Events: events, LengthHint: request.AnswerTokens}
	for range events {
		gap := r.gap(engineID)
		time.Sleep(gap)
		seen.Duration += gap
		if gap > seen.LongestPause {
			seen.LongestPause, seen.UnreadBeside = gap, host.UnprocessedTokens(engineID)
		}
		if time.Now().After(request.Deadline) {
			ticket.Finished(admission.Cancelled, 0)
			r.locked(func() { class.cut++ })
			return
		}
	}
	ticket.Finished(admission.Answered, 0)
	host.RecordStream("llm", seen)
	r.locked(func() { class.served++ })
}

// report sends a host's loads and figures to the others until the replay ends.
func (r *burstReplay) report(self int) {
	for end := time.Now().Add(arrivalTime); time.Now().Before(end); time.Sleep(reportInterval) {
		loads, _ := r.hosts[self].Snapshot()
		report := PeerReport{Loads: make(map[keys.Endpoint]Load)}
		for id, load := range loads {
			report.Loads[keys.OfEndpoint(id)] = load
		}
		engines := r.hosts[self].EngineReports()
		for i, peer := range r.hosts {
			if i != self {
				peer.SetPeer(fmt.Sprint(self), report)
				peer.SetPeerEngineReports(fmt.Sprint(self), engines)
			}
		}
	}
}

// arrive starts the requests of a class.
func (r *burstReplay) arrive(urgency int, class *burstClass, calls *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(1, uint64(urgency)))
	for begin := time.Now(); time.Since(begin) < arrivalTime; class.arrived++ {
		rate := class.perSecond
		if time.Since(begin) < longTime {
			rate *= class.burst
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		events := max(int(class.events*math.Exp(0.4*random.NormFloat64())), 1)
		deadline := time.Now().Add(class.limit)
		request := admission.Request{
			Class: fmt.Sprint(urgency), Urgency: urgency, Zone: "a", FirstToken: class.first, Deadline: deadline, CallerDeadline: deadline,
			PromptTokens: int(class.prompt * math.Exp(0.4*random.NormFloat64())),
			// Callers' estimates are right at the median and often far off.
			AnswerTokens: int(float64(events*burstStride) * math.Exp(0.7*random.NormFloat64())),
		}
		host := r.hosts[random.IntN(len(r.hosts))]
		calls.Go(func() { r.call(host, class, request, events) })
	}
}

// runBurst replays the load in virtual time and returns the results by urgency.
func runBurst(finish bool, eventTokens int) []*burstClass {
	r := &burstReplay{random: rand.New(rand.NewPCG(1, 1)), readUntil: make(map[string]time.Time), classes: []*burstClass{
		{perSecond: 100, burst: 1, prompt: 1460, events: 25, limit: 8 * time.Second, first: 500 * time.Millisecond, pause: 400 * time.Millisecond},
		{perSecond: 110, burst: 1, prompt: 9200, events: 7, limit: 5 * time.Second, first: 800 * time.Millisecond, pause: 600 * time.Millisecond},
		{perSecond: 84, burst: 2.43, prompt: 17_000, events: 17, limit: 8 * time.Second, first: 2 * time.Second, pause: 1500 * time.Millisecond},
	}}
	tree := &settings.Tree{
		Services: map[string]settings.Service{"llm": {Engine: &settings.EngineShape{EventTokens: eventTokens}}},
		Root:     settings.Root{Classes: make(map[string]settings.Class)},
	}
	for urgency, class := range r.classes {
		name := fmt.Sprint(urgency)
		tree.Root.Classes[name] = settings.Class{Values: settings.Values{Urgency: &urgency, FirstToken: &class.first, MaxPause: &class.pause}}
		tree.Routes = append(tree.Routes, settings.HostRoute{Name: name, Class: name})
	}
	var ids []string
	for n := range burstEngines {
		ids = append(ids, fmt.Sprint("e", n))
	}
	var calls sync.WaitGroup
	for range burstHosts {
		host := newPlacerOf(time.Now, finish, ids...)
		host.parts.Random = func() (f float64) { r.locked(func() { f = r.random.Float64() }); return f }
		host.view.random = host.parts.Random
		host.SetSettings(tree)
		r.hosts = append(r.hosts, host)
	}
	for n := range r.hosts {
		calls.Go(func() {
			time.Sleep(reportInterval * time.Duration(n) / burstHosts)
			r.report(n)
		})
	}
	for urgency, class := range r.classes {
		calls.Go(func() { r.arrive(urgency, class, &calls) })
	}
	calls.Wait()
	return r.classes
}

// TestBurstOfLongPrompts guards against engines that are filled with streams which run into their time limits, and
// against refusals that cost more answers than they save or favour a less urgent class.
func TestBurstOfLongPrompts(t *testing.T) {
	tests := map[string]struct {
		finish      bool
		eventTokens int
		// fewer is the least factor by which fewer streams are cut than without the rule. Some seconds pass until the
		// tokens of an event are learned.
		fewer       int
		classes     []*burstClass
		cut, served int
	}{
		"without the rule":           {},
		"tokens of an event named":   {finish: true, eventTokens: burstStride, fewer: 5},
		"tokens of an event learned": {finish: true, fewer: 4},
	}
	var mu sync.Mutex
	t.Run("replays", func(t *testing.T) {
		for name, test := range tests {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { test.classes = runBurst(test.finish, test.eventTokens) })
				for urgency, class := range test.classes {
					t.Logf("urgency %d: %d requests, %d served, %d cut", urgency, class.arrived, class.served, class.cut)
					test.cut, test.served = test.cut+class.cut, test.served+class.served
				}
				mu.Lock()
				defer mu.Unlock()
				tests[name] = test
			})
		}
	})
	c, before := qt.New(t), tests["without the rule"]
	for name, test := range tests {
		c.Check(test.fewer*test.cut <= before.cut, qt.IsTrue, qt.Commentf("%s: %d of %d", name, test.cut, before.cut))
		c.Check(test.served >= before.served, qt.IsTrue, qt.Commentf("%s: %d of %d", name, test.served, before.served))
		for urgency := range test.classes[1:] {
			more, less := test.classes[urgency], test.classes[urgency+1]
			// The most urgent class is never refused, so that some of its longest answers are cut.
			favoured := float64(less.served)/float64(less.arrived) - float64(more.served)/float64(more.arrived)
			c.Check(favoured <= 0.02, qt.IsTrue, qt.Commentf("%s: urgency %d, %f", name, urgency, favoured))
		}
	}
}

// finishView returns a view with the rule, for classes of urgency 0 to 2 and events of 7 tokens. An endpoint reads 32
// tokens a ms, and an event takes 45 ms while no endpoint reads and 420 ms while all do.
func finishView() *View {
	v := NewView()
	v.finish = newFinishRule()
	v.finish.setSettings(PriorityBounds{LeastUrgent: 2}, &settings.Tree{Services: map[string]settings.Service{"llm": {Engine: &settings.EngineShape{EventTokens: 7}}}})
	return v
}

// finishRequest returns a request with 8 s left whose prompt takes 100 ms to read.
func finishRequest(urgency, events int) *admission.Request {
	return &admission.Request{
		Class: fmt.Sprint(urgency), Urgency: urgency, Zone: "a", PromptTokens: 3200, AnswerTokens: 7 * events, FirstToken: 2 * time.Second,
		Arrived: start, Deadline: start.Add(8 * time.Second),
	}
}

type slowEndpoint struct {
	equalPace
	endpoint keys.Endpoint
}

func (s slowEndpoint) Slowness(endpoint keys.Endpoint) float64 {
	if endpoint == s.endpoint {
		return 2
	}
	return 1
}

func TestPredictedEnd(t *testing.T) {
	tests := map[string]struct {
		prepare func(v *View, r *admission.Request)
		want    time.Duration
	}{
		"an idle endpoint":                             {func(*View, *admission.Request) {}, 550 * time.Millisecond},
		"prompts ahead at one of two":                  {func(v *View, _ *admission.Request) { v.loads.Begin("e1", 32_000) }, 2475 * time.Millisecond},
		"prompts at both":                              {func(v *View, _ *admission.Request) { v.loads.Begin("e1", 3200); v.loads.Begin("e2", 1) }, 4400 * time.Millisecond},
		"an endpoint at half the speed":                {func(v *View, _ *admission.Request) { v.pace = slowEndpoint{endpoint: keys.OfEndpoint("e1")} }, 1100 * time.Millisecond},
		"another endpoint at half the speed":           {func(v *View, _ *admission.Request) { v.pace = slowEndpoint{endpoint: keys.OfEndpoint("e2")} }, 550 * time.Millisecond},
		"four events received by an earlier attempt":   {func(_ *View, r *admission.Request) { r.Received = 4 }, 370 * time.Millisecond},
		"more events received than expected":           {func(_ *View, r *admission.Request) { r.Received = 40 }, 100 * time.Millisecond},
		"no expected length":                           {func(_ *View, r *admission.Request) { r.AnswerTokens = 0 }, 100 * time.Millisecond},
		"a length that no endpoint could end in time":  {func(_ *View, r *admission.Request) { r.AnswerTokens = 1 << 30 }, 100 * time.Millisecond},
		"the same, little time left":                   {func(_ *View, r *admission.Request) { r.Arrived = start.Add(-7 * time.Second) }, 550 * time.Millisecond},
		"a prompt that no endpoint could read in time": {func(_ *View, r *admission.Request) { r.PromptTokens = 1 << 20 }, 0},
		"no time limit":                                {func(_ *View, r *admission.Request) { r.Deadline = time.Time{} }, 0},
		"no prompt":                                    {func(_ *View, r *admission.Request) { r.PromptTokens = 0 }, 0},
		"the rule is off":                              {func(v *View, _ *admission.Request) { v.finish = nil }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v, request, endpoints := finishView(), finishRequest(2, 10), entries("e1", "e2")
			test.prepare(v, request)
			got := v.evaluate(v.newQuery(start, request, &pool{service: "llm", endpoints: endpoints}, endpoints), endpoints[0])
			qt.Check(t, got.PredictedEnd.Round(5*time.Millisecond), qt.Equals, test.want)
			qt.Check(t, got.CanEnd, qt.IsTrue)
		})
	}
}

// TestRequestIsSentWhereItCanEnd has a cheaper endpoint at which the request can't end.
func TestRequestIsSentWhereItCanEnd(t *testing.T) {
	v, request, endpoints := finishView(), finishRequest(1, 10), entries("e1", "e2")
	v.loads.SetPeer(start, "peer", map[keys.Endpoint]Load{keys.OfEndpoint("e2"): {Requests: 20}})
	v.pace = slowEndpoint{endpoint: keys.OfEndpoint("e1")}
	request.Deadline = start.Add(time.Second)
	qt.Check(t, v.chooseCandidate(request, endpoints).Endpoint, qt.Equals, "e2")
	request.Deadline = start.Add(2 * time.Second)
	qt.Check(t, v.chooseCandidate(request, endpoints).Endpoint, qt.Equals, "e1")
}

// TestUnreliableEndpointIsNotPreferred guards against bursts that are drawn to e1 because it rejects or fails requests at
// once and so has no prompts ahead. At e2 the request can't end, but the cost of e2 is lower than that of an unreliable e1.
func TestUnreliableEndpointIsNotPreferred(t *testing.T) {
	tests := map[string]struct {
		// rejected and failed are the requests that e1 rejected and failed, out of 10 each.
		rejected, failed uint
		want             string
	}{
		"reliable":                       {0, 0, "e1"},
		"rejects nearly half":            {5, 0, "e1"},
		"rejects most":                   {9, 0, "e2"},
		"fails most":                     {0, 9, "e2"},
		"rejects some and fails as many": {4, 4, "e2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v, request, endpoints := finishView(), finishRequest(1, 0), entries("e1", "e2")
			request.Deadline = start.Add(time.Second)
			v.loads.Begin("e2", 30_000)
			v.setUnreliable("e1", test.rejected, test.failed)
			got := v.chooseCandidate(request, endpoints)
			qt.Check(t, got.Endpoint, qt.Equals, test.want, qt.Commentf("rejects %.2f, fails %.2f", got.RejectionShare, got.ExcessFailures))
		})
	}
}

// setUnreliable has an endpoint reject and fail a number out of 10 requests of class 1 each.
func (v *View) setUnreliable(endpoint string, rejected, failed uint) {
	key := keys.OfEndpoint(endpoint)
	v.rejections.Count(key, rejected, 10-rejected)
	v.failures.Count(pushback.EndpointClass{Endpoint: key, Class: keys.OfClass("1")}, failed, 10-failed)
}

// TestRetryAfterLeavesOutUnreliableEndpoints guards against callers that are told to return at once for the sake of an
// endpoint without prompts ahead that would reject or fail them again.
func TestRetryAfterLeavesOutUnreliableEndpoints(t *testing.T) {
	tests := map[string]struct {
		unreliable []string
		want       time.Duration
	}{
		"none": {nil, minLateRetry},
		"one":  {[]string{"e1"}, 500 * time.Millisecond},
		"all":  {[]string{"e1", "e2"}, minLateRetry},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v, request, endpoints := finishView(), finishRequest(1, 0), entries("e1", "e2")
			// The prompts ahead at e2 have been read down far enough after 400 ms.
			v.loads.Begin("e2", 8300*initialReadRate)
			for _, id := range test.unreliable {
				v.setUnreliable(id, 9, 0)
			}
			qt.Check(t, v.lateRetryAfter(start, request, &pool{service: "llm", endpoints: endpoints}, endpoints, 0), qt.Equals, test.want)
		})
	}
}

// TestRetryAfterCountsOwnPartition guards against callers that are told to return at once for the sake of endpoints without
// prompts ahead to which a long prompt is not sent: those kept for short prompts, and those without a free slot.
func TestRetryAfterCountsOwnPartition(t *testing.T) {
	tests := map[string]struct {
		// full is the number of endpoints for long prompts that have no free slot, and no prompts ahead.
		full int
		want time.Duration
	}{
		"all have a free slot": {0, 500 * time.Millisecond},
		"one has no free slot": {1, 500 * time.Millisecond},
		"none has a free slot": {9, minLateRetry},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			all := entries("e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9")
			v, number := splitView(c, all)
			v.finish = finishView().finish
			kept, loads, full := shortSetOf(all, number, nil), make(map[keys.Endpoint]Load), 0
			for _, e := range all {
				switch {
				case kept[e.ID]:
					loads[keys.OfEndpoint(e.ID)] = Load{Requests: 1}
				case full < test.full:
					full++
					loads[keys.OfEndpoint(e.ID)] = Load{Requests: endpointSlots}
				default:
					// Read down far enough after 400 ms.
					loads[keys.OfEndpoint(e.ID)] = Load{Requests: 1, Tokens: 8300 * initialReadRate}
				}
			}
			v.loads.SetPeer(start, "peer", loads)
			request := finishRequest(1, 0)
			request.Class = "long"
			c.Check(v.lateRetryAfter(start, request, &pool{service: "llm", endpoints: all}, all, 0), qt.Equals, test.want)
		})
	}
}

// TestLongPromptStaysOutOfShortSet has long prompts that can end in time at the endpoints for short prompts only. Sent
// there for that reason alone, they would make the streams of the most urgent class pause.
func TestLongPromptStaysOutOfShortSet(t *testing.T) {
	c := qt.New(t)
	all := entries("e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9")
	v, number := splitView(c, all)
	v.finish = newFinishRule()
	kept := shortSetOf(all, number, nil)
	loads := make(map[keys.Endpoint]Load)
	for _, e := range all {
		loads[keys.OfEndpoint(e.ID)] = Load{Requests: 10}
		if !kept[e.ID] {
			loads[keys.OfEndpoint(e.ID)] = Load{Requests: 10, Tokens: 40_000}
		}
	}
	v.loads.SetPeer(start, "peer", loads)
	for prefix := range uint64(50) {
		request := long(prefix * 977)
		request.FirstToken, request.Arrived, request.Deadline = 2*time.Second, start, start.Add(time.Second)
		c.Check(kept[v.chooseCandidate(request, all).Endpoint], qt.IsFalse)
	}
}

// TestIdleEndpointGetsRequest guards against refusals while endpoints are idle: of the endpoints for its prompt, the holder
// of its prefix has prompts ahead, and the gap of the whole service makes the end too late at the idle one as well.
func TestIdleEndpointGetsRequest(t *testing.T) {
	tests := map[string]struct {
		load  Load
		retry bool
		want  admission.Reason
	}{
		"idle":              {Load{}, false, ""},
		"idle, for a retry": {Load{}, true, admission.ReasonTooLate},
		"an open request":   {Load{Requests: 1}, false, admission.ReasonTooLate},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPlacerOf(func() time.Time { return start }, true, "e1", "e2")
			p.view.finish = finishView().finish
			p.view.loads.SetPeer(start, "peer", map[keys.Endpoint]Load{
				keys.OfEndpoint("e1"): test.load, keys.OfEndpoint("e2"): {Requests: 1, Tokens: 3200},
			})
			request := finishRequest(1, 10)
			request.Deadline, request.Retry = start.Add(time.Second), test.retry
			request.Prefix, request.PrefixTokens = []uint64{1, 2}, []int{2500, 3200}
			p.view.holders.Record(start, Holder{Prefix: 1, Endpoint: keys.OfEndpoint("e2")})
			choice, reason := p.choose("llm", request, false)
			c.Check(reason, qt.Equals, test.want)
			c.Check(choice.PredictedEnd > time.Second, qt.IsTrue)
			if test.want == "" {
				c.Check(choice.Endpoint, qt.Equals, "e1")
			}
		})
	}
}

// TestLateRequestIsRefusedByClass predicts the end of a request after 1.1 s and varies its time left and class.
func TestLateRequestIsRefusedByClass(t *testing.T) {
	tests := map[string]struct {
		urgency int
		left    time.Duration
		// refused is the urgency of a class that this host refused some time ago, -1 for none.
		refused int
		ago     time.Duration
		want    admission.Reason
	}{
		"most urgent, too late":                   {0, time.Second, -1, 0, ""},
		"urgent, in time":                         {1, 1200 * time.Millisecond, -1, 0, ""},
		"urgent, too late":                        {1, time.Second, -1, 0, admission.ReasonTooLate},
		"least urgent, in 0.8 of its time":        {2, 1400 * time.Millisecond, -1, 0, ""},
		"least urgent, not in 0.8 of its time":    {2, 1200 * time.Millisecond, -1, 0, admission.ReasonTooLate},
		"a more urgent class was refused":         {2, 8 * time.Second, 1, 800 * time.Millisecond, admission.ReasonTooLate},
		"a more urgent class was refused earlier": {2, 8 * time.Second, 1, time.Second, ""},
		"a less urgent class was refused":         {1, 8 * time.Second, 2, 0, ""},
		"the most urgent class is never held up":  {0, 8 * time.Second, 0, 0, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := newPlacerOf(time.Now, true, "e1")
				p.view.finish = finishView().finish
				p.view.pace = slowEndpoint{endpoint: keys.OfEndpoint("e1")}
				// An idle endpoint is not judged by the prediction.
				p.view.loads.Begin("e1", 0)
				if test.refused >= 0 {
					p.recordRefusal(time.Now().Add(-test.ago), "llm", finishRequest(test.refused, 10), admission.ReasonTooLate, &Choice{})
				}
				request := finishRequest(test.urgency, 10)
				request.Arrived, request.Deadline, request.FirstToken = time.Now(), time.Now().Add(test.left), 500*time.Millisecond
				_, d, err := p.Ask(context.Background(), "llm", *request)
				c.Assert(err, qt.IsNil)
				c.Check(d.Figures.PredictedEnd.Round(5*time.Millisecond), qt.Equals, 1100*time.Millisecond)
				if test.want == "" {
					c.Check(d.Kind, qt.Equals, admission.Grant)
					return
				}
				c.Check(d.Reason, qt.Equals, test.want)
				// A request that is held up for longer than it may wait is refused at once.
				c.Check(d.Figures.Waited == 0, qt.Equals, test.refused >= 0, qt.Commentf("%s", d.Figures.Waited))
				c.Check(d.RetryAfter >= minLateRetry && d.RetryAfter <= maxLateRetry, qt.IsTrue, qt.Commentf("%s", d.RetryAfter))
			})
		})
	}
}

// TestContinuedStreamIsNotRefused guards against answers that are cut because their rest is predicted to end too late, or
// for a more urgent class. Of a stream that its caller takes up, the host does not know how much was received.
func TestContinuedStreamIsNotRefused(t *testing.T) {
	tests := map[string]struct {
		tokens, received int
		takenUp, refused bool
		want             admission.Reason
	}{
		"too late":                                 {200_000, 0, false, false, admission.ReasonTooLate},
		"continued, too late":                      {200_000, 1, false, false, ""},
		"taken up, too late":                       {200_000, 0, true, false, ""},
		"a more urgent class was refused":          {0, 0, false, true, admission.ReasonTooLate},
		"continued, more urgent class was refused": {0, 1, false, true, ""},
		"taken up, more urgent class was refused":  {0, 0, true, true, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacerOf(func() time.Time { return start }, true, "e1")
			p.view.loads.Begin("e1", test.tokens)
			if test.refused {
				p.recordRefusal(start, "llm", finishRequest(1, 10), admission.ReasonTooLate, &Choice{})
			}
			request := finishRequest(2, 10)
			request.Received, request.Retry, request.HasBegun = test.received, test.received > 0, test.received > 0 || test.takenUp
			_, reason := p.choose("llm", request, false)
			qt.Check(t, reason, qt.Equals, test.want)
		})
	}
}

// TestRefusalHoldsUpLessUrgentClasses guards against less urgent classes that are refused for refusals which show no lack
// of capacity: of retries, and of requests that were themselves held up for a more urgent class.
func TestRefusalHoldsUpLessUrgentClasses(t *testing.T) {
	tests := map[string]struct {
		retry bool
		left  time.Duration
		// earlier is how long ago a request of a still more urgent class was refused.
		earlier time.Duration
		want    admission.Kind
	}{
		"a request that can't end in time":          {false, time.Second, time.Second, admission.Refuse},
		"the same, and held up":                     {false, time.Second, 900 * time.Millisecond, admission.Refuse},
		"a retry that can't end in time":            {true, time.Second, time.Second, admission.Grant},
		"a request that was only held up by others": {false, 8 * time.Second, 900 * time.Millisecond, admission.Grant},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := newPlacerOf(time.Now, true, "e1")
				p.view.finish = finishView().finish
				// The end is predicted after 1.1 s.
				p.view.pace = slowEndpoint{endpoint: keys.OfEndpoint("e1")}
				p.view.loads.Begin("e1", 0)
				p.recordRefusal(time.Now().Add(-test.earlier), "llm", finishRequest(1, 10), admission.ReasonTooLate, &Choice{})
				ask := func(urgency int, left time.Duration, retry bool) admission.Kind {
					request := finishRequest(urgency, 10)
					request.Arrived, request.Deadline, request.FirstToken, request.Retry = time.Now(), time.Now().Add(left), 500*time.Millisecond, retry
					_, d, err := p.Ask(context.Background(), "llm", *request)
					c.Assert(err, qt.IsNil)
					return d.Kind
				}
				c.Assert(ask(2, test.left, test.retry), qt.Equals, admission.Refuse)
				// The hold for the still more urgent class is over.
				time.Sleep(200 * time.Millisecond)
				c.Check(ask(3, 8*time.Second, false), qt.Equals, test.want)
			})
		})
	}
}

// TestRetryAfterLateRefusal guards against callers that are told to return at a time at which their request still can't
// end in time although nothing else has arrived.
func TestRetryAfterLateRefusal(t *testing.T) {
	ids := []string{"e1", "e2", "e3"}
	rapid.Check(t, func(t *rapid.T) {
		now := start
		p := newPlacerOf(func() time.Time { return now }, true, ids...)
		p.view.finish = finishView().finish
		for _, id := range ids {
			p.view.loads.Begin(id, rapid.IntRange(0, 300_000).Draw(t, id))
		}
		request := finishRequest(rapid.IntRange(1, 2).Draw(t, "urgency"), rapid.IntRange(0, 60).Draw(t, "events"))
		limit := time.Duration(rapid.IntRange(1, 10).Draw(t, "limit s")) * time.Second
		wait := time.Duration(rapid.IntRange(1, 20).Draw(t, "caller's wait s")) * time.Second
		request.Deadline, request.CallerDeadline = start.Add(min(limit, wait)), start.Add(wait)
		if _, reason := p.choose("llm", request, false); reason != admission.ReasonTooLate {
			return
		}
		after := p.lateRetryAfter(now, "llm", request, rapid.Float64Range(0, 0.99).Draw(t, "random"))
		if after < minLateRetry || after > maxLateRetry {
			t.Fatalf("told to return after %s", after)
		}
		if after == maxLateRetry {
			return // No time within the bounds may be enough.
		}
		now = start.Add(after)
		for _, id := range ids {
			p.view.loads.Processed(id, min(int(after.Seconds()*1000*initialReadRate), p.view.loads.Own()[id].Tokens))
		}
		request.Arrived, request.Deadline = now, now.Add(min(limit, request.CallerDeadline.Sub(now)))
		if _, reason := p.choose("llm", request, false); reason != "" {
			t.Fatalf("refused again after %s: %s", after, reason)
		}
	})
}

// initialReadRate is the rate of engines before any observation, in tokens a ms.
const initialReadRate = 32

// TestRetryAfterWithoutEndpoints guards against a panic if the last endpoint leaves between the choice and the refusal.
func TestRetryAfterWithoutEndpoints(t *testing.T) {
	p := newPlacerOf(func() time.Time { return start }, true)
	got := p.refusal("llm", finishRequest(2, 10), admission.ReasonTooLate, &Choice{}, 0)
	qt.Check(t, got.RetryAfter, qt.Equals, minLateRetry)
}

func TestRetryAfterLateRefusalIsSoonest(t *testing.T) {
	tests := map[string]struct {
		// ahead is the time that the endpoint needs for the prompts ahead, and blocked the time since a more urgent refusal.
		ahead, blocked time.Duration
		events         int
		callerLeft     time.Duration
		random         float64
		want           time.Duration
	}{
		"soon":                                         {6800 * time.Millisecond, time.Second, 0, 0, 0, 500 * time.Millisecond},
		"spread":                                       {6800 * time.Millisecond, time.Second, 0, 0, 1, 750 * time.Millisecond},
		"once no endpoint reads prompts":               {3 * time.Second, time.Second, 40, 0, 0, 3 * time.Second},
		"no earlier than the minimum":                  {0, time.Second, 0, 0, 0, minLateRetry},
		"no later than the maximum":                    {time.Minute, time.Second, 0, 0, 1, maxLateRetry},
		"once less urgent classes may":                 {0, 400 * time.Millisecond, 0, 0, 0, 600 * time.Millisecond},
		"the spread ends with the caller":              {0, 0, 0, 1300 * time.Millisecond, 0.99, time.Second},
		"the spread ends where callers stop following": {0, 400 * time.Millisecond, 0, 2100 * time.Millisecond, 1, 700 * time.Millisecond},
		"half of that spread":                          {0, 400 * time.Millisecond, 0, 2100 * time.Millisecond, 0.5, 650 * time.Millisecond},
		"the first time is followed by nobody":         {0, 400 * time.Millisecond, 0, 1500 * time.Millisecond, 1, 900 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v, request, endpoints := finishView(), finishRequest(2, test.events), entries("e1")
			v.loads.Begin("e1", int(test.ahead.Milliseconds()*initialReadRate))
			v.finish.recordRefusal(start.Add(-test.blocked), "llm", finishRequest(1, 0))
			if test.callerLeft > 0 {
				request.CallerDeadline = start.Add(test.callerLeft)
			}
			qt.Check(t, v.lateRetryAfter(start, request, &pool{service: "llm", endpoints: endpoints}, endpoints, test.random), qt.Equals, test.want)
		})
	}
}

// TestOldOrMissingLoadsRefuseNobody guards against refusals by what a host no longer knows or does not know yet.
func TestOldOrMissingLoadsRefuseNobody(t *testing.T) {
	full := map[keys.Endpoint]Load{keys.OfEndpoint("e1"): {Requests: 1, Tokens: 200_000}, keys.OfEndpoint("e2"): {Requests: 1, Tokens: 200_000}}
	tests := map[string]struct {
		prepare func(p *Placer)
		want    admission.Reason
	}{
		"peers' loads":                    {func(p *Placer) { p.view.loads.SetPeer(start.Add(-time.Second), "p", full) }, admission.ReasonTooLate},
		"peers' loads, 3 s old":           {func(p *Placer) { p.view.loads.SetPeer(start.Add(-3001*time.Millisecond), "p", full) }, ""},
		"loads of a large fleet, 3 s old": {func(p *Placer) { p.view.loads.SetSum(start.Add(-3001*time.Millisecond), Part{Of: 1}, full) }, ""},
		"a host without peers":            {func(*Placer) {}, ""},
		"a host without peers, own loads": {func(p *Placer) { p.view.loads.Begin("e1", 200_000); p.view.loads.Begin("e2", 200_000) }, admission.ReasonTooLate},
		"all hosts start, after one request": {func(p *Placer) {
			for n := range 70 {
				p.SetPeer(fmt.Sprint(n), PeerReport{})
			}
			_, reason := p.choose("llm", finishRequest(2, 10), false)
			p.view.finish.reading = make(map[string]readingShare)
			qt.Check(t, reason, qt.Equals, admission.Reason(""))
		}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacerOf(func() time.Time { return start }, true, "e1", "e2")
			test.prepare(p)
			_, reason := p.choose("llm", finishRequest(2, 10), false)
			qt.Check(t, reason, qt.Equals, test.want)
		})
	}
}
