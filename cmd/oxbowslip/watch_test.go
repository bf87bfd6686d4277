package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestMergePatch(t *testing.T) {
	tests := map[string]struct{ from, to, want string }{
		"no change":      {`{"a":1}`, `{"a":1}`, `{}`},
		"changed":        {`{"a":{"b":1,"c":2}}`, `{"a":{"b":1,"c":3}}`, "{\n\t\"a\": {\n\t\t\"c\": 3\n\t}\n}"},
		"removed member": {`{"a":1,"b":2}`, `{"a":1}`, "{\n\t\"b\": null\n}"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := mergePatch([]byte(test.from), []byte(test.to))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(got), qt.Equals, test.want)
		})
	}
}
