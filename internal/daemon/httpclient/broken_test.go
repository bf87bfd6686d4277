package httpclient_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/daemon/httpclient"
	"oxbowslip.dev/oxbowslip/internal/request"
)

const (
	uploadBytes = 4 << 20
	partBytes   = 3000
)

// startRawServer starts a server that has a function answer the first call of each connection, whose head was read. The
// connection is closed when the function returns.
func startRawServer(c *qt.C, answer func(conn *net.TCPConn, upload io.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), request.Body)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// call makes a call with an upload of some bytes and returns the complete body of its answer.
func call(client *httpclient.Client, address string, bytesUp int) (string, error) {
	response, err := client.Do(context.Background(), httpclient.Call{
		Address: address, Method: http.MethodPost, Path: "/x", Body: bytes.NewReader(make([]byte, bytesUp)), Length: int64(bytesUp),
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestBrokenTransferIsNotWhole guards against a part of an answer without a length that looks complete, since its endpoint has
// ended the connection amid the upload of the call. Which side of the connection learns of a reset can't be forced here, so
// there are several plays.
func TestBrokenTransferIsNotWhole(t *testing.T) {
	const plays = 40
	// callEnded receives a value after each call.
	callEnded := make(chan struct{}, plays)
	tests := map[string]func(conn *net.TCPConn, upload io.Reader){
		"reset": func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.SetLinger(0)
		},
		"reset after a part of the upload": func(conn *net.TCPConn, upload io.Reader) {
			_, _ = io.CopyN(io.Discard, upload, 300_000)
			_ = conn.SetLinger(0)
		},
		"closed": func(*net.TCPConn, io.Reader) {},
		"its sending side closed": func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			<-callEnded
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := httpclient.New()
			defer client.Close()
			address := startRawServer(c, func(conn *net.TCPConn, upload io.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("b", partBytes))
				end(conn, upload)
			})
			whole := 0
			for range plays {
				for len(callEnded) > 0 {
					<-callEnded
				}
				if _, err := call(client, address, uploadBytes); err == nil {
					whole++
				}
				callEnded <- struct{}{}
			}
			c.Check(whole, qt.Equals, 0)
		})
	}
}

// TestSoundTransferIsWhole guards against sound answers that are taken for broken ones.
func TestSoundTransferIsWhole(t *testing.T) {
	const plays = 10
	whole := strings.Repeat("w", partBytes)
	tests := map[string]struct {
		bytesUp int
		answer  func(conn *net.TCPConn, upload io.Reader)
	}{
		"without a length, the upload read": {uploadBytes, func(conn *net.TCPConn, upload io.Reader) {
			_, _ = io.Copy(io.Discard, upload)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+whole)
		}},
		"without a length, a short call": {10, func(conn *net.TCPConn, upload io.Reader) {
			_, _ = io.Copy(io.Discard, upload)
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\n"+whole)
		}},
		"early, with a length": {uploadBytes, func(conn *net.TCPConn, upload io.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3000\r\n\r\n"+whole)
			_, _ = io.Copy(io.Discard, upload)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := httpclient.New()
			defer client.Close()
			address := startRawServer(c, test.answer)
			for range plays {
				body, err := call(client, address, test.bytesUp)
				c.Assert(err, qt.IsNil)
				c.Assert(body == whole, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
			}
		})
	}
}

// TestInvalidAnswers guards against what is no answer, which callers received: a status that no answer can have, and names of
// fields that are none, which may hide where the answer ends.
func TestInvalidAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	tests := map[string]string{
		"status 000":                       "HTTP/1.1 000 Broken\r\nContent-Length: 2\r\n\r\nok",
		"status 099":                       "HTTP/1.1 099 Broken\r\nContent-Length: 2\r\n\r\nok",
		"a status with a sign":             "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok",
		"another protocol":                 "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\nok",
		"a status above all":               "HTTP/1.1 600 Broken\r\nContent-Length: 2\r\n\r\nok",
		"a blank in a name":                ok + "X Line: v\r\nContent-Length: 2\r\n\r\nok",
		"a blank behind a length":          ok + "Content-Length : 2\r\n\r\nokok",
		"a blank behind an encoding":       ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"a blank in a trailer's name":      ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Line: v\r\n\r\n",
		"a blank in an interim answer":     "HTTP/1.1 103 Early Hints\r\nX Line: v\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
		"a control byte in a name":         ok + "X-\x01Line: v\r\nContent-Length: 2\r\n\r\nok",
		"an invalid answer before a whole": "HTTP/1.1 000 Broken\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := httpclient.New()
			defer client.Close()
			address := startRawServer(c, func(conn *net.TCPConn, upload io.Reader) {
				_, _ = io.Copy(io.Discard, upload)
				_, _ = io.WriteString(conn, sent)
			})
			body, err := call(client, address, 10)
			c.Check(err, qt.IsNotNil, qt.Commentf("%q", body))
			c.Check(errors.Is(err, request.ErrNotSent), qt.IsFalse)
		})
	}
}
