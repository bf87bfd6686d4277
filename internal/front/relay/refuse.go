package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// headerRequestID is the header with the caller's ID of the request.
const headerRequestID = "X-Request-Id"

// The Retry-After times of refusals without a better estimate.
const (
	// minRetryAfter is the minimum time that a refusal carries.
	minRetryAfter = 250 * time.Millisecond
	// notReadyRetry is for a host without settings: it reads them within milliseconds of its start if the store
	// answers.
	notReadyRetry = 500 * time.Millisecond
)

// refusalBody is the body of a refusal.
type refusalBody struct {
	Reason request.Reason `json:"reason"`
	Ran    request.Ran    `json:"ran"`
	Detail string         `json:"detail"`
}

// statusOf returns the HTTP status of a refusal. 429 and 503 promise that the request has not run and never will, so
// they are used only with RanNo.
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
	case request.ReasonPoison:
		// Not a status that invites a retry.
		return http.StatusBadGateway
	}
	if refusal.Ran == request.RanNo {
		return refusedStatus(refusal.Reason)
	}
	if refusal.Reason == request.ReasonTimeLimit {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// refusedStatus returns the status of a refusal whose request did not run.
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

// writeRefusal answers a request with a refusal. Nothing may have been sent to the caller before.
func writeRefusal(w http.ResponseWriter, id string, refusal *request.Refusal) {
	status := statusOf(refusal)
	header := w.Header()
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		after := max(refusal.RetryAfter, minRetryAfter)
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	if id != "" {
		header.Set(headerRequestID, id)
	}
	header.Set("Content-Type", "application/json")
	data, err := json.Marshal(refusalBody{Reason: refusal.Reason, Ran: refusal.Ran, Detail: refusal.Detail})
	if err != nil {
		// A plain struct always marshals; without a body, the status and the headers are sufficient.
		data = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A failed write means that the caller has closed the connection.
	_, _ = w.Write(data)
}
