package keys

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestOfRequest(t *testing.T) {
	first := Identity{Workspace: "towpath", Method: "POST", Host: "router.example", Target: "/chat/x?q=1", Body: []byte("body")}
	tests := map[string]struct {
		change func(*Identity)
		same   bool
	}{
		"identical requests":    {func(*Identity) {}, true},
		"another workspace":     {func(id *Identity) { id.Workspace = "lock" }, false},
		"another method":        {func(id *Identity) { id.Method = "GET" }, false},
		"another host":          {func(id *Identity) { id.Host = "other.example" }, false},
		"another query":         {func(id *Identity) { id.Target = "/chat/x?q=2" }, false},
		"another body":          {func(id *Identity) { id.Body = []byte("bodies") }, false},
		"no body":               {func(id *Identity) { id.Body = nil }, false},
		"texts split elsewhere": {func(id *Identity) { id.Workspace, id.Method = "towpathP", "OST" }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			second := first
			test.change(&second)
			qt.Check(t, OfRequest(&second) == OfRequest(&first), qt.Equals, test.same)
		})
	}
}

// BenchmarkOfRequest hashes a request of the largest usual size, 17 KB.
func BenchmarkOfRequest(b *testing.B) {
	id := Identity{Workspace: "towpath", Method: "POST", Host: "router.example", Target: "/chat/x", Body: make([]byte, 17_000)}
	b.ReportAllocs()
	for b.Loop() {
		OfRequest(&id)
	}
}
