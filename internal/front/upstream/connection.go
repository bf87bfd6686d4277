package upstream

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"oxbowslip.dev/oxbowslip/internal/httphead"
	"oxbowslip.dev/oxbowslip/internal/tcpend"
)

// idleTimeShare is the fraction of an endpoint's keep-alive timeout during which an idle connection is reused. The
// endpoint may close it slightly early, and a call that is sent at the same time fails.
const idleTimeShare = 0.6

// tunnel is a connection through a peer.
type tunnel interface {
	IsTunnel() bool
	// IsQuiet reports whether the tunnel is open and has no unread bytes.
	IsQuiet() bool
}

// connection is a connection to an endpoint with its read buffer.
type connection struct {
	io.ReadWriteCloser
	source httphead.Source
	reader *bufio.Reader
	clock  func() time.Time

	mu sync.Mutex
	// activeAt is when bytes last arrived, or when the current call was sent.
	activeAt time.Time
	// carried holds the hashes of the IDs of the last calls on the connection, of which there were calls in all.
	carried [maxCarried]uint64
	calls   int
	// isLast is set if the endpoint closes the connection after its current answer.
	isLast bool
	// expires is when an idle connection must no longer be used.
	expires time.Time
}

// maxCarried is the number of calls that a connection remembers. An endpoint that sends an answer twice does so soon.
const maxCarried = 16

// carry records that a call is sent on the connection.
func (c *connection) carry(id string) {
	c.carried[c.calls%maxCarried] = xxhash.Sum64String(id)
	c.calls++
}

// hasCarried reports whether an attempt of a call has been sent on the connection. A late copy of the answer to it would
// be taken for that to the next attempt, which has the same ID.
func (c *connection) hasCarried(id string) bool {
	return slices.Contains(c.carried[:min(c.calls, maxCarried)], xxhash.Sum64String(id))
}

// recordAnswer records from an answer whether and how long its connection can be reused.
func (c *connection) recordAnswer(response *http.Response, now time.Time, keepIdle time.Duration) {
	c.isLast = response.Close
	if stated, ok := keepAliveTimeout(response.Header.Get("Keep-Alive")); ok {
		keepIdle = time.Duration(float64(stated) * idleTimeShare)
	}
	c.expires = now.Add(keepIdle)
}

// keepAliveTimeout parses the timeout of a Keep-Alive header (RFC 2068, 19.7.1.1).
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

// Read reads bytes and records that they have arrived.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(p)
	if n > 0 {
		c.recordActivity()
	}
	return n, err
}

func (c *connection) recordActivity() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeAt = c.clock()
}

// silentFor returns the time since bytes last arrived or the current call was sent.
func (c *connection) silentFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock().Sub(c.activeAt)
}

// isTunnel reports whether the connection leads through a peer.
func (c *connection) isTunnel() bool {
	t, ok := c.ReadWriteCloser.(tunnel)
	return ok && t.IsTunnel()
}

// hasEndedTunnel reports whether the connection leads through a peer that no longer keeps it open for calls.
func (c *connection) hasEndedTunnel() bool {
	t, ok := c.ReadWriteCloser.(tunnel)
	return ok && t.IsTunnel() && !t.IsQuiet()
}

// isQuiet reports whether an idle connection is open and has no unread bytes. Such bytes belong to no call.
func (c *connection) isQuiet() bool {
	if c.isTunnel() {
		return !c.hasEndedTunnel()
	}
	holder, ok := c.ReadWriteCloser.(syscall.Conn)
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

// knowsAcknowledgements reports whether isAcknowledged can find anything out.
func (c *connection) knowsAcknowledgements() bool {
	_, ok := c.sinceAcknowledgement()
	return ok
}

// isAcknowledged reports whether the endpoint's machine has acknowledged a keep-alive probe in the current silence.
func (c *connection) isAcknowledged() bool {
	since, ok := c.sinceAcknowledgement()
	return ok && c.silentFor()-since >= minProbeDelay
}

// minProbeDelay is the least time between the start of a silence and the acknowledgement of a keep-alive probe. Sooner,
// the acknowledgement may be that of the call.
const minProbeDelay = 700 * time.Millisecond

// sinceAcknowledgement returns the time since the endpoint's machine last acknowledged something on the connection, and
// whether the kernel states it.
func (c *connection) sinceAcknowledgement() (time.Duration, bool) {
	info, ok := c.tcpInfo()
	if !ok {
		return 0, false
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, true
}

// tcpInfo returns the kernel's state of the connection, if it has one.
func (c *connection) tcpInfo() (*unix.TCPInfo, bool) {
	holder, ok := c.ReadWriteCloser.(syscall.Conn)
	if !ok {
		return nil, false
	}
	info, err := tcpend.Info(holder)
	return info, err == nil
}

// maxAckDelay is how long a machine may take to acknowledge data that have reached it.
const maxAckDelay = 500 * time.Millisecond

// discard closes the connection during a call. It reports whether the endpoint may still read the call: a process that is
// paused reads it from its kernel when it goes on, even from a connection that was reset. Data that its machine has not
// acknowledged are dropped.
func (c *connection) discard() (mayArrive bool) {
	defer c.Close()
	info, ok := c.tcpInfo()
	if !ok || info.Unacked == 0 && info.Notsent_bytes == 0 || c.silentFor() < maxAckDelay {
		return true
	}
	linger, ok := c.ReadWriteCloser.(interface{ SetLinger(seconds int) error })
	return !ok || linger.SetLinger(0) != nil
}
