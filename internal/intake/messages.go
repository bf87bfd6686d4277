package intake

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// acceptRetry is the time after which a listener accepts again that found no descriptor.
const acceptRetry = 100 * time.Millisecond

// Serve accepts connections and serves each with a function until ctx ends, and then waits until all are served. The
// function's context ends when its connection is closed for a limit: package drpc does not read on, and so does not see the
// end of the connection, while a call that it waits for does not come.
func Serve(ctx context.Context, listener net.Listener, serve func(ctx context.Context, conn net.Conn)) {
	var all sync.WaitGroup
	defer all.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
			}
			return
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
			time.Sleep(acceptRetry)
			continue
		case err != nil:
			return
		}
		all.Go(func() {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			defer conn.Close()
			if c, ok := conn.(*Conn); ok {
				c.onClosed(cancel)
			}
			serve(ctx, conn)
		})
	}
}
