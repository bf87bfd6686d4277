package freshness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/era"
)

// testStart is when the tests' hosts start.
var testStart = time.Unix(1_000_000, 0)

const ms = time.Millisecond

// newState returns a State and its host's clock.
func newState() (*State, *time.Time) {
	now := testStart
	has := func(Topic) uint64 { return 5 }
	return New(Parts{Clock: func() time.Time { return now }, KnownRevision: has, Newest: has}), &now
}

// answer returns an answer of a store whose clock showed at. Sent and received are relative to testStart.
func answer(at, sent, received time.Duration) Answer {
	return Answer{At: StoreTime(at), Sent: testStart.Add(sent), Received: testStart.Add(received)}
}

func TestAge(t *testing.T) {
	tests := map[string]struct {
		answers []Answer
		// at is the time after testStart at which the age is read.
		at   time.Duration
		want time.Duration
	}{
		"no confirmation": {nil, time.Second, UnknownAge},
		"an answer without delay": {
			[]Answer{answer(70*time.Second, 0, 0)}, time.Second, time.Second,
		},
		"a later answer": {
			[]Answer{answer(70*time.Second, 0, 0), answer(72*time.Second, 2*time.Second, 2*time.Second)}, 5 * time.Second, 3 * time.Second,
		},
		"a slow answer after a fast one": {
			[]Answer{answer(70*time.Second, 0, 0), answer(71*time.Second, time.Second, 4*time.Second)}, 4 * time.Second, 3 * time.Second,
		},
		"an older answer that arrives late": {
			[]Answer{answer(72*time.Second, 2*time.Second, 2*time.Second), answer(71*time.Second, time.Second, 3*time.Second)}, 4 * time.Second, 2 * time.Second,
		},
		"a held call": {
			[]Answer{answer(70*time.Second, 0, 0), answer(72*time.Second, 10*ms, 2*time.Second)}, 3 * time.Second, time.Second,
		},
		"an answer that waited while the host was suspended": {
			[]Answer{answer(70*time.Second, 0, 0), answer(71*time.Second, time.Second, time.Hour)}, time.Hour, time.Hour - time.Second,
		},
		"the store's clock restarts": {
			[]Answer{answer(70*time.Second, 0, 0), answer(time.Second, 4*time.Second, 4*time.Second), answer(2*time.Second, 5*time.Second, 5*time.Second)},
			5 * time.Second, 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state, now := newState()
			for _, a := range test.answers {
				state.RecordAnswer(Settings, a)
			}
			*now = testStart.Add(test.at)
			qt.Check(t, state.Age(Settings), qt.Equals, test.want)
			qt.Check(t, state.Age(Endpoints), qt.Equals, UnknownAge, qt.Commentf("the other topic is not confirmed"))
		})
	}
}

// TestStoreClockFollowsDrift covers a host whose clock runs fast by 1 ms/s: if old samples did not expire, ages
// would grow without bound.
func TestStoreClockFollowsDrift(t *testing.T) {
	state, now := newState()
	for second := range 600 {
		at := time.Duration(second) * time.Second
		state.RecordAnswer(Settings, Answer{At: StoreTime(at), Sent: testStart.Add(at + at/1000 - 2*time.Second), Received: testStart.Add(at + at/1000)})
		*now = testStart.Add(at + at/1000)
		qt.Assert(t, state.Age(Settings) <= 2*sampleWindow/1000, qt.IsTrue, qt.Commentf("%s after %s", state.Age(Settings), at))
	}
}

// host is a State and the number of its host's settings.
type host struct {
	*State
	now *time.Time
	has uint64
}

func newHost(has uint64) *host {
	now := testStart
	h := &host{now: &now, has: has}
	own := func(Topic) uint64 { return h.has }
	h.State = New(Parts{Clock: func() time.Time { return now }, KnownRevision: own, Newest: own})
	return h
}

// setElapsed sets the time since testStart.
func (h *host) setElapsed(since time.Duration) { *h.now = testStart.Add(since) }

// confirm delivers a peer's confirmation of the settings.
func (h *host) confirm(newest uint64, asOf time.Duration) {
	h.RecordConfirmation(Settings, Confirmation{Newest: newest, Revision: newest * 10, AsOf: StoreTime(asOf)})
}

// TestAgesAfterStoreRestore has the store return from a backup with a clock that shows less than before.
func TestAgesAfterStoreRestore(t *testing.T) {
	c := qt.New(t)
	restored, err := era.Revision(1, 4)
	c.Assert(err, qt.IsNil)
	h := newHost(50)
	for topic := range NumTopics {
		h.RecordAnswer(topic, Answer{Revision: 50, At: StoreTime(70 * time.Second), Sent: testStart, Received: testStart})
	}
	h.setElapsed(2 * time.Second)
	h.RecordAnswer(Settings, Answer{Revision: restored, At: StoreTime(time.Second), Sent: *h.now, Received: *h.now})
	h.setElapsed(3 * time.Second)
	c.Check(h.Age(Settings), qt.Equals, time.Second)
	c.Check(h.Age(Endpoints), qt.Equals, 3*time.Second, qt.Commentf("nothing is confirmed in the new era"))
	h.RecordConfirmation(Endpoints, Confirmation{Newest: 50, Revision: 60, AsOf: StoreTime(73 * time.Second)})
	c.Check(h.Age(Endpoints), qt.Equals, 3*time.Second, qt.Commentf("a confirmation of the earlier era is ignored"))
	c.Check(h.MustAsk(Endpoints, 0, 0), qt.IsTrue)
	h.RecordConfirmation(Endpoints, Confirmation{Newest: 50, Revision: restored, AsOf: StoreTime(2 * time.Second)})
	c.Check(h.Age(Endpoints), qt.Equals, time.Duration(0))
	c.Check(h.Revision(Endpoints), qt.Equals, restored)
}

