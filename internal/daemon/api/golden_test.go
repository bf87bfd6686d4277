package api

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"oxbowslip.dev/oxbowslip/internal/proof/golden"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// TestGoldenRefusals holds the status, headers and body of each refusal to those of
// commit 4c58500.
func TestGoldenRefusals(t *testing.T) {
	var text strings.Builder
	for _, reason := range request.Reasons {
		for _, ran := range []request.Ran{request.RanNo, request.RanUnknown} {
			for _, after := range []time.Duration{0, 1500 * time.Millisecond} {
				w := httptest.NewRecorder()
				writeRefusal(w, "id-1", &request.Refusal{Reason: reason, Ran: ran, Detail: "detail", RetryAfter: after}, []string{"known"})
				fmt.Fprintf(&text, "%s %s %s: %d\n", reason, ran, after, w.Code)
				if err := w.Header().Write(&text); err != nil {
					t.Fatal(err)
				}
				text.WriteString("\n" + w.Body.String() + "\n\n")
			}
		}
	}
	golden.Text(t, "refusals.txt", text.String())
}
