package freshness

import "time"

// sampleWindow is the length of a window of samples. The estimate is the best sample of the current window and of
// the latest earlier window with samples. Clocks drift apart by some 0.01 ms/s, which adds at most 1.2 ms of error
// while samples arrive. After a time without samples the old ones are still used: they show how old an answer is
// that waited while this host was suspended.
const sampleWindow = time.Minute

// storeClock estimates the store's monotonic clock from this host's. Each sample is a lower bound, because the
// store's clock had reached the reading before it arrived. The estimate is the highest sample, which comes from the
// message with the shortest delay.
type storeClock struct {
	epoch time.Time
	// current and previous are the best samples of the current window and of the latest earlier window with samples.
	current  clockOffset
	previous clockOffset
	// windowStart is the start of the current window.
	windowStart time.Time
}

// clockOffset is the difference between the store's clock and the time since the epoch.
type clockOffset struct {
	ahead   StoreTime
	isKnown bool
}

// addRoundTrip adds the sample of a call. The store read its clock after the call was sent, so that the reading is
// an upper bound as well. A higher estimate stems from another clock, such as that of the store before it restarted,
// and is discarded.
func (c *storeClock) addRoundTrip(answer Answer) {
	upperBound := answer.At - c.sinceEpoch(answer.Sent)
	if best := c.bestOffset(); best.isKnown && best.ahead > upperBound {
		c.current, c.previous = clockOffset{}, clockOffset{}
	}
	c.addSample(answer.At, answer.Received)
}

// addSample adds a reading that arrived at a time.
func (c *storeClock) addSample(reading StoreTime, arrived time.Time) {
	if arrived.Sub(c.windowStart) > sampleWindow {
		c.previous, c.current, c.windowStart = c.current, clockOffset{}, arrived
	}
	c.current = maxOffset(c.current, clockOffset{reading - c.sinceEpoch(arrived), true})
}

// now returns the estimate of the store's clock at a time of this host.
func (c *storeClock) now(at time.Time) StoreTime { return c.sinceEpoch(at) + c.bestOffset().ahead }

func (c *storeClock) bestOffset() clockOffset { return maxOffset(c.current, c.previous) }

func (c *storeClock) sinceEpoch(at time.Time) StoreTime { return StoreTime(at.Sub(c.epoch)) }

// maxOffset returns the greater offset.
func maxOffset(a, b clockOffset) clockOffset {
	if !a.isKnown || (b.isKnown && b.ahead > a.ahead) {
		return b
	}
	return a
}
