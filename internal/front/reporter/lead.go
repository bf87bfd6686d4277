package reporter

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-json-experiment/json"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/leader"
	"oxbowslip.dev/oxbowslip/internal/front/lease"
	"oxbowslip.dev/oxbowslip/internal/front/usage"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// The keys of the records: the fixed report of a window, and the counts that are not fixed yet.
const (
	keyFixed      = "usage/"
	keyCheckpoint = "usage-counts"
)

// fixedKey returns the key of a window's report.
func fixedKey(w usage.Window) string { return keyFixed + strconv.FormatUint(uint64(w), 10) }

// windowOf returns the window whose report a record is, or 0.
func windowOf(key string) usage.Window {
	number, ok := strings.CutPrefix(key, keyFixed)
	window, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil {
		return 0
	}
	return usage.Window(window)
}

// mandate is what the reports need of a leader.Mandate.
type mandate interface {
	Fence() (token uint64, left time.Duration, ok bool)
	WriteRecords(ctx context.Context, records ...leader.Record) error
	Records(ctx context.Context) ([]leader.Record, error)
	Memo() lease.Memo
	UpdateMemo(change func(*lease.Memo))
	RecordAnswer()
	RecordNoAnswer()
}

// Lead reports the windows that end, until ctx does. It implements leader.Task.
func (r *Reporter) Lead(ctx context.Context, m *leader.Mandate) { r.lead(ctx, m) }

func (r *Reporter) lead(ctx context.Context, m mandate) {
	for !r.load(ctx, m) {
		if !lifetime.Sleep(ctx, retryInterval) {
			return
		}
	}
	if !r.recoverReports(ctx, m) {
		return
	}
	since := r.parts.Clock()
	for lifetime.Sleep(ctx, reportInterval) {
		r.collect(m, since)
		for _, w := range r.due() {
			if err := r.report(ctx, m, w); err != nil {
				r.failed(ctx, m, w, err)
				lifetime.Sleep(ctx, retryInterval)
			}
		}
	}
}

// load takes over what former leaders have left. It reports whether that could be read.
func (r *Reporter) load(ctx context.Context, m mandate) bool {
	records, err := m.Records(ctx)
	if err != nil {
		r.parts.Log.WithError(err).Warn("what former leaders left can't be read yet")
		return false
	}
	now := r.parts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.settled)
	clear(r.fixed)
	clear(r.inStore)
	r.stored = nil
	oldest := r.parts.UsageClock.Window(now) - keptReports
	reported := max(usage.Window(m.Memo().Reported), r.known.reported)
	r.reported = max(reported, oldest)
	if reported == 0 {
		// A fleet that has just started reports the window in which it did.
		r.reported = r.parts.UsageClock.Window(now) - 1
	}
	for i := range records {
		if err := r.loadRecord(&records[i]); err != nil {
			r.parts.Log.WithError(err).WithField("key", records[i].Key).Warn("a record can't be read and is left out")
		}
	}
	r.parts.Log.WithFields(logrus.Fields{"reported": r.reported, "fixed": len(r.fixed), "hosts": len(r.ledger.Shares())}).Info("takes over the reports")
	return true
}

// loadRecord takes over one record. The lock is held.
func (r *Reporter) loadRecord(record *leader.Record) error {
	if window := windowOf(record.Key); window > 0 {
		var counts usage.Counts
		if err := json.Unmarshal(record.Value, &counts); err != nil {
			return merry.Wrap(err)
		}
		r.fixed[window], r.inStore[window] = counts, true
		r.known.add(window, counts)
		return nil
	}
	if record.Key != keyCheckpoint {
		return nil
	}
	var shares []storedShare
	if err := cbor.Unmarshal(record.Value, &shares); err != nil {
		return merry.Wrap(err)
	}
	for _, s := range shares {
		r.ledger.Merge(usage.Source{Host: s.Host, Incarnation: s.Incarnation}, usage.Share{Windows: s.Windows})
	}
	return nil
}

// storedShare is what one start of a host has counted, in the checkpoint.
type storedShare struct {
	Host        string        `cbor:"1,keyasint"`
	Incarnation uint32        `cbor:"2,keyasint"`
	Windows     usage.Windows `cbor:"3,keyasint"`
}

// Checkpoint returns the counts that are not reported, if they have changed since the last time. It implements
// leader.Checkpointer.
func (r *Reporter) Checkpoint() []leader.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var shares []storedShare
	for source, s := range r.ledger.Shares() {
		if len(s.Windows) > 0 {
			shares = append(shares, storedShare{Host: source.Host, Incarnation: source.Incarnation, Windows: s.Windows})
		}
	}
	data, err := canonical.Marshal(shares)
	if err != nil {
		r.parts.Log.WithError(err).Error("the counts can't be encoded")
		return nil
	}
	if string(data) == string(r.stored) {
		return nil
	}
	r.stored = data
	return []leader.Record{{Key: keyCheckpoint, Value: data}}
}

// canonical encodes equal maps alike.
var canonical = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // The options above are valid.
	}
	return mode
}()

