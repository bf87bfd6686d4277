package lifetime

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// CloseConnectionsWhen ends each connection of a host that leaves with its next answer.
// Connections that rest stay open until the notice is over: one that is closed just
// as its caller sends the next request would lose that request.
func CloseConnectionsWhen(leaving *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// DrainServer lets a server that leaves finish: it takes no new connections, drain waits for
// what is in flight until ctx ends, and the last answers have the margin to leave. It
// returns the number of requests that drain had to cut.
func DrainServer(ctx context.Context, server *http.Server, drain func(ctx context.Context) int, margin time.Duration) int {
	shut := make(chan struct{})
	go func() {
		defer close(shut)
		// The error is that of ctx; the rest is closed below.
		_ = server.Shutdown(ctx)
	}()
	cut := drain(ctx)
	<-shut
	last, cancel := context.WithTimeout(context.Background(), margin)
	defer cancel()
	// A caller that has not read its answer by then is cut off.
	_ = server.Shutdown(last)
	server.Close()
	return cut
}
