package httprelay

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCopyHeader(t *testing.T) {
	tests := map[string]struct {
		from, want http.Header
	}{
		"end-to-end headers are copied":  {http.Header{"X-A": {"1", "2"}}, http.Header{"X-A": {"1", "2"}}},
		"hop-by-hop headers are dropped": {http.Header{"X-A": {"1"}, "Keep-Alive": {"timeout=5"}, "Content-Length": {"3"}}, http.Header{"X-A": {"1"}}},
		"both kinds of headers": {http.Header{
			"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Transfer-Encoding": {"chunked"}, "Keep-Alive": {"5"},
			"Te": {"trailers"}, "Upgrade": {"h2c"}, "X-End": {"2"}, "Content-Type": {"text/plain"},
		}, http.Header{"X-End": {"2"}, "Content-Type": {"text/plain"}}},
		"headers named by Connection are dropped": {http.Header{"X-A": {"1"}, "X-B": {"2"}, "Connection": {"close, x-b"}}, http.Header{"X-A": {"1"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			to := make(http.Header)
			CopyHeader(to, test.from)
			qt.Check(t, to, qt.DeepEquals, test.want)
		})
	}
}
