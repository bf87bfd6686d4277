package poison

import (
	"cmp"
	"context"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// The rules and the exchange of ends across a partition. Each side has a host that lends the right to send a copy, so what all
// sides send of a request is bounded only by what they know of each other. Sides that reach the store exchange the ends of
// endpoints there. A side without most of the hosts asks it before each copy. After the third end under a request, and of parts
// that are limited, a side sends a copy only when it has the turn.

const (
	// sideReaders is the number of hosts of a side that exchange ends for all of it.
	sideReaders = 2
	// confirmValidity is how long a side may act on what it has read. minExchangeInterval is the time between two reads.
	confirmValidity     = 250 * time.Millisecond
	minExchangeInterval = 100 * time.Millisecond
	// calmReadInterval is the time between two reads of a side with most of the hosts while it knows of no ends.
	calmReadInterval = time.Second
	// sideTurn is how long a side has the turn: the end of its copy's endpoint is in the store when the next side has it.
	sideTurn = 1500 * time.Millisecond
	// minStoredEnds and minStoredPartEnds are the ends under a request, and under a part, from which on a side stores them; a side
	// with most of the hosts does from minMostStoredEnds on.
	minStoredEnds, minStoredPartEnds, minMostStoredEnds = 1, 2, 2
	// maxStoredEnds bounds the ends that are written at a time, to one transaction of the store.
	maxStoredEnds = 100
	// unconfirmedEnds is the number of ends up to which a side that reaches neither the other hosts nor the store sends
	// another copy: most requests at an endpoint that has ended have not ended it.
	unconfirmedEnds = 1
)

// exchange is this host's state of the exchange of ends.
type exchange struct {
	// stored are the ends that the store has, as far as this host knows.
	stored map[storedEnd]ReportedCrash
	// removed are those that are still to be removed from it.
	removed []ReportedCrash
	// wanted are the contents whose copies wait for the exchange.
	wanted map[keys.Content]bool
	// readAt is when the last read began whose answer has arrived, triedAt when the last one began. IsStoreSilent is set if
	// that failed.
	readAt, triedAt time.Time
	isStoreSilent   bool
}

// storedEnd identifies a row of the store.
type storedEnd struct {
	content  keys.Content
	endpoint keys.Endpoint
}

func storedKey(end ReportedCrash) storedEnd { return storedEnd{end.Content, end.Endpoint} }

// MayLend reports whether this host may lend the right to send a copy of some contents as far as other sides of a partition
// go. IsSuccessor is set if hosts that precede it do not reply, which may be the first sign of one.
func (d *Detector) MayLend(content keys.Content, isSuccessor bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.maySend(content, isSuccessor)
}

// maySend is MayLend with the lock held.
func (d *Detector) maySend(content keys.Content, isSuccessor bool) bool {
	side := d.parts.Peers.Side()
	switch {
	case !side.IsWhole() && d.table.isLimitedAcross(content) && !d.hasTurn(content):
		return false
	case side.IsMost() && !isSuccessor, d.isConfirmed(content):
		return true
	}
	return d.exchange.isStoreSilent && (side.IsMost() || d.table.endCount(content) <= unconfirmedEnds)
}

func (d *Detector) hasTurn(content keys.Content) bool {
	now := d.parts.StoreTime()
	return now != 0 && d.parts.Peers.HasTurn(content.String(), uint64(now)/uint64(sideTurn))
}

// isConfirmed reports whether this host has just read what other sides have stored, after it has stored its own ends under
// some contents. Otherwise it has that done. The caller holds the lock.
func (d *Detector) isConfirmed(content keys.Content) bool {
	x := &d.exchange
	if d.parts.Clock().Sub(x.readAt) < confirmValidity && len(d.unstored(content)) == 0 {
		return true
	}
	if x.wanted == nil {
		x.wanted = make(map[keys.Content]bool)
	}
	x.wanted[content] = true
	lifetime.Wake(d.storeWake)
	return false
}

// unstored returns the ends under some contents that the store lacks. The caller holds the lock.
func (d *Detector) unstored(content keys.Content) []ReportedCrash {
	var ends []ReportedCrash
	for _, end := range d.table.endsOf(content) {
		reported := reportedCrash(content, end)
		if _, isStored := d.exchange.stored[storedKey(reported)]; !isStored && end.At != 0 {
			ends = append(ends, reported)
		}
	}
	return ends
}

// exchangeEnds writes the ends of this side to the store and reads those of others, if this host does so for its side or if a
// copy waits for it.
func (d *Detector) exchangeEnds(ctx context.Context) {
	if !d.mustExchange() {
		return
	}
	if pause := minExchangeInterval - d.parts.Clock().Sub(d.lastExchange()); pause > 0 && !lifetime.Sleep(ctx, pause) {
		return
	}
	started, added, removed := d.beginExchange()
	stored, err := d.exchangeOnce(ctx, added, removed)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchange.isStoreSilent = err != nil
	if err != nil {
		d.parts.Log.WithError(err).Warn("ends of endpoints can't be exchanged with hosts that are not seen; retrying")
		d.exchange.removed = append(removed, d.exchange.removed...)
		return
	}
	d.exchange.readAt = started
	d.applyStored(stored)
}

// exchangeOnce writes ends and removes others, and then reads what is stored.
func (d *Detector) exchangeOnce(ctx context.Context, added, removed []ReportedCrash) (Stored, error) {
	if len(added)+len(removed) > 0 {
		if err := d.parts.Store.WriteEnds(ctx, added, removed); err != nil {
			return Stored{}, err
		}
	}
	return d.parts.Store.Load(ctx)
}

// mustExchange reports whether an exchange is due.
func (d *Detector) mustExchange() bool {
	if !d.parts.Peers.IsSettled() {
		return false
	}
	side := d.parts.Peers.Side()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.exchange.wanted) > 0 {
		return true
	}
	if side.IsWhole() || side.Before >= sideReaders {
		return false
	}
	return !side.IsMost() || len(d.table.tallies) > 0 || d.parts.Clock().Sub(d.exchange.triedAt) >= calmReadInterval
}

