package httprelay

import (
	"net/http"

	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// WriteJSON answers with a value as JSON and a newline. Durations are written as text such
// as "1.5s", and the same value always has the same encoding.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value, strictjson.DurationMarshaler, json.Deterministic(true))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client is gone; nobody is left to be told.
	_, _ = w.Write(append(data, '\n'))
}
