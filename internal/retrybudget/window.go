package retrybudget

import "time"

// windowBuckets is the number of parts of a window that are counted separately.
const windowBuckets = 20

// windowCount counts events in a sliding window, but for some in the oldest part of the window. Times are times since the
// start of the host.
type windowCount struct {
	counts [windowBuckets]int
	// newest is the number of the newest part, from the start of the host on.
	newest int64
}

// advance drops the counts that are no longer in the window at a time, and returns the place of the newest part.
func (w *windowCount) advance(at, window time.Duration) int {
	newest := int64(at / max(window/windowBuckets, 1))
	for n := max(w.newest+1, newest-windowBuckets+1); n <= newest; n++ {
		w.counts[n%windowBuckets] = 0
	}
	w.newest = max(w.newest, newest)
	return int(w.newest % windowBuckets)
}

func (w *windowCount) add(at, window time.Duration) { w.counts[w.advance(at, window)]++ }

func (w *windowCount) sum(at, window time.Duration) int {
	w.advance(at, window)
	sum := 0
	for _, count := range w.counts {
		sum += count
	}
	return sum
}
