package freshness

import "time"

// sampleWindow is how long a sample of the store's clock counts at least: the estimate is the best of the samples of
// this window and of the last one before that had any. Clocks drift apart by some 0.01 ms a second, so that the
// estimate is wrong by 1.2 ms at most for that reason while samples come. After a time without any, the old ones
// still count: they tell how old an answer is that waited while this host was suspended.
const sampleWindow = time.Minute

// storeClock estimates the store's steady clock by this host's monotonic one. Each sample is a
// lower bound: the store's clock had shown it when it arrived. The highest of them, that of the
// message that was the shortest on its way, is the estimate.
type storeClock struct {
	epoch time.Time
	// current and previous are the best samples of this window and of the last one before that had any.
	current  clockOffset
	previous clockOffset
	// windowStart is when this window began.
	windowStart time.Time
}

// clockOffset is by how much the store's clock is ahead of the time since the epoch.
type clockOffset struct {
	ahead   StoreTime
	isKnown bool
}

// addRoundTrip takes the sample of a call. The store's clock showed it after the call was sent, so that
// it is an upper bound as well. An estimate above that is of another clock, such as that of a store
// that was started again, and is dropped.
func (c *storeClock) addRoundTrip(answer Answer) {
	most := answer.At - c.sinceEpoch(answer.Sent)
	if best := c.bestOffset(); best.isKnown && best.ahead > most {
		c.current, c.previous = clockOffset{}, clockOffset{}
	}
	c.addSample(answer.At, answer.Received)
}

// addSample takes a reading that arrived at a time.
func (c *storeClock) addSample(reading StoreTime, arrived time.Time) {
	if arrived.Sub(c.windowStart) > sampleWindow {
		c.previous, c.current, c.windowStart = c.current, clockOffset{}, arrived
	}
	c.current = maxOffset(c.current, clockOffset{reading - c.sinceEpoch(arrived), true})
}

// now returns the store's clock at a time of this host.
func (c *storeClock) now(at time.Time) StoreTime { return c.sinceEpoch(at) + c.bestOffset().ahead }

func (c *storeClock) bestOffset() clockOffset { return maxOffset(c.current, c.previous) }

func (c *storeClock) sinceEpoch(at time.Time) StoreTime { return StoreTime(at.Sub(c.epoch)) }

// maxOffset returns the greater of two leads.
func maxOffset(a, b clockOffset) clockOffset {
	if !a.isKnown || (b.isKnown && b.ahead > a.ahead) {
		return b
	}
	return a
}
