package poison

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// outbox holds the items that are still to be sent in reports.
type outbox struct {
	crashes  []repeatedItem[ReportedCrash]
	answered []repeatedItem[keys.Content]
	verdicts []repeatedItem[ReportedVerdict]
	trials   []repeatedItem[PartTime]
}

// repeatedItem is an item with the number of reports that it is still to be sent in.
type repeatedItem[T any] struct {
	item T
	left int
}

func (o *outbox) addCrash(content keys.Content, crash Crash) {
	o.crashes = append(o.crashes, repeatedItem[ReportedCrash]{reportedCrash(content, crash), reportRepeats})
}

func (o *outbox) addAnswered(content keys.Content) {
	o.answered = append(o.answered, repeatedItem[keys.Content]{content, reportRepeats})
}

func (o *outbox) addVerdict(verdict Verdict) {
	o.verdicts = append(o.verdicts, repeatedItem[ReportedVerdict]{reportedVerdict(verdict), reportRepeats})
}

func (o *outbox) addTrial(part keys.Content, at freshness.StoreTime) {
	o.trials = append(o.trials, repeatedItem[PartTime]{PartTime{Part: part, AtMs: toMs(at)}, reportRepeats})
}

// next returns the next report and the trials to send with it, and whether further reports are needed.
func (o *outbox) next() (r *Report, trials []PartTime, more bool) {
	r = new(Report)
	trials, o.trials = take(o.trials)
	r.Ends, o.crashes = take(o.crashes)
	r.Answered, o.answered = take(o.answered)
	r.Verdicts, o.verdicts = take(o.verdicts)
	return r, trials, len(o.crashes)+len(o.answered)+len(o.verdicts)+len(o.trials) > 0
}

// take removes up to maxReported items from the front, and returns them and the remaining items. Items that are to be
// sent again are moved behind those that have not been sent yet.
func take[T any](items []repeatedItem[T]) (taken []T, left []repeatedItem[T]) {
	first := items[:min(len(items), maxReported)]
	left = slices.Clone(items[len(first):])
	for _, r := range first {
		taken = append(taken, r.item)
		if r.left--; r.left > 0 {
			left = append(left, r)
		}
	}
	return taken, left
}

// sendReport sends the next report to all peers, unless it is empty.
func (d *Detector) sendReport() {
	d.mu.Lock()
	report, trials, more := d.outbox.next()
	if more {
		d.evidenceChanged()
	}
	d.mu.Unlock()
	if len(report.Ends)+len(report.Answered)+len(report.Verdicts) > 0 {
		d.parts.Peers.Broadcast(envelope.KindPoison, report)
	}
	if len(trials) > 0 {
		d.parts.Peers.Broadcast(envelope.KindPoisonTrials, &Trials{Tried: trials})
	}
	if len(report.Ends) > 0 {
		d.parts.Peers.ExpectHeartbeats()
	}
}

// HandleJoin sends a host that has joined the parts that have been answered, so that it doesn't take them for poison after a
// few crashes, the ends of endpoints under requests, so that it doesn't send copies of these in parallel, and the verdicts.
func (d *Detector) HandleJoin(joined envelope.Sender) {
	if d.parts.Peers.Order().Before >= soundSenders {
		return
	}
	d.mu.Lock()
	sound, ends, verdicts := d.table.newestSound(maxReported), d.table.newestEnds(maxReported), d.table.Verdicts()
	d.mu.Unlock()
	if len(verdicts) > 0 {
		d.parts.Peers.SendTo(joined.Host, envelope.KindPoison, reportOf(verdicts[:min(len(verdicts), maxAnnounced)]))
	}
	if len(ends) > 0 {
		d.parts.Peers.SendTo(joined.Host, envelope.KindPoisonEnds, &Ends{Ends: ends})
	}
	if len(sound) > 0 {
		d.parts.Peers.SendTo(joined.Host, envelope.KindPoisonTrials, &Trials{Sound: sound})
	}
}

// HandleTrials handles a peer's Trials, encoded as CBOR. Parts that can't be some, and times outside what this host may
// have seen itself, are refused.
func (d *Detector) HandleTrials(from envelope.Sender, body []byte) {
	var trials Trials
	if err := cbor.Unmarshal(body, &trials); err != nil {
		d.parts.Log.WithError(err).WithField("peer", from.Host).Warn("peer's trials can't be decoded; dropped")
		d.parts.CountRefused(counters.RefusedMalformed)
		return
	}
	now := d.parts.StoreTime()
	isRefused := func(p PartTime) bool {
		at := fromMs(p.AtMs)
		refused := !p.Part.IsPart() || now == 0 || at > now+freshness.StoreTime(maxClockDifference) || at < now-freshness.StoreTime(soundTime)
		if refused {
			d.parts.CountRefused(counters.RefusedPart)
		}
		return refused
	}
	tried, sound := slices.DeleteFunc(trials.Tried, isRefused), slices.DeleteFunc(trials.Sound, isRefused)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range tried {
		d.table.RecordTrial(fromMs(p.AtMs), p.Part)
	}
	for _, p := range sound {
		d.table.recordSound(fromMs(p.AtMs), p.Part)
	}
}

