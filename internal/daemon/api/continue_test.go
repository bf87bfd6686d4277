package api

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// TestAnswersAreContinuedByOneVersion checks when another engine may continue an answer of model m.
func TestAnswersAreContinuedByOneVersion(t *testing.T) {
	first := settings.Endpoint{Model: "m", Version: "1", Continues: true}
	for name, test := range map[string]struct {
		second settings.Endpoint
		want   bool
	}{
		"one version":                   {first, true},
		"two versions":                  {settings.Endpoint{Model: "m", Version: "2", Continues: true}, false},
		"another version, other model":  {settings.Endpoint{Model: "n", Version: "2", Continues: true}, true},
		"an engine that can't continue": {settings.Endpoint{Model: "m", Version: "1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, allEnginesContinue(map[string]settings.Endpoint{"a": first, "b": test.second}, "m"), qt.Equals, test.want)
		})
	}
}
