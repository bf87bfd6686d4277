package schedule

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoints(n, slots int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("e%d", i), Zone: "a", MaxInFlight: slots})
	}
	return list
}

// grants returns the IDs granted by the decisions so far.
func grants(s *Scheduler) []string {
	var ids []string
	for _, d := range s.TakeDecisions() {
		if d.Kind == admission.Grant {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

// TestGrantOrder fills a shard that has one slot, then frees the slot repeatedly and checks which request
// gets it.
func TestGrantOrder(t *testing.T) {
	tests := map[string]struct {
		waiting []admission.Request
		want    []string
	}{
		"higher tiers first": {
			waiting: []admission.Request{{ID: "low", Class: "x", Tier: 2}, {ID: "high", Class: "y", Tier: 0}, {ID: "middle", Class: "z", Tier: 1}},
			want:    []string{"high", "middle", "low"},
		},
		"first come, first served within a flow": {
			waiting: []admission.Request{{ID: "1", Class: "x"}, {ID: "2", Class: "x"}, {ID: "3", Class: "x"}},
			want:    []string{"1", "2", "3"},
		},
		"workspaces take turns": {
			waiting: []admission.Request{
				{ID: "a1", Workspace: "a", Class: "x"},
				{ID: "a2", Workspace: "a", Class: "x"},
				{ID: "a3", Workspace: "a", Class: "x"},
				{ID: "b1", Workspace: "b", Class: "x"},
			},
			want: []string{"a1", "b1", "a2", "a3"},
		},
		"slots are divided by weight": {
			waiting: []admission.Request{
				{ID: "a1", Workspace: "a", Class: "x"},
				{ID: "a2", Workspace: "a", Class: "x"},
				{ID: "b1", Workspace: "b", Class: "x", Weight: 3},
				{ID: "b2", Workspace: "b", Class: "x", Weight: 3},
				{ID: "b3", Workspace: "b", Class: "x", Weight: 3},
			},
			want: []string{"a1", "b1", "b2", "b3", "a2"},
		},
		"a due share goes before a higher tier": {
			waiting: []admission.Request{
				{ID: "h1", Class: "x", Tier: 0},
				{ID: "h2", Class: "x", Tier: 0},
				{ID: "h3", Class: "x", Tier: 0},
				{ID: "h4", Class: "x", Tier: 0},
				{ID: "low", Class: "y", Tier: 3, Share: 0.4},
			},
			want: []string{"h1", "h2", "h3", "low", "h4"},
		},
		"the earlier deadline first within a workspace": {
			waiting: []admission.Request{{ID: "slow", Class: "x", FirstToken: time.Minute}, {ID: "soon", Class: "y", FirstToken: time.Second}},
			want:    []string{"soon", "slow"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := New(Options{})
			s.SetEndpoints(start, endpoints(1, 1))
			s.Submit(start, admission.Request{ID: "first", Class: "first", Arrived: start})
			c.Assert(grants(s), qt.DeepEquals, []string{"first"})
			for _, r := range test.waiting {
				r.Arrived = start
				s.Submit(start, r)
			}
			now, running := start, "first"
			for _, want := range test.want {
				now = now.Add(time.Millisecond)
				s.RecordStart(now, running)
				s.RecordEnd(now, running, admission.Answered, 0)
				c.Assert(grants(s), qt.DeepEquals, []string{want})
				running = want
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		options Options
		// none leaves the shard without endpoints.
		none     bool
		requests []admission.Request
		after    time.Duration
		want     []string
	}{
		"no endpoint": {
			none: true, requests: []admission.Request{{ID: "1"}}, want: []string{"1 " + string(admission.ReasonNoEndpoint)},
		},
		"full: the new request of the same workspace is refused": {
			options: Options{MaxWaiting: 1}, requests: []admission.Request{{ID: "1"}, {ID: "2"}}, want: []string{"2 " + string(admission.ReasonNoRoom)},
		},
		"full: a request of a lower tier is shed": {
			options: Options{MaxWaiting: 1}, requests: []admission.Request{{ID: "1", Tier: 2}, {ID: "2", Tier: 1}}, want: []string{"1 " + string(admission.ReasonNoRoom)},
		},
		"full: a request of a higher tier stays": {
			options: Options{MaxWaiting: 1}, requests: []admission.Request{{ID: "1", Tier: 1}, {ID: "2", Tier: 2}}, want: []string{"2 " + string(admission.ReasonNoRoom)},
		},
		"full: the newest request of the largest workspace is shed": {
			options:  Options{MaxWaiting: 2},
			requests: []admission.Request{{ID: "a1", Workspace: "a"}, {ID: "a2", Workspace: "a"}, {ID: "b1", Workspace: "b"}},
			want:     []string{"a2 " + string(admission.ReasonNoRoom)},
		},
		"the workspace's own limit of waiting requests": {
			requests: []admission.Request{{ID: "1", MaxWaiting: 1}, {ID: "2", MaxWaiting: 1}}, want: []string{"2 " + string(admission.ReasonWorkspaceRoom)},
		},
		"late, with late answers refused": {
			requests: []admission.Request{{ID: "1", FirstToken: time.Second, RefuseLate: true}}, after: 2 * time.Second, want: []string{"1 " + string(admission.ReasonTooLate)},
		},
		"late, with late answers accepted": {
			requests: []admission.Request{{ID: "1", FirstToken: time.Second}}, after: 2 * time.Second,
		},
		"maximum wait exceeded": {
			requests: []admission.Request{{ID: "1", MaxWait: time.Second}}, after: 2 * time.Second, want: []string{"1 " + string(admission.ReasonMaxWait)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := New(test.options)
			if !test.none {
				s.SetEndpoints(start, endpoints(1, 1))
				s.Submit(start, admission.Request{ID: "first", Workspace: "z", Arrived: start})
				s.RecordStart(start, "first")
				c.Assert(grants(s), qt.DeepEquals, []string{"first"})
			} else {
				s.SetEndpoints(start, nil)
			}
			var got []string
			for _, r := range test.requests {
				r.Arrived = start
				s.Submit(start, r)
			}
			s.Tick(start.Add(test.after))
			for _, d := range s.TakeDecisions() {
				c.Assert(d.Kind, qt.Equals, admission.Refuse)
				c.Assert(d.RetryAfter >= minRetryAfter, qt.IsTrue)
				got = append(got, d.ID+" "+string(d.Reason))
			}
			c.Assert(got, qt.DeepEquals, test.want)
		})
	}
}

// TestUnusedGrantExpires checks that the slot of a grant that is not used in time goes to the next request.
func TestUnusedGrantExpires(t *testing.T) {
	c := qt.New(t)
	s := New(Options{GrantTimeout: time.Second})
	s.SetEndpoints(start, endpoints(1, 1))
	s.Submit(start, admission.Request{ID: "1", Arrived: start})
	s.Submit(start, admission.Request{ID: "2", Arrived: start})
	c.Assert(grants(s), qt.DeepEquals, []string{"1"})
	s.Tick(start.Add(999 * time.Millisecond))
	c.Assert(grants(s), qt.HasLen, 0)
	s.Tick(start.Add(time.Second))
	c.Assert(grants(s), qt.DeepEquals, []string{"2"})
}

// TestRequestsWaitForFirstConfiguration submits a request to a scheduler whose endpoints have not been set
// yet.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	c := qt.New(t)
	s := New(Options{})
	s.Submit(start, admission.Request{ID: "1", Arrived: start})
	c.Assert(s.TakeDecisions(), qt.HasLen, 0)
	s.SetEndpoints(start, endpoints(1, 1))
	c.Assert(grants(s), qt.DeepEquals, []string{"1"})
}

// TestNextTickIsNotInThePast submits a retry that has exceeded its maximum wait. The next tick must not be in
// the past, or the time of a replay would go backwards.
func TestNextTickIsNotInThePast(t *testing.T) {
	c := qt.New(t)
	s := New(Options{})
	s.SetEndpoints(start, endpoints(1, 1))
	s.Submit(start, admission.Request{ID: "1", Arrived: start})
	now := start.Add(time.Hour)
	s.Submit(now, admission.Request{ID: "2", Arrived: start, MaxWait: time.Second, Retry: true})
	c.Assert(s.NextTick(now), qt.Equals, now)
}

// TestWorkspaceLimitBlocksOnlyItsWorkspace checks that the limit of one workspace does not delay the requests
// of another.
func TestWorkspaceLimitBlocksOnlyItsWorkspace(t *testing.T) {
	c := qt.New(t)
	s := New(Options{})
	s.SetEndpoints(start, endpoints(1, 100))
	for i := range 4 {
		s.Submit(start, admission.Request{ID: fmt.Sprintf("a%d", i), Workspace: "a", Class: "x", MaxInFlight: 2, Arrived: start})
	}
	s.Submit(start, admission.Request{ID: "b", Workspace: "b", Class: "x", Arrived: start})
	c.Assert(grants(s), qt.DeepEquals, []string{"a0", "a1", "b"})
	s.RecordStart(start, "a0")
	s.RecordEnd(start, "a0", admission.Answered, 10)
	c.Assert(grants(s), qt.DeepEquals, []string{"a2"})
}

func TestTokensPerMinuteDelaysGrant(t *testing.T) {
	c := qt.New(t)
	s := New(Options{})
	s.SetEndpoints(start, endpoints(1, 100))
	for i := range 3 {
		s.Submit(start, admission.Request{ID: fmt.Sprint(i), Workspace: "a", Class: "x", TokensPerMinute: 300, MaxTokens: 200, Arrived: start})
	}
	c.Assert(grants(s), qt.DeepEquals, []string{"0", "1"})
	s.RecordStart(start, "0")
	s.RecordStart(start, "1")
	s.Tick(start.Add(10 * time.Second))
	c.Assert(grants(s), qt.HasLen, 0)
	s.Tick(start.Add(30 * time.Second))
	c.Assert(grants(s), qt.DeepEquals, []string{"2"})
}

// TestSharesCostNoRefusal draws random loads in which shares take slots before higher tiers. No request of a
// higher tier may be refused for time while a slot is owed to it.
func TestSharesCostNoRefusal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{MaxWaiting: rapid.IntRange(2, 8).Draw(t, "room")})
		s.SetEndpoints(start, endpoints(1, rapid.IntRange(1, 3).Draw(t, "places")))
		now := start
		var running []string
		shareAt := map[int]time.Time{}
		arrived := map[string]admission.Request{}
		for i := range 120 {
			now = now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0, 1:
				r := admission.Request{
					ID: fmt.Sprint(i), Tier: rapid.IntRange(0, 3).Draw(t, "tier"), Arrived: now, Share: 0.2,
					FirstToken: 200 * time.Millisecond, RefuseLate: rapid.Bool().Draw(t, "refuse"), MaxWait: time.Second,
				}
				r.Class = fmt.Sprint("c", r.Tier)
				arrived[r.ID] = r
				s.Submit(now, r)
			case 2:
				if len(running) > 0 {
					s.RecordEnd(now, running[0], admission.Answered, 10)
					running = running[1:]
				}
			}
			s.Tick(now)
			for _, d := range s.TakeDecisions() {
				r := arrived[d.ID]
				switch {
				case d.Kind == admission.Grant:
					s.RecordStart(now, d.ID)
					running = append(running, d.ID)
					if d.Reason == admission.ReasonShare {
						shareAt[r.Tier] = now
					}
				case d.Kind == admission.Refuse:
					checkNoSlotOwed(t, s, &r, d.Reason, shareAt)
				}
			}
		}
	})
}

