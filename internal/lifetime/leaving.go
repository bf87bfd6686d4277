package lifetime

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// CloseConnectionsWhen closes each connection after its next response once leaving is set.
// Idle connections stay open until the notice period of the drain has passed: closing one
// while its caller sends the next request would lose that request.
func CloseConnectionsWhen(leaving *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// DrainServer shuts a server down gracefully. The server accepts no new connections, drain
// waits for requests in flight until ctx is done, and the last responses then have the time
// margin to be sent. It returns the number of requests that drain aborted.
func DrainServer(ctx context.Context, server *http.Server, drain func(ctx context.Context) int, margin time.Duration) int {
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		// The error can only be that of ctx. The remaining connections are closed below.
		_ = server.Shutdown(ctx)
	}()
	numAborted := drain(ctx)
	<-shutdownDone
	marginCtx, cancel := context.WithTimeout(context.Background(), margin)
	defer cancel()
	// Close aborts the connections of callers that have not read their response within the margin.
	_ = server.Shutdown(marginCtx)
	server.Close()
	return numAborted
}
