package httpclient_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/daemon/httpclient"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// droppingServer answers the first call on each connection and keeps the connection open. It reads
// the second call completely, and closes the connection without an answer.
type droppingServer struct {
	listener net.Listener
	calls    atomic.Int64
	dropped  atomic.Int64
}

func startDroppingServer(c *qt.C) *droppingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	d := &droppingServer{listener: listener}
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d
}

func (d *droppingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for call := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		d.calls.Add(1)
		if call == 1 {
			d.dropped.Add(1)
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// TestBrokenCallIsNotResent closes a kept connection after the endpoint has read the call. In this
// case http.Transport resends a GET, and any call with an Idempotency-Key header. The client must
// not, since the call may have run.
func TestBrokenCallIsNotResent(t *testing.T) {
	tests := map[string]struct {
		method string
		body   string
		header http.Header
	}{
		"GET":                          {method: http.MethodGet},
		"GET with an idempotency key":  {method: http.MethodGet, header: http.Header{"Idempotency-Key": {"k"}}},
		"POST with an idempotency key": {method: http.MethodPost, body: "book it", header: http.Header{"Idempotency-Key": {"k"}}},
		"POST":                         {method: http.MethodPost, body: "book it"},
		"DELETE":                       {method: http.MethodDelete},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := startDroppingServer(c)
			client := httpclient.New()
			defer client.Close()
			call := func() (*http.Response, error) {
				return client.Do(context.Background(), httpclient.Call{
					Address: d.listener.Addr().String(), Method: test.method, Path: "/x", Header: test.header.Clone(),
					Body: strings.NewReader(test.body), Length: int64(len(test.body)),
				})
			}
			response, err := call()
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, response.Body)
			c.Assert(err, qt.IsNil)
			response.Body.Close()

			_, err = call()
			c.Assert(err, qt.ErrorIs, request.ErrBroken)
			c.Assert(errors.Is(err, request.ErrNotSent), qt.IsFalse)
			c.Assert(d.dropped.Load(), qt.Equals, int64(1))
			c.Assert(d.calls.Load(), qt.Equals, int64(2))
		})
	}
}

func TestRefusedConnectionCountsAsNotSent(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	sent := false
	client := httpclient.New()
	defer client.Close()
	_, err = client.Do(context.Background(), httpclient.Call{
		Address: address, Method: http.MethodPost, Path: "/", Once: true, OnSend: func() { sent = true },
	})
	c.Assert(errors.Is(err, request.ErrNotSent), qt.IsTrue)
	c.Assert(sent, qt.IsFalse)
}
