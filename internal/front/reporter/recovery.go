package reporter

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/lease"
	"oxbowslip.dev/oxbowslip/internal/front/usage"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// A store that is restored from an older backup has lost the newest fixed reports. All hosts keep the reports that
// they receive, and the first leader of an era asks for them before it reports a window. Windows that may have been
// reported, but of which no host can have the report, are left out: a missing report is better than two different
// ones.

// fixedReports is a message with fixed reports, sent by the leader that fixed them or by a host that was asked for
// them.
type fixedReports struct {
	// Since is the true time in ns from which on the sender has received all fixed reports, or 0 if it does not state
	// one.
	Since int64 `cbor:"1,keyasint"`
	// Reported is the window up to which all windows have been reported.
	Reported uint64        `cbor:"2,keyasint"`
	Windows  usage.Windows `cbor:"3,keyasint"`
}

// fixedReportsRequest is a message that asks a host for the fixed reports that it has received.
type fixedReportsRequest struct{}

// knownReports are the fixed reports that a host has received, independent of the store.
type knownReports struct {
	// since is the earliest true time from which on another host has received all fixed reports, or 0 if none has
	// stated one.
	since    time.Duration
	reported usage.Window
	// windows are the newest reports. A report is never replaced.
	windows usage.Windows
}

// add adds a report, unless the window has one.
func (k *knownReports) add(w usage.Window, counts usage.Counts) {
	if _, ok := k.windows[w]; ok {
		return
	}
	k.windows[w] = counts
	for old := range k.windows {
		if old+keptReports < w {
			delete(k.windows, old)
		}
	}
}

// merge adds the reports that another host has received.
func (k *knownReports) merge(m *fixedReports) {
	if since := time.Duration(m.Since); since > 0 && (k.since == 0 || since < k.since) {
		k.since = since
	}
	k.reported = max(k.reported, usage.Window(m.Reported))
	for w, counts := range m.Windows {
		k.add(w, counts)
	}
}

// HandleFixedReports handles the fixed reports of a peer.
func (r *Reporter) HandleFixedReports(from envelope.Sender, body []byte) {
	var m fixedReports
	if err := cbor.Unmarshal(body, &m); err != nil {
		r.parts.Log.WithError(err).WithField("peer", from.Host).Warn("a peer's fixed reports can't be decoded; they are dropped")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known.merge(&m)
}

// HandleFixedReportsRequest sends a peer the fixed reports that this host has received.
func (r *Reporter) HandleFixedReportsRequest(from envelope.Sender, _ []byte) {
	r.parts.Peers.SendTo(from.Host, envelope.KindFixedReports, r.fixedReports())
}

// fixedReports returns a message with all fixed reports that this host has received.
func (r *Reporter) fixedReports() fixedReports {
	since := r.completeSince()
	r.mu.Lock()
	defer r.mu.Unlock()
	return fixedReports{Since: int64(since), Reported: uint64(r.known.reported), Windows: r.known.windows.Clone()}
}

// completeSince returns the true time from which on this host has received all messages of leaders.
func (r *Reporter) completeSince() time.Duration {
	now := r.parts.Clock()
	return r.parts.UsageClock.TrueTime(now) - now.Sub(r.started) + joinTime
}

// recoverReports restores the fixed reports that the store has lost, unless a leader of the current era has done so.
// It returns false if ctx has ended.
func (r *Reporter) recoverReports(ctx context.Context, m mandate) bool {
	token, _, ok := m.Fence()
	for ; !ok; token, _, ok = m.Fence() {
		if !lifetime.Sleep(ctx, retryInterval) {
			return false
		}
	}
	if m.Memo().Era == era.Of(token) {
		return true
	}
	r.parts.Peers.Broadcast(envelope.KindFixedReportsRequest, fixedReportsRequest{})
	if !lifetime.Sleep(ctx, fixedReportsWaitTime) {
		return false
	}
	r.adoptKnownReports()
	m.UpdateMemo(func(memo *lease.Memo) { memo.Era = era.Of(token) })
	return true
}

// adoptKnownReports adopts the fixed reports that hosts have received. It leaves out the windows that may have been
// reported although no host has their report.
func (r *Reporter) adoptKnownReports() {
	now, since := r.parts.Clock(), r.completeSince()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known.since > 0 {
		since = min(since, r.known.since)
	}
	r.reported = max(r.reported, r.known.reported)
	for w, counts := range r.known.windows {
		if w > r.reported {
			r.fixed[w] = counts
			delete(r.inStore, w)
		}
	}
	var leftOut []usage.Window
	for w := r.reported + 1; r.parts.UsageClock.SinceEnd(w, now) > r.parts.UsageClock.TrueTime(now)-since; w++ {
		if _, fixed := r.fixed[w]; !fixed {
			leftOut = append(leftOut, w)
			r.reportedLater[w] = true
		}
	}
	r.advanceReported()
	r.parts.Log.WithFields(logrus.Fields{"reported": r.reported, "fixed": len(r.fixed), "left_out": leftOut}).
		Warn("the store was restored from a backup; fixed usage reports are recovered from hosts, windows that may have been reported without one are left out")
}

// advanceReported advances r.reported over the reported windows after it. The caller holds the lock.
func (r *Reporter) advanceReported() {
	for r.reportedLater[r.reported+1] {
		r.reported++
		delete(r.reportedLater, r.reported)
		delete(r.fixed, r.reported)
	}
}
