package usage

import (
	"slices"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// A window is a span of true time that all hosts must agree on, though the time of day of some of them may be
// wrong by seconds. So hosts measure by the store's clock, which is steady, and need only the true time at its
// zero: each host offers what its own time of day says, and the median of all is in force everywhere. It is wrong
// only if half of the hosts are.

// Window is the number of a window: it begins that many lengths after the start of 1970, in true time.
type Window uint64

// ClockOffset is the true time at the zero of the store's clock, since the start of 1970.
type ClockOffset time.Duration

// Clock finds the windows of this host's times. It is safe for concurrent use.
type Clock struct {
	length time.Duration
	// store returns the store's clock at a time of this host, or false if it is not known.
	store func(time.Time) (freshness.StoreTime, bool)
	// timeOfDay returns the time of day at a time of this host.
	timeOfDay func(time.Time) time.Time

	mu     sync.Mutex
	zero   ClockOffset
	agreed bool
}

// NewClock returns a clock for windows of a length.
func NewClock(length time.Duration, store func(time.Time) (freshness.StoreTime, bool), timeOfDay func(time.Time) time.Time) *Clock {
	return &Clock{length: length, store: store, timeOfDay: timeOfDay}
}

// SetOffset puts in force what the hosts have agreed on.
func (c *Clock) SetOffset(zero ClockOffset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zero, c.agreed = zero, true
}

// LocalOffset returns what this host's time of day says, or false if the store's clock is not known.
func (c *Clock) LocalOffset(now time.Time) (ClockOffset, bool) {
	at, known := c.store(now)
	return ClockOffset(c.timeOfDay(now).UnixNano()) - ClockOffset(at), known
}

// TrueTime returns the true time since the start of 1970: by what was agreed on, or else by this host's time of day.
func (c *Clock) TrueTime(now time.Time) time.Duration {
	c.mu.Lock()
	zero, agreed := c.zero, c.agreed
	c.mu.Unlock()
	if at, known := c.store(now); agreed && known {
		return time.Duration(zero) + time.Duration(at)
	}
	return time.Duration(c.timeOfDay(now).UnixNano())
}

// Window returns the window of a time.
func (c *Clock) Window(now time.Time) Window { return Window(c.TrueTime(now) / c.length) }

// SinceEnd returns how long ago a window ended; below 0 if it has not.
func (c *Clock) SinceEnd(w Window, now time.Time) time.Duration {
	return c.TrueTime(now) - time.Duration(w+1)*c.length
}

// MedianOffset returns the one in the middle of what hosts offer, or false if there is none.
func MedianOffset(offers []ClockOffset) (ClockOffset, bool) {
	if len(offers) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(offers))
	return sorted[len(sorted)/2], true
}
