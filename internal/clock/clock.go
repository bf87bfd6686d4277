// Package clock provides a monotonic clock that includes the time during which the machine was suspended. The monotonic
// clock behind time.Now and its timers stop during a suspension, so a resumed host would underestimate the age of its
// lease, its settings and its deadlines.
//
// It owns the correction and the deadlines whose timers have to be reset on resume. Reading CLOCK_BOOTTIME, which includes
// suspensions, costs a system call. It is therefore read only when the wall clock has moved relative to the monotonic
// clock. A resume causes this, and so does a step of the wall clock, which leaves this clock unchanged. All code that
// compares times uses one Clock. Times for logs and for system timers come from time.Now.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// driftTolerance is the drift between the wall clock and the monotonic clock above which the suspended time is read
	// again. It is well above the drift that slewing of the wall clock causes between two checks for a suspension, and
	// well below any time limit of a host.
	driftTolerance = 20 * time.Millisecond
	// minSuspension is the shortest suspension that is detected. Shorter differences can come from reading the two system
	// clocks one after the other.
	minSuspension = 5 * time.Millisecond
)

// Source provides the clocks of a machine.
type Source interface {
	// Now returns the monotonic time, and how far the wall clock has moved ahead of it since a fixed point in time.
	Now() (monotonic time.Time, wallAhead time.Duration)
	// Suspended returns how long the machine has been suspended since a fixed point in time.
	Suspended() (time.Duration, error)
}

// Clock is the clock of one process. It is safe for concurrent use.
type Clock struct {
	source Source
	log    *logrus.Entry
	// wallAhead is the value from the last call of detectSuspension. suspendedTime is the suspended time since New.
	wallAhead     atomic.Int64
	suspendedTime atomic.Int64

	mu sync.Mutex
	// suspendedAtStart is the source's suspended time at New. sourceFailed is set once the source can't report it.
	suspendedAtStart time.Duration
	sourceFailed     bool
	deadlines        map[*deadline]struct{}
}

// New returns a clock. If the source can't report the suspended time, the clock logs a warning and leaves suspensions out.
func New(source Source, log *logrus.Entry) *Clock {
	c := &Clock{source: source, log: log, deadlines: make(map[*deadline]struct{})}
	_, ahead := source.Now()
	c.wallAhead.Store(int64(ahead))
	before, err := source.Suspended()
	if err != nil {
		c.sourceFailed = true
		log.WithError(err).Warn("suspended time can't be read, the clock leaves it out")
	}
	c.suspendedAtStart = before
	return c
}

// Now returns a time that is only comparable with other times of this clock. TimeOfDay converts it to wall-clock time.
func (c *Clock) Now() time.Time {
	now, ahead := c.source.Now()
	if drift := ahead - time.Duration(c.wallAhead.Load()); drift > driftTolerance || drift < -driftTolerance {
		c.detectSuspension(now, ahead)
	}
	return now.Add(time.Duration(c.suspendedTime.Load()))
}

// detectSuspension checks whether the machine was suspended before the monotonic time now. ahead is the drift of the
// wall clock at that time.
func (c *Clock) detectSuspension(now time.Time, ahead time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallAhead.Store(int64(ahead))
	if c.sourceFailed {
		return
	}
	suspended, err := c.source.Suspended()
	if err != nil {
		c.sourceFailed = true
		c.log.WithError(err).Warn("suspended time can't be read any longer, the clock leaves out later suspensions")
		return
	}
	sinceStart := suspended - c.suspendedAtStart
	if added := sinceStart - time.Duration(c.suspendedTime.Load()); added >= minSuspension {
		c.suspendedTime.Store(int64(sinceStart))
		c.log.WithField("slept_ms", added.Milliseconds()).Warn("the machine was suspended")
		c.resetTimers(now.Add(sinceStart))
	}
}

// DetectSuspension checks for a suspension unconditionally. Now misses a suspension if the wall clock was set back by the
// same time.
func (c *Clock) DetectSuspension() {
	c.detectSuspension(c.source.Now())
}

// TimeOfDay converts a time of this clock to wall-clock time.
func (c *Clock) TimeOfDay(at time.Time) time.Time { return at.Add(-c.SuspendedTime()) }

// SuspendedTime returns the detected suspended time since New.
func (c *Clock) SuspendedTime() time.Duration { return time.Duration(c.suspendedTime.Load()) }
