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
		read := func(from io.Reader) (status int, body []byte, headErr, bodyErr error, behindHead int) {
			source := &Source{Reader: from}
			reader := bufio.NewReaderSize(source, 4<<10)
			answer, err := ReadAnswer(reader, source, nil)
			if err != nil {
				return 0, nil, err, nil, 0
			}
			unread := reader.Buffered()
			body, err = io.ReadAll(answer.Body)
			if err == nil {
				err = CheckTrailer(answer)
			}
			return answer.StatusCode, body, nil, err, unread
		}
		status, body, headErr, bodyErr, unread := read(bytes.NewReader(sent))
		slowStatus, slowBody, slowErr, slowBodyErr, _ := read(iotest.OneByteReader(bytes.NewReader(sent)))
		if status != slowStatus || !bytes.Equal(body, slowBody) || (headErr == nil) != (slowErr == nil) || (bodyErr == nil) != (slowBodyErr == nil) {
			t.Fatalf("whole: %d %q %v %v, byte by byte: %d %q %v %v", status, body, headErr, bodyErr, slowStatus, slowBody, slowErr, slowBodyErr)
		}
		if headErr != nil {
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
		if len(sent) < 4<<10 && unread != len(rest) {
			t.Fatalf("%d bytes behind the head, %d are left", len(rest), unread)
		}
	})
}
