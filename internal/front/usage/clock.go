package usage

import (
	"slices"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// A usage window is a span of true time that all hosts must agree on, although the time of day of some hosts may be
// wrong by seconds. So hosts measure time by the store's clock, which is steady, and only need its offset to true
// time. Each host determines the offset by its own time of day, and all hosts use the median of these offsets. The
// median is wrong only if half of the hosts are.

// Window is the number of a window. It begins that many window lengths after the start of 1970, in true time.
type Window uint64

// ClockOffset is the difference between true time since 1970 and the store's clock: the true time at the zero point
// of the store's clock.
type ClockOffset time.Duration

// Clock determines the window of a time of this host. It is safe for concurrent use.
type Clock struct {
	length time.Duration
	// storeTime returns the store's clock at a time of this host, or false if it is not known.
	storeTime func(time.Time) (freshness.StoreTime, bool)
	// timeOfDay returns the time of day at a time of this host.
	timeOfDay func(time.Time) time.Time

	mu        sync.Mutex
	offset    ClockOffset
	hasOffset bool
}

// NewClock returns a clock for windows of a length.
func NewClock(length time.Duration, store func(time.Time) (freshness.StoreTime, bool), timeOfDay func(time.Time) time.Time) *Clock {
	return &Clock{length: length, storeTime: store, timeOfDay: timeOfDay}
}

// SetOffset sets the offset that the hosts have agreed on.
func (c *Clock) SetOffset(offset ClockOffset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset, c.hasOffset = offset, true
}

// LocalOffset returns the offset according to this host's time of day, or false if the store's clock is not known.
func (c *Clock) LocalOffset(now time.Time) (ClockOffset, bool) {
	at, known := c.storeTime(now)
	return ClockOffset(c.timeOfDay(now).UnixNano()) - ClockOffset(at), known
}

// TrueTime returns the true time since 1970. It uses the agreed offset if that and the store's clock are known, and
// this host's time of day otherwise.
func (c *Clock) TrueTime(now time.Time) time.Duration {
	c.mu.Lock()
	offset, hasOffset := c.offset, c.hasOffset
	c.mu.Unlock()
	if at, known := c.storeTime(now); hasOffset && known {
		return time.Duration(offset) + time.Duration(at)
	}
	return time.Duration(c.timeOfDay(now).UnixNano())
}

// Window returns the window of a time.
func (c *Clock) Window(now time.Time) Window { return Window(c.TrueTime(now) / c.length) }

// SinceEnd returns the time since the end of a window, negative if the window has not ended.
func (c *Clock) SinceEnd(w Window, now time.Time) time.Duration {
	return c.TrueTime(now) - time.Duration(w+1)*c.length
}

// MedianOffset returns the median of the offsets of hosts, or false if there are none.
func MedianOffset(offsets []ClockOffset) (ClockOffset, bool) {
	if len(offsets) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(offsets))
	return sorted[len(sorted)/2], true
}
