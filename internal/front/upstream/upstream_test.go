package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"oxbowslip.dev/oxbowslip/internal/request"
)

const headerID = "X-Call"

func newClient(clock func() time.Time) *Client {
	return New(Config{AnswerID: func(h http.Header) string { return h.Get(headerID) }, KeepIdle: 10 * time.Second, Dialer: DirectDialer{}}, clock)
}

// testServer is a TCP server. A handler serves each connection and receives the number of the connection.
type testServer struct {
	listener net.Listener
	mu       sync.Mutex
	accepted int
}

func startTestServer(c *qt.C, serve func(number int, conn net.Conn, reader *bufio.Reader)) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	p := &testServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.accepted++
			number := p.accepted
			p.mu.Unlock()
			go func() {
				defer conn.Close()
				serve(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return p
}

func (p *testServer) call(id, body string) *Call {
	return &Call{Target: Target{Address: p.listener.Addr().String()}, ID: id, Method: http.MethodPost, URI: "/x", Host: "h", Body: []byte(body)}
}

func (p *testServer) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// answers returns a handler that answers the requests on a connection with the given texts, in order.
func answers(texts ...string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, conn net.Conn, reader *bufio.Reader) {
		for _, text := range texts {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

func answerText(id, body string, headers ...string) string {
	return "HTTP/1.1 200 OK\r\nX-Call: " + id + "\r\n" + strings.Join(headers, "") + "Content-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func (p *testServer) do(client *Client, call *Call) (string, error) {
	answer, err := client.Do(context.Background(), call)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func TestConnectionReuse(t *testing.T) {
	tests := map[string]struct {
		serve       func(int, net.Conn, *bufio.Reader)
		connections int
	}{
		"a complete answer":                              {answers(answerText("1", "a"), answerText("2", "b")), 1},
		"the endpoint closes the connection":             {answers(answerText("1", "a", "Connection: close\r\n"), answerText("2", "b")), 2},
		"the endpoint's keep-alive timeout is too short": {answers(answerText("1", "a", "Keep-Alive: timeout=1\r\n"), answerText("2", "b")), 2},
		"unread bytes are left on the connection":        {answers(answerText("1", "a")+answerText("1", "surplus"), answerText("2", "b")), 2},
		"a surplus answer comes before the next answer":  {answers(answerText("1", "a"), answerText("1", "x")+answerText("2", "b")), 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(0, 0)
			client := newClient(func() time.Time { return now })
			c.Cleanup(client.Close)
			second := func(number int, conn net.Conn, reader *bufio.Reader) {
				if number == 2 {
					answers(answerText("2", "b"))(number, conn, reader)
					return
				}
				test.serve(number, conn, reader)
			}
			p := startTestServer(c, second)
			got, err := p.do(client, p.call("1", "hello"))
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, "a")
			now = now.Add(700 * time.Millisecond)
			got, err = p.do(client, p.call("2", "hello"))
			c.Assert(err, qt.IsNil)
			c.Check(got, qt.Equals, "b")
			c.Check(p.connections(), qt.Equals, test.connections)
			c.Check(client.Dials(), qt.Equals, uint64(test.connections))
		})
	}
}

func TestEarlyAnswerToLargeCall(t *testing.T) {
	c := qt.New(t)
	client := newClient(time.Now)
	c.Cleanup(client.Close)
	// The endpoint answers after the head and does not read the body.
	p := startTestServer(c, func(number int, conn net.Conn, reader *bufio.Reader) {
		if number > 1 {
			answers(answerText("2", "b"))(number, conn, reader)
			return
		}
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(conn, answerText("1", "early"))
		}
		// The connection stays open until the client closes it.
		for _, err := reader.ReadByte(); err == nil; _, err = reader.ReadByte() {
			if client.Dials() > 1 {
				return
			}
		}
	})
	got, err := p.do(client, p.call("1", strings.Repeat("x", 8<<20)))
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, "early")
	got, err = p.do(client, p.call("2", "small"))
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, "b")
}

func TestBrokenAnswers(t *testing.T) {
	tests := map[string]struct {
		text string
		want error
	}{
		"closed without an answer":                   {"", request.ErrBroken},
		"closed within the head":                     {"HTTP/1.1 200 O", request.ErrBroken},
		"an answer without an ID":                    {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", request.ErrBroken},
		"an answer to another call without a length": {"HTTP/1.1 200 OK\r\nX-Call: 9\r\n\r\nx", request.ErrBroken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := newClient(time.Now)
			p := startTestServer(c, answers(test.text))
			sent := false
			call := p.call("1", "hello")
			call.OnSend = func(bool) bool { sent = true; return true }
			_, err := p.do(client, call)
			c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(sent, qt.IsTrue)
			c.Check(p.connections(), qt.Equals, 1, qt.Commentf("the call is not sent again"))
		})
	}
}

