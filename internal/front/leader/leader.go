// Package leader keeps one host of the fleet the leader: the one that does what only one host may do at a time,
// such as reports to the provider of the endpoints. The leader is the holder of a lease in the deployment's
// store (package lease); nothing is elected among hosts.
//
// It owns the calls for the lease, the announcements of the leader to its peers, and the start and end of the
// leader's tasks. A task may act only by the Mandate that it gets, which it asks right before each call: a host
// that was frozen, or whose renewals are lost, has no mandate any more. A host that is not the leader costs
// nothing but the announcements that it receives.
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

// ErrConflict is returned by a Store that did not do a write: the row has another version.
var ErrConflict = merry.Sentinel("the lease's row has changed")

// Store is where the lease is. Its calls block until the store answers or ctx ends; after an error other than
// ErrConflict, a write may have been done, or may be done later.
type Store interface {
	// ReadLease reads the lease's row.
	ReadLease(ctx context.Context) (lease.Answer, error)
	// WriteLease writes the row and the records beside it, all or nothing. With ErrConflict, the answer has the row.
	WriteLease(ctx context.Context, w *lease.Write, beside []Record) (lease.Answer, error)
	// Records returns all records.
	Records(ctx context.Context) ([]Record, error)
}

// Record is what a leader keeps in the store beside the lease. Only a leader writes records.
type Record struct {
	Key   string
	Value []byte
	// Delete removes the record.
	Delete bool
}

// Peers sends to the other hosts.
type Peers interface {
	// Announce sends an announcement to all hosts.
	Announce(Announcement)
	// IsSettled reports whether this host knows its peers, Before how many live hosts come before it in an
	// order that all share.
	IsSettled() bool
	HostsBefore() int
}

// Task is what a leader does. Lead runs until ctx ends, which is when the mandate does. Tasks run at the same time.
type Task interface {
	Lead(ctx context.Context, m *Mandate)
}

// Parts are what a Leader works with.
type Parts struct {
	// Host is this host's name, Start a number that rises with each start of its process.
	Host  string
	Start int64
	// Duration is how long a lease lasts.
	Duration time.Duration
	Store    Store
	Peers    Peers
	Tasks    []Task
	Log      *logrus.Entry
	Clock    func() time.Time
	// Random returns numbers from 0 up to 1.
	Random func() float64
	// StoreTime returns the least that the store's clock shows at a time, or false if it is not known.
	StoreTime func(time.Time) (freshness.StoreTime, bool)
	// OnAnnouncement is called with each announcement that counts, this host's own included.
	OnAnnouncement func(a Announcement)
}

// Leader is this host's part in having one leader. It is safe for concurrent use.
type Leader struct {
	parts Parts
	// wake ends a wait of Run.
	wake chan struct{}

	mu    sync.Mutex
	lease *lease.Lease
	memo  lease.Memo
	// newest is the newest announcement, holder the host that sent it, or empty if it gave the lease up.
	newest Announcement
	holder string
	// freeAt is when this host takes the lease for free, avoidUntil until when it lets others lead.
	freeAt     time.Time
	avoidUntil time.Time
	// renewedAt is when the last renewal was sent, failures how many have failed since one was done.
	renewedAt time.Time
	failures  int
	// kept are what is to be written with the next renewal.
	kept []*keeping
	// mandate is that of the tasks that run.
	mandate *Mandate
	// resigned is set once this host wants the lease no more.
	resigned bool
	takenAt  time.Time
	provider providerHealth
}

// keeping are records that a task wants to have in the store.
type keeping struct {
	records []Record
	// done is closed when they are there, or never will be; written is set before if they are.
	done    chan struct{}
	written bool
}

// New returns a host's part that does nothing yet.
func New(parts Parts) *Leader {
	return &Leader{parts: parts, wake: make(chan struct{}, 1), lease: lease.New(parts.Host, parts.Start, parts.Duration)}
}

// Run takes the lease where it is free, and leads until done is closed.
func (l *Leader) Run(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	defer l.end("the host stops")
	for ctx.Err() == nil {
		if l.Leads() {
			l.lead(ctx)
		} else {
			l.stand(ctx)
		}
		l.sleep(ctx)
	}
}

