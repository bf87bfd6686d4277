package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/sys/unix"
)

// scriptedConn is a connection to an endpoint that sends some bytes and then ends.
type scriptedConn struct {
	io.Reader
	end error
}

// Read returns the bytes and then the end.
func (s *scriptedConn) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err == io.EOF {
		err = s.end
	}
	return n, err
}

func (s *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
func (s *scriptedConn) Close() error                { return nil }

// scriptedDialer opens one scriptedConn.
type scriptedDialer struct {
	DirectDialer
	conn *scriptedConn
}

// Dial returns the connection.
func (d *scriptedDialer) Dial(context.Context, Target) (io.ReadWriteCloser, error) {
	return d.conn, nil
}

// FuzzAnswer has an endpoint send anything behind and before the answer to a call, and then close or reset the connection. It checks
// that only an answer of HTTP to this call is accepted, that one whose connection was reset is whole only by its own framing, and
// that no connection is kept on which bytes are left.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Call: 1\r\n\r\nbody"), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Call: 1\r\nContent-Length: 2\r\n\r\nok"), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Call: 2\r\nContent-Length: 2\r\n\r\nokHTTP/1.0 404 No\r\nX-Call: 1\r\nContent-Length: 0\r\n\r\nx"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Call: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT : u\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Call: 1\r\nContent-Length : 2\r\n\r\nok"), false)
	f.Add([]byte("HTTP/1.1 000\r\n\r\nHTTP/1.1 200 OK\r\nX-Call: 1\r\nContent-Length: 2\r\n\r\nok"), false)
	f.Fuzz(func(t *testing.T, sent []byte, isReset bool) {
		conn := &scriptedConn{Reader: bytes.NewReader(sent), end: io.EOF}
		if isReset {
			conn.end = unix.ECONNRESET
		}
		client := newClient(time.Now)
		client.config.Dialer = &scriptedDialer{conn: conn}
		defer client.Close()
		answer, err := client.Do(context.Background(), &Call{Target: Target{Address: "endpoint"}, ID: "1", Method: http.MethodGet, URI: "/", Host: "h"})
		if err != nil {
			return
		}
		if answer.Status < 200 || answer.Status > 599 || answer.Header.Get(headerID) != "1" {
			t.Fatalf("accepted status %d, header %v", answer.Status, answer.Header)
		}
		for name := range answer.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Fatalf("accepted field %q", name)
			}
		}
		_, err = io.Copy(io.Discard, answer)
		if err == nil && isReset && !answer.Framed && answer.Length < 0 {
			t.Fatal("an answer that was reset is whole")
		}
		if err != nil && errors.Is(err, io.EOF) {
			t.Fatalf("a broken body ends like a whole one: %v", err)
		}
		answer.Close()
		if client.HasIdle("endpoint") {
			if left, _ := io.ReadAll(conn.Reader); len(left) > 0 && err != nil {
				t.Fatalf("a broken connection is kept with %d bytes", len(left))
			}
		}
	})
}
