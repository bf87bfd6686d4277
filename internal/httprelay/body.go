package httprelay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// ReadBody reads a request's whole body, up to a number of bytes and within a time. A
// failure is returned as the refusal for the caller; nothing was sent to an endpoint.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, *request.Refusal) {
	body, _, refusal := ReadHead(w, r, limit, limit+1, timeout)
	return body, refusal
}

// ReadHead reads the first bytes of a body, at most a number of them, and reports whether
// that is all of it. The rest can still be read from r.Body, under the same limit and
// deadline.
func ReadHead(w http.ResponseWriter, r *http.Request, limit, most int64, timeout time.Duration) (head []byte, whole bool, refusal *request.Refusal) {
	if r.ContentLength > limit {
		return nil, false, request.Refuse(request.ReasonBodyTooLarge, "the body is larger than this class allows")
	}
	control := http.NewResponseController(w)
	// The writers of tests have no deadlines; those of net/http do.
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	head, err := io.ReadAll(io.LimitReader(r.Body, most))
	if err != nil {
		// The deadline stays: net/http reads the rest of a body before it answers, and a
		// caller that has stopped sending would hold that up.
		return nil, false, bodyRefusal(err)
	}
	whole = int64(len(head)) < most
	if whole {
		// As above.
		_ = control.SetReadDeadline(time.Time{})
	}
	return head, whole, nil
}

func bodyRefusal(err error) *request.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return request.Refuse(request.ReasonBodyTooLarge, "the body is larger than this class allows")
	case IsTimeout(err):
		return request.Refuse(request.ReasonSlowCaller, "the body took too long to arrive")
	}
	return request.Refuse(request.ReasonBadRequest, "the body could not be read whole")
}
