package freshness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// began is when the tests' hosts start.
var began = time.Unix(1_000_000, 0)

const ms = time.Millisecond

// newState returns a state and its host's clock.
func newState() (*State, *time.Time) {
	now := began
	return New(func() time.Time { return now }), &now
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
		"nothing is confirmed": {nil, time.Second, Unknown},
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
		"the store's clock begins anew": {
			[]Answer{answer(70*time.Second, 0, 0), answer(time.Second, 4*time.Second, 4*time.Second), answer(2*time.Second, 5*time.Second, 5*time.Second)},
			5 * time.Second, 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state, now := newState()
			for _, a := range test.answers {
				state.Answered(Settings, a)
			}
			*now = began.Add(test.at)
			qt.Check(t, state.Age(Settings), qt.Equals, test.want)
			qt.Check(t, state.Age(Endpoints), qt.Equals, Unknown, qt.Commentf("nothing was said of the other topic"))
		})
	}
}

// TestTheStoreClockFollowsDrift is a host whose clock is too fast by 1 ms a second: without an end
// to old samples, ages would grow without bound.
func TestTheStoreClockFollowsDrift(t *testing.T) {
	state, now := newState()
	for second := range 600 {
		at := time.Duration(second) * time.Second
		state.Answered(Settings, Answer{At: StoreTime(at), Sent: began.Add(at + at/1000 - 2*time.Second), Received: began.Add(at + at/1000)})
		*now = began.Add(at + at/1000)
		qt.Assert(t, state.Age(Settings) <= 2*clockWindow/1000, qt.IsTrue, qt.Commentf("%s after %s", state.Age(Settings), at))
	}
}
