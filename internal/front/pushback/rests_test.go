package pushback

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// restsFixture is a table of rests with a clock of its own, and two endpoints of which the first has asked for 3 s.
type restsFixture struct {
	c     *qt.C
	now   time.Time
	rests *Rests
	list  []*directory.Entry
}

var resting = Instance{ID: "a", Version: "v1"}

func newRestsFixture(c *qt.C, random float64) *restsFixture {
	r := &restsFixture{c: c, now: time.Unix(1000, 0)}
	r.rests = NewRests(func() time.Time { return r.now }, func() float64 { return random })
	for _, id := range []string{"a", "b"} {
		r.list = append(r.list, &directory.Entry{ID: id, Endpoint: settings.Endpoint{Version: "v1"}})
	}
	c.Check(r.rests.Begin(resting, 3*time.Second), qt.IsTrue)
	return r
}

// usable returns the IDs of the endpoints that may be granted.
func (r *restsFixture) usable(list ...*directory.Entry) (ids string) {
	if list == nil {
		list = r.list
	}
	usable, _ := r.rests.Usable(list)
	for _, e := range usable {
		ids += e.ID
	}
	return ids
}

func TestRestIsKeptToItsEnd(t *testing.T) {
	c := qt.New(t)
	r := newRestsFixture(c, 0)
	c.Check(r.usable(), qt.Equals, "b")
	c.Check(r.rests.Resting(), qt.HasLen, 1)
	r.now = r.now.Add(time.Second)
	// A shorter rest, and the answer to a request that was sent before the rest, change nothing.
	c.Check(r.rests.Begin(resting, time.Second), qt.IsFalse)
	r.rests.EndTrial(resting)
	r.now = r.now.Add(2*time.Second - 1)
	c.Check(r.rests.IsResting(resting), qt.IsTrue)
	alone, next := r.rests.Usable(r.list[:1])
	c.Check(alone, qt.HasLen, 0)
	c.Check(next, qt.Equals, r.now.Add(1))
	r.now = r.now.Add(1)
	c.Check(r.rests.IsResting(resting), qt.IsFalse)
	c.Check(r.usable(), qt.Equals, "ab")
}

func TestOneRequestTriesEndpointAfterRest(t *testing.T) {
	tests := map[string]struct {
		then func(r *restsFixture)
		want string
	}{
		"the trial is unanswered":               {func(*restsFixture) {}, "b"},
		"the trial is answered":                 {func(r *restsFixture) { r.rests.EndTrial(resting) }, "ab"},
		"the trial is rejected with a new rest": {func(r *restsFixture) { r.rests.Begin(resting, 3*time.Second) }, "b"},
		"the trial times out":                   {func(r *restsFixture) { r.now = r.now.Add(trialTimeout) }, "ab"},
		"the record expires":                    {func(r *restsFixture) { r.now = r.now.Add(trialExpiry + 1); r.rests.Expire() }, "ab"},
		"the endpoint restarts":                 {func(r *restsFixture) { r.list[0].Endpoint.Version = "v1 of 2" }, "ab"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRestsFixture(c, 0)
			r.now = r.now.Add(3 * time.Second)
			r.rests.RecordGrant("a", "v1")
			c.Check(r.usable(), qt.Equals, "b")
			c.Check(r.usable(r.list[0]), qt.Equals, "a", qt.Commentf("no other endpoint is usable"))
			test.then(r)
			c.Check(r.usable(), qt.Equals, test.want)
		})
	}
}

func TestRestsEndAtDifferentTimes(t *testing.T) {
	c := qt.New(t)
	first, last := newRestsFixture(c, 0), newRestsFixture(c, 1)
	first.now, last.now = first.now.Add(3*time.Second), last.now.Add(3*time.Second)
	c.Check(first.rests.IsResting(resting), qt.IsFalse)
	c.Check(last.rests.IsResting(resting), qt.IsTrue)
	last.now = last.now.Add(300 * time.Millisecond)
	c.Check(last.rests.IsResting(resting), qt.IsFalse)
}

func TestRestsExpire(t *testing.T) {
	c := qt.New(t)
	r := newRestsFixture(c, 0)
	r.now = r.now.Add(3*time.Second + trialExpiry)
	r.rests.Expire()
	c.Check(r.rests.byID, qt.HasLen, 1)
	r.now = r.now.Add(1)
	r.rests.Expire()
	c.Check(r.rests.byID, qt.HasLen, 0)
}
