// Package deadpeer sets the socket option that breaks a TCP connection whose other end has
// fallen silent: a machine without power or behind a cut resets nothing, and without the
// option the kernel goes on sending for minutes. Both programs can use it; today
// oxbowslip-front does, towards endpoints and the store.
package deadpeer

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control returns a function for net.Dialer.Control that bounds how long sent bytes may
// stay unacknowledged (TCP_USER_TIMEOUT). A timeout of 0 leaves the socket as it is.
func Control(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		if timeout == 0 {
			return nil
		}
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
