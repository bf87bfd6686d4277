// Package clock measures spans of time that include those in which the machine was suspended. The steady clock of the
// system, which time.Now reads, stands still meanwhile, and so do its timers: a host that wakes up would take its lease,
// its settings and its deadlines for younger than they are.
//
// It owns the correction, and the deadlines that have to be looked at on waking. The clock that goes on while the machine
// is suspended (CLOCK_BOOTTIME) costs a system call; it is read only when the time of day has moved against the steady
// clock, as it does on waking, and by clock steps, which change nothing here. Everything that compares times uses one
// Clock; times for logs and for timers of the system come from time.Now.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// tolerance is by how much the time of day may move against the steady clock before the system is asked again: well
	// above what clocks are slewed by between two looks, well below any bound that a host keeps.
	tolerance = 20 * time.Millisecond
	// leastSleep is the shortest suspension that counts. The two clocks of the system are not read at the same moment.
	leastSleep = 5 * time.Millisecond
)

// Source are the clocks of a machine.
type Source interface {
	// Now returns the steady time, and by how much the time of day is ahead of it, from some fixed moment on.
	Now() (steady time.Time, dayAhead time.Duration)
	// Suspended returns how long the machine has been suspended since some fixed moment.
	Suspended() (time.Duration, error)
}

// Clock is the clock of one process. It is safe for concurrent use.
type Clock struct {
	source Source
	log    *logrus.Entry
	// dayAhead is that of the last look, slept how long the machine was suspended since New.
	dayAhead atomic.Int64
	slept    atomic.Int64

	mu sync.Mutex
	// before is how long the machine had been suspended when the clock was made; failed is set once that can't be read.
	before    time.Duration
	failed    bool
	deadlines map[*deadline]struct{}
}

// New returns a clock. Where the system can't say how long it was suspended, the steady clock is used, and a log line
// says so.
func New(source Source, log *logrus.Entry) *Clock {
	c := &Clock{source: source, log: log, deadlines: make(map[*deadline]struct{})}
	_, ahead := source.Now()
	c.dayAhead.Store(int64(ahead))
	before, err := source.Suspended()
	if err != nil {
		c.failed = true
		log.WithError(err).Warn("time in which the machine is suspended can't be measured, it does not count")
	}
	c.before = before
	return c
}

// Now returns a time to compare with others of this clock. For its time of day see TimeOfDay.
func (c *Clock) Now() time.Time {
	now, ahead := c.source.Now()
	if moved := ahead - time.Duration(c.dayAhead.Load()); moved > tolerance || moved < -tolerance {
		c.look(now, ahead)
	}
	return now.Add(time.Duration(c.slept.Load()))
}

// look finds out whether the machine was suspended, at a steady time.
func (c *Clock) look(steady time.Time, ahead time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dayAhead.Store(int64(ahead))
	if c.failed {
		return
	}
	suspended, err := c.source.Suspended()
	if err != nil {
		c.failed = true
		c.log.WithError(err).Warn("time in which the machine is suspended can't be measured any more, it does not count")
		return
	}
	slept := suspended - c.before
	if more := slept - time.Duration(c.slept.Load()); more >= leastSleep {
		c.slept.Store(int64(slept))
		c.log.WithField("slept_ms", more.Milliseconds()).Warn("the machine was suspended")
		c.wake(steady.Add(slept))
	}
}

// DetectSuspension finds out whether the machine was suspended while its time of day was set back by as much.
func (c *Clock) DetectSuspension() {
	c.look(c.source.Now())
}

// TimeOfDay returns the time of day at a time of this clock.
func (c *Clock) TimeOfDay(at time.Time) time.Time { return at.Add(-c.SuspendedTime()) }

// SuspendedTime returns how long the machine was suspended since the clock was made, as far as has been noticed.
func (c *Clock) SuspendedTime() time.Duration { return time.Duration(c.slept.Load()) }
