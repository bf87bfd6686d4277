package hostconfig

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/proof/golden"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// TestGoldenHost checks that the schema of a host's file, the encoding of a file with every
// field set, and the defaults of a minimal file equal the recorded ones.
func TestGoldenHost(t *testing.T) {
	c := qt.New(t)
	golden.Text(t, "schema.json", string(schemaText))
	data, err := os.ReadFile("testdata/full.json")
	c.Assert(err, qt.IsNil)
	full, err := Decode("full.json", data)
	c.Assert(err, qt.IsNil)
	encoded, err := strictjson.Encode(&full)
	c.Assert(err, qt.IsNil)
	golden.Text(t, "full.json", string(encoded)+"\n")
	for _, field := range golden.SchemaFields(t, schemaText) {
		c.Check(string(encoded), qt.Contains, `"`+field+`":`)
	}
	minimal, err := Decode("least.json", []byte(`{"name": "h", "zone": "z", "callers": ":0", "operators": ":0", "platform": {"address": "p:1"}}`))
	c.Assert(err, qt.IsNil)
	encoded, err = strictjson.Encode(&minimal)
	c.Assert(err, qt.IsNil)
	golden.Text(t, "least.json", string(encoded)+"\n")
}
