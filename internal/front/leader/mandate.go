package leader

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/front/lease"
)

// ErrLeadershipLost is returned to a task whose mandate has ended.
var ErrLeadershipLost = merry.Sentinel("this host leads no more")

// Fence is asked right before a call of a leader is sent. It returns the fencing token for the call, and how long from
// now it may take, whatever has come of it; or false if nothing may be sent.
type Fence func() (token uint64, left time.Duration, ok bool)

// Mandate is what allows a task to act as the leader.
type Mandate struct {
	leader  *Leader
	token   uint64
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Fence is the Fence of the mandate: nothing may be sent once the lease has ended, or ends so soon that a call
// could still be on its way when another host leads.
func (m *Mandate) Fence() (token uint64, left time.Duration, ok bool) {
	now := m.leader.parts.Clock()
	m.leader.mu.Lock()
	defer m.leader.mu.Unlock()
	token, expires, ok := m.leader.lease.Holds(now)
	if !ok || token != m.token || expires.Sub(now) < leastLeft {
		return 0, 0, false
	}
	return token, expires.Sub(now) - lease.MaxFlightTime, true
}

// WriteRecords has records written to the store beside the lease, and returns once they are there.
func (m *Mandate) WriteRecords(ctx context.Context, records ...Record) error {
	k := &keeping{records: records, done: make(chan struct{})}
	l := m.leader
	l.mu.Lock()
	if l.mandate != m {
		l.mu.Unlock()
		return merry.Wrap(ErrLeadershipLost)
	}
	l.kept = append(l.kept, k)
	l.mu.Unlock()
	l.wakeUp()
	select {
	case <-k.done:
	case <-ctx.Done():
		return merry.Wrap(ctx.Err())
	}
	if !k.written {
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

// Memo returns what leaders leave to their successors.
func (m *Mandate) Memo() lease.Memo {
	m.leader.mu.Lock()
	defer m.leader.mu.Unlock()
	return m.leader.memo
}

// UpdateMemo changes what is left to successors. It is stored with the next renewal.
func (m *Mandate) UpdateMemo(change func(*lease.Memo)) {
	m.leader.mu.Lock()
	defer m.leader.mu.Unlock()
	change(&m.leader.memo)
}

// RecordAnswer notes an answer of the provider, Unanswered a call that got none.
func (m *Mandate) RecordAnswer() {
	m.leader.mu.Lock()
	defer m.leader.mu.Unlock()
	m.leader.provider = providerHealth{answeredAt: m.leader.parts.Clock()}
	m.leader.memo.Failing = 0
}

// RecordNoAnswer notes a call to the provider that got no answer.
func (m *Mandate) RecordNoAnswer() {
	m.leader.mu.Lock()
	defer m.leader.mu.Unlock()
	m.leader.provider.unanswered++
}

// Checkpointer is a task that has records for each renewal.
type Checkpointer interface {
	// Checkpoint returns the records that have changed.
	Checkpoint() []Record
}
