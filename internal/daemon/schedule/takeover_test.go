package schedule

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// TestTakeover hands a shard from one scheduler to another: what ran is adopted,
// what waited is submitted, and nothing is granted before the hold ends.
func TestTakeover(t *testing.T) {
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

// TestHoldShedsNothing fills a scheduler that has just taken over: only the
// lowest tier is refused until the hold ends.
func TestHoldShedsNothing(t *testing.T) {
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

func TestDropOwner(t *testing.T) {
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

// book is an owner's books in TestHandover.
type book struct {
	waiting map[string]admission.Request
	running map[string]admission.Request
	at      map[string]string
}

// TestHandover moves a shard at random between two schedulers, one of which may
// be dead, while requests come and go. No place is leaked and every request
// ends.
func TestHandover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedulers := [2]*Scheduler{New(Options{}), New(Options{})}
		for _, s := range schedulers {
			s.SetEndpoints(start, endpoints(2, 2))
		}
		b := book{map[string]admission.Request{}, map[string]admission.Request{}, map[string]string{}}
		now, in, next := start, 0, 0
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := admission.Request{ID: fmt.Sprint(next), Owner: "o", Tier: next % 4, Arrived: now}
				next++
				b.waiting[r.ID] = r
				schedulers[in].Submit(now, r)
			case 2:
				b.finishOne(now, schedulers[in])
			case 3:
				in = b.move(t, now, &schedulers, in)
			}
			schedulers[in].Tick(now)
			b.take(now, schedulers[in])
		}
		for i := 0; len(b.waiting)+len(b.running) > 0; i++ {
			now = now.Add(time.Second)
			schedulers[in].Tick(now)
			b.take(now, schedulers[in])
			b.finishOne(now, schedulers[in])
			b.take(now, schedulers[in])
			if i > 1000 {
				t.Fatalf("%d wait and %d run for ever", len(b.waiting), len(b.running))
			}
		}
		if s := schedulers[in]; s.NumWaiting() != 0 || s.NumRunning() != 0 {
			t.Fatalf("leaked: %d waiting, %d running", s.NumWaiting(), s.NumRunning())
		}
	})
}

func (b *book) take(now time.Time, s *Scheduler) {
	for _, d := range s.TakeDecisions() {
		r, ok := b.waiting[d.ID]
		if !ok || d.Kind != admission.Grant {
			continue
		}
		delete(b.waiting, d.ID)
		b.running[d.ID] = r
		b.at[d.ID] = d.Endpoint
		s.RecordStart(now, d.ID)
	}
}

func (b *book) finishOne(now time.Time, s *Scheduler) {
	least := ""
	for id := range b.running {
		if least == "" || id < least {
			least = id
		}
	}
	if least != "" {
		delete(b.running, least)
		s.RecordEnd(now, least, admission.Answered, 5)
	}
}

// move gives the shard to the other scheduler. The old one may have died, and is
// empty then.
func (b *book) move(t *rapid.T, now time.Time, schedulers *[2]*Scheduler, from int) int {
	to := 1 - from
	dead := rapid.Bool().Draw(t, "dead")
	if dead {
		schedulers[from] = New(Options{})
		schedulers[from].SetEndpoints(now, endpoints(2, 2))
	}
	schedulers[to].Hold(now.Add(100 * time.Millisecond))
	for id, r := range b.waiting {
		schedulers[from].Withdraw(now, id)
		schedulers[to].Submit(now, r)
	}
	for id, r := range b.running {
		schedulers[from].Withdraw(now, id)
		schedulers[to].Adopt(now, r, b.at[id], 1)
	}
	return to
}
