package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// headerRequestID names the header with the caller's ID of a request.
const headerRequestID = "X-Request-Id"

// leastRetryAfter is what a refusal carries when no better figure is known.
const leastRetryAfter = 250 * time.Millisecond

// refusalBody is the body of a refusal.
type refusalBody struct {
	Reason request.Reason `json:"reason"`
	Ran    request.Ran    `json:"ran"`
	Detail string         `json:"detail"`
}

// statusOf gives the HTTP status of a refusal. 429 and 503 promise that the
// request has not run and never will, so they are given only with RanNo.
func statusOf(refusal *request.Refusal) int {
	switch refusal.Reason {
	case request.ReasonBadRequest:
		return http.StatusBadRequest
	case request.ReasonUnknownKey:
		return http.StatusUnauthorized
	case request.ReasonUnknownRoute:
		return http.StatusNotFound
	case request.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case request.ReasonHeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if refusal.Ran == request.RanNo {
		return refusedStatus(refusal.Reason)
	}
	if refusal.Reason == request.ReasonTimeLimit {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func refusedStatus(reason request.Reason) int {
	switch reason {
	case request.ReasonSlowCaller:
		return http.StatusRequestTimeout
	case request.ReasonNoRoom, request.ReasonWorkspaceRoom, request.ReasonTooLate:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// writeRefusal answers a request of which nothing was sent to the caller yet.
func writeRefusal(w http.ResponseWriter, id string, refusal *request.Refusal) {
	status := statusOf(refusal)
	header := w.Header()
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		after := max(refusal.RetryAfter, leastRetryAfter)
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	if id != "" {
		header.Set(headerRequestID, id)
	}
	header.Set("Content-Type", "application/json")
	data, err := json.Marshal(refusalBody{Reason: refusal.Reason, Ran: refusal.Ran, Detail: refusal.Detail})
	if err != nil {
		data = nil // A refusal without a body is still one.
	}
	header.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A write that fails means that the caller is gone.
	_, _ = w.Write(data)
}