func (d *Detector) lastExchange() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exchange.triedAt
}

// beginExchange returns when an exchange begins, and the ends to write and to remove in it.
func (d *Detector) beginExchange() (started time.Time, added, removed []ReportedCrash) {
	side := d.parts.Peers.Side()
	d.mu.Lock()
	defer d.mu.Unlock()
	x := &d.exchange
	x.triedAt = d.parts.Clock()
	for content := range d.table.tallies {
		if ends := d.unstored(content); x.wanted[content] || mustStore(content, d.table.endCount(content), side) {
			added = append(added, ends...)
		}
	}
	x.wanted = nil
	slices.SortFunc(added, func(a, b ReportedCrash) int {
		return cmp.Or(cmp.Compare(b.AtMs, a.AtMs), cmp.Compare(a.Content, b.Content))
	})
	added = added[:min(len(added), maxStoredEnds)]
	removed, x.removed = x.removed[:min(len(x.removed), maxStoredEnds)], x.removed[min(len(x.removed), maxStoredEnds):]
	return x.triedAt, added, removed
}

// mustStore reports whether a side stores the ends under some contents.
func mustStore(content keys.Content, ends int, side gossip.Side) bool {
	switch {
	case side.IsWhole():
		return false
	case content.IsPart():
		return ends >= minStoredPartEnds
	case side.IsMost():
		return ends >= minMostStoredEnds
	}
	return ends >= minStoredEnds
}

// applyStored records what other sides have stored since the last read, and passes it on to the hosts of this side. The caller
// holds the lock.
func (d *Detector) applyStored(stored Stored) {
	before := d.exchange.stored
	d.exchange.stored = make(map[storedEnd]ReportedCrash)
	now := d.parts.StoreTime()
	var found []ReportedCrash
	for _, end := range stored.Ends {
		crash := end.crash()
		if crash.At < now-freshness.StoreTime(evidenceValidity) {
			d.exchange.removed = append(d.exchange.removed, end)
			continue
		}
		d.exchange.stored[storedKey(end)] = end
		if _, isKnown := before[storedKey(end)]; isKnown || crash.At > now+freshness.StoreTime(maxClockDifference) || d.table.hasEnd(end.Content, crash) {
			continue
		}
		d.table.recordEnd(end.Content, crash)
		found = append(found, end)
	}
	for batch := range slices.Chunk(found, maxReported) {
		d.parts.Peers.Broadcast(envelope.KindPoisonEnds, &Ends{Ends: batch})
	}
	for _, verdict := range stored.Verdicts {
		if !verdict.IsSuspicion && d.adopt(verdict, "store") {
			d.outbox.addVerdict(verdict)
		}
	}
	d.clearAnswered(before)
	d.evidenceChanged()
}

// clearAnswered clears the parts whose ends another side has removed, since it has had an answer. The caller holds the lock.
func (d *Detector) clearAnswered(before map[storedEnd]ReportedCrash) {
	left := make(map[keys.Content]bool)
	for key := range d.exchange.stored {
		left[key.content] = true
	}
	answered := make(map[keys.Content]bool)
	for key := range before {
		if key.content.IsPart() && !left[key.content] && d.table.endCount(key.content) > 0 {
			answered[key.content] = true
		}
	}
	for part := range answered {
		d.clear(part, 0)
		d.queueAnswered(part)
	}
}

// removeStored has the ends under some contents removed from the store once these no longer limit copies. The caller holds the
// lock.
func (d *Detector) removeStored(content keys.Content) {
	if _, isLimited := d.table.CopyWait(0, content, false); isLimited && !content.IsPart() {
		return
	}
	for key, end := range d.exchange.stored {
		if key.content == content {
			d.exchange.removed = append(d.exchange.removed, end)
			delete(d.exchange.stored, key)
		}
	}
}
