// Package leader makes sure that at most one host of the fleet is the leader. The leader performs the tasks that only
// one host may perform at a time, such as the usage reports to the provider of the endpoints. The leader is the
// holder of a lease in the deployment's store (package lease). Hosts do not elect it among themselves.
//
// The package owns the calls to the store about the lease, the leader's announcements to its peers, and the start and
// end of the leader's tasks. A task may act only with its Mandate, which it checks immediately before each call: a
// host that was suspended, or whose renewals are lost, no longer has a mandate. A host that does not lead makes no
// calls and only receives announcements.
package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/lease"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// ErrConflict is returned by a Store that rejected a write because the row has another version.
var ErrConflict = merry.Sentinel("the row of the lease has been changed by another write")

// Store holds the lease. Its calls block until the store answers or ctx ends. After an error other than ErrConflict,
// the write may have been applied, or may be applied later.
type Store interface {
	// ReadLease reads the row of the lease.
	ReadLease(ctx context.Context) (lease.Answer, error)
	// WriteLease writes the row and the records beside it in one transaction. With ErrConflict, the answer contains
	// the row.
	WriteLease(ctx context.Context, w *lease.Write, beside []Record) (lease.Answer, error)
	// Records returns all records of leaders.
	Records(ctx context.Context) ([]Record, error)
}

// Record is data that a leader keeps in the store beside the lease. Only a leader writes records.
type Record struct {
	Key   string
	Value []byte
	// Delete removes the record.
	Delete bool
}

// Peers sends messages to the other hosts and orders them.
type Peers interface {
	// Announce sends an announcement to all hosts.
	Announce(Announcement)
	// IsSettled reports whether this host knows its peers. HostsBefore returns the number of live hosts that come before
	// it in an order that all hosts share.
	IsSettled() bool
	HostsBefore() int
}

// Task is a task of the leader. Lead runs until ctx ends, which happens when the mandate does. Tasks run
// concurrently.
type Task interface {
	Lead(ctx context.Context, m *Mandate)
}

// Parts are the dependencies of a Leader.
type Parts struct {
	// Host is this host's name. Start is a number that increases with each start of its process.
	Host  string
	Start int64
	// Duration is the length of a lease.
	Duration time.Duration
	Store    Store
	Peers    Peers
	Tasks    []Task
	Log      *logrus.Entry
	Clock    func() time.Time
	// Random returns random numbers in [0, 1).
	Random func() float64
	// StoreTime returns a lower bound on the store's clock at a time, or false if it is not known.
	StoreTime func(time.Time) (freshness.StoreTime, bool)
	// OnAnnouncement is called with each announcement that is not outdated, including those of this host.
	OnAnnouncement func(a Announcement)
}

// Leader competes for the lease on behalf of this host and runs the leader's tasks while it holds it. It is safe for
// concurrent use.
type Leader struct {
	parts Parts
	// wake ends a wait of Run early.
	wake chan struct{}

	mu    sync.Mutex
	lease *lease.Lease
	memo  lease.Memo
	// latest is the newest announcement. holder is the host that sent it, or empty if that host released the lease.
	latest Announcement
	holder string
	// freeAt is the time from which this host considers the lease free. standDownUntil is the time until which it
	// lets other hosts take it first.
	freeAt         time.Time
	standDownUntil time.Time
	// renewedAt is the time at which the last renewal was sent. failures is the number of failed writes since the
	// last successful one.
	renewedAt time.Time
	failures  int
	// pendingWrites are the records to be written with the next renewal.
	pendingWrites []*pendingWrite
	// mandate is the mandate of the running tasks, or nil.
	mandate *Mandate
	// resigned is set once this host must not take the lease again because it is about to stop.
	resigned bool
	takenAt  time.Time
	provider providerHealth
}

// pendingWrite holds records that a task waits to have written to the store.
type pendingWrite struct {
	records []Record
	// done is closed when the records are written or can no longer be. written is set before if they are.
	done    chan struct{}
	written bool
}

// New returns a Leader that does not compete for the lease until Run is called.
func New(parts Parts) *Leader {
	return &Leader{parts: parts, wake: make(chan struct{}, 1), lease: lease.New(parts.Host, parts.Start, parts.Duration)}
}

// Run takes the lease whenever it is free and it is the turn of this host, and leads, until done is closed.
func (l *Leader) Run(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	defer l.stopTasks("the host stops")
	for ctx.Err() == nil {
		if l.Leads() {
			l.maintainLease(ctx)
		} else {
			l.tryToTakeLease(ctx)
		}
		l.sleep(ctx)
	}
}

// sleep waits for checkInterval, a wake-up or the end of ctx.
func (l *Leader) sleep(ctx context.Context) {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.wake:
	case <-ctx.Done():
	}
}

// wakeUp ends the current wait of Run.
func (l *Leader) wakeUp() {
	lifetime.Wake(l.wake)
}

// Leads reports whether this host's tasks run.
func (l *Leader) Leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mandate != nil
}

