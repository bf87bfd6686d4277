package api

import (
	"net/http"
	"testing"

	"oxbowslip.dev/oxbowslip/internal/proof/golden"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// TestGoldenRefusals checks that the status, headers and body of each refusal equal the recorded
// ones, because callers rely on them.
func TestGoldenRefusals(t *testing.T) {
	golden.Refusals(t, func(w http.ResponseWriter, refusal *request.Refusal) {
		writeRefusal(w, "id-1", refusal, []string{"known"})
	})
}
