package placement

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
	"oxbowslip.dev/oxbowslip/internal/front/ratelimit"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

const endpointSlots = 64

func entries(ids ...string) []*directory.Entry {
	list := make([]*directory.Entry, 0, len(ids))
	for _, id := range ids {
		list = append(list, &directory.Entry{ID: id, Endpoint: settings.Endpoint{Zone: "a", Service: "llm", MaxInFlight: endpointSlots, State: settings.StateIn}})
	}
	return list
}

// short returns a request without a shared prefix, long one with 10,000 shared tokens out of 12,000.
func short() *admission.Request {
	return &admission.Request{ID: "short", Class: "short", Zone: "a", PromptTokens: 500}
}

func long(prefix uint64) *admission.Request {
	return &admission.Request{
		ID: "long", Class: "long", Zone: "a", PromptTokens: 12_000, Prefix: []uint64{prefix, prefix + 1}, PrefixTokens: []int{10_000, 12_000},
	}
}

func (v *View) chooseCandidate(request *admission.Request, endpoints []*directory.Entry) Choice {
	choice, _ := v.Choose(start, "llm", request, endpoints, v.candidates(start, request, endpoints), nil)
	return choice
}

func TestChoose(t *testing.T) {
	three := entries("e1", "e2", "e3")
	preferred := NewView().chooseCandidate(long(7), three).Endpoint
	other := "e1"
	if preferred == other {
		other = "e2"
	}
	tests := map[string]struct {
		prepare func(b *View)
		request *admission.Request
		want    string
	}{
		"a short prompt goes to the least loaded endpoint": {
			func(b *View) { b.loads.Begin("e1", 100); b.loads.Begin("e2", 5000) }, short(), "e3",
		},
		"the load of peers counts": {
			func(b *View) {
				b.loads.SetPeer(start, "p", map[keys.Endpoint]Load{keys.OfEndpoint("e1"): {Requests: 30}, keys.OfEndpoint("e3"): {Tokens: 9000}})
			}, short(), "e2",
		},
		"a peer's latest report replaces the one before": {
			func(b *View) {
				b.loads.SetPeer(start, "p", map[keys.Endpoint]Load{keys.OfEndpoint("e2"): {Requests: 50}})
				b.loads.SetPeer(start, "p", map[keys.Endpoint]Load{keys.OfEndpoint("e1"): {Requests: 30}, keys.OfEndpoint("e3"): {Tokens: 9000}})
			}, short(), "e2",
		},
		"the load of a peer that left does not count": {
			func(b *View) {
				b.loads.SetPeer(start, "p", map[keys.Endpoint]Load{keys.OfEndpoint("e1"): {Requests: 30}})
				b.loads.DropPeer("p")
				b.loads.Begin("e2", 0)
				b.loads.Begin("e3", 0)
			}, short(), "e1",
		},
		"the load of an unresponsive peer expires": {
			func(b *View) {
				b.loads.SetPeer(start.Add(-time.Minute), "p", map[keys.Endpoint]Load{keys.OfEndpoint("e1"): {Requests: 30}})
				b.Expire(start)
				b.loads.Begin("e2", 0)
				b.loads.Begin("e3", 0)
			}, short(), "e1",
		},
		"a long prompt goes to its preferred endpoint despite some load": {
			func(b *View) {
				b.holders.Record(start, Holder{Prefix: 7, Endpoint: keys.OfEndpoint(preferred)})
				b.loads.Begin(preferred, 20_000)
			}, long(7), preferred,
		},
		"a prefix without a holder goes to its preferred endpoint despite less load": {
			func(b *View) { b.loads.Begin(preferred, 8000) }, long(7), preferred,
		},
		"a prefix without a holder goes elsewhere if the extra load exceeds its length": {
			func(b *View) { b.loads.Begin(preferred, 20_000); b.loads.Begin(third(preferred, other), 1000) }, long(7), other,
		},
		"a long prompt goes to the holder of its prefix": {
			func(b *View) {
				b.holders.Record(start, Holder{Prefix: 7, Endpoint: keys.OfEndpoint(other)})
			}, long(7), other,
		},
		"an overloaded preferred endpoint is avoided": {
			func(b *View) { b.loads.Begin(preferred, 60_000); b.loads.Begin(third(preferred, other), 1000) }, long(7), other,
		},
		"an ejected preferred endpoint is avoided": {
			func(b *View) {
				b.ejections.Failed(start, preferred, false)
				b.loads.Begin(third(preferred, other), 60_000)
			}, long(7), other,
		},
		"a preferred endpoint ejected by a peer is avoided": {
			func(b *View) {
				b.ejections.RecordPeerEjection(keys.OfEndpoint(preferred), start.Add(time.Second))
				b.loads.Begin(third(preferred, other), 60_000)
			}, long(7), other,
		},
		"an ejected endpoint is chosen if all are ejected": {
			func(b *View) {
				b.ejections.Failed(start, "e1", false)
				b.ejections.Failed(start, "e2", false)
				b.ejections.Failed(start, "e3", false)
				b.loads.Begin("e1", 0)
				b.loads.Begin("e2", 0)
			}, short(), "e3",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewView()
			test.prepare(b)
			qt.Check(t, b.chooseCandidate(test.request, three).Endpoint, qt.Equals, test.want)
		})
	}
}

