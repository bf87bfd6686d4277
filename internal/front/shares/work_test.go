package shares

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// TestWorkIsBounded guards against numbers in callers' headers that would make the work of a workspace negative or hide
// that of all others.
func TestWorkIsBounded(t *testing.T) {
	tests := map[string]struct {
		ask  Ask
		want float64
	}{
		"a usual request":           {Ask{Unread: 1000, Request: &admission.Request{AnswerTokens: 50}}, 1200},
		"half of the maximum":       {Ask{Unread: 1000, Request: &admission.Request{MaxTokens: 100}}, 1200},
		"a negative maximum":        {Ask{Unread: 1000, Request: &admission.Request{MaxTokens: -1_000_000}}, 1000},
		"a negative prompt":         {Ask{Unread: -5, Request: &admission.Request{}}, 0},
		"a prompt without a bound":  {Ask{Unread: 1 << 60, Request: &admission.Request{}}, maxReportedWork},
		"an answer without a bound": {Ask{Request: &admission.Request{AnswerTokens: 1 << 60}}, maxReportedWork},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, test.ask.work(), qt.Equals, test.want)
		})
	}
}
