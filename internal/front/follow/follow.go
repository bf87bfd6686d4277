// Package follow keeps a host up to date with a table of the store: it reads the
// table whole, then waits for changes, and reads it whole again when the store has
// dropped the changes that it lacks. While the store is away it tries on, and the
// last state stays.
package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// ErrHistoryGone is given by a Source when changes since the revision are not to
// be had any more.
var ErrHistoryGone = merry.Sentinel("the store has dropped these changes")

// Batch is a part of a table's history, or the whole table.
type Batch[T any] struct {
	// Revision is the state of the store that the batch leads to.
	Revision uint64
	// Changed is the revision of the newest change in the batch, or 0 if it has none.
	Changed uint64
	Items   []T
}

// Source is a table of the store.
type Source[T any] interface {
	// Load reads the whole table.
	Load(ctx context.Context) (Batch[T], error)
	// Wait gives the changes after a revision as soon as there are any. It gives
	// an empty batch when there were none for the time that it is held.
	Wait(ctx context.Context, after uint64, held time.Duration) (Batch[T], error)
}

// Sink takes what a follower reads.
type Sink[T any] interface {
	// Replace takes a whole table.
	Replace(batch Batch[T])
	// Apply takes changes.
	Apply(batch Batch[T])
}

// holdTime is how long the store may hold a call while there are no changes. After a
// failure it holds none: a call that a silent store never answers would hide for so
// long that the store is back.
const holdTime = 5 * time.Second

// storeBackoff is the wait between tries while the store is away. At least half of it is
// waited, so that a store that fails at once is not asked in a loop.
var storeBackoff = backoff.Doubling{First: 150 * time.Millisecond, Longest: time.Second}

// spacing is the least time between a change and the next call: changes that come
// close together are read in one call.
const spacing = 250 * time.Millisecond

// gateCheck is the time between two looks at a closed gate.
const gateCheck = 100 * time.Millisecond

// Follower keeps a sink up to date.
type Follower[T any] struct {
	source Source[T]
	sink   Sink[T]
	log    *logrus.Entry
	random func() float64
	clock  func() time.Time
	// gate reports whether this host is to read the table itself; while it is not,
	// peers bring what is new.
	gate func() bool
	// healthy says that the last call brought an answer.
	healthy atomic.Bool

	revision uint64
	loaded   bool
	failures int
	lostAt   time.Time
}

// New makes a follower that has read nothing. Random gives numbers from 0 up to 1.
func New[T any](source Source[T], sink Sink[T], log *logrus.Entry, random func() float64, clock func() time.Time, gate func() bool) *Follower[T] {
	return &Follower[T]{source: source, sink: sink, log: log, random: random, clock: clock, gate: gate}
}

// Healthy reports whether the follower reads the table and its last call brought an
// answer.
func (f *Follower[T]) Healthy() bool { return f.healthy.Load() }

// Run follows the table until done is closed.
func (f *Follower[T]) Run(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	for ctx.Err() == nil {
		if !f.gate() {
			f.rest()
			if !lifetime.Sleep(ctx, gateCheck) {
				return
			}
			continue
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		if err != nil && !f.backOff(ctx) {
			return
		}
	}
}

// rest ends the reading until the gate opens again. The table is read whole then:
// what came from peers meanwhile is not counted here.
func (f *Follower[T]) rest() {
	if f.loaded {
		f.log.WithField("revision", f.revision).Info("peers read the store now")
	}
	f.loaded, f.failures = false, 0
	f.healthy.Store(false)
}

// step reads the table whole or waits for its next changes.
func (f *Follower[T]) step(ctx context.Context) error {
	if !f.loaded {
		batch, err := f.source.Load(ctx)
		if err != nil {
			return err
		}
		f.sink.Replace(batch)
		f.revision, f.loaded = batch.Revision, true
		return nil
	}
	held := holdTime
	if f.failures > 0 {
		held = 0
	}
	batch, err := f.source.Wait(ctx, f.revision, held)
	if errors.Is(err, ErrHistoryGone) {
		f.log.WithField("revision", f.revision).Warn("history is gone, the table is read anew")
		f.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	if batch.Revision > f.revision {
		f.revision = batch.Revision
		f.sink.Apply(batch)
	}
	if len(batch.Items) > 0 {
		lifetime.Sleep(ctx, spacing)
	}
	return nil
}

// note logs the loss and the return of the store, once each.
func (f *Follower[T]) note(err error) {
	f.healthy.Store(err == nil)
	switch {
	case err != nil && f.failures == 0:
		f.lostAt = f.clock()
		f.log.WithError(err).WithField("revision", f.revision).Warn("store lost, the last state stays in force")
	case err == nil && f.failures > 0:
		f.log.WithFields(logrus.Fields{
			"failures": f.failures, "away_ms": f.clock().Sub(f.lostAt).Milliseconds(), "revision": f.revision,
		}).Info("store regained")
	}
	if err != nil {
		f.failures++
		return
	}
	f.failures = 0
}

// backOff waits before the next try, and reports false if ctx ended.
func (f *Follower[T]) backOff(ctx context.Context) bool {
	return lifetime.Sleep(ctx, backoff.Jitter(storeBackoff.Span(f.failures-1), 0.5, f.random()))
}
