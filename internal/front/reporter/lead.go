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

// The keys of the records in the store: the fixed report of a window, and the checkpoint of the counts without a
// fixed report.
const (
	fixedKeyPrefix = "usage/"
	checkpointKey  = "usage-counts"
)

// fixedKey returns the key of the fixed report of a window.
func fixedKey(w usage.Window) string { return fixedKeyPrefix + strconv.FormatUint(uint64(w), 10) }

// windowOfKey returns the window of a fixed report by its key, or 0 if the key is not that of a fixed report.
func windowOfKey(key string) usage.Window {
	number, ok := strings.CutPrefix(key, fixedKeyPrefix)
	window, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil {
		return 0
	}
	return usage.Window(window)
}

// mandate is the part of leader.Mandate that the reporter uses.
type mandate interface {
	Fence() (token uint64, left time.Duration, ok bool)
	WriteRecords(ctx context.Context, records ...leader.Record) error
	Records(ctx context.Context) ([]leader.Record, error)
	Memo() lease.Memo
	UpdateMemo(change func(*lease.Memo))
	RecordAnswer()
	RecordNoAnswer()
}

// Lead reports the windows that end, until ctx ends. It implements leader.Task.
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
		r.collectCounts(m, since)
		for _, w := range r.dueWindows() {
			if err := r.report(ctx, m, w); err != nil {
				r.recordFailure(ctx, m, w, err)
				lifetime.Sleep(ctx, retryInterval)
			}
		}
	}
}

// load reads the records of former leaders. It returns false if the store did not answer.
func (r *Reporter) load(ctx context.Context, m mandate) bool {
	records, err := m.Records(ctx)
	if err != nil {
		r.parts.Log.WithError(err).Warn("the usage records of former leaders can't be read; no window is reported until they can")
		return false
	}
	now := r.parts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.reportedLater)
	clear(r.fixed)
	clear(r.inStore)
	r.lastCheckpoint = nil
	oldest := r.parts.UsageClock.Window(now) - keptReports
	reported := max(usage.Window(m.Memo().Reported), r.known.reported)
	r.reported = max(reported, oldest)
	if reported == 0 {
		// A new fleet starts with the window in which it began.
		r.reported = r.parts.UsageClock.Window(now) - 1
	}
	for i := range records {
		if err := r.loadRecord(&records[i]); err != nil {
			r.parts.Log.WithError(err).WithField("key", records[i].Key).Warn("a usage record can't be decoded; it is ignored")
		}
	}
	r.parts.Log.WithFields(logrus.Fields{"reported": r.reported, "fixed": len(r.fixed), "hosts": len(r.ledger.Shares())}).
		Info("read the usage records of former leaders; this host reports usage from now on")
	return true
}

// loadRecord adopts one record. The caller holds the lock.
func (r *Reporter) loadRecord(record *leader.Record) error {
	if window := windowOfKey(record.Key); window > 0 {
		var counts usage.Counts
		if err := json.Unmarshal(record.Value, &counts); err != nil {
			return merry.Wrap(err)
		}
		r.fixed[window], r.inStore[window] = counts, true
		r.known.add(window, counts)
		return nil
	}
	if record.Key != checkpointKey {
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

// storedShare is the part of the checkpoint with the counts of one incarnation of a host.
type storedShare struct {
	Host        string        `cbor:"1,keyasint"`
	Incarnation uint32        `cbor:"2,keyasint"`
	Windows     usage.Windows `cbor:"3,keyasint"`
}

// Checkpoint returns the counts of the windows that have not been reported, if they have changed since its last call.
// It implements leader.Checkpointer.
func (r *Reporter) Checkpoint() []leader.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var shares []storedShare
	for source, s := range r.ledger.Shares() {
		if len(s.Windows) > 0 {
			shares = append(shares, storedShare{Host: source.Host, Incarnation: source.Incarnation, Windows: s.Windows})
		}
	}
	data, err := canonicalMode.Marshal(shares)
	if err != nil {
		r.parts.Log.WithError(err).Error("the usage counts can't be encoded; the checkpoint is skipped")
		return nil
	}
	if string(data) == string(r.lastCheckpoint) {
		return nil
	}
	r.lastCheckpoint = data
	return []leader.Record{{Key: checkpointKey, Value: data}}
}

// canonicalMode encodes equal maps to equal bytes.
var canonicalMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // The options above are valid.
	}
	return mode
}()

