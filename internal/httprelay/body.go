package httprelay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// ReadBody reads the complete body of a request, up to limit bytes and within a timeout. It returns a failure as the
// refusal for the caller; nothing has been sent to an endpoint then.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, *request.Refusal) {
	body, _, refusal := ReadHead(w, r, limit, limit+1, timeout)
	return body, refusal
}

// ReadHead reads at most maxHead bytes of a body, and reports whether they are the complete body. The rest can be read
// from r.Body, under the same limit and deadline.
func ReadHead(w http.ResponseWriter, r *http.Request, limit, maxHead int64, timeout time.Duration) (head []byte, complete bool, refusal *request.Refusal) {
	if r.ContentLength > limit {
		return nil, false, request.Refuse(request.ReasonBodyTooLarge, "the body is larger than this class allows")
	}
	control := http.NewResponseController(w)
	// Writers of net/http support deadlines; those of tests do not.
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	head, err := io.ReadAll(io.LimitReader(r.Body, maxHead))
	if err != nil {
		// The deadline remains set: net/http reads the rest of a body before it answers, and without a deadline a
		// caller that has stopped sending would block that.
		return nil, false, bodyRefusal(err)
	}
	complete = int64(len(head)) < maxHead
	if complete {
		// An error means that the writer supports no deadlines, as above.
		_ = control.SetReadDeadline(time.Time{})
	}
	return head, complete, nil
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
