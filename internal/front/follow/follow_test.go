package follow

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// reading is what the next call of a source gives.
type reading struct {
	batch Batch[string]
	err   error
}

// scripted is a source that gives prepared readings, and then blocks.
type scripted struct {
	loads, waits chan reading
	after        chan uint64
	// held are the times for which the calls might be held.
	held chan time.Duration
}

func (s *scripted) Load(ctx context.Context) (Batch[string], error) { return next(ctx, s.loads) }

func (s *scripted) Wait(ctx context.Context, after uint64, held time.Duration) (Batch[string], error) {
	s.after <- after
	s.held <- held
	return next(ctx, s.waits)
}

func next(ctx context.Context, readings chan reading) (Batch[string], error) {
	select {
	case r := <-readings:
		return r.batch, r.err
	case <-ctx.Done():
		return Batch[string]{}, ctx.Err()
	}
}

// recorder takes what a follower reads.
type recorder struct {
	taken    chan string
	position atomic.Uint64
	// answers are those that the follower reported. They may be read once it has ended.
	answers []freshness.Answer
}

// newScripted makes a source without readings.
func newScripted() *scripted {
	return &scripted{
		loads: make(chan reading, 9), waits: make(chan reading, 9), after: make(chan uint64, 99), held: make(chan time.Duration, 99),
	}
}

// start runs a follower of a source until stop is called.
func start(source *scripted, duty func() Duty) (f *Follower[string], sink *recorder, stop func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	sink = &recorder{taken: make(chan string, 9)}
	f = New(Parts[string]{
		Source: source, Sink: sink, Log: logrus.NewEntry(log), Clock: time.Now, Random: func() float64 { return 0 }, Duty: duty,
		Position: sink.position.Load, CountCall: func(counters.StoreCallReason) {},
		OnAnswer: func(a freshness.Answer) { sink.answers = append(sink.answers, a) },
	})
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		f.Run(done)
		close(ended)
	}()
	return f, sink, func() {
		close(done)
		<-ended
	}
}

// hold is how long the store may hold the calls of these tests.
const hold = 2 * time.Second

// read is the duty of a host that reads for others.
func read() Duty { return Duty{Call: true, Reads: true, Hold: hold} }

func (r *recorder) Replace(batch Batch[string]) { r.note("whole", batch) }
func (r *recorder) Apply(batch Batch[string])   { r.note("change", batch) }

func (r *recorder) note(kind string, batch Batch[string]) {
	r.position.Store(batch.Revision)
	for _, item := range batch.Items {
		r.taken <- kind + " " + item
	}
}

// inEra returns a revision of an era.
func inEra(number, ver uint64) uint64 {
	revision, err := era.Revision(number, ver)
	if err != nil {
		panic(err) // The tests' numbers are small.
	}
	return revision
}

func batch(revision uint64, items ...string) reading {
	return reading{batch: Batch[string]{Revision: revision, Items: items}}
}

func TestFollow(t *testing.T) {
	away := errors.New("away")
	tests := map[string]struct {
		loads, waits []reading
		want         []string
	}{
		"whole, then changes": {
			[]reading{batch(3, "a")}, []reading{batch(4, "b"), batch(5), batch(6, "c")}, []string{"whole a", "change b", "change c"},
		},
		"the store is away at first": {
			[]reading{{err: away}, {err: away}, batch(3, "a")}, nil, []string{"whole a"},
		},
		"the store is away for a while": {
			[]reading{batch(3, "a")}, []reading{{err: away}, {err: away}, batch(4, "b")}, []string{"whole a", "change b"},
		},
		"history is gone": {
			[]reading{batch(3, "a"), batch(9, "z")}, []reading{{err: ErrHistoryGone}}, []string{"whole a", "whole z"},
		},
		"an old answer is left out": {
			[]reading{batch(3, "a")}, []reading{batch(2, "old"), batch(4, "b")}, []string{"whole a", "change b"},
		},
		"an old table is left out": {
			[]reading{batch(3, "a"), batch(2, "old"), batch(9, "z")}, []reading{{err: ErrHistoryGone}}, []string{"whole a", "whole z"},
		},
		"an answer of a new era": {
			[]reading{batch(9, "a"), batch(inEra(1, 4), "z")},
			[]reading{batch(inEra(1, 12), "part"), batch(inEra(1, 5), "b")},
			[]string{"whole a", "whole z", "change b"},
		},
		"history is gone in a new era": {
			[]reading{batch(9, "a"), batch(inEra(1, 4), "z")},
			[]reading{{err: ErrHistoryGone}, batch(inEra(1, 5), "b")},
			[]string{"whole a", "whole z", "change b"},
		},
		"a copy that was left in an earlier era": {
			[]reading{batch(inEra(2, 4), "a")},
			[]reading{batch(inEra(1, 70), "old"), batch(inEra(2, 5), "b")},
			[]string{"whole a", "change b"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			source := newScripted()
			for _, r := range test.loads {
				source.loads <- r
			}
			for _, r := range test.waits {
				source.waits <- r
			}
			_, sink, stop := start(source, read)
			for _, want := range test.want {
				c.Check(<-sink.taken, qt.Equals, want)
			}
			stop()
		})
	}
}