func third(a, b string) string {
	for _, id := range []string{"e1", "e2", "e3"} {
		if id != a && id != b {
			return id
		}
	}
	return ""
}

func TestAvoidedEndpointIsChosenOnlyIfNoOtherIsLeft(t *testing.T) {
	request := short()
	request.Avoid = []string{"e1", "e2"}
	qt.Check(t, NewView().chooseCandidate(request, entries("e1", "e2", "e3")).Endpoint, qt.Equals, "e3")
	qt.Check(t, NewView().chooseCandidate(request, entries("e1")).Endpoint, qt.Equals, "e1")
}

func TestPreferredEndpointIsIndependentOfOrder(t *testing.T) {
	for prefix := range uint64(100) {
		first := NewView().chooseCandidate(long(prefix*977), entries("e1", "e2", "e3", "e4", "e5")).Endpoint
		second := NewView().chooseCandidate(long(prefix*977), entries("e5", "e3", "e1", "e4", "e2")).Endpoint
		qt.Assert(t, first, qt.Equals, second)
	}
}

// splitView returns a view in which long prompts harm the streams of short ones, and the number of endpoints reserved
// for short prompts.
func splitView(c *qt.C, endpoints []*directory.Entry) (*View, int) {
	v := NewView()
	engines := v.engines.get(keys.OfService("llm"))
	for range 4 {
		engines.RecordArrival(start, engine.Arrival{Class: keys.OfClass("long"), Prompt: 12_000, Unread: 12_000})
		engines.RecordEnd(keys.OfClass("long"))
		engines.RecordArrival(start, engine.Arrival{Class: keys.OfClass("short"), Prompt: 500, Unread: 500})
	}
	target := engine.Targets{First: time.Second, Pause: 150 * time.Millisecond}
	engines.Refresh(start, &engine.Fleet{
		Endpoints: len(endpoints), Slots: endpointSlots, Hosts: 1,
		Targets: map[keys.Class]engine.Targets{keys.OfClass("long"): {First: time.Second, Pause: time.Second}, keys.OfClass("short"): target},
	})
	c.Assert(engines.IsLong(keys.OfClass("long")), qt.IsTrue)
	c.Assert(engines.IsLong(keys.OfClass("short")), qt.IsFalse)
	return v, engines.ShortEndpoints()
}

func TestPartitions(t *testing.T) {
	c := qt.New(t)
	all := entries("e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9")
	v, number := splitView(c, all)
	c.Assert(number > 0 && number < len(all), qt.IsTrue)
	kept := shortSetOf(all, number, nil)
	for prefix := range uint64(50) {
		c.Check(kept[v.chooseCandidate(long(prefix*977), all).Endpoint], qt.IsFalse)
	}
	c.Check(kept[v.chooseCandidate(short(), all).Endpoint], qt.IsTrue)
	// A short prompt leaves its partition only if the partition has no free slots.
	for id := range kept {
		for range endpointSlots {
			v.loads.Begin(id, 0)
		}
	}
	c.Check(kept[v.chooseCandidate(short(), all).Endpoint], qt.IsFalse)
	alone := entries("e1")
	c.Check(v.chooseCandidate(long(7), alone).Endpoint, qt.Equals, "e1")
	c.Check(v.chooseCandidate(short(), alone).Endpoint, qt.Equals, "e1")
}

func TestTargetsOf(t *testing.T) {
	first, pause, urgency := 600*time.Millisecond, 200*time.Millisecond, 1
	tree := &settings.Tree{
		Root: settings.Root{Classes: map[string]settings.Class{
			"hints":    {Values: settings.Values{FirstToken: &first, MaxPause: &pause, Urgency: &urgency}},
			"unrouted": {Values: settings.Values{MaxPause: &pause}},
		}},
		Routes: []settings.HostRoute{{Name: "hints", Class: "hints"}, {Name: "lost", Class: "no such class"}},
	}
	qt.Check(t, targetsOf(tree), qt.DeepEquals, map[keys.Class]engine.Targets{
		keys.OfClass("hints"): {First: first, Pause: pause, Urgency: urgency},
	})
}

// TestCostGrowsWithLoad adds load to an endpoint and checks that its cost never falls.
func TestCostGrowsWithLoad(t *testing.T) {
	c := qt.New(t)
	all := entries("e1", "e2", "e3", "e4")
	v, _ := splitView(c, all)
	for _, request := range []*admission.Request{short(), long(7)} {
		request.FirstToken = time.Second
		before := math.MinInt
		for range 80 {
			q := v.newQuery(start, request, &pool{service: "llm", endpoints: all}, all)
			cost := v.evaluate(q, all[0]).Cost
			c.Check(cost >= before, qt.IsTrue)
			before = cost
			v.loads.Begin("e1", 700)
		}
	}
}

