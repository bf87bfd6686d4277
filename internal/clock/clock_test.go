package clock

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// machine is a Source whose clocks the test advances.
type machine struct {
	mu             sync.Mutex
	monotonic      time.Time
	wallAhead      time.Duration
	suspended      time.Duration
	err            error
	suspendedCalls int
}

func newMachine() *machine { return &machine{monotonic: time.Unix(1000, 0)} }

func (m *machine) Now() (time.Time, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.monotonic, m.wallAhead
}

func (m *machine) Suspended() (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspendedCalls++
	return m.suspended, m.err
}

// pass advances both clocks, stepWallClock sets the wall clock, and suspend simulates a suspension.
func (m *machine) pass(span time.Duration)          { m.change(span, 0, 0) }
func (m *machine) stepWallClock(span time.Duration) { m.change(0, span, 0) }
func (m *machine) suspend(span time.Duration) {
	m.change(0, span, span)
}

func (m *machine) change(monotonic, wallAhead, suspended time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.monotonic, m.wallAhead, m.suspended = m.monotonic.Add(monotonic), m.wallAhead+wallAhead, m.suspended+suspended
}

func newTestClock(m *machine) *Clock {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(m, logrus.NewEntry(log))
}

func TestNow(t *testing.T) {
	tests := map[string]struct {
		action func(m *machine)
		want   time.Duration
	}{
		"time passes":                          {func(m *machine) { m.pass(time.Minute) }, time.Minute},
		"the machine is suspended":             {func(m *machine) { m.suspend(5 * time.Second) }, 5 * time.Second},
		"suspended while time passes":          {func(m *machine) { m.pass(time.Second); m.suspend(5 * time.Second); m.pass(time.Second) }, 7 * time.Second},
		"the wall clock is set forward":        {func(m *machine) { m.stepWallClock(time.Hour) }, 0},
		"the wall clock is set back":           {func(m *machine) { m.stepWallClock(-time.Hour) }, 0},
		"the wall clock is slewed":             {func(m *machine) { m.pass(time.Minute); m.stepWallClock(10 * time.Millisecond) }, time.Minute},
		"suspended, and the wall clock is set": {func(m *machine) { m.suspend(5 * time.Second); m.stepWallClock(-2 * time.Second) }, 5 * time.Second},
		"suspended for less than the minimum":  {func(m *machine) { m.suspend(time.Millisecond); m.stepWallClock(time.Second) }, 0},
		"the suspended time can't be read":     {func(m *machine) { m.err = errors.New("no such clock"); m.suspend(5 * time.Second) }, 0},
		"suspended only before New":            {func(m *machine) {}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			m.suspend(time.Hour)
			c := newTestClock(m)
			before := c.Now()
			test.action(m)
			qt.Check(t, c.Now().Sub(before), qt.Equals, test.want)
		})
	}
}

// TestSuspendedTimeIsRarelyRead checks that the usual slew of the wall clock does not cause a system call at each Now:
// in one minute the suspended time is read at most three times.
func TestSuspendedTimeIsRarelyRead(t *testing.T) {
	m := newMachine()
	c := newTestClock(m)
	for range 6000 {
		m.pass(10 * time.Millisecond)
		m.stepWallClock(5 * time.Microsecond)
		c.Now()
	}
	qt.Check(t, m.suspendedCalls <= 3, qt.IsTrue, qt.Commentf("read %d times", m.suspendedCalls))
}

const waitTimeout = 10 * time.Second

// TestDeadlinesExpireOnResume checks that a deadline that passed during a suspension expires on resume. System timers
// would expire late by the length of the suspension.
func TestDeadlinesExpireOnResume(t *testing.T) {
	c := qt.New(t)
	m := newMachine()
	clock := newTestClock(m)
	expired := errors.New("over")
	const long = time.Hour
	ctx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(long), expired)
	defer cancel()
	later, cancelLater := clock.WithDeadline(context.Background(), clock.Now().Add(3*long), expired)
	defer cancelLater()
	m.suspend(2 * long)
	c.Check(ctx.Err(), qt.IsNil)
	clock.Now()
	select {
	case <-ctx.Done():
	case <-time.After(waitTimeout):
	}
	c.Check(context.Cause(ctx), qt.Equals, expired)
	c.Check(later.Err(), qt.IsNil)
}

func TestCancelledDeadlineIsRemoved(t *testing.T) {
	c := qt.New(t)
	clock := newTestClock(newMachine())
	ctx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(time.Hour), errors.New("over"))
	cancel()
	c.Check(context.Cause(ctx), qt.Equals, context.Canceled)
	c.Check(clock.deadlines, qt.HasLen, 0)
}

// TestSystem checks with the real clocks that no suspended time is detected while the machine runs.
func TestSystem(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := New(NewSystem(), logrus.NewEntry(log))
	c.Check(clock.sourceFailed, qt.IsFalse)
	before := clock.Now()
	clock.DetectSuspension()
	c.Check(clock.Now().Before(before), qt.IsFalse)
	c.Check(clock.SuspendedTime(), qt.Equals, time.Duration(0))
}

func BenchmarkNow(b *testing.B) {
	clock := New(NewSystem(), logrus.NewEntry(logrus.New()))
	b.ReportAllocs()
	for b.Loop() {
		clock.Now()
	}
}
