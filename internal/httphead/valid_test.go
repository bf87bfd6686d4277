package httphead

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// readers are the ways to read the answer to a call: from a connection, and with net/http.
var readers = map[string]func(c *qt.C, sent string) (*http.Response, error){
	"ReadAnswer": func(_ *qt.C, sent string) (*http.Response, error) {
		source := &Source{Reader: strings.NewReader(sent)}
		return ReadAnswer(bufio.NewReader(source), source, nil)
	},
	"Transport": func(c *qt.C, sent string) (*http.Response, error) {
		transport := Transport{&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			go func() {
				defer theirs.Close()
				if _, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
					_, _ = io.WriteString(theirs, sent)
				}
			}()
			return ours, nil
		}}}
		c.Cleanup(transport.CloseIdleConnections)
		call, err := http.NewRequest(http.MethodGet, "http://server/", nil)
		c.Assert(err, qt.IsNil)
		return transport.RoundTrip(call)
	},
}

const okHead = "HTTP/1.1 200 OK\r\n"

// TestInvalidHeads checks that both ways of reading answers take the same for none.
func TestInvalidHeads(t *testing.T) {
	// A reason is "" if net/http does not say more than that it can't read the answer.
	tests := map[string]struct {
		sent string
		want Reason
	}{
		"status 000":                          {"HTTP/1.1 000 Broken\r\n\r\n", ReasonStatus},
		"status 099":                          {"HTTP/1.1 099 Broken\r\n\r\n", ReasonStatus},
		"a status with a sign":                {"HTTP/1.1 +20 OK\r\n\r\n", ReasonStatus},
		"a negative zero":                     {"HTTP/1.1 -00 OK\r\n\r\n", ReasonStatus},
		"a status above all":                  {"HTTP/1.1 600 Broken\r\n\r\n", ReasonStatus},
		"another protocol":                    {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", ReasonStatus},
		"an invalid interim answer":           {"HTTP/1.1 000 Broken\r\n\r\n" + okHead + "\r\n", ReasonStatus},
		"a status of four digits":             {"HTTP/1.1 2000 OK\r\n\r\n", ReasonSyntax},
		"a status of letters":                 {"HTTP/1.1 abc OK\r\n\r\n", ReasonSyntax},
		"no status":                           {"HTTP/1.1\r\n\r\n", ReasonSyntax},
		"another word":                        {"ICY 200 OK\r\n\r\n", ReasonSyntax},
		"no version":                          {"HTTP 200 OK\r\n\r\n", ReasonSyntax},
		"noise":                               {strings.Repeat("~", 5000) + "\r\n\r\n", ReasonSyntax},
		"a line without a colon":              {okHead + "X-Line\r\n\r\n", ReasonSyntax},
		"a line that goes on first":           {okHead + " X-Line: v\r\n\r\n", ReasonSyntax},
		"an empty name":                       {okHead + ": v\r\n\r\n", ReasonSyntax},
		"a control byte in a value":           {okHead + "X-Line: a\x01b\r\n\r\n", ReasonSyntax},
		"a length that is none":               {okHead + "Content-Length: +2\r\n\r\nok", ReasonSyntax},
		"lengths that differ":                 {okHead + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", ReasonSyntax},
		"a blank in a name":                   {okHead + "X Line: v\r\nContent-Length: 0\r\n\r\n", ReasonFieldName},
		"a blank behind a name":               {okHead + "X-Line : v\r\nContent-Length: 0\r\n\r\n", ReasonFieldName},
		"a blank behind a length":             {okHead + "Content-Length : 2\r\n\r\nokok", ReasonFieldName},
		"a blank behind an encoding":          {okHead + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ReasonFieldName},
		"a blank in an interim answer's name": {"HTTP/1.1 103 Early Hints\r\nLi nk: v\r\n\r\n" + okHead + "Content-Length: 0\r\n\r\n", ReasonFieldName},
		"a long name":                         {okHead + "X " + strings.Repeat("n", 5000) + ": v\r\nContent-Length: 0\r\n\r\n", ReasonFieldName},
		"a control byte in a name":            {okHead + "X-\x01: v\r\n\r\n", ReasonSyntax},
		"another major version":               {"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", ReasonSyntax},
		"a control byte in the reason":        {"HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n", ReasonSyntax},
		"another transfer encoding":           {okHead + "Transfer-Encoding: gzip\r\n\r\nok", ReasonSyntax},
	}
	for name, test := range tests {
		for reader, read := range readers {
			t.Run(name+", "+reader, func(t *testing.T) {
				c := qt.New(t)
				answer, err := read(c, test.sent)
				c.Assert(err, qt.IsNotNil, qt.Commentf("%v", answer))
				var got *InvalidError
				if errors.As(err, &got) {
					c.Check(got.Reason, qt.Equals, test.want)
					c.Check(len(got.Detail) <= maxDetailBytes, qt.IsTrue, qt.Commentf("%s", got.Detail))
					return
				}
				// The transport of net/http has its own errors for what it can't read.
				c.Check(reader, qt.Equals, "Transport")
				c.Check(test.want, qt.Equals, ReasonSyntax, qt.Commentf("%v", err))
			})
		}
	}
}

// TestOldFraming checks answers of HTTP/1.0, which has no transfer encodings, as they arrive byte by byte.
func TestOldFraming(t *testing.T) {
	const chunks = "\r\n2\r\nok\r\n0\r\n\r\n"
	tests := map[string]struct {
		sent string
		want bool
	}{
		"without a length":                    {"HTTP/1.0 200 OK\r\nX-Line: v\r\n\r\nok", true},
		"with a length":                       {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		"a body that looks like the field":    {"HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"in chunks":                           {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, false},
		"in chunks, in other case":            {"HTTP/1.0 200 OK\r\ntransfer-ENCODING:chunked\r\n" + chunks, false},
		"in chunks, with a length":            {"HTTP/1.0 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n" + chunks, false},
		"another encoding":                    {"HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok", false},
		"in chunks, HTTP/1.1":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, true},
		"an interim answer before":            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, false},
		"a head that fits the buffer":         {"HTTP/1.0 200 OK\r\nX-Line: " + strings.Repeat("v", 4000) + "\r\n\r\nok", true},
		"a head that does not fit the buffer": {"HTTP/1.0 200 OK\r\nX-Line: " + strings.Repeat("v", 5000) + "\r\nTransfer-Encoding: chunked\r\n" + chunks, false},
		"a large head, HTTP/1.1":              {"HTTP/1.1 200 OK\r\nX-Line: " + strings.Repeat("v", 5000) + "\r\n\r\nok", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			source := &Source{Reader: iotest.OneByteReader(strings.NewReader(test.sent))}
			answer, err := ReadAnswer(bufio.NewReaderSize(source, 4096), source, nil)
			if test.want {
				c.Assert(err, qt.IsNil)
				body, err := io.ReadAll(answer.Body)
				c.Check(err, qt.IsNil)
				c.Check(strings.Contains(string(body), "ok") || strings.Contains(string(body), "chunked"), qt.IsTrue)
				return
			}
			var got *InvalidError
			c.Assert(errors.As(err, &got), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(got.Reason, qt.Equals, ReasonFraming)
		})
	}
}

// TestCutHeadIsNotInvalid checks that a head that is cut off is told from one that is none.
func TestCutHeadIsNotInvalid(t *testing.T) {
	const whole = okHead + "X-Line: v\r\nContent-Length: 0\r\n\r\n"
	for length := range len(whole) {
		source := &Source{Reader: strings.NewReader(whole[:length])}
		_, err := ReadAnswer(bufio.NewReader(source), source, nil)
		var got *InvalidError
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, errors.As(err, &got), qt.IsFalse, qt.Commentf("%d bytes: %v", length, err))
	}
}

// TestInterimAnswersAreBounded checks that net/http does not read interim answers without end.
func TestInterimAnswersAreBounded(t *testing.T) {
	for reader, read := range readers {
		t.Run(reader, func(t *testing.T) {
			c := qt.New(t)
			interim := strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInterim)
			_, err := read(c, interim+okHead+"Content-Length: 0\r\n\r\n")
			c.Check(err, qt.IsNil)
			_, err = read(c, interim+"HTTP/1.1 103 Early Hints\r\n\r\n"+okHead+"Content-Length: 0\r\n\r\n")
			var got *LimitError
			c.Assert(errors.As(err, &got), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(got.Limit, qt.Equals, LimitInterim)
		})
	}
}

// TestConnectionOfInvalidAnswerIsNotReused guards against what follows an invalid answer without a body, which net/http may take
// for the answer to the next call.
func TestConnectionOfInvalidAnswerIsNotReused(t *testing.T) {
	c := qt.New(t)
	dials := 0
	transport := Transport{&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		dials++
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			reader := bufio.NewReader(theirs)
			for _, err := http.ReadRequest(reader); err == nil; _, err = http.ReadRequest(reader) {
				_, _ = io.WriteString(theirs, okHead+"X Line: v\r\nContent-Length: 0\r\n\r\n")
			}
		}()
		return ours, nil
	}}}
	defer transport.CloseIdleConnections()
	for n := range 3 {
		call, err := http.NewRequest(http.MethodPost, "http://server/", nil)
		c.Assert(err, qt.IsNil)
		_, err = transport.RoundTrip(call)
		c.Check(err, qt.IsNotNil)
		c.Check(dials, qt.Equals, n+1)
	}
}
