// Package follow keeps a host of oxbowslip-front up to date with a table of the deployment's
// store: it reads the table whole, then waits for changes, and reads it whole again when the
// store has dropped changes that it lacks. While the store is away it keeps trying, and the
// last state stays in force.
//
// It owns the position in the table's history. The calls to the store are those of a Source;
// what is read goes to a Sink. oxbowslipd polls a head row instead (package daemon/poller),
// because its table service has no feed of changes.
package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// ErrHistoryGone is returned by a Source that no longer has the changes since a revision.
var ErrHistoryGone = merry.Sentinel("the store has dropped these changes")

// Batch is a part of a table's history, or the whole table.
type Batch[T any] struct {
	// Revision is the state of the store that the batch leads to.
	Revision uint64
	// Changed is the revision of the newest change in the batch, or 0 if it has none.
	Changed uint64
	// At is the store's clock when it answered.
	At    freshness.StoreTime
	Items []T
}

// Source reads a table of the store. Its methods block until the store answers or ctx ends.
type Source[T any] interface {
	// Load returns the whole table.
	Load(ctx context.Context) (Batch[T], error)
	// Wait returns the changes after a revision as soon as there are any, and an empty batch
	// if there were none for the time that the store may hold the call.
	Wait(ctx context.Context, after uint64, held time.Duration) (Batch[T], error)
}

// Sink receives what a follower reads.
type Sink[T any] interface {
	// Replace replaces the whole table.
	Replace(batch Batch[T])
	// Apply applies changes.
	Apply(batch Batch[T])
}

// holdTime is how long the store may hold a call while there are no changes. Not measured: a
// store that went silent is noticed after this and the timeout of a call.
const holdTime = 5 * time.Second

// heldFor returns how long the store may hold the next call. After a failure it may not hold
// it at all: a silent store would never answer a call that it holds, and its return would go
// unnoticed for so long that a change misses its bound (docs/incidents, store-silent).
func heldFor(failures int) time.Duration {
	if failures > 0 {
		return 0
	}
	return holdTime
}

// storeBackoff is the wait between tries while the store is away. At least half of it is
// waited, so that a store that fails at once is not asked in a loop. Not measured: changes
// must be in force two seconds after the store's return on the users' platform.
var storeBackoff = backoff.Doubling{First: 150 * time.Millisecond, Longest: time.Second}

const (
	// leastBackoff is the part of storeBackoff that is always waited. Not measured.
	leastBackoff = 0.5
	// spacing is the least time between a change and the next call: changes that come close
	// together are read in one call. Measured with 71 hosts, together with the readers of
	// package gossip (dff5355): 489 calls on a quiet day instead of 8,085.
	spacing = 250 * time.Millisecond
	// closedCheck is the time between two looks whether this host should read again. Not
	// measured.
	closedCheck = 100 * time.Millisecond
)

// Parts are what a follower works with.
type Parts[T any] struct {
	Source Source[T]
	Sink   Sink[T]
	Log    *logrus.Entry
	Clock  func() time.Time
	// Random returns numbers from 0 up to 1.
	Random func() float64
	// Open reports whether this host is to read the table itself. While it is not, peers
	// bring what is new.
	Open func() bool
	// Answered is called when the store has answered and the sink has what it brought.
	Answered func(freshness.Answer)
}

// Follower keeps a sink up to date.
type Follower[T any] struct {
	parts Parts[T]
	// healthy is set while the last call brought an answer.
	healthy atomic.Bool

	// The rest is used by Run only.

	revision uint64
	loaded   bool
	// failures counts the calls that failed in a row, lostAt is when the first did.
	failures int
	lostAt   time.Time
	// answeredAt is when the last answer came.
	answeredAt time.Time
}

// New returns a follower that has read nothing.
func New[T any](parts Parts[T]) *Follower[T] { return &Follower[T]{parts: parts} }

// Healthy reports whether the follower reads the table and its last call brought an answer.
func (f *Follower[T]) Healthy() bool { return f.healthy.Load() }

// Run follows the table until done is closed.
func (f *Follower[T]) Run(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	for ctx.Err() == nil {
		if !f.parts.Open() {
			f.pauseReading()
			lifetime.Sleep(ctx, closedCheck)
			continue
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		if err != nil {
			f.backOff(ctx)
		}
	}
}

// pauseReading forgets the position. The table is read whole when this host is to read again:
// what came from peers meanwhile is not counted here.
func (f *Follower[T]) pauseReading() {
	if f.loaded {
		f.parts.Log.WithField("revision", f.revision).Info("peers read the store now")
	}
	f.loaded, f.failures = false, 0
	f.healthy.Store(false)
}

// step reads the table whole or waits for its next changes.
func (f *Follower[T]) step(ctx context.Context) error {
	if !f.loaded {
		return f.load(ctx)
	}
	sent := f.parts.Clock()
	batch, err := f.parts.Source.Wait(ctx, f.revision, heldFor(f.failures))
	if errors.Is(err, ErrHistoryGone) {
		f.parts.Log.WithField("revision", f.revision).Warn("history is gone, the table is read again")
		f.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	if batch.Revision > f.revision {
		f.revision = batch.Revision
		f.parts.Sink.Apply(batch)
	}
	f.answered(sent, batch.At)
	if len(batch.Items) > 0 {
		lifetime.Sleep(ctx, spacing)
	}
	return nil
}

func (f *Follower[T]) load(ctx context.Context) error {
	sent := f.parts.Clock()
	batch, err := f.parts.Source.Load(ctx)
	if err != nil {
		return err
	}
	f.parts.Sink.Replace(batch)
	f.revision, f.loaded = batch.Revision, true
	f.answered(sent, batch.At)
	return nil
}

// answered reports an answer whose call was sent at a time.
func (f *Follower[T]) answered(sent time.Time, at freshness.StoreTime) {
	f.answeredAt = f.parts.Clock()
	f.parts.Answered(freshness.Answer{At: at, Sent: sent, Received: f.answeredAt})
}

// note logs the loss and the return of the store, once each.
func (f *Follower[T]) note(err error) {
	f.healthy.Store(err == nil)
	switch {
	case err != nil && f.failures == 0:
		f.lostAt = f.parts.Clock()
		f.parts.Log.WithError(err).WithFields(logrus.Fields{
			"revision": f.revision, "unanswered_ms": f.unanswered().Milliseconds(),
		}).Warn("store lost, the last state stays in force")
	case err == nil && f.failures > 0:
		f.parts.Log.WithFields(logrus.Fields{
			"failures": f.failures, "away_ms": f.parts.Clock().Sub(f.lostAt).Milliseconds(), "revision": f.revision,
		}).Info("store regained")
	}
	if err != nil {
		f.failures++
		return
	}
	f.failures = 0
}

// unanswered returns the time since the last answer, or -1 ms if there was none.
func (f *Follower[T]) unanswered() time.Duration {
	if f.answeredAt.IsZero() {
		return -time.Millisecond
	}
	return f.parts.Clock().Sub(f.answeredAt)
}

// backOff waits before the next try.
func (f *Follower[T]) backOff(ctx context.Context) {
	lifetime.Sleep(ctx, backoff.Jitter(storeBackoff.Span(f.failures-1), leastBackoff, f.parts.Random()))
}