func TestFetchSource(t *testing.T) {
	three := entries("e1", "e2", "e3")
	three[0].Endpoint.Version, three[2].Endpoint.Version = "v1", "v1"
	tests := map[string]struct {
		held    []string
		ejected []string
		to      string
		want    string
		// version is that of e2; the others run v1.
		version string
	}{
		"no holder":                            {nil, nil, "e1", "", "v1"},
		"the endpoint itself holds it":         {[]string{"e1", "e2"}, nil, "e1", "", "v1"},
		"another endpoint holds it":            {[]string{"e2"}, nil, "e1", "e2", "v1"},
		"the most recent holder is the source": {[]string{"e3", "e2"}, nil, "e1", "e2", "v1"},
		"an ejected holder is not":             {[]string{"e3", "e2"}, []string{"e2"}, "e1", "e3", "v1"},
		"a holder of another version is not":   {[]string{"e3", "e2"}, nil, "e1", "e3", "v2"},
		"one that started at another time is":  {[]string{"e3", "e2"}, nil, "e1", "e2", "v1 of 1764000000000"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewView()
			for i, id := range test.held {
				b.holders.Record(start.Add(time.Duration(i)), Holder{Prefix: 7, Endpoint: keys.OfEndpoint(id)})
			}
			for _, id := range test.ejected {
				b.ejections.Failed(start, id, false)
			}
			q := query{prefix: 7, holders: b.holders[7]}
			three[1].Endpoint.Version = test.version
			qt.Check(t, b.fetchFrom(start, &q, &Choice{Endpoint: test.to, Version: "v1"}, three), qt.Equals, test.want)
		})
	}
}

func TestEjectionsDoubleAndExpire(t *testing.T) {
	c := qt.New(t)
	b := NewView()
	failed := func(after time.Duration) time.Time {
		return b.ejections.Failed(start.Add(after), "e1", false).Until
	}
	c.Check(failed(0), qt.Equals, start.Add(time.Second))
	c.Check(failed(time.Millisecond), qt.Equals, start.Add(time.Second), qt.Commentf("failures of concurrent calls count once"))
	c.Check(failed(2*time.Second), qt.Equals, start.Add(4*time.Second))
	c.Check(b.ejections.Answered("e1"), qt.IsTrue)
	c.Check(b.ejections.Answered("e1"), qt.IsFalse)
	c.Check(failed(9*time.Second), qt.Equals, start.Add(10*time.Second))
	c.Check(b.ejections.Ejected(start.Add(20*time.Second)), qt.HasLen, 0)
	b.ejections.RecordPeerEjection(keys.OfEndpoint("e1"), start.Add(time.Second))
	b.Expire(start.Add(time.Second))
	c.Check(b.ejections.byPeers, qt.HasLen, 0)
}

func TestAdmissionByUrgency(t *testing.T) {
	bounds := PriorityBounds{LowestTier: 1, LeastUrgent: 2}
	tests := map[string]struct {
		tier, urgency, open int
		want                bool
	}{
		"least urgent, half of the slots occupied": {1, 2, 32, true},
		"least urgent, more than half occupied":    {1, 2, 36, false},
		"more urgent, as many occupied":            {1, 1, 36, true},
		"more urgent, nearly all occupied":         {1, 1, 60, false},
		"most urgent, all occupied":                {1, 0, 100, true},
		"higher tier, a few more occupied":         {0, 2, 38, true},
		"lowest tier, as many occupied":            {1, 2, 38, false},
		"higher tier, all occupied":                {0, 2, 100, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := short()
			request.Tier, request.Urgency = test.tier, test.urgency
			qt.Check(t, bounds.admits(request, endpointSlots, test.open), qt.Equals, test.want)
		})
	}
}

// TestRequestWithLateFirstEventIsRefused predicts a first event after callers abandon the stream: a less urgent request
// is refused, one of the most urgent class is not.
func TestRequestWithLateFirstEventIsRefused(t *testing.T) {
	bounds := PriorityBounds{LeastUrgent: 2}
	tests := map[string]struct {
		urgency int
		first   time.Duration
		want    bool
	}{
		"late":                  {1, 2 * time.Second, true},
		"hopeless":              {1, 5 * time.Second, false},
		"hopeless, most urgent": {0, 5 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := short()
			request.Urgency, request.FirstToken = test.urgency, time.Second
			qt.Check(t, bounds.admitsChoice(request, &Choice{Slots: endpointSlots, PredictedFirstEvent: test.first}), qt.Equals, test.want)
		})
	}
}

