package api

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// errorBody is an error response in the format of OpenAI clients, extended by the reason and
// whether the request ran.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    string         `json:"code"`
	Reason  request.Reason `json:"reason"`
	Ran     request.Ran    `json:"ran"`
	// RequestID identifies the request for the operators' explain call.
	RequestID string `json:"request_id"`
	// Known lists the valid names, if the call used an unknown one.
	Known []string `json:"known,omitzero"`
}

// Error types that OpenAI clients distinguish.
const (
	typeInvalid     = "invalid_request_error"
	typeAuth        = "authentication_error"
	typeRateLimit   = "rate_limit_error"
	typeUnavailable = "server_error"
)

// statusOf returns the HTTP status and error type for a reason.
func statusOf(reason request.Reason) (int, string) {
	switch reason {
	case request.ReasonUnknownKey:
		return http.StatusUnauthorized, typeAuth
	case request.ReasonBadRequest:
		return http.StatusBadRequest, typeInvalid
	case request.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge, typeInvalid
	case request.ReasonSlowCaller:
		return http.StatusRequestTimeout, typeInvalid
	case request.ReasonUnknownClass, request.ReasonUnknownModel, request.ReasonUnknownService:
		return http.StatusNotFound, typeInvalid
	case request.ReasonKeyUsed:
		return http.StatusConflict, typeInvalid
	case request.ReasonNoRoom, request.ReasonWorkspaceRoom, request.ReasonTooLate, request.ReasonMaxWait:
		return http.StatusTooManyRequests, typeRateLimit
	case request.ReasonEndpointFailed, request.ReasonAnswerBroken, request.ReasonWrongAnswer,
		request.ReasonRetryBudget:
		return http.StatusBadGateway, typeUnavailable
	case request.ReasonInternal:
		return http.StatusInternalServerError, typeUnavailable
	}
	return http.StatusServiceUnavailable, typeUnavailable
}

// minRetryAfter is the lower bound of Retry-After in responses with status 429 and 503.
const minRetryAfter = time.Second

func newErrorBody(id string, refusal *request.Refusal, known []string) errorBody {
	_, kind := statusOf(refusal.Reason)
	return errorBody{Error: errorDetail{
		Message:   refusal.Detail,
		Type:      kind,
		Code:      string(refusal.Reason),
		Reason:    refusal.Reason,
		Ran:       refusal.Ran,
		RequestID: id,
		Known:     known,
	}}
}

// writeRefusal writes a refusal as an error response. Nothing may have been written to the caller
// before.
func writeRefusal(w http.ResponseWriter, id string, refusal *request.Refusal, known []string) {
	status, _ := statusOf(refusal.Reason)
	header := w.Header()
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		after := max(refusal.RetryAfter, minRetryAfter)
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	httprelay.WriteJSON(w, status, newErrorBody(id, refusal, known))
}
