package schedule

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// TestTakeoverAdoptsAndHolds moves a shard to a scheduler that adopts the running request and gets the
// waiting one submitted. Nothing may be granted before the hold ends, and an adopted request must occupy its
// slot once, although it is announced twice.
func TestTakeoverAdoptsAndHolds(t *testing.T) {
	c := qt.New(t)
	s := New(Options{})
	s.SetEndpoints(start, endpoints(1, 2))
	hold := start.Add(time.Second)
	s.Hold(hold)
	s.Submit(start, admission.Request{ID: "waiting", Owner: "a", Arrived: start})
	s.Adopt(start, admission.Request{ID: "running", Owner: "b", Arrived: start}, "e0", 7)
	s.Adopt(start, admission.Request{ID: "running", Owner: "b", Arrived: start}, "e0", 7)
	c.Assert(grants(s), qt.HasLen, 0)
	c.Assert(s.NextTick(start), qt.Equals, start.Add(tickInterval))
	s.Tick(hold)
	c.Assert(grants(s), qt.DeepEquals, []string{"waiting"})
	s.Submit(hold, admission.Request{ID: "next", Owner: "a", Arrived: hold})
	c.Assert(grants(s), qt.HasLen, 0)
	s.RecordEnd(hold, "running", admission.Answered, 9)
	c.Assert(grants(s), qt.DeepEquals, []string{"next"})
}

// TestHoldShedsOnlyLowestTier overfills a scheduler during its hold. Only requests of the lowest tier may be
// refused until the hold ends.
func TestHoldShedsOnlyLowestTier(t *testing.T) {
	c := qt.New(t)
	s := New(Options{MaxWaiting: 1})
	s.SetEndpoints(start, endpoints(1, 1))
	s.Hold(start.Add(time.Second))
	for i, tier := range []int{2, 2, 3, 0} {
		s.Submit(start, admission.Request{ID: fmt.Sprint(i), Tier: tier, Arrived: start})
	}
	var refused []string
	for _, d := range s.TakeDecisions() {
		c.Assert(d.Kind, qt.Equals, admission.Refuse)
		refused = append(refused, d.ID)
	}
	c.Assert(refused, qt.DeepEquals, []string{"2"})
}

func TestDropOwnerFreesItsSlots(t *testing.T) {
	c := qt.New(t)
	s := New(Options{})
	s.SetEndpoints(start, endpoints(1, 1))
	for _, id := range []string{"a1", "b1", "a2"} {
		s.Submit(start, admission.Request{ID: id, Owner: id[:1], Arrived: start})
	}
	c.Assert(grants(s), qt.DeepEquals, []string{"a1"})
	s.DropOwner(start, "a")
	c.Assert(grants(s), qt.DeepEquals, []string{"b1"})
	c.Assert(s.NumWaiting(), qt.Equals, 0)
	c.Assert(s.NumRunning(), qt.Equals, 1)
}

// ownerState holds the requests of an owner in TestHandover.
type ownerState struct {
	waiting   map[string]admission.Request
	running   map[string]admission.Request
	endpoints map[string]string
}

// TestHandover moves a shard at random between two schedulers, the old one of which may have crashed, while
// requests are submitted and end. No slot may leak and every request must end.
func TestHandover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedulers := [2]*Scheduler{New(Options{}), New(Options{})}
		for _, s := range schedulers {
			s.SetEndpoints(start, endpoints(2, 2))
		}
		state := ownerState{map[string]admission.Request{}, map[string]admission.Request{}, map[string]string{}}
		now, current, next := start, 0, 0
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := admission.Request{ID: fmt.Sprint(next), Owner: "o", Tier: next % 4, Arrived: now}
				next++
				state.waiting[r.ID] = r
				schedulers[current].Submit(now, r)
			case 2:
				state.finishOne(now, schedulers[current])
			case 3:
				current = state.move(t, now, &schedulers, current)
			}
			schedulers[current].Tick(now)
			state.take(now, schedulers[current])
		}
		for i := 0; len(state.waiting)+len(state.running) > 0; i++ {
			now = now.Add(time.Second)
			schedulers[current].Tick(now)
			state.take(now, schedulers[current])
			state.finishOne(now, schedulers[current])
			state.take(now, schedulers[current])
			if i > 1000 {
				t.Fatalf("%d requests still wait and %d still run after 1000 rounds", len(state.waiting), len(state.running))
			}
		}
		if s := schedulers[current]; s.NumWaiting() != 0 || s.NumRunning() != 0 {
			t.Fatalf("the scheduler leaked %d waiting and %d running requests", s.NumWaiting(), s.NumRunning())
		}
	})
}

func (o *ownerState) take(now time.Time, s *Scheduler) {
	for _, d := range s.TakeDecisions() {
		r, ok := o.waiting[d.ID]
		if !ok || d.Kind != admission.Grant {
			continue
		}
		delete(o.waiting, d.ID)
		o.running[d.ID] = r
		o.endpoints[d.ID] = d.Endpoint
		s.RecordStart(now, d.ID)
	}
}

func (o *ownerState) finishOne(now time.Time, s *Scheduler) {
	first := ""
	for id := range o.running {
		if first == "" || id < first {
			first = id
		}
	}
	if first != "" {
		delete(o.running, first)
		s.RecordEnd(now, first, admission.Answered, 5)
	}
}

// move hands the shard to the other scheduler. The old scheduler may have crashed and is empty then.
func (o *ownerState) move(t *rapid.T, now time.Time, schedulers *[2]*Scheduler, from int) int {
	to := 1 - from
	crashed := rapid.Bool().Draw(t, "dead")
	if crashed {
		schedulers[from] = New(Options{})
		schedulers[from].SetEndpoints(now, endpoints(2, 2))
	}
	schedulers[to].Hold(now.Add(100 * time.Millisecond))
	for id, r := range o.waiting {
		schedulers[from].Withdraw(now, id)
		schedulers[to].Submit(now, r)
	}
	for id, r := range o.running {
		schedulers[from].Withdraw(now, id)
		schedulers[to].Adopt(now, r, o.endpoints[id], 1)
	}
	return to
}
