package freshness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/era"
)

// began is when the tests' hosts start.
var began = time.Unix(1_000_000, 0)

const ms = time.Millisecond

// newState returns a state and its host's clock.
func newState() (*State, *time.Time) {
	now := began
	has := func(Topic) uint64 { return 5 }
	return New(Parts{Clock: func() time.Time { return now }, KnownRevision: has, Newest: has}), &now
}

// answer is one of a store whose clock showed at, sent for and received some time after the start.
func answer(at, sent, received time.Duration) Answer {
	return Answer{At: StoreTime(at), Sent: began.Add(sent), Received: began.Add(received)}
}

func TestAge(t *testing.T) {
	tests := map[string]struct {
		answers []Answer
		// at is how long after the start the age is asked for.
		at   time.Duration
		want time.Duration
	}{
		"nothing is confirmed": {nil, time.Second, UnknownAge},
		"an answer that was on its way for no time": {
			[]Answer{answer(70*time.Second, 0, 0)}, time.Second, time.Second,
		},
		"a later answer": {
			[]Answer{answer(70*time.Second, 0, 0), answer(72*time.Second, 2*time.Second, 2*time.Second)}, 5 * time.Second, 3 * time.Second,
		},
		"a slow answer after a fast one is as old as it is": {
			[]Answer{answer(70*time.Second, 0, 0), answer(71*time.Second, time.Second, 4*time.Second)}, 4 * time.Second, 3 * time.Second,
		},
		"an older answer that arrives late changes nothing": {
			[]Answer{answer(72*time.Second, 2*time.Second, 2*time.Second), answer(71*time.Second, time.Second, 3*time.Second)}, 4 * time.Second, 2 * time.Second,
		},
		"a call that the store held": {
			[]Answer{answer(70*time.Second, 0, 0), answer(72*time.Second, 10*ms, 2*time.Second)}, 3 * time.Second, time.Second,
		},
		"an answer that arrives once its host was suspended": {
			[]Answer{answer(70*time.Second, 0, 0), answer(71*time.Second, time.Second, time.Hour)}, time.Hour, time.Hour - time.Second,
		},
		"the store's clock begins anew": {
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
			*now = began.Add(test.at)
			qt.Check(t, state.Age(Settings), qt.Equals, test.want)
			qt.Check(t, state.Age(Endpoints), qt.Equals, UnknownAge, qt.Commentf("nothing was said of the other topic"))
		})
	}
}

// TestTheStoreClockFollowsDrift is a host whose clock is too fast by 1 ms a second: without an end
// to old samples, ages would grow without bound.
func TestTheStoreClockFollowsDrift(t *testing.T) {
	state, now := newState()
	for second := range 600 {
		at := time.Duration(second) * time.Second
		state.RecordAnswer(Settings, Answer{At: StoreTime(at), Sent: began.Add(at + at/1000 - 2*time.Second), Received: began.Add(at + at/1000)})
		*now = began.Add(at + at/1000)
		qt.Assert(t, state.Age(Settings) <= 2*clockWindow/1000, qt.IsTrue, qt.Commentf("%s after %s", state.Age(Settings), at))
	}
}

// host is a state with what its host has of the settings.
type host struct {
	*State
	now *time.Time
	has uint64
}

func newHost(has uint64) *host {
	now := began
	h := &host{now: &now, has: has}
	own := func(Topic) uint64 { return h.has }
	h.State = New(Parts{Clock: func() time.Time { return now }, KnownRevision: own, Newest: own})
	return h
}

// at sets the time since the start.
func (h *host) at(since time.Duration) { *h.now = began.Add(since) }

// hear takes a peer's confirmation of the settings.
func (h *host) confirm(newest uint64, asOf time.Duration) {
	h.RecordConfirmation(Settings, Confirmation{Newest: newest, Revision: newest * 10, AsOf: StoreTime(asOf)})
}

// TestAgesAcrossARestoreOfTheStore has the store come back with a clock of its own, which says less than before.
func TestAgesAcrossARestoreOfTheStore(t *testing.T) {
	c := qt.New(t)
	restored, err := era.Revision(1, 4)
	c.Assert(err, qt.IsNil)
	h := newHost(50)
	for topic := range NumTopics {
		h.RecordAnswer(topic, Answer{Revision: 50, At: StoreTime(70 * time.Second), Sent: began, Received: began})
	}
	h.at(2 * time.Second)
	h.RecordAnswer(Settings, Answer{Revision: restored, At: StoreTime(time.Second), Sent: *h.now, Received: *h.now})
	h.at(3 * time.Second)
	c.Check(h.Age(Settings), qt.Equals, time.Second)
	c.Check(h.Age(Endpoints), qt.Equals, 3*time.Second, qt.Commentf("nothing is confirmed in the new era"))
	h.RecordConfirmation(Endpoints, Confirmation{Newest: 50, Revision: 60, AsOf: StoreTime(73 * time.Second)})
	c.Check(h.Age(Endpoints), qt.Equals, 3*time.Second, qt.Commentf("a confirmation of before does not count"))
	c.Check(h.MustAsk(Endpoints, 0), qt.IsTrue)
	h.RecordConfirmation(Endpoints, Confirmation{Newest: 50, Revision: restored, AsOf: StoreTime(2 * time.Second)})
	c.Check(h.Age(Endpoints), qt.Equals, time.Duration(0))
	c.Check(h.Revision(Endpoints), qt.Equals, restored)
}