// checkNoSlotOwed fails if a request is refused for lack of capacity although a lower tier's share took a
// slot while the request waited, and that slot has not been repaid.
func checkNoSlotOwed(t *rapid.T, s *Scheduler, r *admission.Request, reason admission.Reason, shareAt map[int]time.Time) {
	if reason != admission.ReasonTooLate && reason != admission.ReasonMaxWait {
		return
	}
	for tier := r.Tier + 1; tier < Tiers; tier++ {
		if s.shares.owed[tier] > 0 && !r.Arrived.After(shareAt[tier]) {
			t.Fatalf("%s of tier %d refused as %s while tier %d owes %d slots", r.ID, r.Tier, reason, tier, s.shares.owed[tier])
		}
	}
}

// TestGrantCostIsBounded checks that the cost of a grant grows at most logarithmically with the number of
// waiting requests and does not grow with the number of endpoints.
func TestGrantCostIsBounded(t *testing.T) {
	c := qt.New(t)
	few := stepsPerGrant(500, 8)
	many := stepsPerGrant(50_000, 8)
	wide := stepsPerGrant(500, 64)
	c.Assert(many < 2*few, qt.IsTrue, qt.Commentf("%f with 500 waiting, %f with 50,000", few, many))
	c.Assert(wide < 2*few, qt.IsTrue, qt.Commentf("%f with 8 endpoints, %f with 64", few, wide))
}

