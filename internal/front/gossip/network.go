package gossip

import (
	"context"
	"net"
	"time"

	"oxbowslip.dev/oxbowslip/internal/deadpeer"
)

// Network connects a host to its peers: connections for syncs, datagrams for heartbeats. Addresses have the form
// IP:PORT. Its methods may be called concurrently.
type Network interface {
	Listen(address string) (net.Listener, error)
	ListenPacket(address string) (net.PacketConn, error)
	// Dial blocks until the connection is established or refused, or ctx ends.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// IPNetwork is the Network of the operating system: TCP and UDP.
type IPNetwork struct {
	// Wrap returns a listener that replaces the one for TCP connections. It may be nil.
	Wrap func(net.Listener) net.Listener
}

// deadPeerTimeout is how long a host may be silent before a connection to it breaks. Tunnels are open for long, and an
// endpoint must not go on working for a host that has lost power.
const deadPeerTimeout = 3 * time.Second

// Listen listens for TCP connections.
func (n IPNetwork) Listen(address string) (net.Listener, error) {
	listener, err := deadpeer.ListenConfig(deadPeerTimeout).Listen(context.Background(), "tcp", address)
	if err != nil || n.Wrap == nil {
		return listener, err
	}
	return n.Wrap(listener), nil
}

// ListenPacket listens for UDP datagrams.
func (IPNetwork) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}

// Dial opens a TCP connection.
func (IPNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return deadpeer.Dialer(deadPeerTimeout).DialContext(ctx, "tcp", address)
}
