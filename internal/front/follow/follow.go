// Package follow keeps a host of oxbowslip-front up to date with a table of the deployment's store. It loads the
// whole table, then waits for changes, and loads the table again if the store has dropped changes that the host
// lacks, or was restored from backup. While the store is unavailable it retries, and the last state stays in force.
//
// It owns the calls and their timeouts. The Duty of a host decides whether it calls the store at all: a few hosts
// read for all others, and the rest call only when no other host has confirmed their state. A Source makes the calls
// to the store; a Sink receives the results. oxbowslipd polls a head row instead (package daemon/poller), because
// its table service has no feed of changes.
package follow

import (
	"cmp"
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
var ErrHistoryGone = merry.Sentinel("the store has dropped the changes since the requested revision")

// errStoreBehind is returned for an answer that is older than an earlier one, such as that of a stale copy of the
// store.
var errStoreBehind = merry.Sentinel("the store's answer is older than the state in use")

// Batch is a part of a table's history, or the whole table.
type Batch[T any] struct {
	// Revision is the revision of the store that the batch leads to.
	Revision uint64
	// Changed is the revision of the newest change in the batch, or 0 if it has none.
	Changed uint64
	// At is the store's clock at the time of the answer.
	At    freshness.StoreTime
	Items []T
	// IsPage is set if the batch is as large as the store allows, so that more changes may follow.
	IsPage bool
}

// Source reads a table of the store. Its methods block until the store answers or ctx is done.
type Source[T any] interface {
	// Load returns the whole table.
	Load(ctx context.Context) (Batch[T], error)
	// Wait returns the changes after a revision as soon as there are any, or an empty batch if there were none while
	// the store held the call.
	Wait(ctx context.Context, after uint64, held time.Duration) (Batch[T], error)
}

// Sink receives what a Follower reads.
type Sink[T any] interface {
	// Replace replaces the whole table.
	Replace(batch Batch[T])
	// Apply applies changes.
	Apply(batch Batch[T])
}

// Duty is what a host has to do about a table. Without Call, the host relies on its peers.
type Duty struct {
	// Call is set if the host must call the store.
	Call bool
	// Reads is set if the host reads for others as well and calls continuously.
	Reads bool
	// Hold is how long the store may hold the call while there are no changes.
	Hold time.Duration
	// Retry is the mean time between failing calls of a host that does not read for others.
	Retry time.Duration
	// CheckAfter is when the duty of a host that does not call is checked again; 0 stands for DutyCheckInterval.
	CheckAfter time.Duration
}

const (
	// CallTimeout bounds a call that the store does not hold. The store usually answers within milliseconds; with a
	// longer bound a host would detect an unresponsive store too late.
	CallTimeout = 1500 * time.Millisecond
	// HeldTimeout bounds a held call beyond the time for which the store may hold it. After that the call counts as
	// lost, and its host as one that does not read. On the users' platform a store that is sixty times slower than
	// usual answers within 240 ms.
	HeldTimeout = 500 * time.Millisecond
)

// holdTime returns how long the store may hold the next call of a host. After a failure it may not hold the call: an
// unresponsive store would never answer it, and the host would notice the store's return so late that a change
// misses its deadline.
func holdTime(duty Duty, failures int) time.Duration {
	if failures > 0 {
		return 0
	}
	return duty.Hold
}

// callReason returns why a host waits for changes, for the counters.
func callReason(duty Duty) counters.StoreCallReason {
	if duty.Reads {
		return counters.StoreCallRead
	}
	return counters.StoreCallAsk
}

// callTimeout returns the timeout of a call that the store may hold for the given time.
func callTimeout(held time.Duration) time.Duration { return max(held+HeldTimeout, CallTimeout) }

// FirstBackoff is the back-off after the first failed call.
const FirstBackoff = 150 * time.Millisecond

// storeBackoff is the back-off between retries while the store is unavailable. At least half of it is waited, so
// that a store that fails immediately is not called in a tight loop. On the users' platform changes must be in force
// within two seconds of the store's return.
var storeBackoff = backoff.Doubling{First: FirstBackoff, Longest: time.Second}

const (
	// minBackoffShare is the share of storeBackoff and of Duty.Retry that is always waited; the rest is jitter.
	minBackoffShare = 0.5
	// Spacing is the minimum time between a change and the next call, so that changes in short succession are read
	// in one call.
	Spacing = 250 * time.Millisecond
	// DutyCheckInterval is the time between two checks of the duty of a host that does not call, and RareDutyCheckInterval
	// the same for hosts of a large fleet, which rarely have to call. FirstDutyCheckInterval is that of a host that waits for
	// its first peers.
	DutyCheckInterval      = 100 * time.Millisecond
	RareDutyCheckInterval  = 500 * time.Millisecond
	FirstDutyCheckInterval = 10 * time.Millisecond
)

// Parts are the dependencies of a Follower.
type Parts[T any] struct {
	Source Source[T]
	Sink   Sink[T]
	Log    *logrus.Entry
	Clock  func() time.Time
	// Random returns numbers in [0, 1).
	Random func() float64
	// Duty returns the host's current duty. It is called before each call to the store.
	Duty func() Duty
	// Position returns the revision up to which this host's copy of the table is complete, by the store or by peers,
	// or 0 if the table must be loaded.
	Position func() uint64
	// CountCall counts a call by its reason.
	CountCall func(counters.StoreCallReason)
	// OnAnswer is called for each answer of the store, after the sink has received its contents.
	OnAnswer func(freshness.Answer)
}

// Follower keeps a Sink up to date.
type Follower[T any] struct {
	parts Parts[T]
	// reading is set while the host reads for others and its last call was answered.
	reading atomic.Bool
	// unresponsiveAt is when the current call counts as unanswered.
	unresponsiveAt atomic.Pointer[time.Time]

	// The fields below are used by Run only.

	// loaded is set once the whole table has been read. An empty store is at revision 0, so that the position does
	// not show it.
	loaded bool
	// historyGone is set if the store no longer has the changes that this host lacks. historyGoneInRow counts how
	// often it has reported that without a successful wait in between.
	historyGone      bool
	historyGoneInRow int
	// failures counts the failed calls in a row, lostAt is the time of the first.
	failures int
	lostAt   time.Time
	// retryAt is the earliest time of the next call of a host that does not read for others.
	retryAt time.Time
	// answeredAt is the time of the last answer.
	answeredAt time.Time
}

// New returns a Follower that has read nothing.
func New[T any](parts Parts[T]) *Follower[T] { return &Follower[T]{parts: parts} }

// IsReading reports whether the host reads the table for others and gets answers: its last call was answered, and
// the current one is not overdue.
func (f *Follower[T]) IsReading() bool {
	unresponsiveAt := f.unresponsiveAt.Load()
	return f.reading.Load() && unresponsiveAt != nil && f.parts.Clock().Before(*unresponsiveAt)
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
		if !f.mustCall(duty) {
			lifetime.Sleep(ctx, cmp.Or(duty.CheckAfter, DutyCheckInterval))
			continue
		}
		isLast, err := f.readNext(ctx, duty)
		if ctx.Err() != nil {
			return
		}
		f.recordOutcome(duty, err)
		switch {
		case err != nil:
			f.backOff(ctx, duty)
		case isLast:
			lifetime.Sleep(ctx, Spacing)
		}
	}
}

