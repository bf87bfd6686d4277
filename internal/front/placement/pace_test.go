package placement

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pace"
)

// replayBoth replays the same requests with and without pace, for a number of seconds. Observe is called once a second
// with the replay with pace. The work of endpoints counts from the tenth second.
func replayBoth(t *testing.T, slowEngines, seconds int, observe func(c *qt.C, r *replay, second int)) (with, without replayResult) {
	// Run returns once both replays have ended.
	t.Run("replays", func(t *testing.T) {
		for name, result := range map[string]*replayResult{"with pace": &with, "without pace": &without} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r := newReplay(slowEngines, result == &with)
					var before map[string]float64
					r.run(seconds, func(second int) {
						if second == 10 {
							before = r.workByPace()
						}
						if result == &with {
							observe(qt.New(t), r, second)
						}
					})
					r.busiest = busiestToMean(before, r.workByPace())
					*result = r.replayResult
					t.Logf("%d streams cut, first events %s late, busiest %.2f", r.cut, r.late.Round(time.Second), r.busiest)
				})
			})
		}
	})
	return with, without
}

// TestReplayOfTwoSpeeds replays a quarter of the engines at 0.46 of the speed of the others, and any of them 2.5 times
// slower for 0.6 s at times. It guards against slow engines that get as much work as fast ones, so that streams run into
// their time limits there, and against engines that count as slow after they have recovered.
func TestReplayOfTwoSpeeds(t *testing.T) {
	isSlow := func(e *replayEngine) bool { return e.slowness > 1 }
	hasRecovered := func(e *replayEngine) bool {
		return e.slowness == 1 && !e.slowUntil.IsZero() && time.Since(e.slowUntil) > 2*time.Second
	}
	with, without := replayBoth(t, replayEngines/4, 50, func(c *qt.C, r *replay, second int) {
		found, recovered := r.shareWithin(1.25, math.Inf(1), isSlow), r.shareWithin(0, 1, hasRecovered)
		c.Logf("%d s: %.2f of the slow ones found, %.3f of those that have recovered are not slow", second, found, recovered)
		if second == 8 {
			c.Check(found > 0.7, qt.IsTrue)
		}
		if second >= 12 {
			c.Check(found > 0.95, qt.IsTrue)
			c.Check(recovered > 0.95, qt.IsTrue)
		}
	})
	c := qt.New(t)
	c.Check(with.busiest <= 1.3, qt.IsTrue)
	c.Check(with.busiest < without.busiest, qt.IsTrue)
	c.Check(float64(with.cut) < 0.8*float64(without.cut), qt.IsTrue)
	c.Check(float64(with.late) < 0.9*float64(without.late), qt.IsTrue)
}

// TestReplayOfEqualEngines replays equal engines that slow down at times. It guards against noise that moves work
// between engines.
func TestReplayOfEqualEngines(t *testing.T) {
	isAny := func(*replayEngine) bool { return true }
	with, without := replayBoth(t, 0, 24, func(c *qt.C, r *replay, second int) {
		equal, slow := r.shareWithin(1, 1, isAny), r.shareWithin(1.5, math.Inf(1), isAny)
		c.Logf("%d s: %.3f count as equal, %.4f as slow", second, equal, slow)
		c.Check(equal > 0.93, qt.IsTrue)
		c.Check(slow < 0.01, qt.IsTrue)
	})
	c := qt.New(t)
	c.Check(with.cut <= without.cut+10, qt.IsTrue)
	// Some 6,000 streams may wait for 5 ms longer on average.
	c.Check(with.late < without.late+30*time.Second, qt.IsTrue)
}

// fakePace has fixed speeds, and keeps the samples.
type fakePace struct {
	slowness map[keys.Endpoint]float64
	revision uint64
	samples  []pace.Sample
}

func (p *fakePace) Slowness(endpoint keys.Endpoint) float64 {
	if slowness, ok := p.slowness[endpoint]; ok {
		return slowness
	}
	return 1
}

func (p *fakePace) SpeedRevision() uint64         { return p.revision }
func (p *fakePace) Record(sample pace.Sample)     { p.samples = append(p.samples, sample) }
func (p *fakePace) Forget(endpoint keys.Endpoint) { delete(p.slowness, endpoint) }

func (p *fakePace) Speeds() map[keys.Endpoint]pace.Speed {
	speeds := make(map[keys.Endpoint]pace.Speed)
	for endpoint, slowness := range p.slowness {
		speeds[endpoint] = pace.Slow
		if slowness < 1 {
			speeds[endpoint] = pace.Fast
		}
	}
	return speeds
}

// setSlowness makes an endpoint slow, or fast.
func (p *fakePace) setSlowness(id string, slowness float64) {
	p.slowness = map[keys.Endpoint]float64{keys.OfEndpoint(id): slowness}
	p.revision++
}

// TestSlowEndpointGetsWorkByItsPace checks that unread tokens and open requests weigh by the time that they take, and
// that a slow endpoint is still chosen where it has much less to do.
func TestSlowEndpointGetsWorkByItsPace(t *testing.T) {
	tests := map[string]struct {
		slowness   float64
		slow, fast Load
		want       string
	}{
		"both idle":                             {2, Load{}, Load{}, "e2"},
		"as many tokens, equal speed":           {1, Load{Tokens: 9000}, Load{Tokens: 10_000}, "e1"},
		"a little more than half of the tokens": {2, Load{Tokens: 6000}, Load{Tokens: 10_000}, "e2"},
		"less than half of the tokens":          {2, Load{Tokens: 4000}, Load{Tokens: 10_000}, "e1"},
		"more than half of the open requests":   {2, Load{Requests: 20}, Load{Requests: 30}, "e2"},
		"a few open requests":                   {2, Load{Requests: 10}, Load{Requests: 30}, "e1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v, p := NewView(), new(fakePace)
			p.setSlowness("e1", test.slowness)
			v.pace = p
			v.loads.SetPeer(start, "peer", map[keys.Endpoint]Load{keys.OfEndpoint("e1"): test.slow, keys.OfEndpoint("e2"): test.fast})
			choice := v.chooseCandidate(short(), entries("e1", "e2"))
			c.Check(choice.Endpoint, qt.Equals, test.want)
			c.Check(choice.PredictedFirstEvent, qt.Equals, time.Duration(choice.Slowness*float64(choice.predictedRead)))
		})
	}
}

