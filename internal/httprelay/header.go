package httprelay

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders hold for one connection only (RFC 9110, section 7.6.1), as does the length of
// a body that is framed anew.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// CopyHeader copies the headers of a message that is passed on, without those that hold
// for one connection only and those that its Connection header lists.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}