// TestAnswerFromBeforeRestoreIsIgnored guards against comparing readings of the clocks of two stores.
func TestAnswerFromBeforeRestoreIsIgnored(t *testing.T) {
	c := qt.New(t)
	restored, err := era.Revision(1, 4)
	c.Assert(err, qt.IsNil)
	h := newHost(50)
	h.setElapsed(2 * time.Second)
	h.RecordConfirmation(Settings, Confirmation{Newest: 50, Revision: restored, AsOf: StoreTime(time.Second)})
	h.RecordAnswer(Settings, Answer{Revision: 50, At: StoreTime(time.Hour), Sent: testStart, Received: *h.now})
	h.setElapsed(3 * time.Second)
	c.Check(h.Age(Settings), qt.Equals, time.Second)
	c.Check(h.Age(Endpoints), qt.Equals, UnknownAge)
}

func TestPeerConfirmations(t *testing.T) {
	tests := map[string]struct {
		steps    func(h *host)
		age      time.Duration
		revision uint64
	}{
		"of the host's state": {func(h *host) {
			h.confirm(5, 70*time.Second)
			h.setElapsed(time.Second)
		}, time.Second, 50},
		"of an earlier state": {func(h *host) {
			h.confirm(4, 70*time.Second)
			h.setElapsed(time.Second)
		}, time.Second, 40},
		"of a later state": {func(h *host) {
			h.confirm(5, 70*time.Second)
			h.setElapsed(time.Second)
			h.confirm(6, 71*time.Second)
			h.setElapsed(2 * time.Second)
		}, 2 * time.Second, 50},
		"of a later state that the host reaches": {func(h *host) {
			h.confirm(5, 70*time.Second)
			h.setElapsed(time.Second)
			h.confirm(6, 71*time.Second)
			h.setElapsed(2 * time.Second)
			h.has = 6
		}, time.Second, 60},
		"of a later state, then an older one of the host's state": {func(h *host) {
			h.confirm(6, 72*time.Second)
			h.confirm(5, 71*time.Second)
		}, time.Second, 50},
		"duplicated and out of order": {func(h *host) {
			h.confirm(5, 72*time.Second)
			h.setElapsed(time.Second)
			h.confirm(5, 71*time.Second)
			h.confirm(5, 72*time.Second)
		}, time.Second, 50},
		"that waited while the host was suspended": {func(h *host) {
			h.confirm(5, 70*time.Second)
			h.setElapsed(10 * time.Second)
			h.confirm(5, 71*time.Second)
			h.confirm(5, 72*time.Second)
		}, 8 * time.Second, 50},
		"no confirmation": {func(h *host) { h.setElapsed(time.Minute) }, UnknownAge, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHost(5)
			test.steps(h)
			qt.Check(t, h.Age(Settings), qt.Equals, test.age)
			qt.Check(t, h.Revision(Settings), qt.Equals, test.revision)
			own, known := h.OwnConfirmation(Settings)
			qt.Check(t, known, qt.Equals, test.age != UnknownAge)
			qt.Check(t, own.Newest, qt.Equals, h.has)
			qt.Check(t, own.Revision, qt.Equals, test.revision)
		})
	}
}

func TestMustAsk(t *testing.T) {
	tests := map[string]struct {
		before int
		// after is the age after which the host must call the store.
		after time.Duration
	}{
		"first in the order": {0, AskAfter},
		"after all readers":  {Readers, AskAfter + AskStep},
		"last of 71 hosts":   {70, AskAfter + AskDelay(70)},
		"last of 380 hosts":  {379, AskAfter + AskDelay(379)},
	}
	for name, test := range tests {
		for from, confirm := range map[string]func(h *host){"a confirmation": func(h *host) { h.confirm(5, 70*time.Second) }, "the start": func(*host) {}} {
			t.Run(name+", since "+from, func(t *testing.T) {
				h := newHost(5)
				confirm(h)
				h.setElapsed(test.after)
				qt.Check(t, h.MustAsk(Settings, test.before, 0), qt.IsFalse)
				h.setElapsed(test.after + 1)
				qt.Check(t, h.MustAsk(Settings, test.before, 0), qt.IsTrue)
			})
		}
	}
	qt.Check(t, AskDelay(379) < time.Second, qt.IsTrue, qt.Commentf("all hosts of a fleet of 380 have called within a second"))
}

// TestHold checks that the readers' calls end in turn by the store's clock.
func TestHold(t *testing.T) {
	for readers := 1; readers <= Readers+2; readers++ {
		period := time.Duration(min(readers, Readers)) * Phase
		for before := range readers {
			for begins := range 40 {
				h := newHost(5)
				since := time.Duration(begins) * 50 * ms
				h.setElapsed(since)
				h.RecordAnswer(Settings, answer(70*time.Second+since, since, since))
				hold := h.Hold(before, readers)
				qt.Check(t, hold >= minHold && hold < period+minHold, qt.IsTrue, qt.Commentf("%s", hold))
				qt.Check(t, (70*time.Second+since+hold)%period, qt.Equals, time.Duration(before%Readers)*Phase%period)
			}
		}
	}
}
