package httphead

import (
	"bufio"
	"bytes"
	"io"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
)

// The lines of heads by RFC 9112, with the leniency that docs/policy.md allows.
var (
	statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] +[1-5][0-9][0-9]( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	fieldLine  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*$")
	foldedLine = regexp.MustCompile(`^[\t ][^\x00-\x08\x0a-\x1f\x7f]*$`)
	codingLine = regexp.MustCompile(`(?i)^Transfer-Encoding:`)
)

// headLines returns the lines of the head that begins some bytes, and the bytes behind it.
func headLines(sent []byte) (lines []string, rest []byte) {
	for {
		line, after, _ := bytes.Cut(sent, []byte("\n"))
		sent = after
		text := strings.TrimSuffix(string(line), "\r")
		if text == "" {
			return lines, sent
		}
		lines = append(lines, text)
	}
}

// fuzzBufBytes is the size of the buffer through which answers are read.
const fuzzBufBytes = 4 << 10

// reading is the result of reading an answer to its end. Its status is 0 if the head is none of an answer.
type reading struct {
	status int
	body   []byte
	err    error
	// behindHead is the number of buffered bytes when the head had been read.
	behindHead int
}

func readAll(from io.Reader) reading {
	source := &Source{Reader: from}
	reader := bufio.NewReaderSize(source, fuzzBufBytes)
	answer, err := ReadAnswer(reader, source, nil)
	if err != nil {
		return reading{err: err}
	}
	r := reading{status: answer.StatusCode, behindHead: reader.Buffered()}
	if r.body, r.err = io.ReadAll(answer.Body); r.err == nil {
		r.err = CheckTrailer(answer)
	}
	return r
}

// FuzzReadAnswer reads what a server may send, whole and byte by byte. It checks each line of the heads that are accepted by the
// grammar, and that the bytes of the final head are consumed, and no others.
func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte(okHead + "Content-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\nA:b\n c\n\n"))
	f.Add([]byte("HTTP/1.0 200\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT : u\r\n\r\n"))
	f.Add([]byte(okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: u\r\n\r\n"))
	f.Add([]byte(okHead + "X Line: v\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 000 \x00\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 +99 \r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		whole, slow := readAll(bytes.NewReader(sent)), readAll(iotest.OneByteReader(bytes.NewReader(sent)))
		if whole.status != slow.status || !bytes.Equal(whole.body, slow.body) || (whole.err == nil) != (slow.err == nil) {
			t.Fatalf("whole: %+v, byte by byte: %+v", whole, slow)
		}
		if whole.status == 0 {
			return
		}
		rest := sent
		var lines []string
		for isInterim := true; isInterim; isInterim = strings.HasPrefix(strings.TrimLeft(lines[0][len("HTTP/1.1"):], " "), "1") {
			lines, rest = headLines(rest)
			if len(lines) == 0 || !statusLine.MatchString(lines[0]) {
				t.Fatalf("accepted %q", sent)
			}
			for _, line := range lines[1:] {
				if !fieldLine.MatchString(line) && !foldedLine.MatchString(line) {
					t.Fatalf("accepted line %q", line)
				}
				if strings.HasPrefix(lines[0], oldVersion) && codingLine.MatchString(line) {
					t.Fatalf("accepted chunks in HTTP/1.0: %q", sent)
				}
			}
		}
		if len(sent) < fuzzBufBytes && whole.behindHead != len(rest) {
			t.Fatalf("%d bytes behind the head, %d are left", len(rest), whole.behindHead)
		}
	})
}
