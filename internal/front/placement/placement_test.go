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

const slots = 64

func entries(ids ...string) []*directory.Entry {
	list := make([]*directory.Entry, 0, len(ids))
	for _, id := range ids {
		list = append(list, &directory.Entry{ID: id, Endpoint: settings.Endpoint{Zone: "a", Service: "llm", MaxInFlight: slots, State: settings.StateIn}})
	}
	return list
}

// short is a request without a shared prefix worth keeping, long one with 10,000
// shared tokens of 12,000.
func short() *admission.Request {
	return &admission.Request{ID: "short", Class: "short", Zone: "a", PromptTokens: 500}
}

func long(prefix uint64) *admission.Request {
	return &admission.Request{
		ID: "long", Class: "long", Zone: "a", PromptTokens: 12_000, Prefix: []uint64{prefix, prefix + 1}, PrefixTokens: []int{10_000, 12_000},
	}
}

func (v *View) choose(request *admission.Request, endpoints []*directory.Entry) Choice {
	choice, _ := v.Choose(start, "llm", request, endpoints, v.candidates(start, request, endpoints), nil)
	return choice
}

func TestChoose(t *testing.T) {
	three := entries("e1", "e2", "e3")
	preferred := NewView().choose(long(7), three).Endpoint
	other := "e1"
	if preferred == other {
		other = "e2"
	}
	tests := map[string]struct {
		prepare func(b *View)
		request *admission.Request
		want    string
	}{
		"a short prompt goes to the least work": {
			func(b *View) { b.loads.Begin("e1", 100); b.loads.Begin("e2", 5000) }, short(), "e3",
		},
		"work of peers counts": {
			func(b *View) {
				b.loads.SetPeer(start, "p", map[keys.Endpoint]Load{keys.OfEndpoint("e1"): {Requests: 30}, keys.OfEndpoint("e3"): {Tokens: 9000}})
			}, short(), "e2",
		},
		"a peer's last word counts": {
			func(b *View) {
				b.loads.SetPeer(start, "p", map[keys.Endpoint]Load{keys.OfEndpoint("e2"): {Requests: 50}})
				b.loads.SetPeer(start, "p", map[keys.Endpoint]Load{keys.OfEndpoint("e1"): {Requests: 30}, keys.OfEndpoint("e3"): {Tokens: 9000}})
			}, short(), "e2",
		},
		"work of a peer that left does not count": {
			func(b *View) {
				b.loads.SetPeer(start, "p", map[keys.Endpoint]Load{keys.OfEndpoint("e1"): {Requests: 30}})
				b.loads.DropPeer("p")
				b.loads.Begin("e2", 0)
				b.loads.Begin("e3", 0)
			}, short(), "e1",
		},
		"work of a peer that fell silent does not": {
			func(b *View) {
				b.loads.SetPeer(start.Add(-time.Minute), "p", map[keys.Endpoint]Load{keys.OfEndpoint("e1"): {Requests: 30}})
				b.Expire(start)
				b.loads.Begin("e2", 0)
				b.loads.Begin("e3", 0)
			}, short(), "e1",
		},
		"a long prompt goes to its preferred endpoint past some work": {
			func(b *View) {
				b.holders.Record(start, Holder{Prefix: 7, Endpoint: keys.OfEndpoint(preferred)})
				b.loads.Begin(preferred, 20_000)
			}, long(7), preferred,
		},
		"one that nobody holds goes there past less": {
			func(b *View) { b.loads.Begin(preferred, 8000) }, long(7), preferred,
		},
		"one that nobody holds is read elsewhere past more work than its prefix": {
			func(b *View) { b.loads.Begin(preferred, 20_000); b.loads.Begin(third(preferred, other), 1000) }, long(7), other,
		},
		"a long prompt goes where it was sent": {
			func(b *View) {
				b.holders.Record(start, Holder{Prefix: 7, Endpoint: keys.OfEndpoint(other)})
			}, long(7), other,
		},
		"a preferred endpoint far behind is left": {
			func(b *View) { b.loads.Begin(preferred, 60_000); b.loads.Begin(third(preferred, other), 1000) }, long(7), other,
		},
		"an ejected preferred endpoint is left": {
			func(b *View) {
				b.ejections.Failed(start, preferred, false)
				b.loads.Begin(third(preferred, other), 60_000)
			}, long(7), other,
		},
		"a preferred endpoint that a peer ejected is left": {
			func(b *View) {
				b.ejections.RecordPeerEjection(keys.OfEndpoint(preferred), start.Add(time.Second))
				b.loads.Begin(third(preferred, other), 60_000)
			}, long(7), other,
		},
		"all paused: one is used all the same": {
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
			qt.Check(t, b.choose(test.request, three).Endpoint, qt.Equals, test.want)
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

func TestAvoidedEndpointsAreTheLastResort(t *testing.T) {
	request := short()
	request.Avoid = []string{"e1", "e2"}
	qt.Check(t, NewView().choose(request, entries("e1", "e2", "e3")).Endpoint, qt.Equals, "e3")
	qt.Check(t, NewView().choose(request, entries("e1")).Endpoint, qt.Equals, "e1")
}

func TestAllHostsFindTheSamePreferredEndpoint(t *testing.T) {
	for prefix := range uint64(100) {
		first := NewView().choose(long(prefix*977), entries("e1", "e2", "e3", "e4", "e5")).Endpoint
		second := NewView().choose(long(prefix*977), entries("e5", "e3", "e1", "e4", "e2")).Endpoint
		qt.Assert(t, first, qt.Equals, second)
	}
}

// split returns a view in which long prompts harm the streams of short ones, and a number of endpoints
// is kept for the latter.
func split(c *qt.C, endpoints []*directory.Entry) (*View, int) {
	v := NewView()
	engines := v.engines.get(keys.OfService("llm"))
	for range 4 {
		engines.RecordArrival(start, engine.Arrival{Class: keys.OfClass("long"), Prompt: 12_000, Unread: 12_000})
		engines.RecordEnd(keys.OfClass("long"))
		engines.RecordArrival(start, engine.Arrival{Class: keys.OfClass("short"), Prompt: 500, Unread: 500})
	}
	target := engine.Targets{First: time.Second, Pause: 150 * time.Millisecond}
	engines.Refresh(start, &engine.Fleet{
		Endpoints: len(endpoints), Slots: slots, Hosts: 1,
		Targets: map[keys.Class]engine.Targets{keys.OfClass("long"): {First: time.Second, Pause: time.Second}, keys.OfClass("short"): target},
	})
	c.Assert(engines.IsLong(keys.OfClass("long")), qt.IsTrue)
	c.Assert(engines.IsLong(keys.OfClass("short")), qt.IsFalse)
	return v, engines.ShortEndpoints()
}

func TestPartitions(t *testing.T) {
	c := qt.New(t)
	all := entries("e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9")
	v, number := split(c, all)
	c.Assert(number > 0 && number < len(all), qt.IsTrue)
	kept := shortSetOf(all, number)
	for prefix := range uint64(50) {
		c.Check(kept[v.choose(long(prefix*977), all).Endpoint], qt.IsFalse)
	}
	c.Check(kept[v.choose(short(), all).Endpoint], qt.IsTrue)
	// A short prompt leaves its partition only when that has no slots left.
	for id := range kept {
		for range slots {
			v.loads.Begin(id, 0)
		}
	}
	c.Check(kept[v.choose(short(), all).Endpoint], qt.IsFalse)
	alone := entries("e1")
	c.Check(v.choose(long(7), alone).Endpoint, qt.Equals, "e1")
	c.Check(v.choose(short(), alone).Endpoint, qt.Equals, "e1")
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

// TestMoreWorkNeverCostsLess adds work to an endpoint and compares its cost.
func TestMoreWorkNeverCostsLess(t *testing.T) {
	c := qt.New(t)
	all := entries("e1", "e2", "e3", "e4")
	v, _ := split(c, all)
	for _, request := range []*admission.Request{short(), long(7)} {
		request.FirstToken = time.Second
		before := math.MinInt
		for range 80 {
			q := v.newQuery(start, "llm", request, all, all)
			cost := v.weigh(q, all[0]).Cost
			c.Check(cost >= before, qt.IsTrue)
			before = cost
			v.loads.Begin("e1", 700)
		}
	}
}

func TestSource(t *testing.T) {
	three := entries("e1", "e2", "e3")
	tests := map[string]struct {
		held    []string
		ejected []string
		to      string
		want    string
	}{
		"nobody holds it":        {nil, nil, "e1", ""},
		"it holds it itself":     {[]string{"e1", "e2"}, nil, "e1", ""},
		"another holds it":       {[]string{"e2"}, nil, "e1", "e2"},
		"the last one is asked":  {[]string{"e3", "e2"}, nil, "e1", "e2"},
		"one that failed is not": {[]string{"e3", "e2"}, []string{"e2"}, "e1", "e3"},
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
			qt.Check(t, b.fetchFrom(start, &q, test.to, three), qt.Equals, test.want)
		})
	}
}

func TestEjectionsGrowAndEnd(t *testing.T) {
	c := qt.New(t)
	b := NewView()
	failed := func(after time.Duration) time.Time {
		return b.ejections.Failed(start.Add(after), "e1", false).Until
	}
	c.Check(failed(0), qt.Equals, start.Add(time.Second))
	c.Check(failed(time.Millisecond), qt.Equals, start.Add(time.Second), qt.Commentf("failures under way together are one"))
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
		"least urgent, half of the places taken": {1, 2, 32, true},
		"least urgent, more taken":               {1, 2, 36, false},
		"more urgent, as many taken":             {1, 1, 36, true},
		"more urgent, nearly all taken":          {1, 1, 60, false},
		"most urgent, all taken":                 {1, 0, 100, true},
		"a higher tier, a few more taken":        {0, 2, 38, true},
		"the lowest tier, as many taken":         {1, 2, 38, false},
		"a higher tier, all taken":               {0, 2, 100, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := short()
			request.Tier, request.Urgency = test.tier, test.urgency
			qt.Check(t, bounds.admits(request, slots, test.open), qt.Equals, test.want)
		})
	}
}

