package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// reachDialer connects directly. Its checks return a fixed result.
type reachDialer struct {
	DirectDialer
	reach Reach
	err   error
	// checked receives a value for each check.
	checked chan struct{}
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
		want       error
	}{
		"path lost":                    {ReachedByPeer, nil, true, ErrPathLost},
		"unreachable":                  {Unreachable, errNotConnected, true, errUnreachable},
		"slow endpoint":                {ReachedDirectly, nil, true, nil},
		"path lost, may run once only": {ReachedByPeer, nil, false, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			dialer := &reachDialer{reach: test.reach, err: test.checkErr, checked: make(chan struct{}, 8)}
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
