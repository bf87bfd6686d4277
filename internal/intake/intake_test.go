package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// testLimits are the limits of connections in tests.
var testLimits = Limits{HeadBytes: 16 << 10, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second}

// newAccount returns an account of some memory and connections, and the counts of what it closes.
func newAccount(memory int64, connections int, limits *Limits) (*Account, map[Cause]int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	closed := make(map[Cause]int)
	return New(Config{
		Name: Callers, Memory: memory, Connections: connections, WriteTime: 30 * time.Second, Limits: func() Limits { return *limits },
		CountClosed: func(_ string, cause Cause) { closed[cause]++ },
	}, logrus.NewEntry(log), time.Now), closed
}

// pipeListener accepts the connections that are sent to it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l pipeListener) Close() error { return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serve serves a handler with an account and returns a function that connects.
func serve(t *testing.T, account *Account, handler http.HandlerFunc) (connect func() net.Conn) {
	listener := make(pipeListener)
	server := &http.Server{Handler: handler}
	account.Attach(server)
	go server.Serve(account.Wrap(listener))
	t.Cleanup(func() {
		close(listener)
		server.Close()
	})
	return func() net.Conn {
		client, conn := net.Pipe()
		t.Cleanup(func() { client.Close() })
		listener <- conn
		return client
	}
}

const ordinary = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// ask sends an ordinary request and returns the status line of the answer, or "" if the connection is closed.
func ask(conn net.Conn) string {
	if _, err := io.WriteString(conn, ordinary); err != nil {
		return ""
	}
	answer := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, answer); err != nil {
		return ""
	}
	return string(answer)
}

// TestWhoIsClosedFirst fills an account and checks which connections are closed for the ordinary request that comes next.
func TestWhoIsClosedFirst(t *testing.T) {
	tests := map[string]struct {
		sends      string
		wantCause  Cause
		memory     int64
		mostHeld   int
		wantAnswer string
	}{
		"silent connections":         {"", CauseDescriptors, 0, 8, "HTTP/1.1 200"},
		"silent, for memory":         {"", CauseMemory, 8 * connectionBytes, 0, "HTTP/1.1 200"},
		"heads of many lines":        {"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1000), CauseMemory, 1 << 20, 0, "HTTP/1.1 200"},
		"bodies that do not arrive":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n", CauseMemory, 1 << 20, 0, "HTTP/1.1 200"},
		"answered, then not a byte":  {ordinary, CauseMemory, 8 * connectionBytes, 0, "HTTP/1.1 200"},
		"requests that run for long": {"GET /run HTTP/1.1\r\nHost: h\r\n\r\n", "", 8 * (connectionBytes + runningBytes), 0, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				account, closed := newAccount(test.memory, test.mostHeld, &testLimits)
				ended := make(chan struct{})
				connect := serve(t, account, func(w http.ResponseWriter, r *http.Request) {
					Hold(r.Context(), r.ContentLength)
					_, _ = io.Copy(io.Discard, r.Body)
					if r.URL.Path == "/run" && Begin(r.Context()) {
						<-ended
					}
				})
				for range 40 {
					conn := connect()
					go func() {
						_, _ = io.WriteString(conn, test.sends)
						_, _ = io.Copy(io.Discard, conn)
					}()
					time.Sleep(10 * time.Millisecond)
					memory, connections := account.Used()
					c.Check(test.memory == 0 || memory <= test.memory, qt.IsTrue)
					c.Check(test.mostHeld == 0 || connections <= test.mostHeld, qt.IsTrue)
				}
				c.Check(ask(connect()), qt.Equals, test.wantAnswer)
				c.Check(test.wantCause == "" || closed[test.wantCause] > 0, qt.IsTrue, qt.Commentf("%v", closed))
				close(ended)
			})
		})
	}
}

// TestRequestThatRunsKeepsItsConnection has others fill the account while a request runs.
func TestRequestThatRunsKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		account, _ := newAccount(8*connectionBytes, 0, &testLimits)
		ended := make(chan struct{})
		connect := serve(t, account, func(_ http.ResponseWriter, r *http.Request) {
			c.Check(Begin(r.Context()), qt.IsTrue)
			<-ended
		})
		running := connect()
		answer := make(chan string)
		go func() { answer <- ask(running) }()
		for range 100 {
			connect()
			time.Sleep(10 * time.Millisecond)
		}
		close(ended)
		c.Check(<-answer, qt.Equals, "HTTP/1.1 200")
	})
}

// TestLimitsInForce changes the limits while connections are open.
func TestLimitsInForce(t *testing.T) {
	long := "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 25<<10) + "\r\n\r\n"
	tests := map[string]struct {
		before, after Limits
		sends         string
		wait          time.Duration
		wantCause     Cause
	}{
		"a head within its limit":        {testLimits, Limits{HeadBytes: 32 << 10}, long, time.Second, ""},
		"a head over its limit":          {Limits{HeadBytes: 32 << 10}, testLimits, long, time.Second, CauseHeadBytes},
		"half a head, in time":           {testLimits, testLimits, "GET /", 2 * time.Second, ""},
		"half a head, no longer in time": {testLimits, Limits{HeadTime: time.Second}, "GET /", 2 * time.Second, CauseHeadTime},
		"idle, in time":                  {testLimits, testLimits, "", 14 * time.Second, ""},
		"idle, no longer in time":        {testLimits, Limits{IdleTime: 10 * time.Second}, "", 14 * time.Second, CauseIdleTime},
		"idle after an answer":           {testLimits, Limits{IdleTime: 10 * time.Second}, ordinary, 14 * time.Second, CauseIdleTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				limits := test.before
				account, closed := newAccount(0, 0, &limits)
				conn := serve(t, account, func(http.ResponseWriter, *http.Request) {})()
				time.Sleep(time.Millisecond)
				limits = test.after
				go func() {
					_, _ = io.WriteString(conn, test.sends)
					_, _ = io.Copy(io.Discard, conn)
				}()
				time.Sleep(test.wait)
				account.Expire()
				synctest.Wait()
				delete(closed, "")
				if test.wantCause == "" {
					c.Check(closed, qt.HasLen, 0)
					return
				}
				c.Check(closed, qt.DeepEquals, map[Cause]int{test.wantCause: 1})
			})
		})
	}
}