// TestAHopelessWaitIsRefused has a less urgent request whose answer would begin after its caller has given
// up, and one that is urgent.
func TestAHopelessWaitIsRefused(t *testing.T) {
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
			qt.Check(t, bounds.admitsChoice(request, &Choice{Slots: slots, PredictedFirstEvent: test.first}), qt.Equals, test.want)
		})
	}
}

func TestWhenToComeBack(t *testing.T) {
	tests := map[string]struct {
		reason admission.Reason
		first  time.Duration
		random float64
		want   time.Duration
	}{
		"when what waits is read":  {admission.ReasonNoRoom, 2 * time.Second, 0, 2 * time.Second},
		"others a little later":    {admission.ReasonNoRoom, 2 * time.Second, 1, 3 * time.Second},
		"not at once":              {admission.ReasonNoRoom, 0, 0, leastRoomRetry},
		"not after a minute":       {admission.ReasonNoRoom, time.Minute, 0, mostRoomRetry},
		"when an endpoint is back": {admission.ReasonNoEndpoint, time.Minute, 1, noEndpointRetry},
		"when one has rested":      {admission.ReasonResting, 0, 1, 7 * time.Second},
		"when a permit is left":    {admission.ReasonLimited, 0, 0, 7 * time.Second},
		"not all at once":          {admission.ReasonLimited, 0, 1, 10500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, retryAfter(start, test.reason, &Choice{PredictedFirstEvent: test.first, AvailableAt: start.Add(7 * time.Second)}, test.random), qt.Equals, test.want)
		})
	}
}