// loadedScheduler returns a scheduler with a number of waiting requests and all slots taken, and the running
// requests.
func loadedScheduler(waiting, engines int) (*Scheduler, []string) {
	s := New(Options{MaxWaiting: waiting + 1000})
	list := endpoints(engines, 16)
	for i := range list {
		list[i].Engine = true
	}
	s.SetEndpoints(start, list)
	for _, e := range s.endpoints.order {
		e.limit = 16
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range waiting + engines*16 {
		s.Submit(start, benchRequest(random, i))
	}
	running := grants(s)
	for _, id := range running {
		s.RecordStart(start, id)
	}
	return s, running
}

func benchRequest(random *rand.Rand, i int) admission.Request {
	return admission.Request{
		ID: fmt.Sprint(i), Workspace: fmt.Sprint("w", random.IntN(320)), Class: fmt.Sprint("c", i%8), Tier: i % 4,
		Arrived: start, PromptTokens: 100, FirstToken: time.Hour, Share: 0.02,
	}
}

func stepsPerGrant(waiting, engines int) float64 {
	s, running := loadedScheduler(waiting, engines)
	before := s.Steps
	const rounds = 200
	for i := range rounds {
		running = replaceOldest(s, running, i)
	}
	return float64(s.Steps-before) / rounds
}

// replaceOldest ends the oldest running request and starts the requests that are granted after it.
func replaceOldest(s *Scheduler, running []string, i int) []string {
	now := start.Add(time.Duration(i) * time.Millisecond)
	s.RecordEnd(now, running[0], admission.Answered, 20)
	running = running[1:]
	for _, d := range s.TakeDecisions() {
		if d.Kind == admission.Grant {
			s.RecordStart(now, d.ID)
			running = append(running, d.ID)
		}
	}
	return running
}

func BenchmarkGrant(b *testing.B) {
	for _, waiting := range []int{500, 5000, 50_000} {
		for _, engines := range []int{8, 64} {
			b.Run(fmt.Sprintf("waiting=%d/endpoints=%d", waiting, engines), func(b *testing.B) {
				s, running := loadedScheduler(waiting, engines)
				random := rand.New(rand.NewPCG(3, 4))
				before := s.Steps
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					s.Submit(start, benchRequest(random, 10_000_000+i))
					running = replaceOldest(s, running, i)
				}
				b.ReportMetric(float64(s.Steps-before)/float64(b.N), "steps/op")
			})
		}
	}
}

// BenchmarkMemory measures the memory that a scheduler holds per waiting request.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		s, _ := loadedScheduler(50_000, 8)
		b.ReportMetric(float64(heapBytes()-before)/50_000, "B/waiting")
		runtime.KeepAlive(s)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkProgress measures the cost of one progress report.
func BenchmarkProgress(b *testing.B) {
	for _, engines := range []int{8, 64} {
		b.Run(fmt.Sprintf("endpoints=%d", engines), func(b *testing.B) {
			s, running := loadedScheduler(5000, engines)
			for _, id := range running {
				s.RecordFirstToken(start, id)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.RecordProgress(start.Add(time.Duration(i)*time.Millisecond), running[i%len(running)], 1+i)
			}
		})
	}
}
