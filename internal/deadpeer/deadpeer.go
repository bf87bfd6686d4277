// Package deadpeer sets the socket options by which the kernel closes a TCP connection whose peer no longer answers. A
// machine that lost power or is isolated by a network fault sends no reset, and without the options the kernel
// retransmits for minutes. Both programs can use it; oxbowslip-front uses it for connections to endpoints, to the store
// and to other hosts.
package deadpeer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probeInterval is the time between two keep-alive probes on a silent connection, and before the first.
const probeInterval = time.Second

// Dialer returns a dialer of connections that break when their peer has been silent for a timeout, with or without
// unacknowledged data.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Control: Control(timeout), KeepAliveConfig: keepAlive(timeout)}
}

// ListenConfig returns the same for accepted connections, which inherit the options of the listener.
func ListenConfig(timeout time.Duration) *net.ListenConfig {
	return &net.ListenConfig{Control: Control(timeout), KeepAliveConfig: keepAlive(timeout)}
}

// keepAlive returns the probes of a silent connection. With TCP_USER_TIMEOUT set, the kernel ignores their count: it gives
// the connection up at the first unanswered probe after the timeout. The count gives the same time without the option.
func keepAlive(timeout time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: probeInterval, Interval: probeInterval, Count: max(int(timeout/probeInterval)-1, 1),
	}
}

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
