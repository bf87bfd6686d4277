// Package lease decides when one host of a fleet may act for all of them. The lease is one row in the
// deployment's store: a host takes it, renews it and gives it up by writes that the store does only if the
// row is still the one that the host has seen.
//
// It owns the rules and this host's view of the row. It does no input or output and has no clock: package
// leader makes the calls and reports what came of them, with this host's monotonic time around each. It
// relies on the store for two things only: a conditional write is done whole or not at all, and the store's
// own clock is steady. It does not rely on any host's time of day, on answers that arrive, or on the order in
// which calls are done.
//
// What holds, whatever is lost, late, frozen or repeated (TestModel):
//
//   - A host acts only until Duration after it sent the write that took or renewed the lease, by its own
//     monotonic clock. Nobody takes the lease before that moment has passed.
//   - Tokens rise from holder to holder, and no two holders have the same.
//   - A host that held the lease takes it from another one only once Duration has passed since its own end,
//     so that no two hosts act in turns within that time.
//
// The store may come back from an older copy, in a new era (package era). It may have lost the row then, or have an older one,
// and its clock may be another. So what a row of an earlier era says does not count, and nobody takes the lease until a lease
// that was given in that era has ended.
package lease

import (
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// Margin is how much longer than a lease lasts others wait before they take it: the clocks of hosts and of the store
// drift apart by less than 1 ms within a lease of some seconds, and a host may take some ms between looking at its
// lease and sending.
const Margin = 100 * time.Millisecond

// MaxFlightTime is how long bytes of a call may be on their way once it has been given up and its connection reset: on a link
// whose queue is full. A holder's calls end that long before its lease, and one that gives the lease up keeps it that
// long from others. Packets that wait for longer count as a fault of the machine on the users' platform.
const MaxFlightTime = 500 * time.Millisecond

// maxDuration bounds what a record may say of how long it lasts, so that a faulty one does not keep the lease from all
// hosts.
const maxDuration = time.Minute

// Row is the row of the lease in the store.
type Row struct {
	// Version is the store's revision (package era) at which the row was written; 0 means that there is none.
	Version uint64
	// Record is nil if the row can't be read: it was not written by a host.
	Record *Record
}

// Record is what hosts write into the row.
type Record struct {
	// Holder is the name of the host that holds the lease, or empty if it was given up.
	Holder string `json:"holder"`
	// Start distinguishes the holder's processes, Sequence counts the writes of one.
	Start    int64  `json:"start"`
	Sequence uint64 `json:"sequence"`
	// Token is the fencing token of the holder.
	Token uint64 `json:"token"`
	// Era is the era of the store in which the record was written.
	Era uint64 `json:"era,omitzero"`
	// Until is when the lease ends, by the store's clock in ns, or ended if it was given up. Duration is how
	// long it lasts by the holder's settings, which may differ from this host's.
	Until    freshness.StoreTime `json:"until"`
	Duration time.Duration       `json:"duration"`
	// Former are the hosts before the holder, as long as they must not take the lease again.
	Former []FormerHolder `json:"former,omitzero"`
	// Memo is what holders leave to their successors.
	Memo Memo `json:"memo,omitzero"`
}

// FormerHolder is a host that held the lease, and when its lease ended by the store's clock. Without a name it may be any:
// the row could not be read.
type FormerHolder struct {
	Host  string              `json:"host"`
	Until freshness.StoreTime `json:"until"`
}

// Memo is what holders leave to their successors. The lease does not depend on it.
type Memo struct {
	// Reported is the newest window of usage up to which all have been reported.
	Reported uint64 `json:"reported,omitzero"`
	// TrueTime is the true time at the zero of the store's clock, in ns since 1970.
	TrueTime int64 `json:"true_time,omitzero"`
	// Era is the era of the store in which a holder last made sure of what was reported.
	Era uint64 `json:"era,omitzero"`
	// Failing counts the holders in a row that got no answer from the provider.
	Failing int `json:"failing,omitzero"`
}

// Answer is an answer of the store to a call about the row.
type Answer struct {
	// Sent and Received are this host's monotonic clock around the call.
	Sent, Received time.Time
	// At is the store's clock when it answered, Revision its newest revision then.
	At       freshness.StoreTime
	Revision uint64
	// Row is the row as it was then. An answer to a write that was done does not have it.
	Row Row
}

// Write is a write of the row that the store is to do if the row has the expected version.
type Write struct {
	Expected uint64
	Record   Record
}

// grant is a lease that this host holds.
type grant struct {
	token   uint64
	expires time.Time
}

// Lease is one host's view of the lease. It is not safe for concurrent use.
type Lease struct {
	host     string
	start    int64
	duration time.Duration

	sequence uint64
	// sentAt is when each write was sent that may still be done or has just been, by its number.
	sentAt map[uint64]time.Time
	grant  *grant

	// row is the newest that is known of the row, seenAt when this host first saw it.
	row    Row
	seenAt time.Time
	// last is the newest answer.
	last Answer
}

// New returns the view of a host that knows nothing. Start is a number that rises with each start of the
// host's process.
func New(host string, start int64, duration time.Duration) *Lease {
	return &Lease{host: host, start: start, duration: duration, sentAt: make(map[uint64]time.Time)}
}

// Observe notes an answer that shows the row. An answer that is older than another one is ignored.
func (l *Lease) Observe(a Answer) {
	if a.Revision < l.last.Revision {
		return
	}
	if a.Row.Version != l.row.Version || era.Of(a.Revision) != era.Of(l.last.Revision) {
		l.seenAt = a.Received
	}
	l.last, l.row = a, a.Row
	l.grant = l.grantOf(l.record())
}

// record returns what the row says, or nil if it can't be read or was written in an earlier era.
func (l *Lease) record() *Record {
	if r := l.row.Record; r != nil && r.Era == era.Of(l.last.Revision) {
		return r
	}
	return nil
}

// isFree reports whether nobody has ever held the lease: there is no row, and the store can't have lost it.
func (l *Lease) isFree() bool { return l.row.Version == 0 && era.Of(l.last.Revision) == 0 }

// grantOf returns what this host holds by a record, or nil.
func (l *Lease) grantOf(r *Record) *grant {
	if r == nil || r.Holder != l.host || r.Start != l.start {
		return nil
	}
	sent, known := l.sentAt[r.Sequence]
	if !known {
		return nil
	}
	return &grant{token: r.Token, expires: sent.Add(l.duration)}
}

// ObserveWrite notes that a write was done.
func (l *Lease) ObserveWrite(w *Write, a Answer) {
	a.Row = Row{Version: a.Revision, Record: &w.Record}
	l.Observe(a)
	for sequence := range l.sentAt {
		if sequence < w.Record.Sequence {
			// The store did a later write on the same row: it will never do this one.
			delete(l.sentAt, sequence)
		}
	}
}

// Holds returns the token under which this host may act, and until when.
func (l *Lease) Holds(now time.Time) (token uint64, until time.Time, ok bool) {
	if l.grant == nil || !now.Before(l.grant.expires) {
		return 0, time.Time{}, false
	}
	return l.grant.token, l.grant.expires, true
}

// Memo returns what the last holder left.
func (l *Lease) Memo() Memo {
	if l.row.Record == nil {
		return Memo{}
	}
	return l.row.Record.Memo
}

// Row returns the row as it was last seen.
func (l *Lease) Row() Row { return l.row }

// WaitTime returns how long this host has to wait before it may take the lease, judged by the row as it was last
// seen; 0 means that it may now.
func (l *Lease) WaitTime(now time.Time) time.Duration {
	if l.isFree() {
		return 0
	}
	// Whatever the row says, the lease of a holder that has not renewed it ends by then.
	longest := l.seenAt.Add(l.longestDuration() + Margin).Sub(now)
	wait := longest
	if r := l.record(); r != nil {
		wait = l.leftUntil(r.Until, now) + Margin
		for _, former := range r.Former {
			if former.Host == l.host || former.Host == "" {
				wait = max(wait, l.leftUntil(former.Until, now)+l.duration+Margin)
			}
		}
	}
	return max(min(wait, longest), 0)
}

// longestDuration returns how long the holder's lease lasts at the most.
func (l *Lease) longestDuration() time.Duration {
	if r := l.row.Record; r != nil {
		return max(l.duration, min(r.Duration, maxDuration))
	}
	return l.duration
}

// leftUntil returns how long it takes at most until the store's clock shows a time.
func (l *Lease) leftUntil(t freshness.StoreTime, now time.Time) time.Duration {
	// The clock showed At when the answer was sent, and so at the latest when it arrived.
	least := l.last.At + freshness.StoreTime(now.Sub(l.last.Received))
	return time.Duration(t - least)
}

// latest returns the latest that the store's clock may show.
func (l *Lease) latest(now time.Time) freshness.StoreTime {
	return l.last.At + freshness.StoreTime(now.Sub(l.last.Sent))
}

// Take returns the write that takes the lease. The row must have been seen, and Wait must be over.
func (l *Lease) Take(now time.Time) Write {
	record := Record{Token: l.last.Revision + 1}
	record.Memo = l.Memo()
	before := l.record()
	switch {
	case before != nil:
		record.Token = max(record.Token, before.Token+1)
		record.Former = l.formerHosts(now)
		if before.Holder != "" && before.Holder != l.host {
			record.Former = append(record.Former, FormerHolder{Host: before.Holder, Until: before.Until})
		}
	case !l.isFree():
		record.Former = []FormerHolder{{Until: l.latest(now)}}
	}
	return l.write(now, record)
}

// Renew returns the write that renews a lease which this host holds.
func (l *Lease) Renew(now time.Time, memo Memo) Write {
	record := Record{Token: l.row.Record.Token, Former: l.row.Record.Former, Memo: memo}
	return l.write(now, record)
}

// write completes a write that takes or renews the lease.
func (l *Lease) write(now time.Time, record Record) Write {
	record.Holder, record.Duration = l.host, l.duration
	record.Until = l.latest(now) + freshness.StoreTime(l.duration)
	w := l.numbered(record)
	l.sentAt[w.Record.Sequence] = now
	return w
}

// Release returns the write that gives up a lease which this host holds, as of Flight from now. From now on it does
// not act, whatever becomes of that write and of those before it. Its calls must have ended.
func (l *Lease) Release(now time.Time, memo Memo) Write {
	l.grant = nil
	clear(l.sentAt)
	until := l.latest(now) + freshness.StoreTime(MaxFlightTime)
	former := append(l.formerHosts(now), FormerHolder{Host: l.host, Until: until})
	return l.numbered(Record{Token: l.row.Record.Token, Until: until, Former: former, Memo: memo})
}

// numbered returns a write with the next number.
func (l *Lease) numbered(record Record) Write {
	l.sequence++
	record.Start, record.Sequence, record.Era = l.start, l.sequence, era.Of(l.last.Revision)
	return Write{Expected: l.row.Version, Record: record}
}

// formerHosts returns the hosts of the row that held the lease before its holder, without this one and those
// that may take the lease again.
func (l *Lease) formerHosts(now time.Time) []FormerHolder {
	return slices.DeleteFunc(slices.Clone(l.row.Record.Former), func(f FormerHolder) bool {
		return f.Host == l.host || l.leftUntil(f.Until, now)+l.duration+Margin <= 0
	})
}
