package lifetime

import (
	"net/http"
	"sync/atomic"
)

// CloseWhen ends each connection of a host that leaves with its next answer.
// Connections that rest stay open until the notice is over: one that is closed just
// as its caller sends the next request would lose that request.
func CloseWhen(leaving *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
