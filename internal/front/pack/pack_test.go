package pack

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// document makes a configuration of some size, in which one key may differ.
func document(entries int, key string) []byte {
	var b bytes.Buffer
	for n := range entries {
		fmt.Fprintf(&b, `{"name":"tenant-%d","key":"%x"},`, n, n*7919*104729)
	}
	fmt.Fprintf(&b, `{"name":"last","key":"%s"}`, key)
	return b.Bytes()
}

func TestPatches(t *testing.T) {
	tests := map[string]struct {
		base, document []byte
		// most is the most bytes that the packed document may have.
		most int
	}{
		"by itself":           {nil, document(1000, "a"), len(document(1000, "a")) / 2},
		"one key differs":     {document(1000, "a"), document(1000, "b"), 200},
		"a large one":         {document(8000, "a"), document(8000, "b"), 400},
		"nothing differs":     {document(1000, "a"), document(1000, "a"), 200},
		"nothing in common":   {[]byte("something else"), document(3, "a"), 1000},
		"an empty document":   {document(3, "a"), nil, 100},
		"empty, without base": {nil, nil, 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			patch, err := Compress(test.base, test.document)
			c.Assert(err, qt.IsNil)
			c.Check(len(patch) <= test.most, qt.IsTrue, qt.Commentf("%d bytes", len(patch)))
			got, err := Decompress(test.base, patch)
			c.Assert(err, qt.IsNil)
			c.Check(bytes.Equal(got, test.document), qt.IsTrue)
		})
	}
}

func TestAWrongBaseIsFound(t *testing.T) {
	patch, err := Compress(document(1000, "a"), document(1000, "b"))
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct{ base, patch []byte }{
		"an older base":   {document(999, "a"), patch},
		"no base":         {nil, patch},
		"a damaged patch": {document(1000, "a"), patch[:len(patch)-3]},
		"no patch at all": {document(1000, "a"), []byte("{}")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decompress(test.base, test.patch)
			qt.Check(t, err, qt.ErrorIs, ErrDamaged)
		})
	}
}
