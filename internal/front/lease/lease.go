// Package lease implements the rules of the lease that lets one host of a fleet act as its leader. The lease is one
// row in the deployment's store. Hosts take, renew and release it by conditional writes: the store applies a write
// only if the row still has the version that the host has read.
//
// The package owns the rules and this host's view of the row. It does no I/O and reads no clock: package leader makes
// the calls and passes in their results, with this host's monotonic time before and after each call. It relies on two
// properties of the store: a conditional write is applied completely or not at all, and the store's own clock is
// steady. It does not rely on any host's time of day, on the delivery of answers, or on the order in which calls are
// applied.
//
// These rules hold when messages are lost, delayed or repeated, and when hosts are suspended (TestModel):
//
//   - A host acts only until Duration after it sent the write that took or renewed the lease, by its own monotonic
//     clock. No other host takes the lease before then.
//   - Fencing tokens increase from holder to holder. No two holders have the same token.
//   - A host that held the lease takes it from another host only once Duration has passed since its own lease ended.
//     So two hosts don't act alternately within that time.
//
// The store may be restored from an older backup, which starts a new era (package era). The row may then be lost or
// out of date, and the store's clock may differ. So a row of an earlier era is ignored, and no host takes the lease
// until a lease given in the earlier era must have ended.
package lease

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// Margin is added to the duration of a lease before another host takes it. The clocks of hosts and store drift apart
// by less than 1 ms within a lease of some seconds, and some milliseconds may pass between a host's check of its
// lease and the sending of a call.
const Margin = 100 * time.Millisecond

// MaxFlightTime is the longest time for which bytes of a call may still be in flight after the call was aborted and
// its connection reset, on a link whose queue is full. A holder's calls end this long before its lease does, and a
// released lease stays blocked for this long. Packets that are delayed for longer count as a fault of the machine on
// the users' platform.
const MaxFlightTime = 500 * time.Millisecond

// maxDuration limits the duration that is read from a record, so that a faulty record can't block the lease for all
// hosts.
const maxDuration = time.Minute

// Row is the row of the lease in the store.
type Row struct {
	// Version is the store's revision (package era) at which the row was written, or 0 if the row does not exist.
	Version uint64
	// Record is nil if the row can't be decoded because no host wrote it.
	Record *Record
}

// Record is the content of the row, as hosts write it.
type Record struct {
	// Holder is the name of the host that holds the lease, or empty if the lease was released.
	Holder string `json:"holder"`
	// Start identifies the holder's process. Sequence numbers the writes of that process.
	Start    int64  `json:"start"`
	Sequence uint64 `json:"sequence"`
	// Token is the fencing token of the holder.
	Token uint64 `json:"token"`
	// Era is the era of the store in which the record was written.
	Era uint64 `json:"era,omitzero"`
	// Until is the time at which the lease ends, or ended if it was released, by the store's clock in ns. Duration is
	// the length of the lease by the holder's settings, which may differ from this host's.
	Until    freshness.StoreTime `json:"until"`
	Duration time.Duration       `json:"duration"`
	// Former lists the previous holders that must not take the lease again yet.
	Former []FormerHolder `json:"former,omitzero"`
	// Memo is the state that holders pass on to their successors.
	Memo Memo `json:"memo,omitzero"`
}

// FormerHolder is a host that held the lease, with the time at which its lease ended by the store's clock. An empty
// name stands for any host: the row could not be read.
type FormerHolder struct {
	Host  string              `json:"host"`
	Until freshness.StoreTime `json:"until"`
}

// Memo is the state that holders pass on to their successors. The rules of the lease do not depend on it.
type Memo struct {
	// Reported is the newest usage window such that it and all windows before it have been reported.
	Reported uint64 `json:"reported,omitzero"`
	// TrueTime is the true time at the zero point of the store's clock, in ns since 1970.
	TrueTime int64 `json:"true_time,omitzero"`
	// Era is the era of the store in which a holder last recovered the reports.
	Era uint64 `json:"era,omitzero"`
	// Failing is the number of consecutive holders that got no answer from the provider.
	Failing int `json:"failing,omitzero"`
}

