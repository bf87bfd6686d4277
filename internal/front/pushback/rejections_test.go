package pushback

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

func TestRejections(t *testing.T) {
	tests := map[string]struct {
		rejected, taken uint
		after           time.Duration
		// minShare and maxShare bound the expected share.
		minShare, maxShare float64
	}{
		"one rejection alone":              {1, 0, 0, 0.5, 0.5},
		"two":                              {2, 0, 0, 0.66, 0.67},
		"nine in ten":                      {90, 10, 0, 0.85, 0.9},
		"four in ten":                      {40, 60, 0, 0.38, 0.4},
		"one rejection, a half-life later": {1, 0, rejectionHalfLife, 0.33, 0.34},
		"nine in ten, a half-life later":   {9, 1, rejectionHalfLife, 0.7, 0.8},
		"nine in ten, a minute later":      {90, 10, time.Minute, 0, 0.01},
		"the clock has gone back":          {1, 0, -time.Second, 0.5, 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			r := NewRejections(func() time.Time { return now })
			c.Check(r.Count(1, 0, 5), qt.IsFalse, qt.Commentf("no request was rejected"))
			c.Check(r.Shares(), qt.HasLen, 0)
			c.Check(r.Count(1, test.rejected, test.taken), qt.IsTrue)
			now = now.Add(test.after)
			share := r.Share(1)
			c.Check(share >= test.minShare && share <= test.maxShare, qt.IsTrue, qt.Commentf("%v", share))
			c.Check(r.Shares()[1], qt.Equals, share)
			c.Check(r.Share(2), qt.Equals, 0.0)
			r.Expire()
			c.Check(len(r.Shares()) == 0, qt.Equals, test.after == time.Minute)
			r.Forget(1)
			c.Check(r.Shares(), qt.HasLen, 0)
		})
	}
}

// TestShareFallsWhenRequestsAreTaken has an endpoint that rejected every request take requests again: its share must
// fall below 0.3 within 4 s.
func TestShareFallsWhenRequestsAreTaken(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := NewRejections(func() time.Time { return now })
	r.Count(1, 20, 0)
	c.Check(r.Share(1) > 0.9, qt.IsTrue)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		r.Count(1, 0, 1)
	}
	c.Check(r.Share(1) < 0.3, qt.IsTrue, qt.Commentf("%v", r.Share(1)))
}

func TestRejectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	r := NewRejections(func() time.Time { return time.Unix(1000, 0) })
	for n := range 2 * maxTallies {
		r.Count(keys.Endpoint(n), 1, 0)
	}
	c.Check(r.Shares(), qt.HasLen, maxTallies)
}
