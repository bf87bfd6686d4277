// Package hopheader copies the headers of a message that is passed on, without those
// that hold for one connection only.
package hopheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hop are the headers that hold for one connection only (RFC 9110, 7.6.1).
var hop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Copy copies what is not for one connection only, and what the Connection header
// does not name.
func Copy(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hop {
		to.Del(name)
	}
}
