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

// callResult is the result of a call to a source.
type callResult struct {
	batch Batch[string]
	err   error
}

// script is a source that returns prepared results, and then blocks.
type script struct {
	loads, waits chan callResult
	after        chan uint64
	// held are the hold times of the calls.
	held chan time.Duration
}

func (s *script) Load(ctx context.Context) (Batch[string], error) { return next(ctx, s.loads) }

func (s *script) Wait(ctx context.Context, after uint64, held time.Duration) (Batch[string], error) {
	s.after <- after
	s.held <- held
	return next(ctx, s.waits)
}

func next(ctx context.Context, readings chan callResult) (Batch[string], error) {
	select {
	case r := <-readings:
		return r.batch, r.err
	case <-ctx.Done():
		return Batch[string]{}, ctx.Err()
	}
}

// recordingSink records what a follower reads.
type recordingSink struct {
	received chan string
	position atomic.Uint64
	// answers are those that the follower reported. They must be read only after it has ended.
	answers []freshness.Answer
}

// newScripted returns a source without results.
func newScripted() *script {
	return &script{
		loads: make(chan callResult, 9), waits: make(chan callResult, 9), after: make(chan uint64, 99), held: make(chan time.Duration, 99),
	}
}

// startFollower runs a follower of a source until stop is called.
func startFollower(source *script, duty func() Duty) (f *Follower[string], sink *recordingSink, stop func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	sink = &recordingSink{received: make(chan string, 9)}
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

// readerDuty is the duty of a host that reads for others.
func readerDuty() Duty { return Duty{Call: true, Reads: true, Hold: hold} }

func (r *recordingSink) Replace(batch Batch[string]) { r.record("whole", batch) }
func (r *recordingSink) Apply(batch Batch[string])   { r.record("change", batch) }

func (r *recordingSink) record(kind string, batch Batch[string]) {
	r.position.Store(batch.Revision)
	for _, item := range batch.Items {
		r.received <- kind + " " + item
	}
}

// inEra returns the revision of a number in an era.
func inEra(storeEra, number uint64) uint64 {
	revision, err := era.Revision(storeEra, number)
	if err != nil {
		panic(err) // The tests' numbers are small.
	}
	return revision
}

func batch(revision uint64, items ...string) callResult {
	return callResult{batch: Batch[string]{Revision: revision, Items: items}}
}

func TestFollow(t *testing.T) {
	unavailable := errors.New("away")
	tests := map[string]struct {
		loads, waits []callResult
		want         []string
	}{
		"the whole table, then changes": {
			[]callResult{batch(3, "a")}, []callResult{batch(4, "b"), batch(5), batch(6, "c")}, []string{"whole a", "change b", "change c"},
		},
		"the store is unavailable at first": {
			[]callResult{{err: unavailable}, {err: unavailable}, batch(3, "a")}, nil, []string{"whole a"},
		},
		"the store is unavailable later": {
			[]callResult{batch(3, "a")}, []callResult{{err: unavailable}, {err: unavailable}, batch(4, "b")}, []string{"whole a", "change b"},
		},
		"history is gone": {
			[]callResult{batch(3, "a"), batch(9, "z")}, []callResult{{err: ErrHistoryGone}}, []string{"whole a", "whole z"},
		},
		"an older answer is ignored": {
			[]callResult{batch(3, "a")}, []callResult{batch(2, "old"), batch(4, "b")}, []string{"whole a", "change b"},
		},
		"an older table is ignored": {
			[]callResult{batch(3, "a"), batch(2, "old"), batch(9, "z")}, []callResult{{err: ErrHistoryGone}}, []string{"whole a", "whole z"},
		},
		"an answer of a new era": {
			[]callResult{batch(9, "a"), batch(inEra(1, 4), "z")},
			[]callResult{batch(inEra(1, 12), "part"), batch(inEra(1, 5), "b")},
			[]string{"whole a", "whole z", "change b"},
		},
		"history is gone in a new era": {
			[]callResult{batch(9, "a"), batch(inEra(1, 4), "z")},
			[]callResult{{err: ErrHistoryGone}, batch(inEra(1, 5), "b")},
			[]string{"whole a", "whole z", "change b"},
		},
		"a stale copy from an earlier era": {
			[]callResult{batch(inEra(2, 4), "a")},
			[]callResult{batch(inEra(1, 70), "old"), batch(inEra(2, 5), "b")},
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
			_, sink, stop := startFollower(source, readerDuty)
			for _, want := range test.want {
				c.Check(<-sink.received, qt.Equals, want)
			}
			stop()
		})
	}
}

// TestHostWithoutDutyDoesNotCall checks that a host without duty does not call the store, and that it later
// continues from the position that peers have brought it to.
func TestHostWithoutDutyDoesNotCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := newScripted()
		source.loads <- batch(3, "a")
		var reads atomic.Bool
		follower, sink, stop := startFollower(source, func() Duty {
			if reads.Load() {
				return readerDuty()
			}
			return Duty{}
		})
		time.Sleep(time.Minute)
		c.Check(source.loads, qt.HasLen, 1, qt.Commentf("nothing is loaded"))
		c.Check(follower.IsReading(), qt.IsFalse)
		reads.Store(true)
		c.Check(<-sink.received, qt.Equals, "whole a")
		synctest.Wait()
		c.Check(follower.IsReading(), qt.IsTrue)
		c.Check(<-source.after, qt.Equals, uint64(3))
		reads.Store(false)
		source.waits <- batch(4)
		time.Sleep(time.Second)
		c.Check(follower.IsReading(), qt.IsFalse)
		sink.position.Store(9)
		reads.Store(true)
		c.Check(<-source.after, qt.Equals, uint64(9), qt.Commentf("the position reached through peers"))
		stop()
	})
}