// TestKeptConnection sends large bodies and heads inside the limit by turns.
func TestKeptConnection(t *testing.T) {
	c := qt.New(t)
	account, closed := newAccount(8<<20, 4, &testLimits)
	conn := serve(t, account, func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		c.Check(int64(len(body)), qt.Equals, r.ContentLength)
		c.Check(Begin(r.Context()), qt.IsTrue)
	})()
	answers := bufio.NewReader(conn)
	for _, size := range []int{0, 100_000, 10, 4096, 60_000, 0} {
		go fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("x", 16_000), size, strings.Repeat("\n", size))
		answer, err := http.ReadResponse(answers, nil)
		c.Assert(err, qt.IsNil)
		c.Check(answer.StatusCode, qt.Equals, http.StatusOK)
	}
	c.Check(closed, qt.HasLen, 0)
}

// TestPipelinedHeadIsCounted sends a part of a head together with the request before it, which runs for a moment.
func TestPipelinedHeadIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const lines = 900
		account, _ := newAccount(0, 0, &testLimits)
		conn := serve(t, account, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })()
		go io.Copy(io.Discard, conn)
		_, err := io.WriteString(conn, ordinary+"GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", lines))
		c.Assert(err, qt.IsNil)
		time.Sleep(500 * time.Millisecond)
		_, err = io.WriteString(conn, "b")
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		memory, _ := account.Used()
		c.Check(memory >= connectionBytes+lines*headLineCost, qt.IsTrue, qt.Commentf("%d bytes", memory))
	})
}

// TestUnreadAnswer leaves an answer unread: its connection may be closed for memory, and is closed after some time.
func TestUnreadAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		account, closed := newAccount(8*connectionBytes, 0, &testLimits)
		connect := serve(t, account, func(w http.ResponseWriter, r *http.Request) {
			Begin(r.Context())
			_, _ = w.Write(make([]byte, 100_000))
		})
		for range 2 {
			_, err := io.WriteString(connect(), ordinary)
			c.Assert(err, qt.IsNil)
		}
		time.Sleep(2 * time.Second)
		for range 8 {
			connect()
		}
		synctest.Wait()
		c.Check(closed[CauseMemory] > 0, qt.IsTrue)
		late, closed := newAccount(0, 0, &testLimits)
		_, err := io.WriteString(serve(t, late, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 100_000)) })(), ordinary)
		c.Assert(err, qt.IsNil)
		time.Sleep(31 * time.Second)
		late.Expire()
		c.Check(closed, qt.DeepEquals, map[Cause]int{CauseWriteTime: 1})
	})
}

// FuzzClient sends what a client may send, in pieces, and checks that the account is exact once the connection has ended.
func FuzzClient(f *testing.F) {
	f.Add([]byte(ordinary), uint8(7))
	f.Add([]byte(ordinary+"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nT: t\r\n\r\n"), uint8(1))
	f.Add([]byte("\r\n\n\r\nGET / HTTP/1.1\r\na:\nb:\n c\r\n"), uint8(3))
	f.Add([]byte(strings.Repeat("a:\n", 10_000)), uint8(255))
	f.Fuzz(func(t *testing.T, sent []byte, piece uint8) {
		const memory = 2 << 20
		limits := testLimits
		account, _ := newAccount(memory, 4, &limits)
		client, conn := net.Pipe()
		listener := make(pipeListener, 1)
		listener <- conn
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !Hold(r.Context(), min(max(r.ContentLength, 0), 64<<10)) {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err == nil && Begin(r.Context()) {
				_, _ = io.WriteString(w, "answer")
			}
		})}
		account.Attach(server)
		served := make(chan struct{})
		server.ConnState = withEnd(server.ConnState, served)
		go server.Serve(account.Wrap(listener))
		go io.Copy(io.Discard, client)
		for len(sent) > 0 {
			n := min(int(piece)+1, len(sent))
			if _, err := client.Write(sent[:n]); err != nil {
				break
			}
			sent = sent[n:]
			if used, _ := account.Used(); used > memory || used < 0 {
				t.Fatalf("the account has %d bytes of %d", used, memory)
			}
		}
		client.Close()
		<-served
		if used, connections := account.Used(); used != 0 || connections != 0 {
			t.Fatalf("%d bytes and %d connections are left", used, connections)
		}
		close(listener)
		_ = server.Shutdown(context.Background())
	})
}

// withEnd returns a function that also closes a channel when the connection has ended.
func withEnd(next func(net.Conn, http.ConnState), ended chan struct{}) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		next(conn, state)
		if state == http.StateClosed {
			close(ended)
		}
	}
}
