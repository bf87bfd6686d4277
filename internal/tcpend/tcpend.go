// Package tcpend lets the reader of a TCP connection know how the connection has ended. The kernel reports a reset once, to
// whichever call on the socket comes first. If that is a write, a read that follows returns the same end of file as after an
// orderly close, and an answer that ends with its connection looks complete although it was cut off.
//
// It owns nothing. All clients of HTTP use it, whether they read answers themselves or with net/http.
package tcpend

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose Read returns io.EOF only if the other end has closed the connection after it had received
// everything that was written.
type Conn struct {
	net.Conn

	tcp *net.TCPConn
}

// New returns a Conn for a TCP connection, and other connections as they are.
func New(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	return &Conn{Conn: conn, tcp: tcp}
}

// DialContext returns a function that connects with a dialer and returns a Conn.
func DialContext(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}

// Read reads bytes. At the end of file it returns the error of the end unless that was orderly.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF if the connection has ended in order, and the error of its end otherwise.
func (c *Conn) endError() error {
	info, err := Info(c.tcp)
	if err != nil {
		return err
	}
	if info.State == stateClosed {
		return &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", unix.ECONNRESET),
		}
	}
	// The last segment of the other end acknowledges all that it had received before it closed the connection.
	if info.Unacked > 0 || info.Notsent_bytes > 0 {
		return fmt.Errorf("%w: the other end has not received all that was written", io.ErrUnexpectedEOF)
	}
	return io.EOF
}

// stateClosed is the state of a connection that was reset, or that the kernel has given up (TCP_CLOSE).
const stateClosed = unix.BPF_TCP_CLOSE

// Info returns the kernel's state of a TCP connection.
func Info(conn syscall.Conn) (*unix.TCPInfo, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil {
		return nil, err
	}
	return info, infoErr
}

// SyscallConn returns the socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// SetLinger sets what happens to data that are not sent yet when the connection is closed (net.TCPConn.SetLinger).
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }
