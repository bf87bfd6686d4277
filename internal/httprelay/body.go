package httprelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"oxbowslip.dev/oxbowslip/internal/bodies"
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// noMemoryRetry is the time after which a caller may return whose body found no memory.
const noMemoryRetry = time.Second

// ReadBody reads the complete body of a request, up to limit bytes and within a timeout. The memory for it is added to a
// lease. It returns a failure as the refusal for the caller; nothing has been sent to an endpoint then.
func ReadBody(w http.ResponseWriter, r *http.Request, memory *bodies.Budget, lease *bodies.Lease, limit int64, timeout time.Duration) ([]byte, *request.Refusal) {
	if r.ContentLength > limit {
		return nil, request.Refuse(request.ReasonBodyTooLarge, "the body is larger than this class allows")
	}
	control := http.NewResponseController(w)
	// Writers of net/http support deadlines; those of tests do not.
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	ctx := r.Context()
	if !intake.Hold(ctx, heldBytes(r.ContentLength, limit)) {
		return nil, bodyRefusal(bodies.ErrNoMemory)
	}
	if r.ContentLength < 0 || !bodies.IsSmall(r.ContentLength) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	body, err := memory.Read(ctx, lease, http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if err != nil {
		// The deadline remains set, so that a caller that has stopped sending does not block the rest of the handler.
		return nil, bodyRefusal(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// heldBytes returns what the part of a body takes that is read without waiting for memory, in bytes.
func heldBytes(length, limit int64) int64 {
	if length < 0 {
		length = limit
	}
	return min(length, bodies.SmallBytes)
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
	if !intake.Hold(r.Context(), min(heldBytes(r.ContentLength, limit), maxHead)) {
		return nil, false, bodyRefusal(bodies.ErrNoMemory)
	}
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	head, err := io.ReadAll(io.LimitReader(r.Body, maxHead))
	if err != nil {
		// The deadline remains set, so that a caller that has stopped sending does not block the rest of the handler.
		return nil, false, bodyRefusal(err)
	}
	complete = int64(len(head)) < maxHead
	if complete {
		// An error means that the writer supports no deadlines, as above.
		_ = control.SetReadDeadline(time.Time{})
	}
	return head, complete, nil
}

const (
	// maxDrainBytes bounds the part of an unread body that is read after the answer: reading more costs more than a
	// connection. drainTimeout bounds the time for it.
	maxDrainBytes = 256 << 10
	drainTimeout  = 2 * time.Second
)

// AnswerBeforeBody calls answer to answer a request whose body may not have been read, then reads the rest of the body
// within bounds, and has the connection closed. net/http closes a connection that the caller asked to close without reading the rest; a caller
// that is still sending its body would then meet a reset and might never read the answer.
func AnswerBeforeBody(w http.ResponseWriter, r *http.Request, answer func()) {
	if r.ContentLength == 0 {
		answer()
		return
	}
	control := http.NewResponseController(w)
	// In full duplex, net/http sends the answer before the body has been read. Writers of tests support neither this
	// nor deadlines.
	_ = control.EnableFullDuplex()
	// In full duplex, net/http would read the next request from the rest of a body that does not arrive in time.
	w.Header().Set("Connection", "close")
	answer()
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(drainTimeout))
	// An error means that the caller has left or does not send the rest.
	_, _ = io.CopyN(io.Discard, r.Body, maxDrainBytes)
}

// NoMemory returns the refusal of a request that finds no memory. Nothing was sent to an endpoint.
func NoMemory() *request.Refusal {
	refusal := request.Refuse(request.ReasonNoMemory, "other requests take all memory of this host that is set aside for them")
	refusal.RetryAfter = noMemoryRetry
	return refusal
}

func bodyRefusal(err error) *request.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, bodies.ErrNoMemory):
		return NoMemory()
	case errors.As(err, &tooLarge), errors.Is(err, bodies.ErrTooLarge):
		return request.Refuse(request.ReasonBodyTooLarge, "the body is larger than this class allows")
	case IsTimeout(err):
		return request.Refuse(request.ReasonSlowCaller, "the body took too long to arrive")
	}
	return request.Refuse(request.ReasonBadRequest, "the body could not be read whole")
}
