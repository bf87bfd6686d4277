package pack

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// document returns a configuration with a number of entries, in which one key may differ.
func document(entries int, key string) []byte {
	var b bytes.Buffer
	for n := range entries {
		fmt.Fprintf(&b, `{"name":"tenant-%d","key":"%x"},`, n, n*7919*104729)
	}
	fmt.Fprintf(&b, `{"name":"last","key":"%s"}`, key)
	return b.Bytes()
}

func TestCompressRoundTrip(t *testing.T) {
	tests := map[string]struct {
		base, document []byte
		// maxBytes is the maximum size in bytes of the compressed document.
		maxBytes int
	}{
		"without base":                        {nil, document(1000, "a"), len(document(1000, "a")) / 2},
		"one key differs":                     {document(1000, "a"), document(1000, "b"), 200},
		"one key of a large document differs": {document(8000, "a"), document(8000, "b"), 400},
		"identical documents":                 {document(1000, "a"), document(1000, "a"), 200},
		"unrelated documents":                 {[]byte("something else"), document(3, "a"), 1000},
		"an empty document":                   {document(3, "a"), nil, 100},
		"empty, without base":                 {nil, nil, 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			patch, err := Compress(test.base, test.document)
			c.Assert(err, qt.IsNil)
			c.Check(len(patch) <= test.maxBytes, qt.IsTrue, qt.Commentf("%d bytes", len(patch)))
			got, err := Decompress(test.base, patch)
			c.Assert(err, qt.IsNil)
			c.Check(bytes.Equal(got, test.document), qt.IsTrue)
		})
	}
}

func TestWrongBaseIsDetected(t *testing.T) {
	patch, err := Compress(document(1000, "a"), document(1000, "b"))
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct{ base, patch []byte }{
		"an older base":   {document(999, "a"), patch},
		"no base":         {nil, patch},
		"a damaged patch": {document(1000, "a"), patch[:len(patch)-3]},
		"not a frame":     {document(1000, "a"), []byte("{}")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decompress(test.base, test.patch)
			qt.Check(t, err, qt.ErrorIs, ErrDamaged)
		})
	}
}
