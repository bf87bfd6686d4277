package usage

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

var start = time.Unix(1_000_000_003, 0)

// TestWindows checks the window of a time, by the time of day and by an agreed offset.
func TestWindows(t *testing.T) {
	zeroAt := time.Unix(1_000_000_000, 0)
	tests := map[string]struct {
		storeKnown bool
		agreed     ClockOffset
		want       Window
	}{
		"no agreed offset":                {true, 0, 200_000_000},
		"offset equal to the time of day": {true, ClockOffset(zeroAt.UnixNano()), 200_000_000},
		"the time of day is 3 s late":     {true, ClockOffset(zeroAt.UnixNano()) + ClockOffset(3*time.Second), 200_000_001},
		"the time of day is 7 s early":    {true, ClockOffset(zeroAt.UnixNano()) - ClockOffset(7*time.Second), 199_999_999},
		"the store's clock is not known":  {false, ClockOffset(zeroAt.UnixNano()) + ClockOffset(3*time.Second), 200_000_000},
		"the time of day is an hour late": {true, ClockOffset(zeroAt.UnixNano()) + ClockOffset(time.Hour), 200_000_720},
		"no offset and no store's clock":  {false, 0, 200_000_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clock := NewClock(5*time.Second, func(now time.Time) (freshness.StoreTime, bool) {
				return freshness.StoreTime(now.Sub(zeroAt)), test.storeKnown
			}, sameTime)
			if test.agreed != 0 {
				clock.SetOffset(test.agreed)
			}
			c.Check(clock.Window(start), qt.Equals, test.want)
			c.Check(clock.SinceEnd(test.want, start) < 0, qt.IsTrue)
			c.Check(clock.SinceEnd(test.want-1, start) >= 0, qt.IsTrue)
		})
	}
}

// sameTime returns the time of day of a machine that was never suspended.
func sameTime(at time.Time) time.Time { return at }

// TestSuspensionDoesNotChangeOffset suspends a machine. Its time of day includes the suspension by itself. The host's
// clock adds the suspension to both of its readings, so an offset that is taken from them directly would count it
// twice.
func TestSuspensionDoesNotChangeOffset(t *testing.T) {
	c := qt.New(t)
	const suspended = 40 * time.Second
	store := func(steady time.Duration) func(time.Time) (freshness.StoreTime, bool) {
		return func(time.Time) (freshness.StoreTime, bool) { return freshness.StoreTime(steady), true }
	}
	before, _ := NewClock(5*time.Second, store(time.Minute), sameTime).LocalOffset(start)
	resumed := NewClock(5*time.Second, store(time.Minute+suspended), func(at time.Time) time.Time { return at.Add(-suspended) })
	after, _ := resumed.LocalOffset(start.Add(suspended).Add(suspended))
	c.Check(after, qt.Equals, before)
	c.Check(resumed.TrueTime(start.Add(suspended).Add(suspended)), qt.Equals, time.Duration(start.Add(suspended).UnixNano()))
}

func TestMedianOffset(t *testing.T) {
	tests := map[string]struct {
		offsets []ClockOffset
		want    ClockOffset
		ok      bool
	}{
		"none":                  {nil, 0, false},
		"one":                   {[]ClockOffset{5}, 5, true},
		"one of three is wrong": {[]ClockOffset{5, 2_000, 6}, 6, true},
		"two of five are wrong": {[]ClockOffset{5, -9_000, 2_000, 6, 7}, 6, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := MedianOffset(test.offsets)
			qt.Check(t, got, qt.Equals, test.want)
			qt.Check(t, ok, qt.Equals, test.ok)
		})
	}
}

// TestMergeIsIdempotent merges counts that hosts send repeatedly, late and out of order.
func TestMergeIsIdempotent(t *testing.T) {
	a, b := Source{"a", 1}, Source{"b", 1}
	share := func(asOf time.Duration, x uint64) Share {
		return Share{AsOf: asOf, Windows: Windows{7: Counts{"x": x}}}
	}
	tests := map[string]struct {
		merge func(l *Ledger)
		want  uint64
	}{
		"two hosts": {func(l *Ledger) {
			l.Merge(a, share(1, 2))
			l.Merge(b, share(1, 3))
		}, 5},
		"twice": {func(l *Ledger) {
			l.Merge(a, share(1, 2))
			l.Merge(a, share(1, 2))
		}, 2},
		"older counts after newer ones": {func(l *Ledger) {
			l.Merge(a, share(2, 4))
			l.Merge(a, share(1, 2))
		}, 4},
		"a host that restarted": {func(l *Ledger) {
			l.Merge(a, share(2, 4))
			l.Merge(Source{"a", 2}, share(3, 1))
		}, 5},
		"counts merged after a drop": {func(l *Ledger) {
			l.Merge(a, share(2, 4))
			l.Drop(7, func(Source) bool { return true })
			l.Merge(b, share(2, 1))
		}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			test.merge(l)
			qt.Check(t, l.Sum(7)["x"], qt.Equals, test.want)
		})
	}
}

func TestMeter(t *testing.T) {
	c := qt.New(t)
	now := start
	clock := NewClock(5*time.Second, func(time.Time) (freshness.StoreTime, bool) { return 0, false }, sameTime)
	m := NewMeter(clock)
	for range 3 {
		m.RecordStart("x", now)
	}
	m.RecordStart("", now)
	first := clock.Window(now)
	c.Check(m.Windows(), qt.DeepEquals, Windows{first: {"x": 3}})
	copied := m.Windows()
	copied[first]["x"] = 9
	c.Check(m.Windows()[first]["x"], qt.Equals, uint64(3))
	for range 2 * maxUnreportedWindows {
		now = now.Add(5 * time.Second)
		m.RecordStart("y", now)
	}
	c.Check(len(m.Windows()) <= maxUnreportedWindows+1, qt.IsTrue, qt.Commentf("without reports, old windows are deleted"))
	m.Drop(clock.Window(now))
	c.Check(m.Windows(), qt.HasLen, 0)
	var none *Meter
	none.RecordStart("x", now)
}