// Answer is the store's answer to a call about the row.
type Answer struct {
	// Sent and Received are this host's monotonic time before and after the call.
	Sent, Received time.Time
	// At is the store's clock at the time of the answer. Revision is its newest revision at that time.
	At       freshness.StoreTime
	Revision uint64
	// Row is the row at that time. It is not set in an answer to a write that was applied.
	Row Row
}

// Write is a conditional write: the store applies it only if the row has the expected version.
type Write struct {
	Expected uint64
	Record   Record
}

// heldLease is a lease that this host holds.
type heldLease struct {
	token   uint64
	expires time.Time
}

// Lease is one host's view of the lease. It is not safe for concurrent use.
type Lease struct {
	host     string
	start    int64
	duration time.Duration

	sequence uint64
	// sentAt holds, by sequence number, the time at which each write was sent that may still be applied or was the
	// last one applied.
	sentAt map[uint64]time.Time
	held   *heldLease

	// row is the newest known state of the row. rowSeenAt is the time at which this host first saw that version.
	row       Row
	rowSeenAt time.Time
	// last is the newest answer.
	last Answer
}

// New returns a host's view that has not read the row yet. Start is a number that increases with each start of the
// host's process.
func New(host string, start int64, duration time.Duration) *Lease {
	return &Lease{host: host, start: start, duration: duration, sentAt: make(map[uint64]time.Time)}
}

// Observe updates the view from an answer that contains the row. It ignores an answer that is older than the newest
// one.
func (l *Lease) Observe(a Answer) {
	if a.Revision < l.last.Revision {
		return
	}
	if a.Row.Version != l.row.Version || era.Of(a.Revision) != era.Of(l.last.Revision) {
		l.rowSeenAt = a.Received
	}
	l.last, l.row = a, a.Row
	l.held = l.heldBy(l.currentRecord())
}

// currentRecord returns the record of the row, or nil if it could not be decoded or was written in an earlier era.
func (l *Lease) currentRecord() *Record {
	if r := l.row.Record; r != nil && r.Era == era.Of(l.last.Revision) {
		return r
	}
	return nil
}

// wasNeverHeld reports whether no host has ever held the lease: the row does not exist, and the store was never
// restored, so it can't have lost the row.
func (l *Lease) wasNeverHeld() bool { return l.row.Version == 0 && era.Of(l.last.Revision) == 0 }

// heldBy returns the lease that a record gives to this process, or nil if it gives none.
func (l *Lease) heldBy(r *Record) *heldLease {
	if r == nil || r.Holder != l.host || r.Start != l.start {
		return nil
	}
	sent, known := l.sentAt[r.Sequence]
	if !known {
		return nil
	}
	return &heldLease{token: r.Token, expires: sent.Add(l.duration)}
}

// ObserveWrite updates the view after a write that the store has applied.
func (l *Lease) ObserveWrite(w *Write, a Answer) {
	a.Row = Row{Version: a.Revision, Record: &w.Record}
	l.Observe(a)
	for sequence := range l.sentAt {
		if sequence < w.Record.Sequence {
			// The store has applied a later write to the same row, so it can no longer apply this one.
			delete(l.sentAt, sequence)
		}
	}
}

// Holds returns the fencing token with which this host may act and the time until which it may, or false if it does
// not hold the lease.
func (l *Lease) Holds(now time.Time) (token uint64, until time.Time, ok bool) {
	if l.held == nil || !now.Before(l.held.expires) {
		return 0, time.Time{}, false
	}
	return l.held.token, l.held.expires, true
}

// Memo returns the memo of the last holder.
func (l *Lease) Memo() Memo {
	if l.row.Record == nil {
		return Memo{}
	}
	return l.row.Record.Memo
}

// Row returns the newest known state of the row.
func (l *Lease) Row() Row { return l.row }