// TestAHostWithoutDuty checks that a host without duty reads nothing, and that it goes on from what peers have
// brought meanwhile.
func TestAHostWithoutDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := newScripted()
		source.loads <- batch(3, "a")
		var reads atomic.Bool
		follower, sink, stop := start(source, func() Duty {
			if reads.Load() {
				return read()
			}
			return Duty{}
		})
		time.Sleep(time.Minute)
		c.Check(source.loads, qt.HasLen, 1, qt.Commentf("nothing is read"))
		c.Check(follower.IsReading(), qt.IsFalse)
		reads.Store(true)
		c.Check(<-sink.taken, qt.Equals, "whole a")
		synctest.Wait()
		c.Check(follower.IsReading(), qt.IsTrue)
		c.Check(<-source.after, qt.Equals, uint64(3))
		reads.Store(false)
		source.waits <- batch(4)
		time.Sleep(time.Second)
		c.Check(follower.IsReading(), qt.IsFalse)
		sink.position.Store(9)
		reads.Store(true)
		c.Check(<-source.after, qt.Equals, uint64(9), qt.Commentf("the position that peers brought"))
		stop()
	})
}

// TestASilentCallIsNoReading is incident 28: a call that the store holds falls silent. Its host must say
// soon that it does not read, and call anew.
func TestASilentCallIsNoReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := newScripted()
		source.loads <- batch(3, "a")
		follower, sink, stop := start(source, read)
		c.Check(<-sink.taken, qt.Equals, "whole a")
		c.Check(<-source.held, qt.Equals, hold)
		time.Sleep(hold + HeldTimeout - time.Millisecond)
		c.Check(follower.IsReading(), qt.IsTrue)
		time.Sleep(2 * time.Millisecond)
		c.Check(follower.IsReading(), qt.IsFalse)
		c.Check(source.held, qt.HasLen, 0)
		time.Sleep(storeBackoff.First)
		c.Check(<-source.held, qt.Equals, time.Duration(0))
		source.waits <- batch(4, "b")
		c.Check(<-sink.taken, qt.Equals, "change b")
		synctest.Wait()
		c.Check(follower.IsReading(), qt.IsTrue)
		stop()
	})
}

// TestAStoreThatNeverHasTheHistoryIsAskedInALoop guards against calls without a pause: 410, the whole table, 410 again.
func TestAStoreThatNeverHasTheHistoryIsAskedInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := newScripted()
		for range cap(source.loads) {
			source.loads <- batch(3)
			source.waits <- reading{err: ErrHistoryGone}
		}
		_, _, stop := start(source, read)
		time.Sleep(storeBackoff.Longest)
		c.Check(len(source.loads) >= cap(source.loads)-5, qt.IsTrue, qt.Commentf("%d tables read", cap(source.loads)-len(source.loads)))
		stop()
	})
}

