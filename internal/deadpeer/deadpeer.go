// Package deadpeer sets the socket option that closes a TCP connection whose peer no longer
// acknowledges data. A machine that lost power or is isolated by a network fault sends no
// reset, and without the option the kernel retransmits for minutes. Both programs can use
// it; oxbowslip-front uses it for connections to endpoints and to the store.
package deadpeer

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control returns a function for net.Dialer.Control that limits how long sent data may
// stay unacknowledged (TCP_USER_TIMEOUT). A timeout of 0 leaves the socket unchanged.
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