func TestRetryAfter(t *testing.T) {
	tests := map[string]struct {
		reason admission.Reason
		first  time.Duration
		random float64
		want   time.Duration
	}{
		"after the waiting prompts are processed": {admission.ReasonNoRoom, 2 * time.Second, 0, 2 * time.Second},
		"spread by up to one half":                {admission.ReasonNoRoom, 2 * time.Second, 1, 3 * time.Second},
		"no earlier than the minimum":             {admission.ReasonNoRoom, 0, 0, minRoomRetry},
		"no later than the maximum":               {admission.ReasonNoRoom, time.Minute, 0, maxRoomRetry},
		"no endpoint":                             {admission.ReasonNoEndpoint, time.Minute, 1, noEndpointRetry},
		"after the first rest":                    {admission.ReasonResting, 0, 1, 7 * time.Second},
		"after the next permit":                   {admission.ReasonLimited, 0, 0, 7 * time.Second},
		"permits are spread as well":              {admission.ReasonLimited, 0, 1, 10500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, retryAfter(start, test.reason, &Choice{PredictedFirstEvent: test.first, AvailableAt: start.Add(7 * time.Second)}, test.random), qt.Equals, test.want)
		})
	}
}

// singleHost is a fleet of one host.
type singleHost struct{}

func (singleHost) Senders() []envelope.Sender        { return []envelope.Sender{{Host: "self"}} }
func (singleHost) IsSettled() bool                   { return true }
func (singleHost) SendTo(string, envelope.Kind, any) {}

// unlimitedLimiter returns a limiter without any known limits.
func unlimitedLimiter(clock func() time.Time) *ratelimit.Limiter {
	return limiterFor(pushback.NewLimits(clock), clock)
}

// limiterFor returns a limiter that enforces limits in a fleet of one host.
func limiterFor(limits *pushback.Limits, clock func() time.Time) *ratelimit.Limiter {
	return ratelimit.New(ratelimit.Parts{
		Limits: limits, Lender: ratelimit.NewLender(limits, clock, func() float64 { return 0 }), Peers: singleHost{}, CountPermit: func(counters.PermitResult) {},
		Log: logrus.NewEntry(logrus.New()), Clock: clock, Random: func() float64 { return 0 },
	})
}

func newPlacer(clock func() time.Time) *Placer { return newPlacerOf(clock, false, "e1", "e2") }

// newPlacerOf returns a placer for a service with endpoints.
func newPlacerOf(clock func() time.Time, finish bool, ids ...string) *Placer {
	d := directory.New()
	changes := []directory.Change{}
	for _, e := range entries(ids...) {
		changes = append(changes, directory.Change{Entry: *e})
	}
	d.Apply(1, changes)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New(Parts{
		Directory: d, Rests: pushback.NewRests(clock, func() float64 { return 0 }), Rejections: pushback.NewRejections(clock),
		Failures: pushback.NewFailures(clock), Limiter: unlimitedLimiter(clock), Brittle: pushback.NewBrittle(clock), Finish: finish, Log: logrus.NewEntry(log), Clock: clock,
		Random: func() float64 { return 0 }, Changed: func() {},
	})
	least := 2
	s.SetSettings(&settings.Tree{Root: settings.Root{Classes: map[string]settings.Class{"c": {Values: settings.Values{Urgency: &least}}}}})
	return s
}

// fillEndpoints adds the same number of requests to both endpoints.
func fillEndpoints(s *Placer, open int) {
	for range open {
		s.view.loads.Begin("e1", 0)
		s.view.loads.Begin("e2", 0)
	}
}

func TestLeastUrgentRequestIsRefusedFirst(t *testing.T) {
	c := qt.New(t)
	// Each reading of the clock is 100 ms later, so that the wait for room ends.
	now := start
	s := newPlacer(func() time.Time { now = now.Add(100 * time.Millisecond); return now })
	fillEndpoints(s, 40)
	least, more, most := short(), short(), short()
	least.Urgency, more.Urgency = 2, 1
	least.FirstToken, more.FirstToken, most.FirstToken = time.Second, time.Second, time.Second
	_, decision, err := s.Ask(context.Background(), "llm", *least)
	c.Assert(err, qt.IsNil)
	c.Check(decision.Kind, qt.Equals, admission.Refuse)
	c.Check(decision.Reason, qt.Equals, admission.ReasonNoRoom)
	c.Check(decision.RetryAfter > 0, qt.IsTrue)
	for _, request := range []*admission.Request{more, most} {
		_, decision, err = s.Ask(context.Background(), "llm", *request)
		c.Assert(err, qt.IsNil)
		c.Check(decision.Kind, qt.Equals, admission.Grant)
	}
}

