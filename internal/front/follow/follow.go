// Package follow keeps a host of oxbowslip-front up to date with a table of the deployment's
// store: it reads the table whole, then waits for changes, and reads it whole again when the
// store has dropped changes that it lacks, or has come back from an older copy. While the store is away it keeps trying, and the
// last state stays in force.
//
// It owns the calls and how long each may take. Whether a host calls at all is its Duty: a few
// hosts read for all others, and the rest ask only when nobody else has confirmed what they know.
// The calls to the store are those of a Source; what is read goes to a Sink. oxbowslipd polls a
// head row instead (package daemon/poller), because its table service has no feed of changes.
package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// ErrHistoryGone is returned by a Source that no longer has the changes since a revision.
var ErrHistoryGone = merry.Sentinel("the store has dropped these changes")

// errBehind: the store answered as of before what it has answered already, such as a copy that was left behind.
var errBehind = merry.Sentinel("the store is behind what is known")

// Batch is a part of a table's history, or the whole table.
type Batch[T any] struct {
	// Revision is the state of the store that the batch leads to.
	Revision uint64
	// Changed is the revision of the newest change in the batch, or 0 if it has none.
	Changed uint64
	// At is the store's clock when it answered.
	At    freshness.StoreTime
	Items []T
	// IsPage is set if the store answers no more changes at a time and may have more.
	IsPage bool
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

// Duty is what a host is to do about a table now. Without Call, peers bring what is new.
type Duty struct {
	// Call is set if the host is to call the store.
	Call bool
	// Reads is set if the host reads for others too, call after call.
	Reads bool
	// Hold is how long the store may hold the call while there are no changes.
	Hold time.Duration
	// Retry is the mean time between calls of a host that does not read for others while they fail.
	Retry time.Duration
}

const (
	// CallTimeout bounds a call that the store does not hold. The store usually answers in
	// milliseconds; with a longer bound a host would notice a silent store too late (incident
	// store-silent).
	CallTimeout = 1500 * time.Millisecond
	// HeldTimeout bounds a call beyond the time that the store may hold it. A call that is silent for longer counts as
	// lost, and its host as one that does not read (incident 28). A store that is sixty times slower than usual answers
	// within 240 ms on the users' platform.
	HeldTimeout = 500 * time.Millisecond
)

// heldFor returns how long the store may hold the next call of a host. After a failure it may not
// hold it at all: a silent store would never answer a call that it holds, and its return would go
// unnoticed for so long that a change misses its bound (docs/incidents, store-silent).
func heldFor(duty Duty, failures int) time.Duration {
	if failures > 0 {
		return 0
	}
	return duty.Hold
}

// reasonOf returns why a host waits for changes.
func reasonOf(duty Duty) counters.StoreCallReason {
	if duty.Reads {
		return counters.StoreCallRead
	}
	return counters.StoreCallAsk
}

// timeoutOf returns how long a call may take that the store may hold for a time.
func timeoutOf(held time.Duration) time.Duration { return max(held+HeldTimeout, CallTimeout) }

// FirstBackoff is the wait after a first call that failed.
const FirstBackoff = 150 * time.Millisecond

// storeBackoff is the wait between tries while the store is away. At least half of it is waited, so that a store that
// fails at once is not asked in a loop. Changes must be in force two seconds after the store's return on the users'
// platform.
var storeBackoff = backoff.Doubling{First: FirstBackoff, Longest: time.Second}

const (
	// leastBackoff is the part of storeBackoff and of Duty.Retry that is always waited.
	leastBackoff = 0.5
	// Spacing is the least time between a change and the next call: changes that come close together are read in one
	// call.
	Spacing = 250 * time.Millisecond
	// DutyCheckInterval is the time between two looks at the duty of a host that has none.
	DutyCheckInterval = 100 * time.Millisecond
)

// Parts are what a follower works with.
type Parts[T any] struct {
	Source Source[T]
	Sink   Sink[T]
	Log    *logrus.Entry
	Clock  func() time.Time
	// Random returns numbers from 0 up to 1.
	Random func() float64
	// Duty returns what this host is to do about the table now. It is asked before each call.
	Duty func() Duty
	// Position returns the revision up to which this host knows the table, from the store or
	// from peers, or 0 if it has to be read whole.
	Position func() uint64
	// CountCall counts a call and why it is made.
	CountCall func(counters.StoreCallReason)
	// OnAnswer is called when the store has answered and the sink has what it brought.
	OnAnswer func(freshness.Answer)
}

// Follower keeps a sink up to date.
type Follower[T any] struct {
	parts Parts[T]
	// reading is set while the host reads for others and its last call was answered.
	reading atomic.Bool
	// silentAt is when the call under way counts as silent.
	silentAt atomic.Pointer[time.Time]

	// The rest is used by Run only.

	// loaded is set once the table has been read whole: that of a store that is still empty is at
	// revision 0.
	loaded bool
	// gone is set if the store no longer has the changes that this host lacks, goneInRow counts how often it said so while the
	// table did not help.
	gone      bool
	goneInRow int
	// failures counts the calls that failed in a row, lostAt is when the first did.
	failures int
	lostAt   time.Time
	// retryAt is the earliest time of the next call of a host that does not read for others.
	retryAt time.Time
	// answeredAt is when the last answer came.
	answeredAt time.Time
}

// New returns a follower that has read nothing.
func New[T any](parts Parts[T]) *Follower[T] { return &Follower[T]{parts: parts} }

// IsReading reports whether the host reads the table for others and gets answers: its last call brought one,
// and the call under way is not silent for too long.
func (f *Follower[T]) IsReading() bool {
	silentAt := f.silentAt.Load()
	return f.reading.Load() && silentAt != nil && f.parts.Clock().Before(*silentAt)
}

// Run follows the table until done is closed.
func (f *Follower[T]) Run(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	for ctx.Err() == nil {
		duty := f.parts.Duty()
		if !duty.Reads {
			f.stopReading()
		}
		if !f.isDue(duty) {
			lifetime.Sleep(ctx, DutyCheckInterval)
			continue
		}
		isLast, err := f.step(ctx, duty)
		if ctx.Err() != nil {
			return
		}
		f.note(duty, err)
		switch {
		case err != nil:
			f.backOff(ctx, duty)
		case isLast:
			lifetime.Sleep(ctx, Spacing)
		}
	}
}

// stopReading notes that the host does not read for others, or no longer.
func (f *Follower[T]) stopReading() {
	if f.reading.Swap(false) {
		era.Log(f.parts.Log, f.parts.Position()).Info("peers read the store now")
	}
}

// isDue reports whether this host is to call the store now.
func (f *Follower[T]) isDue(duty Duty) bool {
	return duty.Reads || (duty.Call && !f.parts.Clock().Before(f.retryAt))
}

// step reads the table whole, or waits for its next changes and reports whether the last of them have come.
func (f *Follower[T]) step(ctx context.Context, duty Duty) (isLast bool, err error) {
	position := f.parts.Position()
	if f.gone || (position == 0 && !f.loaded) {
		return false, f.load(ctx, position)
	}
	f.parts.CountCall(reasonOf(duty))
	held := heldFor(duty, f.failures)
	sent := f.begin(held)
	batch, err := f.wait(ctx, position, held)
	if errors.Is(err, ErrHistoryGone) {
		f.lostHistory(ctx, position)
		return false, nil
	}
	if err == nil {
		err = checkAge(position, batch.Revision)
	}
	if err != nil {
		return false, err
	}
	if era.Of(batch.Revision) > era.Of(position) {
		era.Log(f.parts.Log, position).WithFields(logrus.Fields{
			"store_revision": era.Number(batch.Revision), "store_era": era.Of(batch.Revision),
		}).Warn("the store came back from an older copy, the table is read again")
		f.gone = true
		return false, nil
	}
	if batch.Revision > position {
		f.parts.Sink.Apply(batch)
	}
	f.goneInRow = 0
	f.answered(sent, batch.Revision, batch.At)
	return len(batch.Items) > 0 && !batch.IsPage, nil
}

// lostHistory has the table read again. If that has not helped before, it waits first, as for a store that is away.
func (f *Follower[T]) lostHistory(ctx context.Context, position uint64) {
	era.Log(f.parts.Log, position).Warn("history is gone, the table is read again")
	f.gone = true
	f.goneInRow++
	if f.goneInRow > 1 {
		lifetime.Sleep(ctx, backoff.Jitter(storeBackoff.Span(f.goneInRow-2), leastBackoff, f.parts.Random()))
	}
}

// checkAge returns an error if an answer is of before what was known when its call was sent: what it says of now is not true.
func checkAge(position, revision uint64) error {
	if revision >= position {
		return nil
	}
	return merry.Prependf(errBehind, "revision %d in era %d, known is %d in era %d", era.Number(revision), era.Of(revision), era.Number(position), era.Of(position))
}

// wait waits for the changes after a position, as long as a call may take that the store may hold for a time.
func (f *Follower[T]) wait(ctx context.Context, position uint64, held time.Duration) (Batch[T], error) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(held))
	defer cancel()
	return f.parts.Source.Wait(ctx, position, held)
}