// TestWithheldCallSendsNothing checks that a withheld call writes nothing and keeps the connection for the next call.
func TestWithheldCallSendsNothing(t *testing.T) {
	c := qt.New(t)
	client := newClient(time.Now)
	p := startTestServer(c, answers("HTTP/1.1 200 OK\r\nX-Call: 2\r\nContent-Length: 1\r\n\r\nb"))
	call := p.call("1", "hello")
	call.OnSend = func(bool) bool { return false }
	_, err := p.do(client, call)
	c.Check(errors.Is(err, ErrWithheld), qt.IsTrue, qt.Commentf("%v", err))
	// The server answers the first call that it reads.
	got, err := p.do(client, p.call("2", "hello"))
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, "b")
	c.Check(p.connections(), qt.Equals, 1)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	_, err = newClient(time.Now).Do(context.Background(), &Call{Target: Target{Address: address}, ID: "1", Method: http.MethodGet, URI: "/", Host: "h"})
	c.Check(errors.Is(err, request.ErrNotSent), qt.IsTrue)
	c.Check(err, qt.ErrorMatches, "(?s).*refused.*")
}

func TestAnswerWithoutLengthEndsWithConnection(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := newClient(time.Now)
			read := make(chan struct{})
			p := startTestServer(c, func(_ int, conn net.Conn, reader *bufio.Reader) {
				answers("HTTP/1.1 200 OK\r\nX-Call: 1\r\n\r\nbody")(1, conn, reader)
				<-read
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			answer, err := client.Do(context.Background(), p.call("1", ""))
			c.Assert(err, qt.IsNil)
			defer answer.Close()
			c.Check(answer.Framed, qt.IsFalse)
			body := make([]byte, 4)
			_, err = io.ReadFull(answer, body)
			c.Assert(err, qt.IsNil)
			close(read)
			_, err = io.ReadAll(answer)
			c.Check(err != nil, qt.Equals, reset)
		})
	}
}

// TestAnswerWithoutLengthEndsBeforeCall guards against the beginning of an answer from an endpoint that has ended: it closes
// the connection in order, but has not received the call.
func TestAnswerWithoutLengthEndsBeforeCall(t *testing.T) {
	c := qt.New(t)
	client := newClient(time.Now)
	ended := make(chan struct{})
	p := startTestServer(c, func(_ int, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Call: 1\r\n\r\npart")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-ended
	})
	body, err := p.do(client, p.call("1", strings.Repeat("x", 8<<20)))
	close(ended)
	c.Check(body, qt.Equals, "part")
	c.Check(err, qt.IsNotNil)
}

// pausingDialer is a Dialer of connections that write the beginning of a call, and the rest only when they are closed.
type pausingDialer struct{ DirectDialer }

// Dial opens a connection.
func (d pausingDialer) Dial(ctx context.Context, target Target) (io.ReadWriteCloser, error) {
	conn, err := d.DirectDialer.Dial(ctx, target)
	return &pausingConn{ReadWriteCloser: conn, closed: make(chan struct{})}, err
}

type pausingConn struct {
	io.ReadWriteCloser
	hasWritten atomic.Bool
	closeOnce  sync.Once
	closed     chan struct{}
}

// Write blocks after the first call until the connection is closed.
func (p *pausingConn) Write(data []byte) (int, error) {
	if p.hasWritten.Swap(true) {
		<-p.closed
	}
	return p.ReadWriteCloser.Write(data)
}

// Close closes the connection.
func (p *pausingConn) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return p.ReadWriteCloser.Close()
}

// TestAnswerWithoutLengthEndsWhileCallIsWritten guards against the same where the endpoint has received what was written so far.
func TestAnswerWithoutLengthEndsWhileCallIsWritten(t *testing.T) {
	c := qt.New(t)
	client := newClient(time.Now)
	client.config.Dialer = pausingDialer{}
	p := startTestServer(c, func(_ int, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Call: 1\r\n\r\npart")
		}
	})
	body, err := p.do(client, p.call("1", strings.Repeat("x", 1<<20)))
	c.Check(body, qt.Equals, "part")
	c.Check(errors.Is(err, errEndedEarly), qt.IsTrue, qt.Commentf("%v", err))
}