// HandleEnds handles a peer's Ends, encoded as CBOR. Ends at times at which this host would no longer count them, or that
// lie ahead, are refused; a host that has just started may not know the time.
func (d *Detector) HandleEnds(from envelope.Sender, body []byte) {
	var message Ends
	if err := cbor.Unmarshal(body, &message); err != nil {
		d.parts.Log.WithError(err).WithField("peer", from.Host).Warn("peer's ends of endpoints can't be decoded; dropped")
		d.parts.CountRefused(counters.RefusedMalformed)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.parts.StoreTime()
	for i := range message.Ends {
		end := message.Ends[i].crash()
		if now != 0 && (end.At > now+freshness.StoreTime(maxClockDifference) || end.At < now-freshness.StoreTime(evidenceValidity)) {
			d.parts.CountRefused(counters.RefusedPart)
			continue
		}
		d.table.recordEnd(message.Ends[i].Content, end)
	}
	d.count()
}

// isAnnouncer reports whether this host announces verdicts.
func (d *Detector) isAnnouncer() bool {
	return d.parts.Peers.IsSettled() && d.parts.Peers.Order().Before < announcerCount
}

// announceVerdicts sends all verdicts to all peers if this host is an announcer.
func (d *Detector) announceVerdicts() {
	if !d.isAnnouncer() {
		return
	}
	for batch := range slices.Chunk(d.Verdicts(), maxAnnounced) {
		d.parts.Peers.Broadcast(envelope.KindPoison, reportOf(batch))
	}
}

// reportOf returns a report of verdicts.
func reportOf(verdicts []Verdict) *Report {
	report := new(Report)
	for _, verdict := range verdicts {
		report.Verdicts = append(report.Verdicts, reportedVerdict(verdict))
	}
	return report
}

// expire removes expired evidence, verdicts and probes.
func (d *Detector) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, content := range d.table.Expire(d.parts.StoreTime()) {
		d.parts.Log.WithFields(keyFields(content)).Info("verdict expired, request may be sent again")
		d.outdated = append(d.outdated, content)
	}
	for endpoint, p := range d.probes {
		if p.isOutdated(d.parts.Clock()) {
			delete(d.probes, endpoint)
		}
	}
	d.count()
}

// syncStore reads the verdicts from the store once this host is among the first to read it, is an announcer or has seen an
// endpoint crash, and writes the verdicts that this host has found, until ctx ends. Without the first reads, hosts that were
// killed together would have to prove a verdict again.
func (d *Detector) syncStore(ctx context.Context) {
	loaded := d.loadFirst(ctx)
	savedEra := d.parts.Era()
	ticker := time.NewTicker(storeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-d.storeWake:
		case <-ctx.Done():
			return
		}
		if !loaded && (d.hasSeenCrash() || d.isAnnouncer()) {
			loaded = d.loadVerdicts(ctx)
		}
		if newest := d.parts.Era(); newest > savedEra && d.isAnnouncer() {
			savedEra = newest
			d.requeueVerdicts()
		}
		d.saveVerdicts(ctx)
		d.exchangeEnds(ctx)
	}
}

// loadFirst reads the verdicts as soon as this host is among those that read the store first after a start, and returns false
// if it is not before it knows its peers, or if that failed.
func (d *Detector) loadFirst(ctx context.Context) bool {
	for !d.parts.Peers.IsSettled() && !d.hasSeenCrash() {
		if d.parts.Peers.MustReadFirst() {
			return d.loadVerdicts(ctx)
		}
		if !lifetime.Sleep(ctx, firstReadInterval) {
			return false
		}
	}
	return false
}

// hasSeenCrash reports whether an endpoint has crashed while it had a request of this host.
func (d *Detector) hasSeenCrash() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sawCrash
}

// loadVerdicts reads the verdicts from the store, and returns false if that failed. Verdicts that are new to this
// host go into the next report to all hosts.
func (d *Detector) loadVerdicts(ctx context.Context) bool {
	stored, err := d.parts.Store.Load(ctx)
	if err != nil {
		d.parts.Log.WithError(err).Warn("verdicts can't be read; retrying")
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var ends []ReportedCrash
	for _, verdict := range stored.Verdicts {
		if verdict.Until < d.parts.StoreTime() {
			d.outdated = append(d.outdated, verdict.Content)
			continue
		}
		if verdict.IsSuspicion {
			ends = append(ends, d.table.adoptSuspicion(verdict)...)
			continue
		}
		if d.adopt(verdict, "store") {
			d.outbox.addVerdict(verdict)
		}
	}
	for _, end := range stored.Ends {
		if at := end.crash().At; at >= d.parts.StoreTime()-freshness.StoreTime(evidenceValidity) {
			d.table.recordEnd(end.Content, end.crash())
			ends = append(ends, end)
		}
	}
	if len(ends) > 0 {
		d.parts.Peers.Broadcast(envelope.KindPoisonEnds, &Ends{Ends: ends[:min(len(ends), maxReported)]})
	}
	d.evidenceChanged()
	return true
}

// requeueVerdicts has all verdicts written again, since a restored store may have lost them.
func (d *Detector) requeueVerdicts() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsaved = d.table.Verdicts()
}

// saveVerdicts writes the verdicts that this host has found to the store, and removes the outdated ones.
func (d *Detector) saveVerdicts(ctx context.Context) {
	d.mu.Lock()
	found, removed := len(d.unsaved), len(d.outdated)
	// A request whose state has changed in between is written only as it is now: either poison or not.
	verdicts := slices.DeleteFunc(slices.Clone(d.unsaved), func(v Verdict) bool { return d.table.IsPoison(v.Content) == v.IsSuspicion })
	outdated := slices.DeleteFunc(slices.Clone(d.outdated), d.table.IsPoison)
	d.mu.Unlock()
	if len(verdicts) > 0 || (len(outdated) > 0 && d.isAnnouncer()) {
		if err := d.parts.Store.WriteVerdicts(ctx, verdicts, outdated); err != nil {
			d.parts.Log.WithError(err).Warn("verdicts can't be written; retrying")
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsaved, d.outdated = d.unsaved[found:], d.outdated[removed:]
}
