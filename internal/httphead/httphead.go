// Package httphead says what an answer of HTTP is, for all clients. It reads the heads of answers within limits, since a faulty
// server may send one without end, and checks what net/http accepts although it is no answer. Clients that read answers from a
// connection themselves use ReadAnswer, those of net/http Transport, or Check and GuardInterim, and bound heads by MaxBytes.
//
// It owns the limits and the rules of validity, and no connections.
package httphead

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
)

const (
	// MaxBytes bounds the heads of a call's answers, interim ones included, and those of callers' requests.
	MaxBytes = 64 << 10
	// maxLines bounds the header lines of an answer, each of which takes far more memory than its bytes.
	maxLines = 1000
	// maxInterim bounds the interim answers before the answer to a call.
	maxInterim = 16
)

// Limit is a limit of heads.
type Limit string

// The limits. The values are labels of a metric and never change.
const (
	LimitBytes   Limit = "head_bytes"
	LimitLines   Limit = "head_lines"
	LimitInterim Limit = "interim_answers"
)

// LimitError is the error of a head that exceeds a limit.
type LimitError struct {
	Limit Limit
	// Most is the value of the limit.
	Most int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("the head of the answer exceeds the limit %s of %d", e.Limit, e.Most)
}

// Source is the connection under a buffered reader. It ends with a LimitError when a head takes too many bytes.
type Source struct {
	io.Reader

	isLimited bool
	left      int
	// failed is set once a read has returned an error.
	failed bool
}

// Read reads from the connection.
func (s *Source) Read(p []byte) (int, error) {
	n, err := s.read(p)
	if err != nil {
		s.failed = true
	}
	return n, err
}

func (s *Source) read(p []byte) (int, error) {
	if !s.isLimited {
		return s.Reader.Read(p)
	}
	if s.left <= 0 {
		return 0, &LimitError{LimitBytes, MaxBytes}
	}
	n, err := s.Reader.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}

// ReadAnswer reads the head of the final answer to a request from a buffered reader of a source, whose body it leaves. What
// the reader already holds does not count as bytes of the head. The error is an InvalidError if what the source has sent is no
// answer.
func ReadAnswer(reader *bufio.Reader, source *Source, request *http.Request) (*http.Response, error) {
	source.isLimited, source.left = true, MaxBytes
	defer func() { source.isLimited = false }()
	for range maxInterim + 1 {
		if err := checkOldFraming(reader); err != nil {
			return nil, err
		}
		answer, err := http.ReadResponse(reader, request)
		if err != nil {
			if source.failed {
				return nil, err
			}
			return nil, invalid(ReasonSyntax, err.Error())
		}
		if err := Check(answer); err != nil {
			return nil, err
		}
		if countLines(answer.Header) > maxLines {
			return nil, &LimitError{LimitLines, maxLines}
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
	return nil, &LimitError{LimitInterim, maxInterim}
}

func countLines(header http.Header) int {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	return lines
}
