package clock

import (
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// System is a Source that reads the clocks of Linux.
type System struct{ start time.Time }

// NewSystem returns the Source of this machine.
func NewSystem() System { return System{start: time.Now()} }

// Now returns the monotonic time, and how far the wall clock has moved ahead of it since NewSystem.
func (s System) Now() (monotonic time.Time, wallAhead time.Duration) {
	now := time.Now()
	return now, time.Duration(now.UnixNano()-s.start.UnixNano()) - now.Sub(s.start)
}

// Suspended returns how far CLOCK_BOOTTIME, which includes suspensions, is ahead of CLOCK_MONOTONIC.
func (System) Suspended() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, merry.Prepend(err, "read CLOCK_MONOTONIC")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, merry.Prepend(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
