package settings

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

// TestGoldenTree checks that the schema and the encoding of a tree with every field set equal
// the recorded ones. Stored trees and hosts of older versions use the same encoding.
func TestGoldenTree(t *testing.T) {
	c := qt.New(t)
	golden.Text(t, "schema.json", string(schemaText))
	data, err := os.ReadFile("testdata/full.json")
	c.Assert(err, qt.IsNil)
	tree, err := Decode("full.json", data)
	c.Assert(err, qt.IsNil)
	encoded, err := Encode(tree)
	c.Assert(err, qt.IsNil)
	golden.Text(t, "full.json", string(encoded)+"\n")
	for _, field := range golden.SchemaFields(t, schemaText) {
		c.Check(string(encoded), qt.Contains, `"`+field+`":`)
	}
}
