package poison

import (
	"context"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// outbox is what the next reports carry, each a number of times.
type outbox struct {
	ends     []repeated[ReportedCrash]
	cleared  []repeated[keys.Request]
	verdicts []repeated[ReportedVerdict]
}

// repeated is something that is still to be sent a number of times.
type repeated[T any] struct {
	item T
	left int
}

func (o *outbox) ended(request keys.Request, end Crash) {
	o.ends = append(o.ends, repeated[ReportedCrash]{ReportedCrash{Request: request, Endpoint: end.Endpoint, AtMs: toMs(end.At), Begun: end.Begun}, reportRepeats})
}

func (o *outbox) answered(request keys.Request) {
	o.cleared = append(o.cleared, repeated[keys.Request]{request, reportRepeats})
}

func (o *outbox) verdict(verdict Verdict) {
	o.verdicts = append(o.verdicts, repeated[ReportedVerdict]{reportedVerdict(verdict), reportRepeats})
}

// next returns the next report, and whether more has to follow.
func (o *outbox) next() (r *Report, more bool) {
	r = new(Report)
	r.Ends, o.ends = take(o.ends)
	r.Answered, o.cleared = take(o.cleared)
	r.Verdicts, o.verdicts = take(o.verdicts)
	return r, len(o.ends)+len(o.cleared)+len(o.verdicts) > 0
}

// take returns the first items, at most mostReported, and what is left: those that were not sent yet go before those that
// are sent again.
func take[T any](items []repeated[T]) (taken []T, left []repeated[T]) {
	first := items[:min(len(items), mostReported)]
	left = slices.Clone(items[len(first):])
	for _, r := range first {
		taken = append(taken, r.item)
		if r.left--; r.left > 0 {
			left = append(left, r)
		}
	}
	return taken, left
}

// report sends what is due to all peers.
func (d *Detector) report() {
	d.mu.Lock()
	report, more := d.outbox.next()
	if more {
		d.changed()
	}
	d.mu.Unlock()
	if len(report.Ends)+len(report.Answered)+len(report.Verdicts) > 0 {
		d.parts.Peers.Broadcast(envelope.KindPoison, report)
	}
}

// announces reports whether this host announces all verdicts.
func (d *Detector) announces() bool {
	return d.parts.Peers.IsSettled() && d.parts.Peers.Order().Before < announcers
}

// announce sends all verdicts to all peers, if this host is to.
func (d *Detector) announce() {
	if !d.announces() {
		return
	}
	for batch := range slices.Chunk(d.Verdicts(), mostAnnounced) {
		report := new(Report)
		for _, verdict := range batch {
			report.Verdicts = append(report.Verdicts, reportedVerdict(verdict))
		}
		d.parts.Peers.Broadcast(envelope.KindPoison, report)
	}
}

// expire drops what is too old.
func (d *Detector) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, request := range d.table.Expire(d.parts.StoreTime()) {
		d.parts.Log.WithField("request_key", request.String()).Info("request may be sent again")
		d.outdated = append(d.outdated, request)
	}
	for endpoint, p := range d.probes {
		if p.isOver(d.parts.Clock()) {
			delete(d.probes, endpoint)
		}
	}
	d.count()
}

// keep reads the verdicts that the store has, once this host is to announce them or has seen an endpoint end, and writes
// those that this host has found, until ctx ends. Hosts that were killed together and see an end before they know their
// place would otherwise prove a verdict once more.
func (d *Detector) keep(ctx context.Context) {
	loaded := false
	savedIn := d.parts.Era()
	look := time.NewTicker(keepInterval)
	defer look.Stop()
	for {
		select {
		case <-look.C:
		case <-d.lookUp:
		case <-ctx.Done():
			return
		}
		if !loaded && (d.hasSeenEnd() || d.announces()) {
			loaded = d.load(ctx)
		}
		if newest := d.parts.Era(); newest > savedIn && d.announces() {
			savedIn = newest
			d.saveAgain()
		}
		d.save(ctx)
	}
}

// hasSeenEnd reports whether an endpoint has ended under a request of this host.
func (d *Detector) hasSeenEnd() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sawEnd
}

// load reads the verdicts of the store, and reports whether it could. What is news goes to all hosts at once.
func (d *Detector) load(ctx context.Context) bool {
	verdicts, err := d.parts.Store.Verdicts(ctx)
	if err != nil {
		d.parts.Log.WithError(err).Warn("verdicts can't be read, tried again")
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, verdict := range verdicts {
		if verdict.Until < d.parts.StoreTime() {
			d.outdated = append(d.outdated, verdict.Request)
			continue
		}
		if d.adopt(verdict, "store") {
			d.outbox.verdict(verdict)
		}
	}
	d.changed()
	return true
}

// saveAgain has all verdicts written once more, since a restored store may have lost them.
func (d *Detector) saveAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsaved = d.table.Verdicts()
}

// save writes the verdicts that this host has found to the store, and removes those that are over.
func (d *Detector) save(ctx context.Context) {
	d.mu.Lock()
	found, over := len(d.unsaved), len(d.outdated)
	// A request is either given up or not, whatever it was in between.
	verdicts := slices.DeleteFunc(slices.Clone(d.unsaved), func(v Verdict) bool { return !d.table.IsPoison(v.Request) })
	outdated := slices.DeleteFunc(slices.Clone(d.outdated), d.table.IsPoison)
	d.mu.Unlock()
	if len(verdicts) > 0 || (len(outdated) > 0 && d.announces()) {
		if err := d.parts.Store.WriteVerdicts(ctx, verdicts, outdated); err != nil {
			d.parts.Log.WithError(err).Warn("verdicts can't be written, tried again")
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsaved, d.outdated = d.unsaved[found:], d.outdated[over:]
}
