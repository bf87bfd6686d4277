package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// How the kernel probes a connection on which nothing is sent, so that one to a dead machine breaks within three
// seconds.
const (
	keepAlivePeriod = time.Second
	keepAliveProbes = 2
)

// idleTimeShare is the part of the time that an endpoint keeps an idle connection for which it is used here. The endpoint
// may close a little early, and a call that crosses the close fails.
const idleTimeShare = 0.6

// connection is a connection to an endpoint, with a buffer for what was read ahead.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// isLast is set if the endpoint closes the connection after its answer.
	isLast bool
	// expires is when a kept connection is not used any more.
	expires time.Time
}

// recordAnswer records what an answer says about its connection.
func (c *connection) recordAnswer(response *http.Response, now time.Time, keepIdle time.Duration) {
	c.isLast = response.Close
	if stated, ok := keepAliveTimeout(response.Header.Get("Keep-Alive")); ok {
		keepIdle = time.Duration(float64(stated) * idleTimeShare)
	}
	c.expires = now.Add(keepIdle)
}

// keepAliveTimeout reads the timeout of a Keep-Alive header (RFC 2068, 19.7.1.1).
func keepAliveTimeout(value string) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(value, ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(seconds))
		return time.Duration(n) * time.Second, err == nil && n > 0
	}
	return 0, false
}

// isQuiet reports whether a kept connection is open with nothing to read. Bytes that are there
// belong to no call.
func (c *connection) isQuiet() bool {
	holder, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