// WaitTime returns how long this host must wait before it may take the lease, according to the newest known row. It
// returns 0 if the host may take it now.
func (l *Lease) WaitTime(now time.Time) time.Duration {
	if l.wasNeverHeld() {
		return 0
	}
	// A lease that is not renewed has ended by then, whatever the content of the row.
	longest := l.rowSeenAt.Add(l.maxHolderDuration() + Margin).Sub(now)
	wait := longest
	if r := l.currentRecord(); r != nil {
		wait = l.maxTimeUntil(r.Until, now) + Margin
		for _, former := range r.Former {
			if former.Host == l.host || former.Host == "" {
				wait = max(wait, l.maxTimeUntil(former.Until, now)+l.duration+Margin)
			}
		}
	}
	return max(min(wait, longest), 0)
}

// maxHolderDuration returns an upper bound on the duration of the holder's lease.
func (l *Lease) maxHolderDuration() time.Duration {
	if r := l.row.Record; r != nil {
		return max(l.duration, min(r.Duration, maxDuration))
	}
	return l.duration
}

// maxTimeUntil returns an upper bound on the time until the store's clock reaches t.
func (l *Lease) maxTimeUntil(t freshness.StoreTime, now time.Time) time.Duration {
	// The store's clock read At when the answer was sent, which was no later than its arrival here.
	earliest := l.last.At + freshness.StoreTime(now.Sub(l.last.Received))
	return time.Duration(t - earliest)
}

// latestStoreTime returns an upper bound on the current reading of the store's clock.
func (l *Lease) latestStoreTime(now time.Time) freshness.StoreTime {
	return l.last.At + freshness.StoreTime(now.Sub(l.last.Sent))
}

// Take returns the write that takes the lease. The caller must have read the row, and WaitTime must return 0.
func (l *Lease) Take(now time.Time) Write {
	record := Record{Token: l.last.Revision + 1}
	record.Memo = l.Memo()
	before := l.currentRecord()
	switch {
	case before != nil:
		record.Token = max(record.Token, before.Token+1)
		record.Former = l.blockedFormerHolders(now)
		if before.Holder != "" && before.Holder != l.host {
			record.Former = append(record.Former, FormerHolder{Host: before.Holder, Until: before.Until})
		}
	case !l.wasNeverHeld():
		record.Former = []FormerHolder{{Until: l.latestStoreTime(now)}}
	}
	return l.holderWrite(now, record)
}

// Renew returns the write that renews the lease. This host must hold it.
func (l *Lease) Renew(now time.Time, memo Memo) Write {
	record := Record{Token: l.row.Record.Token, Former: l.row.Record.Former, Memo: memo}
	return l.holderWrite(now, record)
}

// holderWrite returns a write that makes this host the holder, from now for the duration of a lease.
func (l *Lease) holderWrite(now time.Time, record Record) Write {
	record.Holder, record.Duration = l.host, l.duration
	record.Until = l.latestStoreTime(now) + freshness.StoreTime(l.duration)
	w := l.newWrite(record)
	l.sentAt[w.Record.Sequence] = now
	return w
}

// Release returns the write that releases the lease, with effect after MaxFlightTime. This host must hold the lease,
// and its calls must have ended. From now on it does not act, whether or not the store applies this write or earlier
// ones.
func (l *Lease) Release(now time.Time, memo Memo) Write {
	l.held = nil
	clear(l.sentAt)
	until := l.latestStoreTime(now) + freshness.StoreTime(MaxFlightTime)
	former := append(l.blockedFormerHolders(now), FormerHolder{Host: l.host, Until: until})
	return l.newWrite(Record{Token: l.row.Record.Token, Until: until, Former: former, Memo: memo})
}

// newWrite returns a write with the next sequence number.
func (l *Lease) newWrite(record Record) Write {
	l.sequence++
	record.Start, record.Sequence, record.Era = l.start, l.sequence, era.Of(l.last.Revision)
	return Write{Expected: l.row.Version, Record: record}
}

// blockedFormerHolders returns the former holders in the row that must not take the lease again yet, without this
// host.
func (l *Lease) blockedFormerHolders(now time.Time) []FormerHolder {
	return slices.DeleteFunc(slices.Clone(l.row.Record.Former), func(f FormerHolder) bool {
		return f.Host == l.host || l.maxTimeUntil(f.Until, now)+l.duration+Margin <= 0
	})
}