// TestUnansweredHeldCallEndsReading covers a held call that the store never answers: the host must soon report that
// it does not read, and call again.
func TestUnansweredHeldCallEndsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := newScripted()
		source.loads <- batch(3, "a")
		follower, sink, stop := startFollower(source, readerDuty)
		c.Check(<-sink.received, qt.Equals, "whole a")
		c.Check(<-source.held, qt.Equals, hold)
		time.Sleep(hold + HeldTimeout - time.Millisecond)
		c.Check(follower.IsReading(), qt.IsTrue)
		time.Sleep(2 * time.Millisecond)
		c.Check(follower.IsReading(), qt.IsFalse)
		c.Check(source.held, qt.HasLen, 0)
		time.Sleep(storeBackoff.First)
		c.Check(<-source.held, qt.Equals, time.Duration(0))
		source.waits <- batch(4, "b")
		c.Check(<-sink.received, qt.Equals, "change b")
		synctest.Wait()
		c.Check(follower.IsReading(), qt.IsTrue)
		stop()
	})
}

// TestRepeatedHistoryGoneBacksOff guards against a tight loop with a store that never has the history: 410, the
// whole table, 410 again.
func TestRepeatedHistoryGoneBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := newScripted()
		for range cap(source.loads) {
			source.loads <- batch(3)
			source.waits <- callResult{err: ErrHistoryGone}
		}
		_, _, stop := startFollower(source, readerDuty)
		time.Sleep(storeBackoff.Longest)
		c.Check(len(source.loads) >= cap(source.loads)-5, qt.IsTrue, qt.Commentf("%d tables read", cap(source.loads)-len(source.loads)))
		stop()
	})
}

// TestEmptyTableIsLoadedOnce guards against loading the table in a tight loop at the first start of a deployment,
// before the operator has written anything.
func TestEmptyTableIsLoadedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := newScripted()
		source.loads <- batch(0)
		source.loads <- batch(0)
		_, sink, stop := startFollower(source, readerDuty)
		c.Check(<-source.after, qt.Equals, uint64(0))
		c.Check(source.loads, qt.HasLen, 1)
		source.waits <- batch(1, "a")
		c.Check(<-sink.received, qt.Equals, "change a")
		stop()
	})
}

// TestPagesAreReadWithoutSpacing has the store return many changes in pages. The follower waits for Spacing only
// after the last page.
func TestPagesAreReadWithoutSpacing(t *testing.T) {
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
				source.loads <- callResult{batch: Batch[string]{Revision: 1}}
				for page := range uint64(pages) {
					source.waits <- callResult{batch: Batch[string]{Revision: page + 2, Items: []string{""}, IsPage: test.isPage}}
				}
				began := time.Now()
				_, sink, stop := startFollower(source, readerDuty)
				defer stop()
				for range pages {
					<-sink.received
				}
				took := time.Since(began)
				c.Check(took <= test.within, qt.IsTrue, qt.Commentf("%s", took))
				c.Check(took >= test.within-Spacing, qt.IsTrue, qt.Commentf("%s", took))
			})
		})
	}
}

// TestRetryIntervalOfNonReaders checks how often a host that does not read for others calls an unresponsive store.
func TestRetryIntervalOfNonReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := newScripted()
		source.loads <- batch(3, "a")
		const retry = 10 * time.Second
		follower, sink, stop := startFollower(source, func() Duty { return Duty{Call: true, Retry: retry} })
		c.Check(<-sink.received, qt.Equals, "whole a")
		time.Sleep(time.Minute)
		calls := len(source.held)
		c.Check(calls >= 9 && calls <= 10, qt.IsTrue, qt.Commentf("%d calls of 1.5 s, at least 5 s apart", calls))
		c.Check(follower.IsReading(), qt.IsFalse)
		stop()
	})
}

// TestCallIsNotHeldAfterFailure guards against a late change after the store was unresponsive: calls that it held
// hid its return for 6.5 s.
func TestCallIsNotHeldAfterFailure(t *testing.T) {
	c := qt.New(t)
	source := newScripted()
	source.loads <- batch(3, "a")
	source.waits <- callResult{err: errors.New("silent")}
	source.waits <- callResult{err: errors.New("silent")}
	source.waits <- batch(4, "b")
	_, sink, stop := startFollower(source, readerDuty)
	c.Check(<-sink.received, qt.Equals, "whole a")
	c.Check(<-sink.received, qt.Equals, "change b")
	for _, want := range []time.Duration{hold, 0, 0, hold} {
		c.Check(<-source.held, qt.Equals, want)
	}
	stop()
}

// TestOnlyAnswersAreReported checks that failed calls are not reported as answers, and that empty answers are.
func TestOnlyAnswersAreReported(t *testing.T) {
	c := qt.New(t)
	source := newScripted()
	at := func(revision uint64, at freshness.StoreTime, items ...string) callResult {
		r := batch(revision, items...)
		r.batch.At = at
		return r
	}
	source.loads <- callResult{err: errors.New("away")}
	source.loads <- at(3, 70, "a")
	source.waits <- at(3, 80)
	source.waits <- callResult{err: errors.New("silent")}
	source.waits <- at(4, 90, "b")
	_, sink, stop := startFollower(source, readerDuty)
	c.Check(<-sink.received, qt.Equals, "whole a")
	c.Check(<-sink.received, qt.Equals, "change b")
	// The next call begins after the answer has been reported.
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
