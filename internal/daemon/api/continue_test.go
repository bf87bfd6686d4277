package api

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// TestAnswersAreContinuedByOneVersion checks when another engine may continue an answer.
func TestAnswersAreContinuedByOneVersion(t *testing.T) {
	engine := func(model, version string, continues bool) settings.Endpoint {
		return settings.Endpoint{Model: model, Version: version, Continues: continues}
	}
	tests := map[string]struct {
		engines []settings.Endpoint
		want    bool
	}{
		"one version":                   {[]settings.Endpoint{engine("m", "1", true), engine("m", "1", true)}, true},
		"two versions":                  {[]settings.Endpoint{engine("m", "1", true), engine("m", "2", true)}, false},
		"another version, other model":  {[]settings.Endpoint{engine("m", "1", true), engine("n", "2", true)}, true},
		"an engine that can't continue": {[]settings.Endpoint{engine("m", "1", true), engine("m", "1", false)}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			endpoints := make(map[string]settings.Endpoint)
			for i, e := range test.engines {
				endpoints[string(rune('a'+i))] = e
			}
			qt.Assert(t, allEnginesContinue(endpoints, "m"), qt.Equals, test.want)
		})
	}
}