// stopReading records that the host does not read for others.
func (f *Follower[T]) stopReading() {
	if f.reading.Swap(false) {
		era.Log(f.parts.Log, f.parts.Position()).Info("this host no longer reads the store, its peers do")
	}
}

// mustCall reports whether this host must call the store now.
func (f *Follower[T]) mustCall(duty Duty) bool {
	return duty.Reads || (duty.Call && !f.parts.Clock().Before(f.retryAt))
}

// readNext loads the whole table, or waits for the next changes and reports whether they are the last ones
// available.
func (f *Follower[T]) readNext(ctx context.Context, duty Duty) (isLast bool, err error) {
	position := f.parts.Position()
	if f.historyGone || (position == 0 && !f.loaded) {
		return false, f.load(ctx, position)
	}
	f.parts.CountCall(callReason(duty))
	held := holdTime(duty, f.failures)
	sent := f.beginCall(held)
	batch, err := f.wait(ctx, position, held)
	if errors.Is(err, ErrHistoryGone) {
		f.handleHistoryGone(ctx, position)
		return false, nil
	}
	if err == nil {
		err = checkNotBehind(position, batch.Revision)
	}
	if err != nil {
		return false, err
	}
	if era.Of(batch.Revision) > era.Of(position) {
		era.Log(f.parts.Log, position).WithFields(logrus.Fields{
			"store_revision": era.Number(batch.Revision), "store_era": era.Of(batch.Revision),
		}).Warn("the store was restored from backup, loading the whole table")
		f.historyGone = true
		return false, nil
	}
	if batch.Revision > position {
		f.parts.Sink.Apply(batch)
	}
	f.historyGoneInRow = 0
	f.reportAnswer(sent, batch.Revision, batch.At)
	return len(batch.Items) > 0 && !batch.IsPage, nil
}

