package logread

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"oxbowslip.dev/oxbowslip/internal/proof/golden"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// TestGoldenLog checks that a log that hosts of an older version wrote is still readable: the
// history of a request in it equals the recorded one.
func TestGoldenLog(t *testing.T) {
	c := qt.New(t)
	file, err := os.Open("testdata/4c58500.log")
	c.Assert(err, qt.IsNil)
	defer file.Close()
	history, err := FindRequest(file, "daacfb46a24d20cb")
	c.Assert(err, qt.IsNil)
	data, err := json.Marshal(history, strictjson.DurationMarshaler, jsontext.WithIndent("  "))
	c.Assert(err, qt.IsNil)
	golden.Text(t, "story.json", string(data)+"\n")
}