// alone is a fleet of one host.
type alone struct{}

func (alone) Senders() []envelope.Sender        { return []envelope.Sender{{Host: "self"}} }
func (alone) IsSettled() bool                   { return true }
func (alone) SendTo(string, envelope.Kind, any) {}

// noLimits returns what keeps to limits where none is known.
func noLimits(clock func() time.Time) *ratelimit.Limiter {
	return keepingTo(pushback.NewLimits(clock), clock)
}

// keepingTo returns what keeps to limits in a fleet of one host.
func keepingTo(limits *pushback.Limits, clock func() time.Time) *ratelimit.Limiter {
	return ratelimit.New(ratelimit.Parts{
		Limits: limits, Lender: ratelimit.NewLender(limits, clock), Peers: alone{}, CountPermit: func(counters.PermitResult) {},
		Log: logrus.NewEntry(logrus.New()), Clock: clock, Random: func() float64 { return 0 },
	})
}

func newPlacer(clock func() time.Time) *Placer {
	d := directory.New()
	changes := []directory.Change{}
	for _, e := range entries("e1", "e2") {
		changes = append(changes, directory.Change{Entry: *e})
	}
	d.Apply(1, changes)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New(d, pushback.NewRests(clock, func() float64 { return 0 }), pushback.NewRejections(clock), pushback.NewFailures(clock), noLimits(clock), logrus.NewEntry(log), clock, func() float64 { return 0 }, func() {})
	least := 2
	s.SetSettings(&settings.Tree{Root: settings.Root{Classes: map[string]settings.Class{"c": {Values: settings.Values{Urgency: &least}}}}})
	return s
}

