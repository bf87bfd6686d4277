package intake

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what a connection does.
type State string

// The states. A connection may be closed for memory unless its request runs.
const (
	// stateIdle: no byte of a request has arrived. stateReceiving: the request is not whole, or is being refused.
	stateIdle      State = "idle"
	stateReceiving State = "receiving"
	stateRunning   State = "running"
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	account *Account
	// writing is when the write in progress began, in nanoseconds since the connection was accepted, or 0.
	writing    atomic.Int64
	acceptedAt time.Time

	// The account's lock guards these fields.
	//
	// held is what the connection takes, in bytes. closedFor is set once the connection has been closed for a limit.
	held      int64
	closedFor Cause
	state     State
	// since is when the request began to arrive, or when the last one ended.
	since time.Time
	// headBytes and headLines count what was read since the last request ended, until the head is read. lastBytes and
	// lastLines are those of the last read, which may belong to the next request.
	isHeadRead           bool
	headBytes, headLines int
	lastBytes, lastLines int
	// wake ends the wait of awaitClosed. It is nil otherwise.
	wake chan struct{}
	// pending is what a message takes whose end may not have arrived, in bytes. hasReply is set once the peer was answered.
	pending  int64
	hasReply bool
	// cancel ends the calls of a peer once the connection has been closed for a limit. It may be nil.
	cancel func()
}

type accountListener struct {
	net.Listener
	account *Account
}

// Accept returns the next connection for which there is room.
func (l *accountListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, account: l.account, acceptedAt: l.account.clock(), state: stateIdle}
		if l.account.add(c) {
			return c, nil
		}
		c.Close()
	}
}

// boundBuffers bounds the kernel's buffers of the connections that a listener accepts, and how long what was sent to a
// client may stay unacknowledged, also once its connection is closed. The listeners for peers have a time of their own.
func (a *Account) boundBuffers(listener net.Listener) error {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		// A listener of tests, which has no socket.
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	set := func(fd uintptr, level, option, value int) {
		if err := unix.SetsockoptInt(int(fd), level, option, value); err != nil && optionErr == nil {
			optionErr = err
		}
	}
	err = raw.Control(func(fd uintptr) {
		set(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
		set(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
		if a.config.WriteTime > 0 && !a.config.Messages {
			set(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(a.config.WriteTime.Milliseconds()))
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Read reads from the client and charges the connection for what it makes the host hold.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if isTooLarge := c.account.recordRead(c, p[:n], len(p)); isTooLarge {
		c.refuseHead()
		return 0, io.EOF
	}
	return n, err
}

// recordRead records bytes of a client and the size of the buffer that they were read into. It reports whether they belong to a
// head that is too large.
func (a *Account) recordRead(c *Conn, p []byte, bufferBytes int) (isTooLarge bool) {
	a.mu.Lock()
	var victims []*Conn
	defer func() {
		victims = append(victims, a.makeRoom()...)
		mustWait := a.isOver()
		a.mu.Unlock()
		reset(victims)
		if mustWait {
			a.awaitClosed(c)
		}
	}()
	if c.closedFor != "" {
		return false
	}
	if a.config.Messages {
		c.since = a.clock()
		more := min(pendingByteCost*int64(len(p)), maxPendingBytes-c.pending)
		c.pending += more
		a.charge(c, more)
		if !c.hasReply && c.pending > pendingByteCost*maxFirstMessage {
			victims = append(victims, a.evict(c, CauseMessageBytes))
		}
		return false
	}
	if c.state == stateIdle {
		c.state, c.since = stateReceiving, a.clock()
	}
	switch {
	case bufferBytes > readerBytes:
		c.lastBytes, c.lastLines = 0, 0
	case bufferBytes > 1:
		c.lastBytes, c.lastLines = len(p), bytes.Count(p, []byte{'\n'})
	default:
		// While a request runs, net/http reads a byte to see whether the client leaves. What it read before is still there.
	}
	if c.isHeadRead {
		return false
	}
	c.headBytes += c.lastBytes
	c.headLines += c.lastLines
	a.charge(c, headCost(c.lastBytes, c.lastLines))
	limit := a.config.Limits().HeadBytes
	isTooLarge = limit > 0 && c.headBytes > limit+headSlop
	if isTooLarge {
		a.recordClosed(c, CauseHeadBytes)
	}
	return isTooLarge
}

// headCost returns what a part of a head takes, in bytes.
func headCost(bytes, lines int) int64 {
	return headByteCost*int64(bytes) + headLineCost*int64(lines)
}

// refusalTime and maxRefusedBytes bound what is read of a head that is too large once it has been refused.
const (
	refusalTime     = 500 * time.Millisecond
	maxRefusedBytes = 256 << 10
)

// tooLargeAnswer is the answer of net/http to a head over its own limit.
const tooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseHead answers a head that is too large, and reads on for a moment: a connection that is closed with unread bytes is
// reset, and the client might not see the answer. The connection is closed next, so errors don't matter.
func (c *Conn) refuseHead() {
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime))
	_, _ = io.WriteString(c.Conn, tooLargeAnswer)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, maxRefusedBytes)
}

// Write writes to the client.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Store(max(int64(c.account.clock().Sub(c.acceptedAt)), 1))
	n, err := c.Conn.Write(p)
	c.writing.Store(0)
	if c.account.config.Messages {
		c.account.recordReply(c)
	}
	return n, err
}

// recordReply records that a message was sent to a peer: what the peer sent before has been read.
func (a *Account) recordReply(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.since, c.hasReply = a.clock(), true
	if c.closedFor == "" {
		a.charge(c, -c.pending)
		c.pending = 0
	}
}

// CloseWrite closes the sending side. net/http calls it before it closes a connection whose client may still send.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.account.remove(c)
	return c.Conn.Close()
}

