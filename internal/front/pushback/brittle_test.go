package pushback

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBrittleLimit(t *testing.T) {
	const maxRejections = 10
	lowest := maxRejections * brittleShare
	limit := func(perSecond float64) Limit { return Limit{IsSet: true, PerSecond: perSecond} }
	tests := map[string]struct {
		known      Limit
		elapsed    time.Duration
		isRejected bool
		want       Limit
	}{
		"no rejection":                          {Limit{}, time.Minute, false, Limit{}},
		"first rejection":                       {Limit{}, 0, true, limit(lowest)},
		"further rejections of the same moment": {limit(20), brittleStep - 1, true, limit(20)},
		"later rejection":                       {limit(20), brittleStep, true, limit(10)},
		"later rejection at a low limit":        {limit(lowest), brittleStep, true, limit(lowest)},
		"a moment without rejections":           {limit(20), brittleStep - 1, false, limit(20)},
		"a second without rejections":           {limit(20), brittleStep, false, limit(22.5)},
		"the highest limit":                     {limit(29), brittleStep, false, limit(30)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			got := brittleLimit(test.known, now.Add(-test.elapsed), now, test.isRejected, maxRejections)
			qt.Assert(t, got.IsSet, qt.Equals, test.want.IsSet)
			qt.Assert(t, got.PerSecond, qt.Equals, test.want.PerSecond)
		})
	}
}

// TestBrittleEndpointsAreForgotten checks that an endpoint counts as brittle only as long as its answers say so.
func TestBrittleEndpointsAreForgotten(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := NewBrittle(func() time.Time { return now })
	first, second := Instance{ID: "a", Version: "1"}, Instance{ID: "b", Version: "1"}
	c.Check(b.Record(first, false), qt.IsFalse)
	c.Check(b.Record(first, true), qt.IsTrue)
	c.Check(b.Record(first, true), qt.IsFalse)
	c.Check(b.Record(second, true), qt.IsTrue)
	c.Check(b.Has(Instance{ID: "a", Version: "2"}), qt.IsFalse, qt.Commentf("another start of the endpoint"))
	c.Check(b.Record(first, false), qt.IsTrue)
	c.Check(b.Has(first), qt.IsFalse)
	now = now.Add(brittleTimeout + 1)
	b.Expire()
	c.Check(b.Any(), qt.IsFalse)
}
