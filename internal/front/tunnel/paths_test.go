package tunnel

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testAddress = "10.0.0.1:80"

// TestFlappingPathIsNotTrusted checks how long a path must work before calls use it again, by the losses before.
func TestFlappingPathIsNotTrusted(t *testing.T) {
	tests := map[string]struct {
		losses int
		want   time.Duration
	}{
		"first loss":  {1, 0},
		"second loss": {2, time.Second},
		"third loss":  {3, 2 * time.Second},
		"many losses": {9, 8 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p, now := newPaths(), time.Unix(0, 0)
			for range test.losses - 1 {
				p.recordLost(now, testAddress)
				p.byAddress[testAddress].lost = false
			}
			p.recordLost(now, testAddress)
			lostAt := now
			restored, lostFor := p.recordOwn(now, testAddress)
			for !restored {
				now = now.Add(recheckInterval)
				c.Assert(now.Sub(lostAt) <= test.want, qt.IsTrue)
				restored, lostFor = p.recordOwn(now, testAddress)
			}
			c.Check(lostFor, qt.Equals, test.want)
			c.Check(p.isLost(testAddress), qt.IsFalse)
		})
	}
}

// TestFailureDuringRestoreDelay checks that the delay begins again when the path fails within it.
func TestFailureDuringRestoreDelay(t *testing.T) {
	c := qt.New(t)
	p, now := newPaths(), time.Unix(0, 0)
	p.recordLost(now, testAddress)
	p.recordOwn(now, testAddress)
	p.recordLost(now, testAddress)
	p.recordOwn(now, testAddress)
	p.recordOwnFailure(testAddress)
	now = now.Add(restoreDelay.First)
	restored, _ := p.recordOwn(now, testAddress)
	c.Check(restored, qt.IsFalse)
	restored, _ = p.recordOwn(now.Add(restoreDelay.First), testAddress)
	c.Check(restored, qt.IsTrue)
}

// TestIdleConnectionsAfterLoss checks that after the loss of one path, idle connections over others are used only once
// these are proven.
func TestIdleConnectionsAfterLoss(t *testing.T) {
	const other = "10.0.0.2:80"
	c := qt.New(t)
	p, now := newPaths(), time.Unix(0, 0)
	c.Check(p.mayReuseOwn(now, other), qt.IsTrue)
	p.recordOwn(now, other)
	now = now.Add(time.Second)
	p.recordLost(now, testAddress)
	c.Check(p.mayReuseOwn(now, testAddress), qt.IsFalse)
	c.Check(p.mayReuseOwn(now, other), qt.IsFalse)
	c.Check(p.headStart(now, time.Second), qt.Equals, alertHeadStart)
	now = now.Add(time.Second)
	p.recordOwn(now, other)
	c.Check(p.mayReuseOwn(now, other), qt.IsTrue)
	now = now.Add(alertTime)
	c.Check(p.mayReuseOwn(now, "10.0.0.3:80"), qt.IsTrue)
	c.Check(p.mayReuseOwn(now, testAddress), qt.IsFalse)
	c.Check(p.headStart(now, time.Second), qt.Equals, maxHeadStart)
}

// TestRechecks checks that a lost path is tried again at intervals, and that unused states are dropped.
func TestRechecks(t *testing.T) {
	c := qt.New(t)
	p, now := newPaths(), time.Unix(0, 0)
	c.Check(p.takeRecheck(now, testAddress), qt.IsFalse)
	p.recordLost(now, testAddress)
	rechecks := 0
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		if p.takeRecheck(now, testAddress) {
			rechecks++
		}
	}
	c.Check(rechecks, qt.Equals, 10)
	p.expire(now.Add(forgetTime - 1))
	c.Check(p.countLost(), qt.Equals, 1)
	p.expire(now.Add(forgetTime))
	c.Check(p.countLost(), qt.Equals, 0)
}

// TestChooseHelper checks the order in which peers are asked.
func TestChooseHelper(t *testing.T) {
	peers := []Peer{{Name: "own-1", Zone: "own"}, {Name: "near-1", Zone: "near"}, {Name: "near-2", Zone: "near"}, {Name: "far-1", Zone: "far"}}
	tests := map[string]struct {
		failed []int
		tried  []string
		want   string
	}{
		"zone of the endpoint":               {nil, nil, "near-1"},
		"peer that failed":                   {[]int{1}, nil, "near-2"},
		"zone whose peers failed":            {[]int{1, 2}, nil, "own-1"},
		"other zone last":                    {[]int{1, 2, 0}, nil, "far-1"},
		"failed peers if there are no other": {[]int{1, 2, 0, 3}, nil, "own-1"},
		"peers that were tried":              {nil, []string{"near-1", "near-2"}, "own-1"},
		"all were tried":                     {nil, []string{"near-1", "near-2", "own-1", "far-1"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, now := newHelpers("own"), time.Unix(0, 0)
			for _, n := range test.failed {
				h.recordFailure(now, &peers[n])
			}
			tried := make(map[string]bool)
			for _, name := range test.tried {
				tried[name] = true
			}
			got, ok := h.choose(now, peers, tried, "near", func() float64 { return 0 })
			c.Check(got.Name, qt.Equals, test.want)
			c.Check(ok, qt.Equals, test.want != "")
		})
	}
}
