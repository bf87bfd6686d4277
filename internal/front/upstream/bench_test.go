package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// repeatingConn is a connection to an endpoint that sends the same answer to each call, which takes one write.
type repeatingConn struct {
	answer string
	left   strings.Reader
}

func (r *repeatingConn) Read(p []byte) (int, error) { return r.left.Read(p) }
func (r *repeatingConn) Close() error               { return nil }

func (r *repeatingConn) Write(p []byte) (int, error) {
	r.left.Reset(r.answer)
	return len(p), nil
}

// repeatingDialer opens a repeatingConn.
type repeatingDialer struct {
	DirectDialer
	answer string
}

// Dial returns a connection.
func (d *repeatingDialer) Dial(context.Context, Target) (io.ReadWriteCloser, error) {
	return &repeatingConn{answer: d.answer}, nil
}

// BenchmarkCall measures what the client itself takes for a call and its answer.
func BenchmarkCall(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nX-Call: 1\r\nContent-Type: text/plain\r\nDate: Mon, 07 Dec 2026 19:00:00 GMT\r\nX-Served-By: engine-7, zone-a\r\nKeep-Alive: timeout=15\r\n"
	answers := map[string]string{
		"with a length": head + "Content-Length: 800\r\n\r\n" + strings.Repeat("b", 800),
		"in chunks":     head + "Transfer-Encoding: chunked\r\n\r\n320\r\n" + strings.Repeat("b", 800) + "\r\n0\r\n\r\n",
	}
	for name, answer := range answers {
		b.Run(name, func(b *testing.B) {
			client := newClient(time.Now)
			client.config.Dialer = &repeatingDialer{answer: answer}
			defer client.Close()
			b.ReportAllocs()
			buffer := make([]byte, 1<<10)
			for b.Loop() {
				// The endpoint answers to the same ID, which a connection carries once only.
				clear(client.idleCarried())
				got, err := client.Do(context.Background(), &Call{Target: Target{Address: "endpoint"}, ID: "1", Method: http.MethodGet, URI: "/x", Host: "h"})
				if err != nil {
					b.Fatal(err)
				}
				for err == nil {
					_, err = got.Read(buffer)
				}
				if err != io.EOF {
					b.Fatal(err)
				}
				got.Close()
			}
		})
	}
}

// idleCarried returns the hashes of the calls that the idle connection has carried.
func (c *Client) idleCarried() []uint64 {
	if conns := c.idle["endpoint"]; len(conns) > 0 {
		return conns[0].carried[:]
	}
	return nil
}