// handleHistoryGone schedules a load of the whole table. If the last load did not help, it backs off first, as for
// an unavailable store.
func (f *Follower[T]) handleHistoryGone(ctx context.Context, position uint64) {
	era.Log(f.parts.Log, position).Warn("change history is no longer available, loading the whole table")
	f.historyGone = true
	f.historyGoneInRow++
	if f.historyGoneInRow > 1 {
		lifetime.Sleep(ctx, backoff.Jitter(storeBackoff.Span(f.historyGoneInRow-2), minBackoffShare, f.parts.Random()))
	}
}

// checkNotBehind returns an error if an answer is older than the position from which the call was made. Such an
// answer does not describe the current state.
func checkNotBehind(position, revision uint64) error {
	if revision >= position {
		return nil
	}
	return merry.Prependf(errStoreBehind, "answer at revision %d of era %d, expected at least %d of era %d", era.Number(revision), era.Of(revision), era.Number(position), era.Of(position))
}

// wait waits for the changes after a position, within the timeout of a held call.
func (f *Follower[T]) wait(ctx context.Context, position uint64, held time.Duration) (Batch[T], error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout(held))
	defer cancel()
	return f.parts.Source.Wait(ctx, position, held)
}

// beginCall sets the time at which a call counts as unanswered, and returns the current time.
func (f *Follower[T]) beginCall(held time.Duration) time.Time {
	now := f.parts.Clock()
	unresponsiveAt := now.Add(held + HeldTimeout)
	f.unresponsiveAt.Store(&unresponsiveAt)
	return now
}

// load reads the whole table. The position is the revision known before.
func (f *Follower[T]) load(ctx context.Context, position uint64) error {
	f.parts.CountCall(counters.StoreCallLoad)
	sent := f.beginCall(0)
	batch, err := f.parts.Source.Load(ctx)
	if err == nil {
		err = checkNotBehind(position, batch.Revision)
	}
	if err != nil {
		return err
	}
	f.parts.Sink.Replace(batch)
	f.loaded, f.historyGone = true, false
	f.reportAnswer(sent, batch.Revision, batch.At)
	return nil
}

// reportAnswer reports an answer to a call that was sent at the given time.
func (f *Follower[T]) reportAnswer(sent time.Time, revision uint64, at freshness.StoreTime) {
	f.answeredAt = f.parts.Clock()
	f.parts.OnAnswer(freshness.Answer{Revision: revision, At: at, Sent: sent, Received: f.answeredAt})
}

// recordOutcome records the result of a call. It logs once when the store is lost and once when it is regained.
func (f *Follower[T]) recordOutcome(duty Duty, err error) {
	f.reading.Store(duty.Reads && err == nil)
	switch {
	case err != nil && f.failures == 0:
		f.lostAt = f.parts.Clock()
		era.Log(f.parts.Log, f.parts.Position()).WithError(err).WithField("unanswered_ms", f.sinceLastAnswer().Milliseconds()).Warn("store lost, the last state stays in force")
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

// sinceLastAnswer returns the time since the last answer, or -1 ms if there was none.
func (f *Follower[T]) sinceLastAnswer() time.Duration {
	if f.answeredAt.IsZero() {
		return -time.Millisecond
	}
	return f.parts.Clock().Sub(f.answeredAt)
}

// backOff waits before the next attempt. For a host that does not read for others, retryAt delays the next call
// further. The sleep is the shorter of the two, because the host may become a reader in between.
func (f *Follower[T]) backOff(ctx context.Context, duty Duty) {
	f.retryAt = f.parts.Clock().Add(backoff.Jitter(duty.Retry, minBackoffShare, f.parts.Random()))
	lifetime.Sleep(ctx, backoff.Jitter(storeBackoff.Span(f.failures-1), minBackoffShare, f.parts.Random()))
}
