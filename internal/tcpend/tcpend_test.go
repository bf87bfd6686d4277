package tcpend_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"oxbowslip.dev/oxbowslip/internal/tcpend"
)

// connect returns both ends of a connection, of which ours was opened by package tcpend.
func connect(c *qt.C) (ours net.Conn, theirs *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ours, err = tcpend.DialContext(new(net.Dialer))(context.Background(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ours.Close() })
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { accepted.Close() })
	return ours, accepted.(*net.TCPConn)
}

// writeUntilError writes until the other end has reset the connection.
func writeUntilError(conn net.Conn) {
	for {
		if _, err := conn.Write(make([]byte, 1<<10)); err != nil {
			return
		}
	}
}

// TestReadFindsHowConnectionEnded checks what a reader finds at the end of a connection, in each order in which the kernel may
// report it.
func TestReadFindsHowConnectionEnded(t *testing.T) {
	const part, unreadBytes = "part", 8 << 20
	tests := map[string]struct {
		end  func(c *qt.C, ours net.Conn, theirs *net.TCPConn)
		want error
	}{
		"closed": {func(_ *qt.C, _ net.Conn, theirs *net.TCPConn) {
			theirs.Close()
		}, nil},
		"closed after it has received everything": {func(c *qt.C, ours net.Conn, theirs *net.TCPConn) {
			go func() { _, _ = ours.Write(make([]byte, unreadBytes)) }()
			_, err := io.ReadFull(theirs, make([]byte, unreadBytes))
			c.Assert(err, qt.IsNil)
			theirs.Close()
		}, nil},
		"its sending side closed after it has received everything": {func(c *qt.C, ours net.Conn, theirs *net.TCPConn) {
			_, err := ours.Write([]byte("all"))
			c.Assert(err, qt.IsNil)
			_, err = io.ReadFull(theirs, make([]byte, 3))
			c.Assert(err, qt.IsNil)
			c.Assert(theirs.CloseWrite(), qt.IsNil)
		}, nil},
		"reset, which the reader learns": {func(c *qt.C, _ net.Conn, theirs *net.TCPConn) {
			c.Assert(theirs.SetLinger(0), qt.IsNil)
			theirs.Close()
		}, unix.ECONNRESET},
		"reset, which the writer learns": {func(c *qt.C, ours net.Conn, theirs *net.TCPConn) {
			c.Assert(theirs.SetLinger(0), qt.IsNil)
			theirs.Close()
			writeUntilError(ours)
		}, unix.ECONNRESET},
		"closed, then reset by what is written": {func(_ *qt.C, ours net.Conn, theirs *net.TCPConn) {
			theirs.Close()
			writeUntilError(ours)
		}, unix.ECONNRESET},
		"its sending side closed before it has received everything": {func(c *qt.C, ours net.Conn, theirs *net.TCPConn) {
			c.Assert(theirs.SetReadBuffer(4<<10), qt.IsNil)
			go func() { _, _ = ours.Write(make([]byte, unreadBytes)) }()
			_, err := io.ReadFull(theirs, make([]byte, 1))
			c.Assert(err, qt.IsNil)
			c.Assert(theirs.CloseWrite(), qt.IsNil)
		}, io.ErrUnexpectedEOF},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ours, theirs := connect(c)
			_, err := io.WriteString(theirs, part)
			c.Assert(err, qt.IsNil)
			got := make([]byte, len(part))
			_, err = io.ReadFull(ours, got)
			c.Assert(err, qt.IsNil)
			test.end(c, ours, theirs)
			rest, err := io.ReadAll(ours)
			c.Check(rest, qt.HasLen, 0)
			c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestOtherConnectionsAreLeftAsTheyAre checks connections that are not TCP.
func TestOtherConnectionsAreLeftAsTheyAre(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	qt.Check(t, tcpend.New(ours), qt.Equals, ours)
}