// read reads the row of the lease.
func (l *Leader) read(ctx context.Context) (lease.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return l.parts.Store.ReadLease(ctx)
}

// write sends a write of the lease, and reports whether the store confirmed it.
func (l *Leader) write(ctx context.Context, w *lease.Write, beside []Record) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	answer, err := l.parts.Store.WriteLease(ctx, w, beside)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.lease.ObserveWrite(w, answer)
		l.failures = 0
		return true
	case errors.Is(err, ErrConflict):
		l.lease.Observe(answer)
	}
	l.failures++
	l.parts.Log.WithError(err).WithFields(logrus.Fields{"token": w.Record.Token, "sequence": w.Record.Sequence, "failures": l.failures}).
		Warn("the write of the lease was rejected or not answered")
	return false
}

// startTasks starts the leader's tasks.
func (l *Leader) startTasks() {
	now := l.parts.Clock()
	l.mu.Lock()
	token, until, ok := l.lease.Holds(now)
	if !ok {
		l.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mandate{leader: l, token: token, cancel: cancel}
	l.mandate, l.takenAt, l.renewedAt = m, now, now
	l.provider = providerHealth{answeredAt: now}
	memo := l.memo
	l.mu.Unlock()
	l.parts.Log.WithFields(logrus.Fields{
		"token": token, "for_ms": until.Sub(now).Milliseconds(), "reported": memo.Reported, "failing": memo.Failing,
	}).Info("took the lease; this host is the leader and starts its tasks")
	l.announce()
	for _, task := range l.parts.Tasks {
		m.running.Go(func() { task.Lead(ctx, m) })
	}
}

// stopTasks ends the leader's tasks, if they run, and waits for them.
func (l *Leader) stopTasks(reason string) {
	l.mu.Lock()
	m, takenAt := l.mandate, l.takenAt
	l.mandate = nil
	for _, p := range l.pendingWrites {
		close(p.done)
	}
	l.pendingWrites = nil
	l.mu.Unlock()
	if m == nil {
		return
	}
	m.cancel()
	m.running.Wait()
	l.parts.Log.WithFields(logrus.Fields{"token": m.token, "reason": reason, "led_ms": l.parts.Clock().Sub(takenAt).Milliseconds()}).
		Warn("this host is no longer the leader; its tasks have ended")
}

// maintainLease renews the lease if a renewal is due, releases it if this host should no longer lead, and ends the
// tasks if it is lost.
func (l *Leader) maintainLease(ctx context.Context) {
	now := l.parts.Clock()
	l.mu.Lock()
	_, _, holds := l.lease.Holds(now)
	due := len(l.pendingWrites) > 0 || now.Sub(l.renewedAt) >= renewInterval
	if l.failures > 0 {
		due = now.Sub(l.renewedAt) >= retryInterval
	}
	unreachable := l.provider.isUnreachable(now, l.memo.Failing)
	resigned := l.resigned
	l.mu.Unlock()
	switch {
	case !holds:
		l.stopTasks("the lease was lost")
	case resigned:
		l.releaseLease(ctx, "the host is leaving")
	case unreachable:
		l.releaseLease(ctx, "the provider does not answer this host")
	case due:
		l.renew(ctx)
	}
}

// renew renews the lease, and writes the records of the tasks with it.
func (l *Leader) renew(ctx context.Context) {
	var beside []Record
	for _, task := range l.parts.Tasks {
		if c, ok := task.(Checkpointer); ok {
			beside = append(beside, c.Checkpoint()...)
		}
	}
	now := l.parts.Clock()
	l.mu.Lock()
	pending := l.pendingWrites
	for _, p := range pending {
		beside = append(beside, p.records...)
	}
	write := l.lease.Renew(now, l.memo)
	l.renewedAt = now
	l.mu.Unlock()
	if !l.write(ctx, &write, beside) {
		return
	}
	l.mu.Lock()
	l.pendingWrites = l.pendingWrites[len(pending):]
	l.mu.Unlock()
	for _, p := range pending {
		p.written = true
		close(p.done)
	}
	l.announce()
}

// releaseLease ends the tasks and releases the lease, so that another host does not have to wait for its end.
func (l *Leader) releaseLease(ctx context.Context, reason string) {
	l.stopTasks(reason)
	now := l.parts.Clock()
	l.mu.Lock()
	if _, _, holds := l.lease.Holds(now); !holds {
		l.mu.Unlock()
		return
	}
	if !l.resigned {
		l.memo.Failing++
	}
	l.standDownUntil = now.Add(standDownTime << min(l.memo.Failing, maxDoublings))
	write := l.lease.Release(now, l.memo)
	l.mu.Unlock()
	if l.write(ctx, &write, nil) {
		l.announce()
	}
}

// Resign ends the leadership of this host for good, as it is about to stop. It does not block.
func (l *Leader) Resign() {
	l.mu.Lock()
	l.resigned = true
	l.mu.Unlock()
	l.wakeUp()
}