// TestAnEmptyStoreIsReadOnce is the first start of a deployment, before the operator has written anything: the
// table was read again and again, without a pause (first trial of the mend of incident 28).
func TestAnEmptyStoreIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := newScripted()
		source.loads <- batch(0)
		source.loads <- batch(0)
		_, sink, stop := start(source, read)
		c.Check(<-source.after, qt.Equals, uint64(0))
		c.Check(source.loads, qt.HasLen, 1)
		source.waits <- batch(1, "a")
		c.Check(<-sink.taken, qt.Equals, "change a")
		stop()
	})
}

// TestAPageOfChangesHoldsUpTheNext has the store bring many changes in pages. Only after the last ones a follower waits for others.
func TestAPageOfChangesHoldsUpTheNext(t *testing.T) {
	const pages = 5
	tests := map[string]struct {
		isPage bool
		within time.Duration
	}{
		"pages":       {true, Spacing / 2},
		"all changes": {false, pages * Spacing},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				source := newScripted()
				source.loads <- reading{batch: Batch[string]{Revision: 1}}
				for page := range uint64(pages) {
					source.waits <- reading{batch: Batch[string]{Revision: page + 2, Items: []string{""}, IsPage: test.isPage}}
				}
				began := time.Now()
				_, sink, stop := start(source, read)
				defer stop()
				for range pages {
					<-sink.taken
				}
				took := time.Since(began)
				c.Check(took <= test.within, qt.IsTrue, qt.Commentf("%s", took))
				c.Check(took >= test.within-Spacing, qt.IsTrue, qt.Commentf("%s", took))
			})
		})
	}
}

// TestHostsThatOnlyAsk checks how often hosts call that do not read for others while the store is silent.
func TestHostsThatOnlyAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := newScripted()
		source.loads <- batch(3, "a")
		const retry = 10 * time.Second
		follower, sink, stop := start(source, func() Duty { return Duty{Call: true, Retry: retry} })
		c.Check(<-sink.taken, qt.Equals, "whole a")
		time.Sleep(time.Minute)
		calls := len(source.held)
		c.Check(calls >= 9 && calls <= 10, qt.IsTrue, qt.Commentf("%d calls of 1.5 s, at least 5 s apart", calls))
		c.Check(follower.IsReading(), qt.IsFalse)
		stop()
	})
}

// TestNoCallIsHeldAfterAFailure is the day store-silent: calls that were held by a
// silent store hid its return for 6.5 s, and with it a change (CONFIG, DENIED).
func TestNoCallIsHeldAfterAFailure(t *testing.T) {
	c := qt.New(t)
	source := newScripted()
	source.loads <- batch(3, "a")
	source.waits <- reading{err: errors.New("silent")}
	source.waits <- reading{err: errors.New("silent")}
	source.waits <- batch(4, "b")
	_, sink, stop := start(source, read)
	c.Check(<-sink.taken, qt.Equals, "whole a")
	c.Check(<-sink.taken, qt.Equals, "change b")
	for _, want := range []time.Duration{hold, 0, 0, hold} {
		c.Check(<-source.held, qt.Equals, want)
	}
	stop()
}

// TestAnswersAreReported checks that only answers count, also those that bring nothing.
func TestAnswersAreReported(t *testing.T) {
	c := qt.New(t)
	source := newScripted()
	at := func(revision uint64, at freshness.StoreTime, items ...string) reading {
		r := batch(revision, items...)
		r.batch.At = at
		return r
	}
	source.loads <- reading{err: errors.New("away")}
	source.loads <- at(3, 70, "a")
	source.waits <- at(3, 80)
	source.waits <- reading{err: errors.New("silent")}
	source.waits <- at(4, 90, "b")
	_, sink, stop := start(source, read)
	c.Check(<-sink.taken, qt.Equals, "whole a")
	c.Check(<-sink.taken, qt.Equals, "change b")
	// The next call begins when the answer has been reported.
	for range 4 {
		<-source.after
	}
	stop()
	var reported []freshness.StoreTime
	for _, answer := range sink.answers {
		reported = append(reported, answer.At)
		c.Check(answer.Received.Before(answer.Sent), qt.IsFalse)
	}
	c.Check(reported, qt.DeepEquals, []freshness.StoreTime{70, 80, 90})
}