// collect adds this host's own counts, and agrees on the true time: on the median of what all hosts offer, or of what there
// is once this host has led for a while. Of the first two offers one may be wrong, and windows that have not begun would
// be reported as over.
func (r *Reporter) collect(m mandate, since time.Time) {
	senders := r.parts.Peers.Senders()
	own := r.ownShare()
	r.merge(usage.Source(senders[0]), &own)
	alive := make(map[usage.Source]bool, len(senders))
	for _, sender := range senders {
		alive[usage.Source(sender)] = true
	}
	r.mu.Lock()
	var offers []usage.ClockOffset
	for source, zero := range r.zeros {
		if !alive[source] {
			delete(r.zeros, source)
			continue
		}
		offers = append(offers, zero)
	}
	r.ledger.Drop(r.reported, func(s usage.Source) bool { return alive[s] })
	r.mu.Unlock()
	if len(offers) < len(senders) && r.parts.Clock().Sub(since) < offerTime {
		return
	}
	if zero, ok := usage.MedianOffset(offers); ok {
		m.UpdateMemo(func(memo *lease.Memo) { memo.TrueTime = int64(zero) })
		r.parts.UsageClock.SetOffset(zero)
	}
}

// due returns the windows that have ended and are not reported, if their counts are complete or late.
func (r *Reporter) due() []usage.Window {
	now := r.parts.Clock()
	senders := r.parts.Peers.Senders()
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []usage.Window
	for w := r.reported + 1; r.parts.UsageClock.SinceEnd(w, now) >= settleTime; w++ {
		if r.settled[w] {
			continue
		}
		end := r.parts.UsageClock.TrueTime(now) - r.parts.UsageClock.SinceEnd(w, now)
		complete := true
		for _, sender := range senders {
			complete = complete && r.ledger.AsOf(usage.Source(sender)) >= end
		}
		late := r.parts.UsageClock.SinceEnd(w, now) >= time.Duration(latePart*float64(r.parts.DueAfter))
		if _, fixed := r.fixed[w]; fixed || complete || late {
			due = append(due, w)
		}
	}
	return due
}

// report fixes the report of a window, if no leader has, and sends it.
func (r *Reporter) report(ctx context.Context, m mandate, w usage.Window) error {
	r.mu.Lock()
	counts, fixed := r.fixed[w]
	if !fixed {
		counts = r.ledger.Sum(w)
	}
	inStore := r.inStore[w]
	r.mu.Unlock()
	if !inStore {
		if err := r.fix(ctx, m, w, counts); err != nil {
			return err
		}
	}
	r.shareFixed(w, counts)
	if err := r.parts.Provider.ReportUsage(ctx, m.Fence, w, counts); err != nil {
		return err
	}
	m.RecordAnswer()
	r.settle(m, w, counts)
	return nil
}

// shareFixed lets all hosts know a report that is about to be sent, also one that a former leader has fixed: that one may have
// ended before it could.
func (r *Reporter) shareFixed(w usage.Window, counts usage.Counts) {
	r.mu.Lock()
	r.known.add(w, counts)
	r.mu.Unlock()
	r.parts.Peers.Broadcast(envelope.KindFixedReports, fixedReports{Windows: usage.Windows{w: counts}})
}

// fix stores the report of a window before it is sent for the first time.
func (r *Reporter) fix(ctx context.Context, m mandate, w usage.Window, counts usage.Counts) error {
	value, err := json.Marshal(counts, json.Deterministic(true))
	if err != nil {
		return merry.Wrap(err)
	}
	records := []leader.Record{{Key: fixedKey(w), Value: value}}
	r.mu.Lock()
	for old := range r.inStore {
		if old+keptReports < w {
			records = append(records, leader.Record{Key: fixedKey(old), Delete: true})
		}
	}
	r.mu.Unlock()
	if err := m.WriteRecords(ctx, records...); err != nil {
		return err
	}
	r.mu.Lock()
	r.fixed[w], r.inStore[w] = counts, true
	for _, removed := range records[1:] {
		delete(r.inStore, windowOf(removed.Key))
	}
	r.mu.Unlock()
	return nil
}

// settle notes that a window was reported.
func (r *Reporter) settle(m mandate, w usage.Window, counts usage.Counts) {
	now := r.parts.Clock()
	r.mu.Lock()
	r.settled[w] = true
	r.raiseReported()
	reported, hosts := r.reported, len(r.ledger.Shares())
	r.mu.Unlock()
	r.parts.Meter.Drop(reported)
	m.UpdateMemo(func(memo *lease.Memo) { memo.Reported = uint64(reported) })
	requests := uint64(0)
	for _, count := range counts {
		requests += count
	}
	r.parts.Log.WithFields(logrus.Fields{
		"window": w, "requests": requests, "workspaces": len(counts), "hosts": hosts,
		"after_end_ms": r.parts.UsageClock.SinceEnd(w, now).Milliseconds(),
	}).Info("reported")
}

// failed notes why a window was not reported.
func (r *Reporter) failed(ctx context.Context, m mandate, w usage.Window, err error) {
	if ctx.Err() != nil || errors.Is(err, leader.ErrLeadershipLost) {
		return
	}
	if errors.Is(err, ErrRefused) {
		m.RecordAnswer()
	} else {
		m.RecordNoAnswer()
	}
	r.parts.Log.WithError(err).WithField("window", fmt.Sprint(w)).Warn("a window is not reported yet")
}