// reset closes the connection with a reset.
func (c *Conn) reset() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// Without it, the kernel keeps what the client has not read for some time.
		_ = conn.SetLinger(0)
	}
	// An error means that the owner has closed it.
	_ = c.Conn.Close()
}

// onClosed has a function called once the connection has been closed for a limit.
func (c *Conn) onClosed(cancel func()) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.closedFor != "" {
		cancel()
		return
	}
	c.cancel = cancel
}

// stall returns how long the write in progress has taken, or 0.
func (c *Conn) stall(now time.Time) time.Duration {
	if began := c.writing.Load(); began > 0 {
		return now.Sub(c.acceptedAt) - time.Duration(began)
	}
	return 0
}

// evictable reports whether the connection may be closed for memory, and for how long it has held what it holds. The
// account's lock is held.
func (c *Conn) evictable(now time.Time) (time.Duration, bool) {
	if c.state == stateRunning {
		stall := c.stall(now)
		return stall, stall >= minStall
	}
	return now.Sub(c.since), true
}

// client describes the connection. The account's lock is held.
func (c *Conn) client() Client {
	address := c.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	return Client{Address: address, Connections: 1, Memory: c.held, State: c.state}
}

// contextKey is the key of a request's connection in its context.
type contextKey struct{}

// Attach has a server record in the account what its requests hold. The server's listener must come from Wrap.
func (a *Account) Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			a.recordEnd(c)
		}
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := fromContext(r.Context()); c != nil {
			a.recordHead(c)
		}
		next.ServeHTTP(w, r)
	})
}

// fromContext returns the connection of a request, or nil if it belongs to no account.
func fromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// recordHead records that the head of a request has been read.
func (a *Account) recordHead(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.state == stateIdle {
		// The whole request was read together with the one before it.
		c.state, c.since = stateReceiving, a.clock()
	}
	c.isHeadRead = true
}

// recordEnd records that a request has been answered, so that the connection holds only what was read last: it may belong
// to the next request.
func (a *Account) recordEnd(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.state, c.since, c.isHeadRead = stateIdle, a.clock(), false
	c.headBytes, c.headLines = c.lastBytes, c.lastLines
	if c.closedFor == "" {
		a.charge(c, connectionBytes+headCost(c.headBytes, c.headLines)-c.held)
	}
}

// Hold charges the connection of a request for bytes that the request makes the host hold until it ends. It reports false
// if the connection was closed since there is no room.
func Hold(ctx context.Context, bytes int64) bool {
	c := fromContext(ctx)
	return c == nil || c.account.hold(c, bytes)
}

// Begin records that a request is whole and will run. From then on its connection is closed for memory only if the client
// does not read its answer. Begin reports false if there is no room for one more running request: it must be refused.
func Begin(ctx context.Context) bool {
	c := fromContext(ctx)
	return c == nil || c.account.begin(c)
}

func (a *Account) begin(c *Conn) bool {
	a.mu.Lock()
	if c.closedFor != "" {
		a.mu.Unlock()
		return false
	}
	cost := runningBytes + (headCopies-1)*headCost(c.headBytes, c.headLines)
	c.state = stateRunning
	a.charge(c, cost)
	victims := a.makeRoom()
	hasRoom := !a.isFull()
	if !hasRoom {
		c.state = stateReceiving
		a.charge(c, -cost)
	}
	a.mu.Unlock()
	reset(victims)
	return hasRoom
}
