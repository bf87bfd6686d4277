package schedule

import (
	"time"

	"github.com/tidwall/btree"
)

// flowKey identifies a flow: the requests of one workspace and class in one tier.
type flowKey struct {
	tier      int
	workspace string
	class     string
}

// flow holds the waiting requests of one flowKey, ordered by time of arrival. All have the same target, so
// the late ones come first.
type flow struct {
	key       flowKey
	workspace *workspaceQueue
	account   *shareAccount
	items     *btree.BTreeG[*item]
	// lastLate is the last item in order that is known to be late. onTime is the first item after it, or nil
	// if it is not known.
	lastLate *item
	onTime   *item
	parked   bool
	// accountIndex is the position of the flow in the heap of its class.
	accountIndex int
}

func byArrival(a, b *item) bool {
	if !a.request.Arrived.Equal(b.request.Arrived) {
		return a.request.Arrived.Before(b.request.Arrived)
	}
	return a.sequence < b.sequence
}

func (f *flow) len() int { return f.items.Len() }

// head returns the oldest request of the flow.
func (f *flow) head() *item {
	it, _ := f.items.Min()
	return it
}

// next returns the request to run next, and reports whether it can still meet its target: the oldest request
// that can, or else the oldest request.
func (f *flow) next(now time.Time) (*item, bool) {
	if f.onTime == nil || f.onTime.isLate(now) {
		f.findOnTime(now)
	}
	if f.onTime != nil {
		return f.onTime, true
	}
	return f.head(), false
}

// findOnTime advances lastLate over the requests that have become late and sets onTime.
func (f *flow) findOnTime(now time.Time) {
	f.onTime = nil
	visit := func(it *item) bool {
		if f.lastLate != nil && !byArrival(f.lastLate, it) {
			return true
		}
		if it.isLate(now) {
			f.lastLate = it
			return true
		}
		f.onTime = it
		return false
	}
	if f.lastLate != nil {
		f.items.Ascend(f.lastLate, visit)
		return
	}
	f.items.Scan(visit)
}

// insert adds an item at its position by time of arrival.
func (f *flow) insert(now time.Time, it *item) {
	if f.lastLate != nil && byArrival(it, f.lastLate) && !it.isLate(now) {
		// A retry keeps its time of arrival but is never late, so it may lie before late items. The search for the
		// first item on time has to start again.
		f.lastLate = nil
	}
	if f.onTime != nil && byArrival(it, f.onTime) {
		f.onTime = nil
	}
	f.items.Set(it)
}

// remove removes an item.
func (f *flow) remove(it *item) {
	f.items.Delete(it)
	if f.onTime == it {
		f.onTime = nil
	}
	if f.len() == 0 {
		f.lastLate = nil
	}
}

func (it *item) isLate(now time.Time) bool {
	return !it.lateAt.IsZero() && now.After(it.lateAt)
}