// TestAnAnswerOfBeforeARestoreComesAfterIt guards against readings of the clocks of two stores that are compared.
func TestAnAnswerOfBeforeARestoreComesAfterIt(t *testing.T) {
	c := qt.New(t)
	restored, err := era.Revision(1, 4)
	c.Assert(err, qt.IsNil)
	h := newHost(50)
	h.at(2 * time.Second)
	h.RecordConfirmation(Settings, Confirmation{Newest: 50, Revision: restored, AsOf: StoreTime(time.Second)})
	h.RecordAnswer(Settings, Answer{Revision: 50, At: StoreTime(time.Hour), Sent: began, Received: *h.now})
	h.at(3 * time.Second)
	c.Check(h.Age(Settings), qt.Equals, time.Second)
	c.Check(h.Age(Endpoints), qt.Equals, UnknownAge)
}

func TestConfirmationsOfPeers(t *testing.T) {
	tests := map[string]struct {
		play     func(h *host)
		age      time.Duration
		revision uint64
	}{
		"of what the host has": {func(h *host) {
			h.confirm(5, 70*time.Second)
			h.at(time.Second)
		}, time.Second, 50},
		"of less than the host has": {func(h *host) {
			h.confirm(4, 70*time.Second)
			h.at(time.Second)
		}, time.Second, 40},
		"of more than the host has": {func(h *host) {
			h.confirm(5, 70*time.Second)
			h.at(time.Second)
			h.confirm(6, 71*time.Second)
			h.at(2 * time.Second)
		}, 2 * time.Second, 50},
		"of more, which the host then gets": {func(h *host) {
			h.confirm(5, 70*time.Second)
			h.at(time.Second)
			h.confirm(6, 71*time.Second)
			h.at(2 * time.Second)
			h.has = 6
		}, time.Second, 60},
		"of more, and then one of what the host has that is older": {func(h *host) {
			h.confirm(6, 72*time.Second)
			h.confirm(5, 71*time.Second)
		}, time.Second, 50},
		"twice, and out of order": {func(h *host) {
			h.confirm(5, 72*time.Second)
			h.at(time.Second)
			h.confirm(5, 71*time.Second)
			h.confirm(5, 72*time.Second)
		}, time.Second, 50},
		"that waited while the host was frozen": {func(h *host) {
			h.confirm(5, 70*time.Second)
			h.at(10 * time.Second)
			h.confirm(5, 71*time.Second)
			h.confirm(5, 72*time.Second)
		}, 8 * time.Second, 50},
		"none at all": {func(h *host) { h.at(time.Minute) }, UnknownAge, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHost(5)
			test.play(h)
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
		// after is the age from which a host has to ask.
		after time.Duration
	}{
		"first in the order":    {0, AskAfter},
		"behind all readers":    {Readers, AskAfter + AskStep},
		"last of 71 hosts":      {70, AskAfter + AskDelay(70)},
		"far behind in a fleet": {379, AskAfter + AskDelay(379)},
	}
	for name, test := range tests {
		for from, confirm := range map[string]func(h *host){"a confirmation": func(h *host) { h.confirm(5, 70*time.Second) }, "the start": func(*host) {}} {
			t.Run(name+", since "+from, func(t *testing.T) {
				h := newHost(5)
				confirm(h)
				h.at(test.after)
				qt.Check(t, h.MustAsk(Settings, test.before), qt.IsFalse)
				h.at(test.after + 1)
				qt.Check(t, h.MustAsk(Settings, test.before), qt.IsTrue)
			})
		}
	}
	qt.Check(t, AskDelay(379) < time.Second, qt.IsTrue, qt.Commentf("all hosts of a fleet of 380 have asked within a second"))
}

// TestHold checks that the calls of readers end in turn by the store's clock.
func TestHold(t *testing.T) {
	for readers := 1; readers <= Readers+2; readers++ {
		period := time.Duration(min(readers, Readers)) * Phase
		for before := range readers {
			for begins := range 40 {
				h := newHost(5)
				since := time.Duration(begins) * 50 * ms
				h.at(since)
				h.RecordAnswer(Settings, answer(70*time.Second+since, since, since))
				hold := h.Hold(before, readers)
				qt.Check(t, hold >= leastHold && hold < period+leastHold, qt.IsTrue, qt.Commentf("%s", hold))
				qt.Check(t, (70*time.Second+since+hold)%period, qt.Equals, time.Duration(before%Readers)*Phase%period)
			}
		}
	}
}
