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

// machine is a Source whose clocks are moved by hand.
type machine struct {
	mu        sync.Mutex
	steady    time.Time
	day       time.Duration
	suspended time.Duration
	err       error
	asked     int
}

func newMachine() *machine { return &machine{steady: time.Unix(1000, 0)} }

func (m *machine) Now() (time.Time, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steady, m.day
}

func (m *machine) Suspended() (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked++
	return m.suspended, m.err
}

// pass lets time pass, step sets the time of day, and suspend has the machine suspended.
func (m *machine) pass(span time.Duration) { m.change(span, 0, 0) }
func (m *machine) step(span time.Duration) { m.change(0, span, 0) }
func (m *machine) suspend(span time.Duration) {
	m.change(0, span, span)
}

func (m *machine) change(steady, day, suspended time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.steady, m.day, m.suspended = m.steady.Add(steady), m.day+day, m.suspended+suspended
}

func newTestClock(m *machine) *Clock {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(m, logrus.NewEntry(log))
}

func TestNow(t *testing.T) {
	tests := map[string]struct {
		happens func(m *machine)
		want    time.Duration
	}{
		"time passes":                           {func(m *machine) { m.pass(time.Minute) }, time.Minute},
		"the machine is suspended":              {func(m *machine) { m.suspend(5 * time.Second) }, 5 * time.Second},
		"and time passes":                       {func(m *machine) { m.pass(time.Second); m.suspend(5 * time.Second); m.pass(time.Second) }, 7 * time.Second},
		"the time of day is set forward":        {func(m *machine) { m.step(time.Hour) }, 0},
		"the time of day is set back":           {func(m *machine) { m.step(-time.Hour) }, 0},
		"it is slewed":                          {func(m *machine) { m.pass(time.Minute); m.step(10 * time.Millisecond) }, time.Minute},
		"suspended, and the time of day is set": {func(m *machine) { m.suspend(5 * time.Second); m.step(-2 * time.Second) }, 5 * time.Second},
		"suspended for less than counts":        {func(m *machine) { m.suspend(time.Millisecond); m.step(time.Second) }, 0},
		"the system can't say":                  {func(m *machine) { m.err = errors.New("no such clock"); m.suspend(5 * time.Second) }, 0},
		"suspended before the start":            {func(m *machine) {}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			m.suspend(time.Hour)
			c := newTestClock(m)
			before := c.Now()
			test.happens(m)
			qt.Check(t, c.Now().Sub(before), qt.Equals, test.want)
		})
	}
}

// TestTheSystemIsSeldomAsked has a minute pass in which the time of day is slewed as much as is usual.
func TestTheSystemIsSeldomAsked(t *testing.T) {
	m := newMachine()
	c := newTestClock(m)
	for range 6000 {
		m.pass(10 * time.Millisecond)
		m.step(5 * time.Microsecond)
		c.Now()
	}
	qt.Check(t, m.asked <= 3, qt.IsTrue, qt.Commentf("asked %d times", m.asked))
}

// waitLimit bounds the wait for what is sure to come.
const waitLimit = 10 * time.Second

// TestDeadlinesEndOnWaking suspends the machine for longer than a deadline is away: the system's timers would be that late.
func TestDeadlinesEndOnWaking(t *testing.T) {
	c := qt.New(t)
	m := newMachine()
	clock := newTestClock(m)
	over := errors.New("over")
	const long = time.Hour
	ctx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(long), over)
	defer cancel()
	later, cancelLater := clock.WithDeadline(context.Background(), clock.Now().Add(3*long), over)
	defer cancelLater()
	m.suspend(2 * long)
	c.Check(ctx.Err(), qt.IsNil)
	clock.Now()
	select {
	case <-ctx.Done():
	case <-time.After(waitLimit):
	}
	c.Check(context.Cause(ctx), qt.Equals, over)
	c.Check(later.Err(), qt.IsNil)
}

func TestADeadlineIsForgotten(t *testing.T) {
	c := qt.New(t)
	clock := newTestClock(newMachine())
	ctx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(time.Hour), errors.New("over"))
	cancel()
	c.Check(context.Cause(ctx), qt.Equals, context.Canceled)
	c.Check(clock.deadlines, qt.HasLen, 0)
}

// TestSystem reads the real clocks: a machine that is not suspended meanwhile counts nothing.
func TestSystem(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := New(NewSystem(), logrus.NewEntry(log))
	c.Check(clock.failed, qt.IsFalse)
	before := clock.Now()
	clock.DetectSuspension()
	c.Check(clock.Now().Before(before), qt.IsFalse)
	c.Check(clock.SuspendedTime(), qt.Equals, time.Duration(0))
}

// BenchmarkNow is what each look at the time costs.
func BenchmarkNow(b *testing.B) {
	clock := New(NewSystem(), logrus.NewEntry(logrus.New()))
	b.ReportAllocs()
	for b.Loop() {
		clock.Now()
	}
}