// TestSlowEndpointsAreReservedLast checks that the short set avoids a slow endpoint as soon as it is known to be slow,
// as long as there are others.
func TestSlowEndpointsAreReservedLast(t *testing.T) {
	c := qt.New(t)
	all := entries("e1", "e2", "e3", "e4")
	cache, p := make(partitionCache), new(fakePace)
	var slow string
	for id := range cache.get("llm", all, 1, p) {
		slow = id
	}
	p.setSlowness(slow, 2)
	c.Check(cache.get("llm", all, 1, p)[slow], qt.IsFalse)
	c.Check(cache.get("llm", all, 3, p)[slow], qt.IsFalse)
	c.Check(cache.get("llm", all, 4, p)[slow], qt.IsTrue)
	p.Forget(keys.OfEndpoint(slow))
	p.revision++
	c.Check(cache.get("llm", all, 1, p)[slow], qt.IsTrue)
}

// TestFastEndpointsAreReservedFirst checks that the short set prefers a fast endpoint as soon as it is known to be fast:
// streams pause there for the shortest time.
func TestFastEndpointsAreReservedFirst(t *testing.T) {
	c := qt.New(t)
	all := entries("e1", "e2", "e3", "e4")
	cache, p := make(partitionCache), new(fakePace)
	var last string
	for _, e := range all {
		if !cache.get("llm", all, 3, p)[e.ID] {
			last = e.ID
		}
	}
	p.setSlowness(last, 0.5)
	c.Check(cache.get("llm", all, 1, p)[last], qt.IsTrue)
}

// TestStreamYieldsSamples checks which samples a stream gives: its first event also with other prompts ahead, and the
// mean gap since the last report whenever progress is reported, while the stream is open.
func TestStreamYieldsSamples(t *testing.T) {
	c := qt.New(t)
	now, p := start, new(fakePace)
	s := newPlacer(func() time.Time { return now })
	s.parts.Pace, s.view.pace = p, p
	fillEndpoints(s, 3)
	s.view.loads.SetPeer(start, "peer", map[keys.Endpoint]Load{keys.OfEndpoint("e1"): {Tokens: 30_000}, keys.OfEndpoint("e2"): {Tokens: 30_000}})
	ticket, decision, err := s.Ask(t.Context(), "llm", *long(7))
	c.Assert(err, qt.IsNil)
	predicted := s.view.engines.get(keys.OfService("llm")).Figures().ReadTime(42_000)
	steps := []struct {
		after  time.Duration
		report func()
		// want is the sample as a time or as a ratio, or 0 for none.
		want float64
	}{
		{0, ticket.Started, 0},
		{2 * predicted, ticket.FirstToken, 2},
		{300 * time.Millisecond, func() { ticket.Progress(4) }, float64(100 * time.Millisecond)},
		{300 * time.Millisecond, func() { ticket.Progress(4) }, 0},
		// The peer's prompts are read during this gap, so that it says little.
		{300 * time.Millisecond, func() { s.view.loads.DropPeer("peer"); ticket.Progress(5) }, 0},
		{100 * time.Millisecond, func() { ticket.Progress(10) }, float64(20 * time.Millisecond)},
		{80 * time.Millisecond, func() { ticket.Finished(admission.Answered, 14) }, float64(20 * time.Millisecond)},
	}
	for i, step := range steps {
		now = now.Add(step.after)
		p.samples = nil
		step.report()
		if step.want == 0 {
			c.Check(p.samples, qt.HasLen, 0, qt.Commentf("step %d", i))
			continue
		}
		c.Assert(p.samples, qt.HasLen, 1, qt.Commentf("step %d", i))
		c.Check(p.samples[0].Endpoint, qt.Equals, keys.OfEndpoint(decision.Endpoint))
		c.Check(math.Abs(math.Exp(p.samples[0].Log)-step.want) < 1e-3*step.want, qt.IsTrue, qt.Commentf("step %d: %v", i, p.samples[0]))
	}
}

// TestGapConditions checks that gaps are compared only with gaps under a similar load.
func TestGapConditions(t *testing.T) {
	figures := engine.NewService().Figures()
	sample := func(before, after Load) pace.Sample {
		s, ok := gapSample(figures, 100*time.Millisecond, before, after)
		qt.Assert(t, ok, qt.IsTrue)
		return s
	}
	idle, reading, deep := sample(Load{Requests: 5}, Load{Requests: 5}), sample(Load{Tokens: 13_000}, Load{Tokens: 13_000}), sample(Load{Tokens: 90_000}, Load{Tokens: 60_000})
	for name, different := range map[string][2]pace.Sample{
		"reading": {idle, reading}, "deep backlog": {reading, deep}, "few tokens": {reading, sample(Load{Tokens: 2000}, Load{Tokens: 2000})},
		"more open requests": {idle, sample(Load{Requests: 20}, Load{Requests: 20})},
	} {
		qt.Check(t, different[0].Condition, qt.Not(qt.Equals), different[1].Condition, qt.Commentf(name))
	}
	qt.Check(t, idle.Expected < reading.Expected, qt.IsTrue)
	qt.Check(t, reading.Expected, qt.Equals, deep.Expected)
}
