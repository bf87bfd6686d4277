package standin

import (
	"io"
	"net/http"

	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/httprelay"
)

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(data, &faults, json.RejectUnknownMembers(true))
	}
	if err != nil {
		httprelay.WriteJSON(w, http.StatusBadRequest, engineError{engineErrorDetail{Message: err.Error()}})
		return
	}
	e.SetFaults(faults)
	httprelay.WriteJSON(w, http.StatusOK, faults)
}
