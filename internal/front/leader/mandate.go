package leader

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/front/lease"
)

// ErrLeadershipLost is returned to a task whose mandate has ended.
var ErrLeadershipLost = merry.Sentinel("this host is no longer the leader")

// Fence is called immediately before a call of the leader is sent. It returns the fencing token for the call and the
// time within which the call must end, answered or not; or false if the call must not be sent.
type Fence func() (token uint64, left time.Duration, ok bool)

// Mandate allows a task to act as the leader until the lease ends.
type Mandate struct {
	leader  *Leader
	token   uint64
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Fence implements the type Fence: no call may be sent once the lease has ended, or when it ends so soon that the
// call could still be in flight while another host leads.
func (m *Mandate) Fence() (token uint64, left time.Duration, ok bool) {
	now := m.leader.parts.Clock()
	m.leader.mu.Lock()
	defer m.leader.mu.Unlock()
	token, expires, ok := m.leader.lease.Holds(now)
	if !ok || token != m.token || expires.Sub(now) < minTimeLeft {
		return 0, 0, false
	}
	return token, expires.Sub(now) - lease.MaxFlightTime, true
}

// WriteRecords writes records to the store together with the next renewal of the lease. It blocks until they are
// written, the mandate has ended or ctx ends.
func (m *Mandate) WriteRecords(ctx context.Context, records ...Record) error {
	p := &pendingWrite{records: records, done: make(chan struct{})}
	l := m.leader
	l.mu.Lock()
	if l.mandate != m {
		l.mu.Unlock()
		return merry.Wrap(ErrLeadershipLost)
	}
	l.pendingWrites = append(l.pendingWrites, p)
	l.mu.Unlock()
	l.wakeUp()
	select {
	case <-p.done:
	case <-ctx.Done():
		return merry.Wrap(ctx.Err())
	}
	if !p.written {
		return merry.Wrap(ErrLeadershipLost)
	}
	return nil
}

// Records returns all records in the store.
func (m *Mandate) Records(ctx context.Context) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.leader.parts.Store.Records(ctx)
}

// Memo returns the state that leaders pass on to their successors.
func (m *Mandate) Memo() lease.Memo {
	m.leader.mu.Lock()
	defer m.leader.mu.Unlock()
	return m.leader.memo
}

// UpdateMemo changes the state that is passed on to successors. It is stored with the next renewal.
func (m *Mandate) UpdateMemo(change func(*lease.Memo)) {
	m.leader.mu.Lock()
	defer m.leader.mu.Unlock()
	change(&m.leader.memo)
}

// RecordAnswer records an answer of the provider.
func (m *Mandate) RecordAnswer() {
	m.leader.mu.Lock()
	defer m.leader.mu.Unlock()
	m.leader.provider = providerHealth{answeredAt: m.leader.parts.Clock()}
	m.leader.memo.Failing = 0
}

// RecordNoAnswer records a call to the provider that got no answer.
func (m *Mandate) RecordNoAnswer() {
	m.leader.mu.Lock()
	defer m.leader.mu.Unlock()
	m.leader.provider.unanswered++
}

// Checkpointer is a task that has records to write with each renewal.
type Checkpointer interface {
	// Checkpoint returns the records that have changed since its last call.
	Checkpoint() []Record
}
