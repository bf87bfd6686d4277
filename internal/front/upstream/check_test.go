package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// reachDialer connects directly. Its checks return a fixed result.
type reachDialer struct {
	DirectDialer
	reach Reach
	err   error
	// hidesSocket is set if it is unknown whether the endpoint's machine acknowledges anything.
	hidesSocket bool
	// checked receives a value for each check.
	checked chan struct{}
}

// Dial implements Dialer.
func (d *reachDialer) Dial(ctx context.Context, target Target) (io.ReadWriteCloser, error) {
	conn, err := d.DirectDialer.Dial(ctx, target)
	if err == nil && d.hidesSocket {
		conn = struct{ io.ReadWriteCloser }{conn}
	}
	return conn, err
}

// Check implements Dialer.
func (d *reachDialer) Check(ctx context.Context, target Target) (io.ReadWriteCloser, Reach, error) {
	d.checked <- struct{}{}
	if d.err != nil {
		return nil, d.reach, d.err
	}
	conn, err := d.Dial(ctx, target)
	return conn, d.reach, err
}

var errNotConnected = errors.New("not connected")

// TestSilentCallIsGivenUp checks when a call on a silent connection is given up: if its path is lost or its endpoint
// can't be reached, and it may be sent elsewhere.
func TestSilentCallIsGivenUp(t *testing.T) {
	tests := map[string]struct {
		reach      Reach
		checkErr   error
		mayAbandon bool
		// acknowledges is set if the endpoint's machine answers keep-alive probes.
		acknowledges bool
		want         error
	}{
		"path lost":                              {ReachedByPeer, nil, true, false, ErrPathLost},
		"unreachable":                            {Unreachable, errNotConnected, true, false, ErrUnreachable},
		"slow endpoint":                          {ReachedDirectly, nil, true, true, nil},
		"path lost, may run once only":           {ReachedByPeer, nil, false, false, nil},
		"new connections fail, the call's works": {Unreachable, errNotConnected, true, true, nil},
		"only a peer connects, the call's works": {ReachedByPeer, nil, true, true, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			dialer := &reachDialer{reach: test.reach, err: test.checkErr, hidesSocket: !test.acknowledges, checked: make(chan struct{}, 8)}
			client := New(Config{AnswerID: func(h http.Header) string { return h.Get(headerID) }, KeepIdle: time.Minute, Dialer: dialer}, time.Now)
			c.Cleanup(client.Close)
			p := startTestServer(c, func(number int, conn net.Conn, reader *bufio.Reader) {
				if number > 1 {
					return
				}
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				<-dialer.checked
				if test.want == nil {
					// The call is still open after its path was checked twice.
					<-dialer.checked
					_, _ = io.WriteString(conn, answerText("1", "a"))
				}
				_, _ = io.Copy(io.Discard, reader)
			})
			call := p.call("1", "hello")
			call.MayAbandon = test.mayAbandon
			got, err := p.do(client, call)
			if test.want == nil {
				c.Check(err, qt.IsNil)
				c.Check(got, qt.Equals, "a")
				return
			}
			c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(errors.Is(err, request.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// fillAcceptQueue makes a listener that accepts nothing drop new connections.
func fillAcceptQueue(c *qt.C, listener net.Listener) {
	raw, err := listener.(syscall.Conn).SyscallConn()
	c.Assert(err, qt.IsNil)
	var listenErr error
	c.Assert(raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), 1) }), qt.IsNil)
	c.Assert(listenErr, qt.IsNil)
	for {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		c.Cleanup(func() { conn.Close() })
	}
}

// TestEndpointWithFullAcceptQueueKeepsItsCalls guards against taking an endpoint that accepts no connections for a dead
// one: a process that stands still drops them as soon as its queue is full, and goes on with its calls afterwards.
func TestEndpointWithFullAcceptQueueKeepsItsCalls(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	const pause = 1600 * time.Millisecond
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		fillAcceptQueue(c, listener)
		time.Sleep(pause)
		_, _ = io.WriteString(conn, answerText("1", "a"))
		_, _ = io.Copy(io.Discard, reader)
	}()
	client := newClient(time.Now)
	c.Cleanup(client.Close)
	p := &testServer{listener: listener}
	call := p.call("1", "hello")
	call.MayAbandon = true
	got, err := p.do(client, call)
	c.Check(err, qt.IsNil)
	c.Check(got, qt.Equals, "a")
}
