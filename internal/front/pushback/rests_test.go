package pushback

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// rested is a table of rests with a clock of its own, and two endpoints of which one has asked for 3 s.
type rested struct {
	c     *qt.C
	now   time.Time
	rests *Rests
	list  []*directory.Entry
}

var restful = Instance{ID: "a", Version: "v1"}

func newRested(c *qt.C, random float64) *rested {
	r := &rested{c: c, now: time.Unix(1000, 0)}
	r.rests = NewRests(func() time.Time { return r.now }, func() float64 { return random })
	for _, id := range []string{"a", "b"} {
		r.list = append(r.list, &directory.Entry{ID: id, Endpoint: settings.Endpoint{Version: "v1"}})
	}
	c.Check(r.rests.Begin(restful, 3*time.Second), qt.IsTrue)
	return r
}

// usable returns the IDs of the endpoints that may be granted.
func (r *rested) usable(list ...*directory.Entry) (ids string) {
	if list == nil {
		list = r.list
	}
	usable, _ := r.rests.Usable(list)
	for _, e := range usable {
		ids += e.ID
	}
	return ids
}

func TestARestIsKeptToItsEnd(t *testing.T) {
	c := qt.New(t)
	r := newRested(c, 0)
	c.Check(r.usable(), qt.Equals, "b")
	c.Check(r.rests.Resting(), qt.HasLen, 1)
	r.now = r.now.Add(time.Second)
	// A shorter one, and the answer to a request that was sent before, change nothing.
	c.Check(r.rests.Begin(restful, time.Second), qt.IsFalse)
	r.rests.EndTrial(restful)
	r.now = r.now.Add(2*time.Second - 1)
	c.Check(r.rests.IsResting(restful), qt.IsTrue)
	alone, next := r.rests.Usable(r.list[:1])
	c.Check(alone, qt.HasLen, 0)
	c.Check(next, qt.Equals, r.now.Add(1))
	r.now = r.now.Add(1)
	c.Check(r.rests.IsResting(restful), qt.IsFalse)
	c.Check(r.usable(), qt.Equals, "ab")
}

func TestOneRequestTriesAnEndpointThatHasRested(t *testing.T) {
	tests := map[string]struct {
		then func(r *rested)
		want string
	}{
		"its answer is awaited":   {func(*rested) {}, "b"},
		"it takes it":             {func(r *rested) { r.rests.EndTrial(restful) }, "ab"},
		"it rejects it":           {func(r *rested) { r.rests.Begin(restful, 3*time.Second) }, "b"},
		"it says nothing":         {func(r *rested) { r.now = r.now.Add(trialTime) }, "ab"},
		"nobody asks it for long": {func(r *rested) { r.now = r.now.Add(trialLimit + 1); r.rests.Expire() }, "ab"},
		"it starts again":         {func(r *rested) { r.list[0].Endpoint.Version = "v1 of 2" }, "ab"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRested(c, 0)
			r.now = r.now.Add(3 * time.Second)
			r.rests.RecordGrant("a", "v1")
			c.Check(r.usable(), qt.Equals, "b")
			c.Check(r.usable(r.list[0]), qt.Equals, "a", qt.Commentf("where there is no other"))
			test.then(r)
			c.Check(r.usable(), qt.Equals, test.want)
		})
	}
}

func TestHostsComeBackAtDifferentTimes(t *testing.T) {
	c := qt.New(t)
	first, last := newRested(c, 0), newRested(c, 1)
	first.now, last.now = first.now.Add(3*time.Second), last.now.Add(3*time.Second)
	c.Check(first.rests.IsResting(restful), qt.IsFalse)
	c.Check(last.rests.IsResting(restful), qt.IsTrue)
	last.now = last.now.Add(300 * time.Millisecond)
	c.Check(last.rests.IsResting(restful), qt.IsFalse)
}

func TestRestsAreForgotten(t *testing.T) {
	c := qt.New(t)
	r := newRested(c, 0)
	r.now = r.now.Add(3*time.Second + trialLimit)
	r.rests.Expire()
	c.Check(r.rests.byID, qt.HasLen, 1)
	r.now = r.now.Add(1)
	r.rests.Expire()
	c.Check(r.rests.byID, qt.HasLen, 0)
}