// TestAllEndpointsResting checks that a request is refused with the true Retry-After, or waits if a rest ends in time.
func TestAllEndpointsResting(t *testing.T) {
	tests := map[string]struct {
		rests map[string]time.Duration
		want  admission.Decision
	}{
		"one endpoint is not resting":  {map[string]time.Duration{"e1": time.Hour}, admission.Decision{Kind: admission.Grant, Endpoint: "e2"}},
		"one rest ends in time":        {map[string]time.Duration{"e1": time.Hour, "e2": 100 * time.Millisecond}, admission.Decision{Kind: admission.Grant, Endpoint: "e2"}},
		"the first rest ends too late": {map[string]time.Duration{"e1": 3 * time.Second, "e2": 2 * time.Second}, admission.Decision{Kind: admission.Refuse, Reason: admission.ReasonResting, RetryAfter: 2 * time.Second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			// The clock advances while the placer waits.
			now := start
			looks := 0
			s := newPlacer(func() time.Time {
				if looks++; looks%10 == 0 {
					now = now.Add(20 * time.Millisecond)
				}
				return now
			})
			for id, span := range test.rests {
				s.parts.Rests.Begin(pushback.Instance{ID: id}, span)
			}
			looks, now = 0, start
			request := short()
			request.FirstToken = time.Second
			_, got, err := s.Ask(context.Background(), "llm", *request)
			c.Assert(err, qt.IsNil)
			c.Check(got.Kind, qt.Equals, test.want.Kind)
			c.Check(got.Endpoint, qt.Equals, test.want.Endpoint)
			c.Check(got.RetryAfter, qt.Equals, test.want.RetryAfter)
			if test.want.Reason != "" {
				c.Check(got.Reason, qt.Equals, test.want.Reason)
			}
		})
	}
}

// TestLimitedEndpoints checks endpoints with limits: an endpoint with a permit left is preferred, a request waits for a
// permit that comes in time, and is refused with the true Retry-After if none does.
func TestLimitedEndpoints(t *testing.T) {
	tests := map[string]struct {
		limits   map[string]float64
		ejected  string
		want     admission.Kind
		reason   admission.Reason
		endpoint string
		after    time.Duration
	}{
		"one endpoint has no limit":               {map[string]float64{"e1": 0.5}, "", admission.Grant, admission.ReasonPlaced, "e2", 0},
		"the endpoint without a limit is ejected": {map[string]float64{"e1": 0.5}, "e2", admission.Grant, admission.ReasonPlaced, "e2", 0},
		"a permit comes in time":                  {map[string]float64{"e1": 0.5, "e2": 20}, "", admission.Grant, admission.ReasonPlaced, "e2", 0},
		"the first permit comes too late":         {map[string]float64{"e1": 0.5, "e2": 0.3}, "", admission.Refuse, admission.ReasonLimited, "", 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			limits := pushback.NewLimits(time.Now)
			s := newPlacer(time.Now)
			s.parts.Limiter = limiterFor(limits, time.Now)
			done := make(chan struct{})
			defer close(done)
			go s.parts.Limiter.Run(done)
			for id, perSecond := range test.limits {
				limits.Record(pushback.Instance{ID: id}, pushback.Limit{IsSet: true, PerSecond: perSecond}, time.Now())
			}
			if test.ejected != "" {
				s.RecordFailure(test.ejected, false, errors.New("refused"))
			}
			request := short()
			request.FirstToken = 3 * time.Second
			ticket, got, err := s.Ask(context.Background(), "llm", *request)
			c.Assert(err, qt.IsNil)
			c.Check(got.Kind, qt.Equals, test.want)
			c.Check(got.Reason, qt.Equals, test.reason)
			c.Check(got.Endpoint, qt.Equals, test.endpoint)
			if test.want == admission.Grant {
				c.Check(ticket.MaySend(), qt.IsTrue)
				c.Check(s.view.loads.Own()[test.endpoint].Requests, qt.Equals, 1)
				return
			}
			c.Check(got.RetryAfter > test.after && got.RetryAfter < test.after+time.Second, qt.IsTrue, qt.Commentf("%s", got.RetryAfter))
			c.Check(s.view.loads.Own(), qt.HasLen, 0)
		})
	}
}

// TestGrantIsNotSentOnceALimitIsKnown has the endpoint announce a limit between the grant and the send.
func TestGrantIsNotSentOnceALimitIsKnown(t *testing.T) {
	c := qt.New(t)
	limits := pushback.NewLimits(time.Now)
	s := newPlacer(time.Now)
	s.parts.Limiter = limiterFor(limits, time.Now)
	ticket, got, err := s.Ask(context.Background(), "llm", *short())
	c.Assert(err, qt.IsNil)
	c.Check(ticket.MaySend(), qt.IsTrue)
	limits.Record(pushback.Instance{ID: got.Endpoint}, pushback.Limit{IsSet: true, PerSecond: 1}, time.Now())
	c.Check(ticket.MaySend(), qt.IsFalse)
}

