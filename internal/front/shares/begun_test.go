package shares

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// TestTakenUpStreamsPassTheShare has a workspace that is over its share take up streams, first some that broke together,
// and then without end.
func TestTakenUpStreamsPassTheShare(t *testing.T) {
	const hosts = 3
	c := qt.New(t)
	l, counts := newLedger(), burstCounts()
	ask := func(at time.Time, hasBegun bool) bool {
		for _, peer := range []string{"p", "q"} {
			l.Add(at.Add(-time.Second), peer, &Counts{Services: []ServiceCounts{counts}})
		}
		a := newAsk("big", 2000)
		a.HasRoom, a.Request.HasBegun = func() bool { return false }, hasBegun
		return !l.Decide(at, hosts, a, 0).IsRefused
	}
	at := start.Add(time.Second)
	c.Check(ask(at, false), qt.IsFalse)
	for n := range 5 {
		c.Check(ask(at, true), qt.IsTrue, qt.Commentf("stream %d that broke with the others", n))
	}
	// What takes streams up without end gets no more in this way than another share.
	s := l.services[keys.OfService("llm")]
	passed := 0
	const span = 40 * time.Second
	for after := time.Duration(0); after < span; after += 10 * time.Millisecond {
		if ask(at.Add(after), true) {
			passed++
		}
	}
	share := s.level(0) / window.Seconds() / hosts * span.Seconds()
	work := newAsk("big", 2000)
	got := float64(passed) * work.work()
	c.Check(got <= 2*share, qt.IsTrue, qt.Commentf("%.0f tokens passed, %.0f are the share", got, share))
	c.Check(got >= share/2, qt.IsTrue, qt.Commentf("%.0f tokens passed, %.0f are the share", got, share))
}
