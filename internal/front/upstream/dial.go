package upstream

import (
	"context"
	"io"
	"time"

	"oxbowslip.dev/oxbowslip/internal/deadpeer"
	"oxbowslip.dev/oxbowslip/internal/tcpend"
)

// Target is an endpoint to connect to.
type Target struct {
	// ID is the endpoint's ID.
	ID      string
	Address string
	// Zone is the endpoint's availability zone.
	Zone string
	// ConnectTimeout bounds the time to connect over one path.
	ConnectTimeout time.Duration
}

// Dialer opens connections to endpoints.
type Dialer interface {
	// Dial opens a connection. It returns soon after ctx ends.
	Dial(ctx context.Context, target Target) (io.ReadWriteCloser, error)
	// Check opens a connection to find out how an endpoint can be reached. The connection is nil if it can't.
	Check(ctx context.Context, target Target) (io.ReadWriteCloser, Reach, error)
	// MayReuse reports whether a call may be sent on an idle connection to an endpoint.
	MayReuse(conn io.ReadWriteCloser, target Target) bool
}

// deadPeerTimeout is how long an endpoint's machine may be silent before a connection to it breaks. A sound endpoint may be
// silent for a second or so, and a call that may run once only would be lost. Other calls are given up earlier
// (silenceLimit, checkTimeout).
const deadPeerTimeout = 3 * time.Second

// DirectDialer is the Dialer that connects to endpoints over this host's own network.
type DirectDialer struct{}

// Dial opens a TCP connection.
func (d DirectDialer) Dial(ctx context.Context, target Target) (io.ReadWriteCloser, error) {
	dialer := deadpeer.Dialer(deadPeerTimeout)
	dialer.Timeout = target.ConnectTimeout
	conn, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		// A nil *net.TCPConn in the interface would not be nil.
		return nil, err
	}
	return tcpend.New(conn), nil
}

// Check opens a TCP connection.
func (d DirectDialer) Check(ctx context.Context, target Target) (io.ReadWriteCloser, Reach, error) {
	conn, err := d.Dial(ctx, target)
	if err != nil {
		return nil, Unreachable, err
	}
	return conn, ReachedDirectly, nil
}

// MayReuse allows all connections.
func (d DirectDialer) MayReuse(io.ReadWriteCloser, Target) bool { return true }
