package relay

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestExpectedTokens covers the estimates that callers may give of the length of an answer.
func TestExpectedTokens(t *testing.T) {
	tests := map[string]struct {
		hint, maximum, want int
	}{
		"an estimate":                      {119, 400, 119},
		"an estimate above the maximum":    {119, 100, 100},
		"an estimate without a maximum":    {119, 0, 119},
		"no estimate: half of the maximum": {0, 400, 200},
		"a negative maximum":               {0, -400, 0},
		"nothing":                          {0, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			call := Call{LengthHint: test.hint, MaxTokens: test.maximum}
			qt.Check(t, call.expectedTokens(), qt.Equals, test.want)
		})
	}
}