// collectCounts adds this host's own counts, and agrees on the offset of the store's clock to true time: the median
// of the offsets of all hosts, or of those received once this host has led for offsetWaitTime. With only two offsets,
// the wrong one may be chosen, and windows that have not begun would be reported as ended.
func (r *Reporter) collectCounts(m mandate, since time.Time) {
	senders := r.parts.Peers.Senders()
	own := r.ownShare()
	r.merge(usage.Source(senders[0]), &own)
	alive := make(map[usage.Source]bool, len(senders))
	for _, sender := range senders {
		alive[usage.Source(sender)] = true
	}
	r.mu.Lock()
	var offsets []usage.ClockOffset
	for source, offset := range r.offsets {
		if !alive[source] {
			delete(r.offsets, source)
			continue
		}
		offsets = append(offsets, offset)
	}
	r.ledger.Drop(r.reported, func(s usage.Source) bool { return alive[s] })
	r.mu.Unlock()
	if len(offsets) < len(senders) && r.parts.Clock().Sub(since) < offsetWaitTime {
		return
	}
	if offset, ok := usage.MedianOffset(offsets); ok {
		m.UpdateMemo(func(memo *lease.Memo) { memo.TrueTime = int64(offset) })
		r.parts.UsageClock.SetOffset(offset)
	}
}

// dueWindows returns the windows that have ended and have not been reported, if their report is fixed, their counts
// are complete, or the report would be late.
func (r *Reporter) dueWindows() []usage.Window {
	now := r.parts.Clock()
	senders := r.parts.Peers.Senders()
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []usage.Window
	for w := r.reported + 1; r.parts.UsageClock.SinceEnd(w, now) >= windowCheckDelay; w++ {
		if r.reportedLater[w] {
			continue
		}
		end := r.parts.UsageClock.TrueTime(now) - r.parts.UsageClock.SinceEnd(w, now)
		complete := true
		for _, sender := range senders {
			complete = complete && r.ledger.AsOf(usage.Source(sender)) >= end
		}
		late := r.parts.UsageClock.SinceEnd(w, now) >= time.Duration(lateFraction*float64(r.parts.DueAfter))
		if _, fixed := r.fixed[w]; fixed || complete || late {
			due = append(due, w)
		}
	}
	return due
}

// report fixes the report of a window, unless a former leader has, and sends it to the provider.
func (r *Reporter) report(ctx context.Context, m mandate, w usage.Window) error {
	r.mu.Lock()
	counts, fixed := r.fixed[w]
	if !fixed {
		counts = r.ledger.Sum(w)
	}
	inStore := r.inStore[w]
	r.mu.Unlock()
	if !inStore {
		if err := r.storeFixedReport(ctx, m, w, counts); err != nil {
			return err
		}
	}
	r.broadcastFixedReport(w, counts)
	if err := r.parts.Provider.ReportUsage(ctx, m.Fence, w, counts); err != nil {
		return err
	}
	m.RecordAnswer()
	r.markReported(m, w, counts)
	return nil
}

// broadcastFixedReport sends a fixed report to all hosts before it goes to the provider. This includes reports fixed
// by a former leader, which may have ended before it could broadcast them.
func (r *Reporter) broadcastFixedReport(w usage.Window, counts usage.Counts) {
	r.mu.Lock()
	r.known.add(w, counts)
	r.mu.Unlock()
	r.parts.Peers.Broadcast(envelope.KindFixedReports, fixedReports{Windows: usage.Windows{w: counts}})
}

// storeFixedReport writes the report of a window to the store before it is first sent, and deletes old reports.
func (r *Reporter) storeFixedReport(ctx context.Context, m mandate, w usage.Window, counts usage.Counts) error {
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
		delete(r.inStore, windowOfKey(removed.Key))
	}
	r.mu.Unlock()
	return nil
}

// markReported marks a window as reported.
func (r *Reporter) markReported(m mandate, w usage.Window, counts usage.Counts) {
	now := r.parts.Clock()
	r.mu.Lock()
	r.reportedLater[w] = true
	r.advanceReported()
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
	}).Info("the usage of a window was reported to the provider")
}

// recordFailure records and logs a failed report of a window.
func (r *Reporter) recordFailure(ctx context.Context, m mandate, w usage.Window, err error) {
	if ctx.Err() != nil || errors.Is(err, leader.ErrLeadershipLost) {
		return
	}
	if errors.Is(err, ErrRefused) {
		m.RecordAnswer()
	} else {
		m.RecordNoAnswer()
	}
	r.parts.Log.WithError(err).WithField("window", fmt.Sprint(w)).Warn("the usage report of a window failed; it will be sent again")
}