// sleep waits until there may be something to do.
func (l *Leader) sleep(ctx context.Context) {
	timer := time.NewTimer(lookInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.wake:
	case <-ctx.Done():
	}
}

// wakeUp makes Run look at once.
func (l *Leader) wakeUp() {
	lifetime.Wake(l.wake)
}

// Leads reports whether this host's tasks run.
func (l *Leader) Leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mandate != nil
}

// read reads the lease's row.
func (l *Leader) read(ctx context.Context) (lease.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return l.parts.Store.ReadLease(ctx)
}

// write does a write of the lease, and reports whether it was done.
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
	l.parts.Log.WithError(err).WithFields(logrus.Fields{"token": w.Record.Token, "sequence": w.Record.Sequence, "failures": l.failures}).Warn("the lease was not written")
	return false
}

// begin starts the tasks of a leader.
func (l *Leader) begin() {
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
	}).Info("leads")
	l.announce()
	for _, task := range l.parts.Tasks {
		m.running.Go(func() { task.Lead(ctx, m) })
	}
}

// end ends the tasks of a leader, if they run.
func (l *Leader) end(reason string) {
	l.mu.Lock()
	m, takenAt := l.mandate, l.takenAt
	l.mandate = nil
	for _, k := range l.kept {
		close(k.done)
	}
	l.kept = nil
	l.mu.Unlock()
	if m == nil {
		return
	}
	m.cancel()
	m.running.Wait()
	l.parts.Log.WithFields(logrus.Fields{"token": m.token, "reason": reason, "led_ms": l.parts.Clock().Sub(takenAt).Milliseconds()}).Warn("leads no more")
}

// lead renews the lease when that is due, or ends the tasks once it is lost.
func (l *Leader) lead(ctx context.Context) {
	now := l.parts.Clock()
	l.mu.Lock()
	_, _, holds := l.lease.Holds(now)
	due := len(l.kept) > 0 || now.Sub(l.renewedAt) >= renewInterval
	if l.failures > 0 {
		due = now.Sub(l.renewedAt) >= retryInterval
	}
	unable := l.provider.isUnable(now, l.memo.Failing)
	resigned := l.resigned
	l.mu.Unlock()
	switch {
	case !holds:
		l.end("the lease was lost")
	case resigned:
		l.giveUp(ctx, "the host is leaving")
	case unable:
		l.giveUp(ctx, "the provider does not answer this host")
	case due:
		l.renew(ctx)
	}
}

// renew renews the lease, with what the tasks want to have in the store.
func (l *Leader) renew(ctx context.Context) {
	var beside []Record
	for _, task := range l.parts.Tasks {
		if c, ok := task.(Checkpointer); ok {
			beside = append(beside, c.Checkpoint()...)
		}
	}
	now := l.parts.Clock()
	l.mu.Lock()
	kept := l.kept
	for _, k := range kept {
		beside = append(beside, k.records...)
	}
	write := l.lease.Renew(now, l.memo)
	l.renewedAt = now
	l.mu.Unlock()
	if !l.write(ctx, &write, beside) {
		return
	}
	l.mu.Lock()
	l.kept = l.kept[len(kept):]
	l.mu.Unlock()
	for _, k := range kept {
		k.written = true
		close(k.done)
	}
	l.announce()
}

// giveUp ends the tasks and gives up the lease, so that another host can lead at once.
func (l *Leader) giveUp(ctx context.Context, reason string) {
	l.end(reason)
	now := l.parts.Clock()
	l.mu.Lock()
	if _, _, holds := l.lease.Holds(now); !holds {
		l.mu.Unlock()
		return
	}
	if !l.resigned {
		l.memo.Failing++
	}
	l.avoidUntil = now.Add(avoidTime << min(l.memo.Failing, mostDoublings))
	write := l.lease.Release(now, l.memo)
	l.mu.Unlock()
	if l.write(ctx, &write, nil) {
		l.announce()
	}
}

// Resign lets another host lead: this one is about to stop. It does not block.
func (l *Leader) Resign() {
	l.mu.Lock()
	l.resigned = true
	l.mu.Unlock()
	l.wakeUp()
}