// filled books as many requests at both endpoints.
func filled(s *Placer, open int) {
	for range open {
		s.view.loads.Begin("e1", 0)
		s.view.loads.Begin("e2", 0)
	}
}

func TestTheLeastUrgentAreRefusedFirst(t *testing.T) {
	c := qt.New(t)
	// Each look at the clock is 100 ms later, so that the wait for room ends.
	now := start
	s := newPlacer(func() time.Time { now = now.Add(100 * time.Millisecond); return now })
	filled(s, 40)
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

// TestWhereAllEndpointsRest refuses at once with the true time, or waits if the rest of one ends in time.
func TestWhereAllEndpointsRest(t *testing.T) {
	tests := map[string]struct {
		rests map[string]time.Duration
		want  admission.Decision
	}{
		"one does not":         {map[string]time.Duration{"e1": time.Hour}, admission.Decision{Kind: admission.Grant, Endpoint: "e2"}},
		"one ends in time":     {map[string]time.Duration{"e1": time.Hour, "e2": 100 * time.Millisecond}, admission.Decision{Kind: admission.Grant, Endpoint: "e2"}},
		"the first ends later": {map[string]time.Duration{"e1": 3 * time.Second, "e2": 2 * time.Second}, admission.Decision{Kind: admission.Refuse, Reason: admission.ReasonResting, RetryAfter: 2 * time.Second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			// Time goes on while the placer waits.
			now := start
			looks := 0
			s := newPlacer(func() time.Time {
				if looks++; looks%10 == 0 {
					now = now.Add(20 * time.Millisecond)
				}
				return now
			})
			for id, span := range test.rests {
				s.rests.Begin(pushback.Instance{ID: id}, span)
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

// TestWhereEndpointsAreLimited has endpoints that have named a limit: another is chosen where there is one, a request waits
// for a permit where there is none and one comes in time, and is refused with the true time where it doesn't.
func TestWhereEndpointsAreLimited(t *testing.T) {
	tests := map[string]struct {
		limits   map[string]float64
		ejected  string
		want     admission.Kind
		reason   admission.Reason
		endpoint string
		after    time.Duration
	}{
		"one is not":                      {map[string]float64{"e1": 0.5}, "", admission.Grant, admission.ReasonPlaced, "e2", 0},
		"the other is ejected":            {map[string]float64{"e1": 0.5}, "e2", admission.Grant, admission.ReasonPlaced, "e2", 0},
		"a permit comes in time":          {map[string]float64{"e1": 0.5, "e2": 20}, "", admission.Grant, admission.ReasonPlaced, "e2", 0},
		"the first permit comes too late": {map[string]float64{"e1": 0.5, "e2": 0.3}, "", admission.Refuse, admission.ReasonLimited, "", 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			limits := pushback.NewLimits(time.Now)
			s := newPlacer(time.Now)
			s.limiter = keepingTo(limits, time.Now)
			done := make(chan struct{})
			defer close(done)
			go s.limiter.Run(done)
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

// TestAGrantFromBeforeALimit is not sent once the endpoint has named one.
func TestAGrantFromBeforeALimit(t *testing.T) {
	c := qt.New(t)
	limits := pushback.NewLimits(time.Now)
	s := newPlacer(time.Now)
	s.limiter = keepingTo(limits, time.Now)
	ticket, got, err := s.Ask(context.Background(), "llm", *short())
	c.Assert(err, qt.IsNil)
	c.Check(ticket.MaySend(), qt.IsTrue)
	limits.Record(pushback.Instance{ID: got.Endpoint}, pushback.Limit{IsSet: true, PerSecond: 1}, time.Now())
	c.Check(ticket.MaySend(), qt.IsFalse)
}

// TestAnEndpointThatFails gets nothing while another takes requests, and one whose peers fail as much what it would get.
func TestAnEndpointThatFails(t *testing.T) {
	tests := map[string]struct {
		// failed are the failures of each endpoint, of 10 requests of a class.
		failed map[string]uint
		class  string
		// ahead is the number of prompt tokens that e2 has to read.
		ahead int
		want  string
	}{
		"nothing fails":                    {nil, "c", 1000, "e1"},
		"all fails":                        {map[string]uint{"e1": 10}, "c", 50_000, "e2"},
		"half fails":                       {map[string]uint{"e1": 5}, "c", 20_000, "e2"},
		"one by chance":                    {map[string]uint{"e1": 1}, "c", 1000, "e1"},
		"another class is not tried there": {map[string]uint{"e1": 10}, "d", 20_000, "e2"},
		"both fail the class as much":      {map[string]uint{"e1": 8, "e2": 8}, "c", 1000, "e1"},
		"both fail another class as much":  {map[string]uint{"e1": 8, "e2": 8}, "d", 1000, "e1"},
		"the other fails more":             {map[string]uint{"e1": 2, "e2": 10}, "c", 0, "e1"},
		"it is worth the risk in the end":  {map[string]uint{"e1": 4}, "c", 400_000, "e1"},
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

// TestEqualEndpoints has endpoints that are equal get as many requests each.
func TestEqualEndpoints(t *testing.T) {
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

// TestAnEndpointThatRejects gets what is worth the risk: nothing while another has little to do, and prompts again once
// that one is loaded.
func TestAnEndpointThatRejects(t *testing.T) {
	tests := map[string]struct {
		rejected, taken uint
		// ahead is the number of prompt tokens that the other endpoint has to read.
		ahead int
		want  string
	}{
		"none of many":                     {0, 100, 1000, "e1"},
		"one of few":                       {1, 0, 1000, "e2"},
		"half, and the other is loaded":    {50, 50, 20_000, "e2"},
		"a tenth, and the other is loaded": {10, 90, 20_000, "e1"},
		"half, and the other is full":      {50, 50, 40_000, "e1"},
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

// TestWhenToComeBackAfterARejection has both endpoints reject: a caller comes back at once where the next request may well
// be taken, and later where none is.
func TestWhenToComeBackAfterARejection(t *testing.T) {
	tests := map[string]struct {
		rejected, taken uint
		least, most     time.Duration
	}{
		"none":        {0, 100, 0, 0},
		"four in ten": {40, 60, 350 * time.Millisecond, 450 * time.Millisecond},
		"all":         {100, 0, 950 * time.Millisecond, rejectedRetry},
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
			c.Check(got.RetryAfter >= test.least && got.RetryAfter <= test.most, qt.IsTrue, qt.Commentf("%v", got.RetryAfter))
		})
	}
}

func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	s := newPlacer(func() time.Time { return start })
	_, decision, err := s.Ask(context.Background(), "nothing", *short())
	c.Assert(err, qt.IsNil)
	c.Check(decision.Kind, qt.Equals, admission.Refuse)
	c.Check(decision.Reason, qt.Equals, admission.ReasonNoEndpoint)
}

func TestATicketGivesItsWorkBack(t *testing.T) {
	c := qt.New(t)
	s := newPlacer(func() time.Time { return start })
	ticket, _, err := s.Ask(context.Background(), "llm", *long(7))
	c.Assert(err, qt.IsNil)
	loads, _ := s.Snapshot()
	c.Assert(loads, qt.HasLen, 1)
	for _, load := range loads {
		c.Check(load, qt.Equals, Load{Requests: 1, Tokens: 12_000}, qt.Commentf("nobody holds the prefix: the whole prompt is to be read"))
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

func TestANewHolderIsReportedInSomeHeartbeats(t *testing.T) {
	c := qt.New(t)
	s := newPlacer(func() time.Time { return start })
	for range 2 {
		_, _, err := s.Ask(context.Background(), "llm", *long(7))
		c.Assert(err, qt.IsNil)
	}
	for range holderReports {
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

func TestOneBrokenCallAloneIsNoEjection(t *testing.T) {
	tests := map[string]struct {
		prepare func(b *View)
		want    bool
	}{
		"alone":        {func(b *View) { b.ejections.Failed(start, "e1", true) }, false},
		"two together": {func(b *View) { b.ejections.Failed(start, "e1", true); b.ejections.Failed(start, "e1", true) }, true},
		"two, far apart": {func(b *View) {
			b.ejections.Failed(start.Add(-time.Minute), "e1", true)
			b.ejections.Failed(start, "e1", true)
		}, false},
		"two, an answer between": {func(b *View) {
			b.ejections.Failed(start, "e1", true)
			b.ejections.Answered("e1")
			b.ejections.Failed(start, "e1", true)
		}, false},
		"not reached":              {func(b *View) { b.ejections.Failed(start, "e1", false) }, true},
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
		tree        settings.Tree
		tier, least int
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
			qt.Check(t, []int{bounds.LowestTier, bounds.LeastUrgent}, qt.DeepEquals, []int{test.tier, test.least})
		})
	}
}

// TestAPromptCountsAsUnreadWithoutAHolder asks for a prefix that nobody holds, that this endpoint holds, and that
// another one holds.
func TestAPromptCountsAsUnreadWithoutAHolder(t *testing.T) {
	three := entries("e1", "e2", "e3")
	tests := map[string]struct {
		holder string
		unread int
	}{
		"nobody holds it":          {"", 12_000},
		"the endpoint holds it":    {"e1", 2000},
		"only another one does":    {"e2", 12_000},
		"one that is gone held it": {"e9", 12_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			if test.holder != "" {
				v.holders.Record(start, Holder{Prefix: 7, Endpoint: keys.OfEndpoint(test.holder)})
			}
			q := v.newQuery(start, "llm", long(7), three, three)
			qt.Check(t, v.weigh(q, three[0]).Tokens, qt.Equals, test.unread)
		})
	}
}

func TestSampleSize(t *testing.T) {
	tests := map[string]struct {
		endpoints int
		unseen    float64
		want      int
	}{
		"nothing is unseen: all":      {320, 0, 320},
		"a small fleet: all":          {9, 0.8, 9},
		"about one goes to each":      {90, 9, 10},
		"many are unseen: two":        {96, 100, 2},
		"never more than there are":   {1, 100, 1},
		"a part of the endpoints too": {9, 3, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, sampleSize(test.endpoints, test.unseen), qt.Equals, test.want)
		})
	}
}

// TestHostsWithTheSameOldLoadsSpread replays 295 hosts that each send a short prompt to one of 96 endpoints, all
// by the same sum, in which one endpoint has less work than the others. Without samples all 295 go there.
func TestHostsWithTheSameOldLoadsSpread(t *testing.T) {
	const hosts, number, most = 295, 96, 30
	ids := make([]string, number)
	loads := make(map[keys.Endpoint]Load, number)
	for n := range ids {
		ids[n] = fmt.Sprintf("e%02d", n)
		loads[keys.OfEndpoint(ids[n])] = Load{Requests: 8, Tokens: 600}
	}
	delete(loads, keys.OfEndpoint("e07"))
	all := entries(ids...)
	tests := map[string]struct {
		samples     bool
		least, most int
	}{
		"all endpoints are compared": {false, hosts, hosts},
		"samples":                    {true, 1, most},
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
				sent[v.choose(short(), all).Endpoint]++
			}
			busiest := slices.Max(slices.Collect(maps.Values(sent)))
			c.Check(busiest >= test.least && busiest <= test.most, qt.IsTrue, qt.Commentf("%d", busiest))
		})
	}
}

// TestSumsInParts replaces the sum of the other hosts, part by part.
func TestSumsInParts(t *testing.T) {
	c := qt.New(t)
	v := NewView()
	first := keys.OfEndpoint("e1")
	part := Part{Number: int(first % 2), Of: 2}
	v.loads.SetSum(start, part, map[keys.Endpoint]Load{first: {Requests: 3}})
	v.loads.Begin("e1", 100)
	c.Check(v.loads.Total("e1"), qt.Equals, Load{Requests: 4, Tokens: 100})
	v.loads.SetSum(start, Part{Number: 1 - part.Number, Of: 2}, nil)
	c.Check(v.loads.Total("e1").Requests, qt.Equals, 4, qt.Commentf("the other part changes nothing"))
	v.loads.SetSum(start, Part{Number: 2, Of: 2}, nil)
	v.loads.SetSum(start, Part{Number: 0, Of: mostParts + 1}, nil)
	c.Check(v.loads.Total("e1").Requests, qt.Equals, 4, qt.Commentf("no such part"))
	v.Expire(start.Add(engine.SumTimeout + 1))
	c.Check(v.loads.Total("e1").Requests, qt.Equals, 1, qt.Commentf("too old"))
	c.Check(v.unseenTime(), qt.Equals, peerAgePerHost, qt.Commentf("what is too old is no sum any more"))
}

// TestLongPromptsStayOutOfBusyShortEndpoints replays an overload of long prompts: where their own endpoints are all
// late, they must not go where many short streams run.
func TestLongPromptsStayOutOfBusyShortEndpoints(t *testing.T) {
	c := qt.New(t)
	all := entries("e1", "e2", "e3", "e4")
	v, number := split(c, all)
	set := shortSetOf(all, number)
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
	c.Check(set[v.choose(request, all).Endpoint], qt.IsFalse)
}

// TestAnEndpointThatStartsAgainHoldsNothing has an endpoint that was ejected and held a prefix start again under its ID.
func TestAnEndpointThatStartsAgainHoldsNothing(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := New(d, nil, pushback.NewRejections(time.Now), pushback.NewFailures(time.Now), nil, logrus.NewEntry(log), func() time.Time { return start }, func() float64 { return 0 }, func() {})
	key := keys.OfEndpoint("e1")
	p.SetPeer("peer", PeerReport{Holders: []Holder{{Prefix: 7, Endpoint: key}}, Ejected: map[keys.Endpoint]time.Time{key: start.Add(time.Minute)}})
	p.RecordFailure("e1", false, errors.New("refused"))
	c.Check(p.view.ejections.isEjected(start, "e1"), qt.IsTrue)
	p.ResetEndpoint("e1")
	c.Check(p.view.ejections.isEjected(start, "e1"), qt.IsFalse)
	c.Check(p.view.holders[7], qt.HasLen, 0)
}
