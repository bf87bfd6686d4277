package pushback

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestParseLimit(t *testing.T) {
	tests := map[string]struct {
		text string
		want float64
		ok   bool
	}{
		"whole":         {"3", 3, true},
		"a fraction":    {"0.25", 0.25, true},
		"with blanks":   {" 2 ", 2, true},
		"zero a second": {"0", 0, true},
		"empty":         {"", 0, false},
		"a word":        {"few", 0, false},
		"with a unit":   {"3/s", 0, false},
		"negative":      {"-1", 0, false},
		"not a number":  {"NaN", 0, false},
		"infinite":      {"Inf", 0, false},
		"huge":          {"1e300", 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			limit, err := ParseLimit(test.text)
			c.Check(err == nil, qt.Equals, test.ok)
			c.Check(limit.IsSet, qt.Equals, test.ok)
			c.Check(limit.PerSecond, qt.Equals, test.want)
		})
	}
}

func FuzzParseLimit(f *testing.F) {
	for _, seed := range []string{"1.5", "0", "-1", "NaN", "1e400", "0x1p4", " 7"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		limit, err := ParseLimit(text)
		if limit.IsSet == (err != nil) || !limit.isValid() {
			t.Errorf("%q was parsed as %v, %v", text, limit, err)
		}
	})
}

func perSecond(rate float64) Limit { return Limit{IsSet: true, PerSecond: rate} }

// TestLimits has answers arrive in and out of order. Times are in seconds.
func TestLimits(t *testing.T) {
	type answer struct {
		sent, arrived int
		limit         Limit
	}
	tests := map[string]struct {
		answers []answer
		want    Limit
	}{
		"none":                                   {[]answer{{0, 1, Limit{}}}, Limit{}},
		"one":                                    {[]answer{{0, 1, perSecond(2)}}, perSecond(2)},
		"named again":                            {[]answer{{0, 1, perSecond(2)}, {1, 2, perSecond(2)}}, perSecond(2)},
		"lowered":                                {[]answer{{0, 1, perSecond(2)}, {0, 2, perSecond(1)}}, perSecond(1)},
		"raised":                                 {[]answer{{0, 1, perSecond(2)}, {1, 2, perSecond(4)}}, perSecond(4)},
		"raised by an older answer":              {[]answer{{0, 2, perSecond(2)}, {1, 3, perSecond(4)}}, perSecond(2)},
		"ended":                                  {[]answer{{0, 1, perSecond(2)}, {1, 2, Limit{}}}, Limit{}},
		"ended by an older answer":               {[]answer{{0, 2, perSecond(2)}, {1, 3, Limit{}}}, perSecond(2)},
		"named by an older answer after its end": {[]answer{{0, 1, perSecond(2)}, {1, 4, Limit{}}, {3, 5, perSecond(2)}}, Limit{}},
		"named anew":                             {[]answer{{0, 1, perSecond(2)}, {1, 4, Limit{}}, {4, 5, perSecond(2)}}, perSecond(2)},
		"zero requests a second":                 {[]answer{{0, 1, perSecond(0)}}, perSecond(0)},
		"expired after a minute":                 {[]answer{{0, 1, perSecond(2)}, {90, 91, Limit{}}}, Limit{}},
		"named again before it expires":          {[]answer{{0, 1, perSecond(2)}, {59, 60, perSecond(2)}}, perSecond(2)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1000, 0)
			at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
			now := start
			limits := NewLimits(func() time.Time { return now })
			for _, a := range test.answers {
				now = at(a.arrived)
				limits.Expire()
				limits.Record(instance, a.limit, at(a.sent))
			}
			c.Check(limits.Get(instance), qt.Equals, test.want)
			c.Check(len(limits.All()) == 1, qt.Equals, test.want.IsSet)
			c.Check(limits.Get(Instance{ID: "a", Version: "v2"}), qt.Equals, Limit{})
		})
	}
}

// TestLimitHoldsForOneInstance has an endpoint restart without a limit: the limit of the earlier instance must not
// apply.
func TestLimitHoldsForOneInstance(t *testing.T) {
	c := qt.New(t)
	limits := NewLimits(time.Now)
	limits.Record(instance, perSecond(2), time.Time{})
	again := Instance{ID: "a", Version: "v2"}
	c.Check(limits.Record(again, Limit{}, time.Now()), qt.IsFalse)
	c.Check(limits.Record(again, perSecond(5), time.Now()), qt.IsTrue)
	c.Check(limits.Get(again), qt.Equals, perSecond(5))
	c.Check(limits.Get(instance), qt.Equals, Limit{})
}