// begin notes that a call begins that the store may hold, and returns the time.
func (f *Follower[T]) begin(held time.Duration) time.Time {
	now := f.parts.Clock()
	silentAt := now.Add(held + HeldTimeout)
	f.silentAt.Store(&silentAt)
	return now
}

// load reads the table whole. The position is what is known before.
func (f *Follower[T]) load(ctx context.Context, position uint64) error {
	f.parts.CountCall(counters.StoreCallLoad)
	sent := f.begin(0)
	batch, err := f.parts.Source.Load(ctx)
	if err == nil {
		err = checkAge(position, batch.Revision)
	}
	if err != nil {
		return err
	}
	f.parts.Sink.Replace(batch)
	f.loaded, f.gone = true, false
	f.answered(sent, batch.Revision, batch.At)
	return nil
}

// answered reports an answer whose call was sent at a time.
func (f *Follower[T]) answered(sent time.Time, revision uint64, at freshness.StoreTime) {
	f.answeredAt = f.parts.Clock()
	f.parts.OnAnswer(freshness.Answer{Revision: revision, At: at, Sent: sent, Received: f.answeredAt})
}

// note logs the loss and the return of the store, once each.
func (f *Follower[T]) note(duty Duty, err error) {
	f.reading.Store(duty.Reads && err == nil)
	switch {
	case err != nil && f.failures == 0:
		f.lostAt = f.parts.Clock()
		era.Log(f.parts.Log, f.parts.Position()).WithError(err).WithField("unanswered_ms", f.unanswered().Milliseconds()).Warn("store lost, the last state stays in force")
	case err == nil && f.failures > 0:
		era.Log(f.parts.Log, f.parts.Position()).WithFields(logrus.Fields{
			"failures": f.failures, "away_ms": f.parts.Clock().Sub(f.lostAt).Milliseconds(),
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

// backOff waits before the next try. A host that does not read for others lets more time pass, but may be
// made a reader meanwhile.
func (f *Follower[T]) backOff(ctx context.Context, duty Duty) {
	f.retryAt = f.parts.Clock().Add(backoff.Jitter(duty.Retry, leastBackoff, f.parts.Random()))
	lifetime.Sleep(ctx, backoff.Jitter(storeBackoff.Span(f.failures-1), leastBackoff, f.parts.Random()))
}