// TestFailingEndpointIsAvoided checks that a failing endpoint gets no requests while another accepts them, and its
// usual share if its peers fail as many.
func TestFailingEndpointIsAvoided(t *testing.T) {
	tests := map[string]struct {
		// failed holds the number of failures of each endpoint, out of 10 requests of a class.
		failed map[string]uint
		class  string
		// ahead is the number of prompt tokens that e2 has yet to process.
		ahead int
		want  string
	}{
		"no request fails":                          {nil, "c", 1000, "e1"},
		"all requests fail":                         {map[string]uint{"e1": 10}, "c", 50_000, "e2"},
		"half of the requests fail":                 {map[string]uint{"e1": 5}, "c", 20_000, "e2"},
		"a single failure":                          {map[string]uint{"e1": 1}, "c", 1000, "e1"},
		"another class also avoids the endpoint":    {map[string]uint{"e1": 10}, "d", 20_000, "e2"},
		"both endpoints fail the class equally":     {map[string]uint{"e1": 8, "e2": 8}, "c", 1000, "e1"},
		"both endpoints fail another class equally": {map[string]uint{"e1": 8, "e2": 8}, "d", 1000, "e1"},
		"the other endpoint fails more":             {map[string]uint{"e1": 2, "e2": 10}, "c", 0, "e1"},
		"the other endpoint is overloaded":          {map[string]uint{"e1": 4}, "c", 400_000, "e1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newPlacer(func() time.Time { return start })
			for id, failed := range test.failed {
				s.view.failures.Count(pushback.EndpointClass{Endpoint: keys.OfEndpoint(id), Class: keys.OfClass("c")}, failed, 10-failed)
			}
			s.view.loads.Begin("e2", test.ahead)
			request := short()
			request.Class = test.class
			_, got, err := s.Ask(context.Background(), "llm", *request)
			c.Assert(err, qt.IsNil)
			c.Check(got.Endpoint, qt.Equals, test.want)
		})
	}
}

// TestEqualEndpointsShareRequestsEvenly checks that endpoints of equal cost get about the same number of requests.
func TestEqualEndpointsShareRequestsEvenly(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	v.random = rand.New(rand.NewPCG(1, 2)).Float64
	all := entries("e1", "e2", "e3")
	got := make(map[string]int)
	for range 300 {
		choice, ok := v.Choose(start, "llm", &admission.Request{Zone: all[0].Endpoint.Zone}, all, all, nil)
		c.Assert(ok, qt.IsTrue)
		got[choice.Endpoint]++
	}
	for _, e := range all {
		c.Check(got[e.ID] >= 75, qt.IsTrue, qt.Commentf("%v", got))
	}
}

// TestRejectingEndpointIsAvoided checks that a rejecting endpoint gets no requests while another has little load, and
// gets prompts again once the other is loaded.
func TestRejectingEndpointIsAvoided(t *testing.T) {
	tests := map[string]struct {
		rejected, taken uint
		// ahead is the number of prompt tokens that the other endpoint has yet to process.
		ahead int
		want  string
	}{
		"no rejections":                                {0, 100, 1000, "e1"},
		"a single request, rejected":                   {1, 0, 1000, "e2"},
		"half rejected, the other endpoint loaded":     {50, 50, 20_000, "e2"},
		"a tenth rejected, the other endpoint loaded":  {10, 90, 20_000, "e1"},
		"half rejected, the other endpoint overloaded": {50, 50, 40_000, "e1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newPlacer(func() time.Time { return start })
			s.view.rejections.Count(keys.OfEndpoint("e1"), test.rejected, test.taken)
			s.view.loads.Begin("e2", test.ahead)
			_, got, err := s.Ask(context.Background(), "llm", *short())
			c.Assert(err, qt.IsNil)
			c.Check(got.Endpoint, qt.Equals, test.want)
		})
	}
}

// TestRetryAfterRejection has both endpoints reject requests: Retry-After is short if the next request is likely to be
// accepted, and long if all are rejected.
func TestRetryAfterRejection(t *testing.T) {
	tests := map[string]struct {
		rejected, taken    uint
		minRetry, maxRetry time.Duration
	}{
		"none":          {0, 100, 0, 0},
		"40 % rejected": {40, 60, 350 * time.Millisecond, 450 * time.Millisecond},
		"all":           {100, 0, 950 * time.Millisecond, rejectionRetry},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newPlacer(func() time.Time { return start })
			for _, id := range []string{"e1", "e2"} {
				s.view.rejections.Count(keys.OfEndpoint(id), test.rejected, test.taken)
			}
			_, got, err := s.Ask(context.Background(), "llm", *short())
			c.Assert(err, qt.IsNil)
			c.Check(got.RetryAfter >= test.minRetry && got.RetryAfter <= test.maxRetry, qt.IsTrue, qt.Commentf("%v", got.RetryAfter))
		})
	}
}

func TestServiceWithoutEndpointIsRefused(t *testing.T) {
	c := qt.New(t)
	s := newPlacer(func() time.Time { return start })
	_, decision, err := s.Ask(context.Background(), "nothing", *short())
	c.Assert(err, qt.IsNil)
	c.Check(decision.Kind, qt.Equals, admission.Refuse)
	c.Check(decision.Reason, qt.Equals, admission.ReasonNoEndpoint)
}

func TestTicketReleasesItsLoad(t *testing.T) {
	c := qt.New(t)
	s := newPlacer(func() time.Time { return start })
	ticket, _, err := s.Ask(context.Background(), "llm", *long(7))
	c.Assert(err, qt.IsNil)
	loads, _ := s.Snapshot()
	c.Assert(loads, qt.HasLen, 1)
	for _, load := range loads {
		c.Check(load, qt.Equals, Load{Requests: 1, Tokens: 12_000}, qt.Commentf("without a holder the whole prompt has to be processed"))
	}
	ticket.FirstToken()
	loads, _ = s.Snapshot()
	for _, load := range loads {
		c.Check(load, qt.Equals, Load{Requests: 1})
	}
	ticket.Finished(admission.Answered, 0)
	loads, _ = s.Snapshot()
	c.Check(loads, qt.HasLen, 0)
}

