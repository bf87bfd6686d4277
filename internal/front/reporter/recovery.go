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

// A store that comes back from an older copy has lost the newest reports that leaders fixed there. All hosts remember them, and
// the first leader of an era asks for them before it reports anything. Windows of which nobody can know whether they were
// reported are left out: a report that is missing is better than two that differ.

// fixedReports is a message with reports that must not change, from the leader that fixed them or a host that was asked.
type fixedReports struct {
	// Since is the true time in ns from which on the sender knows all, or 0 if it does not say.
	Since int64 `cbor:"1,keyasint"`
	// Reported is the window up to which all have been reported.
	Reported uint64        `cbor:"2,keyasint"`
	Windows  usage.Windows `cbor:"3,keyasint"`
}

// askFixed is a message that asks a host for the reports that it knows.
type askFixed struct{}

// known is what a host knows of reports, whatever the store has.
type known struct {
	// since is the true time from which on nothing was missed, or 0 if no other host has told of one.
	since    time.Duration
	reported usage.Window
	// windows are the newest reports. One that is known is never replaced.
	windows usage.Windows
}

// add adds a report.
func (k *known) add(w usage.Window, counts usage.Counts) {
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

// merge adds what another host knows.
func (k *known) merge(m *fixedReports) {
	if since := time.Duration(m.Since); since > 0 && (k.since == 0 || since < k.since) {
		k.since = since
	}
	k.reported = max(k.reported, usage.Window(m.Reported))
	for w, counts := range m.Windows {
		k.add(w, counts)
	}
}

// HandleFixedReports handles the reports that a peer knows.
func (r *Reporter) HandleFixedReports(from envelope.Sender, body []byte) {
	var m fixedReports
	if err := cbor.Unmarshal(body, &m); err != nil {
		r.parts.Log.WithError(err).WithField("peer", from.Host).Warn("a peer's reports can't be read")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known.merge(&m)
}

// HandleFixedReportsRequest sends a peer the reports that this host knows.
func (r *Reporter) HandleFixedReportsRequest(from envelope.Sender, _ []byte) {
	r.parts.Peers.SendTo(from.Host, envelope.KindFixedReports, r.fixedReports())
}

// fixedReports returns all that this host knows.
func (r *Reporter) fixedReports() fixedReports {
	since := r.knowsSince()
	r.mu.Lock()
	defer r.mu.Unlock()
	return fixedReports{Since: int64(since), Reported: uint64(r.known.reported), Windows: r.known.windows.Clone()}
}

// knowsSince returns the true time from which on this host has got what leaders send.
func (r *Reporter) knowsSince() time.Duration {
	now := r.parts.Clock()
	return r.parts.UsageClock.TrueTime(now) - now.Sub(r.started) + joinTime
}

// recoverReports makes up for what the store has lost, if this is the first leader of an era that gets so far. It reports false if
// ctx has ended.
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
	r.parts.Peers.Broadcast(envelope.KindFixedReportsRequest, askFixed{})
	if !lifetime.Sleep(ctx, askTime) {
		return false
	}
	r.takeKnown()
	m.UpdateMemo(func(memo *lease.Memo) { memo.Era = era.Of(token) })
	return true
}

// takeKnown takes over the reports that hosts know, and leaves out the windows of which they can't know whether they were
// reported.
func (r *Reporter) takeKnown() {
	now, since := r.parts.Clock(), r.knowsSince()
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
			r.settled[w] = true
		}
	}
	r.raiseReported()
	r.parts.Log.WithFields(logrus.Fields{"reported": r.reported, "fixed": len(r.fixed), "left_out": leftOut}).Warn("the store was restored, reports are taken over from hosts")
}

// raiseReported raises the window up to which all are reported. The lock is held.
func (r *Reporter) raiseReported() {
	for r.settled[r.reported+1] {
		r.reported++
		delete(r.settled, r.reported)
		delete(r.fixed, r.reported)
	}
}
