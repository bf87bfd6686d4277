package relay

import (
	"net/http"
	"testing"

	"oxbowslip.dev/oxbowslip/internal/proof/golden"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// TestGoldenRefusals compares the status, headers and body of each refusal with those of older versions.
func TestGoldenRefusals(t *testing.T) {
	golden.Refusals(t, func(w http.ResponseWriter, refusal *request.Refusal) {
		writeRefusal(w, "id-1", refusal)
	})
}