func TestCancelledCallClosesConnection(t *testing.T) {
	c := qt.New(t)
	client := newClient(time.Now)
	arrived, closed := make(chan struct{}), make(chan struct{})
	p := startTestServer(c, func(_ int, _ net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		close(arrived)
		for _, err := reader.ReadByte(); err == nil; _, err = reader.ReadByte() {
			continue
		}
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := client.Do(ctx, p.call("1", ""))
	c.Check(errors.Is(err, request.ErrBroken), qt.IsTrue)
	<-closed
}

// TestKernelDetectsDeadPeer checks the socket options by which the kernel detects a dead peer, which can't be simulated
// on loopback: the timeout for unacknowledged bytes while data are sent, and keep-alive probes otherwise (idle in the
// pool, before the answer, or within a stream). If the timeout is set, it also decides when the probes give up, whatever
// their count. An endpoint that is silent for a second must not lose its connections.
func TestKernelDetectsDeadPeer(t *testing.T) {
	const minSilence, maxDetection = 2 * time.Second, 3 * time.Second
	c := qt.New(t)
	p := startTestServer(c, func(_ int, _ net.Conn, reader *bufio.Reader) {
		// The read returns when the client closes the connection.
		_, _ = reader.ReadByte()
	})
	conn, err := newClient(time.Now).dial(context.Background(), p.call("1", ""))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	raw, err := conn.ReadWriteCloser.(syscall.Conn).SyscallConn()
	c.Assert(err, qt.IsNil)
	option := func(name int) (value time.Duration) {
		c.Assert(raw.Control(func(fd uintptr) {
			var n int
			n, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			value = time.Duration(n)
		}), qt.IsNil)
		c.Assert(err, qt.IsNil)
		return value
	}
	timeout := option(unix.TCP_USER_TIMEOUT) * time.Millisecond
	idle, interval := option(unix.TCP_KEEPIDLE)*time.Second, option(unix.TCP_KEEPINTVL)*time.Second
	// The first probe is sent after the idle time. From the second on, the connection is given up if the timeout has passed.
	givenUp := idle + interval
	for givenUp < timeout {
		givenUp += interval
	}
	c.Check(timeout >= minSilence, qt.IsTrue, qt.Commentf("unacknowledged bytes break the connection after %v", timeout))
	// The silence may begin up to the idle time after the last byte.
	c.Check(givenUp-idle >= minSilence, qt.IsTrue, qt.Commentf("probes break the connection after %v", givenUp))
	c.Check(max(timeout, givenUp) <= maxDetection, qt.IsTrue, qt.Commentf("a dead peer is noticed after %v and %v", timeout, givenUp))
}

// TestAbortedCallNamesCause guards against logs that say of a call that this host ended only that its connection was
// closed.
func TestAbortedCallNamesCause(t *testing.T) {
	errSilent := errors.New("silent for too long")
	for name, sent := range map[string]string{
		"before the head": "",
		"in the body":     "HTTP/1.1 200 OK\r\n" + headerID + ": 1\r\nContent-Length: 10\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := newClient(time.Now)
			c.Cleanup(client.Close)
			ctx, cancel := context.WithCancelCause(context.Background())
			p := startTestServer(c, func(_ int, conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, sent)
				cancel(errSilent)
				_, _ = io.Copy(io.Discard, reader)
			})
			answer, err := client.Do(ctx, p.call("1", "hello"))
			if err == nil {
				_, err = io.ReadAll(answer)
				answer.Close()
			}
			c.Check(errors.Is(err, errSilent), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// slowDialer is a Dialer that sets connected before it returns a connection.
type slowDialer struct {
	DirectDialer
	connected bool
}

func (d *slowDialer) Dial(ctx context.Context, target Target) (io.ReadWriteCloser, error) {
	conn, err := d.DirectDialer.Dial(ctx, target)
	d.connected = true
	return conn, err
}

// TestHeaderIsMadeWhenConnected guards against headers with the time that was left before connecting: endpoints worked for
// longer than the caller waits.
func TestHeaderIsMadeWhenConnected(t *testing.T) {
	c := qt.New(t)
	server := startTestServer(c, answers(answerText("1", "a")))
	dialer := new(slowDialer)
	client := newClient(time.Now)
	client.config.Dialer = dialer
	defer client.Close()
	call := server.call("1", "")
	wasConnected := false
	call.Header = func() http.Header {
		wasConnected = dialer.connected
		return make(http.Header)
	}
	body, err := server.do(client, call)
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "a")
	c.Check(wasConnected, qt.IsTrue)
}
