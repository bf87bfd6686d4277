package upstream

import (
	"context"
	"net"
	"time"

	"oxbowslip.dev/oxbowslip/internal/deadpeer"
)

// Target is an endpoint to connect to.
type Target struct {
	// ID is the endpoint's ID.
	ID      string
	Address string
	// Zone is the endpoint's availability zone.
	Zone string
}

// Dialer opens connections to endpoints.
type Dialer interface {
	// Dial opens a connection. It returns when ctx ends at the latest.
	Dial(ctx context.Context, target Target) (net.Conn, error)
}

// DirectDialer is the Dialer that connects to endpoints over this host's own network.
type DirectDialer struct {
	// DeadPeer is how long an endpoint's machine may leave sent bytes unacknowledged before a connection breaks; 0 means
	// the default of the operating system.
	DeadPeer time.Duration
}

// Dial opens a TCP connection.
func (d DirectDialer) Dial(ctx context.Context, target Target) (net.Conn, error) {
	dialer := &net.Dialer{
		Control: deadpeer.Control(d.DeadPeer),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
		},
	}
	return dialer.DialContext(ctx, "tcp", target.Address)
}