func TestNewHolderIsReportedSeveralTimes(t *testing.T) {
	c := qt.New(t)
	s := newPlacer(func() time.Time { return start })
	for range 2 {
		_, _, err := s.Ask(context.Background(), "llm", *long(7))
		c.Assert(err, qt.IsNil)
	}
	for range reportsPerHolder {
		c.Check(s.HoldersToReport(), qt.HasLen, 1)
	}
	c.Check(s.HoldersToReport(), qt.HasLen, 0)
	peer := newPlacer(func() time.Time { return start })
	peer.SetPeer("p", PeerReport{Holders: []Holder{{Prefix: 7, Endpoint: keys.OfEndpoint("e2")}}})
	ticket, decision, err := peer.Ask(context.Background(), "llm", *long(7))
	c.Assert(err, qt.IsNil)
	ticket.Finished(admission.Answered, 0)
	c.Check(decision.Endpoint, qt.Equals, "e2")
}

func TestSingleBrokenCallDoesNotEject(t *testing.T) {
	tests := map[string]struct {
		prepare func(b *View)
		want    bool
	}{
		"alone":                     {func(b *View) { b.ejections.Failed(start, "e1", true) }, false},
		"two broken calls together": {func(b *View) { b.ejections.Failed(start, "e1", true); b.ejections.Failed(start, "e1", true) }, true},
		"two broken calls, far apart": {func(b *View) {
			b.ejections.Failed(start.Add(-time.Minute), "e1", true)
			b.ejections.Failed(start, "e1", true)
		}, false},
		"two broken calls, a success in between": {func(b *View) {
			b.ejections.Failed(start, "e1", true)
			b.ejections.Answered("e1")
			b.ejections.Failed(start, "e1", true)
		}, false},
		"endpoint not reached":     {func(b *View) { b.ejections.Failed(start, "e1", false) }, true},
		"broken, then unreachable": {func(b *View) { b.ejections.Failed(start, "e1", true); b.ejections.Failed(start, "e1", false) }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewView()
			test.prepare(b)
			qt.Check(t, b.ejections.isEjected(start, "e1"), qt.Equals, test.want)
		})
	}
}

func TestPriorityBoundsOf(t *testing.T) {
	one, two := 1, 2
	tests := map[string]struct {
		tree              settings.Tree
		tier, leastUrgent int
	}{
		"nothing set": {settings.Tree{}, 0, 0},
		"workspaces' tiers, classes' urgencies": {settings.Tree{
			Workspaces: map[string]settings.Workspace{"a": {Values: settings.Values{Tier: &one}}, "b": {}},
			Root:       settings.Root{Classes: map[string]settings.Class{"c": {Values: settings.Values{Tier: &two, Urgency: &two}}}},
		}, 1, 2},
		"classes' tiers without workspaces": {settings.Tree{
			Root: settings.Root{Classes: map[string]settings.Class{"c": {Values: settings.Values{Tier: &two, Urgency: &one}}}},
		}, 2, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bounds := PriorityBoundsOf(&test.tree)
			qt.Check(t, []int{bounds.LowestTier, bounds.LeastUrgent}, qt.DeepEquals, []int{test.tier, test.leastUrgent})
		})
	}
}

// TestUnprocessedTokensDependOnHolder requests a prefix without a holder, a prefix held by the endpoint, and a prefix
// held by another endpoint.
func TestUnprocessedTokensDependOnHolder(t *testing.T) {
	three := entries("e1", "e2", "e3")
	tests := map[string]struct {
		holder string
		unread int
	}{
		"no holder":                            {"", 12_000},
		"the endpoint holds it":                {"e1", 2000},
		"another endpoint holds it":            {"e2", 12_000},
		"an endpoint that was removed held it": {"e9", 12_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			if test.holder != "" {
				v.holders.Record(start, Holder{Prefix: 7, Endpoint: keys.OfEndpoint(test.holder)})
			}
			q := v.newQuery(start, long(7), &pool{service: "llm", endpoints: three}, three)
			qt.Check(t, v.evaluate(q, three[0]).Tokens, qt.Equals, test.unread)
		})
	}
}

func TestSampleSize(t *testing.T) {
	tests := map[string]struct {
		endpoints int
		unseen    float64
		want      int
	}{
		"no unseen requests: all endpoints":     {320, 0, 320},
		"a small fleet: all endpoints":          {9, 0.8, 9},
		"about one unseen request per endpoint": {90, 9, 10},
		"many unseen requests: the minimum":     {96, 100, 2},
		"no more than the number of endpoints":  {1, 100, 1},
		"a small fleet: some endpoints":         {9, 3, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, sampleSize(test.endpoints, test.unseen), qt.Equals, test.want)
		})
	}
}

