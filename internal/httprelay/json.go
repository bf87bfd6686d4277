package httprelay

import (
	"net/http"
	"strconv"

	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// WriteJSON writes a value as JSON with a newline as the response. Durations are encoded as text such as "1.5s". The
// encoding is deterministic.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value, strictjson.DurationMarshaler, json.Deterministic(true))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The end of the answer must be known before the handler ends, see AnswerBeforeBody.
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	// A failed write means that the client has closed the connection.
	_, _ = w.Write(append(data, '\n'))
}
