package httphead

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/textproto"
)

// oldVersion begins the answers in which net/http ignores Transfer-Encoding.
const oldVersion = "HTTP/1.0"

// checkOldFraming returns an InvalidError for an answer of HTTP/1.0 with a Transfer-Encoding, whose framing is faulty (RFC 9112,
// section 6.1): net/http would take the chunks for the body. It consumes nothing. A head of HTTP/1.0 that does not fit the reader's
// buffer can't be checked, and counts as faulty.
func checkOldFraming(reader *bufio.Reader) error {
	version, err := reader.Peek(len(oldVersion))
	if err != nil {
		return endWithinHead(err)
	}
	if string(version) != oldVersion {
		return nil
	}
	head, err := peekHead(reader)
	if err != nil {
		return err
	}
	lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	// What can't be parsed here is left to net/http.
	_, _ = lines.ReadLine()
	header, _ := lines.ReadMIMEHeader()
	if _, ok := header["Transfer-Encoding"]; ok {
		return invalid(ReasonFraming, "Transfer-Encoding in HTTP/1.0")
	}
	return nil
}

// peekHead returns the bytes that begin a buffered reader, up to the end of a head or more. It consumes nothing.
func peekHead(reader *bufio.Reader) ([]byte, error) {
	for {
		// Peeking at what is buffered does not fail.
		head, _ := reader.Peek(reader.Buffered())
		if bytes.Contains(head, []byte("\n\r\n")) || bytes.Contains(head, []byte("\n\n")) {
			return head, nil
		}
		if len(head) == reader.Size() {
			return nil, invalid(ReasonFraming, fmt.Sprintf("head of HTTP/1.0 over %d bytes", len(head)))
		}
		if _, err := reader.Peek(len(head) + 1); err != nil {
			return nil, endWithinHead(err)
		}
	}
}

// endWithinHead returns the error of a connection that ends within a head.
func endWithinHead(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