// TestHostsWithEqualStaleLoadsSpread has 295 hosts each send a short prompt to one of 96 endpoints by the same sum, in
// which one endpoint has less load than the others. Without sampling all 295 choose that endpoint.
func TestHostsWithEqualStaleLoadsSpread(t *testing.T) {
	const hosts, number, maxWithSampling = 295, 96, 30
	ids := make([]string, number)
	loads := make(map[keys.Endpoint]Load, number)
	for n := range ids {
		ids[n] = fmt.Sprintf("e%02d", n)
		loads[keys.OfEndpoint(ids[n])] = Load{Requests: 8, Tokens: 600}
	}
	delete(loads, keys.OfEndpoint("e07"))
	all := entries(ids...)
	tests := map[string]struct {
		samples                  bool
		minRequests, maxRequests int
	}{
		"all endpoints are compared": {false, hosts, hosts},
		"samples":                    {true, 1, maxWithSampling},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sent := make(map[string]int)
			for host := range hosts {
				v := NewView()
				if test.samples {
					v.random = rand.New(rand.NewPCG(uint64(host), 1)).Float64
				}
				v.loads.SetSum(start, Part{Of: 1}, loads)
				engines := v.engines.get(keys.OfService("llm"))
				engines.SetSum(start, engine.Report{Traffic: engine.Traffic{1: {Requests: 2000, Prompt: 2_800_000, Unread: 2_800_000, Open: 400}}})
				engines.Refresh(start, &engine.Fleet{Endpoints: number, Slots: 32, Hosts: hosts})
				sent[v.chooseCandidate(short(), all).Endpoint]++
			}
			busiest := slices.Max(slices.Collect(maps.Values(sent)))
			c.Check(busiest >= test.minRequests && busiest <= test.maxRequests, qt.IsTrue, qt.Commentf("%d", busiest))
		})
	}
}

// TestSumPartsAreReplacedSeparately replaces the sum of the other hosts' loads part by part.
func TestSumPartsAreReplacedSeparately(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	first := keys.OfEndpoint("e1")
	part := Part{Number: int(first % 2), Of: 2}
	v.loads.SetSum(start, part, map[keys.Endpoint]Load{first: {Requests: 3}})
	v.loads.Begin("e1", 100)
	c.Check(v.loads.Total("e1"), qt.Equals, Load{Requests: 4, Tokens: 100})
	v.loads.SetSum(start, Part{Number: 1 - part.Number, Of: 2}, nil)
	c.Check(v.loads.Total("e1").Requests, qt.Equals, 4, qt.Commentf("another part changes nothing"))
	v.loads.SetSum(start, Part{Number: 2, Of: 2}, nil)
	v.loads.SetSum(start, Part{Number: 0, Of: maxParts + 1}, nil)
	c.Check(v.loads.Total("e1").Requests, qt.Equals, 4, qt.Commentf("invalid parts are ignored"))
	v.Expire(start.Add(engine.SumTimeout + 1))
	c.Check(v.loads.Total("e1").Requests, qt.Equals, 1, qt.Commentf("the sum has expired"))
	c.Check(v.meanLoadAge(), qt.Equals, meanPeerAgePerHost, qt.Commentf("without a valid sum, hosts report to each other"))
}

// TestLongPromptsAvoidBusyShortEndpoints overloads the endpoints for long prompts: long prompts must not move to
// endpoints that run many short streams.
func TestLongPromptsAvoidBusyShortEndpoints(t *testing.T) {
	c := qt.New(t)
	all := entries("e1", "e2", "e3", "e4")
	v, number := splitView(c, all)
	set := shortSetOf(all, number, nil)
	for _, e := range all {
		if set[e.ID] {
			for range 16 {
				v.loads.Begin(e.ID, 0)
			}
			continue
		}
		for range 30 {
			v.loads.Begin(e.ID, 10_000)
		}
	}
	request := long(7)
	request.FirstToken = time.Second
	c.Check(set[v.chooseCandidate(request, all).Endpoint], qt.IsFalse)
}

// TestResetEndpointHoldsNoPrefix restarts an endpoint that was ejected and held a prefix under the same ID.
func TestResetEndpointHoldsNoPrefix(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := New(Parts{
		Directory: d, Rejections: pushback.NewRejections(time.Now), Failures: pushback.NewFailures(time.Now), Log: logrus.NewEntry(log),
		Clock: func() time.Time { return start }, Random: func() float64 { return 0 }, Changed: func() {},
	})
	key := keys.OfEndpoint("e1")
	p.SetPeer("peer", PeerReport{Holders: []Holder{{Prefix: 7, Endpoint: key}}, Ejected: map[keys.Endpoint]time.Time{key: start.Add(time.Minute)}})
	p.RecordFailure("e1", false, errors.New("refused"))
	c.Check(p.view.ejections.isEjected(start, "e1"), qt.IsTrue)
	p.ResetEndpoint("e1")
	c.Check(p.view.ejections.isEjected(start, "e1"), qt.IsFalse)
	c.Check(p.view.holders[7], qt.HasLen, 0)
}
